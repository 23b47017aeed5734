// Package flow drives the requests that this daemon accepted through their stages: one call
// in flight per stage, or several while all but the last are silent and the last is not yet
// accepted, retries only where they can't duplicate work, and exactly one final answer for each request.
package flow

import (
	"container/heap"
	"time"

	"jasmineshed/internal/admit"
	"jasmineshed/internal/cost"
	"jasmineshed/internal/flow/trail"
	"jasmineshed/internal/retry"

	shed "jasmineshed"
)

// Defaults for a zero Config.
const (
	DefaultMaxAttempts = 4
	DefaultMaxSends    = 16
	DefaultMaxResumes  = 2
	DefaultIdleTimeout = 2 * time.Second
	DefaultSendLease   = 500 * time.Millisecond
	DefaultBackoff     = 50 * time.Millisecond
)

// maxAvoid bounds the servers that a stage call asks to avoid.
const maxAvoid = 8

// Resumer is implemented by a Placer that decides whether a server may resume a stream that
// it holds.
type Resumer interface {
	MayResume(now time.Time, server shed.ServerID) bool
}

// Config sets up a Flow. Placer, Budget, Admit and Ledger are required; zero
// values of the rest take the defaults.
type Config struct {
	Placer shed.Placer
	Budget *retry.Budget
	Admit  *admit.Gate
	Ledger *cost.Ledger
	// MaxAttempts bounds the calls of one stage that can have reached a server,
	// including resumes.
	MaxAttempts int
	// MaxSends bounds all calls of one stage, including those that reached no server.
	MaxSends int
	// MaxResumes bounds how often the stream of one stage is resumed.
	MaxResumes int
	// IdleTimeout is how long nothing may arrive for a call before it counts as silent.
	IdleTimeout time.Duration
	// SendLease bounds the time between a decision to send and the send.
	SendLease time.Duration
	// Backoff is the wait before a retry that has no other server to go to; it doubles
	// with each attempt.
	Backoff time.Duration
}

// Flow holds the live requests. It is not safe for concurrent use.
//
// Every slice of actions that it returns holds at most one StartCall or ForwardStage: the
// Placer reserves nothing, so two placements in one step could both get the last slot of a
// cold server. The caller records a start first and then calls StartNext until that returns
// no start.
type Flow struct {
	cfg      Config
	disabled safeguards
	rules    *shed.Rules
	// requests are the accepted and not yet finished ones.
	requests map[shed.RequestID]*request
	// byWakeTime orders the requests by the time at which they need attention.
	byWakeTime wakeHeap
	// silentServers are the servers with a silent call, and until when the report of it is valid.
	// Whatever a server sends for any call removes it.
	silentServers map[shed.ServerID]time.Time
	// stopping is why new requests are refused; empty while they are accepted.
	stopping shed.Reason
	// out collects the actions of the step; started reports whether a start is among them.
	out     []shed.Action
	started bool
	queues  []admit.QueueKey
}

// safeguards can be disabled by tests, to prove that the tests detect their absence.
type safeguards struct {
	staleEnds     bool
	mayRetry      bool
	oneFinish     bool
	checkLate     bool
	oneStart      bool
	outliveCaller bool
	checkDeadline bool
	boundBackoff  bool
	skipQueue     bool
	likelyTime    bool
	secureFirst   bool
}

// New returns a flow without requests.
func New(cfg Config) *Flow {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = DefaultMaxAttempts
	}
	if cfg.MaxSends == 0 {
		cfg.MaxSends = DefaultMaxSends
	}
	if cfg.MaxResumes == 0 {
		cfg.MaxResumes = DefaultMaxResumes
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.SendLease == 0 {
		cfg.SendLease = DefaultSendLease
	}
	if cfg.Backoff == 0 {
		cfg.Backoff = DefaultBackoff
	}
	return &Flow{
		cfg:           cfg,
		requests:      map[shed.RequestID]*request{},
		silentServers: map[shed.ServerID]time.Time{},
	}
}

// SetRules applies new rules. A request keeps the pipeline that it was accepted with; where
// its stages may run follows the new rules at once.
func (f *Flow) SetRules(rules *shed.Rules) {
	f.rules = rules
	f.cfg.Admit.SetRules(rules)
}

// Stop refuses all new requests; live ones continue to their end.
func (f *Flow) Stop(reason shed.Reason) { f.stopping = reason }

