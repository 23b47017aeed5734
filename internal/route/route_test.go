package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

var zero = time.Unix(1_700_000_000, 0)

func candidates(n, capacity int) []shed.Candidate {
	out := make([]shed.Candidate, n)
	for i := range out {
		out[i].Server = &shed.Server{ID: shed.ServerID(fmt.Sprintf("s%03d", i)), Capacity: capacity, ColdCapacity: 1}
	}
	return out
}

func TestNamed(t *testing.T) {
	for _, name := range []string{NameAffinity, NameRoundRobin, NameLeastOutstanding, NameTwoChoices} {
		p, err := NewPolicy(name, 1)
		require.NoError(t, err)
		for n := 1; n < 5; n++ {
			i := p.Pick(zero, 7, candidates(n, 4))
			require.True(t, i >= 0 && i < n)
		}
	}
	_, err := NewPolicy("best", 1)
	require.ErrorIs(t, err, ErrUnknownPolicy)
}

func TestAffinityKeepsAPrefixTogether(t *testing.T) {
	p := NewAffinity(AffinityConfig{Seed: 1})
	from := candidates(192, 8)
	used := map[int]bool{}
	for range 100 {
		used[p.Pick(zero, 42, from)] = true
	}
	require.Len(t, used, 1)
	home := p.Pick(zero, 42, from)
	// Another daemon, and a fleet that lost other servers, choose alike.
	other := NewAffinity(AffinityConfig{Seed: 2})
	require.Equal(t, home, other.Pick(zero, 42, from))
}

func TestAffinityYields(t *testing.T) {
	p := NewAffinity(AffinityConfig{Seed: 1})
	cases := map[string]func(*shed.Candidate){
		"to load":     func(c *shed.Candidate) { c.Running = 7 },
		"to own work": func(c *shed.Candidate) { c.OwnCalls = 7 },
		"to slowness": func(c *shed.Candidate) { c.MedianCallTime = 10 * time.Second },
	}
	for name, burden := range cases {
		t.Run(name, func(t *testing.T) {
			from := candidates(16, 8)
			for i := range from {
				from[i].MedianCallTime = time.Second
			}
			first := p.Pick(zero, 42, from)
			burden(&from[first])
			second := p.Pick(zero, 42, from)
			require.NotEqual(t, first, second)
			burden(&from[second])
			require.NotContains(t, []int{first, second}, p.Pick(zero, 42, from))
		})
	}
}

// One prefix makes up all of the load. No server may fill up while others
// idle: the bound holds however popular the prefix is.
func TestAffinityBoundsLoadOfOnePrefix(t *testing.T) {
	p := NewAffinity(AffinityConfig{Seed: 1})
	from := candidates(10, 10)
	for range 60 {
		i := p.Pick(zero, 42, from)
		from[i].Running++
		from[i].OwnCalls++
	}
	for i := range from {
		require.LessOrEqual(t, from[i].Running, 9)
		require.GreaterOrEqual(t, from[i].Running, 4)
	}
}

// Many daemons hold the same old report, by which one server is the least
// loaded. If all picked it, it would be run over before the next report.
func TestOldReportsAreNotFollowedByAll(t *testing.T) {
	from := candidates(10, 10)
	for i := range from {
		from[i].Running = 5
		from[i].Age = time.Second
	}
	from[3].Running = 4
	picked := map[int]int{}
	for seed := range uint64(200) {
		picked[NewAffinity(AffinityConfig{Seed: seed}).Pick(zero, 0, from)]++
	}
	require.Less(t, picked[3], 150)
	require.Greater(t, len(picked), 5)
}

func BenchmarkPick192(b *testing.B) {
	for _, name := range []string{NameAffinity, NameRoundRobin, NameLeastOutstanding, NameTwoChoices} {
		b.Run(name, func(b *testing.B) {
			p, _ := NewPolicy(name, 1)
			from := candidates(192, 8)
			b.ReportAllocs()
			for i := range b.N {
				p.Pick(zero, uint64(i), from)
			}
		})
	}
}
