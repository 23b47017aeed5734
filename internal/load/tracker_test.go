package load_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/load"
)

const engine = shed.ServerID("engine-1")

var start = time.Unix(1_800_000_000, 0)

// fixture is a Tracker with a simulated clock that records notes and messages.
type fixture struct {
	*load.Tracker
	now   time.Time
	calls int
	notes map[shed.Reason]int
	sent  []shed.SendPeer
}

func newFixture(self shed.VM, vms ...shed.VM) *fixture {
	b := &fixture{Tracker: load.New(load.Config{Self: self}), now: start, notes: map[shed.Reason]int{}}
	b.SetServers(b.now, []*shed.Server{{ID: engine, Capacity: 16, ColdCapacity: 2}})
	b.SetView(b.now, append(vms, self))
	return b
}

func (b *fixture) apply(actions []shed.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case shed.Note:
			b.notes[a.Reason]++
		case shed.SendPeer:
			b.sent = append(b.sent, a)
		}
	}
}

func (b *fixture) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.apply(b.Handle(b.now, shed.Tick{Wall: b.now}))
}

func (b *fixture) receiveReport(r shed.LoadReport) {
	b.apply(b.Handle(b.now, shed.LoadReported{Server: engine, Report: r}))
}

func (b *fixture) isCold() bool {
	c, _ := b.Candidate(b.now, engine)
	return c.Cold
}

// runCall simulates a call whose time to the first token is first.
func (b *fixture) runCall(first time.Duration, end shed.CallEnd) {
	b.runCallToEnd(first, shed.CallEnded{End: end})
}

func (b *fixture) runCallToEnd(first time.Duration, end shed.CallEnded) {
	b.calls++
	id := shed.Call{Request: shed.RequestID(fmt.Sprint(b.calls)), Attempt: 1}
	b.RecordSent(b.now, engine, id)
	b.now = b.now.Add(first)
	b.apply(b.RecordFirstToken(b.now, id))
	b.apply(b.RecordEnd(b.now, id, end))
}

func newReport(boot string, seq, done uint64, warm bool) shed.LoadReport {
	return shed.LoadReport{Boot: boot, Sequence: seq, Done: done, Warm: warm}
}

// newWarmFixture returns a fixture whose server is warm, with a median time to the first token.
func newWarmFixture() *fixture {
	b := newFixture("a")
	b.receiveReport(newReport("x", 1, 500, true))
	for range 8 {
		b.runCall(100*time.Millisecond, shed.EndComplete)
	}
	return b
}

// A cold server that gets full load fails. Each case gives the reports that this daemon receives
// in order, and whether the server counts as cold afterwards.
func TestColdUntilShownWarm(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(b *fixture)
		cold bool
	}{
		{"nothing is known", func(_ *fixture) {}, true},
		{"this daemon restarted, the server was long warm", func(b *fixture) {
			b.receiveReport(newReport("x", 9, 500, true))
		}, false},
		{"an old report doesn't show it warm", func(b *fixture) {
			r := newReport("x", 9, 500, true)
			r.Age = time.Minute
			b.receiveReport(r)
		}, true},
		{"it calls itself warm right after its start", func(b *fixture) {
			b.receiveReport(newReport("x", 1, 0, true))
			b.advance(time.Hour)
			b.receiveReport(newReport("x", 2, 3, true))
		}, true},
		{"it completed enough", func(b *fixture) {
			b.receiveReport(newReport("x", 1, 0, true))
			b.receiveReport(newReport("x", 2, 4, true))
		}, false},
		{"it completed enough, but says it is cold", func(b *fixture) {
			b.receiveReport(newReport("x", 2, 400, false))
		}, true},
		{"it restarts", func(b *fixture) {
			b.receiveReport(newReport("x", 9, 500, true))
			b.receiveReport(newReport("y", 1, 0, true))
		}, true},
		{"a late report of the boot before", func(b *fixture) {
			b.receiveReport(newReport("x", 9, 500, true))
			b.receiveReport(newReport("y", 1, 0, false))
			b.receiveReport(newReport("x", 10, 510, true))
		}, true},
		{"it was silent", func(b *fixture) {
			b.receiveReport(newReport("x", 9, 500, true))
			b.advance(10 * time.Second)
			b.Handle(b.now, shed.ServerSilent{Server: engine})
			b.advance(time.Second)
			b.receiveReport(newReport("x", 10, 500, true))
		}, true},
		{"one reader misses a report that another had", func(b *fixture) {
			b.receiveReport(newReport("x", 9, 500, true))
			b.advance(time.Second)
			b.Handle(b.now, shed.ServerSilent{Server: engine})
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newFixture("a")
			tc.run(b)
			require.Equal(t, tc.cold, b.isCold())
		})
	}
}

