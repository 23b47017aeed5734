package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/share"
)

var start = time.Unix(1_700_000_000, 0)

// ask is a demand in pieces a second.
type ask struct {
	workspace  shed.WorkspaceID
	rank, rate int
}

// observe applies steady demand for a while, in a request every 100 ms, and returns the end.
func observe(t *share.Table, from time.Time, d time.Duration, asks []ask) time.Time {
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(100 * time.Millisecond) {
		for _, a := range asks {
			t.Observe(now, a.workspace, a.rank, a.rate/10)
		}
	}
	return now.Add(-100 * time.Millisecond)
}

// Guards against wrong shares: of a pool with 100 pieces a second.
func TestOver(t *testing.T) {
	for name, tc := range map[string]struct {
		asks []ask
		over []shed.WorkspaceID
	}{
		"no demand":                    {},
		"demand below the rate":        {asks: []ask{{"a", 0, 80}, {"b", 0, 10}}},
		"alone":                        {asks: []ask{{"a", 0, 400}}},
		"one above its share":          {asks: []ask{{"a", 0, 200}, {"b", 0, 40}}, over: []shed.WorkspaceID{"a"}},
		"both above their shares":      {asks: []ask{{"a", 0, 200}, {"b", 0, 80}}, over: []shed.WorkspaceID{"a", "b"}},
		"idle share is lent":           {asks: []ask{{"a", 0, 70}, {"b", 0, 10}, {"c", 0, 90}}, over: []shed.WorkspaceID{"a", "c"}},
		"lent share is enough for one": {asks: []ask{{"a", 0, 40}, {"b", 0, 10}, {"c", 0, 90}}, over: []shed.WorkspaceID{"c"}},
		"urgent demand comes first":    {asks: []ask{{"a", 0, 60}, {"b", 1, 10}, {"c", 1, 60}}, over: []shed.WorkspaceID{"c"}},
		"urgent demand isn't compared": {asks: []ask{{"a", 0, 70}, {"a", 1, 10}, {"b", 1, 40}}, over: []shed.WorkspaceID{"b"}},
		"less urgent isn't compared":   {asks: []ask{{"a", 0, 150}, {"b", 0, 30}, {"c", 1, 90}}, over: []shed.WorkspaceID{"a"}},
		"unknown ranks":                {asks: []ask{{"a", -1, 70}, {"b", 200, 90}, {"c", 300, 10}}, over: []shed.WorkspaceID{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			tb := share.New()
			require.False(t, tb.Over(start, "a"))
			tb.SetRate(100)
			now := observe(tb, start, 10*time.Second, tc.asks)
			var over []shed.WorkspaceID
			for _, w := range []shed.WorkspaceID{"a", "b", "c", "unknown"} {
				if tb.Over(now, w) {
					over = append(over, w)
				}
			}
			require.Equal(t, tc.over, over)
			require.False(t, tb.Over(now.Add(10*time.Second), "a"), "demand decays")
			require.False(t, tb.Over(now.Add(time.Hour), "a"))
			tb.SetRate(0)
			require.False(t, tb.Over(now, "a"), "rate unknown")
		})
	}
}

// Guards against urgent requests of a workspace that count as over because of its less urgent ones.
func TestOverAtRank(t *testing.T) {
	tb := share.New()
	tb.SetRate(100)
	now := observe(tb, start, 5*time.Second, []ask{{"a", 1, 20}, {"a", 2, 200}, {"b", 2, 20}, {"b", 3, 10}})
	require.False(t, tb.OverAt(now, "a", 1))
	require.True(t, tb.OverAt(now, "a", 2))
	require.False(t, tb.OverAt(now, "b", 2))
	require.True(t, tb.OverAt(now, "b", 3), "nothing is left for this rank")
	require.True(t, tb.Over(now, "a"))
	require.False(t, tb.Over(now, "b"))
}

// Guards against shares that take seconds to apply after a start of the coordinator, and against demand
// that looks higher than it is because it began just now.
func TestFirstSecond(t *testing.T) {
	tb := share.New()
	tb.SetRate(100)
	now := observe(tb, start, time.Second, []ask{{"a", 0, 200}, {"b", 0, 20}})
	require.True(t, tb.Over(now, "a"))
	require.False(t, tb.Over(now, "b"))
	tb = share.New()
	tb.SetRate(100)
	require.False(t, tb.Over(observe(tb, start, time.Second, []ask{{"a", 0, 70}, {"b", 0, 20}}), "a"))
}

// Guards against a workspace that asks seldom and counts as over because of the request just made.
func TestSeldomRequestIsNotOver(t *testing.T) {
	tb := share.New()
	tb.SetRate(10)
	var asks []ask
	for i := range 20 {
		asks = append(asks, ask{shed.WorkspaceID(fmt.Sprint("w", i)), 0, 20})
	}
	now := observe(tb, start, 5*time.Second, asks)
	tb.Observe(now, "seldom", 0, 12)
	require.False(t, tb.Over(now, "seldom"))
	require.True(t, tb.Over(now, "w1"))
}

// Guards against memory that grows with the number of workspaces, and against those that are not counted
// separately: the ones that ask most must be found, and small ones never count as over.
func TestManyWorkspaces(t *testing.T) {
	tb := share.New()
	tb.SetRate(20_000)
	now := start
	for second := range 5 {
		for i := range 27_000 {
			now = start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/27_000)
			w := shed.WorkspaceID(fmt.Sprint("w", i))
			tb.Observe(now, w, 0, 1)
			if i%100 == 0 {
				require.False(t, tb.Over(now, w))
			}
			if i%9 == 0 {
				large := shed.WorkspaceID(fmt.Sprint("large", i%10))
				tb.Observe(now, large, 0, 10)
				if second > 0 {
					require.True(t, tb.Over(now, large))
				}
			}
		}
	}
	for i := range 10 {
		require.True(t, tb.Over(now, shed.WorkspaceID(fmt.Sprint("large", i))))
	}
	require.LessOrEqual(t, tb.Workspaces(), 256)
}

// Guards against demand that is lost or kept when counts are scaled down.
func TestLongRun(t *testing.T) {
	tb := share.New()
	tb.SetRate(100)
	asks := []ask{{"a", 0, 200}, {"b", 0, 40}}
	now := observe(tb, start, time.Second, []ask{{"gone", 0, 500}})
	for range 20 {
		now = observe(tb, now, 7*time.Second, asks)
		require.True(t, tb.Over(now, "a"))
		require.False(t, tb.Over(now, "b"))
	}
	require.Equal(t, 2, tb.Workspaces())
}