// Live counts the requests that have no final answer yet.
func (f *Flow) Live() int { return len(f.requests) }

// Handle processes one event. Events of other packages are ignored. The slice is
// valid until the next step.
func (f *Flow) Handle(now time.Time, ev shed.Event) []shed.Action {
	f.begin()
	switch e := ev.(type) {
	case shed.RequestArrived:
		f.handleRequest(now, e)
	case shed.CallerGone:
		f.handleCallerGone(now, e.Request)
	case shed.CallProgress:
		f.handleProgress(e)
	case shed.CallSilent:
		f.handleSilent(now, e)
	case shed.CallEnded:
		f.handleCallEnded(now, e)
	case shed.Tick:
		f.tick(now)
	}
	return f.out
}

// StartNext offers free servers to the waiting requests, in queue order. It starts at most one.
func (f *Flow) StartNext(now time.Time) []shed.Action {
	f.begin()
	f.startWaiting(now)
	return f.out
}

func (f *Flow) begin() {
	f.out = nil
	f.started = false
}

func (f *Flow) emit(a shed.Action) { f.out = append(f.out, a) }

func (f *Flow) handleRequest(now time.Time, a shed.RequestArrived) {
	if f.requests[a.Request] != nil {
		f.emit(shed.Note{Reason: shed.ReasonDuplicate, Request: a.Request})
		return
	}
	p, refusal := f.pipelineOf(a)
	if p == nil {
		f.emit(trail.Refuse(a.Request, refusal))
		return
	}
	key := admit.StageQueue(&p.Stages[0])
	verdict := f.cfg.Admit.Admit(now, admit.Request{
		Waiting:  f.queueEntry(a, time.Time{}),
		Pipeline: p,
		Deadline: a.Deadline,
		Queue:    key,
	})
	if !verdict.Admitted {
		end := trail.End{Reason: verdict.Reason, Rule: p.Origin, RetryAfter: verdict.RetryAfter}
		f.emit(trail.Refuse(a.Request, end))
		return
	}
	r := &request{
		arrived:  a,
		pipeline: p,
		trail:    trail.New(trail.Config{Request: a.Request, Stages: p.Stages}),
		index:    -1,
	}
	f.requests[a.Request] = r
	f.advance(now, r)
}

func (f *Flow) pipelineOf(a shed.RequestArrived) (*shed.Pipeline, trail.End) {
	if f.stopping != shed.ReasonNone {
		return nil, trail.End{Reason: f.stopping}
	}
	if f.rules == nil {
		return nil, trail.End{Reason: shed.ReasonNoConfig}
	}
	p := f.rules.Pipelines[a.Pipeline]
	if p == nil || len(p.Stages) == 0 {
		return nil, trail.End{Reason: shed.ReasonUnknownPipeline}
	}
	return p, trail.End{}
}

// tick handles all requests whose wake time has come and starts at most one waiting request.
func (f *Flow) tick(now time.Time) {
	for len(f.byWakeTime) > 0 && !f.byWakeTime[0].wakeAt.After(now) {
		r := heap.Pop(&f.byWakeTime).(*request)
		f.handleWake(now, r)
	}
	f.expireSilence(now)
	f.startWaiting(now)
}

func (f *Flow) handleWake(now time.Time, r *request) {
	switch r.state {
	case stateBackoff:
		f.advance(now, r)
	case stateWaiting:
		f.giveUp(now, r, r.waitReason)
	case stateRunning:
		f.finish(now, r, trail.End{Cause: trail.CauseDeadline, Reason: shed.ReasonDeadline})
	}
}

// finish emits the final answer of the request and removes it. A call in flight is
// cancelled, since its result would be dropped.
func (f *Flow) finish(now time.Time, r *request, end trail.End) {
	if r.state == stateRunning {
		for _, k := range r.kept {
			f.emit(shed.CancelCall{Call: k.call, Reason: end.Reason})
		}
		f.emit(shed.CancelCall{Call: r.call, Reason: end.Reason})
	}
	f.emit(r.trail.Finish(now, end))
	r.trail.AddCosts(f.cfg.Ledger, r.pipeline.ID)
	f.cfg.Admit.Remove(r.arrived.Request)
	f.setState(r, stateFinished, time.Time{})
	if !f.disabled.oneFinish {
		delete(f.requests, r.arrived.Request)
	}
}
