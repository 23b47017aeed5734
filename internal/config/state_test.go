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

// judge is the oracle: it knows what was published and when, and what each
// daemon follows, and nothing of how they found it.
func (s *sim) judge(t require.TestingT) {
	due, good := s.newest(s.now.Add(-defaultFreshFor))
	// While the platform itself is stale, or its newest revision is invalid, no
	// daemon can know how old its own is.
	told := !s.stale && good && !s.shortLived(due) && s.now.Sub(s.lastStale) > 2*defaultFreshFor
	for _, n := range s.nodes {
		rev := n.inForce()
		fresh := n.state.Fresh(s.now)
		ready := n.state.Ready()
		if rev < n.highest {
			require.Fail(t, "went back", "node %d from %d to %d", n.id, n.highest, rev)
		}
		took := rev != n.highest
		n.highest = rev
		if rev == 0 && (fresh || ready) {
			require.Fail(t, "ready with nothing in force", "node %d", n.id)
		}
		if took && (!s.published[rev-1].good || !n.holds(s.published[rev-1])) {
			require.Fail(t, "follows what was never published", "node %d, revision %d", n.id, rev)
		}
		if told && fresh && rev < due {
			require.Fail(t, "calls an old revision fresh", "node %d: %d, not %d", n.id, rev, due)
		}
	}
}

// holds tells whether the node has the very parts that were published.
func (n *node) holds(r revision) bool {
	if len(n.state.held.parts) != len(r.parts) {
		return false
	}
	for hash, part := range r.parts {
		if string(n.state.held.parts[hash]) != string(part) {
			return false
		}
	}
	return true
}

// TestStateMachine publishes, cuts, loses, restarts and pauses at random.
// What the operators see: a daemon never goes back, never follows half a
// revision or an invalid one, never calls a revision fresh that was replaced
// more than ConfirmationTTL ago, and once all is mended all follow the newest.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), 3, 3, nil)
		s.publish(true, 4)
		for range *steps {
			s.step(t)
			s.run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*time.Millisecond, func() { s.judge(t) })
		}
		s.mend()
		s.run(12*time.Second, func() { s.judge(t) })
		want, _ := s.newest(s.now)
		for _, n := range s.nodes {
			require.Equal(t, want, n.inForce(), "node %d", n.id)
			require.True(t, n.state.Ready(), "node %d", n.id)
			require.True(t, n.state.Fresh(s.now), "node %d", n.id)
		}
	})
}

// step does one random thing to the fleet.
func (s *sim) step(t *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	zone := rapid.IntRange(0, s.zones-1).Draw(t, "zone")
	switch rapid.IntRange(0, 12).Draw(t, "step") {
	case 0:
		s.publish(true, 4)
	case 1:
		s.publish(rapid.Bool().Draw(t, "good"), 4)
	case 2:
		s.noPlat[zone] = !s.noPlat[zone]
	case 3:
		key := [2]int{min(n.zone, zone), max(n.zone, zone)}
		s.cut[key] = !s.cut[key]
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
			s.wakeUp(n)
		}
	case 9:
		s.setStale(!s.stale)
	case 10:
		// A peer gone wrong claims a revision that nobody can make good, and
		// pushes parts that are not what their hashes say.
		to := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "to")]
		s.forge(n, to)
	case 11:
		s.corrupt = !s.corrupt
	case 12:
		s.late = time.Duration(rapid.IntRange(0, 6000).Draw(t, "late")) * time.Millisecond
	}
}

// forge sends a false digest and a false push from one node to another.
func (s *sim) forge(from, to *node) {
	far := shed.Revision(1 << 60)
	s.deliver(from, shed.SendPeer{To: to.vm, Message: shed.ConfigDigest{Revision: far}})
	index := shed.ConfigIndex{Revision: far, Parts: []shed.PartHash{{1}}}
	parts := map[shed.PartHash][]byte{{1}: []byte("forged")}
	s.deliver(from, shed.SendPeer{To: to.vm, Message: shed.ConfigPush{Index: index, Parts: parts}})
}

func (s *sim) setStale(stale bool) {
	s.stale = stale
	s.lastStale = s.now
}

// mend ends all faults and publishes a good revision.
func (s *sim) mend() {
	s.cut, s.noPlat = map[[2]int]bool{}, map[int]bool{}
	s.loss, s.delay = 0, 2*time.Millisecond
	s.setStale(false)
	s.corrupt, s.late = false, 0
	for _, n := range s.nodes {
		if n.paused {
			s.wakeUp(n)
		}
	}
	s.publish(true, 4)
}
