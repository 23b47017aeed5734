package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
)

func startedAt(ms int64) func(*shed.ServerEntry) {
	return func(e *shed.ServerEntry) { e.StartedMs = ms }
}

// Guards against new work at a server that said that it leaves, when its entry is written again
// as ready, and against a next start under the same id that never gets work.
func TestStatedDepartureHoldsForOneStart(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1), server("x", 2, nil), server("y", 3, nil))
	require.Len(t, r.MarkLeaving(now, shed.ServerStart{Server: "x", StartedMs: 1}), 1)
	require.Empty(t, r.MarkLeaving(now, shed.ServerStart{Server: "x", StartedMs: 1}), "logged once")
	require.Equal(t, []shed.ServerID{"y"}, open(r))
	require.False(t, r.IsOpen(shed.ServerStart{Server: "x", StartedMs: 1}))
	require.Nil(t, r.OpenServerAt("x:1"))
	require.Equal(t, []shed.ServerStart{{Server: "x", StartedMs: 1}}, r.UnlistedDepartures())
	r.Apply(now, store(11, server("x", 11, nil)))
	require.Equal(t, []shed.ServerID{"y"}, open(r))
	r.Apply(now, store(12, server("x", 12, startedAt(2))))
	require.Equal(t, []shed.ServerID{"x", "y"}, open(r))
	require.Empty(t, r.UnlistedDepartures())
}

// Guards against a departure that is lost because a peer reported it before the server's entry
// arrived, or because the entry lapsed meanwhile.
func TestStatedDepartureOfAnUnlistedServer(t *testing.T) {
	r, now := healthyRoster(catalog("1", 1))
	r.MarkLeaving(now, shed.ServerStart{Server: "x", StartedMs: 1})
	r.Apply(now, store(11, server("x", 11, nil)))
	require.Empty(t, open(r))
	r.Apply(now, store(12, gone("x", 12)))
	now = now.Add(time.Minute)
	r.Tick(now)
	r.Apply(now, store(13, server("x", 13, nil)))
	require.Empty(t, open(r))
}

// Random orders of entries, starts, deletions and statements: a start that said that it leaves
// gets no more work, and any other start gets it if its latest entry is ready.
func TestStatedDeparturesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r, now := healthyRoster(catalog("1", 1))
		said := map[shed.ServerStart]bool{}
		latest := map[shed.ServerID]shed.ServerEntry{}
		for rev := shed.Revision(11); rev < 40; rev++ {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
			// Without an answer for long, entries that are deleted would be kept for a grace period.
			r.Apply(now, store(rev-1))
			id := fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "server"))
			start := shed.ServerStart{Server: shed.ServerID(id), StartedMs: int64(rapid.IntRange(1, 3).Draw(rt, "start"))}
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				said[start] = true
				r.MarkLeaving(now, start)
			case 1:
				delete(latest, start.Server)
				r.Apply(now, store(rev, gone(id, rev)))
			default:
				e := server(id, rev, func(l *shed.ServerEntry) {
					l.StartedMs, l.Leaving = start.StartedMs, rapid.Bool().Draw(rt, "leaving")
				})
				latest[start.Server] = e.Record.(shed.ServerEntry)
				r.Apply(now, store(rev, e))
			}
			r.Tick(now)
			var want []shed.ServerID
			for _, id := range []shed.ServerID{"0", "1", "2"} {
				e, ok := latest[id]
				if ok && !e.Leaving && !said[shed.ServerStart{Server: id, StartedMs: e.StartedMs}] {
					want = append(want, id)
				}
			}
			require.Equal(rt, want, open(r))
		}
	})
}
