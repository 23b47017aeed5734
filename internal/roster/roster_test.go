package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

var start = time.Unix(1_700_000_000, 0)

func server(id string, rev shed.Revision, edit func(*shed.ServerEntry)) roster.Entry {
	l := shed.ServerEntry{ID: shed.ServerID(id), Pool: "lm", Addr: id + ":1", Zone: "a", StartedMs: 1}
	if edit != nil {
		edit(&l)
	}
	return roster.Entry{Item: shed.Item{Key: "s/" + id, Revision: rev}, Record: l}
}

func gone(id string, rev shed.Revision) roster.Entry {
	return roster.Entry{Item: shed.Item{Key: "s/" + id, Revision: rev, Deleted: true}}
}

func closed(zone shed.ZoneID, rev shed.Revision, isGone bool) roster.Entry {
	e := roster.Entry{Item: shed.Item{Key: "z/" + string(zone), Revision: rev, Deleted: isGone}}
	if !isGone {
		e.Record = shed.ZoneClosed{Zone: zone}
	}
	return e
}

func catalog(version string, rev shed.Revision) roster.Entry {
	return roster.Entry{Item: shed.Item{Key: "c", Revision: rev}, Record: &shed.Catalog{
		Version: version, Pools: map[shed.PoolID]*shed.RelayPool{"lm": {ID: "lm", ColdDuration: 3 * time.Second, ColdRate: 8}},
	}}
}

func store(asOf shed.Revision, entries ...roster.Entry) roster.Update {
	return roster.Update{Source: roster.FromStore, AsOf: asOf, Items: entries}
}

// healthyRoster returns a roster whose store has answered for a while.
func healthyRoster(entries ...roster.Entry) (*roster.Roster, time.Time) {
	r := roster.New(roster.Config{})
	update := store(10, entries...)
	update.Complete = true
	r.Apply(start, update)
	now := start
	for range 5 {
		now = now.Add(time.Second)
		r.Apply(now, store(10))
		r.Tick(now)
	}
	return r, now
}

func open(r *roster.Roster) []shed.ServerID {
	var out []shed.ServerID
	for _, s := range r.OpenServers("lm") {
		out = append(out, s.ID)
	}
	return out
}

func TestLeavingServersGetNoNewWork(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1), server("x", 2, nil), server("y", 3, nil))
	require.Equal(t, []shed.ServerID{"x", "y"}, open(r))
	r.Apply(now, store(11, server("x", 11, func(l *shed.ServerEntry) { l.Leaving = true })))
	require.Equal(t, []shed.ServerID{"y"}, open(r))
	r.Apply(now, store(12, gone("y", 12)))
	require.Empty(t, open(r))
	require.False(t, r.HasServer("y"))
}

// Servers that renew their entries every 0.4 s lose them in an outage of one second. Checked
// against the default heartbeat of 1.2 s, the gap gives no grace, and callers lose good servers.
func TestEntriesLapseByTheHeartbeat(t *testing.T) {
	r := roster.New(roster.Config{Heartbeat: 400 * time.Millisecond})
	now := time.Unix(1_700_000_000, 0)
	r.Apply(now, store(10, catalog("1", 1), server("x", 2, nil)))
	for range 4 {
		now = now.Add(time.Second)
		r.Apply(now, store(10))
	}
	r.StoreFailed(now)
	now = now.Add(time.Second)
	r.Apply(now, store(12, gone("x", 12)))
	require.Equal(t, []shed.ServerID{"x"}, open(r))
}

// In a long outage of the store servers can't renew their entries. These are gone at its return
// and are renewed shortly after. Callers must be served meanwhile; a server that does not renew
// its entry is dropped after the grace period.
func TestEntriesThatLapseInAnOutage(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1), server("x", 2, nil), server("y", 3, nil))
	for range 4 {
		now = now.Add(time.Second)
		r.StoreFailed(now)
	}
	r.Apply(now, store(13, gone("x", 12), gone("y", 13)))
	require.Equal(t, []shed.ServerID{"x", "y"}, open(r))
	now = now.Add(time.Second)
	r.Apply(now, store(14, server("x", 14, nil)))
	r.Tick(now)
	require.Equal(t, []shed.ServerID{"x", "y"}, open(r))
	now = now.Add(1300 * time.Millisecond)
	r.Apply(now, store(14))
	r.Tick(now)
	require.Equal(t, []shed.ServerID{"x"}, open(r))
}

// A single call to the store fails, as when a watch is disconnected. No entry can lapse in so
// short a time, so a deletion applies at once; else new work would go to a server that has left
// for longer than allowed.
func TestShortGapGivesNoGrace(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1), server("x", 2, nil))
	now = now.Add(1800 * time.Millisecond)
	r.StoreFailed(now)
	r.Apply(now, store(11, gone("x", 11)))
	require.Empty(t, open(r))
}

