package picker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/roster"
)

// slowness makes the servers with these ids take so long.
func slowness(of map[shed.ServerID]float64) func(*roster.Server) float64 {
	return func(s *roster.Server) float64 {
		if x, ok := of[s.ID]; ok {
			return x
		}
		return 1
	}
}

// Guards against a slow engine that gets a request because its work is predicted at the usual speed.
func TestPredictedTimeFollowsSlowness(t *testing.T) {
	from := servers(1, nil)
	p := picker.New(picker.Config{Zone: "a"})
	p.Pick(start, prompt("x", 0), from)
	p.SetPeerShares("vm2", map[shed.ServerID]shed.ServerShare{from[0].ID: {Running: 5, Reading: 10_000}})
	usual := p.Pick(start, prompt("x", 0), from)
	w := prompt("x", 0)
	w.Slowness = slowness(map[shed.ServerID]float64{from[0].ID: 1.5})
	slow := p.Pick(start, w, from)
	require.InDelta(t, 1, usual.Slowness, 1e-9)
	require.InDelta(t, 1.5, slow.Slowness, 1e-9)
	require.Equal(t, 540*time.Millisecond, usual.Time, "reading 16,000 and 10,000 tokens, 5 running")
	require.Equal(t, 810*time.Millisecond, slow.Time)
}

// Guards against new prefixes that go to engines regardless of speed, or all to the fast ones, and
// against a change for pools whose servers state no work time.
func TestNewPrefixesAreSharedOutBySpeed(t *testing.T) {
	from := servers(90, func(_ int, s *roster.Server) { s.Zone = "a" })
	p := picker.New(picker.Config{Zone: "a"})
	factors := map[shed.ServerID]float64{}
	for i, s := range from {
		factors[s.ID] = []float64{0.6, 1, 1.6}[i%3]
	}
	chosen := map[float64]float64{}
	for i := range 900 {
		w := prompt(fmt.Sprint("shared", i), i)
		plain := p.Pick(start, w, from)
		w.Slowness = slowness(nil)
		same := p.Pick(start, w, from)
		require.Equal(t, plain, same)
		w.Slowness = slowness(factors)
		chosen[p.Pick(start, w, from).Slowness]++
	}
	// A third of the engines each: 456, 273 and 171 of 900 are in proportion to their speed.
	require.InDelta(t, 456, chosen[0.6], 60)
	require.InDelta(t, 273, chosen[1], 60)
	require.InDelta(t, 171, chosen[1.6], 60)
}

// Guards against copies of KV cache over fast links for any small load on the engine with the prefix.
func TestLeastCostOfACopy(t *testing.T) {
	for _, c := range []struct {
		name      string
		fetchRate float64
		floor     time.Duration
		queued    shed.Tokens
		copied    bool
	}{
		{"fast link, some load", 2600, 0, 1500, true},
		{"fast link, some load, least cost", 2600, picker.DefaultMinFetchCost, 1500, false},
		{"fast link, much load, least cost", 2600, picker.DefaultMinFetchCost, 6000, true},
		{"link at least cost, some load", 250, 0, 1500, false},
		{"link at least cost, much load", 250, picker.DefaultMinFetchCost, 6000, true},
	} {
		from := servers(2, func(_ int, s *roster.Server) { s.Zone = "a" })
		p := picker.New(picker.Config{Zone: "a"})
		w := prompt("x", 0)
		w.FetchRate, w.MinFetchCost = c.fetchRate, c.floor
		p.Pick(start, w, from)
		p.RecordPeerPrefix(start, from[0].ID, picker.PrefixChains(w.Prompt))
		p.SetPeerShares("vm2", map[shed.ServerID]shed.ServerShare{from[0].ID: {Reading: c.queued}})
		got := p.Pick(start, w, from)
		require.Equal(t, c.copied, got.CacheSource != nil, c.name)
		if c.copied {
			// The transfer and the reading of 3,000 tokens: the least cost is no time.
			took := 65*time.Millisecond + time.Duration(13_000/c.fetchRate*float64(time.Millisecond))
			require.Equal(t, took, got.Time, c.name)
		}
	}
}
