package roster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

func rev(era shed.Era, number uint64) shed.Revision {
	r, err := shed.NewRevision(era, number)
	if err != nil {
		panic(err) // The test's own numbers are in range.
	}
	return r
}

// numbered returns a configuration with a version number.
func numbered(number uint64, r shed.Revision) roster.Entry {
	e := catalog(fmt.Sprint(number), r)
	e.Record.(*shed.Catalog).Number = number
	return e
}

// restored returns an update with all items of a store that came back from a copy.
func restored(asOf shed.Revision, entries ...roster.Entry) roster.Update {
	return roster.Update{Source: roster.FromStore, AsOf: asOf, Items: entries, Complete: true}
}

// Guards against a configuration that goes back to that of the copy, and one that is ignored since
// its number was given out before.
func TestConfigurationAcrossEras(t *testing.T) {
	r, now := healthyRoster(numbered(24, rev(1, 8)))
	r.Apply(now, store(rev(1, 12), numbered(27, rev(1, 12))))
	changes := r.Apply(now, restored(rev(2, 9), numbered(24, rev(2, 8))))
	require.Equal(t, "27", r.Catalog().Version)
	require.Equal(t, roster.StoreRestored, changes[0].Reason)
	require.Contains(t, changes, roster.Change{Reason: roster.CatalogOlder, Key: "c", Revision: rev(2, 8), Version: "24"})
	r.Apply(now, store(rev(2, 10), numbered(25, rev(2, 10))))
	require.Equal(t, "27", r.Catalog().Version, "written again, but older than the one in force")
	r.Apply(now, store(rev(2, 11), numbered(31, rev(2, 11))))
	require.Equal(t, "31", r.Catalog().Version)
	require.Equal(t, rev(2, 11), r.CatalogRevision())
	r.Apply(now, roster.Update{Source: roster.FromPeer, AsOf: rev(1, 12), Complete: true, Items: []roster.Entry{numbered(30, rev(1, 12))}})
	require.Equal(t, "31", r.Catalog().Version)
	require.Equal(t, rev(2, 11), r.AsOf())
}

// A VM that started after the restore knows the copy; a peer still has the newer configuration.
func TestNewerConfigurationOfAnEarlierEraFromAPeer(t *testing.T) {
	r := roster.New(roster.Config{})
	r.Apply(start, restored(rev(2, 9), numbered(24, rev(2, 8))))
	require.False(t, r.HasItem("c", rev(1, 12)), "which one is newer shows only in the content")
	r.Apply(start, roster.Update{Source: roster.FromPeer, AsOf: rev(2, 9), Complete: true, Items: []roster.Entry{numbered(27, rev(1, 12))}})
	require.Equal(t, "27", r.Catalog().Version)
}

// Guards against servers that are lost although they live, because the copy lacks them.
func TestServerThatTheCopyLacks(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1), server("x", rev(0, 2), nil), server("y", rev(0, 3), nil))
	r.Apply(now, restored(rev(1, 2), server("x", rev(1, 2), nil)))
	require.Equal(t, []shed.ServerID{"x", "y"}, open(r))
	now = now.Add(2 * time.Second)
	r.Apply(now, store(rev(1, 3), server("y", rev(1, 3), nil)))
	now = now.Add(time.Second)
	r.Apply(now, store(rev(1, 3)))
	r.Tick(now)
	require.Equal(t, []shed.ServerID{"x", "y"}, open(r))

	r.Apply(now, restored(rev(2, 2), server("x", rev(2, 2), nil)))
	now = now.Add(2300 * time.Millisecond)
	r.Apply(now, store(rev(2, 2)))
	r.Tick(now)
	require.Equal(t, []shed.ServerID{"x"}, open(r), "it did not register again")
}

