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
	// ownerLost is how long a server waits for another owner then.
	ownerLost = 50 * time.Millisecond
	// coldShare is the part of a cold server's rate that is lent: for a moment two VMs may
	// each hold themselves for the owner.
	coldShare = 0.9
)

// bound is what a server takes from all VMs together, now: by what it said, or since it is
// cold. bounded is false if it takes any number. The caller holds mu.
func (r *Relay) bound(now time.Time, pool *shed.RelayPool, s *roster.Server) (ask turns.Request, bounded bool) {
	ask = turns.Request{Start: startOf(s.ServerEntry), Burst: 1}
	if r.limits.Empty() && !s.Cold(now) {
		return ask, false
	}
	if rate := r.limits.Rate(ask.Start); rate > 0 {
		ask.Rate, ask.Burst = rate, 1+float64(rate)
	}
	if cold := shed.Rate(pool.ColdRate * coldShare); s.Cold(now) && cold > 0 && (ask.Rate == 0 || cold < ask.Rate) {
		ask.Rate, ask.Burst = cold, 1
	}
	return ask, ask.Rate > 0
}

// access tells the picker which servers need a turn, and which have none. The caller holds
// mu.
func (r *Relay) access(now time.Time, pool *shed.RelayPool, denied map[shed.ServerID]bool, patience time.Duration) func(*roster.Server) picker.Access {
	return func(s *roster.Server) picker.Access {
		ask, bounded := r.bound(now, pool, s)
		switch {
		case !bounded:
			return picker.Free
		case denied[s.ID] || patience == 0 && r.waits.Active(now, ask.Start):
			return picker.NoTurn
		}
		return picker.ByTurn
	}
}

// takeTurn asks for a turn at a server, and waits for it. It is false if there is none.
func (r *Relay) takeTurn(ctx context.Context, pool *shed.RelayPool, s *roster.Server, patience time.Duration) bool {
	now := time.Now()
	r.mu.Lock()
	ask, bounded := r.bound(now, pool, s)
	ask.Patience = patience
	owner, ok := r.owner(now, "turns "+string(s.ID))
	client := r.client
	if bounded && ok && owner == r.mesh.self.VM {
		got := r.book.Take(now, ask)
		r.noteTurn(now, ask, got)
		r.mu.Unlock()
		return r.await(ctx, got)
	}
	r.mu.Unlock()
	if !bounded {
		return true
	}
	got := turns.Decision{Wait: ownerLost}
	if ok {
		got = r.askOwner(ctx, client, owner, ask)
	}
	r.mu.Lock()
	r.noteTurn(time.Now(), ask, got)
	r.mu.Unlock()
	return r.await(ctx, got)
}

func (r *Relay) askOwner(ctx context.Context, client *peers.Client, owner shed.VM, ask turns.Request) turns.Decision {
	limited, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	got, err := client.Turn(limited, owner, peers.TurnCall(ask))
	switch {
	case err == nil && !got.Moved:
		return turns.Decision{Granted: got.Granted, Wait: got.Wait}
	case err == nil:
		r.shunPeer(owner)
	case ctx.Err() == nil:
		r.log.WithField("peer", owner).WithError(err).Info("peer that lends turns gives no answer")
		r.shunSilent(owner)
	}
	return turns.Decision{Wait: ownerLost}
}

// noteTurn holds back requests to a server that has no turn. The caller holds mu.
func (r *Relay) noteTurn(now time.Time, ask turns.Request, got turns.Decision) {
	if !got.Granted {
		r.stats.noTurns.Inc(1)
		r.waits.Denied(now, ask.Start, got.Wait)
	}
}

// await waits for a turn that was granted.
func (r *Relay) await(ctx context.Context, got turns.Decision) bool {
	if got.Granted && got.Wait > 0 {
		wait(ctx, got.Wait)
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
	got := r.book.Take(time.Now(), turns.Request(call))
	return peers.TurnReply{Granted: got.Granted, Wait: got.Wait}
}

// owner is the VM that does something for all, by rendezvous among the strong ones that
// are there. It is false as long as this process is new and knows no peer. The caller holds
// mu.
func (r *Relay) owner(now time.Time, key string) (shed.VM, bool) {
	return rank.Owner(key, r.strong(r.willing(now)))
}
