package proof

import (
	"testing"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/core"
	"jasmineshed/internal/retry"

	"github.com/stretchr/testify/require"
)

// Guards against requests that end while their servers are only silent. All servers of a pool pause
// for longer than the idle timeout and go on where they stopped, with time left for each request.
// In each run every request must be complete, whatever the retry budget allows.
func TestServersPauseAndGoOn(t *testing.T) {
	noBudget := func(cfg *core.Config) { cfg.Retry = retry.Config{Share: 1e-9, Floor: 1e-9, Burst: 0.5} }
	cases := map[string]struct {
		pool      string
		configure func(*core.Config)
	}{
		"gen":               {"gen", nil},
		"gen, budget spent": {"gen", noBudget},
		"pub":               {"pub", nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			outcomes := map[string]int{}
			for seed := uint64(1); seed <= 5; seed++ {
				w := newConfiguredWorld(seed, c.configure)
				w.runScript(pauseScript(c.pool, 2700*time.Millisecond))
				require.Empty(t, w.checkInvariants(noFaultBounds))
				for k, n := range w.countOutcomes() {
					outcomes[k] += n
				}
				for _, a := range w.callerRequests {
					if len(a.answers) != 1 || a.answers[0].outcome != shed.OutcomeComplete {
						t.Errorf("seed %d: %s sent at %s: %v", seed, a.request, w.since(a.at), a.answers)
					}
				}
			}
			t.Log(outcomes)
		})
	}
}

// pauseScript pauses all servers of a pool at once. The load fits into their capacity while they
// pause.
func pauseScript(pool string, d time.Duration) script {
	return script{
		requestInterval: 100 * time.Millisecond, ticketInterval: 500 * time.Millisecond,
		from: 6 * time.Second, to: 14 * time.Second, end: 22 * time.Second,
		actions: []scheduledAction{{10 * time.Second, func(w *world) {
			for _, s := range w.servers {
				if s.pool() == pool {
					s.pause(d)
				}
			}
		}}},
	}
}
