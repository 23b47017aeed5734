// Package roster holds one daemon's view of the relay's configuration and of the backend
// servers: which are listed, leaving, cold or in a closed zone. It does no I/O: the driver
// passes updates from the store and from peers to it.
package roster

import (
	"maps"
	"slices"
	"strings"
	"time"

	shed "jasmineshed"
)

// Config configures a Roster. Fields left at 0 get the default of their name.
type Config struct {
	// LapseGrace is how long an entry that lapsed during a store outage, or that a restored store
	// lacks, is still used once the store is back: its server may be alive and about to renew it.
	LapseGrace time.Duration
	// ClosedGrace is how long a closed zone that a restored store lacks stays closed: operators
	// write again what was lost. A zone that is closed too long costs capacity, one that is opened
	// too soon gets work that must not reach it.
	ClosedGrace time.Duration
	// Heartbeat is how often a server renews its entry, which lapses after three missed
	// heartbeats.
	Heartbeat time.Duration
}

// Defaults of Config.
const (
	// DefaultLapseGrace covers the about two seconds after the store's return within which
	// the platform guarantees that servers renew a lapsed entry.
	DefaultLapseGrace = 2200 * time.Millisecond
	// DefaultClosedGrace covers the time in which operators write again what the store lost.
	DefaultClosedGrace = 10 * time.Second
	// DefaultHeartbeat is the setting of the platform's deployments.
	DefaultHeartbeat = 1200 * time.Millisecond
)

// maxContactGap is the longest gap between two answers of the store in which no entry can
// lapse: entries lapse after three heartbeats, and the last one is at most one heartbeat old
// when an outage begins.
func (c Config) maxContactGap() time.Duration { return 2 * c.Heartbeat }

// The sources.
const (
	FromStore Source = iota + 1
	FromPeer
	// FromReplica is a replica of the store, which may lag.
	FromReplica
)

// Server is the roster's view of one backend server.
type Server struct {
	shed.ServerEntry
	// ColdUntil is when the server is expected to be warm; zero if it is warm.
	ColdUntil time.Time
	// Lapsed: its entry vanished during a store outage; it is used until the grace period
	// after the store's return is over.
	Lapsed bool
}

// Cold reports whether the server is cold.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// Reasons of a Change.
const (
	CatalogInForce    shed.Reason = "configuration_in_force"
	ServerListed      shed.Reason = "server_listed"
	ServerLeaving     shed.Reason = "server_leaving"
	ServerSaysLeaving shed.Reason = "server_says_leaving"
	ServerGone        shed.Reason = "server_gone"
	ServerLapsed      shed.Reason = "server_entry_lapsed"
	ServerUnreadable  shed.Reason = "server_entry_unreadable"
	ZoneClosed        shed.Reason = "zone_closed"
	ZoneReopened      shed.Reason = "zone_reopened"
	StoreRegained     shed.Reason = "store_regained"
	StoreLost         shed.Reason = "store_lost"
	StoreRestored     shed.Reason = "store_restored_from_a_copy"
	ServerWithheld    shed.Reason = "server_withheld"
	CatalogOlder      shed.Reason = "older_configuration_ignored"
	CatalogKeyless    shed.Reason = "configuration_without_keys"
	CatalogUnreadable shed.Reason = "configuration_unreadable"
	ItemUnreadable    shed.Reason = "item_unreadable"
)

// Roster is one daemon's view. It is not safe for concurrent use.
type Roster struct {
	cfg   Config
	items map[string]Entry
	// keys are those of items, sorted; nil if they have changed since.
	keys []string
	// carried are the keys of items whose value a restored store has unchanged.
	carried map[string]bool
	// lapsed are the keys of items that vanished during an outage of the store or when it came back
	// from a copy, and have not been written again yet.
	lapsed map[string]bool
	// deleted holds the revisions of deletions, so that an older item from a peer doesn't
	// restore what was deleted.
	deleted map[string]shed.Revision
	// pastItems holds the last few replaced items of keys with large values, oldest first.
	pastItems map[string][]shed.Item
	// asOf is the revision up to which the items are complete; digest is a hash of them.
	asOf   shed.Revision
	digest uint64

	catalog    *shed.Catalog
	catalogRev shed.Revision
	// keysNeeded is set once a configuration needed keys, here or at a peer. It is never cleared.
	keysNeeded bool
	servers    map[shed.ServerID]*Server
	closed     map[shed.ZoneID]bool
	// departures are the servers that said in an answer that they leave, with the time at which
	// this daemon last heard it.
	departures map[shed.ServerStart]time.Time
	// gone are the starts of servers that were removed, with the store's era at that time, and
	// withheld those that get no work until a time because a restored store still lists them.
	gone     map[shed.ServerStart]removal
	withheld map[shed.ServerStart]time.Time
	// open are the servers of each pool that may get new work, sorted by id; openAt are the same
	// by address.
	open   map[shed.PoolID][]*Server
	openAt map[string]*Server
	// version counts the changes of the items.
	version uint64

	// lastContact is as of when this state is known to be complete: when the store last answered this daemon, or a
	// peer with the same state.
	lastContact time.Time
	// lastAnswer is when the store last answered any daemon, as far as this one knows; contactSince is since when it
	// has answered without a gap. A daemon that is late itself has an old lastContact, which is no gap.
	lastAnswer, contactSince time.Time
	// firstContact is when the store first answered. What was listed before is not known.
	firstContact time.Time
	// pastVersions holds, for each pool, the software versions of servers that were removed, with the
	// time of the last removal.
	pastVersions map[shed.PoolID]map[shed.SoftwareVersion]time.Time
	storeLost    bool
	// hasReplicaData: some items come from a replica of the store.
	hasReplicaData bool
}

