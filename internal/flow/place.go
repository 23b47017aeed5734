package flow

import (
	"time"

	"jasmineshed/internal/admit"
	"jasmineshed/internal/flow/trail"

	shed "jasmineshed"
)

// advance places the current stage, behind the requests that already wait for the same servers.
func (f *Flow) advance(now time.Time, r *request) {
	key := admit.StageQueue(r.currentStage())
	if f.started && !f.disabled.oneStart || f.cfg.Admit.Len(key) > 0 {
		f.enqueue(now, r, key)
		f.startFromQueue(now, key)
		return
	}
	if !f.place(now, r) {
		f.enqueue(now, r, key)
	}
}

// place tries to start the stage. It returns false if the request has to wait;
// true if it was started, backs off or is finished.
func (f *Flow) place(now time.Time, r *request) bool {
	if f.cannotMeetDeadline(now, r) {
		f.giveUp(now, r, shed.ReasonWontMeetDeadline)
		return true
	}
	p := f.cfg.Placer.Place(now, f.placeRequest(now, r))
	switch p.Kind {
	case shed.PlaceLocal:
		f.start(now, r, p.Server)
	case shed.PlacePeer:
		f.forward(now, r, p.Peer)
	case shed.PlaceWait:
		r.waitReason = p.Reason
		return f.skipQueue(now, r)
	default:
		f.handleNoServer(now, r, p)
	}
	return true
}

// skipQueue keeps a request that avoids servers out of the queue, and returns whether it did.
// At the head of the queue it would block all requests behind it that could use the very
// server that it avoids. It skips the queue at most maxQueueSkips times per stage: outside the
// queue it is rarely placed at the moment at which another server becomes free, so after that
// it queues like the others and accepts any server.
func (f *Flow) skipQueue(now time.Time, r *request) bool {
	if len(r.avoid) == 0 || f.disabled.skipQueue {
		return false
	}
	if r.queueSkips >= maxQueueSkips {
		r.avoid = nil
		return false
	}
	r.queueSkips++
	f.backOff(now, r)
	return true
}

// maxQueueSkips bounds how often a request skips the queue in one stage.
const maxQueueSkips = 2

// cannotMeetDeadline reports whether the rest of the pipeline can't be done in time even if it
// is started now. Starting it would only take capacity from another request.
func (f *Flow) cannotMeetDeadline(now time.Time, r *request) bool {
	if f.disabled.checkDeadline {
		return false
	}
	return now.Add(f.minRemaining(now, r)).After(r.arrived.Deadline)
}

// minRemaining is the least time that must remain at a start. A stage that must run at most
// once needs its likely duration: started later, it would run into the deadline, and its caller
// would be told that the outcome is unknown instead of "not run". Half of the pipeline's
// deadline always suffices, so that one slow phase can't prevent all further tries of the stage.
func (f *Flow) minRemaining(now time.Time, r *request) time.Duration {
	least := admit.MinDuration(r.pipeline, r.stage)
	if r.currentStage().Idempotent || f.disabled.likelyTime {
		return least
	}
	likely := min(f.cfg.Admit.PredictStageDuration(now, r.pipeline, r.stage), r.pipeline.Deadline/2)
	return max(least, likely)
}

func (f *Flow) placeRequest(now time.Time, r *request) shed.PlaceRequest {
	req := shed.StageRequest{
		Call:        r.trail.Next(r.stage),
		Pipeline:    r.pipeline.ID,
		Workspace:   r.arrived.Workspace,
		Prefix:      r.arrived.Prefix,
		InputTokens: r.arrived.InputTokens,
		Budget:      r.cutoff().Sub(now),
		Avoid:       r.avoid,

		ReportSilence: true,
	}
	if f.rules != nil {
		req.Revision = f.rules.Revision
	}
	return shed.PlaceRequest{StageRequest: req, Stage: *r.currentStage(), Deadline: r.cutoff()}
}

func (f *Flow) start(now time.Time, r *request, s *shed.Server) {
	a := f.startCall(now, r)
	f.run(r, r.trail.Start(now, a, s), s)
}

func (f *Flow) startCall(now time.Time, r *request) shed.StartCall {
	a := shed.StartCall{
		Call:        r.trail.Next(r.stage),
		Stage:       *r.currentStage(),
		SendBy:      f.sendBy(now, r),
		Deadline:    r.cutoff(),
		Priority:    priority(r.cutoff().Sub(now)),
		IdleTimeout: f.cfg.IdleTimeout,

		ReportSilence: true,
	}
	if f.rules == nil {
		return a
	}
	if pool := f.rules.Pools[a.Stage.Pool]; pool != nil {
		a.Model = pool.Model
	}
	return a
}

