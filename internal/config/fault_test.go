package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

// settled returns a fleet in which all daemons have revision 1 in force.
func settled(t *testing.T, seed uint64, zones, perZone, parts int) *sim {
	t.Helper()
	s := newSim(seed, zones, perZone, nil)
	s.publish(true, parts)
	_, ok := s.runUntil(30*time.Second, func() bool { return s.everywhere(1) && s.allFresh() })
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

// Guards against a restarted daemon taking an old revision from a stale platform. Revision
// 2 takes a zone out of service, the platform falls back to revision 1, and VMs are
// replaced. A daemon that relied on the platform would send work into the zone again; it
// has to come up with revision 2, or not at all.
func TestRestartWhileThePlatformIsStale(t *testing.T) {
	for name, restarted := range map[string]int{"one VM": 1, "a zone but one VM": 12, "all but one VM": 14} {
		t.Run(name, func(t *testing.T) {
			s := settled(t, 3, 3, 5, 4)
			s.publish(true, 4)
			_, ok := s.runUntil(5*time.Second, func() bool { return s.everywhere(2) })
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

// Guards against confirming an old revision after a missed one. Revision 2 takes a zone
// out of service and is replaced within seconds by the invalid revision 3. A zone without
// the platform meanwhile sees only revision 3 and keeps revision 1; the platform's answer
// must not confirm revision 1 before peers could send revision 2.
func TestMissedRevisionBeforeAnInvalidOne(t *testing.T) {
	s := settled(t, 4, 3, 3, 4)
	s.platformDown[0] = true
	s.partitions[[2]int{0, 1}], s.partitions[[2]int{0, 2}] = true, true
	s.publish(true, 4)
	s.run(5*time.Second, nil)
	s.publish(false, 4)
	s.run(time.Second, nil)
	s.platformDown[0] = false
	s.run(1500*time.Millisecond, nil)
	s.partitions = map[[2]int]bool{}
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

// A faulty peer repeatedly claims the highest possible revision and has no parts of it.
// Each daemon pulls in vain and still has to apply the next valid revision in time.
func TestForgedClaimsDoNotBlock(t *testing.T) {
	s := settled(t, 5, 3, 3, 4)
	faulty := s.nodes[0]
	for i := range 200 {
		s.after(time.Duration(i)*50*time.Millisecond, func() {
			for _, n := range s.nodes[1:] {
				s.forge(faulty, n)
			}
		})
	}
	s.run(3*time.Second, nil)
	s.platformDown[1], s.platformDown[2] = true, true
	rev := s.publish(true, 4)
	took, ok := s.runUntil(5*time.Second, func() bool { return s.everywhere(rev) })
	require.True(t, ok)
	t.Logf("everywhere after %s", took)
}

// A daemon is paused for a minute, during which a zone is taken out of service. It resumes
// with old messages in its sockets that confirm its revision and handles them before its
// first tick. They must not make its revision fresh.
func TestWakeAfterAPause(t *testing.T) {
	s := settled(t, 6, 3, 3, 4)
	n := s.nodes[4]
	s.run(350*time.Millisecond, nil)
	n.paused = true
	s.run(time.Second, nil)
	s.publish(true, 4)
	s.run(time.Minute, nil)
	require.False(t, n.state.Fresh(s.now), "before the first event")
	s.unpause(n)
	require.False(t, n.state.Fresh(s.now), "after the old messages")
	require.False(t, n.state.Ready())
	s.run(4*time.Second, func() { require.False(t, n.inForce() == 1 && n.state.Fresh(s.now)) })
	require.True(t, n.state.Ready() && n.state.Fresh(s.now))
}

// The VM is suspended and its monotonic clock stands still, so only the wall clock shows
// that an hour has passed. Without that check, a confirmation from an hour ago would count.
func TestSuspendedVM(t *testing.T) {
	for name, step := range map[string]shed.Tick{
		"wall clock leaps":      {Wall: time.Unix(simStart+3600, 0), Mono: 200 * time.Millisecond},
		"monotonic clock leaps": {Wall: time.Unix(simStart, 2e8), Mono: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Config{Self: shed.Peer{VM: "a"}, Compile: simCompile})
			now := time.Unix(simStart, 0)
			s.Handle(now, shed.Tick{Wall: now, Mono: 0})
			s.current.rules = &shed.Rules{}
			s.confirm(0, now)
			require.True(t, s.Fresh(now))
			actions := s.Handle(now.Add(shed.TickEvery), step)
			require.Contains(t, actions, shed.Note{Reason: shed.ReasonPaused})
			require.False(t, s.Fresh(now.Add(shed.TickEvery)))
		})
	}
}

// The platform is slow, and each read returns only some of the parts. If they were
// discarded, a starting fleet would read the same ones for ever.
func TestReadInPieces(t *testing.T) {
	s := newSim(13, 1, 2, nil)
	s.publish(true, 40)
	s.partsPerAnswer = 7
	took, ok := s.runUntil(20*time.Second, func() bool { return s.everywhere(1) })
	require.True(t, ok)
	t.Logf("everywhere after %s", took)
}

// A whole configuration exceeds the limit of one push. The puller has to request the
// rest, part by part, and apply nothing until it has all.
func TestPullInPieces(t *testing.T) {
	s := newSim(8, 2, 1, nil)
	s.publishText(20, 200<<10)
	s.platformDown[1] = true
	took, ok := s.runUntil(20*time.Second, func() bool { return s.everywhere(1) })
	require.True(t, ok)
	require.Greater(t, s.nodes[1].state.counts.Pulls, 5)
	t.Logf("everywhere after %s", took)
}

// A restarted daemon first gets revision 1 from a stale neighbour and applies it. The other
// zones have revision 2, which takes a zone out of service, and reply later. The daemon must
// not be ready with revision 1 before they have replied.
func TestStartHearsTheOthersFirst(t *testing.T) {
	now := time.Unix(simStart, 0)
	s := New(Config{Self: shed.Peer{VM: "self"}, Zone: "a", Compile: simCompile})
	s.SetPeers([]shed.Peer{{VM: "near"}}, map[shed.ZoneID][]shed.Peer{"b": {{VM: "far"}}})
	world := &sim{now: now}
	world.publish(true, 2)
	world.publish(true, 2)
	deliver := func(from shed.VM, m shed.Message) {
		s.Handle(now, shed.PeerMessage{From: shed.Peer{VM: from}, Message: m})
	}
	answer := func(from shed.VM, rev shed.Revision) {
		for _, a := range append([]query(nil), s.fresh.queries...) {
			if a.to == from {
				deliver(from, shed.ConfigDigest{Revision: rev, Sequence: a.sequence})
			}
		}
		deliver(from, shed.ConfigPush{Index: world.published[rev-1].index, Parts: world.published[rev-1].parts})
	}
	tick := func() {
		now = now.Add(shed.TickEvery)
		s.Handle(now, shed.Tick{Wall: now, Mono: now.Sub(time.Unix(simStart, 0))})
	}
	tick()
	answer("near", 1)
	tick()
	require.Equal(t, shed.Revision(1), s.Rules().Revision)
	require.False(t, s.Ready(), "the other zone has not replied")
	answer("far", 2)
	tick()
	require.Equal(t, shed.Revision(2), s.Rules().Revision)
	require.True(t, s.Ready())
}

// All watchers pause at once, and no daemon has detected it yet. The other daemons get no
// confirmation from them, so each has to read from the platform itself, at random times
// and within the platform's rate.
func TestWatchersGone(t *testing.T) {
	s := settled(t, 12, 13, 20, designParts)
	for _, n := range s.nodes {
		n.paused = n.state.topology.level == 0
	}
	s.resetCounts()
	rev := s.publish(true, designParts)
	took, ok := s.runUntil(15*time.Second, func() bool { return s.everywhere(rev) && s.allFresh() })
	require.True(t, ok)
	require.LessOrEqual(t, took, 9*time.Second)
	require.Less(t, s.peak(), platformReads)
	t.Logf("everywhere and fresh after %s; %d reads, at most %d in a second", took, s.reads, s.peak())
}

// An operator publishes an invalid revision. All daemons keep the last valid one, the
// watchers report the faults, and the corrected revision comes into force at once.
func TestInvalidRevision(t *testing.T) {
	s := settled(t, 14, 3, 5, 4)
	s.publish(false, 4)
	var unfresh time.Duration
	for range 100 {
		s.run(100*time.Millisecond, func() { s.check(t) })
		if !s.allFresh() {
			unfresh += 100 * time.Millisecond
		}
	}
	require.True(t, s.everywhere(1))
	require.LessOrEqual(t, unfresh, settleTime)
	require.Equal(t, shed.Revision(2), s.watcher().state.Status(s.now).Invalid)
	s.publish(true, 4)
	took, ok := s.runUntil(2*time.Second, func() bool { return s.everywhere(3) })
	require.True(t, ok)
	require.Zero(t, s.watcher().state.Status(s.now).Invalid)
	t.Logf("some daemon was not fresh for %s; corrected everywhere after %s", unfresh, took)
}

func (s *sim) watcher() *node {
	for _, n := range s.nodes {
		if n.state.Status(s.now).Watching {
			return n
		}
	}
	return nil
}
