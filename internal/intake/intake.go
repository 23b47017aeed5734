// Package intake decides when a VM takes new connections of callers. It does no I/O and reads no clock.
//
// Load pattern: the platform's balancer sends most new connections to one VM. What it takes beyond its
// processor and link makes everything late that it has. A caller whose connection is refused tries another VM
// at once, so the VM takes as many connections as it can serve, and leaves open ones alone.
package intake

import (
	"math"
	"time"

	"jasmineshed/internal/strain"
)

const (
	// Interval is the time between two adjustments.
	Interval = 100 * time.Millisecond
	// rateWindow is the number of intervals over which taken connections are averaged.
	rateWindow = 3
	// minRate is the least limit.
	minRate = 4
	// decrease is the factor by which the rate falls each time that the VM is found to be strained, growth the factor
	// by which it rises in each interval without strain.
	decrease, growth = 0.6, 1.03
	// relief is the excess of delays below which connections are taken again.
	relief = 0.2
	// maxDrain is the longest time without any connection.
	maxDrain = 2 * time.Second
	// calmTime is how long the limit has to be unused until there is none.
	calmTime = 2 * time.Second
	// saturatedAfter is how long there has to be a limit until the platform should send new connections elsewhere.
	saturatedAfter = time.Second
	// burstTime is the time whose connections may be taken at once, maxPause the longest pause.
	burstTime = 50 * time.Millisecond
	maxPause  = 100 * time.Millisecond
	// drainPoll is how often it is checked whether the VM is still strained.
	drainPoll = 20 * time.Millisecond
)

// State is what an adjustment is based on.
type State struct {
	Load strain.Load
	// Alternatives is set if most other VMs can take the callers that are turned away.
	Alternatives bool
}

// Valve limits the rate of new connections. It is not safe for concurrent use.
type Valve struct {
	// limit is the number of connections per second that may be taken; 0 means no limit.
	limit float64
	// tokens are connections that may be taken now, as of tokensAt; at least -1 and at most burst().
	tokens   float64
	tokensAt time.Time
	// drainedFrom is since when nothing has been taken, so that what was taken before can be finished; zero if the VM is
	// not strained.
	drainedFrom time.Time
	// taken are the connections taken in the last intervals, in a ring; at is the current one.
	taken [rateWindow]int
	at    int
	// limitedFrom is since when there is a limit, if there is one.
	limitedFrom time.Time
	// adjustedAt is the last adjustment, pausedAt the last time that a connection had to wait.
	adjustedAt, pausedAt time.Time
}

// New returns a Valve without a limit.
func New() *Valve { return &Valve{} }

// Limited reports whether connections are turned away.
func (v *Valve) Limited() bool { return v.limit > 0 }

// Saturated reports whether connections have been turned away for so long that the platform should send new ones
// elsewhere.
func (v *Valve) Saturated(now time.Time) bool {
	return v.limit > 0 && now.Sub(v.limitedFrom) >= saturatedAfter
}

// Limit returns how many connections are taken per second; 0 means no limit.
func (v *Valve) Limit() float64 { return v.limit }

// Taken records that a connection was taken.
func (v *Valve) Taken(now time.Time) {
	v.taken[v.at]++
	if v.limit == 0 {
		return
	}
	v.refill(now)
	v.tokens = max(v.tokens-1, -1)
	if !v.drainedFrom.IsZero() {
		v.drainedFrom = now
	}
}

// Pause returns for how long no connection may be taken; 0 means that one may be now.
func (v *Valve) Pause(now time.Time) time.Duration {
	if v.limit == 0 {
		return 0
	}
	v.refill(now)
	if !v.drainedFrom.IsZero() {
		v.pausedAt = now
		return max(min(maxDrain-now.Sub(v.drainedFrom), drainPoll), 0)
	}
	if v.tokens >= 1 {
		return 0
	}
	v.pausedAt = now
	missing := v.burst() - v.tokens
	return min(time.Duration(missing/v.limit*float64(time.Second)), maxPause)
}

// Adjust adapts the limit to the VM's load. It is called often; a limit changes once in an Interval, and ends at once
// if callers have no alternative.
func (v *Valve) Adjust(now time.Time, s State) {
	if !s.Alternatives {
		v.limit, v.drainedFrom = 0, time.Time{}
	}
	if now.Sub(v.adjustedAt) < Interval {
		return
	}
	span := max(now.Sub(v.adjustedAt), Interval)
	v.adjustedAt = now
	rate := v.rate(span)
	switch {
	case !s.Alternatives:
	case s.Load.Strained() && v.drainedFrom.IsZero():
		v.drain(now, rate)
	case s.Load.Excess() > relief && !v.drainedFrom.IsZero():
	case v.limit > 0 && now.Sub(v.pausedAt) > calmTime:
		v.limit, v.drainedFrom = 0, time.Time{}
	case v.limit > 0:
		v.drainedFrom = time.Time{}
		v.limit *= growth
	}
	v.at = (v.at + 1) % rateWindow
	v.taken[v.at] = 0
}

// drain stops taking connections until the VM isn't strained any more. What waits at a full link or processor
// must be finished first: otherwise each connection adds to it before it is known to be too much.
func (v *Valve) drain(now time.Time, rate float64) {
	v.drainedFrom = now
	if v.limit == 0 {
		v.limitedFrom = now
	}
	if v.limit == 0 || rate < v.limit {
		v.limit = rate
	}
	v.limit = max(v.limit*decrease, minRate)
	v.tokens, v.tokensAt, v.pausedAt = 0, now, now
}

// rate returns the connections taken per second lately; span is the length of the current interval.
func (v *Valve) rate(span time.Duration) float64 {
	n := 0
	for _, k := range v.taken {
		n += k
	}
	return float64(n) / ((rateWindow-1)*Interval + span).Seconds()
}

// burst returns how many connections may be taken at once.
func (v *Valve) burst() float64 { return math.Max(v.limit*burstTime.Seconds(), 1) }

func (v *Valve) refill(now time.Time) {
	v.tokens = min(v.tokens+v.limit*now.Sub(v.tokensAt).Seconds(), v.burst())
	v.tokensAt = now
}