// run makes a recorded call the current one.
func (f *Flow) run(r *request, a shed.StartCall, s *shed.Server) {
	f.started = true
	r.call = a.Call
	r.localServer = s
	r.tokensBefore = a.ResumeFrom
	f.setState(r, stateRunning, r.cutoff())
	f.emit(a)
}

func (f *Flow) forward(now time.Time, r *request, to shed.VM) {
	a := r.trail.Forward(now, shed.ForwardStage{
		To:          to,
		Request:     f.placeRequest(now, r).StageRequest,
		SendBy:      f.sendBy(now, r),
		Deadline:    r.cutoff(),
		IdleTimeout: f.cfg.IdleTimeout,
	})
	a.Request.Hops++
	f.started = true
	r.call = a.Request.Call
	r.localServer = nil
	r.tokensBefore = 0
	f.setState(r, stateRunning, r.cutoff())
	f.emit(a)
}

// sendBy bounds the time until the send, so that a process that was paused in between does not
// send on the basis of an outdated state.
func (f *Flow) sendBy(now time.Time, r *request) time.Time {
	sendBy := now.Add(f.cfg.SendLease)
	if cutoff := r.cutoff(); cutoff.Before(sendBy) {
		return cutoff
	}
	return sendBy
}

// priority for the engine: the slack in tenths of a second.
func priority(slack time.Duration) int {
	return int(slack / (100 * time.Millisecond))
}

// handleNoServer ends the request, unless only the servers that it avoids are left: after a
// backoff these are better than none.
func (f *Flow) handleNoServer(now time.Time, r *request, p shed.Placement) {
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

// backOff waits before the next try, or gives up at once if the wait would leave too little
// time.
func (f *Flow) backOff(now time.Time, r *request) {
	pause := f.cfg.Backoff << min(max(r.trail.Attempts(r.stage)-1, 0), maxBackoffShift)
	remaining := r.arrived.Deadline.Sub(now) - admit.MinDuration(r.pipeline, r.stage)
	if pause >= remaining && !f.disabled.boundBackoff {
		f.giveUp(now, r, shed.ReasonWontMeetDeadline)
		return
	}
	f.setState(r, stateBackoff, now.Add(pause))
}

// maxBackoffShift bounds how often Backoff doubles.
const maxBackoffShift = 5

// enqueue lets the request wait for as long as it can still meet its deadline.
func (f *Flow) enqueue(now time.Time, r *request, key admit.QueueKey) {
	latest := f.latestStart(now, r)
	if !latest.After(now) {
		f.giveUp(now, r, r.waitReason)
		return
	}
	f.setState(r, stateWaiting, latest)
	f.push(now, r, key, latest)
}

// latestStart is the latest time at which the current stage may start to be in time.
func (f *Flow) latestStart(now time.Time, r *request) time.Time {
	return r.arrived.Deadline.Add(-f.cfg.Admit.LowDuration(now, r.pipeline, r.stage))
}

// push queues the request. An evicted one is given up, unless its call goes on.
func (f *Flow) push(now time.Time, r *request, key admit.QueueKey, latest time.Time) {
	evicted, ok := f.cfg.Admit.Push(now, key, f.queueEntry(r.arrived, latest))
	if ok {
		return
	}
	if v := f.requests[evicted]; v != nil && v.state != stateRunning {
		f.giveUp(now, v, shed.ReasonQueueFull)
	}
}

func (f *Flow) queueEntry(a shed.RequestArrived, latest time.Time) admit.Waiting {
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
	return f.cfg.Admit.RetryAfter(now, admit.StageQueue(r.currentStage()), f.queueEntry(r.arrived, time.Time{}))
}

// startWaiting starts one waiting request, if there is capacity for it.
func (f *Flow) startWaiting(now time.Time) {
	f.queues = f.cfg.Admit.AppendQueues(f.queues[:0])
	for _, key := range f.queues {
		if f.started {
			return
		}
		f.startFromQueue(now, key)
	}
}

func (f *Flow) startFromQueue(now time.Time, key admit.QueueKey) {
	tryStart := func(id shed.RequestID) bool {
		r := f.requests[id]
		if r != nil && r.state == stateRunning {
			return f.replaceFromQueue(now, r)
		}
		return r == nil || f.place(now, r)
	}
	for !f.started || f.disabled.oneStart {
		if !f.cfg.Admit.PopReady(now, key, tryStart) {
			return
		}
	}
}
