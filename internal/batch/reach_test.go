package batch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
)

// Three of four servers lie beyond a cut: calls to them end after a while, not run.
// Callers' pieces went to one of them after the other, each time they were free
// again. Now only a single piece tries whether one is back, and the same piece does
// not wait for it: it is made by the server that can be reached.
func TestUnreachedServersAreTriedWithOnePiece(t *testing.T) {
	tb := newTable(t, "b", "b", "b", "a")
	small := func(p *shed.Piece) { p.Bytes = 1 }
	tb.ask(1, 16, time.Second, small)
	for range 4 {
		if s := tb.take(); s.Server.Zone == "b" {
			tb.handle(batch.CallEnded{Call: s.Call, NotRun: true})
		} else {
			tb.answer(s, shed.PieceComplete)
		}
	}
	for len(tb.done) == 0 {
		tb.answer(tb.take(), shed.PieceComplete)
	}
	tb.pass(2 * time.Second)
	tb.ask(2, 9, time.Second, small)
	tried, made := 0, 0
	for len(tb.sends) > 0 {
		s := tb.take()
		if s.Server.Zone == "b" {
			require.Len(t, s.Pieces, 1)
			tried++
			tb.pass(50 * time.Millisecond)
			tb.handle(batch.CallEnded{Call: s.Call, NotRun: true})
			continue
		}
		made += len(s.Pieces)
		tb.answer(s, shed.PieceComplete)
	}
	require.Equal(t, 9, made)
	require.Positive(t, tried)
	require.Len(t, tb.done[2], 9)
	tb.pass(4 * time.Second)
	tb.ask(3, 1, time.Second, small)
	for len(tb.sends) > 0 {
		tb.answer(tb.take(), shed.PieceComplete)
	}
	tb.ask(4, 16, time.Second, small)
	require.GreaterOrEqual(t, len(tb.sends), 2, "a server that answered a try gets full calls again")
}

// A zone is cut off, and operators had taken its own servers out: none that is left
// can be reached. Callers waited there until they gave up, since pieces went from one
// server to the next for ever, and others were let in behind them. Now they are told
// as soon as no server is left to try, and so are those that come meanwhile; when a
// server may be tried again, the next one that comes tries it.
func TestNoServerCanBeReached(t *testing.T) {
	tb := newTable(t, "a", "b")
	tb.ask(1, 8, 5*time.Second, nil)
	for len(tb.sends) > 0 {
		s := tb.take()
		tb.now = tb.now.Add(200 * time.Millisecond)
		tb.handle(batch.CallEnded{Call: s.Call, NotRun: true})
	}
	require.Equal(t, shed.PieceFailed, tb.done[1][0].End)
	require.LessOrEqual(t, tb.now.Sub(start), 600*time.Millisecond)
	require.Equal(t, batch.NoServers, tb.b.PredictWait(tb.now, "p", limits).Timely)
	tb.pass(time.Second)
	require.Less(t, tb.b.PredictWait(tb.now, "p", limits).Timely, time.Second)
	tb.ask(2, 1, 5*time.Second, nil)
	tb.answer(tb.take(), shed.PieceComplete)
	require.Equal(t, shed.PieceComplete, tb.done[2][0].End)
}
