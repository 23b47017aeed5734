package chain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/chain"
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
	require.Equal(t, 3260*ms, c.Forecast().Timely, "80 pieces at 80 a second")
	c[3].Servers = 0
	require.Equal(t, batch.NoServers, c.Forecast().Timely)
}
