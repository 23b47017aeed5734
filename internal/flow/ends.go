package flow

import (
	"time"

	"jasmineshed/internal/admit"
	"jasmineshed/internal/flow/trail"

	shed "jasmineshed"
)

// live returns the request whose live call this is, or nil with a note. What
// an earlier attempt still sends must not touch the request: its result would
// be taken for the live attempt's, or its failure repeated.
func (f *Flow) live(call shed.Call, server shed.ServerID) *request {
	r := f.requests[call.Request]
	if r != nil && r.state == stateRunning && (r.call == call || f.off.staleEnds) {
		return r
	}
	reason := shed.ReasonStaleAttempt
	if r != nil && r.trail.HasCall(call) {
		reason = shed.ReasonDuplicate
	}
	f.emit(shed.Note{Reason: reason, Request: call.Request, Server: server})
	return nil
}

func (f *Flow) progress(p shed.CallProgress) {
	if r := f.live(p.Call, p.Server); r != nil {
		r.trail.RecordProgress(p)
	}
}

// callerGone cancels the request, unless it must run on.
func (f *Flow) callerGone(now time.Time, id shed.RequestID) {
	r := f.requests[id]
	if r == nil {
		return
	}
	if f.runsOn(r) && !f.off.runOnIfBound {
		r.gone = true
		return
	}
	f.finish(now, r, trail.End{Cause: trail.CauseCallerGone, Reason: shed.ReasonCallerGone})
}

// runsOn tells whether the request goes on without its caller. With a ticket
// the caller is likely to come back by another way, as its connection may only
// have gone silent, and a ticket starts once: cancelled, all that a repeat
// could be told is that it was. And where a stage that must run at most once
// may have run, its end must become known. The deadline bounds both.
func (f *Flow) runsOn(r *request) bool {
	return r.arrived.Ticketed || r.trail.MustReportOutcome()
}

func (f *Flow) callEnded(now time.Time, e shed.CallEnded) {
	r := f.live(e.Call, e.Server)
	if r == nil {
		return
	}
	r.trail.RecordEnd(now, e)
	if f.rules != nil {
		if s := f.rules.Servers[e.Server]; s != nil {
			r.trail.SetCapacity(e.Call, s.Capacity)
		}
	}
	f.setState(r, stateNew, time.Time{})
	if e.End == shed.EndComplete {
		f.stageDone(now, r, e)
		return
	}
	f.emit(shed.Note{Reason: e.Reason, Request: r.arrived.Request, Server: e.Server, Zone: e.Zone})
	f.recover(now, r, e)
}

func (f *Flow) stageDone(now time.Time, r *request, e shed.CallEnded) {
	f.cfg.Budget.Succeeded(now)
	key := admit.StageKey{Pipeline: r.pipeline.ID, Stage: r.at().ID}
	f.cfg.Admit.Observe(now, key, r.trail.Duration(e.Call))
	if f.late(now, r) {
		f.finish(now, r, trail.End{Cause: trail.CauseDeadline, Reason: shed.ReasonDeadline})
		return
	}
	f.emit(shed.StageDone{Call: e.Call})
	r.stage++
	r.avoid = nil
	r.resumes = 0
	r.asides = 0
	if r.stage < len(r.pipeline.Stages) {
		f.advance(now, r)
		return
	}
	r.stage--
	f.finish(now, r, trail.End{Cause: trail.CauseDone})
}

// late tells whether a result came after the deadline, before the tick that
// would have ended the request. What must run at most once and ran to its
// whole end is told as such all the same: a caller that heard only of the
// deadline would not know it.
func (f *Flow) late(now time.Time, r *request) bool {
	if f.off.checkLate || !now.After(r.arrived.Deadline) {
		return false
	}
	last := r.stage == len(r.pipeline.Stages)-1
	return !last || r.pipeline.Idempotent()
}

