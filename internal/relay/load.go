package relay

import (
	"maps"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/fanout"
)

// maxForwardedLoadAge caps the stated age of a forwarded load report; peers forward what they
// received within a second or two.
const maxForwardedLoadAge = 5 * time.Second

// peerForecast is a coordinator's forecast for one of its pools.
type peerForecast struct {
	from shed.VM
	batch.Forecast
	// promised is by how much reservations lengthen the queue in addition.
	promised time.Duration
	at       time.Time
}

// reportLoad sends peers this VM's load and the load reports that it forwards.
func (r *Relay) reportLoad(now time.Time) {
	if now.Sub(r.mesh.startedAt) < settleTime {
		return
	}
	shares, forecasts := r.picker.Shares(), r.ownForecasts(now)
	turn := r.mesh.fanout.NextRound(now, fanout.View{
		Peers: r.alivePeers(), HighCapacity: r.highCapacityVMs(r.group.View().VMs(meshZone)),
		Busy: len(shares)+len(forecasts)+len(r.expected) > 0, Coordinator: len(forecasts) > 0,
	})
	if len(turn.To)+len(turn.ForecastTo) == 0 {
		return
	}
	r.mesh.sequence++
	load := shed.RelayLoad{
		Sequence: r.mesh.sequence, HeldBytes: r.batcher.HeldBytes(), Servers: shares, Waits: forecasts,
		// Messages are encoded later, in another goroutine.
		ExpectedPieces: maps.Clone(r.expected), ExpectedBytes: maps.Clone(r.expectedBytes), AsOf: r.roster.AsOf(), Digest: r.roster.Digest(), ConfirmedAgo: now.Sub(r.roster.LastContact()),
		Strained: r.isStrained(now), Isolated: r.paths.isolated, Lost: r.lostServers(),
		Catalog: r.roster.CatalogRevision(), NeedsKey: r.roster.NeedsKey(), Limits: r.limits.All(now), Leaving: r.roster.UnlistedDepartures(),
	}
	if len(turn.ForecastTo) > 0 {
		r.client.SendAll(turn.ForecastTo, load)
	}
	if len(turn.To) > 0 {
		load.Placed, load.Forwarded, load.ForwardToAll = turn.Placed, turn.Forwarded, turn.ForwardToAll
		load.WorkTimes = turn.WorkTimes
		r.client.SendAll(turn.To, load)
	}
}

// ownForecasts forecasts the wait in the pools that this VM coordinates.
func (r *Relay) ownForecasts(now time.Time) []shed.PieceWait {
	var out []shed.PieceWait
	for _, id := range r.batcher.ActivePools() {
		if pool := r.pool(id); pool.RunsPieces() {
			out = append(out, r.ownForecast(now, pool))
		}
	}
	return out
}

// ownForecast forecasts the wait in one of these pools.
func (r *Relay) ownForecast(now time.Time, pool *shed.RelayPool) shed.PieceWait {
	f := r.batcher.PredictWait(now, pool.ID, r.batchLimits(pool))
	r.stats.recordRoom(pool.ID, f.Room, r.batcher.MeanStay(pool.ID))
	w := f.Wait(pool.ID)
	w.Promised = r.promised(now, pool.ID, f.Rate)
	return w
}

// receiveLoad applies a peer's load report and the reports that it forwards.
func (r *Relay) receiveLoad(now time.Time, from shed.Peer, m shed.RelayLoad) {
	if m.Sequence > r.mesh.lastSequence[from] {
		r.receiveStoreState(now, from.VM, m)
		r.clearBackoff(from.VM)
		r.applyLoad(now, now, from, m)
		if m.ForwardToAll {
			r.mesh.fanout.Forward(now, from, m)
		}
	}
	for _, c := range m.Forwarded {
		r.receiveForwardedLoad(now, c)
	}
}

// receiveForwardedLoad applies a forwarded load report. A report of an ended process is
// dropped: it would never be replaced, since no later one arrives.
func (r *Relay) receiveForwardedLoad(now time.Time, c shed.ForwardedLoad) {
	member, ok := r.group.Lookup(c.From.VM)
	if !ok || member.Peer != c.From || member.Status > shed.StatusSuspect || c.From.VM == r.mesh.self.VM {
		return
	}
	if c.Load.Sequence > r.mesh.lastSequence[c.From] {
		r.applyLoad(now, now.Add(-min(max(c.Age, 0), maxForwardedLoadAge)), c.From, c.Load)
	}
}

// applyLoad applies a load that was reported at reportedAt.
func (r *Relay) applyLoad(now, reportedAt time.Time, from shed.Peer, m shed.RelayLoad) {
	r.mesh.lastSequence[from] = m.Sequence
	r.mesh.lastLoad[from.VM] = shed.Later(r.mesh.lastLoad[from.VM], reportedAt)
	r.receivePaths(now, from.VM, m.Isolated, m.Lost)
	r.receiveStrain(from.VM, m.Strained)
	if m.NeedsKey {
		r.roster.RequireKeys()
	}
	r.picker.SetPeerShares(from.VM, m.Servers)
	r.receiveHeldBytes(now, from.VM, m.HeldBytes)
	r.setPeerExpected(from.VM, m.ExpectedPieces, m.ExpectedBytes)
	r.receivePeerLimits(now, reportedAt, from.VM, m.Limits)
	r.receivePeerDepartures(now, m.Leaving)
	for _, p := range m.Placed {
		r.picker.RecordPeerPrefix(now, p.Server, p.Chain)
	}
	r.receivePeerWorkTimes(now, m.WorkTimes)
	for pool, w := range r.mesh.forecasts {
		if w.from == from.VM && !w.at.After(reportedAt) {
			delete(r.mesh.forecasts, pool)
		}
	}
	for _, w := range m.Waits {
		r.setForecast(from.VM, reportedAt, w)
	}
}

// receiveForecast applies a forecast that a coordinator attached to its answer: a VM that calls
// often gets newer forecasts that way than by load reports. nil means no forecast.
func (r *Relay) receiveForecast(from shed.VM, w *shed.PieceWait) {
	if w == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setForecast(from, time.Now(), *w)
}

// setForecast stores a peer's forecast for a pool, unless a newer one from it is known. The
// caller holds mu.
func (r *Relay) setForecast(from shed.VM, at time.Time, w shed.PieceWait) {
	if old := r.mesh.forecasts[w.Pool]; old.from == from && old.at.After(at) {
		return
	}
	r.mesh.forecasts[w.Pool] = peerForecast{from: from, at: at, promised: w.Promised, Forecast: batch.NewForecast(w)}
}

func (r *Relay) receiveHeldBytes(now time.Time, from shed.VM, held map[shed.ServerID]int64) {
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
		r.performBatch(r.batcher.Handle(now, batch.HeldElsewhere{From: from, Held: held, Retention: keep}))
	}
}
