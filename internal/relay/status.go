package relay

import (
	"time"

	shed "jasmineshed"
)

// Status implements oper.StatusSource.
func (r *Relay) Status() any {
	ready := r.ready()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	out := Status{
		VM: r.mesh.self.VM, Zone: shed.ZoneID(r.prefs.Load().Node.Zone), Ready: ready,
		Stopping: r.stopping.Load(), OpenRequests: r.open.Load(), AsOf: r.roster.AsOf(),
		Peers: r.alive(), Servers: r.picker.Shares(), QueuedPieces: map[shed.PoolID]int{},
	}
	if c := r.roster.Catalog(); c != nil {
		out.Version = c.Version
	}
	if at := r.roster.LastContact(); !at.IsZero() {
		out.StoreAgeMS = now.Sub(at).Milliseconds()
	}
	for _, pool := range r.batcher.ActivePools() {
		out.QueuedPieces[pool] = r.batcher.PendingCount(pool)
	}
	return out
}

// Status is what a relay believes.
type Status struct {
	VM           shed.VM       `json:"vm"`
	Zone         shed.ZoneID   `json:"zone"`
	Ready        bool          `json:"ready"`
	Stopping     bool          `json:"stopping"`
	OpenRequests int64         `json:"open"`
	Version      string        `json:"version"`
	AsOf         shed.Revision `json:"as_of"`
	// StoreAgeMS is how long ago the store last answered.
	StoreAgeMS int64                              `json:"store_age_ms"`
	Peers      []shed.VM                          `json:"peers"`
	Servers    map[shed.ServerID]shed.ServerShare `json:"servers"`
	// QueuedPieces are the pieces that wait here, by pool.
	QueuedPieces map[shed.PoolID]int `json:"gathers"`
}
