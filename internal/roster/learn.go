package roster

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// Source tells who said what the roster learns.
type Source uint8

// Update is what the store or a peer said: changes up to AsOf, or all items if
// Whole.
type Update struct {
	Source   Source
	Items    []Entry
	AsOf     shed.Revision
	Complete bool
}

// Entry is an item with what it says; Fact is nil if that is nothing known.
type Entry struct {
	shed.Item
	Record shed.Record
}

// Change is one change of belief, for the log.
type Change struct {
	Reason shed.Reason
	// Key of the item that caused it, and its revision.
	Key      string
	Revision shed.Revision
	Server   shed.ServerID
	Zone     shed.ZoneID
	// Version of the configuration in force.
	Version string
}

// Apply takes in what the store or a peer said.
func (r *Roster) Apply(now time.Time, l Update) []Change {
	var out []Change
	from := l.Source
	if from == FromStore {
		if r.copied && r.contact.IsZero() && !r.lost {
			// No outage was seen: what a copy still had is gone.
			from = FromReplica
		}
		out = r.heardStore(now, out)
	}
	r.copied = r.copied || l.Source == FromReplica
	for _, e := range l.Items {
		if e.Deleted {
			out = r.remove(now, out, from, e.Key, e.Revision)
		} else {
			out = r.put(now, out, e)
		}
	}
	if l.Complete {
		out = r.removeOthers(now, out, l)
	}
	r.asOf = max(r.asOf, l.AsOf)
	if len(l.Items) > 0 || l.Complete {
		r.rebuild()
	}
	return out
}

// heardStore notes an answer of the store. After a gap the store counts as
// back: what vanished meanwhile gets its grace from now.
func (r *Roster) heardStore(now time.Time, out []Change) []Change {
	if r.contact.IsZero() || now.Sub(r.contact) > r.cfg.contactGap() {
		r.backAt = now
	}
	r.contact = now
	if r.lost {
		r.lost = false
		out = append(out, Change{Reason: StoreRegained, Revision: r.asOf})
	}
	return out
}

// StoreFailed notes that the store gave no answer.
func (r *Roster) StoreFailed(time.Time) []Change {
	if r.lost {
		return nil
	}
	r.lost = true
	return []Change{{Reason: StoreLost, Revision: r.asOf}}
}

func (r *Roster) put(now time.Time, out []Change, e Entry) []Change {
	if old := r.items[e.Key]; old != nil {
		if e.Revision < old.Revision || e.Revision == old.Revision && old.lapsedAt.IsZero() {
			return out
		}
		if e.Revision == old.Revision {
			old.lapsedAt = time.Time{}
			return out
		}
	}
	if e.Revision <= r.deleted[e.Key] {
		return out
	}
	switch f := e.Record.(type) {
	case *shed.Catalog:
		if e.Revision < r.catalogRev {
			return out
		}
		r.catalog, r.catalogRev = f, e.Revision
		out = append(out, Change{Reason: CatalogInForce, Key: e.Key, Revision: e.Revision, Version: f.Version})
	case shed.ZoneClosed:
		out = append(out, Change{Reason: ZoneClosed, Key: e.Key, Revision: e.Revision, Zone: f.Zone})
	case shed.ServerEntry:
		out = r.listed(now, out, e, f)
	default:
		if old := r.items[e.Key]; old != nil && old.Record != nil {
			if l, ok := old.Record.(shed.ServerEntry); ok {
				// The entry names no server any more.
				delete(r.servers, l.ID)
				delete(r.items, e.Key)
				return append(out, Change{Reason: ServerUnreadable, Key: e.Key, Revision: e.Revision, Server: l.ID})
			}
			// The last configuration that could be read stays in force.
			return append(out, Change{Reason: CatalogUnreadable, Key: e.Key, Revision: e.Revision})
		}
		return append(out, Change{Reason: ItemUnreadable, Key: e.Key, Revision: e.Revision})
	}
	r.remember(r.Item(e.Key))
	r.items[e.Key] = &held{Entry: e}
	return out
}

