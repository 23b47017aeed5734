package resv_test

import (
	"fmt"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
	"jasmineshed/internal/batch"
)

// runPieces has the pieces of a request run through the VM's coordinator, and again through the next one if
// that fails.
func (r *replay) runPieces(c *caller, v int, target, deadline time.Time) {
	n, over := r.coordinatorOf(v), false
	retry := func() {
		if !over {
			over = true
			r.After(ms, func() { r.runPieces(c, v, target, deadline) })
		}
	}
	d, lost := r.delay(v, n)
	if r.fault == partitioned && n == 0 && v%2 == 1 && r.elapsed() < faultAt+takeoverAfter && r.elapsed() > faultAt-time.Second {
		// The VM finds out that its coordinator is silent and turns to another one.
		r.After(max(faultAt+takeoverAfter-r.elapsed(), 0), retry)
	}
	if lost {
		return
	}
	r.After(d, func() {
		co := r.coords[n]
		co.ledger.Arrived(c.f)
		co.lastJob++
		id := co.lastJob
		co.jobs[id] = func(results []shed.PieceResult) {
			delete(co.jobs, id)
			f, promised := r.forecast(co)
			if back, lost := r.delay(v, n); !lost {
				sent := r.Now
				r.After(back, func() {
					r.vms[v].receive(sent, f, promised)
					if results == nil {
						retry()
					} else if !over {
						over = true
						r.finishPieces(c, results)
					}
				})
			}
		}
		pieces := make([]shed.Piece, perRequest)
		for i := range pieces {
			pieces[i] = shed.Piece{Target: target.Sub(r.Now), Budget: deadline.Sub(r.Now)}
		}
		r.perform(co, co.batcher.Handle(r.Now, batch.JobAdded{Job: id, Pool: pool, Limits: limits, Pieces: pieces}))
	})
}

func (r *replay) finishPieces(c *caller, results []shed.PieceResult) {
	for _, res := range results {
		if res.End != shed.PieceComplete {
			c.running--
			r.refuse(c, r.Now, accept.MinRetryAfter, false)
			return
		}
	}
	c.piecesAt = r.Now
	r.After(answerTime, func() {
		c.running--
		c.ran++
		c.doneAt = r.Now
	})
}

// perform performs a batcher's actions. Servers queue one call behind the one that they run, for another
// coordinator.
func (r *replay) perform(co *coordinator, acts []batch.Action) {
	for _, act := range acts {
		switch a := act.(type) {
		case batch.Send:
			took := limits.CallTime + time.Duration(len(a.Pieces))*limits.PieceTime
			begins := shed.Later(r.Now, r.freeAt[a.Server.ID])
			if begins.Sub(r.Now) > 300*ms {
				r.After(ms, func() {
					r.perform(co, co.batcher.Handle(r.Now, batch.CallEnded{Call: a.Call, NotRun: true, Busy: true}))
				})
				continue
			}
			r.freeAt[a.Server.ID] = begins.Add(took)
			r.After(begins.Add(took).Sub(r.Now), func() { r.endCall(co, a) })
		case batch.Done:
			if done := co.jobs[a.Job]; done != nil {
				done(a.Results)
			}
		case batch.Free:
			r.perform(co, co.batcher.Handle(r.Now, batch.FreeEnded{Refs: a.Refs}))
		}
	}
}

func (r *replay) endCall(co *coordinator, a batch.Send) {
	results := make([]shed.PieceResult, len(a.Pieces))
	var refs []shed.ResultRef
	for i := range results {
		ref := shed.ResultRef(fmt.Sprint(a.Server.ID, "-", a.Call, "-", i))
		results[i], refs = shed.PieceResult{End: shed.PieceComplete, Ref: ref}, append(refs, ref)
	}
	r.perform(co, co.batcher.Handle(r.Now, batch.CallEnded{Call: a.Call, Results: results}))
	r.perform(co, co.batcher.Handle(r.Now, batch.FreeRequested{Refs: refs}))
}
