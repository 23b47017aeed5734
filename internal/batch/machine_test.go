package batch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
)

// Whatever happens to calls and servers, in any order: each job is answered at most once, with
// a result for each piece; no call exceeds its limit; a result that was given to no job is
// released; and once faults cease, every job that was not dropped is answered.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := newHarness(t, "a", "a", "b")
		all := tb.servers
		pieceCounts := map[batch.JobID]int{}
		next := batch.JobID(0)
		resultCounts := func() map[shed.ResultRef]int {
			refs := map[shed.ResultRef]int{}
			for _, results := range tb.done {
				for _, r := range results {
					if r.End == shed.PieceComplete {
						refs[r.Ref]++
					}
				}
			}
			for _, ref := range tb.freed {
				refs[ref]++
			}
			return refs
		}
		end := func() {
			if len(tb.sends) == 0 {
				return
			}
			s := tb.nextSend()
			require.LessOrEqual(t, len(s.Pieces), limits.MaxPieces)
			switch rapid.IntRange(0, 9).Draw(rt, "end") {
			case 0:
				tb.handle(batch.CallEnded{Call: s.Call})
			case 1:
				if rapid.Bool().Draw(rt, "rests") {
					tb.handle(batch.ServerRests{Server: s.Server.ID, Left: time.Duration(rapid.IntRange(1, 5000).Draw(rt, "rest")) * time.Millisecond})
				}
				tb.handle(batch.CallEnded{Call: s.Call, NotRun: true, Busy: true})
			case 2:
				tb.answer(s, shed.PieceNoCapacity)
			case 4:
				tb.handle(batch.CallEnded{Call: s.Call, Crashed: true})
			case 3:
				tb.answer(s, shed.PieceInputsGone)
			case 5:
				tb.handle(batch.CallEnded{Call: s.Call, PathLost: true})
			case 6:
				tb.answer(s, shed.PieceFailed)
			default:
				tb.answer(s, shed.PieceComplete)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"ask": func(rt *rapid.T) {
				next++
				n := rapid.IntRange(1, 9).Draw(rt, "pieces")
				pieceCounts[next] = n
				target := time.Duration(rapid.IntRange(100, 2000).Draw(rt, "aim")) * time.Millisecond
				tb.addJob(next, n, target, func(p *shed.Piece) {
					p.SameZone = n%2 == 0
					if n%3 == 0 {
						p.PreferredZone = "b"
					}
				})
			},
			"end":  func(*rapid.T) { end() },
			"pass": func(rt *rapid.T) { tb.advance(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond) },
			"drop": func(rt *rapid.T) {
				if next == 0 {
					return
				}
				id := batch.JobID(rapid.Uint64Range(1, uint64(next)).Draw(rt, "job"))
				tb.handle(batch.JobDropped{Job: id})
				if _, done := tb.done[id]; !done {
					delete(pieceCounts, id)
				}
			},
			"servers": func(rt *rapid.T) { tb.servers = all[:rapid.IntRange(0, len(all)).Draw(rt, "servers")] },
			"free": func(*rapid.T) {
				for id, results := range tb.done {
					for _, r := range results {
						if r.End == shed.PieceComplete && id == next {
							tb.handle(batch.FreeEnded{Refs: []shed.ResultRef{r.Ref}})
						}
					}
				}
			},
			"": func(rt *rapid.T) {
				for id, results := range tb.done {
					if n, ok := pieceCounts[id]; ok {
						require.Len(rt, results, n)
					}
				}
				for ref, n := range resultCounts() {
					require.Equal(rt, 1, n, "result %s was given to a job or released exactly once", ref)
				}
			},
		})
		tb.servers = all
		for range 200 {
			for len(tb.sends) > 0 {
				tb.answer(tb.nextSend(), shed.PieceComplete)
			}
			tb.advance(100 * time.Millisecond)
		}
		for id := range pieceCounts {
			require.Contains(rt, tb.done, id)
		}
	})
}
