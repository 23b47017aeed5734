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
		if !w.now.Before(a.SendBy) {
			finish(shed.EndNotStarted, shed.ReasonDeadline, "")
			return
		}
		if s.down || !w.reach(n.labels(), s.labels()) {
			n.at(dialTimeout, func() { finish(shed.EndNotStarted, shed.ReasonBroken, "") })
			return
		}
		x.cancel = func() { w.after(w.travel(), func() { s.cancel(a.Call) }) }
		w.after(w.travel(), func() { n.arriveAt(s, a, x, in, finish) })
		n.at(a.IdleTimeout, func() { finish(shed.EndBroken, shed.ReasonSilent, "") })
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
			n.progress(shed.CallProgress{Call: a.Call, Server: s.id, Zone: s.zone, Boot: boot})
		}
	})
	w.after(s.takes/2, func() {
		back(func() {
			if !x.over {
				n.progress(shed.CallProgress{Call: a.Call, Tokens: 1, Server: s.id, Zone: s.zone})
			}
		})
	})
}

// handStage hands a call over to a peer.
func (n *node) handStage(a shed.ForwardStage) {
	w := n.w
	call := a.Request.Call
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
		if !w.now.Before(a.SendBy) {
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
			to.now(life, func() { to.host(n, from, a.Request, x, in, finish) })
		})
	})
}

// progress tells the core, and the peer that handed the call over.
func (n *node) progress(p shed.CallProgress) {
	n.handle(p)
	if g := n.guests[p.Call]; g != nil && !g.over {
		g.told(p)
	}
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
func (n *node) host(from *node, peer shed.Peer, ask shed.StageRequest, x *calling, in string, finish func(shed.CallEnded, string)) {
	if n.guests[ask.Call] != nil || n.calls[ask.Call] != nil {
		return
	}
	life := from.life
	g := &guest{payload: in, end: func(e shed.CallEnded, result string) {
		n.resend(from, life, x, func() { finish(e, result) })
	}, told: func(p shed.CallProgress) {
		n.resend(from, life, x, func() { from.progress(p) })
	}}
	n.guests[ask.Call] = g
	x.cancel = func() { n.at(n.w.travel(), func() { n.cancelCall(ask.Call) }) }
	n.handle(shed.StageRequested{Request: ask, From: peer})
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
