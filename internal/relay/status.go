package relay

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/reach"
	"jasmineshed/internal/resv"
)

// Status implements oper.StatusSource.
func (r *Relay) Status() any {
	ready := r.ready()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	out := Status{
		VM: r.mesh.self.VM, Zone: shed.ZoneID(r.prefs.Load().Node.Zone), Ready: ready,
		Stopping: r.stopping.Load(), OpenRequests: r.open.Load(), AsOf: r.roster.AsOf().Number(), Era: r.roster.Era(),
		Peers: r.alivePeers(), Servers: r.picker.Shares(), QueuedPieces: map[shed.PoolID]int{},
		Reservations: r.reservationSummaries(now), Slowness: r.speeds.All(now),
	}
	if c := r.roster.Catalog(); c != nil {
		out.Version = c.Version
	}
	out.Isolated, out.LostServers = r.paths.isolated, r.paths.table.Lost()
	if at := r.roster.LastContact(); !at.IsZero() {
		out.StoreAgeMS = now.Sub(at).Milliseconds()
	}
	for _, pool := range r.batcher.ActivePools() {
		out.QueuedPieces[pool] = r.batcher.PendingCount(pool)
	}
	return out
}

// Status is the state that the relay shows to operators.
type Status struct {
	VM           shed.VM     `json:"vm"`
	Zone         shed.ZoneID `json:"zone"`
	Ready        bool        `json:"ready"`
	Stopping     bool        `json:"stopping"`
	OpenRequests int64       `json:"open"`
	Version      string      `json:"version"`
	// AsOf and Era are the number and the era of the store's revision that the VM has.
	AsOf uint64   `json:"as_of"`
	Era  shed.Era `json:"store_era"`
	// StoreAgeMS is the time since the store last answered.
	StoreAgeMS int64     `json:"store_age_ms"`
	Peers      []shed.VM `json:"peers"`
	// Isolated is set if this VM has no path to any backend server; LostServers are the addresses of
	// the servers to which it has none.
	Isolated    bool                               `json:"isolated"`
	LostServers []reach.Addr                       `json:"lost_servers,omitempty"`
	Servers     map[shed.ServerID]shed.ServerShare `json:"servers"`
	// QueuedPieces is the number of pieces queued here, by pool.
	QueuedPieces map[shed.PoolID]int `json:"gathers"`
	// Slowness is how long work takes on each server that states it, relative to the usual time.
	Slowness map[shed.ServerID]float64 `json:"slowness,omitempty"`
	// Reservations are those that this VM promised as coordinator, by pool.
	Reservations map[shed.PoolID]resv.Summary `json:"reservations,omitempty"`
}
