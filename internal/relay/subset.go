package relay

import (
	shed "jasmineshed"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/prefs"
)

// limitCopies keeps the prefix of the request's prompt on a subset of the pool's engines, where copies are
// so fast, or engines so uneven, that VMs would otherwise all prefer the same engines. The caller holds mu.
func (r *Relay) limitCopies(pool *shed.RelayPool, w *picker.Request) {
	if pool.Engine == nil || !r.prefs.Load().Relay.Enabled(prefs.PrefixSubset) {
		return
	}
	fastCopies := picker.IsFastFetch(w.FetchRate)
	w.Subset = fastCopies || w.Slowness != nil && !r.speeds.Empty()
	if fastCopies {
		w.MinFetchCost = picker.DefaultMinFetchCost
	}
}
