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

// Guards against an unknown outcome while the deadline is far: the ticket's home is silent for longer
// than three attempts take, and then answers. It has the only answer, so the caller must get it.
func TestSilentHomeIsAskedAgain(t *testing.T) {
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
	d := newScriptedDaemon(t, &script{})
	d.cfg.Peers = peers.NewClient(peers.ClientConfig{Dial: func(ctx context.Context, _ shed.VM) (net.Conn, error) {
		to := lis.Addr()
		if dials.Add(1) <= homeAttempts+1 {
			to = paused.Addr()
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	}})
	call, stop := context.WithTimeout(ctx, 10*time.Second)
	defer stop()
	answer := d.queryHome(call, peers.RequestCall{Request: shed.Request{ID: "one"}}, nil)
	require.Equal(t, shed.OutcomeComplete, answer.Outcome, answer.Reason)
	require.EqualValues(t, homeAttempts+2, dials.Load())
	cancel()
	require.NoError(t, g.Wait())
	require.NoError(t, d.cfg.Peers.Close())
}