// recover decides what follows a call that gave no result.
func (f *Flow) recover(now time.Time, r *request, e shed.CallEnded) {
	if r.gone && !f.runsOn(r) {
		f.finish(now, r, trail.End{Cause: trail.CauseCallerGone, Reason: shed.ReasonCallerGone})
		return
	}
	if !now.Before(r.cutoff()) {
		f.finish(now, r, trail.End{Cause: trail.CauseDeadline, Reason: shed.ReasonDeadline})
		return
	}
	if f.resume(now, r, e) {
		return
	}
	if reason := f.noRetry(now, r, e); reason != shed.ReasonNone {
		f.finish(now, r, trail.End{
			Cause:      causeOf(e.End),
			Reason:     reason,
			RetryAfter: max(e.RetryAfter, f.retryAfter(now, r)),
		})
		return
	}
	f.retry(now, r, e)
}

func causeOf(end shed.CallEnd) trail.Cause {
	if end.MayHaveRun() {
		return trail.CauseFailed
	}
	return trail.CauseRefused
}

// noRetry is why the stage may not be sent again, or ReasonNone if it may. It
// takes from the budget, so it is asked last.
func (f *Flow) noRetry(now time.Time, r *request, e shed.CallEnded) shed.Reason {
	if !r.trail.MayRepeat(r.stage) && !f.off.mayRepeat {
		return orElse(e.Reason, shed.ReasonBroken)
	}
	if r.trail.Reached(r.stage) >= f.cfg.MaxAttempts || r.trail.Attempts(r.stage) >= f.cfg.MaxSends {
		return shed.ReasonAttempts
	}
	// A call that reached no server put no load on one, so a repeat of it is
	// not what the budget is there to stop.
	if e.End != shed.EndNotStarted && !f.cfg.Budget.Take(now) {
		return shed.ReasonRetryBudget
	}
	return shed.ReasonNone
}

func orElse(a, b shed.Reason) shed.Reason {
	if a == shed.ReasonNone {
		return b
	}
	return a
}

// retry sends the stage again, elsewhere if it can. Whatever kept two calls
// from so much as leaving would likely keep the next ones too, so these back
// off. A call that a peer refused for want of room rather waits in the queue
// with the others: backing off, it would be seen by nobody who predicts how
// long the wait is, and requests would be let in that can't be done.
func (f *Flow) retry(now time.Time, r *request, e shed.CallEnded) {
	if e.Server != "" && len(r.avoid) < maxAvoid {
		r.avoid = append(r.avoid, e.Server)
	}
	// A peer with none but avoided servers says that it has none, at once, in
	// every try. The request would be kept from a whole zone by one failure, and
	// be refused for want of time while servers are free. As where this zone has
	// no other server, an avoided one is better than none.
	if e.End == shed.EndNotStarted && e.Reason == shed.ReasonNoServer {
		r.avoid = nil
	}
	if e.End == shed.EndNotStarted && r.trail.Attempts(r.stage) > 1 && !noRoom(e.Reason) {
		f.backOff(now, r)
		return
	}
	f.advance(now, r)
}

// noRoom tells whether a peer refused because its servers are full or cold.
func noRoom(reason shed.Reason) bool {
	return reason == shed.ReasonServersBusy || reason == shed.ReasonServerCold
}

// resume goes on with a stream that broke midway, on the server that holds it.
// It runs nothing anew, so it is open to stages that must not run twice too,
// and is not paid from the retry budget.
func (f *Flow) resume(now time.Time, r *request, e shed.CallEnded) bool {
	s := r.local
	if e.End != shed.EndBroken || s == nil || r.at().Kind != shed.KindGenerate {
		return false
	}
	// Without progress since the last resume the stream is gone or its server
	// is; trying again would only spend the time left.
	if e.Tokens <= r.offset || r.resumes >= f.cfg.MaxResumes {
		return false
	}
	if r.trail.Reached(r.stage) >= f.cfg.MaxAttempts || !f.mayResume(now, s) {
		return false
	}
	r.resumes++
	a := f.startCall(now, r)
	a.Resumes = e.Call
	a.ResumeFrom = e.Tokens
	f.run(r, r.trail.Start(now, a, s), s)
	return true
}

func (f *Flow) mayResume(now time.Time, s *shed.Server) bool {
	if p, ok := f.cfg.Placer.(Resumer); ok {
		return p.MayResume(now, s.ID)
	}
	if f.rules == nil {
		return false
	}
	current := f.rules.Servers[s.ID]
	if current == nil {
		return false
	}
	open, _ := f.rules.ServerOpen(current)
	return open
}
