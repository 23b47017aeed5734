package relay

import (
	"maps"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/fanout"
)

// mostAge bounds how old a load that a peer passes on is taken to be; peers pass on what
// they heard within a second or two.
const mostAge = 5 * time.Second

// peerWait is what a peer foresees for a pool that it gathers pieces for.
type peerWait struct {
	from shed.VM
	batch.Forecast
	at time.Time
}

// tellLoad tells peers what is under way here, and what others told this VM.
func (r *Relay) tellLoad(now time.Time) {
	if now.Sub(r.mesh.started) < settleFor {
		return
	}
	shares, waits := r.picker.Shares(), r.ownWaits(now)
	turn := r.mesh.fanout.NextRound(now, fanout.View{
		Peers: r.alive(), HighCapacity: r.strong(r.group.View().VMs(meshZone)),
		Busy: len(shares)+len(waits)+len(r.coming) > 0, Coordinator: len(waits) > 0,
	})
	if len(turn.To) == 0 {
		return
	}
	r.mesh.sequence++
	r.client.SendAll(turn.To, shed.RelayLoad{
		Sequence: r.mesh.sequence, HeldBytes: r.batcher.HeldBytes(), Servers: shares, Waits: waits, Placed: turn.Placed,
		// Messages are encoded later, in a goroutine of their own.
		ExpectedPieces: maps.Clone(r.coming), AsOf: r.roster.AsOf(), Digest: r.roster.Digest(), ConfirmedAgo: now.Sub(r.roster.LastContact()),
		Catalog: r.roster.CatalogRevision(), Limits: r.limits.All(now), ForwardToAll: turn.ForwardToAll, Forwarded: turn.Forwarded,
	})
}

// ownWaits predicts the wait in the pools that this VM gathers pieces for.
func (r *Relay) ownWaits(now time.Time) []shed.PieceWait {
	var out []shed.PieceWait
	for _, id := range r.batcher.ActivePools() {
		if pool := r.pool(id); pool.RunsPieces() {
			out = append(out, r.ownWait(now, pool))
		}
	}
	return out
}

// ownWait predicts the wait in one of them.
func (r *Relay) ownWait(now time.Time, pool *shed.RelayPool) shed.PieceWait {
	f := r.batcher.PredictWait(now, pool.ID, *pool.Batch)
	return shed.PieceWait{Pool: pool.ID, Timely: f.Timely, Last: f.Last, Slow: f.Slow, Rate: f.Rate}
}

// heardLoad takes in a peer's load, and those that it passes on.
func (r *Relay) heardLoad(now time.Time, from shed.Peer, m shed.RelayLoad) {
	if m.Sequence > r.mesh.seen[from] {
		r.heardStore(now, from.VM, m)
		delete(r.mesh.shunned, from.VM)
		r.takeLoad(now, now, from, m)
		if m.ForwardToAll {
			r.mesh.fanout.Forward(now, from, m)
		}
	}
	for _, c := range m.Forwarded {
		r.heardCarried(now, c)
	}
}

// heardCarried takes in a load that a peer passes on. One of a process that has ended
// would stay for good, since nothing more comes from it.
func (r *Relay) heardCarried(now time.Time, c shed.ForwardedLoad) {
	member, ok := r.group.Lookup(c.From.VM)
	if !ok || member.Peer != c.From || member.Status > shed.StatusSuspect || c.From.VM == r.mesh.self.VM {
		return
	}
	if c.Load.Sequence > r.mesh.seen[c.From] {
		r.takeLoad(now, now.Add(-min(max(c.Age, 0), mostAge)), c.From, c.Load)
	}
}

// takeLoad takes in a load that was told at a time.
func (r *Relay) takeLoad(now, told time.Time, from shed.Peer, m shed.RelayLoad) {
	r.mesh.seen[from] = m.Sequence
	r.mesh.heard[from.VM] = shed.Later(r.mesh.heard[from.VM], told)
	r.picker.SetPeerShares(from.VM, m.Servers)
	r.heardHeld(now, from.VM, m.HeldBytes)
	r.heardComing(from.VM, m.ExpectedPieces)
	r.heardLimits(now, told, from.VM, m.Limits)
	for _, p := range m.Placed {
		r.picker.RecordPeerPrefix(now, p.Server, p.Chain)
	}
	for pool, w := range r.mesh.waits {
		if w.from == from.VM && !w.at.After(told) {
			delete(r.mesh.waits, pool)
		}
	}
	for _, w := range m.Waits {
		r.setWait(from.VM, told, w)
	}
}

// heardWait takes in what a peer foresees for a pool, which it tells with its answer: a
// VM that asks often knows more by it than by load messages. nil says nothing.
func (r *Relay) heardWait(from shed.VM, w *shed.PieceWait) {
	if w == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setWait(from, time.Now(), *w)
}

// setWait notes what a peer foresaw for a pool, unless it has told more since. The caller
// holds mu.
func (r *Relay) setWait(from shed.VM, at time.Time, w shed.PieceWait) {
	if old := r.mesh.waits[w.Pool]; old.from == from && old.at.After(at) {
		return
	}
	r.mesh.waits[w.Pool] = peerWait{
		from: from, at: at, Forecast: batch.Forecast{Timely: w.Timely, Last: w.Last, Slow: w.Slow, Rate: w.Rate},
	}
}

func (r *Relay) heardHeld(now time.Time, from shed.VM, held map[shed.ServerID]int64) {
	if len(held) == 0 {
		return
	}
	keep := time.Duration(0)
	if c := r.roster.Catalog(); c != nil {
		for _, p := range c.Pools {
			if p.RunsPieces() {
				keep = max(keep, p.Batch.ResultRetention)
			}
		}
	}
	if keep > 0 {
		r.perform(r.batcher.Handle(now, batch.HeldElsewhere{From: from, Held: held, Retention: keep}))
	}
}
