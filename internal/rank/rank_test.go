package rank_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

func vms(n int) []shed.VM {
	out := make([]shed.VM, n)
	for i := range out {
		out[i] = shed.VM(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
	}
	return out
}

func TestOwnersDoNotDependOnOrder(t *testing.T) {
	for _, n := range []int{1, 2, 9, 52} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			all := vms(n)
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			for k := range 50 {
				key := fmt.Sprintf("server-%d", k)
				want := rank.Owners(key, all, n)
				require.Len(t, want, n)
				rng.Shuffle(n, func(i, j int) { all[i], all[j] = all[j], all[i] })
				require.Equal(t, want, rank.Owners(key, all, n))
				first, ok := rank.Owner(key, all)
				require.True(t, ok)
				require.Equal(t, want[0], first)
				require.Equal(t, want[:min(3, n)], rank.Owners(key, all, 3))
			}
		})
	}
}

func TestOneVMGoneMovesOnlyItsKeys(t *testing.T) {
	all := vms(52)
	for k := range 2000 {
		key := fmt.Sprintf("server-%d", k)
		before, _ := rank.Owner(key, all)
		after, _ := rank.Owner(key, all[1:])
		if before != all[0] {
			require.Equal(t, before, after)
		}
	}
}

func TestKeysSpreadEvenly(t *testing.T) {
	all := vms(52)
	count := map[shed.VM]int{}
	const keys = 52 * 400
	for k := range keys {
		vm, _ := rank.Owner(fmt.Sprintf("engine-%d#%d", k/4, k%4), all)
		count[vm]++
	}
	for vm, n := range count {
		require.InDelta(t, 400, n, 100, vm)
	}
}

func TestNobody(t *testing.T) {
	_, ok := rank.Owner("k", nil)
	require.False(t, ok)
	require.Empty(t, rank.Owners("k", nil, 3))
	require.Empty(t, rank.Owners("k", vms(3), 0))
}

func BenchmarkOwners(b *testing.B) {
	for _, n := range []int{52, 670} {
		all := vms(n)
		b.Run(fmt.Sprintf("owner-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				rank.Owner("engine-17#1", all)
			}
		})
		b.Run(fmt.Sprintf("owners3-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				rank.Owners("engine-17#1", all, 3)
			}
		})
	}
}
