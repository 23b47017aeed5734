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

// bench is one book and its clock.
type bench struct {
	*load.Tracker
	now   time.Time
	calls int
	notes map[shed.Reason]int
	sent  []shed.SendPeer
}

func newBench(self shed.VM, vms ...shed.VM) *bench {
	b := &bench{Tracker: load.New(load.Config{Self: self}), now: start, notes: map[shed.Reason]int{}}
	b.SetServers(b.now, []*shed.Server{{ID: engine, Capacity: 16, ColdCapacity: 2}})
	b.SetView(b.now, append(vms, self))
	return b
}

func (b *bench) do(actions []shed.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case shed.Note:
			b.notes[a.Reason]++
		case shed.SendPeer:
			b.sent = append(b.sent, a)
		}
	}
}

func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.do(b.Handle(b.now, shed.Tick{Wall: b.now}))
}

func (b *bench) report(r shed.LoadReport) {
	b.do(b.Handle(b.now, shed.LoadReported{Server: engine, Report: r}))
}

func (b *bench) cold() bool {
	c, _ := b.Candidate(b.now, engine)
	return c.Cold
}

// call runs one call whose first token takes first.
func (b *bench) call(first time.Duration, end shed.CallEnd) {
	b.calls++
	id := shed.Call{Request: shed.RequestID(fmt.Sprint(b.calls)), Attempt: 1}
	b.RecordSent(b.now, engine, id)
	b.now = b.now.Add(first)
	b.do(b.RecordFirstToken(b.now, id))
	b.do(b.RecordEnd(b.now, id, end))
}

func report(boot string, seq, done uint64, warm bool) shed.LoadReport {
	return shed.LoadReport{Boot: boot, Sequence: seq, Done: done, Warm: warm}
}

// warm returns a book that knows its server to be warm and its usual times.
func warm() *bench {
	b := newBench("a")
	b.report(report("x", 1, 500, true))
	for range 8 {
		b.call(100*time.Millisecond, shed.EndComplete)
	}
	return b
}

// A cold server that gets full load falls over. Each case says what this daemon
// hears in which order, and whether it may hold the server warm then.
func TestColdUntilShownWarm(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(b *bench)
		cold bool
	}{
		{"nothing is known", func(_ *bench) {}, true},
		{"this daemon restarted, the server was long warm", func(b *bench) {
			b.report(report("x", 9, 500, true))
		}, false},
		{"an old report doesn't show it warm", func(b *bench) {
			r := report("x", 9, 500, true)
			r.Age = time.Minute
			b.report(r)
		}, true},
		{"it calls itself warm right after its start", func(b *bench) {
			b.report(report("x", 1, 0, true))
			b.pass(time.Hour)
			b.report(report("x", 2, 3, true))
		}, true},
		{"it completed enough", func(b *bench) {
			b.report(report("x", 1, 0, true))
			b.report(report("x", 2, 4, true))
		}, false},
		{"it completed enough, but says it is cold", func(b *bench) {
			b.report(report("x", 2, 400, false))
		}, true},
		{"it restarts", func(b *bench) {
			b.report(report("x", 9, 500, true))
			b.report(report("y", 1, 0, true))
		}, true},
		{"a late report of the boot before", func(b *bench) {
			b.report(report("x", 9, 500, true))
			b.report(report("y", 1, 0, false))
			b.report(report("x", 10, 510, true))
		}, true},
		{"it was silent", func(b *bench) {
			b.report(report("x", 9, 500, true))
			b.pass(10 * time.Second)
			b.Handle(b.now, shed.ServerSilent{Server: engine})
			b.pass(time.Second)
			b.report(report("x", 10, 500, true))
		}, true},
		{"one reader misses a report that another had", func(b *bench) {
			b.report(report("x", 9, 500, true))
			b.pass(time.Second)
			b.Handle(b.now, shed.ServerSilent{Server: engine})
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench("a")
			tc.run(b)
			require.Equal(t, tc.cold, b.cold())
		})
	}
}

