package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/member"
)

const zoneA, zoneB = shed.ZoneID("nl-west-a"), shed.ZoneID("nl-west-b")

// deadBound is the stated bound within which a dead process has left every view of its zone.
const deadBound = 10 * time.Second

func newConvergedNetwork(t *testing.T, seed uint64, sizes ...int) *network {
	t.Helper()
	w := newNetwork(seed, sizes...)
	took, ok := w.until(20*time.Second, func() bool { return w.agree(zoneA) })
	require.True(t, ok, "no agreement after %s", took)
	w.run(10 * time.Second)
	for _, n := range w.nodes {
		require.True(t, n.Confirmed(w.now), n.self.VM)
	}
	return w
}

func TestZoneAgrees(t *testing.T) {
	for _, n := range []int{1, 2, 6, 12, 20, 52} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newNetwork(1, n)
			took, ok := w.until(20*time.Second, func() bool { return w.agree(zoneA) })
			require.True(t, ok)
			t.Logf("%d processes agree after %s", n, took)
			w.run(5 * time.Minute)
			require.True(t, w.agree(zoneA))
			require.Zero(t, w.notes[member.ReasonPeerSuspect])
		})
	}
}

// The network loses one message in twenty. Processes may be suspected, but refute that: none may be
// declared dead.
func TestLossKillsNobody(t *testing.T) {
	for _, n := range []int{3, 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newConvergedNetwork(t, 11, n)
			w.isPartitioned = func(_, _ *node) bool { return w.rng.IntN(20) == 0 }
			w.run(30 * time.Minute)
			t.Logf("suspected %d times, refuted each time", w.notes[member.ReasonPeerSuspect])
			require.Zero(t, w.notes[member.ReasonPeerDead])
		})
	}
}

// A caller must learn that the home of its ticket died, and the slots of cold servers must be
// reassigned: the dead process leaves every view, and no other process does.
func TestDeadLeavesEveryView(t *testing.T) {
	for _, n := range []int{3, 6, 20, 52} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			longest := time.Duration(0)
			for seed := range uint64(8) {
				w := newConvergedNetwork(t, seed, n)
				w.run(time.Duration(w.rng.IntN(10)) * shed.TickEvery)
				dead := w.nodes[w.rng.IntN(n)]
				dead.up = false
				took, ok := w.until(deadBound, func() bool { return w.agree(zoneA) })
				require.True(t, ok, "seed %d", seed)
				longest = max(longest, took)
				state, _ := w.nodes[(w.rng.IntN(n-1)+1)%n].Home(dead.self)
				require.Contains(t, []member.HomeState{member.HomeDead, member.HomeAlive}, state)
			}
			t.Logf("%d processes: out of every view after %s at the latest", n, longest)
		})
	}
}

// A process is paused for half a minute, and its peers declare it dead. When it resumes, it must
// detect the pause before it acts, declare no peer dead, and soon be in every view again.
func TestFrozenProcessComesBack(t *testing.T) {
	for _, tc := range []struct {
		name    string
		suspend bool
	}{{"paused process", false}, {"suspended VM, monotonic clock stands still", true}} {
		t.Run(tc.name, func(t *testing.T) {
			w := newConvergedNetwork(t, 2, 8)
			n := w.nodes[3]
			w.freeze(n, 30*time.Second, tc.suspend)
			w.run(25 * time.Second)
			require.False(t, n.Confirmed(w.now), "before its first tick")
			require.Len(t, w.nodes[0].View().Zone(zoneA), 7)
			dead := w.notes[member.ReasonPeerDead]
			w.run(5 * time.Second)
			require.True(t, n.WasPaused())
			require.False(t, n.Confirmed(w.now))
			took, ok := w.until(5*time.Second, func() bool { return w.agree(zoneA) && n.Confirmed(w.now) })
			require.True(t, ok)
			t.Logf("back and confirmed after %s", took)
			w.run(30 * time.Second)
			require.True(t, w.agree(zoneA))
			require.Equal(t, dead, w.notes[member.ReasonPeerDead], "no process was declared dead after the pause")
		})
	}
}

// One process can't send to another, but receives from it. Other peers reach both, so neither may
// be declared dead, however long it lasts.
func TestOneWayPartitionDoesNotFlap(t *testing.T) {
	for _, n := range []int{4, 8, 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newConvergedNetwork(t, 3, n)
			w.isPartitioned = func(from, to *node) bool { return from == w.nodes[0] && to == w.nodes[1] }
			for range 300 {
				w.run(time.Second)
				require.True(t, w.agree(zoneA))
			}
			require.Zero(t, w.notes[member.ReasonPeerDead])
		})
	}
}

