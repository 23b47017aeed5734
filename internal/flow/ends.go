package flow

import (
	"slices"
	"time"

	"jasmineshed/internal/admit"
	"jasmineshed/internal/flow/trail"

	shed "jasmineshed"
)

// runningRequest returns the request whose current call this is, or nil with a note. A late
// message of an earlier attempt must not touch the request: its result would be taken for the
// current attempt's, or its failure would be retried again.
func (f *Flow) runningRequest(call shed.Call, server shed.ServerID) *request {
	r := f.requests[call.Request]
	if r != nil && r.state == stateRunning && (r.call == call || f.disabled.staleEnds) {
		return r
	}
	reason := shed.ReasonStaleAttempt
	if r != nil && r.trail.HasCall(call) {
		reason = shed.ReasonDuplicate
	}
	f.emit(shed.Note{Reason: reason, Request: call.Request, Server: server})
	return nil
}

func (f *Flow) handleProgress(p shed.CallProgress) {
	delete(f.silentServers, p.Server)
	if r := f.requests[p.Call.Request]; r != nil {
		f.decideProgress(r, p.Call)
	}
	if r := f.runningRequest(p.Call, p.Server); r != nil {
		r.trail.RecordProgress(p)
		r.silentUntil = time.Time{}
	}
}

// handleCallerGone cancels the request, unless it must continue.
func (f *Flow) handleCallerGone(now time.Time, id shed.RequestID) {
	r := f.requests[id]
	if r == nil {
		return
	}
	if f.outlivesCaller(r) && !f.disabled.outliveCaller {
		r.callerGone = true
		return
	}
	f.finish(now, r, trail.End{Cause: trail.CauseCallerGone, Reason: shed.ReasonCallerGone})
}

// outlivesCaller reports whether the request continues without its caller. A caller with a
// ticket is likely to return on another connection, as the first may only have stalled, and a
// ticket starts only once: if the request were cancelled, a retry could only get that answer. And
// if a stage that must run at most once may have run, its end must become known. In both
// cases the deadline bounds the request.
func (f *Flow) outlivesCaller(r *request) bool {
	return r.arrived.Ticketed || r.trail.MustReportOutcome()
}

func (f *Flow) handleCallEnded(now time.Time, e shed.CallEnded) {
	switch e.End {
	case shed.EndComplete, shed.EndError, shed.EndOverloaded:
		delete(f.silentServers, e.Server)
	}
	if r := f.requests[e.Call.Request]; r != nil && (r.trail.RecordReplacedEnd(now, e) || f.decideEnd(now, r, e)) {
		return
	}
	r := f.runningRequest(e.Call, e.Server)
	if r == nil {
		return
	}
	// A silent request may be queued for a replacement.
	f.cfg.Admit.Remove(r.arrived.Request)
	r.trail.RecordEnd(now, e)
	f.recordCapacity(r.trail, e.Call, e.Server)
	f.setState(r, stateNew, time.Time{})
	if e.End == shed.EndComplete {
		f.completeStage(now, r, e)
		return
	}
	f.emit(shed.Note{Reason: e.Reason, Request: r.arrived.Request, Server: e.Server, Zone: e.Zone})
	f.handleFailure(now, r, e)
}

func (f *Flow) completeStage(now time.Time, r *request, e shed.CallEnded) {
	f.cfg.Budget.Succeeded(now)
	key := admit.StageKey{Pipeline: r.pipeline.ID, Stage: r.currentStage().ID}
	f.cfg.Admit.Observe(now, key, r.trail.Duration(e.Call))
	if f.isLate(now, r) {
		f.finish(now, r, trail.End{Cause: trail.CauseDeadline, Reason: shed.ReasonDeadline})
		return
	}
	f.emit(shed.StageDone{Call: e.Call})
	r.stage++
	r.avoid = nil
	r.resumes = 0
	r.queueSkips = 0
	if r.stage < len(r.pipeline.Stages) {
		f.advance(now, r)
		return
	}
	r.stage--
	f.finish(now, r, trail.End{Cause: trail.CauseDone})
}

