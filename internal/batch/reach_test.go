package batch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
)

// Three of four servers are partitioned off, and calls to them end after a while without
// having run. All pieces of callers went to one of them after the other whenever it was free.
// Now a single piece probes whether such a server is back, and does not wait for it: the
// reachable server makes it.
func TestUnreachedServersAreTriedWithOnePiece(t *testing.T) {
	tb := newHarness(t, "b", "b", "b", "a")
	small := func(p *shed.Piece) { p.Bytes = 1 }
	tb.addJob(1, 16, time.Second, small)
	for range 4 {
		if s := tb.nextSend(); s.Server.Zone == "b" {
			tb.handle(batch.CallEnded{Call: s.Call, NotRun: true})
		} else {
			tb.answer(s, shed.PieceComplete)
		}
	}
	for len(tb.done) == 0 {
		tb.answer(tb.nextSend(), shed.PieceComplete)
	}
	tb.advance(2 * time.Second)
	tb.addJob(2, 9, time.Second, small)
	probes, made := 0, 0
	for len(tb.sends) > 0 {
		s := tb.nextSend()
		if s.Server.Zone == "b" {
			require.Len(t, s.Pieces, 1)
			probes++
			tb.advance(50 * time.Millisecond)
			tb.handle(batch.CallEnded{Call: s.Call, NotRun: true})
			continue
		}
		made += len(s.Pieces)
		tb.answer(s, shed.PieceComplete)
	}
	require.Equal(t, 9, made)
	require.Positive(t, probes)
	require.Len(t, tb.done[2], 9)
	tb.advance(4 * time.Second)
	tb.addJob(3, 1, time.Second, small)
	for len(tb.sends) > 0 {
		tb.answer(tb.nextSend(), shed.PieceComplete)
	}
	tb.addJob(4, 16, time.Second, small)
	require.GreaterOrEqual(t, len(tb.sends), 2, "a server that answered a probe gets full calls again")
}

// A zone is partitioned off while its own servers are out of service, so no server is
// reachable. Pieces went from one server to the next for ever, callers waited until they gave
// up, and others were admitted behind them. Callers must get a failure as soon as no server is
// left to try; once the backoff ends, the next piece tries a server again.
func TestNoServerCanBeReached(t *testing.T) {
	tb := newHarness(t, "a", "b")
	tb.addJob(1, 8, 5*time.Second, nil)
	for len(tb.sends) > 0 {
		s := tb.nextSend()
		tb.now = tb.now.Add(200 * time.Millisecond)
		tb.handle(batch.CallEnded{Call: s.Call, NotRun: true})
	}
	require.Equal(t, shed.PieceFailed, tb.done[1][0].End)
	require.LessOrEqual(t, tb.now.Sub(start), 600*time.Millisecond)
	require.Equal(t, batch.NoServers, tb.b.PredictWait(tb.now, "p", limits).Timely)
	tb.advance(time.Second)
	require.Less(t, tb.b.PredictWait(tb.now, "p", limits).Timely, time.Second)
	tb.addJob(2, 1, 5*time.Second, nil)
	tb.answer(tb.nextSend(), shed.PieceComplete)
	require.Equal(t, shed.PieceComplete, tb.done[2][0].End)
}
