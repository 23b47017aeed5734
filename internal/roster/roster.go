// Package roster keeps what one daemon believes of the relay's configuration
// and of the backend servers: which are listed, which are leaving, cold or in
// a zone that was taken out. It is pure: the driver feeds it what the store or
// a peer said.
package roster

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
)

// Config sets up a Roster. Fields left at 0 get the Default of their name.
type Config struct {
	// LapseGrace is how long after the store's return an entry that lapsed
	// meanwhile is still used: its server may live and be about to renew it.
	LapseGrace time.Duration
	// ContactGap is the longest gap between two answers of the store in which no
	// entry can lapse.
	ContactGap time.Duration
}

// Defaults for what a Config leaves at 0.
const (
	// DefaultLapseGrace: servers renew a lapsed entry within about two seconds
	// of the store's return, as the platform promises.
	DefaultLapseGrace = 2200 * time.Millisecond
	// DefaultContactGap: an entry lapses after three heartbeats of 1.2 s, and
	// the last one is at most one heartbeat old when an outage begins.
	DefaultContactGap = 2400 * time.Millisecond
)

// Source tells who said what the roster learns.
type Source uint8

// The sources.
const (
	FromStore Source = iota + 1
	FromPeer
)

// Learned is what the store or a peer said: changes up to AsOf, or all items if
// Whole.
type Learned struct {
	Source Source
	Items  []Entry
	AsOf   shed.Revision
	Whole  bool
}

// Entry is an item with what it says; Fact is nil if that is nothing known.
type Entry struct {
	shed.Item
	Fact shed.Fact
}

// Server is one backend server as the roster believes it to be.
type Server struct {
	shed.Listing
	// ColdUntil is when it will be warm by what is known; zero: it is.
	ColdUntil time.Time
	// Lapsed: its entry vanished while the store was away; it is used until
	// the store has been back for a while.
	Lapsed bool
}

// Cold tells whether the server is cold.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// Change is one change of belief, for the log.
type Change struct {
	What shed.Reason
	// Key of the item that caused it, and its revision.
	Key      string
	Revision shed.Revision
	Server   shed.ServerID
	Zone     shed.ZoneID
	// Version of the configuration in force.
	Version string
}

// What a Change says.
const (
	CatalogInForce  shed.Reason = "configuration_in_force"
	ServerListed    shed.Reason = "server_listed"
	ServerLeaving   shed.Reason = "server_leaving"
	ServerGone      shed.Reason = "server_gone"
	ServerLapsed    shed.Reason = "server_entry_lapsed"
	ServerUnread    shed.Reason = "server_entry_unreadable"
	ZoneClosed      shed.Reason = "zone_closed"
	ZoneReopened    shed.Reason = "zone_reopened"
	StoreRegained   shed.Reason = "store_regained"
	StoreLost       shed.Reason = "store_lost"
	CatalogUnread   shed.Reason = "configuration_unreadable"
	ItemUnreadable  shed.Reason = "item_unreadable"
	ServerTurnsCold shed.Reason = "server_turns_cold"
)

// held is an item that the roster holds.
type held struct {
	Entry
	// lapsedAt is when it vanished during an outage; zero: it hasn't.
	lapsedAt time.Time
}

// Roster is the belief. It is not safe for concurrent use.
type Roster struct {
	cfg   Config
	items map[string]*held
	// deleted holds the revision of deletions, so that an older item from a
	// peer doesn't come back.
	deleted map[string]shed.Revision
	// asOf is the revision up to which the items are whole; digest is a hash of
	// them.
	asOf   shed.Revision
	digest uint64

	catalog    *shed.Catalog
	catalogRev shed.Revision
	servers    map[shed.ServerID]*Server
	closed     map[shed.ZoneID]bool
	pools      map[shed.PoolID][]*Server

	// contact is when the store last answered, and since when it answers
	// without a gap.
	contact, backAt time.Time
	lost            bool
}

// New returns a Roster that knows nothing.
func New(cfg Config) *Roster {
	if cfg.LapseGrace == 0 {
		cfg.LapseGrace = DefaultLapseGrace
	}
	if cfg.ContactGap == 0 {
		cfg.ContactGap = DefaultContactGap
	}
	return &Roster{
		cfg:     cfg,
		items:   map[string]*held{},
		deleted: map[string]shed.Revision{},
		servers: map[shed.ServerID]*Server{},
		closed:  map[shed.ZoneID]bool{},
	}
}

