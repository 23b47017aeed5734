package load

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
)

// ringSize is how many recent durations the median is taken over.
const ringSize = 32

// ring holds recent durations.
type ring struct {
	times        [ringSize]time.Duration
	count        int
	next         int
	cachedMedian time.Duration
}

func (r *ring) add(d time.Duration) {
	r.times[r.next] = d
	r.next = (r.next + 1) % ringSize
	r.count = min(r.count+1, ringSize)
	sorted := r.times
	slices.Sort(sorted[:r.count])
	r.cachedMedian = sorted[r.count/2]
}

// median returns 0 if there are fewer than ringSize/8 durations.
func (r *ring) median() time.Duration {
	if r.count < ringSize/8 {
		return 0
	}
	return r.cachedMedian
}

func compareCalls(a, b shed.Call) int {
	return cmp.Or(
		cmp.Compare(a.Request, b.Request),
		cmp.Compare(a.Stage, b.Stage),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}
