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
	// comeBackSoon is when to come back to a daemon that is not ready.
	comeBackSoon = time.Second
	// prefixBytes of the input decide its cache affinity.
	prefixBytes = 256
	// bytesPerToken estimates the size of an input.
	bytesPerToken = 4
)

// Serve implements shed.Serving.
func (d *Daemon) Serve(ctx context.Context, req shed.Request, update func(shed.Update)) shed.Answer {
	if f := d.check(&req); f != nil {
		return shed.Answer{Finish: *f}
	}
	return d.serve(ctx, req, shed.Peer{}, update)
}

// check refuses whom the rules don't know. It returns nil if the caller may go
// on, with the request's budget bounded by its pipeline's deadline.
func (d *Daemon) check(req *shed.Request) *shed.Finish {
	rules := d.rules.Load()
	if rules == nil {
		return refusal(req.ID, shed.ReasonNoConfig, comeBackSoon)
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
	// The token proved what it had to; it goes no further than here.
	req.Token = ""
	return nil
}

// tokenMatches compares in constant time, so that an answer's delay tells
// nothing about the hash.
func tokenMatches(token, hash string) bool {
	sum := sha256.Sum256([]byte(token))
	got := hex.EncodeToString(sum[:])
	return subtle.ConstantTimeCompare([]byte(got), []byte(hash)) == 1
}

func refusal(id shed.RequestID, r shed.Reason, after time.Duration) *shed.Finish {
	return &shed.Finish{Request: id, Outcome: shed.OutcomeNotRun, Reason: r, RetryAfter: after}
}

// serve runs a checked request that came from a caller, or from a peer that
// handed it over to this process as its home.
func (d *Daemon) serve(ctx context.Context, req shed.Request, from shed.Peer, update func(shed.Update)) shed.Answer {
	d.stats.arrived.Inc(1)
	ticketed := req.ID != ""
	id := req.ID
	if !ticketed {
		id = newRequestID()
	}
	// The span outlives a caller who goes; so do the calls of the run.
	spanCtx, span := d.cfg.Tracer.Start(context.WithoutCancel(ctx), "request", trace.WithAttributes(
		attribute.String("request_id", string(id)), attribute.String("pipeline", string(req.Pipeline))))
	defer span.End()
	r := newRun(spanCtx, id, req, ticketed)
	r, refused := d.arrive(r, req, from)
	if refused != nil {
		return *refused
	}
	answer, ended := r.wait(ctx, update)
	if r.leave() && !ended {
		d.handle(shed.CallerGone{Request: id})
	}
	if !ended {
		answer.Finish = shed.Finish{Request: id, Outcome: shed.OutcomeCancelled, Reason: shed.ReasonCallerGone}
	}
	answer.Trace = traceID(r.span)
	span.SetAttributes(attribute.String("outcome", answer.Outcome.String()))
	return answer
}

// arrive tells core of the request. It returns the run to wait for, which is
// another one if the request joins it, or an answer that concerns this arrival
// only.
func (d *Daemon) arrive(r *run, req shed.Request, from shed.Peer) (*run, *shed.Answer) {
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
		return d.arriveFirst(r, acts), nil
	}
	return d.arriveAgain(first, req.Workspace, acts)
}

// arriveFirst performs what core decided about a request that is new here. One
// that was answered at once is not kept: its answer, often a refusal, concerns
// this arrival only, and a repeat of it may well be run.
func (d *Daemon) arriveFirst(r *run, acts []shed.Action) *run {
	r.join()
	d.runs[r.id] = r
	for _, act := range acts {
		if join, ok := act.(shed.JoinRequest); ok && join.Request == r.id {
			// It ran here, but its answer is no longer kept.
			d.endRun(r, unknown(r.id, shed.ReasonTicketExpired))
		}
	}
	d.perform(acts)
	if r.ended() {
		delete(d.runs, r.id)
	}
	return r
}

// arriveAgain performs what core decided about a repeat of a request that is
// here already. A refusal of the repeat must not end the first one's run, and a
// repeat under another workspace's name must not see its answer.
func (d *Daemon) arriveAgain(first *run, ws shed.WorkspaceID, acts []shed.Action) (*run, *shed.Answer) {
	var rest []shed.Action
	// What is told to whom the request is none of: it may have run.
	other := &shed.Finish{Request: first.id, Outcome: shed.OutcomeUnknown, Reason: shed.ReasonTicketUnknown}
	refused := other
	for _, act := range acts {
		switch a := act.(type) {
		case shed.JoinRequest, shed.ForwardRequest:
			refused = nil
		case shed.Finish:
			// The same step may have ended other requests, and, after the repeat
			// has joined it, the first one too.
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
	first.join()
	return first, nil
}

// finish makes a run's answer final.
func (d *Daemon) finish(f shed.Finish) {
	r := d.runs[f.Request]
	if r == nil {
		return
	}
	d.endRun(r, shed.Answer{Finish: f, Payload: r.payload})
}

// endRun gives the run its answer. The caller holds d.mu.
func (d *Daemon) endRun(r *run, a shed.Answer) {
	if !r.end(a, d.cfg.AnswerRetention) {
		return
	}
	d.stats.finished(a.Outcome)
	d.stats.requestFor.RecordDuration(time.Since(r.started))
	r.live, r.last = nil, nil
	if !r.ticketed {
		delete(d.runs, r.id)
	}
	d.stats.live.Update(float64(len(d.runs)))
}

// abandon answers whoever still waits when the daemon ends at once.
func (d *Daemon) abandon() {
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
	if f := d.check(&req); f != nil {
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

// prefixOf hashes the workspace and the start of the input, so that calls that
// share a prompt prefix meet at the same engine's cache.
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
