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

// deadBound is the stated bound within which a process that died has left
// every view of its zone.
const deadBound = 10 * time.Second

func converged(t *testing.T, seed uint64, sizes ...int) *network {
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

// The network loses one message in twenty. That may raise a suspicion, but the
// suspect denies it: nobody is called dead.
func TestLossKillsNobody(t *testing.T) {
	for _, n := range []int{3, 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := converged(t, 11, n)
			w.cut = func(_, _ *node) bool { return w.rng.IntN(20) == 0 }
			w.run(30 * time.Minute)
			t.Logf("suspected %d times, denied each time", w.notes[member.ReasonPeerSuspect])
			require.Zero(t, w.notes[member.ReasonPeerDead])
		})
	}
}

// A caller whose ticket's home died must hear so, and cold servers must get
// their slots back: the dead process leaves every view, and nobody else does.
func TestDeadLeavesEveryView(t *testing.T) {
	for _, n := range []int{3, 6, 20, 52} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(8) {
				w := converged(t, seed, n)
				w.run(time.Duration(w.rng.IntN(10)) * shed.TickEvery)
				gone := w.nodes[w.rng.IntN(n)]
				gone.up = false
				took, ok := w.until(deadBound, func() bool { return w.agree(zoneA) })
				require.True(t, ok, "seed %d", seed)
				worst = max(worst, took)
				state, _ := w.nodes[(w.rng.IntN(n-1)+1)%n].Home(gone.self)
				require.Contains(t, []member.HomeState{member.HomeDead, member.HomeAlive}, state)
			}
			t.Logf("%d processes: out of every view after %s at the latest", n, worst)
		})
	}
}

// A process is paused for half a minute and wakes up late. Its peers have held
// it dead meanwhile. It must notice before it acts, call nobody dead, and be
// back in every view soon after.
func TestFrozenProcessComesBack(t *testing.T) {
	for _, tc := range []struct {
		name    string
		suspend bool
	}{{"paused process", false}, {"suspended VM, monotonic clock stands still", true}} {
		t.Run(tc.name, func(t *testing.T) {
			w := converged(t, 2, 8)
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
			require.Equal(t, dead, w.notes[member.ReasonPeerDead], "nobody was called dead after the wake")
		})
	}
}

// One process no longer reaches another, but hears it. Others reach both, so
// neither may be called dead, however long it lasts.
func TestOneWayCutDoesNotFlap(t *testing.T) {
	for _, n := range []int{4, 8, 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := converged(t, 3, n)
			w.cut = func(from, to *node) bool { return from == w.nodes[0] && to == w.nodes[1] }
			for range 300 {
				w.run(time.Second)
				require.True(t, w.agree(zoneA))
			}
			require.Zero(t, w.notes[member.ReasonPeerDead])
		})
	}
}

// A process hears everybody, but nobody hears it. Its zone calls it dead and
// takes its slots; it must stop relying on its view before that, though all it
// hears looks well.
func TestUnheardProcessLosesConfirmation(t *testing.T) {
	for seed := range uint64(8) {
		w := converged(t, seed, 7)
		mute := w.nodes[2]
		w.cut = func(from, _ *node) bool { return from == mute }
		took, ok := w.until(deadBound, func() bool { return !mute.Confirmed(w.now) })
		require.True(t, ok)
		require.Len(t, w.nodes[0].View().Zone(zoneA), 7, "out of view %s after the cut, before it noticed", took)
		for range 600 {
			w.run(shed.TickEvery)
			// Once it holds all others dead it goes on alone, as one that is cut
			// off must; then it is a minority, which slots go by.
			alone := len(mute.View().Zone(zoneA)) == 1
			require.True(t, alone || !mute.Confirmed(w.now))
		}
		require.Len(t, w.nodes[0].View().Zone(zoneA), 6)
		w.cut = func(_, _ *node) bool { return false }
		_, ok = w.until(15*time.Second, func() bool { return w.agree(zoneA) && mute.Confirmed(w.now) })
		require.True(t, ok, "seed %d", seed)
	}
}

