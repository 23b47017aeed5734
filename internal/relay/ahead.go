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

// readings are the answers to a watch of the store that are not applied yet. It is guarded by Relay.mu.
type readings struct {
	// pending is what has been read since the reading that is being applied; nil if nothing.
	pending *storeReading
	// asOf is the revision of the last reading. applying: one is being applied.
	asOf     shed.Revision
	applying bool
}

// readUpTo returns the revision up to which changes have been read, applied or not. The caller holds mu.
func (r *Relay) readUpTo() shed.Revision {
	if r.readings.applying {
		return max(r.readings.asOf, r.roster.AsOf())
	}
	return r.roster.AsOf()
}

// isApplyingReadings reports whether answers to a watch of the store are being applied.
func (r *Relay) isApplyingReadings() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readings.applying
}

// queueReading has an answer to a watch of the store applied, and joins it with others that wait: the next answer
// may say that a server leaves, and isn't awaited while a configuration is parsed.
func (r *Relay) queueReading(rd storeReading) {
	r.mu.Lock()
	r.roster.StoreAnswered(time.Now())
	r.mu.Unlock()
	r.applyAhead(rd)
	r.mu.Lock()
	defer r.mu.Unlock()
	q := &r.readings
	if q.pending == nil {
		q.pending = &rd
	} else {
		q.pending.items, q.pending.asOf = slices.Concat(q.pending.items, rd.items), rd.asOf
	}
	q.asOf = rd.asOf
	if q.applying {
		return
	}
	q.applying = true
	r.work.Go(func() error {
		for r.applyPending() {
		}
		return nil
	})
}

// applyPending applies what waits; it returns false if nothing does.
func (r *Relay) applyPending() bool {
	r.mu.Lock()
	rd := r.readings.pending
	r.readings.pending, r.readings.applying = nil, rd != nil
	r.mu.Unlock()
	if rd == nil {
		return false
	}
	r.applyReading(*rd)
	return true
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
