package batch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
)

// Guards against an answer that a server repeats late, on the connection of another call, and whose results go to the
// requests of that call.
func TestRepeatedAnswerIsRecognized(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var r batch.Received
	answer := func(refs ...shed.ResultRef) (out []shed.PieceResult) {
		for _, ref := range refs {
			out = append(out, shed.PieceResult{Ref: ref})
		}
		return out
	}
	require.False(t, r.Repeats(now, answer("a/1", "a/2")))
	require.True(t, r.Repeats(now.Add(20*time.Second), answer("a/1", "a/2")))
	require.True(t, r.Repeats(now.Add(31*time.Second), answer("a/3", "a/2")))
	require.False(t, r.Repeats(now.Add(32*time.Second), answer("a/3", "")))
	require.False(t, r.Repeats(now.Add(33*time.Second), answer("")), "failed pieces have no reference")
	require.True(t, r.Repeats(now.Add(40*time.Second), answer("a/1")), "kept for another generation")
}
