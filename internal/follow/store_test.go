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
		"a new process":                      {follow.StoreView{}, follow.ListCopy},
		"a new process that watches":         {follow.StoreView{Watcher: true}, follow.ListCopy},
		"a copy that nobody confirmed":       {follow.StoreView{AsOf: 7}, follow.Changes},
		"a copy older than the history":      {follow.StoreView{AsOf: 7, Forgotten: true}, follow.List},
		"told by peers":                      {follow.StoreView{AsOf: 7, Contact: fresh}, follow.NoCall},
		"told by nobody":                     {follow.StoreView{AsOf: 7, Contact: old}, follow.Watch},
		"one that watches for all":           {follow.StoreView{AsOf: 7, Contact: fresh, Watcher: true}, follow.Watch},
		"history gone while nobody told":     {follow.StoreView{AsOf: 7, Contact: old, Forgotten: true}, follow.List},
		"history gone, watches for all":      {follow.StoreView{AsOf: 7, Contact: start, Watcher: true, Forgotten: true}, follow.List},
		"told by peers from their own clock": {follow.StoreView{AsOf: 7, Contact: start.Add(time.Minute)}, follow.NoCall},
	} {
		require.Equal(t, c.want, follow.NextCall(start, c.view), name)
	}
}
