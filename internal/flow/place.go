package flow

import (
	"time"

	"jasmineshed/internal/admit"
	"jasmineshed/internal/flow/trail"

	shed "jasmineshed"
)

// advance finds a server for the stage at hand, behind those who wait for the
// same servers already.
func (f *Flow) advance(now time.Time, r *request) {
	key := admit.StageQueue(r.at())
	if f.started && !f.off.oneStart || f.cfg.Admit.Len(key) > 0 {
		f.enqueue(now, r, key)
		f.drainQueue(now, key)
		return
	}
	if !f.place(now, r) {
		f.enqueue(now, r, key)
	}
}

// place tries to start the stage. It returns false if the request has to wait;
// true if it was started, backs off or is finished.
func (f *Flow) place(now time.Time, r *request) bool {
	if f.hopeless(now, r) {
		f.giveUp(now, r, shed.ReasonWontMeetDeadline)
		return true
	}
	p := f.cfg.Placer.Place(now, f.question(now, r))
	switch p.Kind {
	case shed.PlaceLocal:
		f.start(now, r, p.Server)
	case shed.PlacePeer:
		f.hand(now, r, p.Peer)
	case shed.PlaceWait:
		r.waits = p.Reason
		return f.stepAside(now, r)
	default:
		f.nowhere(now, r, p)
	}
	return true
}

// stepAside keeps a request that avoids servers out of the queue, and returns
// whether it did. At the head of the queue it would hold up all those behind it
// that could go to the very server it avoids. It does so a few times only: on
// its own it hardly ever meets the moment at which another server frees, so it
// then takes its turn like the others, and any server.
func (f *Flow) stepAside(now time.Time, r *request) bool {
	if len(r.avoid) == 0 || f.off.stepAside {
		return false
	}
	if r.asides >= maxAsides {
		r.avoid = nil
		return false
	}
	r.asides++
	f.backOff(now, r)
	return true
}

// maxAsides bounds how often a request steps aside in one stage.
const maxAsides = 2

// hopeless tells whether the rest of the pipeline can't be done in time even
// if it is started now. Starting it would only take a place from another.
func (f *Flow) hopeless(now time.Time, r *request) bool {
	if f.off.hopeless {
		return false
	}
	return now.Add(f.needed(now, r)).After(r.arrived.Deadline)
}

// needed is the least time that a start must leave. A stage that must run at
// most once needs what it likely takes: started later, it would run into the
// deadline, and its caller be told that the outcome is unknown where "not run"
// could have been told. Half of the pipeline's time always suffices, so that
// one slow spell can't keep the stage from ever being tried again.
func (f *Flow) needed(now time.Time, r *request) time.Duration {
	least := admit.MinDuration(r.pipeline, r.stage)
	if r.at().Idempotent || f.off.needed {
		return least
	}
	likely := min(f.cfg.Admit.PredictStageDuration(now, r.pipeline, r.stage), r.pipeline.Deadline/2)
	return max(least, likely)
}

func (f *Flow) question(now time.Time, r *request) shed.PlaceRequest {
	ask := shed.StageRequest{
		Call:        r.trail.Next(r.stage),
		Pipeline:    r.pipeline.ID,
		Workspace:   r.arrived.Workspace,
		Prefix:      r.arrived.Prefix,
		InputTokens: r.arrived.InputTokens,
		Budget:      r.cutoff().Sub(now),
		Avoid:       r.avoid,
	}
	if f.rules != nil {
		ask.Revision = f.rules.Revision
	}
	return shed.PlaceRequest{StageRequest: ask, Stage: *r.at(), Deadline: r.cutoff()}
}

func (f *Flow) start(now time.Time, r *request, s *shed.Server) {
	a := f.startCall(now, r)
	f.run(r, r.trail.Start(now, a, s), s)
}

func (f *Flow) startCall(now time.Time, r *request) shed.StartCall {
	a := shed.StartCall{
		Call:        r.trail.Next(r.stage),
		Stage:       *r.at(),
		SendBy:      f.until(now, r),
		Deadline:    r.cutoff(),
		Priority:    priority(r.cutoff().Sub(now)),
		IdleTimeout: f.cfg.IdleTimeout,
	}
	if f.rules == nil {
		return a
	}
	if pool := f.rules.Pools[a.Stage.Pool]; pool != nil {
		a.Model = pool.Model
	}
	return a
}

// run makes a recorded call the live one.
func (f *Flow) run(r *request, a shed.StartCall, s *shed.Server) {
	f.started = true
	r.call = a.Call
	r.local = s
	r.offset = a.ResumeFrom
	f.setState(r, stateRunning, r.cutoff())
	f.emit(a)
}