// isLate reports whether a result arrived after the deadline, but before the tick that would
// have ended the request. If a stage must run at most once and the request completed, the
// caller still gets the result: from a deadline error it would not know that the stage ran.
func (f *Flow) isLate(now time.Time, r *request) bool {
	if f.disabled.checkLate || !now.After(r.arrived.Deadline) {
		return false
	}
	last := r.stage == len(r.pipeline.Stages)-1
	return !last || r.pipeline.Idempotent()
}

// handleFailure decides what follows a call without a result.
func (f *Flow) handleFailure(now time.Time, r *request, e shed.CallEnded) {
	if r.callerGone && !f.outlivesCaller(r) {
		f.finish(now, r, trail.End{Cause: trail.CauseCallerGone, Reason: shed.ReasonCallerGone})
		return
	}
	if !now.Before(r.cutoff()) {
		f.finish(now, r, trail.End{Cause: trail.CauseDeadline, Reason: shed.ReasonDeadline})
		return
	}
	if f.tryResume(now, r, e) {
		return
	}
	if reason := f.noRetryReason(now, r, e); reason != shed.ReasonNone {
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

// noRetryReason is why the stage must not be sent again, or ReasonNone if it may. It must be
// called last, since it takes from the retry budget.
func (f *Flow) noRetryReason(now time.Time, r *request, e shed.CallEnded) shed.Reason {
	if !r.trail.MayRetry(r.stage) && !f.disabled.mayRetry {
		return orElse(e.Reason, shed.ReasonBroken)
	}
	if r.trail.Reached(r.stage) >= f.cfg.MaxAttempts || r.trail.Attempts(r.stage) >= f.cfg.MaxSends {
		return shed.ReasonAttempts
	}
	// A call that reached no server put no load on one, so the budget, which limits the load
	// of retries, doesn't apply to it.
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

// retry sends the stage again, if possible to another server. If two calls did not even start,
// the next one would likely fail for the same reason, so it backs off first. A call that a
// peer refused for lack of capacity waits in the queue with the others instead: a request in
// backoff isn't counted by the prediction of queueing time, so requests would be admitted
// that can't be served in time.
func (f *Flow) retry(now time.Time, r *request, e shed.CallEnded) {
	r.avoid = avoidFailed(r.avoid, e)
	if e.End == shed.EndNotStarted && r.trail.Attempts(r.stage) > 1 && !isCapacityRefusal(e.Reason) {
		f.backOff(now, r)
		return
	}
	f.advance(now, r)
}

// avoidFailed adds the server of a failed call to those that the next one avoids.
func avoidFailed(avoid []shed.ServerID, e shed.CallEnded) []shed.ServerID {
	// A peer that has only avoided servers refuses at once, on every try. One failure would
	// keep the request from a whole zone, and it would be refused for lack of time while
	// servers are free. As in this zone, an avoided server is better than none.
	if e.End == shed.EndNotStarted && e.Reason == shed.ReasonNoServer {
		return nil
	}
	if e.Server == "" || len(avoid) >= maxAvoid {
		return avoid
	}
	return append(slices.Clip(avoid), e.Server)
}

// isCapacityRefusal reports whether a peer refused because its servers are full or cold.
func isCapacityRefusal(reason shed.Reason) bool {
	return reason == shed.ReasonServersBusy || reason == shed.ReasonServerCold
}

// tryResume continues a broken stream on the server that holds it. This runs nothing again,
// so it is also allowed for stages that must not run twice, and takes nothing from the retry
// budget.
func (f *Flow) tryResume(now time.Time, r *request, e shed.CallEnded) bool {
	s := r.localServer
	if e.End != shed.EndBroken || s == nil || r.currentStage().Kind != shed.KindGenerate {
		return false
	}
	// Without progress since the last resume, the stream or its server is gone; another try
	// would only use up the remaining time.
	if e.Tokens <= r.tokensBefore || r.resumes >= f.cfg.MaxResumes {
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