// The zone splits in two; each part goes on with itself. When the split ends
// the parts find one another again with nobody's help.
func TestSplitHeals(t *testing.T) {
	for _, n := range []int{2, 6, 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := converged(t, 4, n)
			half := map[*node]bool{}
			for i, x := range w.nodes {
				half[x] = i < n/2
			}
			w.cut = func(from, to *node) bool { return half[from] != half[to] }
			w.run(5 * time.Minute)
			require.Len(t, w.nodes[0].View().Zone(zoneA), n/2)
			require.Len(t, w.nodes[0].Known(), n-1)
			w.cut = func(_, _ *node) bool { return false }
			took, ok := w.until(time.Minute, func() bool { return w.agree(zoneA) })
			require.True(t, ok)
			t.Logf("%d processes agree %s after the split ended", n, took)
		})
	}
}

func TestZoneCutOffComesBack(t *testing.T) {
	w := converged(t, 5, 5, 5, 3)
	require.Len(t, w.nodes[0].View().Zone(zoneB), 3, "contacts")
	w.cut = func(from, to *node) bool { return (from.zone == zoneB) != (to.zone == zoneB) }
	w.run(3 * time.Minute)
	require.Empty(t, w.nodes[0].View().Zone(zoneB))
	require.Len(t, w.nodes[5].View().Zone(zoneB), 5, "a zone that is cut off goes on by itself")
	w.cut = func(_, _ *node) bool { return false }
	took, ok := w.until(time.Minute, func() bool { return len(w.nodes[0].View().Zone(zoneB)) == 3 })
	require.True(t, ok)
	t.Logf("contacts back %s after the cut ended", took)
}

func TestRestartedProcessReplacesItself(t *testing.T) {
	w := converged(t, 6, 6)
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

// A ticket's home stops and hands its tickets over. A caller comes to another
// daemon with the ticket: it must learn the heir, also after the VM has a new
// process, and in another zone.
func TestHeirIsKnownEverywhere(t *testing.T) {
	w := converged(t, 7, 6, 3)
	n, heir := w.nodes[1], w.nodes[2].self
	old := n.self
	w.perform(n, n.Handle(w.now, shed.StopRequested{}))
	w.run(time.Second)
	state, _ := w.nodes[4].Home(old)
	require.Equal(t, member.HomeAlive, state, "it still has its tickets")
	require.Len(t, w.nodes[4].View().Zone(zoneA), 5)
	w.perform(n, n.Leave(heir))
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
		require.Equal(t, heir, to)
	}
}

// All 78 VMs of a fleet lose power and start at once; each knows three seeds and
// no list. Until they know each other they choose different VMs for the same work,
// and callers' pieces find servers full. With long answers and short rounds at the
// start they agree within a second and a half; without, it takes over two.
func TestFleetThatStartsAtOnceAgrees(t *testing.T) {
	for _, tc := range []struct {
		name         string
		cfg          member.Config
		after, until time.Duration
	}{
		{"as zones", member.Config{}, 2 * time.Second, 20 * time.Second},
		{"long answers, short rounds", member.Config{
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
	w := converged(t, 8, 4)
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
		{"of a process long gone", past, past, member.ReasonStaleIncarnation},
		{"says it is another", w.nodes[2].self, other, member.ReasonForgedIncarnation},
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

// BenchmarkBytes gives what one daemon sends for membership in a second, at
// rest and while one process in the zone restarts every ten seconds.
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
	// The news of the common start takes a while to be told to the end.
	w.run(4 * time.Minute)
	w.count = true
	const length = 60
	for i := range length {
		if restarts && i%10 == 0 {
			w.start(w.nodes[i%n])
		}
		w.run(time.Second)
	}
	b.ReportMetric(float64(w.bytes)/length/float64(n), "B/s/daemon")
}

// BenchmarkSecond gives the time that one daemon of a zone of 52 in a fleet of
// 670 takes for a second of membership, the in-memory network included.
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
