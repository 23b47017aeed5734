// Package accept is the admission control for requests with steps: it decides which are
// admitted, and when refused callers may retry. It does no I/O and reads no clock.
//
// Load pattern: callers ask for more than the pools' throughput. Requests admitted beyond it
// make all of them late, and most of the work is wasted. So a request is refused at once if it
// is predicted to be late.
package accept

import (
	"time"

	shed "jasmineshed"
)

const (
	// QueueGrowth is the factor by which forecasts are exceeded while load rises, since
	// queues grow while the request is in progress.
	QueueGrowth = 1.15
	// reserveFactor times the request's queueing time is reserved for each more urgent rank
	// that uses the pool the request waits longest for.
	reserveFactor = 1.0
	// maxLateWait is the longest queueing time with which a request is admitted that can't
	// meet its target.
	maxLateWait = 700 * time.Millisecond
	// MinRetryAfter is the shortest time after which a refused caller may retry; it is short since
	// callers wait for a third of their time at most.
	MinRetryAfter = 300 * time.Millisecond
	// maxRetryAfter is the longest time after which a refused caller may retry.
	maxRetryAfter = 1500 * time.Millisecond
	// A route whose share of admitted requests is below fairShare times that of more urgent
	// routes leaves them less than the full reserve; at starvedShare times or below, none.
	fairShare, starvedShare = 0.5, 0.4
)

// Request is a request to be admitted, with the forecast of its steps.
type Request struct {
	Route shed.RouteID
	// MoreUrgent are the routes of more urgent ranks that use the pool that the request
	// would wait longest for; UrgentRanks is the number of these ranks.
	MoreUrgent  []shed.RouteID
	UrgentRanks int
	// ToTarget and ToDeadline are the times left until the target and the deadline of the answer.
	ToTarget, ToDeadline time.Duration
	// MinTime is how long the steps take with empty queues; Timely if the request is served
	// before all that can't be in time any more, Last if after them.
	MinTime, Timely, Last time.Duration
	// Answer is the predicted time in which the answering server sends the first event.
	Answer time.Duration
}

// Verdict is an admission decision.
type Verdict struct {
	Admitted bool
	// RetryAfter is when a refused caller may retry.
	RetryAfter time.Duration
	// NeededTime is the time to the target that admission requires: the forecast, the growth of
	// queues, and the reserve for more urgent ranks.
	NeededTime time.Duration
}

// Gate admits or refuses requests. It is not safe for concurrent use.
type Gate struct {
	// shares are the shares of admitted requests; a missing route had none refused.
	shares map[shed.RouteID]share
}

// New returns a Gate without history.
func New() *Gate { return &Gate{shares: map[shed.RouteID]share{}} }

// Decide admits a request, or returns when it may be retried.
func (g *Gate) Decide(a Request) Verdict {
	needs := time.Duration(QueueGrowth*float64(a.Timely)) + a.Answer
	queues := max(a.Timely-a.MinTime, 0)
	needs += time.Duration(reserveFactor * g.reserveWeight(&a) * float64(a.UrgentRanks) * float64(queues))
	v := Verdict{NeededTime: needs}
	shortWait := a.Last <= a.MinTime+maxLateWait && a.Last+a.Answer <= a.ToDeadline
	v.Admitted = needs <= a.ToTarget || shortWait
	own := g.share(a.Route)
	own.add(v.Admitted)
	g.shares[a.Route] = own
	if !v.Admitted {
		v.RetryAfter = min(max(needs-a.ToTarget, MinRetryAfter), maxRetryAfter)
	}
	return v
}

// Granted records that a request that Decide refused was admitted after all.
func (g *Gate) Granted(route shed.RouteID) {
	own := g.share(route)
	own.add(true)
	g.shares[route] = own
}

// LeastTime returns the time to the target that admission requires if the request doesn't queue in one of
// its pools, where it is predicted to queue for so long.
func (a *Request) LeastTime(queue time.Duration) time.Duration {
	return time.Duration(QueueGrowth*float64(max(a.Timely-queue, a.MinTime))) + a.Answer
}

// reserveWeight is the part of the reserve for more urgent routes that applies, from 0 to 1.
//
// Load pattern: a lasting overload, mostly of urgent requests. With the whole reserve, nothing
// else would be admitted; so the smaller a route's admitted share is in proportion to that of
// more urgent routes, the less it leaves to them.
func (g *Gate) reserveWeight(a *Request) float64 {
	urgent := share(1)
	for _, id := range a.MoreUrgent {
		urgent = min(urgent, g.share(id))
	}
	if urgent <= 0 {
		return 0
	}
	ratio := float64(g.share(a.Route) / urgent)
	return min(max((ratio-starvedShare)/(fairShare-starvedShare), 0), 1)
}

func (g *Gate) share(id shed.RouteID) share {
	if s, ok := g.shares[id]; ok {
		return s
	}
	return 1
}

// Prune removes routes that are no longer in the configuration.
func (g *Gate) Prune(listed func(shed.RouteID) bool) {
	for id := range g.shares {
		if !listed(id) {
			delete(g.shares, id)
		}
	}
}
