package chain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/chain"
	"jasmineshed/internal/room"
)

const ms = time.Millisecond

var limits = shed.BatchLimits{MaxPieces: 10, CallTime: 150 * ms, PieceTime: 10 * ms, ResultRetention: 4 * time.Second}

func TestLongestPath(t *testing.T) {
	c := chain.Chain{
		{Pieces: 1, Limits: limits, Servers: 2},
		{Pieces: 5, Limits: limits, Servers: 2, After: []int{0}},
		{Pieces: 2, Limits: limits, Servers: 2},
		{Pieces: 30, Limits: limits, Servers: 2, After: []int{1, 2}},
	}
	require.Equal(t, 250*ms, c.MinTimeAfter(1))
	require.Equal(t, 450*ms, c.MinTimeAfter(0))
	require.Equal(t, 250*ms, c.MinTimeAfter(2))
	require.Equal(t, 610*ms, c.MinTime())
	c[1].Forecast = batch.Forecast{Slow: 2}
	require.Equal(t, 810*ms, c.MinTime(), "a slow pool")
	c[2].Forecast = batch.Forecast{Timely: 2 * time.Second, Last: 3 * time.Second}
	require.Equal(t, 2260*ms, c.Forecast().Timely)
	require.Equal(t, 3260*ms, c.Forecast().Last)
	c[2].ExpectedPieces = 80
	require.Equal(t, 3260*ms, c.Forecast().Timely, "80 expected pieces at 80 a second")
	c[3].Servers = 0
	require.Equal(t, batch.NoServers, c.Forecast().Timely)
}

// A step must not be predicted done before there is capacity for its results, also with pieces that are
// still to come; small results, and steps that wait longer for calls, are predicted as without it.
func TestCapacityForResults(t *testing.T) {
	full := batch.Forecast{Timely: 500 * ms, Last: 600 * ms, Room: room.Forecast{PendingBytes: 50_000_000, ByteRate: 100_000_000}}
	large := shed.BatchLimits{MaxPieces: 10, CallTime: 150 * ms, PieceTime: 10 * ms, LargestResult: 3_000_000}
	for _, c := range []struct {
		name           string
		result         int64
		expected       int64
		timely, latest time.Duration
	}{
		{"large results", 3_000_000, 0, 780 * ms, 780 * ms},
		{"and pieces still to come", 3_000_000, 20_000_000, 980 * ms, 980 * ms},
		{"small results", 8000, 20_000_000, 500 * ms, 600 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := chain.Chain{{Pieces: 1, Limits: large, Servers: 2, Forecast: full, ResultBytes: c.result, ExpectedBytes: c.expected}}.Forecast()
			require.Equal(t, c.timely, got.Timely)
			require.Equal(t, c.latest, got.Last)
		})
	}
	full.Timely = 900 * ms
	slow := chain.Chain{{Pieces: 1, Limits: large, Servers: 2, Forecast: full, ResultBytes: 3_000_000}}
	require.Equal(t, 900*ms, slow.Forecast().Timely, "the wait for calls is longer")
}
