package flow

import (
	"fmt"
	"time"

	"jasmineshed/internal/admit"

	shed "jasmineshed"
)

// oracle checks a run by its events and actions. It knows the guarantees of the flow, but
// nothing of the implementation.
type oracle struct {
	now      time.Time
	requests map[shed.RequestID]*observed
	faults   []string
}

// observed is what the oracle saw of one request.
type observed struct {
	pipeline   *shed.Pipeline
	deadline   time.Time
	ticketed   bool
	sends      []*send
	done       []shed.Call
	finish     *shed.Finish
	callerGone bool
}

// send is one call that was sent; end is 0 until the call has ended.
type send struct {
	call     shed.Call
	resumed  bool
	end      shed.CallEnd
	canceled bool
	// silent: silence was reported, and no progress since; progressed: progress was reported.
	silent     bool
	progressed bool
}

func newOracle() *oracle { return &oracle{requests: map[shed.RequestID]*observed{}} }

func (o *oracle) fault(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

func (o *oracle) addRequest(a shed.RequestArrived, p *shed.Pipeline) {
	if o.requests[a.Request] == nil {
		o.requests[a.Request] = &observed{pipeline: p, deadline: a.Deadline, ticketed: a.Ticketed}
	}
}

// recordEnd is called before the flow handles the end. It returns false for an end that is
// not of a call in flight, which must change nothing.
func (o *oracle) recordEnd(e shed.CallEnded) bool {
	for _, s := range o.sendsOf(e.Call.Request) {
		if s.call == e.Call && s.end == 0 {
			s.end = e.End
			return true
		}
	}
	return false
}

// recordSilence is called before the flow handles the report.
func (o *oracle) recordSilence(c shed.Call) {
	for _, s := range o.sendsOf(c.Request) {
		if s.call == c {
			s.silent = true
		}
	}
}

// recordProgress is called before the flow handles the report.
func (o *oracle) recordProgress(c shed.Call) {
	for _, s := range o.sendsOf(c.Request) {
		if s.call == c {
			s.silent, s.progressed = false, true
		}
	}
}

func (o *oracle) sendsOf(id shed.RequestID) []*send {
	if r := o.requests[id]; r != nil {
		return r.sends
	}
	return nil
}

// checkStep checks the actions of one step.
func (o *oracle) checkStep(now time.Time, acts []shed.Action) {
	o.now = now
	starts := 0
	var replaced []shed.Call
	for _, a := range acts {
		switch a := a.(type) {
		case shed.StartCall:
			starts++
			o.checkSend(&send{call: a.Call, resumed: a.ResumeFrom > 0}, a.SendBy)
		case shed.ForwardStage:
			starts++
			o.checkSend(&send{call: a.Request.Call}, a.SendBy)
		case shed.CancelCall:
			switch a.Reason {
			case shed.ReasonSilent:
				replaced = append(replaced, a.Call)
				o.markCanceled(a.Call)
			case shed.ReasonStaleAttempt:
				o.checkCancelReplacement(a.Call)
			case shed.ReasonDeadline, shed.ReasonCallerGone:
				o.checkCancel(a.Call)
			default:
				o.fault("%v cancelled for %s", a.Call, a.Reason)
			}
		case shed.StageDone:
			o.checkStageDone(a.Call)
		case shed.Finish:
			o.checkFinish(a)
		}
	}
	if starts > 1 {
		o.fault("%d starts in one step", starts)
	}
	for _, c := range replaced {
		if !o.isReplaced(c) {
			o.fault("%v given up for silence without a replacement", c)
		}
	}
}

// isReplaced reports whether a later call of the stage has made progress or completed.
func (o *oracle) isReplaced(c shed.Call) bool {
	for _, s := range o.sendsOf(c.Request) {
		if s.call.Stage != c.Stage || s.call.Attempt <= c.Attempt || s.canceled {
			continue
		}
		if s.end == shed.EndComplete || s.end == 0 && s.progressed {
			return true
		}
	}
	return false
}

// checkCancelReplacement checks that a replacement is cancelled only for an earlier call that has
// made progress or completed.
func (o *oracle) checkCancelReplacement(c shed.Call) {
	o.markCanceled(c)
	for _, s := range o.sendsOf(c.Request) {
		if s.call.Stage != c.Stage || s.call.Attempt >= c.Attempt || s.canceled {
			continue
		}
		if s.end == shed.EndComplete || s.end == 0 && s.progressed && !s.silent {
			return
		}
	}
	o.fault("replacement %v cancelled, but no earlier call goes on", c)
}

func (o *oracle) checkSend(s *send, sendBy time.Time) {
	r := o.requests[s.call.Request]
	if r == nil || r.finish != nil {
		o.fault("%v sent for a request that is not live", s.call)
		return
	}
	if sendBy.After(r.deadline) || o.now.After(r.deadline) {
		o.fault("%v may be sent after the deadline", s.call)
	}
	if int(s.call.Stage) != len(r.done) {
		o.fault("%v sent out of order", s.call)
	}
	reached, sends, live := 0, 1, 0
	for _, earlier := range r.sends {
		if earlier.end == 0 && !earlier.canceled {
			// Silent calls may go on until a replacement is accepted.
			if live++; live >= DefaultMaxAttempts || !earlier.silent || earlier.call.Stage != s.call.Stage {
				o.fault("%v sent while %v is live", s.call, earlier.call)
			}
		}
		if earlier.call.Stage != s.call.Stage {
			continue
		}
		sends++
		if earlier.end != shed.EndNotStarted {
			reached++
		}
		mayHaveRun := earlier.end == 0 || earlier.end.MayHaveRun()
		if mayHaveRun && !s.resumed && !r.pipeline.Stages[s.call.Stage].Idempotent {
			o.fault("%v must run at most once, but %v may have run", s.call, earlier.call)
		}
	}
	if reached >= DefaultMaxAttempts || sends > DefaultMaxSends {
		o.fault("%v: %d sends, %d reached a server before", s.call, sends, reached)
	}
	r.sends = append(r.sends, s)
}

func (o *oracle) markCanceled(c shed.Call) {
	for _, s := range o.sendsOf(c.Request) {
		if s.call == c {
			s.canceled = true
		}
	}
}

func (o *oracle) checkCancel(c shed.Call) {
	o.markCanceled(c)
	// A cancel doesn't end the call, which may have run. It is allowed once the later stages
	// can't be done in time any more.
	r := o.requests[c.Request]
	var later time.Duration
	if at := r.pipeline.Stages[c.Stage]; at.Idempotent {
		later = admit.MinDuration(r.pipeline, int(c.Stage)+1)
	}
	if r.callerGone && o.now.Add(later).Before(r.deadline) && r.outlivesCaller() {
		o.fault("%v cancelled for a caller, though its outcome must become known", c)
	}
}

func (o *oracle) checkStageDone(c shed.Call) {
	r := o.requests[c.Request]
	if r.finish != nil || int(c.Stage) != len(r.done) {
		o.fault("%v done out of order", c)
	}
	for _, s := range r.sends {
		if s.call != c && s.end == 0 && !s.canceled {
			o.fault("%v left running after %v is done", s.call, c)
		}
	}
	for _, s := range r.sends {
		if s.call == c && s.end == shed.EndComplete && !s.canceled {
			r.done = append(r.done, c)
			return
		}
	}
	o.fault("%v done without a complete result", c)
}

func (o *oracle) checkFinish(f shed.Finish) {
	r := o.requests[f.Request]
	if r == nil || r.finish != nil {
		o.fault("%s: unexpected answer: %v", f.Request, f.Outcome)
		return
	}
	r.finish = &f
	for _, s := range r.sends {
		if s.end == 0 && !s.canceled {
			o.fault("%v left running after the answer", s.call)
		}
	}
	reached := r.reached(-1)
	switch f.Outcome {
	case shed.OutcomeComplete:
		late := o.now.After(r.deadline) && r.pipeline.Idempotent()
		if len(r.done) != len(r.pipeline.Stages) || late {
			o.fault("%s: complete with %d stages, late %v", f.Request, len(r.done), late)
		}
	case shed.OutcomeNotRun:
		if reached {
			o.fault("%s: not_run, but a call may have reached a server", f.Request)
		}
	case shed.OutcomeUnknown:
		if !r.outcomeUnknown() {
			o.fault("%s: unknown, but the outcome of each stage is known", f.Request)
		}
	}
	if r.outcomeUnknown() && f.Outcome != shed.OutcomeUnknown {
		o.fault("%s: %d, but the outcome of a stage is unknown", f.Request, f.Outcome)
	}
	if f.Outcome != shed.OutcomeComplete && f.Reason == shed.ReasonNone {
		o.fault("%s: no reason given", f.Request)
	}
	for i, s := range f.Stages {
		if s.Ran != r.reached(i) {
			o.fault("%s: stage %d reported as ran: %v", f.Request, i, s.Ran)
		}
	}
}

// reached reports whether a send of the stage, or of any stage for -1, can have reached a
// server.
func (r *observed) reached(stage int) bool {
	for _, s := range r.sends {
		if s.end != shed.EndNotStarted && (stage < 0 || int(s.call.Stage) == stage) {
			return true
		}
	}
	return false
}

// outlivesCaller reports whether the request must continue without its caller: it has a
// ticket, or a stage that must run at most once may have run.
func (r *observed) outlivesCaller() bool {
	if r.ticketed {
		return true
	}
	for _, s := range r.sends {
		if !r.pipeline.Stages[s.call.Stage].Idempotent && (s.end == 0 || s.end.MayHaveRun()) {
			return true
		}
	}
	return false
}

// outcomeUnknown reports whether such a stage has neither result nor error.
func (r *observed) outcomeUnknown() bool {
	unknown := false
	for _, s := range r.sends {
		if r.pipeline.Stages[s.call.Stage].Idempotent {
			continue
		}
		switch s.end {
		case shed.EndComplete:
			return false
		case 0, shed.EndBroken, shed.EndBadReply, shed.EndCancelled:
			unknown = true
		}
	}
	return unknown
}

// checkBetweenSteps checks what must hold between steps.
func (o *oracle) checkBetweenSteps(now time.Time) {
	for id, r := range o.requests {
		if r.finish != nil {
			continue
		}
		if now.After(r.deadline) {
			o.fault("%s: no answer after its deadline", id)
		}
		if r.callerGone && !r.outlivesCaller() {
			o.fault("%s: continues without its caller", id)
		}
	}
}
