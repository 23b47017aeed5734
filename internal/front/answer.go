package front

import (
	"context"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/gen/pipelines"
	"jasmineshed/internal/telem"
)

// Names of the HTTP statuses; the design maps each to its code.
const (
	statusComplete        = "complete"
	statusBadRequest      = "bad_request"
	statusUnauthenticated = "unauthenticated"
	statusForbidden       = "forbidden"
	statusNotFound        = "not_found"
	statusUnknown         = "outcome_unknown"
	statusGone            = "gone"
	statusTooLarge        = "too_large"
	statusNeedsTicket     = "needs_ticket"
	statusFailed          = "failed"
	statusUnavailable     = "unavailable"
	statusDeadline        = "deadline_exceeded"
)

// clientErrorStatuses holds the statuses of refusals that a retry can't fix: the caller has to
// change the request.
var clientErrorStatuses = map[shed.Reason]string{
	shed.ReasonUnknownPipeline:  statusNotFound,
	shed.ReasonUnknownWorkspace: statusUnauthenticated,
	shed.ReasonNotAllowed:       statusForbidden,
	shed.ReasonNeedsTicket:      statusNeedsTicket,
	shed.ReasonTicketUnknown:    statusNotFound,
	shed.ReasonTicketExpired:    statusGone,
}

// statusOf returns the name of the HTTP status for an answer.
func statusOf(fin *shed.Finish) string {
	switch fin.Outcome {
	case shed.OutcomeComplete:
		return statusComplete
	case shed.OutcomeUnknown:
		return statusUnknown
	case shed.OutcomeFailed:
		return statusFailed
	case shed.OutcomeDeadline:
		return statusDeadline
	case shed.OutcomeNotRun:
		if s, ok := clientErrorStatuses[fin.Reason]; ok {
			return s
		}
	}
	return statusUnavailable
}

// minRetryAfter is one second: the Retry-After header has no smaller unit, and a caller that
// gets 0 retries at once.
const minRetryAfter = time.Second

func retryAfter(d time.Duration) (seconds int, ms int64) {
	d = max(d, minRetryAfter)
	return int((d + time.Second - 1) / time.Second), d.Milliseconds()
}

// newAnswer converts an answer to the design's type.
func newAnswer(ctx context.Context, a *shed.Answer) *pipelines.Answer {
	out := newAnswerHead(ctx, &a.Finish)
	if a.Trace != "" {
		out.TraceID = optionalString(a.Trace)
	}
	if a.Outcome == shed.OutcomeComplete {
		out.Payload = newOutput(&a.Payload)
	}
	return out
}

// newAnswerHead returns the answer without its payload.
func newAnswerHead(ctx context.Context, fin *shed.Finish) *pipelines.Answer {
	out := &pipelines.Answer{
		Status:    statusOf(fin),
		Outcome:   fin.Outcome.String(),
		Reason:    optionalString(string(fin.Reason)),
		Message:   optionalString(message(fin)),
		RequestID: optionalString(string(fin.Request)),
		TraceID:   optionalString(telem.TraceID(ctx)),
		Stages:    newStages(fin.Stages),
	}
	if fin.Rule.Line > 0 {
		out.Rule = &pipelines.Rule{Line: fin.Rule.Line, Asked: fin.Rule.RequestedBy}
	}
	if out.Status == statusUnavailable {
		seconds, ms := retryAfter(fin.RetryAfter)
		out.RetryAfter = &seconds
		out.RetryAfterMs = &ms
	}
	return out
}

func newStages(reports []shed.StageReport) []*pipelines.Stage {
	out := make([]*pipelines.Stage, 0, len(reports))
	for i := range reports {
		out = append(out, newStage(&reports[i]))
	}
	return out
}

func newStage(r *shed.StageReport) *pipelines.Stage {
	return &pipelines.Stage{
		Stage:    string(r.Stage),
		Server:   optionalString(string(r.Server)),
		Zone:     optionalString(string(r.Zone)),
		Attempts: uint(r.Attempts),
		Ran:      r.Ran,
		TookMs:   float64(r.Took.Microseconds()) / 1000,
		Tokens:   uint32(r.Tokens),
		Cost:     &pipelines.StageCost{Useful: uint64(r.Useful), Wasted: uint64(r.Wasted)},
	}
}

func newOutput(p *shed.Payload) *pipelines.Output {
	out := &pipelines.Output{
		Text:    optionalString(p.Text),
		Receipt: optionalString(p.Receipt),
		Vector:  p.Vector,
	}
	for i := range p.Passages {
		q := &p.Passages[i]
		out.Passages = append(out.Passages, &pipelines.Passage{ID: q.ID, Text: q.Text, Score: q.Score})
	}
	return out
}

// optionalString returns nil for an empty string, so that JSON omits it.
func optionalString(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}