// A server turns cold unnoticed and still reports itself warm. This daemon detects it by the
// symptoms of its own calls, notifies the zone, and counts the server as warm again only after
// completions.
func TestSymptomTurnsCold(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(b *fixture)
		cold bool
	}{
		{"one slow first token may be a long prompt", func(b *fixture) {
			b.runCall(900*time.Millisecond, shed.EndComplete)
		}, false},
		{"two in a row", func(b *fixture) {
			b.runCall(900*time.Millisecond, shed.EndComplete)
			b.runCall(900*time.Millisecond, shed.EndComplete)
		}, true},
		{"two that give no token at all", func(b *fixture) {
			b.RecordSent(b.now, engine, shed.Call{Request: "p"})
			b.RecordSent(b.now, engine, shed.Call{Request: "q"})
			b.advance(time.Second)
		}, true},
		{"it refuses for overload", func(b *fixture) {
			b.runCall(time.Millisecond, shed.EndOverloaded)
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newWarmFixture()
			b.SetView(b.now, []shed.VM{"a", "b"})
			tc.run(b)
			require.Equal(t, tc.cold, b.isCold())
			if !tc.cold {
				return
			}
			announced := b.sent[0].Message.(shed.LoadDigest).Reports[engine]
			require.False(t, announced.Warm)
			peer := newFixture("b", "a")
			peer.receiveReport(newReport("x", 1, 500, true))
			peer.apply(peer.Handle(peer.now, shed.PeerMessage{Message: b.sent[0].Message}))
			require.True(t, peer.isCold(), "the other daemon received the digest")
			b.advance(time.Second)
			b.receiveReport(newReport("x", 2, 502, true))
			require.True(t, b.isCold())
			b.receiveReport(newReport("x", 3, 504, true))
			require.False(t, b.isCold())
		})
	}
}

func TestReportsThatGoBackwardsAreCounted(t *testing.T) {
	b := newWarmFixture()
	b.receiveReport(newReport("x", 5, 520, true))
	b.receiveReport(newReport("x", 5, 520, true)) // forwarded by another reader
	require.Zero(t, b.notes[load.ReasonStaleReport])
	b.receiveReport(newReport("x", 4, 519, true))
	old := newReport("w", 99, 1, true)
	old.Age = time.Hour
	b.receiveReport(old)
	require.Equal(t, 2, b.notes[load.ReasonStaleReport])
}

func TestEstimateCorrectsLaggingReport(t *testing.T) {
	b := newFixture("a")
	before, after := shed.Call{Request: "before"}, shed.Call{Request: "after"}
	b.RecordSent(b.now, engine, before)
	b.advance(time.Second)
	b.receiveReport(shed.LoadReport{Boot: "x", Sequence: 1, Running: 5, Age: 100 * time.Millisecond})
	b.RecordSent(b.now, engine, after)
	c, _ := b.Candidate(b.now, engine)
	require.Equal(t, 6, c.Running, "sent since")
	require.Equal(t, 2, c.OwnCalls)
	b.advance(time.Second)
	b.apply(b.RecordEnd(b.now, before, shed.CallEnded{End: shed.EndComplete}))
	c, _ = b.Candidate(b.now, engine)
	require.Equal(t, 5, c.Running, "ended since")
}

func TestCapacityGrowsWithCompletions(t *testing.T) {
	b := newFixture("a")
	b.receiveReport(newReport("x", 1, 0, false))
	require.Equal(t, 2, b.FreeCapacity(engine))
	b.advance(time.Hour)
	require.Equal(t, 2, b.FreeCapacity(engine), "time alone adds no capacity")
	b.receiveReport(newReport("x", 2, 4, true))
	require.Equal(t, 6, b.FreeCapacity(engine))
	b.receiveReport(newReport("x", 3, 400, true))
	require.Equal(t, 16, b.FreeCapacity(engine))
}

// The first reader of a server dies or can't reach it any more. The others poll as well, and one
// of them broadcasts to the zone in its place.
func TestSecondReaderStepsIn(t *testing.T) {
	for _, firstAnnounces := range []bool{true, false} {
		t.Run(fmt.Sprintf("first reader broadcasts: %t", firstAnnounces), func(t *testing.T) {
			readers := map[shed.VM]*fixture{"a": newFixture("a", "b"), "b": newFixture("b", "a")}
			for i := range 100 {
				for _, vm := range []shed.VM{"a", "b"} {
					b := readers[vm]
					b.advance(100 * time.Millisecond)
					b.receiveReport(shed.LoadReport{Boot: "x", Sequence: uint64(i), Running: i / 10})
				}
				if first := firstReader(readers); firstAnnounces {
					for _, s := range first.sent {
						readers[s.To].Handle(start, shed.PeerMessage{Message: s.Message})
					}
				}
			}
			second := readers["a"]
			if firstReader(readers) == second {
				second = readers["b"]
			}
			require.Equal(t, firstAnnounces, len(second.sent) == 0)
		})
	}
}