// Operators close and reopen a zone. Its servers had no work for a while and may have turned
// cold: full load at once would overload them.
func TestReopenedZoneIsCold(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1), server("x", 2, nil))
	r.Apply(now, store(11, closed("a", 11, false)))
	require.Empty(t, open(r))
	now = now.Add(10 * time.Second)
	r.Apply(now, store(12, closed("a", 12, true)))
	require.Equal(t, []shed.ServerID{"x"}, open(r))
	require.True(t, r.OpenServers("lm")[0].Cold(now.Add(2900*time.Millisecond)))
	require.False(t, r.OpenServers("lm")[0].Cold(now.Add(3*time.Second)))
}

func TestNewServerIsColdForAsLongAsItSays(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1))
	r.Apply(now, store(11, server("x", 11, func(l *shed.ServerEntry) { l.ColdRemaining = time.Second })))
	require.True(t, r.OpenServers("lm")[0].Cold(now))
	r.MarkCold(now, "x", 2*time.Second)
	require.True(t, r.OpenServers("lm")[0].Cold(now.Add(1900*time.Millisecond)))
}

// Another writer corrupts a server entry and the configuration. The server is removed; the last
// readable configuration stays active.
func TestUnreadableItems(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1), server("x", 2, nil), server("y", 3, nil))
	r.Apply(now, store(12,
		roster.Entry{Item: shed.Item{Key: "s/x", Revision: 11}}, roster.Entry{Item: shed.Item{Key: "c", Revision: 12}}))
	require.Equal(t, []shed.ServerID{"y"}, open(r))
	require.Equal(t, "1", r.Catalog().Version)
}

// A lagging peer sends a deleted server and an old configuration. Neither may be restored.
func TestNeverOlder(t *testing.T) {
	r, now := healthyRoster(catalog("2", 5), server("x", 2, nil))
	r.Apply(now, store(11, gone("x", 11)))
	r.Apply(now, roster.Update{
		Source: roster.FromPeer, AsOf: 10, Complete: true, Items: []roster.Entry{catalog("1", 1), server("x", 2, nil)},
	})
	require.Empty(t, open(r))
	require.Equal(t, "2", r.Catalog().Version)
	require.Equal(t, shed.Revision(11), r.AsOf())
}

func TestRoute(t *testing.T) {
	c := &shed.Catalog{Routes: []shed.Route{
		{ID: "short", Host: "h", Prefix: "/a/"}, {ID: "long", Host: "h", Prefix: "/a/b/"}, {ID: "other", Host: "g", Prefix: "/a/"},
	}}
	for target, want := range map[string]shed.RouteID{
		"/a/x": "short", "/a/b/x": "long", "/a/b/": "long", "/a/b?/a/b/": "short", "/a/bc": "short", "/b/": "",
	} {
		got := roster.Route(c, "h", target)
		if want == "" {
			require.Nil(t, got, target)
			continue
		}
		require.Equal(t, want, got.ID, target)
	}
	require.Nil(t, roster.Route(c, "nowhere", "/a/x"))
}

// One VM watches the store and sends changes to a second one, with message loss. The second then
// pulls the changes since its revision, or everything if digests differ. Both end in the same
// state.
func TestPeersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		first, second := roster.New(roster.Config{}), roster.New(roster.Config{})
		now, rev := start, shed.Revision(1)
		records := map[string]shed.Record{}
		entries := func(items []shed.Item) []roster.Entry {
			var out []roster.Entry
			for _, it := range items {
				out = append(out, roster.Entry{Item: it, Record: records[fmt.Sprint(it.Key, it.Revision)]})
			}
			return out
		}
		for range rapid.IntRange(1, 40).Draw(rt, "changes") {
			now = now.Add(300 * time.Millisecond)
			rev++
			id := fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "server"))
			e := server(id, rev, nil)
			if rapid.Bool().Draw(rt, "gone") {
				e = gone(id, rev)
			}
			records[fmt.Sprint(e.Key, e.Revision)] = e.Record
			before := first.AsOf()
			first.Apply(now, store(rev, e))
			first.Tick(now)
			if rapid.Bool().Draw(rt, "delivered") && before > 0 && second.AsOf() >= before {
				second.Apply(now, roster.Update{Source: roster.FromPeer, AsOf: rev, Items: entries(first.ChangesSince(before))})
			}
		}
		now = now.Add(10 * time.Second)
		first.Apply(now, store(rev))
		now = now.Add(3 * time.Second)
		first.Apply(now, store(rev))
		first.Tick(now)
		if second.AsOf() > 0 && second.AsOf() < first.AsOf() {
			second.Apply(now, roster.Update{Source: roster.FromPeer, AsOf: rev, Items: entries(first.ChangesSince(second.AsOf()))})
		}
		if second.Digest() != first.Digest() {
			second.Apply(now, roster.Update{Source: roster.FromPeer, AsOf: rev, Complete: true, Items: entries(first.ChangesSince(0))})
		}
		require.Equal(rt, open(first), open(second))
		require.Equal(rt, first.Digest(), second.Digest())
	})
}
