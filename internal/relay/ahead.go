package relay

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/delta"
	"jasmineshed/internal/roster"
)

// applyAhead applies those items of a reading at once that take servers out of use, and forwards them if the rest
// of the reading will take long.
func (r *Relay) applyAhead(rd storeReading) {
	hasCatalog := slices.ContainsFunc(rd.entries, func(e roster.Entry) bool { return r.cfg.Store.IsCatalogKey(e.Key) })
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if rd.from == roster.FromStore {
		r.roster.StoreAnswered(now)
	}
	age := r.knowledgeAge(now)
	applied, changes := r.roster.ApplyAhead(now, roster.Update{Source: rd.from, Items: rd.entries})
	r.logUpdate(changes, age)
	if len(applied) > 0 && rd.from == roster.FromStore && (hasCatalog || r.mesh.applying) {
		r.forwardUrgent(applied, r.forwarders(now))
	}
}

// entriesOf returns the items that can hold records, parsed. Configurations are left to applyAll: parsing them takes
// long.
func (r *Relay) entriesOf(items []shed.Item) []roster.Entry {
	var out []roster.Entry
	for _, item := range items {
		switch {
		case r.cfg.Store.IsCatalogKey(item.Key):
			out = append(out, roster.Entry{Item: item})
		case r.cfg.Store.IsRecordKey(item.Key):
			out = append(out, r.parseItem(item))
		}
	}
	return out
}

// forwardUrgent sends items to the peers that this VM notifies of changes. The caller holds mu.
func (r *Relay) forwardUrgent(items []shed.Item, watchers []shed.VM) {
	if to := r.notifiedPeers(watchers); len(to) > 0 {
		r.client.SendAll(to, shed.UrgentUpdate{Items: items})
	}
}

// forwardRemovals tells peers of servers that were removed once their grace period was over: the peers have the
// revision already that removed them. The caller holds mu.
func (r *Relay) forwardRemovals(now time.Time, changes []roster.Change) {
	var items []shed.Item
	for _, c := range changes {
		if c.Reason == roster.ServerGone {
			items = append(items, shed.Item{Key: c.Key, Revision: c.Revision, Deleted: true})
		}
	}
	if len(items) > 0 {
		r.forwardUrgent(items, r.forwarders(now))
	}
}

// withoutSuperseded returns the reading's entries without large ones that a later entry of the same key replaces:
// parsing a configuration takes long.
func (rd storeReading) withoutSuperseded() []roster.Entry {
	last := map[string]int{}
	for i, e := range rd.entries {
		if delta.IsLarge(e.Item) {
			last[e.Key] = i
		}
	}
	kept := make([]roster.Entry, 0, len(rd.entries))
	for i, e := range rd.entries {
		if i >= last[e.Key] {
			kept = append(kept, e)
		}
	}
	return kept
}

// plainItems returns the items that were sent as they are.
func plainItems(changes []shed.ItemChange) []shed.Item {
	var items []shed.Item
	for _, c := range changes {
		if !c.Packed && c.SameAs == 0 {
			items = append(items, c.Item)
		}
	}
	return items
}
