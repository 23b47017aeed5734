package config

import (
	"flag"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
)

var steps = flag.Int("config.steps", 40, "steps of each run of the state machine")

func messageBytes(m shed.Message) int {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// check is the oracle: it knows what was published and when, and which revision each
// daemon has in force, and nothing of how they got it.
func (s *sim) check(t require.TestingT) {
	expected, good := s.newest(s.now.Add(-defaultConfirmationTTL))
	// While the platform is stale, or its newest revision is invalid, no daemon can know
	// how old its own is.
	knowable := !s.stale && good && !s.shortLived(expected) && s.now.Sub(s.lastStale) > 2*defaultConfirmationTTL
	for _, n := range s.nodes {
		rev := n.inForce()
		fresh := n.state.Fresh(s.now)
		ready := n.state.Ready()
		if rev < n.highest {
			require.Fail(t, "went back", "node %d from %d to %d", n.id, n.highest, rev)
		}
		changed := rev != n.highest
		n.highest = rev
		if rev == 0 && (fresh || ready) {
			require.Fail(t, "ready with nothing in force", "node %d", n.id)
		}
		if changed && (!s.published[rev-1].good || !n.hasPartsOf(s.published[rev-1])) {
			require.Fail(t, "applied a revision that was never published", "node %d, revision %d", n.id, rev)
		}
		if knowable && fresh && rev < expected {
			require.Fail(t, "calls an old revision fresh", "node %d: %d, not %d", n.id, rev, expected)
		}
	}
}

// hasPartsOf reports whether the node has exactly the published parts.
func (n *node) hasPartsOf(r revision) bool {
	if len(n.state.current.parts) != len(r.parts) {
		return false
	}
	for hash, part := range r.parts {
		if string(n.state.current.parts[hash]) != string(part) {
			return false
		}
	}
	return true
}

// TestStateMachine publishes, partitions, drops messages, restarts and pauses at random.
// A daemon must never go back, apply a partial or invalid revision, or call a revision
// fresh that was replaced more than ConfirmationTTL ago, and once all faults have ended
// all daemons follow the newest.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), 3, 3, nil)
		s.publish(true, 4)
		for range *steps {
			s.step(t)
			s.run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*time.Millisecond, func() { s.check(t) })
		}
		s.clearFaults()
		s.run(12*time.Second, func() { s.check(t) })
		want, _ := s.newest(s.now)
		for _, n := range s.nodes {
			require.Equal(t, want, n.inForce(), "node %d", n.id)
			require.True(t, n.state.Ready(), "node %d", n.id)
			require.True(t, n.state.Fresh(s.now), "node %d", n.id)
		}
	})
}

// step applies one random change or fault to the fleet.
func (s *sim) step(t *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	zone := rapid.IntRange(0, s.zones-1).Draw(t, "zone")
	switch rapid.IntRange(0, 12).Draw(t, "step") {
	case 0:
		s.publish(true, 4)
	case 1:
		s.publish(rapid.Bool().Draw(t, "good"), 4)
	case 2:
		s.platformDown[zone] = !s.platformDown[zone]
	case 3:
		key := [2]int{min(n.zone, zone), max(n.zone, zone)}
		s.partitions[key] = !s.partitions[key]
	case 4:
		s.loss = float64(rapid.IntRange(0, 50).Draw(t, "loss")) / 100
	case 5:
		s.delay = time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond
	case 6:
		s.boot(n)
	case 7:
		n.paused = true
	case 8:
		if n.paused {
			s.unpause(n)
		}
	case 9:
		s.setStale(!s.stale)
	case 10:
		// A faulty peer claims a revision that no peer can deliver, and pushes parts that
		// don't match their hashes.
		to := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "to")]
		s.forge(n, to)
	case 11:
		s.corrupt = !s.corrupt
	case 12:
		s.platformDelay = time.Duration(rapid.IntRange(0, 6000).Draw(t, "late")) * time.Millisecond
	}
}

// forge sends a false digest and a false push from one node to another.
func (s *sim) forge(from, to *node) {
	far := shed.Revision(1 << 60)
	s.sendMessage(from, shed.SendPeer{To: to.vm, Message: shed.ConfigDigest{Revision: far}})
	index := shed.ConfigIndex{Revision: far, Parts: []shed.PartHash{{1}}}
	parts := map[shed.PartHash][]byte{{1}: []byte("forged")}
	s.sendMessage(from, shed.SendPeer{To: to.vm, Message: shed.ConfigPush{Index: index, Parts: parts}})
}

func (s *sim) setStale(stale bool) {
	s.stale = stale
	s.lastStale = s.now
}

// clearFaults ends all faults and publishes a valid revision.
func (s *sim) clearFaults() {
	s.partitions, s.platformDown = map[[2]int]bool{}, map[int]bool{}
	s.loss, s.delay = 0, 2*time.Millisecond
	s.setStale(false)
	s.corrupt, s.platformDelay = false, 0
	for _, n := range s.nodes {
		if n.paused {
			s.unpause(n)
		}
	}
	s.publish(true, 4)
}
