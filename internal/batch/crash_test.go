package batch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
)

// Pieces of eight requests are in one call, and one of them crashes its server. Sent again as
// a whole they crashed one server after the other, and no piece was completed.
func TestCallThatEndsItsServerIsSplit(t *testing.T) {
	tb := newHarness(t, "a")
	const culprit = batch.JobID(5)
	limits := limits
	limits.MaxPieces = 8
	for id := batch.JobID(1); id <= 8; id++ {
		tb.handle(batch.JobAdded{Job: id, Pool: "p", Limits: limits, Pieces: []shed.Piece{{
			Request: requestOf(id), Bytes: 10, Budget: 20 * time.Second, Target: 10 * time.Second,
		}}})
	}
	crashes, completed := 0, map[shed.RequestID]bool{}
	for range 60 {
		for len(tb.sends) > 0 {
			s := tb.nextSend()
			if !slices.Contains(requests(s), requestOf(culprit)) {
				for _, request := range requests(s) {
					completed[request] = true
				}
				tb.answer(s, shed.PieceComplete)
				continue
			}
			crashes++
			tb.servers = []shed.ServerEntry{{ID: s.Server.ID + "x", Pool: "p", Zone: "a", StartedMs: 1}}
			tb.handle(batch.CallEnded{Call: s.Call, Crashed: true})
		}
		tb.advance(100 * time.Millisecond)
	}
	require.Len(t, completed, 7)
	for id := batch.JobID(1); id <= 8; id++ {
		want := shed.PieceComplete
		if id == culprit {
			want = shed.PieceFailed
		}
		require.Equal(t, want, tb.done[id][0].End, "job %d", id)
	}
	require.LessOrEqual(t, crashes, 4)
}

func requestOf(id batch.JobID) shed.RequestID { return shed.RequestID(string(rune('a' + id))) }
