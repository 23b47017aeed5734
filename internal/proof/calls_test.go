package proof

import (
	"sort"
	"time"

	shed "jasmineshed"
)

func (c *outgoingCall) end() {
	if c.ended {
		return
	}
	c.ended = true
	if c.cancel != nil {
		c.cancel()
	}
}

func (g *forwardedCall) finish(end shed.CallEnded, result string) {
	if g.ended {
		return
	}
	g.ended = true
	g.sendResult(end, result)
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

func sortedRequests(m map[shed.RequestID]*activeRequest) []shed.RequestID {
	var out []shed.RequestID
	for id := range m {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// input returns a call's input, from the forwarded call or else from the active request.
func (n *node) input(c shed.Call) string {
	if g := n.forwarded[c]; g != nil {
		return g.payload
	}
	if r := n.requests[c.Request]; r != nil {
		return r.payload
	}
	return ""
}

// endCall reports the end of a call to the core, at most once, and to the peer that forwarded it.
func (n *node) endCall(x *outgoingCall, e shed.CallEnded, result string) {
	if x.ended {
		return
	}
	x.ended = true
	delete(n.calls, e.Call)
	if r := n.requests[e.Call.Request]; r != nil && n.forwarded[e.Call] == nil && e.End == shed.EndComplete {
		r.results[e.Call] = result
	}
	n.handle(e)
	if g := n.forwarded[e.Call]; g != nil {
		delete(n.forwarded, e.Call)
		g.finish(e, result)
	}
}

// startCall sends a call to a server of this zone.
func (n *node) startCall(a shed.StartCall) {
	w := n.w
	s := w.server(a.Server)
	x := &outgoingCall{}
	n.calls[a.Call] = x
	end := shed.CallEnded{Call: a.Call, Server: s.id, Zone: s.zone}
	finish := func(kind shed.CallEnd, reason shed.Reason, result string) {
		e := end
		e.End, e.Reason = kind, reason
		n.endCall(x, e, result)
	}
	in := n.input(a.Call)
	// The process may be paused between the decision and the send.
	n.after(latency/5, func() {
		if x.ended {
			return
		}
		if !w.now.Before(a.SendBy) {
			finish(shed.EndNotStarted, shed.ReasonDeadline, "")
			return
		}
		if s.down || !w.canReach(n.labels(), s.labels()) {
			n.after(dialTimeout, func() { finish(shed.EndNotStarted, shed.ReasonBroken, "") })
			return
		}
		x.cancel = func() { w.after(w.networkDelay(), func() { s.cancel(a.Call) }) }
		w.after(w.networkDelay(), func() {
			boot := s.boot
			s.whenRunning(func() {
				if s.boot != boot {
					// A paused server that restarts loses the calls that it has not read yet.
					n.after(w.networkDelay(), func() { finish(shed.EndBroken, shed.ReasonBroken, "") })
					return
				}
				n.deliverCall(s, a, x, in, finish)
			})
		})
		broken := func() { finish(shed.EndBroken, shed.ReasonSilent, "") }
		x.replace = broken
		n.after(a.IdleTimeout, func() {
			if !a.ReportSilence {
				broken()
				return
			}
			n.reportSilence(x, shed.CallSilent{Call: a.Call, For: a.IdleTimeout, Server: s.id, Zone: s.zone})
		})
	})
}

// reportSilence reports a silent call to the core, or to the peer that forwarded it, and again
// every shed.SilenceEvery until the call has ended.
func (n *node) reportSilence(x *outgoingCall, e shed.CallSilent) {
	if x.ended {
		return
	}
	n.passSilence(e)
	n.after(shed.SilenceEvery, func() {
		e.For += shed.SilenceEvery
		n.reportSilence(x, e)
	})
}

// deliverCall runs when the call arrives at the server.
func (n *node) deliverCall(s *server, a shed.StartCall, x *outgoingCall, in string, finish func(shed.CallEnd, shed.Reason, string)) {
	w := n.w
	reply := func(do func()) {
		if w.canReach(s.labels(), n.labels()) {
			n.after(w.networkDelay(), do)
		}
	}
	if s.down {
		return
	}
	accepted := s.accept(a.Call, a.Stage.ID, in, func(result string) {
		reply(func() {
			if result == "" {
				finish(shed.EndBroken, shed.ReasonBroken, "")
				return
			}
			finish(shed.EndComplete, "", result)
		})
	})
	if !accepted {
		reply(func() { finish(shed.EndOverloaded, shed.ReasonOverloaded, "") })
		return
	}
	boot := s.bootID()
	reply(func() {
		if !x.ended {
			n.progress(shed.CallProgress{Call: a.Call, Server: s.id, Zone: s.zone, Boot: boot})
		}
	})
	w.after(s.duration/2, func() {
		reply(func() {
			if !x.ended {
				n.progress(shed.CallProgress{Call: a.Call, Tokens: 1, Server: s.id, Zone: s.zone})
			}
		})
	})
}

// forwardStage forwards a call to a peer.
func (n *node) forwardStage(a shed.ForwardStage) {
	w := n.w
	call := a.Request.Call
	x := &outgoingCall{}
	n.calls[call] = x
	finish := func(e shed.CallEnded, result string) {
		e.Call = call
		n.endCall(x, e, result)
	}
	to := w.node(a.To)
	in := n.input(call)
	n.after(latency/5, func() {
		if x.ended {
			return
		}
		if !w.now.Before(a.SendBy) {
			finish(shed.CallEnded{End: shed.EndNotStarted, Reason: shed.ReasonDeadline}, "")
			return
		}
		if !to.up || !w.canReach(n.labels(), to.labels()) || !w.canReach(to.labels(), n.labels()) {
			n.after(dialTimeout, func() {
				n.handle(shed.PeerLost{Peer: a.To})
				finish(shed.CallEnded{End: shed.EndNotStarted, Reason: shed.ReasonBroken}, "")
			})
			return
		}
		broken := func() { finish(shed.CallEnded{End: shed.EndBroken, Reason: shed.ReasonSilent}, "") }
		n.watchLink(to, x, func(silent time.Duration) bool {
			if !a.Request.ReportSilence {
				broken()
				return false
			}
			n.passSilence(shed.CallSilent{Call: call, For: silent, Link: true})
			return true
		})
		x.replace = func() {
			if !x.ended && x.cancel != nil {
				x.cancel()
			}
			broken()
		}
		from, generation := n.self, to.generation
		w.after(w.networkDelay(), func() {
			to.runIfAlive(generation, func() { to.receiveStage(n, from, a.Request, x, in, finish) })
		})
	})
}

// progress reports a call's progress to the core and to the peer that forwarded the call.
func (n *node) progress(p shed.CallProgress) {
	n.handle(p)
	if g := n.forwarded[p.Call]; g != nil && !g.ended {
		g.sendProgress(p)
	}
}

// passSilence reports silence that a peer reported of a call forwarded to it.
func (n *node) passSilence(e shed.CallSilent) {
	if g := n.forwarded[e.Call]; g == nil {
		n.handle(e)
	} else if !g.ended {
		g.sendSilence(e)
	}
}

// watchLink reports a call whose peer sends no heartbeat for heartbeatTimeout, and again every
// shed.SilenceEvery for as long as onSilent returns true.
func (n *node) watchLink(to *node, x *outgoingCall, onSilent func(silent time.Duration) bool) {
	lastHeartbeat := n.w.now
	generation := to.generation
	var check func()
	check = func() {
		if x.ended {
			return
		}
		if to.up && to.generation == generation && !to.frozen && n.w.canReach(to.labels(), n.labels()) {
			lastHeartbeat = n.w.now
		}
		if silent := n.w.now.Sub(lastHeartbeat); silent >= heartbeatTimeout {
			n.handle(shed.PeerLost{Peer: to.vm})
			if onSilent(silent) {
				n.after(shed.SilenceEvery, check)
			}
			return
		}
		n.after(heartbeatInterval, check)
	}
	n.after(heartbeatInterval, check)
}

// sendReply delivers an answer to a process as TCP does: a partition only delays it, and it
// is retransmitted for as long as the call is still waiting.
func (n *node) sendReply(to *node, generation int, x *outgoingCall, do func()) {
	if x.ended || to.generation != generation {
		return
	}
	if !n.w.canReach(n.labels(), to.labels()) {
		n.w.after(heartbeatInterval, func() { n.sendReply(to, generation, x, do) })
		return
	}
	to.after(n.w.networkDelay(), func() {
		if !x.ended {
			do()
		}
	})
}

// receiveStage accepts a call that a peer forwarded. A duplicate is ignored.
func (n *node) receiveStage(from *node, peer shed.Peer, request shed.StageRequest, x *outgoingCall, in string, finish func(shed.CallEnded, string)) {
	if n.forwarded[request.Call] != nil || n.calls[request.Call] != nil {
		return
	}
	generation := from.generation
	g := &forwardedCall{payload: in, sendResult: func(e shed.CallEnded, result string) {
		n.sendReply(from, generation, x, func() { finish(e, result) })
	}, sendProgress: func(p shed.CallProgress) {
		n.sendReply(from, generation, x, func() { from.progress(p) })
	}, sendSilence: func(e shed.CallSilent) {
		n.sendReply(from, generation, x, func() { from.passSilence(e) })
	}}
	n.forwarded[request.Call] = g
	x.cancel = func() { n.after(n.w.networkDelay(), func() { n.cancelCall(request.Call, shed.ReasonCallerGone) }) }
	n.handle(shed.StageRequested{Request: request, From: peer})
}

func (n *node) refuseStage(a shed.RefuseStage) {
	g := n.forwarded[a.Call]
	if g == nil {
		return
	}
	delete(n.forwarded, a.Call)
	g.finish(shed.CallEnded{Call: a.Call, End: shed.EndNotStarted, Reason: a.Reason, RetryAfter: a.RetryAfter}, "")
}

// cancelCall sends the cancellation to the remote side and reports the call as cancelled.
func (n *node) cancelCall(call shed.Call, reason shed.Reason) {
	x := n.calls[call]
	if x == nil || x.ended {
		return
	}
	if reason == shed.ReasonSilent && x.replace != nil {
		// The server may not notice that its connection was closed, and run the call on.
		n.after(latency/5, x.replace)
		return
	}
	if x.cancel != nil {
		x.cancel()
	}
	n.after(latency/5, func() {
		n.endCall(x, shed.CallEnded{Call: call, End: shed.EndCancelled, Reason: shed.ReasonCallerGone}, "")
	})
}

func (n *node) stageDone(call shed.Call) {
	if r := n.requests[call.Request]; r != nil {
		r.payload = r.results[call]
	}
}

func (n *node) finish(f shed.Finish) {
	r := n.requests[f.Request]
	if r == nil || r.final != nil {
		return
	}
	r.end(answer{at: n.w.now, outcome: f.Outcome, reason: f.Reason, retry: f.RetryAfter, request: f.Request, payload: r.payload})
}

func (r *activeRequest) end(a answer) {
	r.final = &a
	r.notify(a)
}

// notify answers all waiting callers.
func (r *activeRequest) notify(a answer) {
	waiters := r.waiters
	r.waiters = nil
	for _, f := range waiters {
		f(a)
	}
}
