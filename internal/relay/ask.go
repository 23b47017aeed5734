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

// askAll has pieces made, also if the VM that gathers them stops meanwhile.
func (r *Relay) askAll(ctx context.Context, j *job, pool shed.PoolID, pieces []shed.Piece) []shed.PieceResult {
	out := all(len(pieces), shed.PieceMoved)
	for ctx.Err() == nil {
		var open []int
		var asked []shed.Piece
		for i, res := range out {
			if res.End == shed.PieceMoved {
				open, asked = append(open, i), append(asked, pieces[i])
			}
		}
		if len(open) == 0 {
			return out
		}
		results, vm := r.askPieces(ctx, pool, asked)
		r.madeBy(j, results, vm)
		for i, n := range open {
			out[n] = results[i]
		}
		if slices.ContainsFunc(results, func(res shed.PieceResult) bool { return res.End == shed.PieceMoved }) {
			r.shunPeer(vm)
		}
	}
	return out
}

// askPieces has pieces made by the servers of a pool, through the VM that
// gathers them. If that VM doesn't answer, the next one does.
func (r *Relay) askPieces(ctx context.Context, pool shed.PoolID, pieces []shed.Piece) ([]shed.PieceResult, shed.VM) {
	own := r.mesh.self.VM
	for ctx.Err() == nil {
		r.mu.Lock()
		vm, ok := r.gatherer(time.Now(), pool)
		client := r.client
		r.mu.Unlock()
		if !ok {
			wait(ctx, settlePoll)
			continue
		}
		if vm == own {
			return r.gather(ctx, pool, pieces), own
		}
		answer, err := r.askPeerPieces(ctx, client, vm, peers.PieceCall{Pool: pool, Pieces: pieces, Origin: pieces[0].Origin})
		if err == nil {
			r.heardWait(vm, answer.Wait)
			return answer.Results, vm
		}
		if ctx.Err() != nil {
			break
		}
		r.log.WithFields(logrus.Fields{"request": pieces[0].Request, "peer": vm, "pool": pool, "error": err.Error()}).
			Info("peer that gathers pieces gives no answer")
		r.shunSilent(vm)
	}
	return failed(len(pieces)), own
}

// askPeerPieces calls a peer for pieces. The call ends sooner if the peer is found
// silent by another one.
func (r *Relay) askPeerPieces(
	ctx context.Context, client *peers.Client, vm shed.VM, call peers.PieceCall,
) (peers.PieceAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.mesh.lastAsk++
	id := r.mesh.lastAsk
	if r.mesh.asks[vm] == nil {
		r.mesh.asks[vm] = map[uint64]context.CancelFunc{}
	}
	r.mesh.asks[vm][id] = cancel
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.mesh.asks[vm], id)
	}()
	return client.Pieces(ctx, vm, call)
}

// wait waits for a time or the end of ctx.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// madeBy remembers through which VM results were made.
func (r *Relay) madeBy(j *job, results []shed.PieceResult, vm shed.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.gatherers == nil {
		j.gatherers = map[shed.ResultRef]shed.VM{}
	}
	for _, ref := range made(results) {
		j.gatherers[ref] = vm
	}
}

// giveUp gives the request's inputs up: its server has fetched them, or it
// ended.
func (r *Relay) giveUp(j *job) {
	refs := j.inputs
	j.inputs, j.ready = nil, false
	r.free(j, refs)
}

// free gives results up, through the VM that had them made: it counts the room
// at their makers.
func (r *Relay) free(j *job, refs []shed.ResultRef) {
	if len(refs) == 0 {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	by := make(map[shed.VM][]shed.ResultRef)
	for _, ref := range refs {
		vm := j.gatherers[ref]
		by[vm] = append(by[vm], ref)
	}
	for vm, refs := range by {
		if vm == r.mesh.self.VM {
			r.perform(r.batcher.Handle(now, batch.FreeRequested{Refs: refs}))
			continue
		}
		r.client.Send(vm, shed.ResultsFreed{Refs: refs})
	}
}
