// Package accept decides which requests with steps are let in, and when those that
// are not may come back. It is pure.
//
// Load pattern: callers ask for more than the pools make. What is let in beyond that
// makes all of it late, and most of the work is done in vain. So a request is refused
// at once if it would be late by what is foreseen.
package accept

import (
	"time"

	shed "jasmineshed"
)

const (
	// growth is by how much a forecast is exceeded when load rises: queues grow
	// while the request is on its way.
	growth = 1.15
	// reserve times the request's time in queues is kept for each more urgent rank
	// that uses the pool it waits longest for.
	reserve = 1.0
	// lateWait is the longest wait in queues with which a request is let in that
	// can't be in time for its aim.
	lateWait = 700 * time.Millisecond
	// MinRetryAfter is the soonest time at which a caller may come back; short, since callers
	// wait for a third of their time at most.
	MinRetryAfter = 300 * time.Millisecond
	// mostBack is the longest that a caller is told to stay away.
	mostBack = 1500 * time.Millisecond
	// A route whose share of requests let in is below fairShare times that of more
	// urgent routes leaves them less than the reserve; from starveShare times on,
	// nothing.
	fairShare, starveShare = 0.5, 0.4
)

// Request is a request at the door, and what is foreseen of its steps.
type Request struct {
	Route shed.RouteID
	// MoreUrgent are the routes of more urgent ranks that use the pool that the request
	// would wait longest for; Ranks is how many ranks they have.
	MoreUrgent  []shed.RouteID
	UrgentRanks int
	// ToTarget and ToDeadline are the times left until the answer should and must be there.
	ToTarget, ToDeadline time.Duration
	// MinTime is how long the steps take if nothing waits; Timely if the request goes
	// before all that can't be in time any more, Last if after them.
	MinTime, Timely, Last time.Duration
	// Answer is what its server is foreseen to take to the first event.
	Answer time.Duration
}

// Verdict says whether a request is let in.
type Verdict struct {
	Admitted bool
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	// NeededTime is the time that the request had to have until its aim: what is foreseen,
	// what queues grow by, and what is kept for others.
	NeededTime time.Duration
}

// Gate lets requests in. It is not safe for concurrent use.
type Gate struct {
	// routes are the shares of requests that were let in; a route that isn't there
	// had none refused.
	routes map[shed.RouteID]share
}

// New returns a Gate that has seen no request.
func New() *Gate { return &Gate{routes: map[shed.RouteID]share{}} }

// Decide lets a request in, or says when it may come back.
func (g *Gate) Decide(a Request) Verdict {
	needs := time.Duration(growth*float64(a.Timely)) + a.Answer
	queues := max(a.Timely-a.MinTime, 0)
	needs += time.Duration(reserve * g.weight(&a) * float64(a.UrgentRanks) * float64(queues))
	v := Verdict{NeededTime: needs}
	soon := a.Last <= a.MinTime+lateWait && a.Last+a.Answer <= a.ToDeadline
	v.Admitted = needs <= a.ToTarget || soon
	own := g.share(a.Route)
	own.add(v.Admitted)
	g.routes[a.Route] = own
	if !v.Admitted {
		v.RetryAfter = min(max(needs-a.ToTarget, MinRetryAfter), mostBack)
	}
	return v
}

// weight is how much of the reserve for more urgent routes counts, from 0 to 1.
//
// Load pattern: an overload that lasts, mostly of urgent requests. With the whole
// reserve, nothing else would be let in; the less of a route is let in against the
// more urgent ones, the less it leaves to them.
func (g *Gate) weight(a *Request) float64 {
	urgent := share(1)
	for _, id := range a.MoreUrgent {
		urgent = min(urgent, g.share(id))
	}
	if urgent <= 0 {
		return 0
	}
	of := float64(g.share(a.Route) / urgent)
	return min(max((of-starveShare)/(fairShare-starveShare), 0), 1)
}

func (g *Gate) share(id shed.RouteID) share {
	if s, ok := g.routes[id]; ok {
		return s
	}
	return 1
}

// Prune forgets routes that the configuration no longer has.
func (g *Gate) Prune(listed func(shed.RouteID) bool) {
	for id := range g.routes {
		if !listed(id) {
			delete(g.routes, id)
		}
	}
}