func (f *Flow) hand(now time.Time, r *request, to shed.VM) {
	a := r.trail.Forward(now, shed.ForwardStage{
		To:          to,
		Request:     f.question(now, r).StageRequest,
		SendBy:      f.until(now, r),
		Deadline:    r.cutoff(),
		IdleTimeout: f.cfg.IdleTimeout,
	})
	a.Request.Hops++
	f.started = true
	r.call = a.Request.Call
	r.local = nil
	r.offset = 0
	f.setState(r, stateRunning, r.cutoff())
	f.emit(a)
}

// until bounds the time from here to the send, so that a process which was
// paused in between does not send on what it knew before.
func (f *Flow) until(now time.Time, r *request) time.Time {
	until := now.Add(f.cfg.SendLease)
	if cutoff := r.cutoff(); cutoff.Before(until) {
		return cutoff
	}
	return until
}

// priority for the engine: the slack in tenths of a second.
func priority(slack time.Duration) int {
	return int(slack / (100 * time.Millisecond))
}

// nowhere ends the request, unless only the servers it avoids are left: they
// are better than none, after a pause.
func (f *Flow) nowhere(now time.Time, r *request, p shed.Placement) {
	if len(r.avoid) > 0 {
		r.avoid = nil
		f.backOff(now, r)
		return
	}
	f.finish(now, r, trail.End{
		Cause:      trail.CauseRefused,
		Reason:     orElse(p.Reason, shed.ReasonNoServer),
		Rule:       p.Rule,
		RetryAfter: max(p.RetryAfter, f.retryAfter(now, r)),
	})
}

// backOff waits before the next try, or gives up at once if the wait would
// leave too little time.
func (f *Flow) backOff(now time.Time, r *request) {
	pause := f.cfg.Backoff << min(max(r.trail.Attempts(r.stage)-1, 0), maxShift)
	left := r.arrived.Deadline.Sub(now) - admit.MinDuration(r.pipeline, r.stage)
	if pause >= left && !f.off.boundPause {
		f.giveUp(now, r, shed.ReasonWontMeetDeadline)
		return
	}
	f.setState(r, stateBackoff, now.Add(pause))
}

// maxShift bounds how far Backoff doubles.
const maxShift = 5

// enqueue lets the request wait for as long as it may still make its deadline.
func (f *Flow) enqueue(now time.Time, r *request, key admit.QueueKey) {
	latest := r.arrived.Deadline.Add(-f.cfg.Admit.LowDuration(now, r.pipeline, r.stage))
	if !latest.After(now) {
		f.giveUp(now, r, r.waits)
		return
	}
	f.setState(r, stateWaiting, latest)
	evicted, ok := f.cfg.Admit.Push(now, key, f.waiting(r.arrived, latest))
	if ok {
		return
	}
	if v := f.requests[evicted]; v != nil {
		f.giveUp(now, v, shed.ReasonQueueFull)
	}
}

func (f *Flow) waiting(a shed.RequestArrived, latest time.Time) admit.Waiting {
	return admit.Waiting{
		Request:   a.Request,
		Workspace: a.Workspace,
		Share:     f.share(a.Workspace),
		Latest:    latest,
	}
}

func (f *Flow) share(id shed.WorkspaceID) int {
	if f.rules == nil {
		return 1
	}
	if ws := f.rules.Workspaces[id]; ws != nil {
		return ws.Share
	}
	return 1
}

// giveUp ends a request that can't be done in time.
func (f *Flow) giveUp(now time.Time, r *request, reason shed.Reason) {
	f.finish(now, r, trail.End{
		Cause:      trail.CauseRefused,
		Reason:     orElse(reason, shed.ReasonServersBusy),
		Rule:       r.pipeline.Origin,
		RetryAfter: f.retryAfter(now, r),
	})
}

func (f *Flow) retryAfter(now time.Time, r *request) time.Duration {
	return f.cfg.Admit.RetryAfter(now, admit.StageQueue(r.at()), f.waiting(r.arrived, time.Time{}))
}

// drain starts one of those who wait, if there is room for it.
func (f *Flow) drain(now time.Time) {
	f.queues = f.cfg.Admit.AppendQueues(f.queues[:0])
	for _, key := range f.queues {
		if f.started {
			return
		}
		f.drainQueue(now, key)
	}
}

func (f *Flow) drainQueue(now time.Time, key admit.QueueKey) {
	next := func(id shed.RequestID) bool {
		r := f.requests[id]
		return r == nil || f.place(now, r)
	}
	for !f.started || f.off.oneStart {
		if !f.cfg.Admit.PopReady(now, key, next) {
			return
		}
	}
}
