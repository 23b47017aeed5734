package proof

import (
	"time"

	shed "jasmineshed"
)

// homeAttempts is how often forwarding a request to its home is attempted.
const homeAttempts = 3

// forwardRequest forwards a request to its ticket's home.
func (n *node) forwardRequest(a shed.ForwardRequest, attempt int, first bool) {
	w := n.w
	r := n.requests[a.Request]
	if r == nil || r.final != nil {
		return
	}
	finish := func(ans answer) {
		if r.final != nil {
			return
		}
		r.end(ans)
		delete(n.requests, a.Request)
		n.handle(shed.ForwardEnded{Request: a.Request})
	}
	finishUnknown := func(reason shed.Reason) {
		finish(answer{at: w.now, outcome: shed.OutcomeUnknown, reason: reason, request: a.Request})
	}
	if first {
		// The driver's context ends with the deadline.
		n.after(a.Deadline.Sub(w.now), func() { finishUnknown(shed.ReasonDeadline) })
	}
	retry := func() {
		if attempt >= homeAttempts || !w.now.Before(a.Deadline) {
			finishUnknown(shed.ReasonBroken)
			return
		}
		n.forwardRequest(a, attempt+1, false)
	}
	to := w.node(a.To.VM)
	if to == nil || !to.up || !w.canReach(n.labels(), to.labels()) || !w.canReach(to.labels(), n.labels()) {
		n.after(dialTimeout, retry)
		return
	}
	x := &outgoingCall{}
	n.watchLink(to, x, func(time.Duration) bool {
		// Silence doesn't count as an attempt.
		attempt--
		retry()
		return false
	})
	generation, ownGeneration := to.generation, n.generation
	reply := func(ans answer) {
		to.sendReply(n, ownGeneration, x, func() {
			x.ended = true
			if ans.outcome == 0 {
				retry()
				return
			}
			finish(ans)
		})
	}
	w.after(w.networkDelay(), func() {
		to.runIfAlive(generation, func() {
			if to.self != a.To {
				reply(answer{at: w.now, outcome: shed.OutcomeUnknown, reason: shed.ReasonHomeGone, request: a.Request})
				return
			}
			ev := r.arrival
			ev.From = n.self
			to.handleRequest(ev, r.payload, reply)
		})
	})
}

// receive runs do for an arriving request, or reports a broken connection to its caller if the
// process dies first.
func (n *node) receive(generation int, reply func(answer), do func()) {
	received := false
	n.onDeath = append(n.onDeath, func() {
		if !received {
			reply(answer{})
		}
	})
	n.runIfAlive(generation, func() {
		received = true
		do()
	})
}

// handleRequest accepts a request from a caller or a peer.
func (n *node) handleRequest(ev shed.RequestArrived, input string, reply func(answer)) {
	generation := n.generation
	n.w.step(n)
	if !n.up || n.generation != generation {
		reply(answer{})
		return
	}
	n.receive(generation, reply, func() {
		existing := n.requests[ev.Request]
		if existing == nil {
			r := &activeRequest{arrival: ev, payload: input, results: map[shed.Call]string{}, waiters: []func(answer){reply}}
			n.requests[ev.Request] = r
			for _, act := range n.core.Handle(n.w.now, ev) {
				if _, join := act.(shed.JoinRequest); join {
					r.end(answer{at: n.w.now, outcome: shed.OutcomeUnknown, reason: shed.ReasonTicketExpired, request: ev.Request})
				}
				n.perform(act, generation)
			}
			if r.final != nil && n.requests[ev.Request] == r {
				delete(n.requests, ev.Request)
			}
			return
		}
		n.handleRetry(existing, ev, reply, generation)
	})
}

// handleRetry accepts a retry of an active request. A refusal ends only the retry.
func (n *node) handleRetry(first *activeRequest, ev shed.RequestArrived, reply func(answer), generation int) {
	joined := false
	for _, act := range n.core.Handle(n.w.now, ev) {
		switch a := act.(type) {
		case shed.JoinRequest, shed.ForwardRequest:
			joined = true
		case shed.Finish:
			if a.Request != ev.Request || joined {
				n.perform(act, generation)
				continue
			}
			reply(answer{at: n.w.now, outcome: a.Outcome, reason: a.Reason, retry: a.RetryAfter, request: a.Request})
		default:
			n.perform(act, generation)
		}
	}
	switch {
	case !joined:
	case first.final != nil:
		reply(*first.final)
	default:
		first.waiters = append(first.waiters, reply)
	}
}
