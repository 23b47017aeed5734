package peers

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/fault"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// Two callers' bodies of 1 MB are forwarded to a daemon behind a link of 10 Mbit/s. Together
// they take 1.7 s, and the remote side can't answer before it has a whole call. If the links
// timed out after a second without an answer, the calls would end as broken, and the callers
// would be told that it is unknown whether they ran.
func TestLargeCallsOverASmallLink(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	to := serveOn(t, echo{}, fault.NewLink(10).WrapListener(lis))
	c := newClient(t, ClientConfig{})
	body := strings.Repeat("0123456789abcdef", 1<<16)
	var g errgroup.Group
	for range 2 {
		g.Go(func() error {
			call := StageCall{Payload: shed.Payload{Input: body}}
			end := c.Stage(context.Background(), to, call, true, func(f shed.Frame) error {
				assert.Equal(t, len(body), len(f.Text))
				return nil
			})
			assert.Equal(t, shed.EndComplete, end.End, "%v", end.Reason)
			return nil
		})
		g.Go(func() error {
			call := RequestCall{To: shed.Peer{VM: to, Incarnation: 7}, Request: shed.Request{ID: "r", Payload: shed.Payload{Input: body}}}
			answer, home, _, err := c.Request(context.Background(), call, nil)
			assert.NoError(t, err)
			assert.True(t, home)
			assert.Equal(t, shed.OutcomeComplete, answer.Outcome)
			return nil
		})
	}
	_ = g.Wait()
}

// Guards against a departure that is dropped because reports to slow peers use up the messages that may be in flight.
func TestUrgentMessagesHaveRoomOfTheirOwn(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	received := make(chan shed.Message, 1)
	to := serve(t, echo{controls: received})
	var dropped atomic.Int64
	c := newClient(t, ClientConfig{OnDropped: func() { dropped.Add(1) }})
	for range 2 * maxConcurrentControls {
		c.Send(shed.VM(silent.Addr().String()), shed.RelayLoad{})
	}
	require.GreaterOrEqual(t, dropped.Load(), int64(maxConcurrentControls))
	c.Send(to, shed.LeavingUpdate{Starts: []shed.ServerStart{{Server: "x"}}})
	select {
	case msg := <-received:
		require.IsType(t, shed.LeavingUpdate{}, msg)
	case <-time.After(time.Second):
		require.Fail(t, "dropped")
	}
}
