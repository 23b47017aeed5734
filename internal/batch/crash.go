package batch

import (
	"slices"

	shed "jasmineshed"
)

// splitRequests parts the requests of a call under which its server ended into two lots, which no
// longer go in one call with each other or with others. Sent again as a whole they would
// end one server after the other; so the one to blame is alone after a few, and the others
// come through. One that was alone, and ends several servers, is not sent again.
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
