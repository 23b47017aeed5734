package trail

import (
	"time"

	"jasmineshed/internal/cost"

	shed "jasmineshed"
)

// Cause is why a request ends. The outcome follows from it and from what was
// sent. The set is closed.
type Cause uint8

// The causes.
const (
	// CauseDone: the last stage's result is here.
	CauseDone Cause = iota + 1
	// CauseRefused: it is given up on, though nothing is wrong with it.
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

// Finish builds the request's final answer. Calls that have not ended count as
// run to now.
func (t *Trail) Finish(now time.Time, end End) shed.Finish {
	outcome := t.outcome(end.Cause)
	t.close(now, outcome, end.Cause)
	return shed.Finish{
		Request:    t.request,
		Outcome:    outcome,
		Reason:     end.Reason,
		Rule:       end.Rule,
		RetryAfter: end.RetryAfter,
		Stages:     t.reports(),
	}
}

// outcome never takes the cause's word for what was sent.
func (t *Trail) outcome(c Cause) shed.Outcome {
	reached, done := false, true
	for i := range t.stages {
		s := &t.stages[i]
		if s.inDoubt() {
			return shed.OutcomeUnknown
		}
		reached = reached || s.reached()
		done = done && s.winner() >= 0
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

// close settles the cost of every call.
func (t *Trail) close(now time.Time, outcome shed.Outcome, c Cause) {
	for i := range t.stages {
		s := &t.stages[i]
		useful := -1
		if outcome == shed.OutcomeComplete {
			useful = s.winner()
		}
		for k := range s.calls {
			s.calls[k].settle(now, c)
		}
		// What a stream brought before it was resumed is part of the result.
		for k := useful; k >= 0; k-- {
			s.calls[k].use = cost.Useful
			if !s.calls[k].resumes {
				break
			}
		}
	}
}

// settle books the call as waste; close then takes the useful ones out.
func (c *call) settle(now time.Time, cause Cause) {
	if c.end == 0 {
		c.took = now.Sub(c.at)
	}
	switch c.end {
	case 0, shed.EndComplete:
		c.use = wasteOf(cause)
	case shed.EndCancelled:
		c.use = cost.Cancelled
	default:
		c.use = cost.Failed
	}
}

func wasteOf(c Cause) cost.Use {
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
	return cost.Of(c.took, c.capacity)
}

func (t *Trail) reports() []shed.StageReport {
	out := make([]shed.StageReport, len(t.stages))
	for i := range t.stages {
		out[i] = t.stages[i].report()
	}
	return out
}

func (s *stage) report() shed.StageReport {
	r := shed.StageReport{Stage: s.id, Attempts: uint16(len(s.calls)), Ran: s.reached()}
	if len(s.calls) == 0 {
		return r
	}
	shown := s.winner()
	if shown < 0 {
		shown = len(s.calls) - 1
	}
	r.Server = s.calls[shown].server
	r.Zone = s.calls[shown].zone
	r.Tokens = s.calls[shown].tokens
	for i := range s.calls {
		c := &s.calls[i]
		r.Took += c.took
		if c.use == cost.Useful {
			r.Useful += c.cost()
			continue
		}
		r.Wasted += c.cost()
	}
	return r
}

// AddCosts adds the cost of every call that reached a server to the ledger. It is
// called once, after Finish.
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
