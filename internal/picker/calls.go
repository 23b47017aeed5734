package picker

import (
	"math"
	"time"
)

const (
	// defaultCallTime is assumed for plain calls until a server of the pool has been called.
	defaultCallTime = 30 * time.Millisecond
	// callTimeWeight is the weight of the newest sample in a server's mean call time.
	callTimeWeight = 0.2
	// callTimeHalfLife is the time in which the difference to the pool's fastest server halves
	// without new samples: a slow server may have recovered.
	callTimeHalfLife = time.Second
	// measureEvery is how many plain calls there are for one that measures the server with the
	// oldest sample, among those that cost at most measureCost more than the best one.
	measureEvery = 8
	measureCost  = 5 * time.Millisecond
)

// callTime is the mean time of a server's plain calls. Zero means that none was measured.
type callTime struct {
	mean       time.Duration
	measuredAt time.Time
}

func (c *callTime) add(now time.Time, sample time.Duration) {
	if c.mean == 0 {
		c.mean = sample
	}
	c.mean += time.Duration(callTimeWeight * float64(sample-c.mean))
	c.measuredAt = now
}

// predict returns the time of a call that is made now. fastest is the shortest mean of any
// server of the pool, which is also assumed for a server that was not called yet, so that a new or
// reopened one is tried.
func (c *callTime) predict(now time.Time, fastest time.Duration) time.Duration {
	if c.mean <= fastest {
		return fastest
	}
	remaining := math.Exp2(-float64(now.Sub(c.measuredAt)) / float64(callTimeHalfLife))
	return fastest + time.Duration(float64(c.mean-fastest)*remaining)
}

// isMeasurement reports whether the next plain call is one that measures the server with the
// oldest sample.
//
// Load pattern: a few equal servers, one of which was slow once. By mean call times alone,
// another one is always a little faster, and that server is never called and measured again.
func (p *Picker) isMeasurement(w *Request) bool {
	return !w.Engine && p.plainCalls%measureEvery == measureEvery-1
}
