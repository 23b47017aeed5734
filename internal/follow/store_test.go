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
		"compacted, confirmed by nobody":     {follow.StoreView{AsOf: 7, LastContact: old, Compacted: true}, follow.List},
		"compacted, a watcher":               {follow.StoreView{AsOf: 7, LastContact: start, Watcher: true, Compacted: true}, follow.List},
		"confirmed by a clock ahead of ours": {follow.StoreView{AsOf: 7, LastContact: start.Add(time.Minute)}, follow.NoCall},
	} {
		require.Equal(t, c.want, follow.NextCall(start, c.view), name)
	}
}
