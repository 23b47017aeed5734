package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

// rosterOf returns a roster of n servers in ten pools.
func rosterOf(n int) *roster.Roster {
	r := roster.New(roster.Config{})
	u := roster.Update{Source: roster.FromStore, AsOf: 1, Complete: true}
	for i := range n {
		id := fmt.Sprintf("i-%05d", i)
		u.Items = append(u.Items, roster.Entry{
			Item: shed.Item{Key: "s/" + id, Revision: 1},
			Record: shed.ServerEntry{
				ID: shed.ServerID(id), Pool: shed.PoolID(fmt.Sprint("p", i%10)), Zone: shed.ZoneID(string(rune('a' + i%3))),
			},
		})
	}
	r.Apply(time.Unix(1, 0), u)
	return r
}

// BenchmarkTick ticks the rosters of a small and a large fleet while no entry has lapsed.
//
//	go test ./internal/roster -run xxx -bench Tick -cpu 1
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{150, 3000} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			r := rosterOf(n)
			for b.Loop() {
				r.Tick(time.Unix(1, 0).Add(roster.DefaultLapseGrace))
			}
		})
	}
}

// BenchmarkOpenServers lists the open servers of a pool.
func BenchmarkOpenServers(b *testing.B) {
	r := rosterOf(3000)
	for b.Loop() {
		r.OpenServers("p1")
	}
}

// A fleet before 3,000 servers ticks ten times a second at each VM, and each request lists the
// open servers several times. Guards against work there that grows with the servers.
func TestTicksAndListsCostNothing(t *testing.T) {
	r := rosterOf(3000)
	require.Len(t, r.OpenServers("p1"), 300)
	allocs := testing.AllocsPerRun(100, func() {
		r.Tick(time.Unix(1, 0).Add(roster.DefaultLapseGrace))
		r.OpenServers("p1")
	})
	require.Zero(t, allocs)
}
