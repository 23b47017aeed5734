// Package roster keeps what one daemon believes of the relay's configuration
// and of the backend servers: which are listed, which are leaving, cold or in
// a zone that was taken out. It is pure: the driver feeds it what the store or
// a peer said.
package roster

import (
	"slices"
	"strings"
	"time"

	shed "jasmineshed"
)

// Config sets up a Roster. Fields left at 0 get the Default of their name.
type Config struct {
	// LapseGrace is how long after the store's return an entry that lapsed
	// meanwhile is still used: its server may live and be about to renew it.
	LapseGrace time.Duration
	// Heartbeat is how often a server renews its entry, which lapses after three
	// of them.
	Heartbeat time.Duration
}

// Defaults for what a Config leaves at 0.
const (
	// DefaultLapseGrace: servers renew a lapsed entry within about two seconds
	// of the store's return, as the platform promises.
	DefaultLapseGrace = 2200 * time.Millisecond
	// DefaultHeartbeat is what the platform's deployments have.
	DefaultHeartbeat = 1200 * time.Millisecond
)

// contactGap is the longest gap between two answers of the store in which no entry
// can lapse: of the three heartbeats, the last one is at most one old when an
// outage begins.
func (c Config) contactGap() time.Duration { return 2 * c.Heartbeat }

// The sources.
const (
	FromStore Source = iota + 1
	FromPeer
	// FromReplica is a copy of the store that may be behind.
	FromReplica
)

// Server is one backend server as the roster believes it to be.
type Server struct {
	shed.ServerEntry
	// ColdUntil is when it will be warm by what is known; zero: it is.
	ColdUntil time.Time
	// Lapsed: its entry vanished while the store was away; it is used until
	// the store has been back for a while.
	Lapsed bool
}

// Cold tells whether the server is cold.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// What a Change says.
const (
	CatalogInForce    shed.Reason = "configuration_in_force"
	ServerListed      shed.Reason = "server_listed"
	ServerLeaving     shed.Reason = "server_leaving"
	ServerGone        shed.Reason = "server_gone"
	ServerLapsed      shed.Reason = "server_entry_lapsed"
	ServerUnreadable  shed.Reason = "server_entry_unreadable"
	ZoneClosed        shed.Reason = "zone_closed"
	ZoneReopened      shed.Reason = "zone_reopened"
	StoreRegained     shed.Reason = "store_regained"
	StoreLost         shed.Reason = "store_lost"
	CatalogUnreadable shed.Reason = "configuration_unreadable"
	ItemUnreadable    shed.Reason = "item_unreadable"
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
	// past holds the last few earlier items of keys with large values, the oldest
	// first.
	past map[string][]shed.Item
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
	// copied: some of what is known is from a copy of the store.
	copied bool
}

// New returns a Roster that knows nothing.
func New(cfg Config) *Roster {
	if cfg.LapseGrace == 0 {
		cfg.LapseGrace = DefaultLapseGrace
	}
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	return &Roster{
		cfg:     cfg,
		items:   map[string]*held{},
		deleted: map[string]shed.Revision{},
		past:    map[string][]shed.Item{},
		servers: map[shed.ServerID]*Server{},
		closed:  map[shed.ZoneID]bool{},
	}
}

func (r *Roster) pool(id shed.PoolID) *shed.RelayPool {
	if r.catalog == nil {
		return nil
	}
	return r.catalog.Pools[id]
}

// MarkCold notes that a server said that it is cold for left.
func (r *Roster) MarkCold(now time.Time, id shed.ServerID, left time.Duration) {
	if s := r.servers[id]; s != nil {
		s.ColdUntil = shed.Later(s.ColdUntil, now.Add(left))
	}
}

// rebuild works out what the items say.
func (r *Roster) rebuild() {
	r.digest = r.digestItems()
	clear(r.closed)
	r.pools = map[shed.PoolID][]*Server{}
	for _, key := range r.keys() {
		switch f := r.items[key].Record.(type) {
		case shed.ZoneClosed:
			r.closed[f.Zone] = true
		case shed.ServerEntry:
			s := r.servers[f.ID]
			s.Lapsed = !r.items[key].lapsedAt.IsZero()
			r.pools[f.Pool] = append(r.pools[f.Pool], s)
		}
	}
}

// Catalog returns the configuration in force; nil before the first.
func (r *Roster) Catalog() *shed.Catalog { return r.catalog }

// IsConfirmed tells whether the store, or a peer that it answered, has confirmed what is
// known. What a copy of the store said may be seconds old.
func (r *Roster) IsConfirmed() bool { return !r.copied || !r.contact.IsZero() }

// Usable tells whether requests may be served by what is known. If the store gives no
// answer, an old configuration is better than none.
func (r *Roster) Usable() bool { return r.catalog != nil && (r.IsConfirmed() || r.lost) }

// CatalogRevision is the revision of the configuration in force; 0 before the first.
func (r *Roster) CatalogRevision() shed.Revision { return r.catalogRev }

// AsOf is the revision up to which everything is known.
func (r *Roster) AsOf() shed.Revision { return r.asOf }

// LastContact tells when the store last answered this daemon, or a peer that knew no
// more; zero if it never did.
func (r *Roster) LastContact() time.Time { return r.contact }

// OpenServers returns the pool's servers that may have new work, sorted by id.
func (r *Roster) OpenServers(pool shed.PoolID) []*Server {
	var out []*Server
	for _, s := range r.pools[pool] {
		if !s.Leaving && !r.closed[s.Zone] {
			out = append(out, s)
		}
	}
	return out
}

// Server returns what is known of a server.
func (r *Roster) Server(id shed.ServerID) (Server, bool) {
	s := r.servers[id]
	if s == nil {
		return Server{}, false
	}
	return *s, true
}

// HasServer tells whether the server is known, open or not.
func (r *Roster) HasServer(id shed.ServerID) bool { return r.servers[id] != nil }

// HasRoute tells whether the configuration has the route.
func (r *Roster) HasRoute(id shed.RouteID) bool {
	c := r.catalog
	return c != nil && slices.ContainsFunc(c.Routes, func(route shed.Route) bool { return route.ID == id })
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
