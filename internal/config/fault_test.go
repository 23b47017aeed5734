package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

// settled is a fleet that follows revision 1.
func settled(t *testing.T, seed uint64, zones, perZone, parts int) *sim {
	t.Helper()
	s := newSim(seed, zones, perZone, nil)
	s.publish(true, parts)
	_, ok := s.until(30*time.Second, func() bool { return s.everywhere(1) && s.allFresh() })
	require.True(t, ok)
	return s
}

func (s *sim) allFresh() bool {
	for _, n := range s.nodes {
		if !n.paused && (!n.state.Fresh(s.now) || !n.state.Ready()) {
			return false
		}
	}
	return true
}

// An operator takes a zone out with revision 2. Then the platform falls back to
// revision 1, and VMs are replaced. A new process knows nothing; were it to
// believe the platform, it would send work into the zone again. It has to come
// up with revision 2, or not at all.
func TestRestartWhileThePlatformIsStale(t *testing.T) {
	for name, restarted := range map[string]int{"one VM": 1, "a zone but one VM": 12, "all but one VM": 14} {
		t.Run(name, func(t *testing.T) {
			s := settled(t, 3, 3, 5, 4)
			s.publish(true, 4)
			_, ok := s.until(5*time.Second, func() bool { return s.everywhere(2) })
			require.True(t, ok)
			s.setStale(true)
			for i := range restarted {
				s.boot(s.nodes[i])
			}
			s.run(20*time.Second, func() {
				for _, n := range s.nodes {
					require.NotEqual(t, shed.Revision(1), n.inForce())
				}
			})
			require.True(t, s.everywhere(2))
			for _, n := range s.nodes {
				require.True(t, n.state.Ready())
				require.Positive(t, n.state.Status(s.now).PeersReplied)
			}
		})
	}
}

// Revision 2 takes a zone out and is replaced within seconds by revision 3,
// which has a slip in it. A zone that had lost the platform meanwhile sees only
// revision 3 and keeps revision 1. It must not take the platform's answer for a
// confirmation of revision 1 before its peers could tell it of revision 2.
func TestMissedRevisionBeforeAnInvalidOne(t *testing.T) {
	s := settled(t, 4, 3, 3, 4)
	s.noPlat[0] = true
	s.cut[[2]int{0, 1}], s.cut[[2]int{0, 2}] = true, true
	s.publish(true, 4)
	s.run(5*time.Second, nil)
	s.publish(false, 4)
	s.run(time.Second, nil)
	s.noPlat[0] = false
	s.run(1500*time.Millisecond, nil)
	s.cut = map[[2]int]bool{}
	s.run(5*time.Second, func() {
		for _, n := range s.nodes {
			require.False(t, n.inForce() == 1 && n.state.Fresh(s.now), "node %d", n.id)
		}
	})
	require.True(t, s.everywhere(2))
	status := s.nodes[0].state.Status(s.now)
	require.Equal(t, shed.Revision(3), status.Invalid)
	require.NotEmpty(t, status.Faults)
}

// A peer gone wrong claims the highest revision there can be, again and again,
// and has nothing to show for it. Each daemon tries it, finds nothing, and has
// to take the next true revision in time all the same.
func TestForgedClaimsDoNotBlock(t *testing.T) {
	s := settled(t, 5, 3, 3, 4)
	liar := s.nodes[0]
	for i := range 200 {
		s.after(time.Duration(i)*50*time.Millisecond, func() {
			for _, n := range s.nodes[1:] {
				s.forge(liar, n)
			}
		})
	}
	s.run(3*time.Second, nil)
	s.noPlat[1], s.noPlat[2] = true, true
	rev := s.publish(true, 4)
	took, ok := s.until(5*time.Second, func() bool { return s.everywhere(rev) })
	require.True(t, ok)
	t.Logf("everywhere after %s", took)
}

// A daemon is frozen for a minute, during which a zone is taken out. It wakes
// with messages of a minute ago in its sockets, which say that its revision is
// the newest, and handles them before its first tick. It must not call its
// revision fresh on their word.
func TestWakeAfterAPause(t *testing.T) {
	s := settled(t, 6, 3, 3, 4)
	n := s.nodes[4]
	s.run(350*time.Millisecond, nil)
	n.paused = true
	s.run(time.Second, nil)
	s.publish(true, 4)
	s.run(time.Minute, nil)
	require.False(t, n.state.Fresh(s.now), "before its first event")
	s.wakeUp(n)
	require.False(t, n.state.Fresh(s.now), "after its old messages")
	require.False(t, n.state.Ready())
	s.run(4*time.Second, func() { require.False(t, n.inForce() == 1 && n.state.Fresh(s.now)) })
	require.True(t, n.state.Ready() && n.state.Fresh(s.now))
}

