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
		"a new process that watches":         {follow.StoreView{Watcher: true}, follow.ListReplica},
		"a copy that nobody confirmed":       {follow.StoreView{AsOf: 7}, follow.ReadChanges},
		"a copy older than the history":      {follow.StoreView{AsOf: 7, Compacted: true}, follow.List},
		"told by peers":                      {follow.StoreView{AsOf: 7, LastContact: fresh}, follow.NoCall},
		"told by nobody":                     {follow.StoreView{AsOf: 7, LastContact: old}, follow.Watch},
		"one that watches for all":           {follow.StoreView{AsOf: 7, LastContact: fresh, Watcher: true}, follow.Watch},
		"history gone while nobody told":     {follow.StoreView{AsOf: 7, LastContact: old, Compacted: true}, follow.List},
		"history gone, watches for all":      {follow.StoreView{AsOf: 7, LastContact: start, Watcher: true, Compacted: true}, follow.List},
		"told by peers from their own clock": {follow.StoreView{AsOf: 7, LastContact: start.Add(time.Minute)}, follow.NoCall},
	} {
		require.Equal(t, c.want, follow.NextCall(start, c.view), name)
	}
}