func firstReader(readers map[shed.VM]*fixture) *fixture {
	if len(readers["a"].sent) >= len(readers["b"].sent) {
		return readers["a"]
	}
	return readers["b"]
}

// BenchmarkDigestBytes measures the bytes of digests that one daemon of a zone with 52 daemons
// sends per second. Each server's load changes by up to a fifth of its capacity per second,
// which is a lot.
func BenchmarkDigestBytes(b *testing.B) {
	for _, servers := range []int{48, 192, 400} {
		for _, threshold := range []float64{0.1, 0.25, 0.5} {
			b.Run(fmt.Sprintf("servers=%d/threshold=%.2f", servers, threshold), func(b *testing.B) {
				for b.Loop() {
					digestBytes(b, servers, threshold)
				}
			})
		}
	}
}

func digestBytes(b *testing.B, n int, threshold float64) {
	const daemons, seconds, capacity = 52, 60, 16
	rng := rand.New(rand.NewPCG(1, 1))
	var vms []shed.VM
	for i := range daemons {
		vms = append(vms, shed.VM(fmt.Sprintf("10.0.0.%d:7400", i)))
	}
	var servers []*shed.Server
	actual := map[shed.ServerID]*shed.LoadReport{}
	for i := range n {
		s := &shed.Server{ID: shed.ServerID(fmt.Sprintf("drafting-%03d", i)), Capacity: capacity, ColdCapacity: 2}
		servers = append(servers, s)
		actual[s.ID] = &shed.LoadReport{Boot: fmt.Sprintf("%08x", i), Warm: true, Done: 1000, Model: "draft-13b@4", Running: 8}
	}
	trackers := map[shed.VM]*load.Tracker{}
	for _, vm := range vms {
		trackers[vm] = load.New(load.Config{Self: vm, Threshold: threshold})
		trackers[vm].SetServers(start, servers)
		trackers[vm].SetView(start, vms)
	}
	bytes, polls := 0, 0
	for tick := range seconds * 10 {
		now := start.Add(time.Duration(tick) * shed.TickEvery)
		for _, s := range servers {
			r := actual[s.ID]
			r.Sequence++
			if tick%10 == 0 {
				r.Running = min(capacity, max(0, r.Running+rng.IntN(7)-3))
				r.Done += uint64(rng.IntN(8))
			}
		}
		for _, vm := range vms {
			for _, a := range trackers[vm].Handle(now, shed.Tick{Wall: now}) {
				switch a := a.(type) {
				case shed.PollServer:
					polls++
					trackers[vm].Handle(now, shed.LoadReported{Server: a.Server, Report: *actual[a.Server]})
				case shed.SendPeer:
					out, _ := cbor.Marshal(a.Message)
					bytes += len(out)
					trackers[a.To].Handle(now, shed.PeerMessage{From: shed.Peer{VM: vm}, Message: a.Message})
				}
			}
		}
	}
	b.ReportMetric(float64(bytes)/seconds/daemons, "B/s/daemon")
	b.ReportMetric(float64(polls)/seconds/daemons, "polls/s/daemon")
}

// BenchmarkTracker measures one daemon at the design size: 192 servers, 52 daemons, a hundred calls
// in flight.
func BenchmarkTracker(b *testing.B) {
	tracker := load.New(load.Config{Self: "vm-0"})
	var vms []shed.VM
	for i := range 52 {
		vms = append(vms, shed.VM(fmt.Sprintf("vm-%d", i)))
	}
	var servers []*shed.Server
	for i := range 192 {
		servers = append(servers, &shed.Server{ID: shed.ServerID(fmt.Sprintf("drafting-%03d", i)), Capacity: 16, ColdCapacity: 2})
	}
	tracker.SetServers(start, servers)
	tracker.SetView(start, vms)
	for i := range 100 {
		tracker.RecordSent(start, servers[i].ID, shed.Call{Request: shed.RequestID(fmt.Sprint(i))})
	}
	b.Run("tick", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			now := start.Add(time.Duration(i) * shed.TickEvery)
			tracker.Handle(now, shed.Tick{Wall: now})
		}
	})
	b.Run("candidates_of_a_pool_of_40", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			for _, s := range servers[:40] {
				tracker.Candidate(start, s.ID)
			}
		}
	})
	b.Run("view_changes", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			tracker.SetView(start, vms[i%2:])
		}
	})
}
