package fleet

import (
	"context"
	"testing"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/core"
	"jasmineshed/internal/flow"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/retry"
	"jasmineshed/internal/stand"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// noBudget is a retry budget that is always spent.
var noBudget = retry.Config{Share: 1e-9, Floor: 1e-9, Burst: 0.5}

// startWithBudget runs a fleet of one daemon per zone with the given retry budget.
func startWithBudget(t *testing.T, cfg Config, budget retry.Config) *Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	cfg.DaemonsPerZone = 1
	cfg.TuneCore = func(c *core.Config) { c.Retry = budget }
	f, err := Start(ctx, cfg)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.NoError(t, f.WaitReady(ctx))
	return f
}

// Guards against a request that ends, or gives up its server, while the server is only silent: with
// the retry budget spent, or without another server, there is no replacement, so the call must be kept
// until the server goes on. The server is in the daemon's own zone or behind a peer.
func TestSilentServerGoesOn(t *testing.T) {
	cases := map[string]struct {
		zone   string
		budget retry.Config
	}{
		"own zone, budget spent":         {"a", noBudget},
		"behind a peer, budget spent":    {"b", noBudget},
		"own zone, no other server":      {"a", retry.Config{}},
		"behind a peer, no other server": {"b", retry.Config{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startWithBudget(t, Config{Rules: hopRules(t, c.zone), Engine: instant}, c.budget)
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
			require.EqualValues(t, 1, answer.Stages[0].Attempts)
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

// Guards against text of a silent stream that stays in the answer, or arrives after it was
// declared void, when another server replaces the stream. The engine of the daemon's zone stops
// in the middle of a stream and goes on later, when the replacement has long answered.
func TestSilentStreamIsReplaced(t *testing.T) {
	t.Parallel()
	f := start(t, Config{DaemonsPerZone: 1, Engine: func(s *shed.Server, kind shed.StageKind) stand.EngineConfig {
		cfg := DefaultEngine(s, kind)
		cfg.TokenTime = 10 * time.Millisecond
		return cfg
	}})
	const tokens = 60
	d := f.Members()[0].Daemon()
	silent := f.Engines["gen-a-1"]
	req := shed.Request{Workspace: "noord", Token: "demo-noord", Pipeline: "caption",
		Payload: shed.Payload{Input: "rain", MaxTokens: tokens}}
	text, resets := "", 0
	answer := d.Serve(context.Background(), req, func(u shed.Update) {
		if u.Reset {
			text, resets = "", resets+1
			silent.SetSlowness(1)
		}
		if text += u.Text; u.Text != "" && resets == 0 {
			silent.SetSlowness(1000)
		}
	})
	require.Equal(t, shed.OutcomeComplete, answer.Outcome, answer.Reason)
	require.Equal(t, 1, resets)
	require.Equal(t, stand.FullText("rain", tokens), text)
	require.Equal(t, text, answer.Payload.Text)
}

// Guards against a call of a daemon of an older version that waits for its deadline at a dead server:
// such a daemon doesn't decide on silence, so the call must end after the idle timeout as before.
func TestSilentCallOfOlderDaemonEnds(t *testing.T) {
	t.Run("older daemon", func(t *testing.T) {
		t.Parallel()
		end, silences, took := forwardToSilentServer(t, false)
		require.Equal(t, shed.EndBroken, end.End)
		require.Equal(t, shed.ReasonSilent, end.Reason)
		require.Zero(t, silences)
		require.InDelta(t, flow.DefaultIdleTimeout.Seconds(), took.Seconds(), 0.5)
	})
	t.Run("this version", func(t *testing.T) {
		t.Parallel()
		end, silences, _ := forwardToSilentServer(t, true)
		require.Equal(t, shed.EndCancelled, end.End, "kept until the sender gives up")
		require.Positive(t, silences)
	})
}

// forwardToSilentServer forwards a call to a daemon whose server is silent, and gives it up a second
// after the idle timeout. It returns the call's end, and how often silence was reported.
func forwardToSilentServer(t *testing.T, reportSilence bool) (shed.CallEnded, int, time.Duration) {
	f := startWithBudget(t, Config{Rules: hopRules(t, "b"), Engine: instant}, noBudget)
	c := peers.NewClient(peers.ClientConfig{Self: shed.Peer{VM: "127.0.0.1:1", Incarnation: 1}})
	for _, e := range f.Engines {
		e.SetUnresponsive(true)
		defer e.SetUnresponsive(false)
	}
	ctx, cancel := context.WithTimeout(context.Background(), flow.DefaultIdleTimeout+time.Second)
	defer cancel()
	silences := 0
	began := time.Now()
	end := c.Stage(ctx, f.Members()[1].Self().VM, peers.StageCall{Request: shed.StageRequest{
		Call: shed.Call{Request: "r", Attempt: 1}, Pipeline: "hop", Workspace: "noord",
		Budget: 6 * time.Second, ReportSilence: reportSilence,
	}, Payload: shed.Payload{Input: "x"}}, true, func(f shed.Frame) error {
		if f.Silent > 0 && !f.LinkSilent {
			silences++
		}
		return nil
	})
	took := time.Since(began)
	require.NoError(t, c.Close())
	return end, silences, took
}
