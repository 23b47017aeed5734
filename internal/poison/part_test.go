package poison_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
	"jasmineshed/internal/poison"
)

const (
	// partLimit is how many servers a part may crash until it is known, maxPartCrashes with those that
	// run it already then.
	partLimit, maxPartCrashes = 5, 9
	// maxLatePartSends is how many requests with a known part may still reach servers.
	maxLatePartSends = 3
)

func partOf(name string) shed.Fingerprint { return poison.PartFingerprint("p", name) }

// soundPrompt returns the parts of the n-th sound request's prompt, which others share.
func soundPrompt(n int) []shed.Fingerprint {
	return []shed.Fingerprint{partOf(fmt.Sprint("first", n%3)), partOf(fmt.Sprint("shared", n%5)), partOf(fmt.Sprint("other", n%40))}
}

// startPartLoad sends distinct sound requests whose prompts share parts with each other.
func (s *sim) startPartLoad(perSecond int) {
	n := 0
	s.every(time.Second/time.Duration(perSecond), func() {
		n++
		request := fingerprintOf("sound", n)
		s.prompts[request] = soundPrompt(n)
		s.attempt(s.randomVM(), request, 0, s.countOutcome)
	})
}

// startBadPart periodically sends requests, no two alike, with a part that crashes servers. It is the
// part at the index among parts that sound requests have, too.
func (s *sim) startBadPart(index, at int, period time.Duration) *culprit {
	bad := partOf(fmt.Sprint("bad", index))
	c := &culprit{limit: partLimit}
	s.badParts[bad] = c
	n := 0
	s.every(period, func() {
		n++
		request := fingerprintOf(fmt.Sprint("bad", index), n)
		parts := soundPrompt(n)
		parts[at] = bad
		s.prompts[request] = parts
		s.attempt(s.randomVM(), request, 0, func(bool, bool) {})
	})
	return c
}

// Requests that share one part, no two alike, crash servers five times a second. Guards against crashes
// far beyond five, sends long after them, and refusals of requests that share their other parts.
func TestPartCrashesAtSize(t *testing.T) {
	var out bytes.Buffer
	fmt.Fprintln(&out, "vms loss crashes late_sends sound_refused sound_failed sound_served kb_each")
	for _, n := range []int{7, 24, 78, 195, 670} {
		for _, loss := range []float64{0, 0.05} {
			s := newSim(1, n, 18)
			s.loss = loss
			s.startPartLoad(40)
			c := s.startBadPart(1, 1, 200*time.Millisecond)
			s.Run(12 * time.Second)
			bytes := 0
			for _, v := range s.vms {
				bytes += v.bytes
			}
			fmt.Fprintf(&out, "%3d %.2f %d %d %d %d %d %.1f\n", n, loss, c.crashes, c.lateSends, s.refused, s.failed, s.served,
				float64(bytes)/float64(n)/1000)
			require.LessOrEqual(t, c.crashes, maxPartCrashes)
			require.LessOrEqual(t, c.lateSends, maxLatePartSends)
			require.Zero(t, s.refused)
		}
	}
	goldie.New(t).Assert(t, "parts", out.Bytes())
}

// The same beside servers that crash by themselves, a request that crashes servers and a second part.
// Guards against crashes that hide each other's causes.
func TestPartsBesideOtherCulprits(t *testing.T) {
	for name, other := range map[string]func(*sim){
		"a storm":       func(s *sim) { s.every(time.Second, func() { s.crashRandom() }) },
		"a bad request": func(s *sim) { s.startCulprit(1, 250*time.Millisecond) },
		"a bad part":    func(s *sim) { s.startBadPart(2, 0, 300*time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				s := newSim(seed, 7, 18)
				s.startPartLoad(40)
				other(s)
				s.startBadPart(1, 1, 200*time.Millisecond)
				s.Run(15 * time.Second)
				for _, c := range s.badParts {
					require.LessOrEqual(t, c.crashes, maxPartCrashes, "seed %d", seed)
					require.LessOrEqual(t, c.lateSends, maxLatePartSends, "seed %d", seed)
				}
				require.Zero(t, s.refused, "seed %d: %d served", seed, s.served)
			}
		})
	}
}

