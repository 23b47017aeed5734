package peers

import (
	"context"
	"net"
	"testing"
	"time"

	shed "jasmineshed"

	"github.com/stretchr/testify/require"
)

// Guards against a forwarded call that ends because its link is silent: whoever decides on the call
// gets reports for as long as the silence lasts, and ends the call once it is replaced.
func TestSilentLinkIsReported(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	lost := make(chan shed.VM, 8)
	c := newClient(t, ClientConfig{OnPeerLost: func(vm shed.VM) { lost <- vm }})
	to := shed.VM(lis.Addr().String())
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	call := StageCall{Request: shed.StageRequest{Call: shed.Call{Request: "r", Attempt: 1}, ReportSilence: true}}
	var got []shed.Frame
	end := c.Stage(ctx, to, call, false, func(f shed.Frame) error {
		got = append(got, f)
		if len(got) == 3 {
			cancel(shed.ErrReplaced)
		}
		return nil
	})
	require.Equal(t, shed.EndBroken, end.End)
	require.Equal(t, shed.ReasonSilent, end.Reason)
	require.Len(t, got, 3)
	for i, f := range got {
		require.True(t, f.LinkSilent)
		require.Equal(t, call.Request.Call, f.Call)
		require.GreaterOrEqual(t, f.Silent, heartbeatTimeout+time.Duration(i)*shed.SilenceEvery)
	}
	require.Equal(t, to, <-lost)
}

// oldStageRequest is the request of a stage call as daemons without ReportSilence know it.
type oldStageRequest struct {
	Call   shed.Call       `cbor:"1,keyasint"`
	Budget time.Duration   `cbor:"6,keyasint"`
	Avoid  []shed.ServerID `cbor:"9,keyasint,omitempty"`
}

// Guards against daemons of two versions that don't understand each other's calls: an old one
// ignores ReportSilence, and a call of an old one doesn't ask for reports. LinkSilent is never sent.
func TestSilenceBetweenVersions(t *testing.T) {
	req := shed.StageRequest{Call: shed.Call{Request: "r", Attempt: 2}, Budget: time.Second, ReportSilence: true}
	b, err := wire.Marshal(&req)
	require.NoError(t, err)
	var old oldStageRequest
	require.NoError(t, wire.Unmarshal(b, &old))
	require.Equal(t, oldStageRequest{Call: req.Call, Budget: req.Budget}, old)

	b, err = wire.Marshal(&old)
	require.NoError(t, err)
	var received shed.StageRequest
	require.NoError(t, wire.Unmarshal(b, &received))
	require.False(t, received.ReportSilence)

	b, err = wire.Marshal(&shed.Frame{Silent: time.Second, LinkSilent: true})
	require.NoError(t, err)
	var frame shed.Frame
	require.NoError(t, wire.Unmarshal(b, &frame))
	require.Equal(t, shed.Frame{Silent: time.Second}, frame)
}
