// Package trail records the stage calls of one request. Every call is recorded here before it
// is sent, and the final answer is built only here, so an answer can't say "not run" about a
// call that was sent: no sender can bypass the record, and the code that finishes a request
// decides only the cause, not the outcome.
package trail

import (
	"time"

	"jasmineshed/internal/cost"

	shed "jasmineshed"
)

// Config sets up a Trail.
type Config struct {
	Request shed.RequestID
	Stages  []shed.Stage
}

// Trail records every call of one request. It is not safe for concurrent use.
type Trail struct {
	request shed.RequestID
	stages  []stage
}

type stage struct {
	id         shed.StageID
	idempotent bool
	// calls in the order of sending; the attempt number is the index plus 1.
	calls []call
}

// call is one recorded send. end is 0 until the driver reports the call's end.
type call struct {
	sentAt   time.Time
	duration time.Duration
	end      shed.CallEnd
	server   shed.ServerID
	zone     shed.ZoneID
	tokens   shed.Tokens
	capacity int
	// resumed is the attempt whose stream this call resumed; 0 if none.
	resumed uint16
	// replaced: the call was cancelled because another one of its stage goes on.
	replaced bool
	use      cost.Use
}

// New returns the trail of a request that has sent nothing.
func New(cfg Config) *Trail {
	t := &Trail{request: cfg.Request, stages: make([]stage, len(cfg.Stages))}
	for i := range cfg.Stages {
		t.stages[i].id = cfg.Stages[i].ID
		t.stages[i].idempotent = cfg.Stages[i].Idempotent
	}
	return t
}

// Next returns the identity of the next call of the stage.
func (t *Trail) Next(stage int) shed.Call {
	return shed.Call{
		Request: t.request,
		Stage:   uint8(stage),
		Attempt: uint16(len(t.stages[stage].calls) + 1),
	}
}

// Start records the call as sent, then returns the action that sends it.
func (t *Trail) Start(now time.Time, a shed.StartCall, s *shed.Server) shed.StartCall {
	a.Call = t.Next(int(a.Call.Stage))
	a.Server = s.ID
	a.URL = s.URL
	c := call{
		sentAt:   now,
		server:   s.ID,
		zone:     s.Zone,
		capacity: s.Capacity,
	}
	if a.ResumeFrom > 0 {
		c.resumed = a.Resumes.Attempt
	}
	t.record(a.Call, c)
	return a
}

// Forward records the call as sent, then returns the action that forwards it.
func (t *Trail) Forward(now time.Time, a shed.ForwardStage) shed.ForwardStage {
	a.Request.Call = t.Next(int(a.Request.Call.Stage))
	t.record(a.Request.Call, call{sentAt: now})
	return a
}

func (t *Trail) record(id shed.Call, c call) {
	s := &t.stages[id.Stage]
	s.calls = append(s.calls, c)
}

// RecordProgress records which server runs the call, as a daemon of another zone may have
// chosen it.
func (t *Trail) RecordProgress(p shed.CallProgress) {
	c := t.findCall(p.Call)
	if c == nil || c.end != 0 {
		return
	}
	if p.Server != "" {
		c.server = p.Server
		c.zone = p.Zone
	}
	c.tokens = max(c.tokens, p.Tokens)
}

// RecordEnd records a call's end. It returns false, and changes nothing, for a
// call that was never sent or has ended already.
func (t *Trail) RecordEnd(now time.Time, e shed.CallEnded) bool {
	c := t.findCall(e.Call)
	if c == nil || c.end != 0 {
		return false
	}
	c.end = e.End
	c.duration = now.Sub(c.sentAt)
	c.tokens = max(c.tokens, e.Tokens)
	if e.Server != "" {
		c.server = e.Server
		c.zone = e.Zone
	}
	return true
}

// Replace records that the call was cancelled because another one of its stage goes on. Until its
// end is known, it counts as one that ran.
func (t *Trail) Replace(id shed.Call) {
	if c := t.findCall(id); c != nil {
		c.replaced = true
	}
}

// RecordReplacedEnd records the end of a replaced call; false for any other call and for one that
// has ended. The result of a replaced call does not count, even if it is complete.
func (t *Trail) RecordReplacedEnd(now time.Time, e shed.CallEnded) bool {
	c := t.findCall(e.Call)
	if c == nil || !c.replaced {
		return false
	}
	if e.End == shed.EndComplete {
		e.End = shed.EndCancelled
	}
	return t.RecordEnd(now, e)
}

// HasCall reports whether the call was sent by this trail.
func (t *Trail) HasCall(id shed.Call) bool { return t.findCall(id) != nil }

// SetCapacity sets the capacity of the server that ran a forwarded call, for its cost.
func (t *Trail) SetCapacity(id shed.Call, capacity int) {
	if c := t.findCall(id); c != nil && c.capacity == 0 {
		c.capacity = capacity
	}
}

func (t *Trail) findCall(id shed.Call) *call {
	if id.Request != t.request || int(id.Stage) >= len(t.stages) {
		return nil
	}
	calls := t.stages[id.Stage].calls
	if id.Attempt == 0 || int(id.Attempt) > len(calls) {
		return nil
	}
	return &calls[id.Attempt-1]
}

// Attempts counts the sends of a stage.
func (t *Trail) Attempts(stage int) int { return len(t.stages[stage].calls) }

// Reached counts the sends of a stage that can have reached a server.
func (t *Trail) Reached(stage int) int {
	n := 0
	for i := range t.stages[stage].calls {
		if t.stages[stage].calls[i].end != shed.EndNotStarted {
			n++
		}
	}
	return n
}

// Duration returns how long the call ran, once it has ended.
func (t *Trail) Duration(id shed.Call) time.Duration {
	if c := t.findCall(id); c != nil {
		return c.duration
	}
	return 0
}

// MayRetry reports whether the stage may be started again: it is idempotent, or
// none of its sends can have run.
func (t *Trail) MayRetry(stage int) bool {
	s := &t.stages[stage]
	return s.idempotent || !s.mayHaveRun()
}

// MustReportOutcome reports whether a non-idempotent stage may have run, so that the
// request's end must become known even if its caller has gone.
func (t *Trail) MustReportOutcome() bool {
	for i := range t.stages {
		s := &t.stages[i]
		if !s.idempotent && s.mayHaveRun() {
			return true
		}
	}
	return false
}

// mayHaveRun counts a call whose end isn't known yet as one that ran.
func (s *stage) mayHaveRun() bool {
	for i := range s.calls {
		if s.calls[i].end == 0 || s.calls[i].end.MayHaveRun() {
			return true
		}
	}
	return false
}

// reachedServer reports whether any send can have reached a backend server. A server
// that refused for overload was reached, although it ran nothing.
func (s *stage) reachedServer() bool {
	for i := range s.calls {
		if s.calls[i].end != shed.EndNotStarted {
			return true
		}
	}
	return false
}

// completedCall is the index of the call that produced the stage's result, or -1.
func (s *stage) completedCall() int {
	for i := range s.calls {
		if s.calls[i].end == shed.EndComplete {
			return i
		}
	}
	return -1
}

// outcomeUnknown reports whether the stage must run at most once and it is unknown whether it
// did. A server's own answer, result or error, settles it.
func (s *stage) outcomeUnknown() bool {
	if s.idempotent || s.completedCall() >= 0 {
		return false
	}
	for i := range s.calls {
		switch s.calls[i].end {
		case 0, shed.EndBroken, shed.EndBadReply, shed.EndCancelled:
			return true
		}
	}
	return false
}
