package relay

import (
	"context"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/rank"
	"jasmineshed/internal/roster"
	"jasmineshed/internal/turns"
)

const (
	// turnTimeout bounds a call for a turn, which takes milliseconds: if the owner gives no
	// answer, another one is asked.
	turnTimeout = 150 * time.Millisecond
	// ownerLostWait is how long requests to the server are held back in that case.
	ownerLostWait = 50 * time.Millisecond
	// coldRateShare is the part of a cold server's rate that is granted: for a moment two VMs
	// may both consider themselves its owner.
	coldRateShare = 0.9
)

// turnLimit returns the rate that a server accepts from all VMs together now: its stated limit,
// or the one that applies while it is cold. limited is false if it has none. The caller holds
// mu.
func (r *Relay) turnLimit(now time.Time, pool *shed.RelayPool, s *roster.Server) (request turns.Request, limited bool) {
	request = turns.Request{Start: s.Start(), Burst: 1}
	if r.limits.Empty() && !s.Cold(now) {
		return request, false
	}
	if rate := r.limits.Rate(request.Start); rate > 0 {
		request.Rate, request.Burst = rate, 1+float64(rate)
	}
	if cold := shed.Rate(pool.ColdRate * coldRateShare); s.Cold(now) && cold > 0 && (request.Rate == 0 || cold < request.Rate) {
		request.Rate, request.Burst = cold, 1
	}
	return request, request.Rate > 0
}

// serverAccess returns the function that tells the picker which servers need a turn, which have
// none, and which want rest. The caller holds mu.
func (r *Relay) serverAccess(
	now time.Time, pool *shed.RelayPool, denied map[shed.ServerID]bool, maxWait time.Duration,
) func(*roster.Server) (picker.Access, time.Duration) {
	brittle := r.isPoolBrittle(pool.ID)
	return func(s *roster.Server) (picker.Access, time.Duration) {
		if left := r.access.RestLeft(now, s.Start()); left > 0 {
			return picker.Resting, left
		}
		request, limited := r.turnLimit(now, pool, s)
		switch {
		case !limited && !r.isBrittle(s, brittle):
			return picker.Free, 0
		case denied[s.ID] || maxWait == 0 && !r.access.HasTurn(now, request.Start):
			return picker.NoTurn, 0
		}
		return picker.ByTurn, 0
	}
}

// takeTurn requests a turn at a server and waits for it. It returns false if none was granted.
func (r *Relay) takeTurn(ctx context.Context, pool *shed.RelayPool, s *roster.Server, maxWait time.Duration) bool {
	now := time.Now()
	r.mu.Lock()
	request, limited := r.turnLimit(now, pool, s)
	request.Patience = maxWait
	if !limited {
		r.mu.Unlock()
		return true
	}
	owner, ok := r.owner(now, "turns "+string(s.ID))
	client := r.client
	if ok && owner == r.mesh.self.VM {
		got := r.turnBook.Take(now, request)
		r.recordTurn(now, request, got)
		r.mu.Unlock()
		return r.awaitTurn(ctx, got)
	}
	r.mu.Unlock()
	got := turns.Decision{Wait: ownerLostWait}
	if ok {
		got = r.requestTurn(ctx, client, owner, request)
	}
	r.mu.Lock()
	r.recordTurn(time.Now(), request, got)
	r.mu.Unlock()
	return r.awaitTurn(ctx, got)
}

func (r *Relay) requestTurn(ctx context.Context, client *peers.Client, owner shed.VM, request turns.Request) turns.Decision {
	callCtx, cancel := r.withTimeout(ctx, turnTimeout)
	defer cancel()
	got, err := client.Turn(callCtx, owner, peers.TurnCall(request))
	if err == nil && !got.Moved {
		return turns.Decision{Granted: got.Granted, Wait: got.Wait}
	}
	r.passOverOwner(ctx, owner, err, "peer that lends turns gives no answer")
	return turns.Decision{Wait: ownerLostWait}
}

// passOverOwner stops asking an owner of turns or permits for a while: one that has no more to grant,
// or that gave no answer, which is logged with msg.
func (r *Relay) passOverOwner(ctx context.Context, owner shed.VM, err error, msg string) {
	switch {
	case err == nil:
		r.backOffPeer(owner)
	case ctx.Err() == nil:
		r.log.WithField("peer", owner).WithError(err).Info(msg)
		r.backOffUnresponsivePeers(owner)
	}
}

// recordTurn holds back requests to a server whose turn was denied. The caller holds mu.
func (r *Relay) recordTurn(now time.Time, request turns.Request, got turns.Decision) {
	if !got.Granted {
		r.recordDenied(now, request.Start, got.Wait)
	}
}

// recordDenied holds back requests to a server that this VM may not send to now. The caller holds mu.
func (r *Relay) recordDenied(now time.Time, start shed.ServerStart, wait time.Duration) {
	r.stats.turnsDenied.Inc(1)
	r.access.Denied(now, start, wait)
}

// awaitTurn waits until a granted turn is due.
func (r *Relay) awaitTurn(ctx context.Context, got turns.Decision) bool {
	if got.Granted && got.Wait > 0 {
		sleep(ctx, got.Wait)
	}
	return got.Granted && ctx.Err() == nil
}

// Turn implements peers.RelayHandler.
func (r *Relay) Turn(call peers.TurnCall) peers.TurnReply {
	if r.stopping.Load() {
		return peers.TurnReply{Moved: true}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	got := r.turnBook.Take(time.Now(), turns.Request(call))
	return peers.TurnReply{Granted: got.Granted, Wait: got.Wait}
}

// owner returns the VM that does a task for all, by rendezvous hashing over the available
// high-capacity VMs. It returns false while this process is new and knows no peer. The caller
// holds mu.
func (r *Relay) owner(now time.Time, key string) (shed.VM, bool) {
	return rank.Owner(key, r.eligibleOwners(now))
}
