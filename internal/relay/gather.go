package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/roster"

	"github.com/sirupsen/logrus"
)

// maxResults bounds the answer to a call for pieces, in bytes.
const maxResults = 1 << 20

const (
	// freeTimeout bounds a call that gives results up, which takes milliseconds.
	freeTimeout = 400 * time.Millisecond
	// freesAtOnce bounds such calls to one server: one whose answer was lost must
	// not hold up the next.
	freesAtOnce = 4
)

// gather has pieces made by the pool's servers and returns a result for each.
func (r *Relay) gather(ctx context.Context, poolID shed.PoolID, pieces []shed.Piece) []shed.PieceResult {
	done := make(chan []shed.PieceResult, 1)
	r.mu.Lock()
	pool := r.pool(poolID)
	if !pool.RunsPieces() {
		r.mu.Unlock()
		return failed(len(pieces))
	}
	r.lastJob++
	id := r.lastJob
	r.jobs[id] = done
	r.perform(r.batcher.Handle(time.Now(), batch.JobAdded{Job: id, Pool: poolID, Limits: *pool.Batch, Pieces: pieces}))
	r.mu.Unlock()
	select {
	case results := <-done:
		return results
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.jobs, id)
	r.perform(r.batcher.Handle(time.Now(), batch.JobDropped{Job: id}))
	select {
	case results := <-done:
		// It was done just before; nobody will use it.
		r.perform(r.batcher.Handle(time.Now(), batch.FreeRequested{Refs: made(results)}))
	default:
	}
	return failed(len(pieces))
}

func failed(n int) []shed.PieceResult { return all(n, shed.PieceFailed) }

// all are n results that ended alike.
func all(n int, end shed.PieceEnd) []shed.PieceResult {
	out := make([]shed.PieceResult, n)
	for i := range out {
		out[i].End = end
	}
	return out
}

// made are the results that are there.
func made(results []shed.PieceResult) []shed.ResultRef {
	var out []shed.ResultRef
	for _, res := range results {
		if res.End == shed.PieceComplete {
			out = append(out, res.Ref)
		}
	}
	return out
}

func (r *Relay) pool(id shed.PoolID) *shed.RelayPool {
	c := r.roster.Catalog()
	if c == nil {
		return nil
	}
	return c.Pools[id]
}

// perform does what batch asks. The caller holds mu.
func (r *Relay) perform(acts []batch.Action) {
	for _, act := range acts {
		switch a := act.(type) {
		case batch.Send:
			r.work.Go(func() error {
				r.callPieces(a)
				return nil
			})
		case batch.Done:
			if done := r.jobs[a.Job]; done != nil {
				delete(r.jobs, a.Job)
				done <- a.Results
			}
		case batch.Free:
			for _, ref := range a.Refs {
				addr := r.cfg.Dialect.Producer(ref)
				r.freed[addr] = append(r.freed[addr], ref)
			}
			r.flushFreed()
		}
	}
}

