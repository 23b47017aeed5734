package roster

import (
	"maps"
	"slices"
	"time"

	shed "jasmineshed"
)

// Source is where an update comes from.
type Source uint8

// Update is an update from the store or a peer: the changes up to AsOf, or all items if
// Complete.
type Update struct {
	Source   Source
	Items    []Entry
	AsOf     shed.Revision
	Complete bool
}

// Entry is an item with its decoded content; Record is nil if it could not be decoded.
type Entry struct {
	shed.Item
	Record shed.Record
}

// Change is one change of the roster, for the log.
type Change struct {
	Reason shed.Reason
	// Key and Revision are those of the item that caused the change.
	Key      string
	Revision shed.Revision
	Server   shed.ServerID
	Zone     shed.ZoneID
	// Version is that of the active configuration.
	Version string
}

// Apply applies an update from the store or a peer.
func (r *Roster) Apply(now time.Time, update Update) []Change {
	var out []Change
	source := update.Source
	if source == FromStore {
		if r.hasReplicaData && r.lastContact.IsZero() && !r.storeLost {
			// There was no outage: what only the replica still had has been deleted, and
			// gets no grace.
			source = FromReplica
		}
		out = r.recordStoreAnswer(now, out)
	}
	r.hasReplicaData = r.hasReplicaData || update.Source == FromReplica
	out = r.checkEra(now, out, update)
	for _, e := range update.Items {
		if e.Deleted {
			out = r.removeItem(now, out, source, e.Key, e.Revision)
		} else {
			out = r.putItem(now, out, e)
		}
	}
	if update.Complete {
		out = r.removeUnlisted(now, out, update)
	}
	r.asOf = max(r.asOf, update.AsOf)
	if len(update.Items) > 0 || update.Complete {
		r.rebuild()
	}
	return out
}

// recordStoreAnswer records an answer of the store to this daemon.
func (r *Roster) recordStoreAnswer(now time.Time, out []Change) []Change {
	r.StoreAnswered(now)
	r.setLastContact(now)
	if r.storeLost {
		r.storeLost = false
		out = append(out, Change{Reason: StoreRegained, Revision: r.asOf})
	}
	return out
}

// StoreFailed records that the store did not answer.
func (r *Roster) StoreFailed(time.Time) []Change {
	if r.storeLost {
		return nil
	}
	r.storeLost = true
	return []Change{{Reason: StoreLost, Revision: r.asOf}}
}

func (r *Roster) putItem(now time.Time, out []Change, e Entry) []Change {
	old, known := r.items[e.Key]
	if known && !e.replaces(old) {
		if e.Revision == old.Revision {
			delete(r.lapsed, e.Key)
		}
		if e.Revision > old.Revision {
			out = append(out, Change{Reason: CatalogOlder, Key: e.Key, Revision: e.Revision, Version: e.Record.(*shed.Catalog).Version})
		}
		return out
	}
	if e.Revision <= r.deleted[e.Key] {
		return out
	}
	switch f := e.Record.(type) {
	case *shed.Catalog:
		if r.catalog != nil && !e.replaces(Entry{Item: shed.Item{Revision: r.catalogRev}, Record: r.catalog}) {
			return out
		}
		r.catalog, r.catalogRev = f, e.Revision
		out = append(out, Change{Reason: CatalogInForce, Key: e.Key, Revision: e.Revision, Version: f.Version})
		if r.keysNeeded && !f.NeedsKey {
			out = append(out, Change{Reason: CatalogKeyless, Key: e.Key, Revision: e.Revision, Version: f.Version})
		}
		r.keysNeeded = r.keysNeeded || f.NeedsKey
	case shed.ZoneClosed:
		out = append(out, Change{Reason: ZoneClosed, Key: e.Key, Revision: e.Revision, Zone: f.Zone})
	case shed.ServerEntry:
		out = r.putServer(now, out, e, f)
	default:
		if old.Record != nil {
			if server, ok := old.Record.(shed.ServerEntry); ok {
				// The entry no longer describes a server.
				delete(r.servers, server.ID)
				r.deleteItem(e.Key)
				return append(out, Change{Reason: ServerUnreadable, Key: e.Key, Revision: e.Revision, Server: server.ID})
			}
			// The last readable configuration stays active.
			return append(out, Change{Reason: CatalogUnreadable, Key: e.Key, Revision: e.Revision})
		}
		return append(out, Change{Reason: ItemUnreadable, Key: e.Key, Revision: e.Revision})
	}
	r.recordCarried(old.Item, e.Item)
	r.savePast(r.Item(e.Key))
	if !known {
		r.keys = nil
	}
	r.items[e.Key] = e
	delete(r.lapsed, e.Key)
	return out
}

func (r *Roster) deleteItem(key string) {
	delete(r.items, key)
	delete(r.lapsed, key)
	delete(r.carried, key)
	r.keys = nil
}

// replaces reports whether the entry is newer than another one of the same key. Configurations of
// different eras are ordered by the operator's number: a restored store may hold one that is older
// than the one in force, at a newer revision.
func (e Entry) replaces(old Entry) bool {
	if e.Revision.Era() == old.Revision.Era() {
		return e.Revision > old.Revision
	}
	c, ok := e.Record.(*shed.Catalog)
	held, isCatalog := old.Record.(*shed.Catalog)
	if ok && isCatalog && c.Number != held.Number && c.Number > 0 && held.Number > 0 {
		return c.Number > held.Number
	}
	return e.Revision > old.Revision
}

