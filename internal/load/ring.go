package load

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
)

// ringSize is how many recent times make a median.
const ringSize = 32

// ring holds recent times.
type ring struct {
	times [ringSize]time.Duration
	n     int
	next  int
	mid   time.Duration
}

func (r *ring) add(d time.Duration) {
	r.times[r.next] = d
	r.next = (r.next + 1) % ringSize
	r.n = min(r.n+1, ringSize)
	sorted := r.times
	slices.Sort(sorted[:r.n])
	r.mid = sorted[r.n/2]
}

// median returns 0 if there are too few times to tell.
func (r *ring) median() time.Duration {
	if r.n < ringSize/8 {
		return 0
	}
	return r.mid
}

func compareCalls(a, b shed.Call) int {
	return cmp.Or(
		cmp.Compare(a.Request, b.Request),
		cmp.Compare(a.Stage, b.Stage),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}