// callPieces runs one call for pieces.
func (r *Relay) callPieces(a batch.Send) {
	began := time.Now()
	end, status, err := r.exchangePieces(a)
	end.Call = a.Call
	took := time.Since(began)
	r.stats.pieceCall(len(a.Pieces), took)
	entry := r.log.WithFields(logrus.Fields{
		"server": a.Server.ID, "pool": a.Server.Pool, "zone": a.Server.Zone, "pieces": len(a.Pieces), "left": a.Pending,
		"took_ms": took.Milliseconds(), "limit_ms": a.Limit.Milliseconds(),
	})
	if end.Results == nil {
		entry.WithFields(logrus.Fields{"status": status, "not_run": end.NotRun, "crashed": end.Crashed, "error": errText(err), "first": a.Pieces[0].Request}).
			Warn("call for pieces failed")
	} else {
		tellResults(entry, end.Results)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.judgePieces(a, end)
	r.perform(r.batcher.Handle(time.Now(), end))
}

// tellResults logs a call that was answered; in full only if pieces were not
// made, since there are many.
func tellResults(entry *logrus.Entry, results []shed.PieceResult) {
	count := map[shed.PieceEnd]int{}
	for _, res := range results {
		count[res.End]++
	}
	entry = entry.WithFields(logrus.Fields{
		"late": count[shed.PieceLate], "inputs_gone": count[shed.PieceInputsGone],
		"no_room": count[shed.PieceNoCapacity], "failed": count[shed.PieceFailed],
	})
	if count[shed.PieceComplete] == len(results) {
		entry.Debug("call for pieces")
		return
	}
	entry.Info("pieces not made")
}

func (r *Relay) exchangePieces(a batch.Send) (batch.CallEnded, int, error) {
	ctx, cancel := context.WithTimeout(r.base, a.Limit)
	defer cancel()
	ctx, span := r.tracer.Start(ctx, "call for pieces")
	defer span.End()
	if !r.takeTurn(ctx, &shed.RelayPool{ID: a.Server.Pool}, &roster.Server{ServerEntry: a.Server}, 0) {
		return batch.CallEnded{NotRun: true, Busy: true}, 0, errNoTurn
	}
	req, err := r.cfg.Dialect.NewPiecesRequest(a.Server, a.Pieces)
	if err != nil {
		return batch.CallEnded{NotRun: true}, 0, err
	}
	resp, sent, err := r.sender.Do(req.WithContext(ctx), false, time.Time{})
	if err != nil {
		return batch.CallEnded{NotRun: !sent, Crashed: sent && r.endedBy(err, a.Server)}, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	reply := r.cfg.Dialect.ParseReply(resp)
	r.heardLimit(a.Server, reply)
	if resp.StatusCode != http.StatusOK {
		return batch.CallEnded{NotRun: reply.NotRun, Busy: reply.NotRun && !reply.OtherServer}, resp.StatusCode, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResults))
	if err != nil {
		return batch.CallEnded{Crashed: r.endedBy(err, a.Server)}, resp.StatusCode, err
	}
	results, err := r.cfg.Dialect.ParseResults(body, len(a.Pieces))
	return batch.CallEnded{Results: results}, resp.StatusCode, err
}

// errNoTurn: the server takes only so many requests, and has no turn for this one yet.
var errNoTurn = errors.New("no turn at a limited server")

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// flushFreed gives results up that nobody needs any more. While some calls to a
// server are under way, others gather. The caller holds mu.
func (r *Relay) flushFreed() {
	for addr, refs := range r.freed {
		if r.freeing[addr] >= freesAtOnce {
			continue
		}
		if r.limited(addr) {
			// The call would take a turn from one for pieces; results lapse by themselves.
			delete(r.freed, addr)
			continue
		}
		delete(r.freed, addr)
		r.freeing[addr]++
		r.work.Go(func() error {
			r.callFree(addr, refs)
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.freeing[addr]--; r.freeing[addr] == 0 {
				delete(r.freeing, addr)
			}
			r.perform(r.batcher.Handle(time.Now(), batch.FreeEnded{Refs: refs}))
			r.flushFreed()
			return nil
		})
	}
}

// callFree gives results up. If that fails, the server drops them by itself a
// few seconds later, and until then refuses pieces that it has no room for.
func (r *Relay) callFree(addr string, refs []shed.ResultRef) {
	ctx, cancel := context.WithTimeout(r.base, freeTimeout)
	defer cancel()
	req, err := r.cfg.Dialect.NewFreeRequest(addr, refs)
	if err == nil {
		var resp *http.Response
		resp, _, err = r.sender.Do(req.WithContext(ctx), false, time.Time{})
		if err == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResults))
			_ = resp.Body.Close()
		}
	}
	if err != nil {
		r.log.WithFields(logrus.Fields{"address": addr, "results": len(refs), "error": err.Error()}).Info("results not given up")
	}
}