// Learn takes in what the store or a peer said.
func (r *Roster) Learn(now time.Time, l Learned) []Change {
	var out []Change
	if l.Source == FromStore {
		out = r.heardStore(now, out)
	}
	for _, e := range l.Items {
		if e.Gone {
			out = r.remove(now, out, l.Source, e.Key, e.Revision)
		} else {
			out = r.put(now, out, e)
		}
	}
	if l.Whole {
		out = r.removeOthers(now, out, l)
	}
	r.asOf = max(r.asOf, l.AsOf)
	if len(l.Items) > 0 || l.Whole {
		r.rebuild()
	}
	return out
}

// heardStore notes an answer of the store. After a gap the store counts as
// back: what vanished meanwhile gets its grace from now.
func (r *Roster) heardStore(now time.Time, out []Change) []Change {
	if r.contact.IsZero() || now.Sub(r.contact) > r.cfg.ContactGap {
		r.backAt = now
	}
	r.contact = now
	if r.lost {
		r.lost = false
		out = append(out, Change{What: StoreRegained, Revision: r.asOf})
	}
	return out
}

// StoreFailed notes that the store gave no answer.
func (r *Roster) StoreFailed(time.Time) []Change {
	if r.lost {
		return nil
	}
	r.lost = true
	return []Change{{What: StoreLost, Revision: r.asOf}}
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
	switch f := e.Fact.(type) {
	case *shed.Catalog:
		if e.Revision < r.catalogRev {
			return out
		}
		r.catalog, r.catalogRev = f, e.Revision
		out = append(out, Change{What: CatalogInForce, Key: e.Key, Revision: e.Revision, Version: f.Version})
	case shed.ZoneClosed:
		out = append(out, Change{What: ZoneClosed, Key: e.Key, Revision: e.Revision, Zone: f.Zone})
	case shed.Listing:
		out = r.listed(now, out, e, f)
	default:
		if old := r.items[e.Key]; old != nil && old.Fact != nil {
			if l, ok := old.Fact.(shed.Listing); ok {
				// The entry names no server any more.
				delete(r.servers, l.ID)
				delete(r.items, e.Key)
				return append(out, Change{What: ServerUnread, Key: e.Key, Revision: e.Revision, Server: l.ID})
			}
			// The last configuration that could be read stays in force.
			return append(out, Change{What: CatalogUnread, Key: e.Key, Revision: e.Revision})
		}
		return append(out, Change{What: ItemUnreadable, Key: e.Key, Revision: e.Revision})
	}
	r.items[e.Key] = &held{Entry: e}
	return out
}