// Guards against servers that come back to life because the copy still lists them as ready.
func TestServerThatHadLeftBeforeTheRestore(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1), server("drains", 2, nil), server("drained", 3, nil), server("removed", 4, nil), server("x", 5, nil))
	leave := func(l *shed.ServerEntry) { l.Leaving = true }
	r.Apply(now, store(11, server("drains", 11, leave)))
	r.Apply(now, store(12, server("drained", 12, leave)))
	r.Apply(now, store(13, gone("drained", 13)))
	r.Apply(now, store(14, gone("removed", 14)))
	all := func(era shed.Era) roster.Update {
		return restored(rev(era, 9), catalog("1", rev(era, 1)), server("drains", rev(era, 2), nil),
			server("drained", rev(era, 3), nil), server("removed", rev(era, 4), nil), server("x", rev(era, 5), nil))
	}
	r.Apply(now, all(1))
	require.Equal(t, []shed.ServerID{"x"}, open(r))
	r.Apply(now, all(2))
	require.Equal(t, []shed.ServerID{"x"}, open(r), "restored twice")
	now = now.Add(6 * time.Second)
	r.Apply(now, store(rev(2, 9)))
	r.Tick(now)
	require.Equal(t, []shed.ServerID{"removed", "x"}, open(r), "the store would have dropped it if it were dead")
	r.Apply(now, store(rev(2, 10), server("drains", rev(2, 10), startedAt(2))))
	require.Equal(t, []shed.ServerID{"drains", "removed", "x"}, open(r), "another start")
}

// Guards against a zone that gets work because the copy doesn't know that it was closed.
func TestClosedZoneThatTheCopyLacks(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1), server("x", 2, nil))
	r.Apply(now, store(11, closed("a", 11, false)))
	r.Apply(now, restored(rev(1, 9), catalog("1", rev(1, 1)), server("x", rev(1, 2), nil)))
	wait := func(d time.Duration) {
		for range d / time.Second {
			now = now.Add(time.Second)
			r.Apply(now, store(r.AsOf()))
			r.Tick(now)
		}
	}
	wait(9 * time.Second)
	require.Empty(t, open(r), "operators have time to write it again")
	wait(2 * time.Second)
	require.Equal(t, []shed.ServerID{"x"}, open(r))
	r.Apply(now, store(rev(1, 10), closed("a", rev(1, 10), false)))
	r.Apply(now, restored(rev(2, 9), catalog("1", rev(2, 1)), server("x", rev(2, 2), nil)))
	r.Apply(now, store(rev(2, 10), closed("a", rev(2, 10), false)))
	wait(12 * time.Second)
	require.Empty(t, open(r), "written again")
}

// Guards against a server that counts as cold again because a restored store lists it again.
func TestWarmServerStaysWarm(t *testing.T) {
	cold := func(l *shed.ServerEntry) { l.ColdRemaining = time.Second }
	r, now := healthyRoster(catalog("1", 1), server("x", 2, cold))
	now = now.Add(5 * time.Second)
	r.Apply(now, restored(rev(1, 9), catalog("1", rev(1, 1)), server("x", rev(1, 2), cold)))
	require.False(t, r.OpenServers("lm")[0].Cold(now))
}

// storeModel is a store that can come back from a copy.
type storeModel struct {
	era     shed.Era
	number  uint64
	items   map[string]roster.Entry
	deleted map[string]uint64
	// records are all that was ever handed out, by key and revision.
	records map[string]shed.Record
	// newest is the newest version of the configuration that was ever written.
	newest uint64
}

func (m *storeModel) put(e roster.Entry) {
	m.number++
	e.Revision = rev(m.era, m.number)
	if e.Deleted {
		delete(m.items, e.Key)
		m.deleted[e.Key] = m.number
		return
	}
	m.items[e.Key] = e
}

func (m *storeModel) clone() storeModel {
	c := *m
	c.items, c.deleted = map[string]roster.Entry{}, map[string]uint64{}
	for k, e := range m.items {
		c.items[k] = e
	}
	for k, n := range m.deleted {
		c.deleted[k] = n
	}
	return c
}

// restore replaces the content by a copy, in the next era.
func (m *storeModel) restore(c storeModel) {
	era, newest := m.era+1, m.newest
	*m = c.clone()
	m.era, m.newest = era, newest
}

// update is the answer to a VM that knows the store as of a revision.
func (m *storeModel) update(after shed.Revision) roster.Update {
	u := roster.Update{Source: roster.FromStore, AsOf: rev(m.era, m.number), Complete: after == 0 || after.Era() != m.era}
	for _, e := range m.items {
		e.Revision = rev(m.era, e.Revision.Number())
		if u.Complete || e.Revision > after {
			u.Items = append(u.Items, e)
			m.records[fmt.Sprint(e.Key, e.Revision)] = e.Record
		}
	}
	for key, n := range m.deleted {
		if r := rev(m.era, n); !u.Complete && r > after {
			u.Items = append(u.Items, roster.Entry{Item: shed.Item{Key: key, Revision: r, Deleted: true}})
		}
	}
	slices.SortFunc(u.Items, func(a, b roster.Entry) int { return int(int64(a.Revision) - int64(b.Revision)) })
	return u
}

