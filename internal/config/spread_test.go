package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

// platformReads is about the number of reads per second that the platform serves in all.
const platformReads = 2_000

// designParts is about the number of parts of the rules at the design size.
const designParts = 300

// peak returns the largest number of reads in any one second.
func (s *sim) peak() int {
	highest := 0
	for _, n := range s.readsBySecond {
		highest = max(highest, n)
	}
	return highest
}

func (s *sim) resetCounts() {
	s.reads, s.bytes, s.readsBySecond = 0, 0, map[int64]int{}
}

// TestSpread measures how long a change takes to be in force everywhere, and what it
// costs, with and without faults.
func TestSpread(t *testing.T) {
	cases := map[string]struct {
		zones, perZone int
		fault          func(*sim)
		bound          time.Duration
	}{
		"today":                          {3, 3, nil, 2 * time.Second},
		"design size":                    {13, 52, nil, 2 * time.Second},
		"one zone without platform":      {13, 52, func(s *sim) { s.platformDown[4] = true }, 2 * time.Second},
		"only one zone has the platform": {13, 52, func(s *sim) { s.onlyZonePlatform(0) }, 2 * time.Second},
		"one message in five lost":       {13, 52, func(s *sim) { s.loss = 0.2 }, 4 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := settled(t, 9, c.zones, c.perZone, designParts)
			if c.fault != nil {
				c.fault(s)
			}
			s.run(4*time.Second, nil)
			s.resetCounts()
			s.countBytes = true
			s.run(10*time.Second, nil)
			quiet, quietBytes := s.reads/10, s.bytes/10/len(s.nodes)
			s.resetCounts()
			rev := s.publish(true, designParts)
			took, ok := s.runUntil(10*time.Second, func() bool { return s.everywhere(rev) })
			require.True(t, ok)
			require.LessOrEqual(t, took, c.bound)
			require.Less(t, s.peak(), platformReads)
			t.Logf("%d daemons: everywhere after %s; quiet %d reads/s and %d B/s sent by a daemon; change: %d reads, %d B sent by a daemon",
				len(s.nodes), took, quiet, quietBytes, s.reads, s.bytes/len(s.nodes))
		})
	}
}

// onlyZonePlatform disconnects all zones but one from the platform.
func (s *sim) onlyZonePlatform(zone int) {
	for z := range s.zones {
		s.platformDown[z] = z != zone
	}
}

// Many VMs are replaced at once and start without a configuration. If each read all of it
// from the platform, the platform would refuse most reads, and readiness would take
// minutes. The reads of any one second have to stay within the platform's rate.
func TestReadsOfARestartStorm(t *testing.T) {
	cases := map[string]struct {
		restarted func(*node) bool
		blind     time.Duration
	}{
		"one VM":                            {func(n *node) bool { return n.id == 0 }, 0},
		"a zone":                            {func(n *node) bool { return n.zone == 0 }, 0},
		"the fleet":                         {func(*node) bool { return true }, 0},
		"the fleet, peers seen after 3 s":   {func(*node) bool { return true }, 3 * time.Second},
		"a zone, peers seen after 3 s":      {func(n *node) bool { return n.zone == 0 }, 3 * time.Second},
		"the fleet but one zone, peers 1 s": {func(n *node) bool { return n.zone != 0 }, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := settled(t, 10, 13, 52, designParts)
			s.resetCounts()
			s.noPeersFor = c.blind
			restarted := 0
			for _, n := range s.nodes {
				if c.restarted(n) {
					s.boot(n)
					restarted++
				}
			}
			took, ok := s.runUntil(40*time.Second, s.allFresh)
			require.True(t, ok)
			require.Less(t, s.peak(), platformReads)
			t.Logf("%d restarted: all ready and fresh after %s; %d reads, at most %d in a second",
				restarted, took, s.reads, s.peak())
		})
	}
}

// messageTimeout is how long a control message between daemons may take; a longer one is
// lost, though it has used its time of the link.
const messageTimeout = time.Second

// linkDelay returns how long a message takes over the link to a node, behind those before
// it; false if that is too long.
func (s *sim) linkDelay(to *node, msg shed.Message) (time.Duration, bool) {
	if s.linkRate == 0 {
		return 0, true
	}
	if to.linkFree.Before(s.now) {
		to.linkFree = s.now
	}
	to.linkFree = to.linkFree.Add(time.Duration(float64(messageBytes(msg)) / s.linkRate * float64(time.Second)))
	wait := to.linkFree.Sub(s.now)
	return wait, wait <= messageTimeout
}

// A daemon with a link of 10 Mbit/s starts in a zone without the platform and needs the
// whole configuration of the design size from its peers.
func TestLargeRevisionOverSmallLinks(t *testing.T) {
	s := settled(t, 11, 3, 3, 3)
	s.publishText(250, 16_000)
	rev := s.published[len(s.published)-1].rev
	_, ok := s.runUntil(20*time.Second, func() bool { return s.everywhere(rev) })
	require.True(t, ok)
	s.linkRate = 10e6 / 8
	s.platformDown[0] = true
	s.boot(s.nodes[0])
	took, ok := s.runUntil(40*time.Second, func() bool { return s.nodes[0].inForce() == rev })
	require.True(t, ok)
	require.Less(t, took, 9*time.Second, "changes have to be in force within 9 s")
	t.Logf("250 parts, 4 MB, at 10 Mbit/s: in force after %s", took)
}
