package front

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	shed "jasmineshed"
	"jasmineshed/internal/telem"
)

// guard is the middleware in front of goa's handlers: limits, spans and metrics.
type guard struct {
	cfg      Config
	next     http.Handler
	tracer   trace.Tracer
	metrics  *metrics
	inFlight atomic.Int64
}

func newGuard(cfg Config, m *metrics, next http.Handler) *guard {
	return &guard{
		cfg:     cfg,
		next:    next,
		tracer:  cfg.Tracer.Tracer("jasmineshed/front"),
		metrics: m,
	}
}

// ServeHTTP passes the call on or refuses it.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	tw := newTimedWriter(w, g.cfg.Limits.WriteTimeout)
	// A balancer keeps its connections to a VM that it was told to leave, and notices the change
	// only when they are closed.
	if !g.cfg.Serving.Ready() {
		tw.Header().Set("Connection", "close")
	}
	// The body is bounded on every path: net/http reads the rest of an unread body before it
	// writes the response, and would wait for it indefinitely.
	body := newTimedBody(tw, r, &g.cfg.Limits)
	if body != nil {
		r.Body = body
		defer body.release()
	}
	if isProbe(r) {
		g.next.ServeHTTP(tw, r)
		return
	}
	r, span := g.startSpan(r)
	g.admit(tw, r)
	g.finishCall(tw, r, span, start)
}

// startSpan starts the call's span, within the caller's trace if it sent one.
func (g *guard) startSpan(r *http.Request) (*http.Request, trace.Span) {
	ctx := telem.Extract(r.Context(), r.Header)
	ctx, span := g.tracer.Start(ctx, r.Method, trace.WithSpanKind(trace.SpanKindServer))
	return r.WithContext(ctx), span
}

func (g *guard) finishCall(w *timedWriter, r *http.Request, span trace.Span, start time.Time) {
	span.SetName(spanName(r))
	span.SetAttributes(attribute.Int("http.response.status_code", w.code))
	if w.code >= http.StatusInternalServerError {
		span.SetStatus(codes.Error, http.StatusText(w.code))
	}
	span.End()
	g.metrics.recordCall(r, w, time.Since(start))
}

// admit counts the call as in flight, and refuses it beyond the limit.
func (g *guard) admit(w *timedWriter, r *http.Request) {
	inFlight := g.inFlight.Add(1)
	defer g.release()
	g.metrics.inFlight.Update(float64(inFlight))
	if inFlight > int64(g.cfg.Limits.Streams) {
		g.refuse(w, r, shed.Finish{Outcome: shed.OutcomeNotRun, Reason: reasonTooManyInFlight})
		return
	}
	g.next.ServeHTTP(w, r)
}

func (g *guard) release() {
	g.metrics.inFlight.Update(float64(g.inFlight.Add(-1)))
}

// refuse answers 503 without going through goa.
func (g *guard) refuse(w http.ResponseWriter, r *http.Request, fin shed.Finish) {
	a := newAnswerHead(r.Context(), &fin)
	g.metrics.countAnswer(a.Outcome, string(fin.Reason))
	enc := newEncoder(r.Context(), w)
	w.Header().Set("Retry-After", strconv.Itoa(*a.RetryAfter))
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = enc.Encode(newErrorResponse(a, http.StatusServiceUnavailable))
}

func isProbe(r *http.Request) bool {
	return r.URL.Path == "/healthz" || r.URL.Path == "/readyz"
}

// spanName is the route, because the path contains ids.
func spanName(r *http.Request) string {
	if r.Pattern == "" {
		return "http unknown route"
	}
	return r.Pattern
}
