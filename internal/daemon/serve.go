package daemon

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	shed "jasmineshed"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

var _ shed.Serving = (*Daemon)(nil)

const (
	// notReadyRetryAfter is when a caller may retry at a daemon without rules.
	notReadyRetryAfter = time.Second
	// prefixBytes is how much of the input's start is hashed for cache affinity.
	prefixBytes = 256
	// bytesPerToken is used to estimate an input's tokens.
	bytesPerToken = 4
)

// Serve implements shed.Serving.
func (d *Daemon) Serve(ctx context.Context, req shed.Request, update func(shed.Update)) shed.Answer {
	if f := d.authorize(&req); f != nil {
		return shed.Answer{Finish: *f}
	}
	return d.serve(ctx, req, shed.Peer{}, update)
}

// authorize checks workspace, token and pipeline against the rules. It returns a
// refusal, or nil and bounds the request's budget by its pipeline's deadline.
func (d *Daemon) authorize(req *shed.Request) *shed.Finish {
	rules := d.rules.Load()
	if rules == nil {
		return refusal(req.ID, shed.ReasonNoConfig, notReadyRetryAfter)
	}
	ws := rules.Workspaces[req.Workspace]
	if ws == nil || !tokenMatches(req.Token, ws.TokenHash) {
		return refusal(req.ID, shed.ReasonUnknownWorkspace, 0)
	}
	p := rules.Pipelines[req.Pipeline]
	if p == nil {
		return refusal(req.ID, shed.ReasonUnknownPipeline, 0)
	}
	if req.Budget <= 0 || req.Budget > p.Deadline {
		req.Budget = p.Deadline
	}
	// The token is not needed any more and must not be passed on.
	req.Token = ""
	return nil
}

// tokenMatches compares in constant time, so that the time of an answer reveals
// nothing about the hash.
func tokenMatches(token, hash string) bool {
	sum := sha256.Sum256([]byte(token))
	got := hex.EncodeToString(sum[:])
	return subtle.ConstantTimeCompare([]byte(got), []byte(hash)) == 1
}

func refusal(id shed.RequestID, r shed.Reason, after time.Duration) *shed.Finish {
	return &shed.Finish{Request: id, Outcome: shed.OutcomeNotRun, Reason: r, RetryAfter: after}
}

// serve runs an authorized request of a caller, or of a peer that forwarded it to
// this process as its ticket's home.
func (d *Daemon) serve(ctx context.Context, req shed.Request, from shed.Peer, update func(shed.Update)) shed.Answer {
	d.stats.arrivedRequests.Inc(1)
	ticketed := req.ID != ""
	id := req.ID
	if !ticketed {
		id = newRequestID()
	}
	// The span and the calls of the run outlive a caller that disconnects.
	spanCtx, span := d.cfg.Tracer.Start(context.WithoutCancel(ctx), "request", trace.WithAttributes(
		attribute.String("request_id", string(id)), attribute.String("pipeline", string(req.Pipeline))))
	defer span.End()
	r := newRun(spanCtx, id, req, ticketed)
	r, refused := d.handleArrival(r, req, from)
	if refused != nil {
		return *refused
	}
	answer, ended := r.wait(ctx, update)
	if r.removeWaiter() && !ended {
		d.handle(shed.CallerGone{Request: id})
	}
	if !ended {
		answer.Finish = shed.Finish{Request: id, Outcome: shed.OutcomeCancelled, Reason: shed.ReasonCallerGone}
	}
	answer.Trace = traceID(r.span)
	span.SetAttributes(attribute.String("outcome", answer.Outcome.String()))
	return answer
}