// New returns an empty Roster.
func New(cfg Config) *Roster {
	if cfg.LapseGrace == 0 {
		cfg.LapseGrace = DefaultLapseGrace
	}
	if cfg.ClosedGrace == 0 {
		cfg.ClosedGrace = DefaultClosedGrace
	}
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	return &Roster{
		cfg:       cfg,
		items:     map[string]Entry{},
		lapsed:    map[string]bool{},
		deleted:   map[string]shed.Revision{},
		pastItems: map[string][]shed.Item{},
		servers:   map[shed.ServerID]*Server{},
		closed:    map[shed.ZoneID]bool{},

		carried:    map[string]bool{},
		departures: map[shed.ServerStart]time.Time{},
		gone:       map[shed.ServerStart]removal{},
		withheld:   map[shed.ServerStart]time.Time{},

		pastVersions: map[shed.PoolID]map[shed.SoftwareVersion]time.Time{},
	}
}

func (r *Roster) pool(id shed.PoolID) *shed.RelayPool {
	if r.catalog == nil {
		return nil
	}
	return r.catalog.Pools[id]
}

// MarkCold records that a server reported that it stays cold for left.
func (r *Roster) MarkCold(now time.Time, id shed.ServerID, left time.Duration) {
	if s := r.servers[id]; s != nil {
		s.ColdUntil = shed.Later(s.ColdUntil, now.Add(left))
	}
}

// rebuild derives the digest, the closed zones and the open servers from the items.
func (r *Roster) rebuild() {
	r.digest = r.computeDigest()
	r.reopen()
}

// reopen derives the closed zones and the open servers from the items. The digest stays that of the
// items as of the roster's revision.
func (r *Roster) reopen() {
	r.version++
	clear(r.closed)
	for _, e := range r.items {
		if f, ok := e.Record.(shed.ZoneClosed); ok {
			r.closed[f.Zone] = true
		}
	}
	r.open, r.openAt = map[shed.PoolID][]*Server{}, map[string]*Server{}
	for _, key := range r.sortedKeys() {
		f, ok := r.items[key].Record.(shed.ServerEntry)
		if !ok {
			continue
		}
		s := r.servers[f.ID]
		s.Lapsed = r.lapsed[key]
		if r.accepts(s) {
			r.open[f.Pool] = append(r.open[f.Pool], s)
			r.openAt[s.Addr] = s
		}
	}
}

// Catalog returns the active configuration; nil before the first.
func (r *Roster) Catalog() *shed.Catalog { return r.catalog }

// IsConfirmed reports whether the store, or a peer in contact with it, has confirmed the roster.
// Data from a replica of the store may be seconds old.
func (r *Roster) IsConfirmed() bool { return !r.hasReplicaData || !r.lastContact.IsZero() }

// Usable reports whether requests may be served with the roster. While the store does not
// answer, an old configuration is better than none.
func (r *Roster) Usable() bool { return r.catalog != nil && (r.IsConfirmed() || r.storeLost) }

// NeedsKey reports whether callers need a key, except on public routes. A configuration that says nothing of keys after
// one that did may be truncated, so it opens nothing.
func (r *Roster) NeedsKey() bool { return r.keysNeeded }

// RequireKeys records that a configuration needed keys at a peer.
func (r *Roster) RequireKeys() { r.keysNeeded = true }

// CatalogRevision is the revision of the active configuration; 0 before the first.
func (r *Roster) CatalogRevision() shed.Revision { return r.catalogRev }

// AsOf is the revision up to which the roster is complete.
func (r *Roster) AsOf() shed.Revision { return r.asOf }

// LastContact is when the store last answered this daemon, or a peer with no newer state; zero if
// it never did.
func (r *Roster) LastContact() time.Time { return r.lastContact }

// OpenServers returns the pool's servers that may get new work, sorted by id. The slice belongs
// to the roster and is never modified.
func (r *Roster) OpenServers(pool shed.PoolID) []*Server { return r.open[pool] }

// OpenServerAt returns the server at an address if it may get new work, else nil.
func (r *Roster) OpenServerAt(addr string) *Server { return r.openAt[addr] }

// OpenAddrs returns the addresses of the servers that accept new work, in any order.
func (r *Roster) OpenAddrs() []string { return slices.Collect(maps.Keys(r.openAt)) }

// IsOpen reports whether this start of a server may get new work.
func (r *Roster) IsOpen(start shed.ServerStart) bool {
	s := r.servers[start.Server]
	return s != nil && s.Start() == start && r.accepts(s)
}

// accepts reports whether a listed server may get new work.
func (r *Roster) accepts(s *Server) bool {
	_, withheld := r.withheld[s.Start()]
	return !s.Leaving && !withheld && !r.departed(s) && !r.closed[s.Zone]
}

// Version changes whenever the result of OpenServers may have changed.
func (r *Roster) Version() uint64 { return r.version }

// Server returns the roster's view of a server.
func (r *Roster) Server(id shed.ServerID) (Server, bool) {
	s := r.servers[id]
	if s == nil {
		return Server{}, false
	}
	return *s, true
}

// HasServer reports whether the roster has the server, open or not.
func (r *Roster) HasServer(id shed.ServerID) bool { return r.servers[id] != nil }

// HasRoute reports whether the active configuration has the route.
func (r *Roster) HasRoute(id shed.RouteID) bool {
	c := r.catalog
	return c != nil && slices.ContainsFunc(c.Routes, func(route shed.Route) bool { return route.ID == id })
}

// Route returns the route of a request: the one of its host with the longest matching prefix.
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
