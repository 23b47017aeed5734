package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/room"
	"jasmineshed/internal/roster"

	"github.com/sirupsen/logrus"
)

// maxResults bounds the response to a piece call, in bytes.
const maxResults = 1 << 20

const (
	// freeTimeout bounds a call that frees results, which takes milliseconds.
	freeTimeout = 400 * time.Millisecond
	// maxActiveFrees bounds concurrent free calls to one server: one whose response was lost
	// must not block the next.
	maxActiveFrees = 4
)

// coordinatePieces runs pieces on the pool's servers and returns one result per piece.
func (r *Relay) coordinatePieces(ctx context.Context, poolID shed.PoolID, pieces []shed.Piece) []shed.PieceResult {
	done := make(chan []shed.PieceResult, 1)
	r.mu.Lock()
	pool := r.pool(poolID)
	if !pool.RunsPieces() {
		r.mu.Unlock()
		return failedResults(len(pieces))
	}
	r.recordArrival(poolID, pieces)
	r.lastJob++
	id := r.lastJob
	r.jobs[id] = done
	r.performBatch(r.batcher.Handle(time.Now(), batch.JobAdded{Job: id, Pool: poolID, Limits: r.batchLimits(pool), Pieces: pieces}))
	r.mu.Unlock()
	select {
	case results := <-done:
		return results
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.jobs, id)
	r.performBatch(r.batcher.Handle(time.Now(), batch.JobDropped{Job: id}))
	select {
	case results := <-done:
		// The job finished just before it was dropped; nobody will use its results.
		r.performBatch(r.batcher.Handle(time.Now(), batch.FreeRequested{Refs: completeRefs(results)}))
	default:
	}
	return failedResults(len(pieces))
}

func failedResults(n int) []shed.PieceResult { return uniformResults(n, shed.PieceFailed) }

// uniformResults returns n results with the same end.
func uniformResults(n int, end shed.PieceEnd) []shed.PieceResult {
	out := make([]shed.PieceResult, n)
	for i := range out {
		out[i].End = end
	}
	return out
}

// completeRefs returns the references of the completed pieces.
func completeRefs(results []shed.PieceResult) []shed.ResultRef {
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

// performBatch performs the batcher's actions. The caller holds mu.
func (r *Relay) performBatch(acts []batch.Action) {
	surveys := false
	for _, act := range acts {
		switch a := act.(type) {
		case batch.Survey:
			surveys = true
			r.startSurvey(a)
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
				r.pendingFrees[addr] = append(r.pendingFrees[addr], ref)
			}
			r.flushFrees()
		}
	}
	if surveys {
		r.wakeBatcher(room.SurveyWait)
	}
}

// callPieces runs one piece call and passes its outcome to the batcher.
func (r *Relay) callPieces(a batch.Send) {
	began := time.Now()
	e := &exchange{server: a.Server, decidedAt: began, patience: time.Duration(piecesPatience * float64(a.UsualLimit))}
	end, status, err := r.sendPieces(e, a)
	end.Call = a.Call
	took := time.Since(began)
	r.stats.recordPieceCall(len(a.Pieces), took)
	fields := logrus.Fields{
		"server": a.Server.ID, "pool": a.Server.Pool, "zone": a.Server.Zone, "pieces": len(a.Pieces), "left": a.Pending,
		"took_ms": took.Milliseconds(), "limit_ms": a.Limit.Milliseconds(),
	}
	logCarrier(fields, e.carrier)
	e.sending.log(fields)
	entry := r.log.WithFields(fields)
	if end.Results == nil {
		entry.WithFields(logrus.Fields{"status": status, "not_run": end.NotRun, "path_lost": end.PathLost, "crashed": end.Crashed, "error": errorText(err), "first": a.Pieces[0].Request}).
			Warn("call for pieces failed")
	} else {
		r.logResults(entry, end.Results)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assessPieces(a, end)
	r.performBatch(r.batcher.Handle(time.Now(), end))
}

// logResults counts and logs an answered piece call: at Info level only if pieces failed, since there are
// many calls.
func (r *Relay) logResults(entry *logrus.Entry, results []shed.PieceResult) {
	count := map[shed.PieceEnd]int{}
	for _, res := range results {
		count[res.End]++
	}
	r.stats.noCapacity.Inc(int64(count[shed.PieceNoCapacity]))
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

func (r *Relay) sendPieces(e *exchange, a batch.Send) (batch.CallEnded, int, error) {
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
	resp, reply, sent, err := r.send(e, req.WithContext(ctx))
	if wasNotAdmitted(err) {
		return batch.CallEnded{NotRun: true, Busy: true}, 0, err
	}
	if err != nil {
		return batch.CallEnded{NotRun: !sent, PathLost: errors.Is(err, errPathLost), Crashed: sent && r.isCrash(err, a.Server)}, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return batch.CallEnded{NotRun: reply.NotRun, Busy: reply.NotRun && !reply.OtherServer}, resp.StatusCode, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResults))
	if err != nil {
		return batch.CallEnded{PathLost: errors.Is(err, errPathLost), Crashed: r.isCrash(err, a.Server)}, resp.StatusCode, err
	}
	results, err := r.cfg.Dialect.ParseResults(body, len(a.Pieces))
	return batch.CallEnded{Results: results}, resp.StatusCode, err
}

// errNoTurn: the server limits its request rate and has no turn for this call yet.
var errNoTurn = errors.New("no turn granted at a rate-limited server")

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// flushFrees sends the pending frees. While a server has maxActiveFrees calls in flight,
// further frees for it accumulate. The caller holds mu.
func (r *Relay) flushFrees() {
	for addr, refs := range r.pendingFrees {
		if r.activeFrees[addr] >= maxActiveFrees {
			continue
		}
		delete(r.pendingFrees, addr)
		server := r.roster.OpenServerAt(addr)
		if server == nil || r.isLimited(server) || r.access.IsRested(server.Start()) {
			// A server that gets no new work needs no capacity. At a limited or resting one the
			// call would take the place of a piece call; results expire by themselves.
			continue
		}
		r.activeFrees[addr]++
		r.work.Go(func() error {
			r.sendFree(server.ServerEntry, refs)
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.activeFrees[addr]--; r.activeFrees[addr] == 0 {
				delete(r.activeFrees, addr)
			}
			r.performBatch(r.batcher.Handle(time.Now(), batch.FreeEnded{Refs: refs, Server: server.ServerEntry}))
			r.flushFrees()
			return nil
		})
	}
}

// sendFree frees results. If the call fails, the server drops them by itself a few seconds
// later, and until then rejects pieces that it has no capacity for.
func (r *Relay) sendFree(server shed.ServerEntry, refs []shed.ResultRef) {
	ctx, cancel := r.withTimeout(r.base, freeTimeout)
	defer cancel()
	req, err := r.cfg.Dialect.NewFreeRequest(server.Addr, refs)
	if err == nil {
		var resp *http.Response
		resp, _, _, err = r.send(&exchange{server: server, patience: plainPatience}, req.WithContext(ctx))
		if err == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResults))
			_ = resp.Body.Close()
		}
	}
	if err != nil {
		r.log.WithFields(logrus.Fields{"server": server.ID, "results": len(refs), "error": err.Error()}).Info("call to free results failed")
	}
}