// listed takes in a server's entry. It was written a while ago, so the server
// is cold for less than it says; until ColdUntil is surely over it counts as
// cold.
func (r *Roster) listed(now time.Time, out []Change, e Entry, l shed.ServerEntry) []Change {
	old := r.servers[l.ID]
	s := &Server{ServerEntry: l}
	if old != nil && old.StartedMs == l.StartedMs {
		s.ColdUntil = old.ColdUntil
	}
	if until := now.Add(l.ColdRemaining); l.ColdRemaining > 0 && until.After(s.ColdUntil) {
		s.ColdUntil = until
	}
	r.servers[l.ID] = s
	change := Change{Reason: ServerListed, Key: e.Key, Revision: e.Revision, Server: l.ID, Zone: l.Zone}
	if l.Leaving {
		change.Reason = ServerLeaving
	}
	return append(out, change)
}

// remove takes an item away. An entry of a server that vanished while the store
// was away is kept for a grace: the store drops entries that were not renewed,
// though it was itself that could not be reached. A peer has waited already.
func (r *Roster) remove(now time.Time, out []Change, from Source, key string, rev shed.Revision) []Change {
	old := r.items[key]
	if old == nil || rev != 0 && rev < old.Revision {
		return out
	}
	if l, ok := old.Record.(shed.ServerEntry); ok && from == FromStore && !l.Leaving && now.Before(r.backAt.Add(r.cfg.LapseGrace)) {
		if old.lapsedAt.IsZero() {
			old.lapsedAt = now
			out = append(out, Change{Reason: ServerLapsed, Key: key, Revision: rev, Server: l.ID, Zone: l.Zone})
		}
		return out
	}
	r.deleted[key] = max(rev, old.Revision)
	return r.drop(now, out, key)
}

func (r *Roster) drop(now time.Time, out []Change, key string) []Change {
	old := r.items[key]
	delete(r.items, key)
	switch f := old.Record.(type) {
	case shed.ServerEntry:
		delete(r.servers, f.ID)
		out = append(out, Change{Reason: ServerGone, Key: key, Revision: old.Revision, Server: f.ID, Zone: f.Zone})
	case shed.ZoneClosed:
		r.reopened(now, f.Zone)
		out = append(out, Change{Reason: ZoneReopened, Key: key, Revision: old.Revision, Zone: f.Zone})
	}
	return out
}

// reopened takes the zone's servers for cold: they had no work for a while, and
// full load at once would fell a server that turned cold meanwhile.
func (r *Roster) reopened(now time.Time, zone shed.ZoneID) {
	for _, s := range r.servers {
		pool := r.pool(s.Pool)
		if s.Zone == zone && pool != nil && pool.ColdDuration > 0 {
			s.ColdUntil = shed.Later(s.ColdUntil, now.Add(pool.ColdDuration))
		}
	}
}

// removeOthers takes away what a whole list doesn't have. An item that is newer
// than the list stays.
func (r *Roster) removeOthers(now time.Time, out []Change, l Update) []Change {
	have := make(map[string]bool, len(l.Items))
	for _, e := range l.Items {
		have[e.Key] = true
	}
	for _, key := range r.keys() {
		if !have[key] && r.items[key].Revision <= l.AsOf {
			out = r.remove(now, out, l.Source, key, 0)
		}
	}
	return out
}

func (r *Roster) keys() []string {
	keys := make([]string, 0, len(r.items))
	for key := range r.items {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Tick ends the grace of entries that lapsed.
func (r *Roster) Tick(now time.Time) []Change {
	if now.Before(r.backAt.Add(r.cfg.LapseGrace)) || now.Sub(r.contact) > r.cfg.contactGap() {
		return nil
	}
	var out []Change
	for _, key := range r.keys() {
		if !r.items[key].lapsedAt.IsZero() {
			r.deleted[key] = r.items[key].Revision
			out = r.drop(now, out, key)
		}
	}
	if len(out) > 0 {
		r.rebuild()
	}
	return out
}