// The VM is suspended: its monotonic clock stands still, so only the wall clock
// shows that an hour has gone. Else the beliefs of an hour ago would count.
func TestSuspendedVM(t *testing.T) {
	for name, step := range map[string]shed.Tick{
		"wall clock leaps":      {Wall: time.Unix(simStart+3600, 0), Mono: 200 * time.Millisecond},
		"monotonic clock leaps": {Wall: time.Unix(simStart, 2e8), Mono: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Config{Self: shed.Peer{VM: "a"}, Compile: simCompile})
			now := time.Unix(simStart, 0)
			s.Handle(now, shed.Tick{Wall: now, Mono: 0})
			s.held.rules = &shed.Rules{}
			s.confirm(0, now)
			require.True(t, s.Fresh(now))
			actions := s.Handle(now.Add(shed.TickEvery), step)
			require.Contains(t, actions, shed.Note{Reason: shed.ReasonWoke})
			require.False(t, s.Fresh(now.Add(shed.TickEvery)))
		})
	}
}

// The platform is slow, and each read ends with only some of the parts. Were
// they thrown away, a starting fleet would read the same ones for ever.
func TestReadInPieces(t *testing.T) {
	s := newSim(13, 1, 2, nil)
	s.publish(true, 40)
	s.atOnce = 7
	took, ok := s.until(20*time.Second, func() bool { return s.everywhere(1) })
	require.True(t, ok)
	t.Logf("everywhere after %s", took)
}

// A whole configuration is larger than one push may be. The puller asks for
// the rest, part by part, and follows nothing until it has all.
func TestPullInPieces(t *testing.T) {
	s := newSim(8, 2, 1, nil)
	s.publishText(20, 200<<10)
	s.noPlat[1] = true
	took, ok := s.until(20*time.Second, func() bool { return s.everywhere(1) })
	require.True(t, ok)
	require.Greater(t, s.nodes[1].state.counts.Pulls, 5)
	t.Logf("everywhere after %s", took)
}

// A restarted daemon hears first from a neighbour that lags behind at revision
// 1, and takes it. The other zones have revision 2, which takes a zone out, and
// their answers are slower. The daemon must not serve by revision 1 before it
// has heard them.
func TestStartHearsTheOthersFirst(t *testing.T) {
	now := time.Unix(simStart, 0)
	s := New(Config{Self: shed.Peer{VM: "self"}, Zone: "a", Compile: simCompile})
	s.SetPeers([]shed.Peer{{VM: "near"}}, map[shed.ZoneID][]shed.Peer{"b": {{VM: "far"}}})
	world := &sim{now: now}
	world.publish(true, 2)
	world.publish(true, 2)
	tell := func(from shed.VM, m shed.Message) {
		s.Handle(now, shed.PeerMessage{From: shed.Peer{VM: from}, Message: m})
	}
	answer := func(from shed.VM, rev shed.Revision) {
		for _, a := range append([]ask(nil), s.fresh.asks...) {
			if a.to == from {
				tell(from, shed.ConfigDigest{Revision: rev, Sequence: a.sequence})
			}
		}
		tell(from, shed.ConfigPush{Index: world.published[rev-1].index, Parts: world.published[rev-1].parts})
	}
	tick := func() {
		now = now.Add(shed.TickEvery)
		s.Handle(now, shed.Tick{Wall: now, Mono: now.Sub(time.Unix(simStart, 0))})
	}
	tick()
	answer("near", 1)
	tick()
	require.Equal(t, shed.Revision(1), s.Rules().Revision)
	require.False(t, s.Ready(), "the other zone was not heard")
	answer("far", 2)
	tick()
	require.Equal(t, shed.Revision(2), s.Rules().Revision)
	require.True(t, s.Ready())
}

// All watchers freeze at once, and nobody has noticed their deaths yet. The
// other daemons hear nothing new from them, so each has to read for itself, at
// random times and within the platform's rate.
func TestWatchersGone(t *testing.T) {
	s := settled(t, 12, 13, 20, designParts)
	for _, n := range s.nodes {
		n.paused = n.state.near.level == 0
	}
	s.forgetReads()
	rev := s.publish(true, designParts)
	took, ok := s.until(15*time.Second, func() bool { return s.everywhere(rev) && s.allFresh() })
	require.True(t, ok)
	require.LessOrEqual(t, took, 9*time.Second)
	require.Less(t, s.peak(), platformReads)
	t.Logf("everywhere and fresh after %s; %d reads, at most %d in a second", took, s.reads, s.peak())
}

// An operator publishes a revision with a slip in it. Everybody goes on by the
// last good one, the watchers say what is wrong, and the mended revision comes
// into force at once.
func TestInvalidRevision(t *testing.T) {
	s := settled(t, 14, 3, 5, 4)
	s.publish(false, 4)
	var unfresh time.Duration
	for range 100 {
		s.run(100*time.Millisecond, func() { s.judge(t) })
		if !s.allFresh() {
			unfresh += 100 * time.Millisecond
		}
	}
	require.True(t, s.everywhere(1))
	require.LessOrEqual(t, unfresh, settleFor)
	require.Equal(t, shed.Revision(2), s.watcher().state.Status(s.now).Invalid)
	s.publish(true, 4)
	took, ok := s.until(2*time.Second, func() bool { return s.everywhere(3) })
	require.True(t, ok)
	require.Zero(t, s.watcher().state.Status(s.now).Invalid)
	t.Logf("some daemon was not fresh for %s; mended everywhere after %s", unfresh, took)
}

func (s *sim) watcher() *node {
	for _, n := range s.nodes {
		if n.state.Status(s.now).Watching {
			return n
		}
	}
	return nil
}