// Random writes, copies, restores, late and lost answers, restarts and peers that exchange what they
// have: no VM's configuration goes back, no start that a VM has seen leaving gets work there again,
// and once all is written again and told, all VMs hold what the store holds.
func TestRestoresInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &storeModel{era: 1, items: map[string]roster.Entry{}, deleted: map[string]uint64{}, records: map[string]shed.Record{}}
		writeConfig := func(n uint64) {
			m.newest = max(m.newest, n)
			m.put(numbered(n, 0))
		}
		writeConfig(1)
		// live are the servers as they are, whatever the store knows of them.
		live := map[string]shed.ServerEntry{}
		register := func(id string, startedMs int64, leaving bool) {
			e := server(id, 0, func(l *shed.ServerEntry) { l.StartedMs, l.Leaving = startedMs, leaving })
			live[id] = e.Record.(shed.ServerEntry)
			m.put(e)
		}
		for i := range 3 {
			register(fmt.Sprint(i), 1, false)
		}
		backup := m.clone()
		now := start
		vms := make([]*roster.Roster, 3)
		inForce, sawLeaving := make([]uint64, 3), make([]map[shed.ServerStart]bool, 3)
		restart := func(i int) {
			vms[i], inForce[i], sawLeaving[i] = roster.New(roster.Config{}), 0, map[shed.ServerStart]bool{}
		}
		apply := func(i int, u roster.Update) {
			for _, c := range vms[i].Apply(now, u) {
				if s, ok := vms[i].Server(c.Server); ok && c.Reason == roster.ServerLeaving {
					sawLeaving[i][shed.ServerStart{Server: s.ID, StartedMs: s.StartedMs}] = true
				}
			}
		}
		exchange := func(from, to int) {
			after := vms[to].AsOf()
			if vms[from].AsOf() < after {
				return
			}
			if after.Era() != vms[from].AsOf().Era() || rapid.Bool().Draw(rt, "everything") {
				after = 0
			}
			var items []roster.Entry
			for _, it := range vms[from].ChangesSince(after) {
				items = append(items, roster.Entry{Item: it, Record: m.records[fmt.Sprint(it.Key, it.Revision)]})
			}
			apply(to, roster.Update{Source: roster.FromPeer, AsOf: vms[from].AsOf(), Items: items, Complete: after == 0})
		}
		check := func() {
			for i, v := range vms {
				v.Tick(now)
				if c := v.Catalog(); c != nil {
					require.GreaterOrEqual(rt, c.Number, inForce[i], "VM %d: the configuration goes back", i)
					inForce[i] = c.Number
				}
				for start := range sawLeaving[i] {
					require.False(rt, v.IsOpen(start), "VM %d: %v is open again", i, start)
				}
			}
		}
		for i := range vms {
			restart(i)
		}
		for range rapid.IntRange(5, 60).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			i, id := rapid.IntRange(0, 2).Draw(rt, "vm"), fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "server"))
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				writeConfig(m.newest + 1 + uint64(rapid.IntRange(0, 3).Draw(rt, "step")))
			case 1:
				register(id, live[id].StartedMs, true)
			case 2:
				m.put(gone(id, 0))
				register(id, live[id].StartedMs+1, false)
			case 3:
				backup = m.clone()
			case 4:
				m.restore(backup)
			case 5:
				exchange(i, rapid.IntRange(0, 2).Draw(rt, "to"))
			case 6:
				restart(i)
			default:
				apply(i, m.update(vms[i].AsOf()))
			}
			check()
		}
		// What was lost is written again.
		writeConfig(m.newest)
		for id, e := range live {
			register(id, e.StartedMs, e.Leaving)
		}
		for range 12 {
			now = now.Add(time.Second)
			for i := range vms {
				apply(i, m.update(vms[i].AsOf()))
			}
			check()
		}
		for range 2 {
			for i := range vms {
				for j := range vms {
					if vms[i].Digest() != vms[j].Digest() {
						exchange(i, j)
					}
				}
			}
		}
		for i, v := range vms {
			require.Equal(rt, m.newest, v.Catalog().Number, "VM %d", i)
			require.Equal(rt, rev(m.era, m.number), v.AsOf())
			require.Equal(rt, vms[0].Digest(), v.Digest(), "VM %d", i)
			for _, e := range live {
				start := shed.ServerStart{Server: e.ID, StartedMs: e.StartedMs}
				require.Equal(rt, !e.Leaving, v.IsOpen(start), "VM %d: %v", i, start)
			}
		}
	})
}
