package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/permit"
	"jasmineshed/internal/roster"
)

// minLease is the shortest lease of a permit.
const minLease = 100 * time.Millisecond

// cancelTime is the assumed time in which a server ends a request after its VM gave it up: a server
// notices the closed connection at its next step or write. The permit is held until then, and leased for
// as long beyond the request's deadline, at which most requests are given up.
const cancelTime = 250 * time.Millisecond

// heldPermit is a permit of a request; the zero value is none.
type heldPermit struct {
	owner shed.VM
	start shed.ServerStart
	id    permit.ID
}

// isPoolBrittle reports whether a server of the pool is brittle. The caller holds mu.
func (r *Relay) isPoolBrittle(pool shed.PoolID) bool {
	return slices.ContainsFunc(r.limits.BrittleServers(), func(start shed.ServerStart) bool {
		s, ok := r.roster.Server(start.Server)
		return ok && s.Pool == pool
	})
}

// isBrittle reports whether a server falls over if it has to turn away requests: by its own word, or
// if it has said nothing yet and its pool is brittle. The caller holds mu.
func (r *Relay) isBrittle(s *roster.Server, pool bool) bool {
	brittle, known := r.limits.Brittle(s.Start())
	return brittle || !known && pool
}

// takePermit requests a permit for a brittle server and waits for it at most patience.
func (r *Relay) takePermit(ctx context.Context, j *job, s *roster.Server, patience time.Duration) (heldPermit, bool) {
	now := time.Now()
	call := peers.PermitCall{
		Start: s.Start(), Slots: s.Slots, Rank: max(j.rank, 0), Patience: patience, Lease: max(j.deadline.Sub(now), minLease) + cancelTime,
		ID: uint64(permit.ChosenID(rand.Uint64())),
	}
	r.mu.Lock()
	owner, ok := r.owner(now, "turns "+string(s.ID))
	client := r.client
	r.mu.Unlock()
	if !ok {
		return heldPermit{}, false
	}
	var reply peers.PermitReply
	var err error
	if owner == r.mesh.self.VM {
		reply = r.Permit(ctx, call)
	} else {
		callCtx, cancel := r.withTimeout(ctx, patience+turnTimeout)
		reply, err = client.Permit(callCtx, owner, call)
		cancel()
	}
	switch {
	case err == nil && reply.Granted:
		return heldPermit{owner: owner, start: call.Start, id: permit.ID(reply.ID)}, true
	case err != nil || reply.Moved:
		if err != nil {
			// It may have been granted: its answer is late or lost.
			client.Send(owner, shed.PermitReturned{Start: call.Start, ID: call.ID})
		}
		r.passOverOwner(ctx, owner, err, "peer that grants permits gives no answer")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordDenied(time.Now(), call.Start, reply.Wait)
	return heldPermit{}, false
}

// returnPermit gives the request's permit back, if it has one. rejected is set if the server turned
// the request away for want of room.
func (r *Relay) returnPermit(j *job, rejected bool) {
	if p := j.detachPermit(); p.owner != "" {
		r.sendBack(p, rejected)
	}
}

// detachPermit removes the request's permit, if it has one.
func (j *job) detachPermit() heldPermit {
	p := j.permit
	j.permit = heldPermit{}
	return p
}

// sendBack gives a permit back to its owner.
func (r *Relay) sendBack(p heldPermit, rejected bool) {
	m := shed.PermitReturned{Start: p.start, ID: uint64(p.id), Rejected: rejected}
	if p.owner == r.mesh.self.VM {
		r.ReturnPermit(m)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.client.Send(p.owner, m)
}

// returnPermitAfter gives the request's permit back after d, or when this VM ends.
func (r *Relay) returnPermitAfter(j *job, d time.Duration) {
	p := j.detachPermit()
	if p.owner == "" {
		return
	}
	r.work.Go(func() error {
		sleep(r.base, d)
		r.sendBack(p, false)
		return nil
	})
}

// Permit implements peers.RelayHandler.
func (r *Relay) Permit(ctx context.Context, call peers.PermitCall) peers.PermitReply {
	if r.stopping.Load() {
		return peers.PermitReply{Moved: true}
	}
	r.mu.Lock()
	got := r.permits.Take(time.Now(), permit.Request{
		ID: permit.ID(call.ID), Start: call.Start, Slots: call.Slots, Rank: call.Rank, Patience: call.Patience, Lease: call.Lease,
	})
	if !got.Queued {
		r.mu.Unlock()
		return peers.PermitReply{Granted: got.Granted, ID: uint64(got.ID), Wait: got.Wait}
	}
	granted := make(chan struct{})
	r.permitWaiters[got.ID] = granted
	r.mu.Unlock()
	timer := time.NewTimer(call.Patience)
	defer timer.Stop()
	select {
	case <-granted:
		return peers.PermitReply{Granted: true, ID: uint64(got.ID)}
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.permitWaiters, got.ID)
	// A permit that was granted just now is given back, too.
	r.notifyPermits(r.permits.Leave(time.Now(), call.Start, got.ID))
	return peers.PermitReply{}
}

// ReturnPermit implements peers.RelayHandler.
func (r *Relay) ReturnPermit(m shed.PermitReturned) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receivePermit(time.Now(), m)
}

// receivePermit takes a permit back and passes it on. The caller holds mu.
func (r *Relay) receivePermit(now time.Time, m shed.PermitReturned) {
	r.notifyPermits(r.permits.Return(now, m.Start, permit.ID(m.ID), m.Rejected))
}

// notifyPermits lets the requests go on that were granted permits. The caller holds mu.
func (r *Relay) notifyPermits(granted []permit.ID) {
	for _, id := range granted {
		if waiter := r.permitWaiters[id]; waiter != nil {
			delete(r.permitWaiters, id)
			close(waiter)
		}
	}
}
