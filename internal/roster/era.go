package roster

import (
	"bytes"
	"maps"
	"time"

	shed "jasmineshed"
)

// goneRetention is how long the removal of a server is remembered. The copies from which a store
// comes back are some seconds old.
const goneRetention = 5 * time.Minute

// removal is when a server was removed.
type removal struct {
	// era is the store's era at that time.
	era shed.Era
	at  time.Time
	// leaving: its entry said that it leaves.
	leaving bool
}

// checkEra begins the grace periods if the update is of a new era of the store: what was written
// since the copy is lost, and is written again by those who wrote it.
func (r *Roster) checkEra(now time.Time, out []Change, update Update) []Change {
	if r.asOf == 0 || update.AsOf.Era() <= r.asOf.Era() {
		return out
	}
	r.contactSince = now
	return append(out, Change{Reason: StoreRestored, Revision: update.AsOf})
}

// removeLost removes an item that a restored store lacks. The configuration stays, until a newer one
// is written. Servers and closed zones stay for a grace period, but for a server that was leaving.
func (r *Roster) removeLost(now time.Time, out []Change, key string) []Change {
	old := r.items[key]
	switch f := old.Record.(type) {
	case *shed.Catalog:
		return out
	case shed.ServerEntry:
		if f.Leaving {
			r.deleted[key] = old.Revision
			return r.dropItem(now, out, key)
		}
	}
	return r.lapse(out, key, old.Revision)
}

// recordGone records that a start of a server is no longer listed.
func (r *Roster) recordGone(now time.Time, s shed.ServerEntry) {
	r.gone[s.Start()] = removal{era: r.asOf.Era(), at: now, leaving: s.Leaving}
	r.recordPastVersion(now, s)
}

// recognizeRemoved handles the entry of a server that had left or was removed in an earlier era. One
// that was leaving gets no work any more. One whose entry was removed is withheld until the store
// would have dropped the entry of a dead server again.
func (r *Roster) recognizeRemoved(now time.Time, out []Change, e Entry, old *Server, server shed.ServerEntry) []Change {
	start := server.Start()
	g, removed := r.gone[start]
	if old != nil && old.Start() == start {
		g, removed = removal{era: r.items[e.Key].Revision.Era(), leaving: old.Leaving}, old.Leaving
	}
	if !removed || g.era >= e.Revision.Era() {
		return out
	}
	delete(r.gone, start)
	if g.leaving {
		r.departures[start] = now
		return out
	}
	r.withheld[start] = now.Add(r.EntryLife() + r.cfg.LapseGrace)
	return append(out, Change{Reason: ServerWithheld, Key: e.Key, Revision: e.Revision, Server: server.ID, Zone: server.Zone})
}

// EntryLife is how long the entry of a server that crashed stays in the store.
func (r *Roster) EntryLife() time.Duration { return missedHeartbeats * r.cfg.Heartbeat }

// missedHeartbeats is how many heartbeats a server misses before its entry lapses.
const missedHeartbeats = 3

// releaseWithheld reports whether servers are no longer withheld.
func (r *Roster) releaseWithheld(now time.Time) bool {
	if len(r.withheld) == 0 {
		return false
	}
	before := len(r.withheld)
	maps.DeleteFunc(r.withheld, func(_ shed.ServerStart, until time.Time) bool { return !now.Before(until) })
	return len(r.withheld) < before
}

func (r *Roster) pruneGone(now time.Time) {
	r.prunePastVersions(now)
	if len(r.gone) == 0 {
		return
	}
	maps.DeleteFunc(r.gone, func(_ shed.ServerStart, g removal) bool { return now.Sub(g.at) > goneRetention })
}

// recordCarried records whether an item has the value that it had in an earlier era.
func (r *Roster) recordCarried(old, item shed.Item) {
	if old.Revision > 0 && old.Revision.Era() < item.Revision.Era() && bytes.Equal(old.Value, item.Value) {
		r.carried[item.Key] = true
		return
	}
	delete(r.carried, item.Key)
}

// IsCarried reports whether a key's value is that of an earlier era, so that a peer of that era
// probably has it.
func (r *Roster) IsCarried(key string) bool { return r.carried[key] }

// HasItem reports whether the roster holds the item of a key as of a revision, or a newer one, so
// that the item need not be read. Which of two configurations of different eras is newer shows only
// in their content.
func (r *Roster) HasItem(key string, rev shed.Revision) bool {
	held := r.items[key]
	if _, ok := held.Record.(*shed.Catalog); ok && held.Revision.Era() != rev.Era() {
		return false
	}
	return held.Revision >= rev
}

// Era is the store's era as of which the roster is complete.
func (r *Roster) Era() shed.Era { return r.asOf.Era() }
