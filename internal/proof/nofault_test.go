package proof

import (
	"testing"
	"time"

	shed "jasmineshed"

	"github.com/stretchr/testify/require"
)

// noFaultBounds are the bounds without a fault.
var noFaultBounds = bounds{newWork: 2 * time.Second, answerDelay: 200 * time.Millisecond, propagation: 2 * time.Second}

// Guards against invariants that break, or requests that fail, without any fault, through planned
// stops, rule changes and cold servers alone. More than 98% of the requests must be complete.
func TestStoryWithoutFault(t *testing.T) {
	w := newFleetWorld(1)
	w.runScript(defaultScript())
	for _, k := range sortedKeys(w.countOutcomes()) {
		t.Logf("%5d %s", w.countOutcomes()[k], k)
	}
	t.Logf("steps %d, runs %d, last work after a closing %s, reads %d", w.steps, len(w.runs), w.maxLateWork(), w.configReads)
	require.Empty(t, w.checkInvariants(noFaultBounds))
	complete := 0
	for _, a := range w.callerRequests {
		if len(a.answers) == 1 && a.answers[0].outcome == shed.OutcomeComplete {
			complete++
		}
	}
	require.Greater(t, complete*100, len(w.callerRequests)*98)
}

// Guards against nondeterminism, such as decisions that depend on map order: a seed must
// reproduce the same journal, or else no fault could be reproduced by its seed.
func TestSameSeedSameWorld(t *testing.T) {
	one, two := newFleetWorld(7), newFleetWorld(7)
	one.runScript(defaultScript())
	two.runScript(defaultScript())
	require.Equal(t, one.steps, two.steps)
	require.Equal(t, one.journal, two.journal)
}
