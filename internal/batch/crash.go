package batch

import (
	"slices"

	shed "jasmineshed"
)

// splitRequests divides the requests of a call under which its server crashed into two
// subgroups, which are never again sent in one call with each other or with others. Sent again
// as a whole they would crash one server after the other; bisecting isolates the request that
// causes the crash in a few calls, and the others succeed. A request that is alone and crashes
// several servers is not sent again.
func (b *Batcher) splitRequests(c *call) {
	var requests []shed.RequestID
	for _, p := range c.pieces {
		p.crashes++
		if !slices.Contains(requests, p.Request) {
			requests = append(requests, p.Request)
		}
	}
	first := requests[:(len(requests)+1)/2]
	for _, p := range c.pieces {
		p.subgroup = b.lastSubgroup + 2
		if slices.Contains(first, p.Request) {
			p.subgroup = b.lastSubgroup + 1
		}
		if len(requests) == 1 && p.crashes >= maxTries {
			p.tries = maxTries
		}
	}
	b.lastSubgroup += 2
}
