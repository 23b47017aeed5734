package proof

import (
	"sort"

	shed "jasmineshed"
)

func (c *calling) end() {
	if c.over {
		return
	}
	c.over = true
	if c.cancel != nil {
		c.cancel()
	}
}

func (g *guest) answer(end shed.CallEnded, result string) {
	if g.over {
		return
	}
	g.over = true
	g.end(end, result)
}

func sortedCalls[V any](m map[shed.Call]V) []shed.Call {
	var out []shed.Call
	for c := range m {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Request != b.Request {
			return a.Request < b.Request
		}
		if a.Stage != b.Stage {
			return a.Stage < b.Stage
		}
		return a.Attempt < b.Attempt
	})
	return out
}

func sortedRuns(m map[shed.RequestID]*run) []shed.RequestID {
	var out []shed.RequestID
	for id := range m {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// input of a call: a guest's or a run's.
func (n *node) input(c shed.Call) string {
	if g := n.guests[c]; g != nil {
		return g.payload
	}
	if r := n.runs[c.Request]; r != nil {
		return r.payload
	}
	return ""
}

// ended tells the core how a call ended, once.
func (n *node) ended(x *calling, e shed.CallEnded, result string) {
	if x.over {
		return
	}
	x.over = true
	delete(n.calls, e.Call)
	if r := n.runs[e.Call.Request]; r != nil && n.guests[e.Call] == nil && e.End == shed.EndComplete {
		r.results[e.Call] = result
	}
	n.handle(e)
	if g := n.guests[e.Call]; g != nil {
		delete(n.guests, e.Call)
		g.answer(e, result)
	}
}

// startCall sends a call to a server of this zone.
func (n *node) startCall(a shed.StartCall) {
	w := n.w
	s := w.server(a.Server)
	x := &calling{}
	n.calls[a.Call] = x
	end := shed.CallEnded{Call: a.Call, Server: s.id, Zone: s.zone}
	finish := func(kind shed.CallEnd, reason shed.Reason, result string) {
		e := end
		e.End, e.Reason = kind, reason
		n.ended(x, e, result)
	}
	in := n.input(a.Call)
	// Between the decision and the send the process may be paused.
	n.at(latency/5, func() {
		if x.over {
			return
		}
		if !w.now.Before(a.Until) {
			finish(shed.EndNotStarted, shed.ReasonDeadline, "")
			return
		}
		if s.down || !w.reach(n.labels(), s.labels()) {
			n.at(dialTimeout, func() { finish(shed.EndNotStarted, shed.ReasonBroken, "") })
			return
		}
		x.cancel = func() { w.after(w.travel(), func() { s.cancel(a.Call) }) }
		w.after(w.travel(), func() { n.arriveAt(s, a, x, in, finish) })
		n.at(a.Silence, func() { finish(shed.EndBroken, shed.ReasonSilent, "") })
	})
}

// arriveAt is the call's arrival at the server.
func (n *node) arriveAt(s *server, a shed.StartCall, x *calling, in string, finish func(shed.CallEnd, shed.Reason, string)) {
	w := n.w
	back := func(do func()) {
		if w.reach(s.labels(), n.labels()) {
			n.at(w.travel(), do)
		}
	}
	if s.down {
		return
	}
	taken := s.take(a.Call, a.Stage.ID, in, func(result string) {
		back(func() {
			if result == "" {
				finish(shed.EndBroken, shed.ReasonBroken, "")
				return
			}
			finish(shed.EndComplete, "", result)
		})
	})
	if !taken {
		back(func() { finish(shed.EndOverloaded, shed.ReasonOverloaded, "") })
		return
	}
	boot := s.bootID()
	back(func() {
		if !x.over {
			n.handle(shed.CallProgress{Call: a.Call, Server: s.id, Zone: s.zone, Boot: boot})
		}
	})
	w.after(s.takes/2, func() {
		back(func() {
			if !x.over {
				n.handle(shed.CallProgress{Call: a.Call, Tokens: 1, Server: s.id, Zone: s.zone})
			}
		})
	})
}

// handStage hands a call over to a peer.
func (n *node) handStage(a shed.HandStage) {
	w := n.w
	call := a.Ask.Call
	x := &calling{}
	n.calls[call] = x
	finish := func(e shed.CallEnded, result string) {
		e.Call = call
		n.ended(x, e, result)
	}
	to := w.node(a.To)
	in := n.input(call)
	n.at(latency/5, func() {
		if x.over {
			return
		}
		if !w.now.Before(a.Until) {
			finish(shed.CallEnded{End: shed.EndNotStarted, Reason: shed.ReasonDeadline}, "")
			return
		}
		if !to.up || !w.reach(n.labels(), to.labels()) || !w.reach(to.labels(), n.labels()) {
			n.at(dialTimeout, func() {
				n.handle(shed.PeerLost{Peer: a.To})
				finish(shed.CallEnded{End: shed.EndNotStarted, Reason: shed.ReasonBroken}, "")
			})
			return
		}
		n.watchLink(to, x, func() {
			finish(shed.CallEnded{End: shed.EndBroken, Reason: shed.ReasonSilent}, "")
		})
		from, life := n.self, to.life
		w.after(w.travel(), func() {
			to.now(life, func() { to.host(n, from, a.Ask, x, in, finish) })
		})
	})
}

// watchLink breaks a call whose peer gives no heartbeat for linkSilence.
func (n *node) watchLink(to *node, x *calling, broken func()) {
	heard := n.w.now
	life := to.life
	var look func()
	look = func() {
		if x.over {
			return
		}
		if to.up && to.life == life && !to.frozen && n.w.reach(to.labels(), n.labels()) {
			heard = n.w.now
		}
		if n.w.now.Sub(heard) >= linkSilence {
			n.handle(shed.PeerLost{Peer: to.vm})
			broken()
			return
		}
		n.at(beat, look)
	}
	n.at(beat, look)
}

// resend brings an answer to a process, as TCP does: a cut only delays it, for
// as long as somebody waits for it.
func (n *node) resend(to *node, life int, x *calling, do func()) {
	if x.over || to.life != life {
		return
	}
	if !n.w.reach(n.labels(), to.labels()) {
		n.w.after(beat, func() { n.resend(to, life, x, do) })
		return
	}
	to.at(n.w.travel(), func() {
		if !x.over {
			do()
		}
	})
}

// host takes in a call that peer n handed over.
func (n *node) host(from *node, peer shed.Peer, ask shed.StageAsk, x *calling, in string, finish func(shed.CallEnded, string)) {
	if n.guests[ask.Call] != nil || n.calls[ask.Call] != nil {
		return
	}
	life := from.life
	g := &guest{payload: in, end: func(e shed.CallEnded, result string) {
		n.resend(from, life, x, func() { finish(e, result) })
	}}
	n.guests[ask.Call] = g
	x.cancel = func() { n.at(n.w.travel(), func() { n.cancelCall(ask.Call) }) }
	n.handle(shed.StageAsked{Ask: ask, From: peer})
}

func (n *node) refuseStage(a shed.RefuseStage) {
	g := n.guests[a.Call]
	if g == nil {
		return
	}
	delete(n.guests, a.Call)
	g.answer(shed.CallEnded{Call: a.Call, End: shed.EndNotStarted, Reason: a.Reason, RetryAfter: a.RetryAfter}, "")
}

// cancelCall tells the far side; the call's end comes back as cancelled.
func (n *node) cancelCall(call shed.Call) {
	x := n.calls[call]
	if x == nil || x.over {
		return
	}
	if x.cancel != nil {
		x.cancel()
	}
	n.at(latency/5, func() {
		n.ended(x, shed.CallEnded{Call: call, End: shed.EndCancelled, Reason: shed.ReasonCallerGone}, "")
	})
}

func (n *node) stageDone(call shed.Call) {
	if r := n.runs[call.Request]; r != nil {
		r.payload = r.results[call]
	}
}

func (n *node) finish(f shed.Finish) {
	r := n.runs[f.Request]
	if r == nil || r.final != nil {
		return
	}
	r.end(answer{at: n.w.now, outcome: f.Outcome, reason: f.Reason, retry: f.RetryAfter, request: f.Request, payload: r.payload})
}

func (r *run) end(a answer) {
	r.final = &a
	r.tell(a)
}

// tell answers everyone who waits.
func (r *run) tell(a answer) {
	waiters := r.waiters
	r.waiters = nil
	for _, f := range waiters {
		f(a)
	}
}

// homeTries is how often a request is handed to its home.
const homeTries = 3

// handRequest hands a request over to its ticket's home.
func (n *node) handRequest(a shed.HandRequest, try int) {
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
		n.handle(shed.HandedBack{Request: a.Request})
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
func (n *node) arrive(ev shed.Arrived, input string, reply func(answer)) {
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
func (n *node) arriveAgain(first *run, ev shed.Arrived, reply func(answer), life int) {
	joined := false
	for _, act := range n.core.Handle(n.w.now, ev) {
		switch a := act.(type) {
		case shed.JoinRequest, shed.HandRequest:
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