// A server turns cold without a word and goes on calling itself warm. This
// daemon sees it by what its own calls meet, tells the zone, and believes the
// server again only after completions.
func TestSymptomTurnsCold(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(b *bench)
		cold bool
	}{
		{"one slow first token may be a long prompt", func(b *bench) {
			b.call(900*time.Millisecond, shed.EndComplete)
		}, false},
		{"two in a row", func(b *bench) {
			b.call(900*time.Millisecond, shed.EndComplete)
			b.call(900*time.Millisecond, shed.EndComplete)
		}, true},
		{"two that give no token at all", func(b *bench) {
			b.RecordSent(b.now, engine, shed.Call{Request: "p"})
			b.RecordSent(b.now, engine, shed.Call{Request: "q"})
			b.pass(time.Second)
		}, true},
		{"it refuses for overload", func(b *bench) {
			b.call(time.Millisecond, shed.EndOverloaded)
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := warm()
			b.SetView(b.now, []shed.VM{"a", "b"})
			tc.run(b)
			require.Equal(t, tc.cold, b.cold())
			if !tc.cold {
				return
			}
			word := b.sent[0].Message.(shed.LoadDigest).Reports[engine]
			require.False(t, word.Warm)
			other := newBench("b", "a")
			other.report(report("x", 1, 500, true))
			other.do(other.Handle(other.now, shed.PeerMessage{Message: b.sent[0].Message}))
			require.True(t, other.cold(), "the other daemon heard")
			b.pass(time.Second)
			b.report(report("x", 2, 502, true))
			require.True(t, b.cold())
			b.report(report("x", 3, 504, true))
			require.False(t, b.cold())
		})
	}
}

func TestReportsThatGoBackwardsAreCounted(t *testing.T) {
	b := warm()
	b.report(report("x", 5, 520, true))
	b.report(report("x", 5, 520, true)) // by way of another reader
	require.Zero(t, b.notes[load.ReasonStaleReport])
	b.report(report("x", 4, 519, true))
	old := report("w", 99, 1, true)
	old.Age = time.Hour
	b.report(old)
	require.Equal(t, 2, b.notes[load.ReasonStaleReport])
}

func TestEstimateCorrectsLaggingReport(t *testing.T) {
	b := newBench("a")
	before, after := shed.Call{Request: "before"}, shed.Call{Request: "after"}
	b.RecordSent(b.now, engine, before)
	b.pass(time.Second)
	b.report(shed.LoadReport{Boot: "x", Sequence: 1, Running: 5, Age: 100 * time.Millisecond})
	b.RecordSent(b.now, engine, after)
	c, _ := b.Candidate(b.now, engine)
	require.Equal(t, 6, c.Running, "sent since")
	require.Equal(t, 2, c.OwnCalls)
	b.pass(time.Second)
	b.do(b.RecordEnd(b.now, before, shed.EndComplete))
	c, _ = b.Candidate(b.now, engine)
	require.Equal(t, 5, c.Running, "ended since")
}

func TestRoomGrowsWithCompletions(t *testing.T) {
	b := newBench("a")
	b.report(report("x", 1, 0, false))
	require.Equal(t, 2, b.FreeCapacity(engine))
	b.pass(time.Hour)
	require.Equal(t, 2, b.FreeCapacity(engine), "time alone shows nothing")
	b.report(report("x", 2, 4, true))
	require.Equal(t, 6, b.FreeCapacity(engine))
	b.report(report("x", 3, 400, true))
	require.Equal(t, 16, b.FreeCapacity(engine))
}