// A process receives all messages, but all that it sends are lost. Its zone declares it dead and
// reassigns its slots; it must stop trusting its view before that, though all that it receives
// looks normal.
func TestUnheardProcessLosesConfirmation(t *testing.T) {
	for seed := range uint64(8) {
		w := newConvergedNetwork(t, seed, 7)
		unheard := w.nodes[2]
		w.isPartitioned = func(from, _ *node) bool { return from == unheard }
		took, ok := w.until(deadBound, func() bool { return !unheard.Confirmed(w.now) })
		require.True(t, ok)
		require.Len(t, w.nodes[0].View().Zone(zoneA), 7, "after %s it was out of view before it lost confirmation", took)
		for range 600 {
			w.run(shed.TickEvery)
			// Once it considers all others dead, it continues alone, as a partitioned
			// process must; it is a minority then, and slots need a majority.
			alone := len(unheard.View().Zone(zoneA)) == 1
			require.True(t, alone || !unheard.Confirmed(w.now))
		}
		require.Len(t, w.nodes[0].View().Zone(zoneA), 6)
		w.isPartitioned = func(_, _ *node) bool { return false }
		_, ok = w.until(15*time.Second, func() bool { return w.agree(zoneA) && unheard.Confirmed(w.now) })
		require.True(t, ok, "seed %d", seed)
	}
}

// The zone is partitioned, and each side continues by itself. After the partition both sides must
// rejoin without help from outside.
func TestSplitHeals(t *testing.T) {
	for _, n := range []int{2, 6, 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newConvergedNetwork(t, 4, n)
			half := map[*node]bool{}
			for i, x := range w.nodes {
				half[x] = i < n/2
			}
			w.isPartitioned = func(from, to *node) bool { return half[from] != half[to] }
			w.run(5 * time.Minute)
			require.Len(t, w.nodes[0].View().Zone(zoneA), n/2)
			require.Len(t, w.nodes[0].Known(), n-1)
			w.isPartitioned = func(_, _ *node) bool { return false }
			took, ok := w.until(time.Minute, func() bool { return w.agree(zoneA) })
			require.True(t, ok)
			t.Logf("%d processes agree %s after the partition ended", n, took)
		})
	}
}

func TestPartitionedZoneReturns(t *testing.T) {
	w := newConvergedNetwork(t, 5, 5, 5, 3)
	require.Len(t, w.nodes[0].View().Zone(zoneB), 3, "contacts")
	w.isPartitioned = func(from, to *node) bool { return (from.zone == zoneB) != (to.zone == zoneB) }
	w.run(3 * time.Minute)
	require.Empty(t, w.nodes[0].View().Zone(zoneB))
	require.Len(t, w.nodes[5].View().Zone(zoneB), 5, "a partitioned zone continues by itself")
	w.isPartitioned = func(_, _ *node) bool { return false }
	took, ok := w.until(time.Minute, func() bool { return len(w.nodes[0].View().Zone(zoneB)) == 3 })
	require.True(t, ok)
	t.Logf("contacts are back %s after the partition ended", took)
}

func TestRestartedProcessReplacesItself(t *testing.T) {
	w := newConvergedNetwork(t, 6, 6)
	n := w.nodes[1]
	old := n.self
	w.start(n)
	took, ok := w.until(15*time.Second, func() bool { return w.agree(zoneA) })
	require.True(t, ok)
	t.Logf("replaced in every view after %s", took)
	state, _ := w.nodes[4].Home(old)
	require.Equal(t, member.HomeDead, state)
	state, _ = w.nodes[4].Home(n.self)
	require.Equal(t, member.HomeAlive, state)
}

// The home of a ticket stops and hands its tickets over. A caller that presents the ticket to
// another daemon must get the successor, also after a new process has started on the VM, and in
// another zone.
func TestSuccessorIsKnownEverywhere(t *testing.T) {
	w := newConvergedNetwork(t, 7, 6, 3)
	n, successor := w.nodes[1], w.nodes[2].self
	old := n.self
	w.perform(n, n.Handle(w.now, shed.StopRequested{}))
	w.run(time.Second)
	state, _ := w.nodes[4].Home(old)
	require.Equal(t, member.HomeAlive, state, "the leaving process still has its tickets")
	require.Len(t, w.nodes[4].View().Zone(zoneA), 5)
	w.perform(n, n.Leave(successor))
	w.run(3 * time.Second)
	n.up = false
	w.run(5 * time.Second)
	w.start(n)
	w.run(40 * time.Second)
	for _, x := range w.nodes {
		if x == n {
			continue
		}
		state, to := x.Home(old)
		require.Equal(t, member.HomeLeft, state, x.self.VM)
		require.Equal(t, successor, to)
	}
}

