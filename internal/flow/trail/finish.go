package trail

import (
	"time"

	"jasmineshed/internal/cost"

	shed "jasmineshed"
)

// Cause is why a request ends. The outcome follows from it and from what was sent. The set of
// causes is closed.
type Cause uint8

// The causes.
const (
	// CauseDone: the last stage has its result.
	CauseDone Cause = iota + 1
	// CauseRefused: the daemon gave up on it, though no stage failed.
	CauseRefused
	// CauseFailed: a stage failed.
	CauseFailed
	// CauseDeadline: the deadline passed.
	CauseDeadline
	// CauseCallerGone: the caller went away.
	CauseCallerGone
)

// End is how and why a request ends.
type End struct {
	Cause      Cause
	Reason     shed.Reason
	Rule       shed.Origin
	RetryAfter time.Duration
}

// Refuse answers a request that has no trail, since nothing of it was sent.
func Refuse(id shed.RequestID, end End) shed.Finish {
	return shed.Finish{
		Request:    id,
		Outcome:    shed.OutcomeNotRun,
		Reason:     end.Reason,
		Rule:       end.Rule,
		RetryAfter: end.RetryAfter,
	}
}

// Finish builds the request's final answer. Calls that have not ended are charged until now.
func (t *Trail) Finish(now time.Time, end End) shed.Finish {
	outcome := t.outcome(end.Cause)
	t.settleCosts(now, outcome, end.Cause)
	return shed.Finish{
		Request:    t.request,
		Outcome:    outcome,
		Reason:     end.Reason,
		Rule:       end.Rule,
		RetryAfter: end.RetryAfter,
		Stages:     t.reports(),
	}
}

// outcome decides what was sent from the recorded calls, never from the cause.
func (t *Trail) outcome(c Cause) shed.Outcome {
	reached, done := false, true
	for i := range t.stages {
		s := &t.stages[i]
		if s.outcomeUnknown() {
			return shed.OutcomeUnknown
		}
		reached = reached || s.reachedServer()
		done = done && s.completedCall() >= 0
	}
	switch {
	case c == CauseDone && done:
		return shed.OutcomeComplete
	case c == CauseCallerGone:
		return shed.OutcomeCancelled
	case !reached:
		return shed.OutcomeNotRun
	case c == CauseDeadline:
		return shed.OutcomeDeadline
	case c == CauseRefused:
		return shed.OutcomeRefused
	}
	return shed.OutcomeFailed
}

// settleCosts decides for each call whether its cost was useful or wasted.
func (t *Trail) settleCosts(now time.Time, outcome shed.Outcome, c Cause) {
	for i := range t.stages {
		s := &t.stages[i]
		useful := -1
		if outcome == shed.OutcomeComplete {
			useful = s.completedCall()
		}
		for k := range s.calls {
			s.calls[k].settle(now, c)
		}
		// The part of a stream before it was resumed belongs to the result.
		for k := useful; k >= 0; k = int(s.calls[k].resumed) - 1 {
			s.calls[k].use = cost.Useful
		}
	}
}

// settle marks the call as waste; settleCosts then marks the useful ones.
func (c *call) settle(now time.Time, cause Cause) {
	if c.end == 0 {
		c.duration = now.Sub(c.sentAt)
	}
	switch c.end {
	case 0, shed.EndComplete:
		c.use = wasteUse(cause)
	case shed.EndCancelled:
		c.use = cost.Cancelled
	default:
		c.use = cost.Failed
	}
}

func wasteUse(c Cause) cost.Use {
	switch c {
	case CauseCallerGone:
		return cost.Cancelled
	case CauseDeadline:
		return cost.Late
	}
	return cost.Failed
}

func (c *call) cost() shed.Cost {
	if c.end == shed.EndNotStarted || c.end == shed.EndOverloaded {
		return 0
	}
	return cost.Of(c.duration, c.capacity)
}

func (t *Trail) reports() []shed.StageReport {
	out := make([]shed.StageReport, len(t.stages))
	for i := range t.stages {
		out[i] = t.stages[i].report()
	}
	return out
}

func (s *stage) report() shed.StageReport {
	r := shed.StageReport{Stage: s.id, Attempts: uint16(len(s.calls)), Ran: s.reachedServer()}
	if len(s.calls) == 0 {
		return r
	}
	shown := s.completedCall()
	if shown < 0 {
		shown = len(s.calls) - 1
	}
	r.Server = s.calls[shown].server
	r.Zone = s.calls[shown].zone
	r.Tokens = s.calls[shown].tokens
	for i := range s.calls {
		c := &s.calls[i]
		r.Took += c.duration
		if c.use == cost.Useful {
			r.Useful += c.cost()
			continue
		}
		r.Wasted += c.cost()
	}
	return r
}

// AddCosts adds the cost of every call that reached a server to the ledger. It must be called
// once, after Finish.
func (t *Trail) AddCosts(l *cost.Ledger, p shed.PipelineID) {
	for i := range t.stages {
		s := &t.stages[i]
		key := cost.Key{Pipeline: p, Stage: s.id}
		for k := range s.calls {
			if s.calls[k].end == shed.EndNotStarted {
				continue
			}
			l.Add(key, s.calls[k].use, s.calls[k].cost())
		}
	}
}