// The first reader of a server dies, or loses its way to it. The others poll
// as well, and one of them tells the zone in its place.
func TestSecondReaderStepsIn(t *testing.T) {
	for _, firstTells := range []bool{true, false} {
		t.Run(fmt.Sprintf("first reader tells: %t", firstTells), func(t *testing.T) {
			readers := map[shed.VM]*bench{"a": newBench("a", "b"), "b": newBench("b", "a")}
			for i := range 100 {
				for _, vm := range []shed.VM{"a", "b"} {
					b := readers[vm]
					b.pass(100 * time.Millisecond)
					b.report(shed.LoadReport{Boot: "x", Sequence: uint64(i), Running: i / 10})
				}
				if first := firstReader(readers); firstTells {
					for _, s := range first.sent {
						readers[s.To].Handle(start, shed.PeerMessage{Message: s.Message})
					}
				}
			}
			second := readers["a"]
			if firstReader(readers) == second {
				second = readers["b"]
			}
			require.Equal(t, firstTells, len(second.sent) == 0)
		})
	}
}

func firstReader(readers map[shed.VM]*bench) *bench {
	if len(readers["a"].sent) >= len(readers["b"].sent) {
		return readers["a"]
	}
	return readers["b"]
}

// BenchmarkDigestBytes gives what one daemon of a zone with 52 sends in digests
// in a second. Each server's load wanders by up to a fifth of its capacity a
// second, which is a lot.
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
	truth := map[shed.ServerID]*shed.LoadReport{}
	for i := range n {
		s := &shed.Server{ID: shed.ServerID(fmt.Sprintf("drafting-%03d", i)), Capacity: capacity, ColdCapacity: 2}
		servers = append(servers, s)
		truth[s.ID] = &shed.LoadReport{Boot: fmt.Sprintf("%08x", i), Warm: true, Done: 1000, Model: "draft-13b@4", Running: 8}
	}
	books := map[shed.VM]*load.Tracker{}
	for _, vm := range vms {
		books[vm] = load.New(load.Config{Self: vm, Threshold: threshold})
		books[vm].SetServers(start, servers)
		books[vm].SetView(start, vms)
	}
	bytes, polls := 0, 0
	for tick := range seconds * 10 {
		now := start.Add(time.Duration(tick) * shed.TickEvery)
		for _, s := range servers {
			r := truth[s.ID]
			r.Sequence++
			if tick%10 == 0 {
				r.Running = min(capacity, max(0, r.Running+rng.IntN(7)-3))
				r.Done += uint64(rng.IntN(8))
			}
		}
		for _, vm := range vms {
			for _, a := range books[vm].Handle(now, shed.Tick{Wall: now}) {
				switch a := a.(type) {
				case shed.PollServer:
					polls++
					books[vm].Handle(now, shed.LoadReported{Server: a.Server, Report: *truth[a.Server]})
				case shed.SendPeer:
					out, _ := cbor.Marshal(a.Message)
					bytes += len(out)
					books[a.To].Handle(now, shed.PeerMessage{From: shed.Peer{VM: vm}, Message: a.Message})
				}
			}
		}
	}
	b.ReportMetric(float64(bytes)/seconds/daemons, "B/s/daemon")
	b.ReportMetric(float64(polls)/seconds/daemons, "polls/s/daemon")
}

// BenchmarkBook is one daemon of the design size: 192 servers, 52 daemons, a
// hundred calls in flight.
func BenchmarkBook(b *testing.B) {
	book := load.New(load.Config{Self: "vm-0"})
	var vms []shed.VM
	for i := range 52 {
		vms = append(vms, shed.VM(fmt.Sprintf("vm-%d", i)))
	}
	var servers []*shed.Server
	for i := range 192 {
		servers = append(servers, &shed.Server{ID: shed.ServerID(fmt.Sprintf("drafting-%03d", i)), Capacity: 16, ColdCapacity: 2})
	}
	book.SetServers(start, servers)
	book.SetView(start, vms)
	for i := range 100 {
		book.RecordSent(start, servers[i].ID, shed.Call{Request: shed.RequestID(fmt.Sprint(i))})
	}
	b.Run("tick", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			now := start.Add(time.Duration(i) * shed.TickEvery)
			book.Handle(now, shed.Tick{Wall: now})
		}
	})
	b.Run("candidates_of_a_pool_of_40", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			for _, s := range servers[:40] {
				book.Candidate(start, s.ID)
			}
		}
	})
	b.Run("view_changes", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			book.SetView(start, vms[i%2:])
		}
	})
}