func (s *sim) crashRandom() {
	if x := s.randomServer(); x != nil {
		s.crash(x)
	}
}

// Servers crash by themselves in storms while sound requests share parts. Guards against refusing any.
func TestStormsBlameNoPart(t *testing.T) {
	for name, storm := range map[string]func(*sim){
		"one server after the other": func(s *sim) { s.every(500*time.Millisecond, func() { s.crashRandom() }) },
		"a third of all at once": func(s *sim) {
			s.every(4*time.Second, func() {
				for i, x := range s.servers {
					if i%3 == 0 {
						s.crash(x)
					}
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				s := newSim(seed, 7, 9)
				s.loss = 0.05
				s.startPartLoad(40)
				storm(s)
				s.Run(30 * time.Second)
				require.Zero(t, s.refused, "seed %d: %d served", seed, s.served)
			}
		})
	}
}

// Under random message loss, partitions, restarts of VMs and crashes of servers, and with no, one or two
// bad parts, VMs that were not disturbed lately send a part at most three times after all must know of it.
func TestBadPartsInAnyTrouble(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{3, 7, 16}).Draw(rt, "vms"), 18)
		s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "loss")
		s.startPartLoad(20)
		for i := range rapid.IntRange(0, 2).Draw(rt, "bad_parts") {
			period := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 250 * time.Millisecond, time.Second}).Draw(rt, "period")
			s.startBadPart(i, rapid.IntRange(0, 2).Draw(rt, "index"), period)
		}
		for range rapid.IntRange(0, 5).Draw(rt, "troubles") {
			at := time.Duration(rapid.IntRange(0, 12_000).Draw(rt, "at_ms")) * time.Millisecond
			duration := time.Duration(rapid.IntRange(200, 5000).Draw(rt, "for_ms")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(rt, "trouble") {
			case 0:
				s.After(at, func() { s.partition(duration) })
			case 1:
				s.After(at, func() { s.restart(s.randomVM()) })
			default:
				s.After(at, s.crashRandom)
			}
		}
		s.Run(16 * time.Second)
		require.LessOrEqual(rt, float64(s.refused), 0.02*float64(s.served))
		for _, c := range s.badParts {
			require.LessOrEqual(rt, c.lateSends, maxLatePartSends, "%d servers ended", c.crashes)
		}
	})
}

// A part that comes with another one in each request can't be told from it: both are refused. One that
// answers have begun with since is not.
func TestPartsThatComeTogether(t *testing.T) {
	tb, bad, twin, sound := newTable(), partOf("bad"), partOf("twin"), partOf("sound")
	for i := range partLimit {
		tb.CrashedParts(at(1000*i), []shed.Fingerprint{bad, twin, sound}, "w", shed.ServerStart{Server: shed.ServerID(fmt.Sprint(i))})
		tb.RanParts(at(1000*i+50), []shed.Fingerprint{sound})
	}
	now := at(1000 * partLimit)
	require.True(t, tb.Decide(now, bad, firstTurn).Refused)
	require.True(t, tb.Decide(now, twin, firstTurn).Refused)
	require.Equal(t, poison.Verdict{}, tb.Decide(now, sound, firstTurn))
}

