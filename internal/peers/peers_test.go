package peers

import (
	"context"
	"net"
	"testing"
	"time"

	shed "jasmineshed"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// echo answers every call with the call's own input.
type echo struct {
	controls chan shed.Message
}

func (e echo) Stage(_ context.Context, call StageCall, send func(shed.Frame) error) shed.CallEnded {
	for i := range 3 {
		if err := send(shed.Frame{Call: call.Request.Call, Sequence: uint32(i), Text: call.Payload.Input}); err != nil {
			return shed.CallEnded{Call: call.Request.Call, End: shed.EndBroken}
		}
	}
	return shed.CallEnded{Call: call.Request.Call, End: shed.EndComplete, Tokens: 3}
}

func (e echo) Request(_ context.Context, call RequestCall, update func(shed.Update)) (shed.Answer, bool) {
	if call.To.Incarnation != 7 {
		return shed.Answer{}, false
	}
	update(shed.Update{Stage: "draft", Text: "a"})
	return shed.Answer{Finish: shed.Finish{Request: call.Request.ID, Outcome: shed.OutcomeComplete}}, true
}

func (e echo) Control(_ shed.Peer, msg shed.Message) { e.controls <- msg }

// serve runs a server for the test and returns its address.
func serve(t *testing.T, h Handler) shed.VM {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return serveOn(t, h, lis)
}

func serveOn(t *testing.T, h Handler, lis net.Listener) shed.VM {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		_ = NewServer(ServerConfig{Listener: lis, Handler: h}).Serve(ctx)
		return nil
	})
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return shed.VM(lis.Addr().String())
}

func newClient(t *testing.T, cfg ClientConfig) *Client {
	t.Helper()
	cfg.Self = shed.Peer{VM: "127.0.0.1:1", Incarnation: 1}
	c := NewClient(cfg)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestStageFramesArriveInOrder(t *testing.T) {
	to := serve(t, echo{})
	c := newClient(t, ClientConfig{})
	for _, fresh := range []bool{false, true} {
		var got []uint32
		call := StageCall{Request: shed.StageRequest{Call: shed.Call{Request: "r", Attempt: 1}}, Payload: shed.Payload{Input: "x"}}
		end := c.Stage(context.Background(), to, call, fresh, func(f shed.Frame) error {
			got = append(got, f.Sequence)
			return nil
		})
		require.Equal(t, shed.EndComplete, end.End)
		require.Equal(t, []uint32{0, 1, 2}, got)
	}
}

func TestRequestTellsAnotherIncarnation(t *testing.T) {
	to := serve(t, echo{})
	c := newClient(t, ClientConfig{})
	call := RequestCall{To: shed.Peer{VM: to, Incarnation: 7}, Request: shed.Request{ID: "t"}}
	var texts []string
	answer, home, sent, err := c.Request(context.Background(), call, func(u shed.Update) { texts = append(texts, u.Text) })
	require.NoError(t, err)
	require.True(t, home)
	require.True(t, sent)
	require.Equal(t, shed.OutcomeComplete, answer.Outcome)
	require.Equal(t, []string{"a"}, texts)

	call.To.Incarnation = 8
	_, home, sent, err = c.Request(context.Background(), call, nil)
	require.NoError(t, err)
	require.False(t, home)
	require.True(t, sent)
}

// Nothing listens at the peer's address: the call can't have started, and the caller may run it
// elsewhere.
func TestUnreachablePeerIsNotStarted(t *testing.T) {
	var lost []shed.VM
	c := newClient(t, ClientConfig{OnPeerLost: func(vm shed.VM) { lost = append(lost, vm) }})
	end := c.Stage(context.Background(), "127.0.0.1:1", StageCall{}, true, nil)
	require.Equal(t, shed.EndNotStarted, end.End)
	require.Equal(t, []shed.VM{"127.0.0.1:1"}, lost)
}

// A middlebox loses the state of the connection: writes still succeed, but nothing is ever
// received. The caller must not wait for the stage's whole deadline. After heartbeatTimeout
// without a heartbeat the call ends as broken (its bytes may have arrived), and the peer is
// reported as lost.
func TestSilentConnectionEndsAsBroken(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	lost := make(chan shed.VM, 1)
	c := newClient(t, ClientConfig{OnPeerLost: func(vm shed.VM) { lost <- vm }})
	to := shed.VM(lis.Addr().String())
	end := c.Stage(context.Background(), to, StageCall{}, false, nil)
	require.Equal(t, shed.EndBroken, end.End)
	require.Equal(t, shed.ReasonSilent, end.Reason)
	require.True(t, end.End.MayHaveRun())
	require.Equal(t, to, <-lost)
	require.Equal(t, uint64(1), c.connKey(to).generation, "idle connections of that generation are not reused")
}

func TestControlMessagesKeepTheirType(t *testing.T) {
	part := shed.PartHash{1, 2, 3}
	for _, msg := range []shed.Message{
		shed.Probe{Sequence: 1, Self: shed.Member{Zone: "a"}},
		shed.ProbeAck{Sequence: 2},
		shed.ConfigDigest{Revision: 3, ConfirmedAgo: time.Second},
		shed.ConfigPull{Have: []shed.PartHash{part}},
		shed.ConfigPush{Index: shed.ConfigIndex{Revision: 4, Parts: []shed.PartHash{part}}, Parts: map[shed.PartHash][]byte{part: []byte("x")}},
		shed.SlotRelease{Servers: []shed.ServerID{"s"}},
		shed.LoadDigest{Reports: map[shed.ServerID]shed.LoadReport{"s": {Running: 1}}},
		shed.TicketMove{Tickets: []shed.MovedTicket{{ID: "t"}}},
		shed.UrgentUpdate{Items: []shed.Item{{Key: "k", Value: []byte("v"), Revision: 5}, {Key: "l", Revision: 6, Deleted: true}}},
	} {
		e, err := newEnvelope(shed.Peer{VM: "a", Incarnation: 1}, msg)
		require.NoError(t, err)
		b, err := wire.Marshal(&e)
		require.NoError(t, err)
		var received envelope
		require.NoError(t, wire.Unmarshal(b, &received))
		got, err := received.unwrap()
		require.NoError(t, err)
		require.Equal(t, msg, got)
	}
}

// Arbitrary bytes from a faulty or hostile peer cause an error and no panic.
func FuzzEnvelope(f *testing.F) {
	e, _ := newEnvelope(shed.Peer{}, shed.Probe{Sequence: 1})
	b, _ := wire.Marshal(&e)
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(_ *testing.T, b []byte) {
		var e envelope
		if wire.Unmarshal(b, &e) != nil {
			return
		}
		_, _ = e.unwrap()
	})
}