// handleArrival reports the request to the core. It returns the run to wait for,
// which is an earlier one if the request joins it, or an answer that is for this
// arrival only.
func (d *Daemon) handleArrival(r *run, req shed.Request, from shed.Peer) (*run, *shed.Answer) {
	now := time.Now()
	ev := shed.RequestArrived{
		Request:     r.id,
		Ticketed:    r.ticketed,
		Workspace:   req.Workspace,
		Pipeline:    req.Pipeline,
		Deadline:    now.Add(req.Budget),
		Prefix:      prefixOf(req),
		InputTokens: shed.Tokens(len(req.Payload.Input)/bytesPerToken + 1),
		From:        from,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	acts := d.cfg.Core.Handle(now, ev)
	first := d.runs[r.id]
	if first == nil {
		return d.startRun(r, acts), nil
	}
	return d.joinRun(first, req.Workspace, acts)
}

// startRun performs the core's decision on a request that is new here. A run that
// was answered at once is not kept: its answer, often a refusal, is for this
// arrival only, and a retry of the request may still be run.
func (d *Daemon) startRun(r *run, acts []shed.Action) *run {
	r.addWaiter()
	d.runs[r.id] = r
	for _, act := range acts {
		if join, ok := act.(shed.JoinRequest); ok && join.Request == r.id {
			// The request ran here, but its answer is no longer kept.
			d.endRun(r, unknownOutcome(r.id, shed.ReasonTicketExpired))
		}
	}
	d.perform(acts)
	if r.isFinished() {
		delete(d.runs, r.id)
	}
	return r
}

// joinRun performs the core's decision on a retry of a request that is already
// here. A refusal of the retry must not end the first one's run, and a retry
// under another workspace must not see its answer.
func (d *Daemon) joinRun(first *run, ws shed.WorkspaceID, acts []shed.Action) (*run, *shed.Answer) {
	var rest []shed.Action
	// The answer to another workspace; it says no more than that the request may
	// have run.
	other := &shed.Finish{Request: first.id, Outcome: shed.OutcomeUnknown, Reason: shed.ReasonTicketUnknown}
	refused := other
	for _, act := range acts {
		switch a := act.(type) {
		case shed.JoinRequest, shed.ForwardRequest:
			refused = nil
		case shed.Finish:
			// The same step may have ended other requests too, and also the first
			// one after the retry has joined it.
			if a.Request == first.id && refused != nil {
				refused = &a
				continue
			}
			rest = append(rest, act)
		default:
			rest = append(rest, act)
		}
	}
	d.perform(rest)
	if refused == nil && first.workspace != ws {
		refused = other
	}
	if refused != nil {
		return nil, &shed.Answer{Finish: *refused}
	}
	first.addWaiter()
	return first, nil
}

// finish sets a run's final answer. The caller holds d.mu.
func (d *Daemon) finish(f shed.Finish) {
	r := d.runs[f.Request]
	if r == nil {
		return
	}
	d.endRun(r, shed.Answer{Finish: f, Payload: r.payload})
}

// endRun sets the run's final answer, counts it, and drops a run without ticket.
// The caller holds d.mu.
func (d *Daemon) endRun(r *run, a shed.Answer) {
	if !r.finish(a, d.cfg.AnswerRetention) {
		return
	}
	d.stats.countFinished(a.Outcome)
	d.stats.requestDuration.RecordDuration(time.Since(r.started))
	r.current, r.replacements, r.last = nil, nil, nil
	if !r.ticketed {
		delete(d.runs, r.id)
	}
	d.stats.liveRequests.Update(float64(len(d.runs)))
}

// abortRuns answers all waiting callers when the daemon ends at once.
func (d *Daemon) abortRuns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.runs {
		d.endRun(r, shed.Answer{Finish: shed.Finish{
			Request: r.id, Outcome: shed.OutcomeUnknown, Reason: shed.ReasonStopping,
		}})
	}
}

// Issue implements shed.Serving.
func (d *Daemon) Issue(_ context.Context, req shed.Request) (shed.Ticket, *shed.Finish) {
	if f := d.authorize(&req); f != nil {
		return shed.Ticket{}, f
	}
	var random [16]byte
	_, _ = rand.Read(random[:])
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg.Core.Issue(time.Now(), req.Workspace, req.Pipeline, random)
}

func newRequestID() shed.RequestID {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return shed.RequestID(hex.EncodeToString(b[:]))
}

// prefixOf hashes the workspace and the start of the input, so that calls with
// the same prompt prefix go to the engine that has it cached.
func prefixOf(req shed.Request) uint64 {
	start := req.Payload.Input
	if len(start) > prefixBytes {
		start = start[:prefixBytes]
	}
	h := xxhash.New()
	_, _ = h.WriteString(string(req.Workspace))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(start)
	return h.Sum64()
}

func traceID(span trace.Span) string {
	if sc := span.SpanContext(); sc.HasTraceID() {
		return sc.TraceID().String()
	}
	return ""
}