// All 78 VMs of a fleet lose power and start at once; each has three seeds and no list. Until they
// know each other they choose different VMs for the same work, and callers' pieces find servers
// full. With large answers and short rounds at the start they agree within 1.5 s; without, it takes
// over 2 s.
func TestFleetThatStartsAtOnceAgrees(t *testing.T) {
	for _, tc := range []struct {
		name         string
		cfg          member.Config
		after, until time.Duration
	}{
		{"defaults", member.Config{}, 2 * time.Second, 20 * time.Second},
		{"large answers, short rounds", member.Config{
			MaxSyncMembers: 100, JoinDuration: 1500 * time.Millisecond, JoinInterval: 200 * time.Millisecond,
		}, 0, 1500 * time.Millisecond},
	} {
		for seed := range uint64(5) {
			w := newNetwork(seed+1, 78)
			cfg := tc.cfg
			cfg.ProbeInterval, cfg.AckTimeout, cfg.SuspectTimeout = 500*time.Millisecond, 300*time.Millisecond, time.Second
			cfg.Seeds = []shed.VM{w.nodes[3].self.VM, w.nodes[30].self.VM, w.nodes[60].self.VM}
			w.cfg = &cfg
			for _, n := range w.nodes {
				w.start(n)
			}
			took, ok := w.until(tc.until, func() bool { return w.agree(zoneA) })
			require.True(t, ok, tc.name)
			require.GreaterOrEqual(t, took, tc.after, tc.name)
			t.Logf("%s: %v", tc.name, took)
		}
	}
}

func TestForgedAndStaleIncarnations(t *testing.T) {
	w := newConvergedNetwork(t, 8, 4)
	n, other := w.nodes[0], w.nodes[1].self
	far := shed.Peer{VM: other.VM, Incarnation: shed.Incarnation(w.now.Add(48 * time.Hour).UnixNano())}
	past := shed.Peer{VM: other.VM, Incarnation: 1}
	for _, tc := range []struct {
		name   string
		from   shed.Peer
		self   shed.Peer
		reason shed.Reason
	}{
		{"from the future", far, far, member.ReasonForgedIncarnation},
		{"of an earlier process", past, past, member.ReasonStaleIncarnation},
		{"claims to be another process", w.nodes[2].self, other, member.ReasonForgedIncarnation},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := shed.Member{Peer: tc.self, Zone: zoneA, Status: shed.StatusAlive}
			out := n.Handle(w.now, shed.PeerMessage{From: tc.from, Message: shed.Probe{Self: m}})
			require.Equal(t, tc.reason, out[0].(shed.Note).Reason)
			got, _ := n.Lookup(other.VM)
			require.Equal(t, other, got.Peer)
		})
	}
}

// BenchmarkBytes reports the bytes that one daemon sends for membership per second, at rest and
// while one process in the zone restarts every ten seconds.
func BenchmarkBytes(b *testing.B) {
	for _, far := range []int{0, 12} {
		for _, n := range []int{8, 52, 200} {
			for _, restarts := range []bool{false, true} {
				b.Run(fmt.Sprintf("zone=%d/far_zones=%d/restarts=%t", n, far, restarts), func(b *testing.B) {
					for b.Loop() {
						measureBytes(b, n, far, restarts)
					}
				})
			}
		}
	}
}

func measureBytes(b *testing.B, n, far int, restarts bool) {
	sizes := []int{n}
	for range far {
		sizes = append(sizes, 3)
	}
	w := newNetwork(9, sizes...)
	took, _ := w.until(3*time.Minute, func() bool { return w.agree(zoneA) })
	b.ReportMetric(took.Seconds(), "s_to_agree")
	// The updates of the common start are gossiped for a while.
	w.run(4 * time.Minute)
	w.countBytes = true
	const length = 60
	for i := range length {
		if restarts && i%10 == 0 {
			w.start(w.nodes[i%n])
		}
		w.run(time.Second)
	}
	b.ReportMetric(float64(w.bytes)/length/float64(n), "B/s/daemon")
}

// BenchmarkSecond reports the time that one daemon of a zone of 52 in a fleet of 670 needs for one
// second of membership, including the in-memory network.
func BenchmarkSecond(b *testing.B) {
	w := newNetwork(10, 52)
	for z := range 12 {
		for i := range 51 {
			vm := shed.VM(fmt.Sprintf("10.%d.0.%d:7400", z+1, i))
			w.list = append(w.list, shed.VMEntry{VM: vm, Zone: shed.ZoneID(fmt.Sprintf("zone-%d", z))})
		}
	}
	w.run(30 * time.Second)
	b.ReportAllocs()
	for b.Loop() {
		w.run(time.Second)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/52, "us/s/daemon")
}
