package proof

import (
	shed "jasmineshed"
)

// homeTries is how often a request is handed to its home.
const homeTries = 3

// handRequest hands a request over to its ticket's home.
func (n *node) handRequest(a shed.ForwardRequest, try int) {
	w := n.w
	r := n.runs[a.Request]
	if r == nil || r.final != nil {
		return
	}
	finish := func(ans answer) {
		if r.final != nil {
			return
		}
		r.end(ans)
		delete(n.runs, a.Request)
		n.handle(shed.ForwardEnded{Request: a.Request})
	}
	give := func(reason shed.Reason) {
		finish(answer{at: w.now, outcome: shed.OutcomeUnknown, reason: reason, request: a.Request})
	}
	if try == 1 {
		// The driver's context ends with the deadline.
		n.at(a.Deadline.Sub(w.now), func() { give(shed.ReasonDeadline) })
	}
	again := func() {
		if try >= homeTries || !w.now.Before(a.Deadline) {
			give(shed.ReasonBroken)
			return
		}
		n.handRequest(a, try+1)
	}
	to := w.node(a.To.VM)
	if to == nil || !to.up || !w.reach(n.labels(), to.labels()) || !w.reach(to.labels(), n.labels()) {
		n.at(dialTimeout, again)
		return
	}
	x := &calling{}
	n.watchLink(to, x, again)
	life, mine := to.life, n.life
	reply := func(ans answer) {
		to.resend(n, mine, x, func() {
			x.over = true
			if ans.outcome == 0 {
				again()
				return
			}
			finish(ans)
		})
	}
	w.after(w.travel(), func() {
		to.now(life, func() {
			if to.self != a.To {
				reply(answer{at: w.now, outcome: shed.OutcomeUnknown, reason: shed.ReasonHomeGone, request: a.Request})
				return
			}
			ev := r.ask
			ev.From = n.self
			to.arrive(ev, r.payload, reply)
		})
	})
}

// takeIn does what a request's arrival asks for, or tells its caller that the
// connection broke if the process dies before.
func (n *node) takeIn(life int, reply func(answer), do func()) {
	taken := false
	n.lost = append(n.lost, func() {
		if !taken {
			reply(answer{})
		}
	})
	n.now(life, func() {
		taken = true
		do()
	})
}

// arrive takes a request in, from a caller or a peer.
func (n *node) arrive(ev shed.RequestArrived, input string, reply func(answer)) {
	life := n.life
	n.w.step(n)
	if !n.up || n.life != life {
		reply(answer{})
		return
	}
	n.takeIn(life, reply, func() {
		first := n.runs[ev.Request]
		if first == nil {
			r := &run{ask: ev, payload: input, results: map[shed.Call]string{}, waiters: []func(answer){reply}}
			n.runs[ev.Request] = r
			for _, act := range n.core.Handle(n.w.now, ev) {
				if _, join := act.(shed.JoinRequest); join {
					r.end(answer{at: n.w.now, outcome: shed.OutcomeUnknown, reason: shed.ReasonTicketExpired, request: ev.Request})
				}
				n.perform(act, life)
			}
			if r.final != nil && n.runs[ev.Request] == r {
				delete(n.runs, ev.Request)
			}
			return
		}
		n.arriveAgain(first, ev, reply, life)
	})
}

// arriveAgain is a repeat; a refusal of it concerns only the repeat.
func (n *node) arriveAgain(first *run, ev shed.RequestArrived, reply func(answer), life int) {
	joined := false
	for _, act := range n.core.Handle(n.w.now, ev) {
		switch a := act.(type) {
		case shed.JoinRequest, shed.ForwardRequest:
			joined = true
		case shed.Finish:
			if a.Request != ev.Request || joined {
				n.perform(act, life)
				continue
			}
			reply(answer{at: n.w.now, outcome: a.Outcome, reason: a.Reason, retry: a.RetryAfter, request: a.Request})
		default:
			n.perform(act, life)
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
