package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/follow"
)

func TestNextCall(t *testing.T) {
	fresh, old := start.Add(-follow.StaleAfter), start.Add(-follow.StaleAfter-1)
	for name, c := range map[string]struct {
		view follow.StoreView
		want follow.StoreCall
	}{
		"a new process":                      {follow.StoreView{}, follow.ListReplica},
		"a new process, a watcher":           {follow.StoreView{Watcher: true}, follow.ListReplica},
		"a replica's state, unconfirmed":     {follow.StoreView{AsOf: 7}, follow.ReadChanges},
		"a replica's state, compacted":       {follow.StoreView{AsOf: 7, Compacted: true}, follow.List},
		"confirmed by peers":                 {follow.StoreView{AsOf: 7, LastContact: fresh}, follow.NoCall},
		"confirmed by nobody":                {follow.StoreView{AsOf: 7, LastContact: old}, follow.Watch},
		"a watcher":                          {follow.StoreView{AsOf: 7, LastContact: fresh, Watcher: true}, follow.Watch},
		"a watcher after a change":           {follow.StoreView{AsOf: 7, LastContact: fresh, Watcher: true, LastChange: start}, follow.NoCall},
		"a watcher after a pause":            {follow.StoreView{AsOf: 7, LastContact: fresh, Watcher: true, LastChange: start.Add(-100 * time.Millisecond)}, follow.Watch},
		"compacted, confirmed by nobody":     {follow.StoreView{AsOf: 7, LastContact: old, Compacted: true}, follow.List},
		"compacted, a watcher":               {follow.StoreView{AsOf: 7, LastContact: start, Watcher: true, Compacted: true}, follow.List},
		"confirmed by a clock ahead of ours": {follow.StoreView{AsOf: 7, LastContact: start.Add(time.Minute)}, follow.NoCall},
	} {
		require.Equal(t, c.want, follow.NextCall(start, c.view), name)
	}
}

// watchAll replays a second of a store that gets an entry at each interval and is watched by
// three VMs, and returns the calls and the longest time until a watcher had an entry.
func watchAll(interval time.Duration) (calls int, longest time.Duration) {
	const poll, last = 10 * time.Millisecond, 4 * time.Second
	var seen [3]time.Duration
	var changedAt [3]time.Time
	for at := time.Duration(0); at <= last; at += poll {
		newest := at / interval * interval
		for rank := range seen {
			view := follow.StoreView{AsOf: 1, LastContact: start.Add(at), Watcher: true, LastChange: changedAt[rank]}
			if newest == seen[rank] || follow.NextCall(start.Add(at), view) != follow.Watch {
				continue
			}
			longest = max(longest, at-seen[rank]-interval)
			calls, seen[rank], changedAt[rank] = calls+1, newest, start.Add(at)
		}
	}
	return calls, longest
}

// 145 servers register in four seconds. Guards against a call of each watcher for each of them;
// each of them must still have each entry soon, since each tells its share of the other VMs.
func TestManyEntriesCostFewCalls(t *testing.T) {
	calls, longest := watchAll(27 * time.Millisecond)
	t.Logf("%d calls, an entry is known after %v at most", calls, longest)
	require.Less(t, calls, 145)
	require.Less(t, longest, 150*time.Millisecond)
}

// Changes that come one at a time are read at once.
func TestSingleChangesAreReadAtOnce(t *testing.T) {
	_, longest := watchAll(time.Second)
	require.Zero(t, longest)
}
