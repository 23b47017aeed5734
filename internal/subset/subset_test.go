package subset_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/subset"
)

const ms = time.Millisecond

// engines returns engines of three speeds.
func engines(n int) []subset.Engine {
	out := make([]subset.Engine, n)
	for i := range out {
		out[i] = subset.Engine{ID: shed.ServerID(fmt.Sprint("s", i)), Slowness: []float64{0.6, 1, 1.6}[i%3]}
	}
	return out
}

func choose(prefix uint64, of []subset.Engine) subset.Subset {
	return subset.Choose(prefix, len(of), func(i int) subset.Engine { return of[i] })
}

// members returns the ids of the subset's engines, the first choice first.
func members(s subset.Subset, of []subset.Engine) []shed.ServerID {
	out := make([]shed.ServerID, subset.Size)
	for i, e := range of {
		if cost := s.Cost(i, false); cost < subset.Size*10*ms {
			out[cost/(10*ms)] = e.ID
		}
	}
	return out
}

func TestCost(t *testing.T) {
	of := engines(9)
	s := choose(1, of)
	counts := map[time.Duration]int{}
	for i := range of {
		counts[s.Cost(i, false)]++
	}
	require.Equal(t, map[time.Duration]int{0: 1, 10 * ms: 1, 20 * ms: 1, 400 * ms: 6}, counts)
	for i := range of {
		require.LessOrEqual(t, s.Cost(i, true), 30*ms, "an engine that holds the prefix")
	}
}

// Guards against pools smaller than a subset.
func TestFewEngines(t *testing.T) {
	for n := range subset.Size {
		of := engines(n)
		s := choose(7, of)
		for i := range of {
			require.Less(t, s.Cost(i, false), 400*ms, "%d engines", n)
		}
	}
}

// Guards against prefixes that move when engines come and go: only the subsets of that engine change.
func TestEngineLeaves(t *testing.T) {
	of := engines(140)
	gone := of[17]
	rest := append(append([]subset.Engine{}, of[:17]...), of[18:]...)
	for prefix := range uint64(2000) {
		before, after := members(choose(prefix, of), of), members(choose(prefix, rest), rest)
		kept := 0
		for _, id := range before {
			if id == gone.ID {
				continue
			}
			require.Contains(t, after, id)
			kept++
		}
		require.GreaterOrEqual(t, kept, subset.Size-1)
	}
}

// Guards against VMs that choose by load again when an engine of the subset can't be chosen: the next one in
// order takes its place.
func TestEngineThatCannotBeChosen(t *testing.T) {
	of := engines(140)
	before := members(choose(1, of), of)
	for i := range of {
		if of[i].ID == before[0] {
			of[i].Slowness = math.Inf(1)
		}
	}
	after := members(choose(1, of), of)
	require.Equal(t, before[1:], after[:subset.Size-1])
	require.NotContains(t, after, before[0])
}

// Guards against slow engines with as many prefixes as fast ones, and against engines without any.
func TestSharesFollowSpeed(t *testing.T) {
	of := engines(141)
	first := map[float64]int{}
	used := map[shed.ServerID]bool{}
	const prefixes = 20_000
	for prefix := range uint64(prefixes) {
		id := members(choose(prefix*0x9e3779b97f4a7c15, of), of)[0]
		used[id] = true
		for _, e := range of {
			if e.ID == id {
				first[e.Slowness]++
			}
		}
	}
	require.Len(t, used, len(of))
	weights := 1/(0.6*0.6) + 1 + 1/(1.6*1.6)
	for slowness, n := range first {
		require.InDelta(t, 1/(slowness*slowness)/weights, float64(n)/prefixes, 0.02, "slowness %v", slowness)
	}
}

// BenchmarkChoose measures what a choice among all engines of a large pool costs each request.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{140, 2500} {
		of := engines(n)
		b.Run(fmt.Sprint(n, " engines"), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				choose(uint64(i), of)
			}
		})
	}
}
