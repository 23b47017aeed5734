// Package trail is the history of one request's stage calls. A call that is to
// be sent passes through here first, and the final answer is built here and
// nowhere else. So an answer can't say "not run" about a call that was sent:
// whoever sends has no way round the record, and whoever finishes has no say
// in the outcome beyond the cause.
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

// call is one recorded send. end is 0 until the driver tells the call's end.
type call struct {
	at       time.Time
	took     time.Duration
	end      shed.CallEnd
	server   shed.ServerID
	zone     shed.ZoneID
	tokens   shed.Tokens
	capacity int
	// resumes: this call went on with the stream of the one before.
	resumes bool
	use     cost.Use
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

// Next is the call that the next send of the stage gets.
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
	t.record(a.Call, call{
		at:       now,
		server:   s.ID,
		zone:     s.Zone,
		capacity: s.Capacity,
		resumes:  a.ResumeFrom > 0,
	})
	return a
}

// Forward records the call as sent, then returns the action that hands it over.
func (t *Trail) Forward(now time.Time, a shed.ForwardStage) shed.ForwardStage {
	a.Request.Call = t.Next(int(a.Request.Call.Stage))
	t.record(a.Request.Call, call{at: now})
	return a
}

func (t *Trail) record(id shed.Call, c call) {
	s := &t.stages[id.Stage]
	s.calls = append(s.calls, c)
}

// RecordProgress notes which server runs the call, as a far daemon may have chosen
// it.
func (t *Trail) RecordProgress(p shed.CallProgress) {
	c := t.find(p.Call)
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
	c := t.find(e.Call)
	if c == nil || c.end != 0 {
		return false
	}
	c.end = e.End
	c.took = now.Sub(c.at)
	c.tokens = max(c.tokens, e.Tokens)
	if e.Server != "" {
		c.server = e.Server
		c.zone = e.Zone
	}
	return true
}

// HasCall tells whether the call was sent by this trail.
func (t *Trail) HasCall(id shed.Call) bool { return t.find(id) != nil }

// SetCapacity sets the places of the server that ran a handed call, for its cost.
func (t *Trail) SetCapacity(id shed.Call, capacity int) {
	if c := t.find(id); c != nil && c.capacity == 0 {
		c.capacity = capacity
	}
}

func (t *Trail) find(id shed.Call) *call {
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

// Reached counts the sends of a stage that can have come to a server.
func (t *Trail) Reached(stage int) int {
	n := 0
	for i := range t.stages[stage].calls {
		if t.stages[stage].calls[i].end != shed.EndNotStarted {
			n++
		}
	}
	return n
}

// Duration is how long the call ran, once it has ended.
func (t *Trail) Duration(id shed.Call) time.Duration {
	if c := t.find(id); c != nil {
		return c.took
	}
	return 0
}

// MayRepeat tells whether the stage may be started anew: it is idempotent, or
// none of its sends can have run.
func (t *Trail) MayRepeat(stage int) bool {
	s := &t.stages[stage]
	return s.idempotent || !s.mayHaveRun()
}

// MustReportOutcome tells whether a non-idempotent stage may have run, so that the
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

// reached tells whether any send can have come to a backend server. A server
// that refused for overload was reached, although it ran nothing.
func (s *stage) reached() bool {
	for i := range s.calls {
		if s.calls[i].end != shed.EndNotStarted {
			return true
		}
	}
	return false
}

// winner is the index of the call that gave the stage's result, or -1.
func (s *stage) winner() int {
	for i := range s.calls {
		if s.calls[i].end == shed.EndComplete {
			return i
		}
	}
	return -1
}

// inDoubt tells whether the stage must run at most once and nobody can say
// whether it did. A server's own answer, result or error, leaves no doubt.
func (s *stage) inDoubt() bool {
	if s.idempotent || s.winner() >= 0 {
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
