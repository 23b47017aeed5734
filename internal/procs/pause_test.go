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

// pauseDuration is longer than every lease of the fleet.
const pauseDuration = 8 * time.Second

// leaveTime is the time within which the rest of the fleet must have stopped using a server that
// is leaving.
const leaveTime = 5 * time.Second

// Guards against a resumed VM that acts on stale rules. A VM is paused under load, and a server of
// its zone is set leaving meanwhile. When the VM resumes, with stale rules and pending requests,
// it must start nothing at that server, since its knowledge is older than any lease. Its callers
// must still be answered, if only that their request was not run.
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
	require.NotEmpty(t, f.recordedRuns(leaving), "the server must have had load before the pause")

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
	require.Empty(t, f.recordedRuns(leaving)[len(before):], "runs after the resume")
	f.requireAllComplete("others", ends["others"])
	f.requireTruthfulOutcomes(ends["tickets"])
	// Deadlines pass during the pause, but each caller must get an answer.
	answers := []client.Outcome{client.Complete, client.NotRun, client.Deadline}
	for _, e := range ends["sleeper"] {
		require.Contains(t, answers, e.outcome(), "%s: %v", e.input, e.err)
	}
	last := ends["sleeper"][len(ends["sleeper"])-1]
	require.NoError(t, last.err, "the resumed VM must serve again")
}

// waitUntil waits for a point in time. The pause itself is the fault here, so there is no
// condition to wait for.
func (f *fleet) waitUntil(end time.Time) {
	ctx, cancel := context.WithDeadline(f.t.Context(), end)
	defer cancel()
	<-ctx.Done()
}

// withServerLeaving returns the rules file with a server set leaving.
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