// listed takes in a server's entry. It was written a while ago, so the server
// is cold for less than it says; until ColdUntil is surely over it counts as
// cold.
func (r *Roster) listed(now time.Time, out []Change, e Entry, l shed.Listing) []Change {
	old := r.servers[l.ID]
	s := &Server{Listing: l}
	if old != nil && old.Born == l.Born {
		s.ColdUntil = old.ColdUntil
	}
	if until := now.Add(l.Cold); l.Cold > 0 && until.After(s.ColdUntil) {
		s.ColdUntil = until
	}
	r.servers[l.ID] = s
	change := Change{What: ServerListed, Key: e.Key, Revision: e.Revision, Server: l.ID, Zone: l.Zone}
	if l.Leaving {
		change.What = ServerLeaving
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
	if l, ok := old.Fact.(shed.Listing); ok && from == FromStore && !l.Leaving && now.Before(r.backAt.Add(r.cfg.LapseGrace)) {
		if old.lapsedAt.IsZero() {
			old.lapsedAt = now
			out = append(out, Change{What: ServerLapsed, Key: key, Revision: rev, Server: l.ID, Zone: l.Zone})
		}
		return out
	}
	r.deleted[key] = max(rev, old.Revision)
	return r.drop(now, out, key)
}

func (r *Roster) drop(now time.Time, out []Change, key string) []Change {
	old := r.items[key]
	delete(r.items, key)
	switch f := old.Fact.(type) {
	case shed.Listing:
		delete(r.servers, f.ID)
		out = append(out, Change{What: ServerGone, Key: key, Revision: old.Revision, Server: f.ID, Zone: f.Zone})
	case shed.ZoneClosed:
		r.reopened(now, f.Zone)
		out = append(out, Change{What: ZoneReopened, Key: key, Revision: old.Revision, Zone: f.Zone})
	}
	return out
}

// reopened takes the zone's servers for cold: they had no work for a while, and
// full load at once would fell a server that turned cold meanwhile.
func (r *Roster) reopened(now time.Time, zone shed.ZoneID) {
	for _, s := range r.servers {
		pool := r.pool(s.Pool)
		if s.Zone == zone && pool != nil && pool.ColdFor > 0 {
			s.ColdUntil = later(s.ColdUntil, now.Add(pool.ColdFor))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *Roster) pool(id shed.PoolID) *shed.RelayPool {
	if r.catalog == nil {
		return nil
	}
	return r.catalog.Pools[id]
}

// removeOthers takes away what a whole list doesn't have. An item that is newer
// than the list stays.
func (r *Roster) removeOthers(now time.Time, out []Change, l Learned) []Change {
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
	if now.Before(r.backAt.Add(r.cfg.LapseGrace)) || now.Sub(r.contact) > r.cfg.ContactGap {
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

// TurnedCold notes that a server said that it is cold for left.
func (r *Roster) TurnedCold(now time.Time, id shed.ServerID, left time.Duration) {
	if s := r.servers[id]; s != nil {
		s.ColdUntil = later(s.ColdUntil, now.Add(left))
	}
}

// rebuild works out what the items say.
func (r *Roster) rebuild() {
	r.digest = r.digestItems()
	clear(r.closed)
	r.pools = map[shed.PoolID][]*Server{}
	for _, key := range r.keys() {
		switch f := r.items[key].Fact.(type) {
		case shed.ZoneClosed:
			r.closed[f.Zone] = true
		case shed.Listing:
			s := r.servers[f.ID]
			s.Lapsed = !r.items[key].lapsedAt.IsZero()
			r.pools[f.Pool] = append(r.pools[f.Pool], s)
		}
	}
}

// Catalog returns the configuration in force; nil before the first.
func (r *Roster) Catalog() *shed.Catalog { return r.catalog }

// AsOf is the revision up to which everything is known.
func (r *Roster) AsOf() shed.Revision { return r.asOf }

// Contact tells when the store last answered this daemon, or a peer that knew no
// more; zero if it never did.
func (r *Roster) Contact() time.Time { return r.contact }

// Open returns the pool's servers that may have new work, sorted by id.
func (r *Roster) Open(pool shed.PoolID) []*Server {
	var out []*Server
	for _, s := range r.pools[pool] {
		if !s.Leaving && !r.closed[s.Zone] {
			out = append(out, s)
		}
	}
	return out
}

// Listed tells whether the server is known, open or not.
func (r *Roster) Listed(id shed.ServerID) bool { return r.servers[id] != nil }

// MaySend tells whether the server may still have new work.
func (r *Roster) MaySend(id shed.ServerID) bool {
	s := r.servers[id]
	return s != nil && !s.Leaving && !r.closed[s.Zone]
}

// Since returns what has changed after a revision, for a peer that doesn't read
// the store by itself: items sorted by key, then deletions. All of it if after
// is 0.
func (r *Roster) Since(after shed.Revision) []shed.Item {
	var out []shed.Item
	for _, key := range r.keys() {
		if h := r.items[key]; h.Revision > after {
			out = append(out, h.Item)
		}
	}
	if after == 0 {
		return out
	}
	gone := make([]string, 0, len(r.deleted))
	for key, rev := range r.deleted {
		if rev > after && r.items[key] == nil {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	for _, key := range gone {
		out = append(out, shed.Item{Key: key, Revision: r.deleted[key], Gone: true})
	}
	return out
}

// Digest is a hash of all items that are held, the same on all daemons that hold
// the same.
func (r *Roster) Digest() uint64 { return r.digest }

func (r *Roster) digestItems() uint64 {
	var d xxhash.Digest
	d.Reset()
	var num [8]byte
	for _, key := range r.keys() {
		// A write to a digest can't fail.
		_, _ = d.WriteString(key)
		binary.LittleEndian.PutUint64(num[:], uint64(r.items[key].Revision))
		_, _ = d.Write(num[:])
	}
	return d.Sum64()
}

// Confirmed notes that the store answered a peer at that time, and that this
// daemon knows all that the peer knows of it.
func (r *Roster) Confirmed(at time.Time) {
	if at.After(r.contact) {
		r.contact = at
	}
}

// Route finds the route of a request: that of its host with the longest prefix.
func Route(c *shed.Catalog, host, target string) *shed.Route {
	path, _, _ := strings.Cut(target, "?")
	var best *shed.Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}
