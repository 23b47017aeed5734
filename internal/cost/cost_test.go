package cost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

func TestLedgerIsSortedAndBounded(t *testing.T) {
	l := New(Config{MaxLines: 3})
	for _, id := range []shed.PipelineID{"c", "a", "b", "d", "e", "a"} {
		l.Add(Key{Pipeline: id, Stage: "s"}, Useful, 5)
		l.Add(Key{Pipeline: id, Stage: "s"}, Late, 1)
		l.Add(Key{Pipeline: id, Stage: "s"}, Cancelled, 2)
	}
	lines := l.Snapshot()
	var names []shed.PipelineID
	for i := range lines {
		names = append(names, lines[i].Pipeline)
	}
	require.Equal(t, []shed.PipelineID{"_other", "a", "b", "c"}, names)
	require.Equal(t, shed.Cost(10), lines[1].Cost[Useful])
	require.Equal(t, uint64(2), lines[1].Calls[Late])
	require.Equal(t, shed.Cost(6), lines[1].Wasted())
	require.Equal(t, shed.Cost(10), lines[0].Cost[Useful])
}

func TestOf(t *testing.T) {
	require.Zero(t, Of(-time.Second, 4))
	require.Equal(t, Of(time.Second, 1), Of(time.Second, 0))
	require.Equal(t, Of(time.Second, 1)/4, Of(time.Second, 4))
	require.Positive(t, Of(6*time.Millisecond, 8))
}
