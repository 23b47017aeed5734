package procs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jasmineshed/pkg/client"
)

// Guards against requests that are lost or published twice when a VM is killed under load. Callers
// of other VMs must not notice it, since stages forwarded to the dead VM are retried elsewhere.
// Its own callers lose their connection, retry through another VM and get complete answers. A
// ticket whose home died ends complete or as outcome_unknown, since what the home had started died
// with it.
func TestKilledUnderLoad(t *testing.T) {
	f := startFleet(t, fleetConfig{example: "small"})
	victim, others := f.vms[0], f.vms[1:]
	l := f.newLoad()
	for _, v := range others {
		l.add("others", 2, captionRequest(f.newClient(-1, v)))
	}
	around := append([]*vm{victim}, others...)
	l.add("victim", 4, captionRequest(f.newClient(0, around...)))
	l.add("tickets", 4, warningRequest(f.newClient(0, around...)))
	l.awaitMore("tickets", 20)
	l.awaitMore("victim", 20)

	victim.Kill()
	l.awaitMore("others", 100)
	l.awaitMore("victim", 40)
	l.awaitMore("tickets", 40)
	ends := l.finish()

	f.requireAllComplete("others", ends["others"])
	f.requireAllComplete("victim", ends["victim"])
	f.requireTruthfulOutcomes(ends["tickets"])
	for _, e := range ends["tickets"] {
		require.Contains(t, []client.Outcome{client.Complete, client.Unknown}, e.outcome(), "%s: %v", e.input, e.err)
	}
}
