package gauge

import (
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// BenchmarkTokensThroughDaemon streams 60 answers at once, a token a
// millisecond each, through one daemon. The figure counts the processor time of
// the engine's stand-in, the daemon and the callers together.
func BenchmarkTokensThroughDaemon(b *testing.B) {
	const streams, tokens = 60, 1000
	rig, err := NewRig(b.Context(), Scenario{
		Name: "tokens", Policy: "affinity",
		Fleet:      FleetSize{Zones: 1, Daemons: 1, Drafters: 1, OtherServers: 1, Capacity: 64, ColdCapacity: 64, TokenTime: time.Millisecond},
		Workspaces: []Share{{"noord", 1}},
	}, io.Discard)
	require.NoError(b, err)
	defer rig.Close()
	began := processorTime(b)
	for b.Loop() {
		var group errgroup.Group
		for n := range streams {
			group.Go(func() error {
				a := Arrival{Number: n, Workspace: "noord", Pipeline: "rewrite", Input: instructions("noord", n)}
				_, err := rig.Call(b.Context(), a, tokens, func() {})
				return err
			})
		}
		require.NoError(b, group.Wait())
	}
	spent := processorTime(b) - began
	b.ReportMetric(float64(b.N*streams*tokens)/spent.Seconds(), "tokens/core-s")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var use syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &use))
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}
