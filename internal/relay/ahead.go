package relay

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/delta"
	"jasmineshed/internal/roster"
)

// applyAhead applies those items of a reading at once that take servers out of use, and forwards them if the rest
// of the reading will take long.
func (r *Relay) applyAhead(rd storeReading) {
	update := roster.Update{Source: rd.from}
	hasCatalog := false
	for _, item := range rd.items {
		switch {
		case r.cfg.Store.IsCatalogKey(item.Key):
			hasCatalog = true
		case r.cfg.Store.IsRecordKey(item.Key):
			update.Items = append(update.Items, r.parseItem(item))
		}
	}
	if len(update.Items) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	age := r.knowledgeAge(now)
	applied, changes := r.roster.ApplyAhead(now, update)
	r.logUpdate(changes, age)
	if len(applied) > 0 && rd.from == roster.FromStore && (hasCatalog || r.mesh.applying) {
		r.forwardUrgent(applied, r.forwarders(now))
	}
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

// withoutSuperseded returns the reading's items without large ones that a later item of the same key replaces:
// parsing a configuration takes long.
func (rd storeReading) withoutSuperseded() []shed.Item {
	last := map[string]int{}
	for i, item := range rd.items {
		if delta.IsLarge(item) {
			last[item.Key] = i
		}
	}
	kept := make([]shed.Item, 0, len(rd.items))
	for i, item := range rd.items {
		if i >= last[item.Key] {
			kept = append(kept, item)
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
