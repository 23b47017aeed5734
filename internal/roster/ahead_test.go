package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

func leaving(e *shed.ServerEntry) { e.Leaving = true }

// Guards against an update that is applied in part and counts as complete, so that peers confirm it or read
// everything from each other, and against a part that is undone by the rest.
func TestPartAppliedAhead(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1), server("x", 2, nil), server("y", 3, nil), server("z", 4, nil))
	digest, contact := r.Digest(), r.LastContact()
	update := store(15, server("x", 11, leaving), gone("y", 12), server("new", 13, nil), catalog("2", 14), closed("b", 15, false))
	applied, changes := r.ApplyAhead(now, update)
	require.Len(t, applied, 3)
	require.Len(t, changes, 3)
	require.Equal(t, []shed.ServerID{"z"}, open(r))
	require.Equal(t, shed.Revision(10), r.AsOf())
	require.Equal(t, digest, r.Digest())
	require.Equal(t, contact, r.LastContact())
	require.Equal(t, "1", r.Catalog().Version)
	applied, changes = r.ApplyAhead(now, update)
	require.Empty(t, applied)
	require.Empty(t, changes)

	r.Apply(now, update)
	require.Equal(t, []shed.ServerID{"new", "z"}, open(r))
	other, _ := healthyRoster(catalog("1", 1), server("x", 2, nil), server("y", 3, nil), server("z", 4, nil))
	other.Apply(now, update)
	require.Equal(t, other.Digest(), r.Digest())
}

// Guards against servers that are given up at once because their entries lapsed while the store was down.
func TestLapsedServerIsNotRemovedAhead(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1), server("x", 2, nil))
	now = now.Add(time.Minute)
	r.StoreAnswered(now)
	applied, _ := r.ApplyAhead(now, store(11, gone("x", 11)))
	require.Empty(t, applied)
	require.Equal(t, []shed.ServerID{"x"}, open(r))
}

// Guards against a VM that is late itself and goes on using a removed server, as after an outage of the store, though
// the store has answered its peers all the while, and against one that does so because it has just started.
func TestOwnDelayIsNoOutageOfTheStore(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1), server("x", 2, nil))
	for range 10 {
		now = now.Add(time.Second)
		r.StoreAnswered(now)
	}
	r.Apply(now, store(11, gone("x", 11)))
	require.Empty(t, open(r))

	r = roster.New(roster.Config{})
	r.Apply(start, store(10, catalog("1", 1), server("x", 2, nil)))
	r.Apply(start.Add(time.Second), store(11, gone("x", 11)))
	require.Empty(t, open(r))
}
