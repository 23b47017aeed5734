package relay

import (
	"context"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/peers"

	"github.com/sirupsen/logrus"
)

// runPieces has pieces run, also if their coordinator stops meanwhile.
func (r *Relay) runPieces(ctx context.Context, j *job, pool shed.PoolID, pieces []shed.Piece) []shed.PieceResult {
	out := uniformResults(len(pieces), shed.PieceMoved)
	for ctx.Err() == nil {
		var pending []int
		var requested []shed.Piece
		for i, res := range out {
			if res.End == shed.PieceMoved {
				pending, requested = append(pending, i), append(requested, pieces[i])
			}
		}
		if len(pending) == 0 {
			return out
		}
		results, vm := r.requestPieces(ctx, pool, requested)
		r.recordCoordinator(j, results, vm)
		for i, n := range pending {
			out[n] = results[i]
		}
		if slices.ContainsFunc(results, func(res shed.PieceResult) bool { return res.End == shed.PieceMoved }) {
			r.backOffPeer(vm)
		}
	}
	return out
}

// requestPieces has pieces run by the servers of a pool, through the pool's coordinator. If the
// coordinator doesn't answer, the next one is tried.
func (r *Relay) requestPieces(ctx context.Context, pool shed.PoolID, pieces []shed.Piece) ([]shed.PieceResult, shed.VM) {
	own := r.mesh.self.VM
	for ctx.Err() == nil {
		r.mu.Lock()
		vm, ok := r.coordinator(time.Now(), pool)
		client := r.client
		r.mu.Unlock()
		if !ok {
			sleep(ctx, settlePoll)
			continue
		}
		if vm == own {
			return r.coordinatePieces(ctx, pool, pieces), own
		}
		answer, err := r.requestPeerPieces(ctx, client, vm, peers.PieceCall{Pool: pool, Pieces: pieces, Origin: pieces[0].Origin})
		if err == nil {
			r.receiveForecast(vm, answer.Wait)
			return answer.Results, vm
		}
		if ctx.Err() != nil {
			break
		}
		r.log.WithFields(logrus.Fields{"request": pieces[0].Request, "peer": vm, "pool": pool, "error": err.Error()}).
			Info("peer that gathers pieces gives no answer")
		r.backOffUnresponsivePeers(vm)
	}
	return failedResults(len(pieces)), own
}

// requestPeerPieces makes a piece call to a peer. The call is cancelled if another call
// finds the peer unresponsive.
func (r *Relay) requestPeerPieces(
	ctx context.Context, client *peers.Client, vm shed.VM, call peers.PieceCall,
) (peers.PieceAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.mesh.lastPieceCall++
	id := r.mesh.lastPieceCall
	if r.mesh.pieceCalls[vm] == nil {
		r.mesh.pieceCalls[vm] = map[uint64]peerCall{}
	}
	r.mesh.pieceCalls[vm][id] = peerCall{cancel: cancel, beganAt: time.Now()}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if delete(r.mesh.pieceCalls[vm], id); len(r.mesh.pieceCalls[vm]) == 0 {
			delete(r.mesh.pieceCalls, vm)
		}
	}()
	return client.Pieces(ctx, vm, call)
}

// peerCall is a call for pieces in flight at a peer.
type peerCall struct {
	cancel  context.CancelFunc
	beganAt time.Time
}

// abandonSilentPeers cancels the calls at peers that have fallen silent, so that their pieces go to
// another VM at once. The caller holds mu.
func (r *Relay) abandonSilentPeers(now time.Time) {
	waiting := make(map[shed.VM]time.Time, len(r.mesh.pieceCalls))
	for vm, calls := range r.mesh.pieceCalls {
		for _, c := range calls {
			if began, ok := waiting[vm]; !ok || c.beganAt.Before(began) {
				waiting[vm] = c.beganAt
			}
		}
	}
	for _, vm := range r.mesh.pulse.FindSilent(now, waiting, r.allowance()) {
		r.setBackoff(vm, now.Add(peerBackoff))
		r.cancelPieceCalls(vm)
	}
}

// cancelPieceCalls cancels the calls for pieces in flight at a peer. The caller holds mu.
func (r *Relay) cancelPieceCalls(vm shed.VM) {
	for _, c := range r.mesh.pieceCalls[vm] {
		c.cancel()
	}
}

// peerHeard records that a peer sent something.
func (r *Relay) peerHeard(vm shed.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mesh.pulse.Heard(time.Now(), vm)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// recordCoordinator stores which VM coordinated the results.
func (r *Relay) recordCoordinator(j *job, results []shed.PieceResult, vm shed.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.coordinators == nil {
		j.coordinators = map[shed.ResultRef]shed.VM{}
	}
	for _, ref := range completeRefs(results) {
		j.coordinators[ref] = vm
	}
}

// releaseInputs frees the request's inputs, after its server has fetched them or when it ends.
func (r *Relay) releaseInputs(j *job) {
	refs := j.inputs
	j.inputs, j.inputsReady = nil, false
	if !j.inputsBorrowed {
		r.releaseResults(j, refs)
	}
}

// releaseResults frees results through their coordinator, which accounts for the producers'
// capacity.
func (r *Relay) releaseResults(j *job, refs []shed.ResultRef) {
	if len(refs) == 0 {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	byVM := make(map[shed.VM][]shed.ResultRef)
	for _, ref := range refs {
		vm := j.coordinators[ref]
		byVM[vm] = append(byVM[vm], ref)
	}
	for vm, refs := range byVM {
		if vm == r.mesh.self.VM {
			r.performBatch(r.batcher.Handle(now, batch.FreeRequested{Refs: refs}))
			continue
		}
		r.client.Send(vm, shed.ResultsFreed{Refs: refs})
	}
}
