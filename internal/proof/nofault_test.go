package proof

import (
	"testing"
	"time"

	shed "jasmineshed"

	"github.com/stretchr/testify/require"
)

// strict are the bounds without a fault.
var noFaultBounds = bounds{newWork: 2 * time.Second, answerDelay: 200 * time.Millisecond, propagation: 2 * time.Second}

// Nothing fails but what operators and servers do by plan: every promise holds,
// and nearly every request is complete.
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

// The same seed gives the same world, to the last byte of the journal; else no
// seed could show a fault again, and some decision would depend on map order.
func TestSameSeedSameWorld(t *testing.T) {
	one, two := newFleetWorld(7), newFleetWorld(7)
	one.runScript(defaultScript())
	two.runScript(defaultScript())
	require.Equal(t, one.steps, two.steps)
	require.Equal(t, one.journal, two.journal)
}
