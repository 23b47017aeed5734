package procs

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/pkg/client"
)

// asleep is longer than every lease of the fleet.
const pauseDuration = 8 * time.Second

// obeyed is after what time the rest of the fleet must have stopped using a
// server that is leaving.
const leaveTime = 5 * time.Second

// A VM is paused while it takes requests. Operators set a server of its zone
// leaving; the others obey. The paused VM wakes with rules that are out of date
// and with requests that came in meanwhile. It must start nothing at that
// server, since its knowledge is older than any lease; its callers are answered
// all the same, or told that theirs was not run.
func TestPausedWhileServerLeaves(t *testing.T) {
	f := startFleet(t, fleetConfig{example: "small"})
	const leaving = shed.ServerID("gen-a-1")
	pausedVM, others := f.vms[0], f.vms[1:]
	l := f.newLoad()
	for _, v := range others {
		l.add("others", 1, captionRequest(f.newClient(-1, v)))
	}
	l.add("sleeper", 4, captionRequest(f.newClient(-1, pausedVM)))
	l.add("tickets", 2, warningRequest(f.newClient(-1, pausedVM)))
	l.awaitMore("sleeper", 20)
	l.awaitMore("tickets", 5)
	require.NotEmpty(t, f.recordedRuns(leaving), "the server carried load before")

	pausedVM.signal(syscall.SIGSTOP)
	f.publish(withServerLeaving(t, f.rulesText, leaving))
	published := time.Now()
	f.waitUntil(published.Add(pauseDuration))
	before := f.recordedRuns(leaving)
	pausedVM.signal(syscall.SIGCONT)
	f.awaitSettled(pausedVM)
	l.awaitMore("sleeper", 40)
	l.awaitMore("tickets", 10)
	l.awaitMore("others", 20)
	ends := l.finish()

	for _, run := range before {
		require.Less(t, run.Start.Sub(published), leaveTime, run.Call)
	}
	require.Empty(t, f.recordedRuns(leaving)[len(before):], "runs after the wake")
	f.requireAllComplete("others", ends["others"])
	f.requireTruthfulOutcomes(ends["tickets"])
	// A deadline passes within the pause; no caller is left without an answer.
	answers := []client.Outcome{client.Complete, client.NotRun, client.Deadline}
	for _, e := range ends["sleeper"] {
		require.Contains(t, answers, e.outcome(), "%s: %v", e.input, e.err)
	}
	last := ends["sleeper"][len(ends["sleeper"])-1]
	require.NoError(t, last.err, "the woken VM serves again")
}

// waitUntil waits for a point in time: here the passing of time is the fault.
func (f *fleet) waitUntil(end time.Time) {
	ctx, cancel := context.WithDeadline(f.t.Context(), end)
	defer cancel()
	<-ctx.Done()
}

// withServerLeaving is the rules file with a server set leaving.
func withServerLeaving(t *testing.T, text string, id shed.ServerID) string {
	t.Helper()
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, string(id)+" = ") {
			lines[i] = strings.Replace(line, " ;", ", leaving yes ;", 1)
			return strings.Join(lines, "\n")
		}
	}
	require.FailNow(t, "no such server", "%s", id)
	return ""
}
