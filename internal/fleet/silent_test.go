package fleet

import (
	"context"
	"testing"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/core"
	"jasmineshed/internal/flow"
	"jasmineshed/internal/retry"
	"jasmineshed/internal/stand"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// startWithoutBudget runs a fleet of one daemon per zone whose retry budget is always spent.
func startWithoutBudget(t *testing.T, cfg Config) *Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	cfg.DaemonsPerZone = 1
	cfg.TuneCore = func(c *core.Config) {
		c.Retry = retry.Config{Share: 1e-9, Floor: 1e-9, Burst: 0.5}
	}
	f, err := Start(ctx, cfg)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.NoError(t, f.WaitReady(ctx))
	return f
}

// Guards against a request that ends while its server is only silent: with the retry budget spent
// there is no replacement, so the call must be kept until the server goes on. The server is in the
// daemon's own zone or behind a peer.
func TestSilentServerGoesOn(t *testing.T) {
	for name, zone := range map[string]string{"own zone": "a", "behind a peer": "b"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startWithoutBudget(t, Config{Rules: hopRules(t, zone), Engine: instant})
			silence := flow.DefaultIdleTimeout + 700*time.Millisecond
			setUnresponsive := func(v bool) {
				for _, e := range f.Engines {
					e.SetUnresponsive(v)
				}
			}
			setUnresponsive(true)
			var g errgroup.Group
			g.Go(func() error {
				time.Sleep(silence)
				setUnresponsive(false)
				return nil
			})
			began := time.Now()
			answer := f.Members()[0].Daemon().Serve(context.Background(), shed.Request{
				Workspace: "noord", Token: "demo-noord", Pipeline: "hop", Payload: shed.Payload{Input: "x"},
			}, nil)
			took := time.Since(began)
			require.NoError(t, g.Wait())
			require.Equal(t, shed.OutcomeComplete, answer.Outcome, "%s after %s", answer.Reason, took)
			require.GreaterOrEqual(t, took, silence)
		})
	}
}

// Guards against a publication that is given up because its service is silent while it runs: its
// outcome would be unknown, although the service ends it well before the deadline.
func TestSilentPublicationCompletes(t *testing.T) {
	t.Parallel()
	f := start(t, Config{ServiceTime: flow.DefaultIdleTimeout + 700*time.Millisecond})
	req := shed.Request{Workspace: "noord", Token: "demo-noord", Pipeline: "warning",
		Payload: shed.Payload{Input: "x", MaxTokens: 4}}
	d := f.Members()[0].Daemon()
	ticket, refusal := d.Issue(context.Background(), req)
	require.Nil(t, refusal)
	req.ID = ticket.ID
	answer := d.Serve(context.Background(), req, nil)
	require.Equal(t, shed.OutcomeComplete, answer.Outcome, answer.Reason)
	require.Equal(t, stand.Receipt(ticket.ID, "x"), answer.Payload.Receipt)
}
