package front

import (
	"context"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	shed "jasmineshed"
	"jasmineshed/internal/gen/health"
	"jasmineshed/internal/gen/pipelines"
)

// service implements goa's services on top of shed.Serving.
type service struct {
	serving           shed.Serving
	heartbeatInterval time.Duration
	metrics           *metrics
}

// Run runs a pipeline and returns the complete result.
func (s *service) Run(ctx context.Context, p *pipelines.RunPayload) (*pipelines.Answer, error) {
	req := newRequest(p.Workspace, p.Token, p.Pipeline)
	setPayload(req, p.Input, p.MaxTokens, p.BudgetMs)
	return s.answerOrError(ctx, s.serve(ctx, req, nil))
}

// Stream runs a pipeline and sends its result as events.
func (s *service) Stream(ctx context.Context, p *pipelines.StreamPayload, stream pipelines.StreamServerStream) error {
	req := newRequest(p.Workspace, p.Token, p.Pipeline)
	setPayload(req, p.Input, p.MaxTokens, p.BudgetMs)
	out := newEventStream(stream, s.heartbeatInterval)
	answer := s.recordAnswer(ctx, s.serve(ctx, req, out.sendUpdate))
	return out.finish(answer)
}

func (s *service) serve(ctx context.Context, req *shed.Request, update func(shed.Update)) *shed.Answer {
	answer := s.serving.Serve(ctx, *req, update)
	return &answer
}

// Issue issues a ticket.
func (s *service) Issue(ctx context.Context, p *pipelines.IssuePayload) (*pipelines.Ticket, error) {
	ticket, refusal := s.serving.Issue(ctx, *newRequest(p.Workspace, p.Token, p.Pipeline))
	if refusal != nil {
		return nil, s.recordAnswer(ctx, &shed.Answer{Finish: *refusal})
	}
	return &pipelines.Ticket{
		RequestID:   string(ticket.ID),
		ExpiresInMs: time.Until(ticket.Expires).Milliseconds(),
	}, nil
}

// Once runs a request at most once for its ticket.
func (s *service) Once(ctx context.Context, p *pipelines.OncePayload) (*pipelines.Answer, error) {
	req := newRequest(p.Workspace, p.Token, p.Pipeline)
	req.ID = shed.RequestID(p.RequestID)
	setPayload(req, p.Input, p.MaxTokens, p.BudgetMs)
	return s.answerOrError(ctx, s.serve(ctx, req, nil))
}

// Result returns the answer to a ticketed request.
func (s *service) Result(ctx context.Context, p *pipelines.ResultPayload) (*pipelines.Answer, error) {
	req := newRequest(p.Workspace, p.Token, "")
	req.ID = shed.RequestID(p.RequestID)
	answer := s.serving.Result(ctx, *req)
	return s.answerOrError(ctx, &answer)
}

// Live reports that the process is alive.
func (s *service) Live(context.Context) (*health.Health, error) {
	return &health.Health{Status: "live"}, nil
}

// Ready tells the balancer whether to send requests to this VM.
func (s *service) Ready(context.Context) (*health.Health, error) {
	if !s.serving.Ready() {
		return nil, &health.NotReady{Status: "not_ready"}
	}
	return &health.Health{Status: "ready"}, nil
}

// answerOrError returns an answer that is not complete as an error, which the design maps to
// its HTTP status.
func (s *service) answerOrError(ctx context.Context, answer *shed.Answer) (*pipelines.Answer, error) {
	out := s.recordAnswer(ctx, answer)
	if out.Status != statusComplete {
		return nil, out
	}
	return out, nil
}

// recordAnswer records the outcome of the call on its span and in the metrics.
func (s *service) recordAnswer(ctx context.Context, recordAnswer *shed.Answer) *pipelines.Answer {
	out := newAnswer(ctx, recordAnswer)
	s.metrics.countAnswer(out.Outcome, string(recordAnswer.Reason))
	trace.SpanFromContext(ctx).SetAttributes(
		attribute.String("request", string(recordAnswer.Request)),
		attribute.String("outcome", out.Outcome),
		attribute.String("reason", string(recordAnswer.Reason)),
		attribute.Int("rule.line", recordAnswer.Rule.Line),
	)
	return out
}

const bearerPrefix = "Bearer "

func newRequest(workspace string, token *string, pipeline string) *shed.Request {
	req := &shed.Request{
		Workspace: shed.WorkspaceID(workspace),
		Pipeline:  shed.PipelineID(pipeline),
	}
	if token != nil {
		req.Token = strings.TrimPrefix(*token, bearerPrefix)
	}
	return req
}

func setPayload(req *shed.Request, input string, tokens *uint32, budget *int64) {
	req.Payload.Input = input
	if tokens != nil {
		req.Payload.MaxTokens = shed.Tokens(*tokens)
	}
	if budget != nil {
		req.Budget = time.Duration(*budget) * time.Millisecond
	}
}
