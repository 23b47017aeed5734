package picker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/roster"
)

// fetchRate is how many tokens of KV cache engines fetch from each other per millisecond in
// these tests.
const fetchRate = 250

func fetching(shared string, own int) picker.Request {
	w := prompt(shared, own)
	w.FetchRate = fetchRate
	return w
}

// The server that has cached a prefix is overloaded. Another one must be chosen, and fetch the
// prefix instead of reading it again.
func TestPrefixIsFetchedFromACrowdedServer(t *testing.T) {
	from := servers(12, nil)
	p := picker.New(picker.Config{Zone: "a"})
	home := p.Pick(start, fetching("x", 0), from)
	require.Nil(t, home.CacheSource, "no server has cached it yet")
	p.RecordPlacement(start, fetching("x", 0), home)
	p.SetPeerShares("vm2", map[shed.ServerID]shed.ServerShare{home.Server.ID: {Running: 20, Reading: 20000}})
	next := p.Pick(start, fetching("x", 1), from)
	require.NotEqual(t, home.Server.ID, next.Server.ID)
	require.Equal(t, home.Server.ID, next.CacheSource.ID)
	require.Equal(t, shed.Tokens(13000), next.Fetched)
	require.Equal(t, shed.Tokens(3000), next.Missing)
	require.Less(t, next.Time, 200*time.Millisecond, "reading it again takes 260 ms alone")
}

// Servers in several zones have cached the prefix and are overloaded. The cache source must
// be the one in the same zone, since that transfer is faster.
func TestPrefixIsFetchedWithinTheZone(t *testing.T) {
	from := servers(6, nil)
	p := picker.New(picker.Config{Zone: "a"})
	crowded := map[shed.ServerID]shed.ServerShare{}
	for _, s := range from[:5] {
		crowded[s.ID] = shed.ServerShare{Running: 90, Reading: 90000}
	}
	p.Pick(start, fetching("x", 0), from)
	for _, s := range from[:3] {
		p.RecordPeerPrefix(start, s.ID, picker.PrefixChains(fetching("x", 0).Prompt))
	}
	p.SetPeerShares("vm2", crowded)
	c := p.Pick(start, fetching("x", 1), from)
	require.Equal(t, from[5].ID, c.Server.ID)
	require.Equal(t, c.Server.Zone, c.CacheSource.Zone)
}

// Engines don't fetch, or the cache source can't be reached or failed this request: the prefix
// must be read again, and no request waits for it.
func TestPrefixIsNotFetched(t *testing.T) {
	from := servers(2, func(_ int, s *roster.Server) { s.Zone = "a" })
	home, other := from[0], from[1]
	seen := func() *picker.Picker {
		p := picker.New(picker.Config{Zone: "a"})
		p.Pick(start, fetching("x", 0), from)
		p.RecordPeerPrefix(start, home.ID, picker.PrefixChains(fetching("x", 0).Prompt))
		p.SetPeerShares("vm2", map[shed.ServerID]shed.ServerShare{home.ID: {Running: 90, Reading: 90000}})
		return p
	}
	c := seen().Pick(start, fetching("x", 1), from)
	require.Equal(t, other.ID, c.Server.ID)
	require.Equal(t, home.ID, c.CacheSource.ID)

	w := fetching("x", 1)
	w.FetchRate = 0
	require.Nil(t, seen().Pick(start, w, from).CacheSource)
	w = fetching("x", 1)
	w.Avoid = []shed.ServerID{home.ID}
	require.Nil(t, seen().Pick(start, w, from).CacheSource)
	p := seen()
	p.RecordEnd(start, picker.Choice{Server: home}, picker.End{Failed: true, Unreached: true})
	require.Nil(t, p.Pick(start, fetching("x", 1), from).CacheSource)
	require.Nil(t, seen().Pick(start.Add(time.Minute), fetching("x", 1), from).CacheSource, "its retention period is over")
}

// Bursts bring prefixes that few servers have cached. Wherever the load went, engines read
// them again, and first events were later for all requests.
func TestHotPrefixInABurst(t *testing.T) {
	without, with := replayHotPrefixes(0), replayHotPrefixes(fetchRate)
	t.Logf("read again: %+v; fetched: %+v", without, with)
	require.Less(t, with.read, without.read)
	require.Less(t, with.p90, without.p90)
}

// replayResult holds the prompt tokens that engines read in a replay, and the time by which 90
// of 100 first events had arrived.
type replayResult struct {
	read shed.Tokens
	p90  time.Duration
}

// replayHotPrefixes replays a burst of requests with six prefixes on nine engines.
func replayHotPrefixes(rate float64) replayResult {
	const perSec, readRate, last = 25, 38, 10 * time.Second
	rng := rand.New(rand.NewPCG(2, 2))
	from := servers(9, nil)
	p := picker.New(picker.Config{Zone: "a", ReadRate: readRate})
	free := map[shed.ServerID]time.Time{}
	has := map[string]bool{}
	type running struct {
		c  picker.Choice
		at time.Time
	}
	var runs []running
	var took []time.Duration
	var work replayResult
	for now := start; now.Before(start.Add(last)); {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSec))
		runs = slices.DeleteFunc(runs, func(r running) bool {
			if now.Before(r.at) {
				return false
			}
			p.RecordPromptRead(r.c)
			p.RecordEnd(r.at, r.c, picker.End{})
			return true
		})
		name := fmt.Sprint("hot", rng.IntN(6))
		w := prompt(name, int(now.UnixNano()))
		w.FetchRate = rate
		c := p.Pick(now, w, from)
		p.RecordPlacement(now, w, c)
		missing := shed.Tokens(3000)
		if key := string(c.Server.ID) + name; !has[key] {
			has[key] = true
			missing += 13000 - c.Fetched
		}
		work.read += missing
		ends := shed.Later(now, free[c.Server.ID]).Add(time.Duration(missing) * time.Millisecond / readRate)
		if c.CacheSource != nil {
			ends = ends.Add(time.Duration(c.Fetched) * time.Millisecond / fetchRate)
		}
		free[c.Server.ID] = ends
		took = append(took, ends.Sub(now))
		runs = append(runs, running{c: c, at: ends})
	}
	slices.Sort(took)
	work.p90 = took[len(took)*9/10]
	return work
}
