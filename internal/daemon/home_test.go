package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/peers"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// homeHandler is the home of every ticket and answers each request at once.
type homeHandler struct{ *Daemon }

func (homeHandler) Request(_ context.Context, in peers.RequestCall, _ func(shed.Update)) (shed.Answer, bool) {
	return shed.Answer{Finish: shed.Finish{Request: in.Request.ID, Outcome: shed.OutcomeComplete}}, true
}

// Guards against an unknown outcome while the request may still run: the ticket's home is silent for
// longer than three attempts take, and then answers. It has the only answer, so the caller must get it,
// also one who asks for the result without a deadline.
func TestSilentHomeIsAskedAgain(t *testing.T) {
	ask := map[string]func(ctx context.Context, d *Daemon) shed.Answer{
		"request": func(ctx context.Context, d *Daemon) shed.Answer {
			ctx, stop := context.WithTimeout(ctx, 10*time.Second)
			defer stop()
			return d.queryHome(ctx, peers.RequestCall{Request: shed.Request{ID: "one"}}, nil)
		},
		"result without a deadline": func(ctx context.Context, d *Daemon) shed.Answer {
			return d.Result(ctx, ticketed("one"))
		},
	}
	for name, answer := range ask {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			askSilentHome(t, answer)
		})
	}
}

// askSilentHome asks a home that is silent during four attempts.
func askSilentHome(t *testing.T, ask func(ctx context.Context, d *Daemon) shed.Answer) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	// Nobody accepts on this one, as if the process were paused.
	paused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, paused.Close()) }()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		_ = peers.NewServer(peers.ServerConfig{Listener: lis, Handler: homeHandler{}}).Serve(ctx)
		return nil
	})
	var dials atomic.Int32
	d := newScriptedDaemon(t, &script{home: shed.Home{Peer: shed.Peer{VM: "10.0.0.2:1"}}})
	d.cfg.Peers = peers.NewClient(peers.ClientConfig{Dial: func(ctx context.Context, _ shed.VM) (net.Conn, error) {
		to := lis.Addr()
		if dials.Add(1) <= homeAttempts+1 {
			to = paused.Addr()
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	}})
	answer := ask(ctx, d)
	require.Equal(t, shed.OutcomeComplete, answer.Outcome, answer.Reason)
	require.EqualValues(t, homeAttempts+2, dials.Load())
	cancel()
	require.NoError(t, g.Wait())
	require.NoError(t, d.cfg.Peers.Close())
}

// Guards against a caller without a deadline who waits for ever: the home is silent for longer than any
// request can run.
func TestResultOfSilentHomeEnds(t *testing.T) {
	t.Parallel()
	paused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := newScriptedDaemon(t, &script{home: shed.Home{Peer: shed.Peer{VM: shed.VM(paused.Addr().String())}}})
	const longest = 4 * time.Second
	d.rules.Load().Pipelines["p"].Deadline = longest
	d.cfg.Peers = peers.NewClient(peers.ClientConfig{})
	began := time.Now()
	answer := d.Result(context.Background(), ticketed("one"))
	took := time.Since(began)
	require.Equal(t, shed.OutcomeUnknown, answer.Outcome)
	require.Equal(t, shed.ReasonDeadline, answer.Reason)
	require.GreaterOrEqual(t, took, longest)
	require.Less(t, took, longest+2*time.Second)
	require.NoError(t, paused.Close())
	require.NoError(t, d.cfg.Peers.Close())
}
