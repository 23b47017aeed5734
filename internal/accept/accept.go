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
	// queueGrowth is by how much a forecast is exceeded when load rises: queues grow
	// while the request is on its way.
	queueGrowth = 1.15
	// reserveFactor times the request's time in queues is kept for each more urgent rank
	// that uses the pool it waits longest for.
	reserveFactor = 1.0
	// maxLateWait is the longest wait in queues with which a request is let in that
	// can't be in time for its aim.
	maxLateWait = 700 * time.Millisecond
	// ComeBack is the soonest time at which a caller may come back; short, since callers
	// wait for a third of their time at most.
	ComeBack = 300 * time.Millisecond
	// maxRetryAfter is the longest that a caller is told to stay away.
	maxRetryAfter = 1500 * time.Millisecond
	// A route whose share of requests let in is below fairShare times that of more
	// urgent routes leaves them less than the reserve; from starveShare times on,
	// nothing.
	fairShare, starvedShare = 0.5, 0.4
)

// Ask is a request at the door, and what is foreseen of its steps.
type Ask struct {
	Route shed.RouteID
	// Above are the routes of more urgent ranks that use the pool that the request
	// would wait longest for; Ranks is how many ranks they have.
	Above []shed.RouteID
	Ranks int
	// ToAim and ToEnd are the times left until the answer should and must be there.
	ToAim, ToEnd time.Duration
	// Least is how long the steps take if nothing waits; Timely if the request goes
	// before all that can't be in time any more, Last if after them.
	Least, Timely, Last time.Duration
	// Answer is what its server is foreseen to take to the first event.
	Answer time.Duration
}

// Verdict says whether a request is let in.
type Verdict struct {
	LetIn bool
	// After is when a refused caller may come back.
	After time.Duration
	// Needs is the time that the request had to have until its aim: what is foreseen,
	// what queues grow by, and what is kept for others.
	Needs time.Duration
}

// Gate lets requests in. It is not safe for concurrent use.
type Gate struct {
	// shares are the shares of requests that were let in; a route that isn't there
	// had none refused.
	shares map[shed.RouteID]share
}

// New returns a Gate that has seen no request.
func New() *Gate { return &Gate{shares: map[shed.RouteID]share{}} }

// Decide lets a request in, or says when it may come back.
func (g *Gate) Decide(a Ask) Verdict {
	needs := time.Duration(queueGrowth*float64(a.Timely)) + a.Answer
	queues := max(a.Timely-a.Least, 0)
	needs += time.Duration(reserveFactor * g.reserveWeight(&a) * float64(a.Ranks) * float64(queues))
	v := Verdict{Needs: needs}
	shortWait := a.Last <= a.Least+maxLateWait && a.Last+a.Answer <= a.ToEnd
	v.LetIn = needs <= a.ToAim || shortWait
	own := g.share(a.Route)
	own.add(v.LetIn)
	g.shares[a.Route] = own
	if !v.LetIn {
		v.After = min(max(needs-a.ToAim, ComeBack), maxRetryAfter)
	}
	return v
}

// reserveWeight is how much of the reserve for more urgent routes counts, from 0 to 1.
//
// Load pattern: an overload that lasts, mostly of urgent requests. With the whole
// reserve, nothing else would be let in; the less of a route is let in against the
// more urgent ones, the less it leaves to them.
func (g *Gate) reserveWeight(a *Ask) float64 {
	urgent := share(1)
	for _, id := range a.Above {
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

// Keep forgets routes that the configuration no longer has.
func (g *Gate) Keep(listed func(shed.RouteID) bool) {
	for id := range g.shares {
		if !listed(id) {
			delete(g.shares, id)
		}
	}
}
