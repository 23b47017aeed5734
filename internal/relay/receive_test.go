package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against resumed streams that are refused because they would miss the target of a first event, which their
// callers had long ago.
func TestTargetOfAResumedStream(t *testing.T) {
	for _, c := range []struct {
		target, wait time.Duration
		resumes      bool
		want         time.Duration
	}{
		{time.Second, 8 * time.Second, false, time.Second},
		{time.Second, 8 * time.Second, true, 6 * time.Second},
		{time.Second, 1200 * time.Millisecond, true, time.Second},
		{time.Second, 500 * time.Millisecond, true, 500 * time.Millisecond},
	} {
		require.Equal(t, c.want, targetOf(c.target, c.wait, c.resumes))
	}
}