// putServer stores a server entry. The entry was written a while ago, so its cold period ends
// earlier than computed here; the server counts as cold until that upper bound, ColdUntil.
func (r *Roster) putServer(now time.Time, out []Change, e Entry, server shed.ServerEntry) []Change {
	old := r.servers[server.ID]
	if old != nil && old.ServerEntry == server {
		// A restored store lists it again, unchanged.
		return out
	}
	out = r.recognizeRemoved(now, out, e, old, server)
	s := &Server{ServerEntry: server}
	switch {
	case old == nil:
	case old.StartedMs == server.StartedMs:
		s.ColdUntil = old.ColdUntil
		r.recordPastVersion(now, old.ServerEntry)
	default:
		r.recordGone(now, old.ServerEntry)
	}
	if until := now.Add(server.ColdRemaining); server.ColdRemaining > 0 && until.After(s.ColdUntil) {
		s.ColdUntil = until
	}
	r.servers[server.ID] = s
	change := Change{Reason: ServerListed, Key: e.Key, Revision: e.Revision, Server: server.ID, Zone: server.Zone}
	if server.Leaving {
		change.Reason = ServerLeaving
	}
	return append(out, change)
}

// removeItem removes an item. A server entry that vanished during a store outage is kept for a
// grace period: the store drops entries that were not renewed, even if the store itself was
// unreachable. Deletions from a peer apply at once, as the peer has waited already.
func (r *Roster) removeItem(now time.Time, out []Change, source Source, key string, rev shed.Revision) []Change {
	old, known := r.items[key]
	if !known || rev != 0 && rev < old.Revision {
		return out
	}
	if entry, ok := old.Record.(shed.ServerEntry); ok && source == FromStore && !entry.Leaving && now.Before(r.contactSince.Add(r.cfg.LapseGrace)) {
		return r.lapse(out, key, rev)
	}
	r.deleted[key] = max(rev, old.Revision)
	return r.dropItem(now, out, key)
}

// lapse keeps an item that vanished, in case that it is written again.
func (r *Roster) lapse(out []Change, key string, rev shed.Revision) []Change {
	if r.lapsed[key] {
		return out
	}
	r.lapsed[key] = true
	if entry, ok := r.items[key].Record.(shed.ServerEntry); ok {
		out = append(out, Change{Reason: ServerLapsed, Key: key, Revision: rev, Server: entry.ID, Zone: entry.Zone})
	}
	return out
}

func (r *Roster) dropItem(now time.Time, out []Change, key string) []Change {
	old := r.items[key]
	r.deleteItem(key)
	switch f := old.Record.(type) {
	case shed.ServerEntry:
		delete(r.servers, f.ID)
		r.recordGone(now, f)
		out = append(out, Change{Reason: ServerGone, Key: key, Revision: old.Revision, Server: f.ID, Zone: f.Zone})
	case shed.ZoneClosed:
		r.markZoneCold(now, f.Zone)
		out = append(out, Change{Reason: ZoneReopened, Key: key, Revision: old.Revision, Zone: f.Zone})
	}
	return out
}

// markZoneCold marks the zone's servers as cold when it reopens: they had no work for a while,
// and full load at once would overload a server that turned cold meanwhile.
func (r *Roster) markZoneCold(now time.Time, zone shed.ZoneID) {
	for _, s := range r.servers {
		pool := r.pool(s.Pool)
		if s.Zone == zone && pool != nil && pool.ColdDuration > 0 {
			s.ColdUntil = shed.Later(s.ColdUntil, now.Add(pool.ColdDuration))
		}
	}
}

// removeUnlisted removes the items that a complete list doesn't contain. Items that are newer
// than the list stay.
func (r *Roster) removeUnlisted(now time.Time, out []Change, update Update) []Change {
	listed := make(map[string]bool, len(update.Items))
	for _, e := range update.Items {
		listed[e.Key] = true
	}
	for _, key := range r.sortedKeys() {
		if listed[key] || r.items[key].Revision > update.AsOf {
			continue
		}
		if r.items[key].Revision.Era() < update.AsOf.Era() {
			out = r.removeLost(now, out, key)
		} else {
			out = r.removeItem(now, out, update.Source, key, 0)
		}
	}
	return out
}

// sortedKeys returns the sorted keys of all items; the slice is never modified.
func (r *Roster) sortedKeys() []string {
	if r.keys == nil {
		r.keys = slices.Sorted(maps.Keys(r.items))
	}
	return r.keys
}

// Tick drops lapsed items once their grace period is over, and no longer withholds servers that the
// store would have dropped by now if they were dead.
func (r *Roster) Tick(now time.Time) []Change {
	r.pruneDepartures(now)
	r.pruneGone(now)
	released := r.releaseWithheld(now)
	var out []Change
	if len(r.lapsed) > 0 && now.Sub(r.lastContact) <= r.cfg.maxContactGap() {
		for _, key := range slices.Sorted(maps.Keys(r.lapsed)) {
			if now.Before(r.contactSince.Add(r.lapseGrace(key))) {
				continue
			}
			r.deleted[key] = r.items[key].Revision
			out = r.dropItem(now, out, key)
		}
	}
	switch {
	case len(out) > 0:
		r.rebuild()
	case released:
		r.reopen()
	}
	return out
}

// lapseGrace is how long a lapsed item is kept.
func (r *Roster) lapseGrace(key string) time.Duration {
	if _, ok := r.items[key].Record.(shed.ZoneClosed); ok {
		return r.cfg.ClosedGrace
	}
	return r.cfg.LapseGrace
}
