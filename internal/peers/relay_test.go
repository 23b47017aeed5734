package peers_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	shed "jasmineshed"
	"jasmineshed/internal/peers"
)

// BenchmarkRelayLoad measures the bytes of one load message, by the number of servers on which
// its sender has requests and of prompts that it has placed since the last one.
//
//	go test ./internal/peers -run xxx -bench RelayLoad -benchtime 100x
func BenchmarkRelayLoad(b *testing.B) {
	for _, n := range []int{0, 3, 30} {
		b.Run(fmt.Sprint(n, "_servers"), func(b *testing.B) {
			load := shed.RelayLoad{
				Sequence: 1 << 20, AsOf: 1 << 16, Digest: 1 << 60, ConfirmedAgo: 200 * time.Millisecond,
				Servers:        map[shed.ServerID]shed.ServerShare{},
				Waits:          []shed.PieceWait{{Pool: "model-ingest", Timely: time.Second, Last: time.Second, Slow: 1.2, Rate: 537}},
				ExpectedPieces: map[shed.PoolID]int{"kaart-render": 3, "model-ingest": 40, "editor-desk": 100},
			}
			for i := range n {
				id := shed.ServerID(fmt.Sprintf("i-%010x", i))
				load.Servers[id] = shed.ServerShare{Running: 4, Reading: 12000}
				load.Placed = append(load.Placed, shed.PromptPlaced{Server: id, Chain: []uint64{1 << 60, 1 << 61}})
			}
			size := 0
			for range b.N {
				n, err := peers.Size(shed.Peer{VM: "10.1.0.41:8628", Incarnation: 1 << 60}, load)
				require.NoError(b, err)
				size = n
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// relayStub returns the results of pieces once release is closed, and reports the results that
// were not delivered.
type relayStub struct {
	release   chan struct{}
	discarded chan int
}

func (s *relayStub) Control(shed.Peer, shed.Message) {}

func (s *relayStub) Items(peers.ItemsCall) peers.ItemsReply { return peers.ItemsReply{} }

func (s *relayStub) Pieces(_ context.Context, call peers.PieceCall) peers.PieceAnswer {
	<-s.release
	return peers.PieceAnswer{Results: make([]shed.PieceResult, len(call.Pieces))}
}

func (s *relayStub) Turn(c peers.TurnCall) peers.TurnReply {
	return peers.TurnReply{Granted: c.Rate < 10, Wait: c.Patience}
}

func (s *relayStub) Connect(ctx context.Context, call peers.CarryCall) (net.Conn, peers.CarryStatus) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", call.Addr)
	if err != nil {
		return nil, peers.CarryStatus{Refusal: peers.CarryUnreachable}
	}
	return c, peers.CarryStatus{}
}

func (s *relayStub) Permit(context.Context, peers.PermitCall) peers.PermitReply {
	return peers.PermitReply{}
}

func (s *relayStub) Reserve(c peers.ReserveCall) peers.ReserveReply {
	return peers.ReserveReply{Wait: c.ToDeadline / 3}
}

func (s *relayStub) ReturnPermit(shed.PermitReturned) {}

func (s *relayStub) StreamOrigin(peers.OriginCall) peers.OriginReply { return peers.OriginReply{} }

func (s *relayStub) Held(context.Context, peers.HeldCall) peers.HeldReply { return peers.HeldReply{} }

// MayCarry refuses servers that are named "closed".
func (s *relayStub) MayCarry(call peers.CarryCall) bool { return call.Start.Server != "closed" }

func (s *relayStub) Disconnected(peers.CarryCall) {}

func (s *relayStub) DiscardResults(results []shed.PieceResult) { s.discarded <- len(results) }

// The daemon that requested pieces dies while they run. The answer can't be sent, so the results
// are freed at once: otherwise they would use up result capacity for seconds.
func TestRequesterGone(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	stub := &relayStub{release: make(chan struct{}), discarded: make(chan int, 1)}
	srv := peers.NewServer(peers.ServerConfig{Listener: lis, Relay: stub})
	ctx, stop := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return srv.Serve(ctx) })
	client := peers.NewClient(peers.ClientConfig{})
	callCtx, cancelCall := context.WithCancel(t.Context())
	g.Go(func() error {
		_, err := client.Pieces(callCtx, shed.VM(lis.Addr().String()), peers.PieceCall{Pieces: make([]shed.Piece, 3)})
		require.Error(t, err)
		return nil
	})
	time.Sleep(100 * time.Millisecond)
	cancelCall()
	time.Sleep(100 * time.Millisecond)
	close(stub.release)
	select {
	case n := <-stub.discarded:
		require.Equal(t, 3, n)
	case <-time.After(2 * time.Second):
		require.Fail(t, "the results were not freed")
	}
	stop()
	_ = g.Wait()
	require.NoError(t, client.Close())
}

// Calls for turns and reservations with invalid values are refused: with a rate of 0 no turn would ever be
// granted.
func TestTurnCalls(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := peers.NewServer(peers.ServerConfig{Listener: lis, Relay: &relayStub{}})
	ctx, stop := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return srv.Serve(ctx) })
	client := peers.NewClient(peers.ClientConfig{})
	to := shed.VM(lis.Addr().String())
	reply, err := client.Turn(t.Context(), to, peers.TurnCall{Rate: 2, Burst: 1, Patience: time.Second})
	require.NoError(t, err)
	require.Equal(t, peers.TurnReply{Granted: true, Wait: time.Second}, reply)
	for _, bad := range []peers.TurnCall{{}, {Rate: -1, Burst: 1}, {Rate: 1}, {Rate: 1, Burst: 1, Patience: -1}} {
		_, err = client.Turn(t.Context(), to, bad)
		require.Error(t, err, "%+v", bad)
	}
	call := peers.ReserveCall{Pieces: 1, ToTarget: -time.Second, ToDeadline: 3 * time.Second}
	got, err := client.Reserve(t.Context(), to, call)
	require.NoError(t, err)
	require.Equal(t, peers.ReserveReply{Wait: time.Second}, got)
	for _, bad := range []peers.ReserveCall{{}, {Pieces: 1}, {Pieces: -1, ToDeadline: 1}, {Pieces: 1, ToDeadline: 1, Rank: -1}, {Pieces: 1, ToDeadline: 1, Needed: -1}} {
		_, err = client.Reserve(t.Context(), to, bad)
		require.Error(t, err, "%+v", bad)
	}
	stop()
	_ = g.Wait()
	require.NoError(t, client.Close())
}