// A part is tried once after its quarantine, and refused for longer if it crashes a server again; an
// answer that begins clears it.
func TestPartQuarantineAndTrial(t *testing.T) {
	tb, bad := newTable(), partOf("bad")
	for i := range limit {
		tb.CrashedParts(at(i), []shed.Fingerprint{bad}, "w", shed.ServerStart{Server: shed.ServerID(fmt.Sprint(i))})
	}
	require.Equal(t, poison.Verdict{}, tb.Decide(at(50), bad, firstTurn), "reports of other VMs may be missing")
	require.True(t, tb.Decide(at(200), bad, firstTurn).Refused)
	trialAt := at(limit - 1).Add(4 * quarantine)
	require.True(t, tb.Decide(trialAt.Add(-time.Millisecond), bad, firstTurn).Refused)
	require.Equal(t, poison.Verdict{Isolate: true, Trial: true}, tb.Decide(trialAt, bad, firstTurn))
	tb.CrashedParts(trialAt.Add(time.Second), []shed.Fingerprint{bad}, "w", shed.ServerStart{Server: "again"})
	again := tb.Decide(trialAt.Add(2*time.Second), bad, firstTurn)
	require.Equal(t, poison.Verdict{Refused: true, RetryAfter: 24*quarantine - time.Second}, again)
	tb.RanParts(trialAt.Add(3*time.Second), []shed.Fingerprint{bad})
	require.Equal(t, poison.Verdict{}, tb.Decide(trialAt.Add(3*time.Second), bad, firstTurn))
}

// A part that ran well a moment ago is on three servers that end at once, before any VM's answer clears
// it: it is not refused, unless it goes on to crash servers.
func TestPartThatRanWellNeedsMore(t *testing.T) {
	tb, first := newTable(), partOf("first")
	tb.RanParts(at(0), []shed.Fingerprint{first})
	for i := range partLimit {
		tb.CrashedParts(at(10+i), []shed.Fingerprint{first, partOf(fmt.Sprint("other", i))}, "w", shed.ServerStart{Server: shed.ServerID(fmt.Sprint(i))})
		require.Equal(t, i+1 == partLimit, tb.Decide(at(200), first, firstTurn).Refused, "%d servers", i+1)
	}
}

// Guards against a VM that refuses a sound part for good: it missed the reports of the answer that cleared the
// part at all others. Its next reminder is answered.
func TestMissedClearingIsRepeated(t *testing.T) {
	stuck, other, first := newTable(), newTable(), partOf("first")
	for i := range partLimit {
		stuck.CrashedParts(at(i), []shed.Fingerprint{first}, "w", shed.ServerStart{Server: shed.ServerID(fmt.Sprint(i))})
	}
	peers := []shed.VM{"a", "b"}
	for _, r := range stuck.DueReports(at(10), peers) {
		other.Receive(at(10), r.Update)
	}
	other.RanParts(at(20), []shed.Fingerprint{first})
	for i := range 5 {
		other.DueReports(at(30+100*i), peers) // All of them are lost.
	}
	require.True(t, stuck.Decide(at(1000), first, firstTurn).Refused)
	for _, r := range stuck.DueReports(at(1500), peers) {
		other.Receive(at(1500), r.Update)
		if c, ok := other.Correction(at(1501), r.Update); ok {
			stuck.Receive(at(1501), c)
		}
	}
	require.Equal(t, poison.Verdict{}, stuck.Decide(at(1502), first, firstTurn))
}

// Parts are told apart by pool, and a prompt's last part is its request's own.
func TestPartFingerprints(t *testing.T) {
	prompt := []shed.PromptPart{{ID: "a"}, {ID: "b"}, {ID: "own"}}
	require.Equal(t, []shed.Fingerprint{partOf("a"), partOf("b")}, poison.PartFingerprints("p", prompt))
	require.NotEqual(t, partOf("a"), poison.PartFingerprint("q", "a"))
	require.Empty(t, poison.PartFingerprints("p", prompt[:1]))
}

// Guards against refusing a sound part for the crashes of several culprits: it is on all of them and ran well
// before, while each culprit has fewer crashes and was never answered.
func TestSharedPartIsNotBlamedForSeveralCulprits(t *testing.T) {
	tb, shared := newTable(), partOf("shared")
	tb.RanParts(at(0), []shed.Fingerprint{shared})
	for i := range 2 * partLimit {
		culprit := partOf(fmt.Sprint("culprit", i%3))
		tb.CrashedParts(at(10+i), []shed.Fingerprint{shared, culprit}, "w", shed.ServerStart{Server: shed.ServerID(fmt.Sprint(i))})
	}
	require.Equal(t, poison.Verdict{}, tb.Decide(at(200), shared, firstTurn))
}
