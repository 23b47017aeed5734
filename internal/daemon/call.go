package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/answer"
	"jasmineshed/internal/peers"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// propagator passes the trace context between daemons.
var propagator = propagation.TraceContext{}

// call is one call in flight, to a backend server or to a peer. Its frames
// arrive from one goroutine.
type call struct {
	id     shed.Call
	stage  shed.StageID
	cancel context.CancelCauseFunc
	// run or forwarded is what the call belongs to; the other one is nil.
	run       *run
	forwarded *forwardedCall
	// assembly collects the result. It is set only for a run's calls: frames of
	// a forwarded call are assembled by the daemon that accepted the request.
	assembly *answer.Assembly
	progress progress
	tokens   shed.Tokens
	server   shed.ServerID
	zone     shed.ZoneID

	// mu guards replaced and changes of assembly.
	mu sync.Mutex
	// replaced is set once another call replaces this one, which was silent; its frames then no
	// longer count.
	replaced bool
}

// replace makes the call drop all further frames, so that the new call may read the assembly.
func (c *call) replace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replaced = true
}

func (c *call) isReplaced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replaced
}

// errReplaced is returned to the sender of a frame of a replaced call.
var errReplaced = errors.New("call was replaced")

// progress limits the rate of the CallProgress events of one call.
type progress struct {
	started time.Time
	last    time.Time
}

// due reports whether a CallProgress is due, and whether it is the first.
func (p *progress) due(now time.Time) (due, first bool) {
	first = p.last.IsZero()
	if !first && now.Sub(p.last) < shed.ProgressEvery {
		return false, false
	}
	p.last = now
	return true, first
}

// newCall registers a call. The caller holds d.mu.
func (d *Daemon) newCall(id shed.Call, resumes shed.Call, from shed.Tokens) (*call, context.Context) {
	c := &call{id: id, progress: progress{started: time.Now()}}
	parent := d.base
	if g := d.forwarded[id]; g != nil {
		c.forwarded, parent = g, g.ctx
	} else if r := d.runs[id.Request]; r != nil {
		c.run, parent = r, r.ctx
		c.stage = d.stageOf(r, id)
		c.assembly = r.newAssembly(id, resumes, from)
		if r.current == nil {
			r.current = c
		} else {
			r.replacements = append(r.replacements, c)
		}
	}
	ctx, cancel := context.WithCancelCause(parent)
	// A run's context outlives its caller, but the end of the daemon cancels it.
	stop := context.AfterFunc(d.base, func() { cancel(nil) })
	c.cancel = func(cause error) { stop(); cancel(cause) }
	d.calls[id] = c
	d.stats.liveCalls.Update(float64(len(d.calls)))
	return c, ctx
}

func (d *Daemon) stageOf(r *run, id shed.Call) shed.StageID {
	rules := d.rules.Load()
	if rules == nil {
		return ""
	}
	p := rules.Pipelines[r.pipeline]
	if p == nil || int(id.Stage) >= len(p.Stages) {
		return ""
	}
	return p.Stages[id.Stage].ID
}

// startCall sends a call to a backend server. The caller holds d.mu.
func (d *Daemon) startCall(a shed.StartCall) {
	c, ctx := d.newCall(a.Call, a.Resumes, a.ResumeFrom)
	c.server, c.zone = a.Server, d.cfg.Zone
	in := d.inputOf(c)
	ctx, span := d.startSpan(ctx, "backend_call", a.Call, attribute.String("server", string(a.Server)))
	d.work.Go(func() error {
		end := d.cfg.Backend.Call(ctx, a, in, c.sink(d))
		end.Server, end.Zone = a.Server, d.cfg.Zone
		d.endCall(c, end, span)
		return nil
	})
}

// forwardStage forwards a call to a peer. The caller holds d.mu.
func (d *Daemon) forwardStage(a shed.ForwardStage) {
	c, ctx := d.newCall(a.Request.Call, shed.Call{}, 0)
	in := d.inputOf(c)
	ctx, span := d.startSpan(ctx, "peer_call", a.Request.Call, attribute.String("peer", string(a.To)))
	msg := peers.StageCall{Request: a.Request, Payload: in, Trace: map[string]string{}}
	propagator.Inject(ctx, propagation.MapCarrier(msg.Trace))
	newConn := !d.isIdempotent(a.Request)
	d.work.Go(func() error {
		end := shed.CallEnded{Call: a.Request.Call, End: shed.EndNotStarted, Reason: shed.ReasonDeadline}
		// If the process was paused since the decision, its rules may be long out
		// of date: after SendBy it must not send any more.
		if time.Now().Before(a.SendBy) {
			sendCtx, cancel := context.WithDeadline(ctx, a.Deadline)
			end = d.cfg.Peers.Stage(sendCtx, a.To, msg, newConn, c.sink(d))
			cancel()
		}
		d.endCall(c, end, span)
		return nil
	})
}

// isIdempotent reports whether the stage may run twice. A stage that is not in
// the rules is treated as one that may not.
func (d *Daemon) isIdempotent(request shed.StageRequest) bool {
	rules := d.rules.Load()
	if rules == nil {
		return false
	}
	p := rules.Pipelines[request.Pipeline]
	if p == nil || int(request.Call.Stage) >= len(p.Stages) {
		return false
	}
	return p.Stages[request.Call.Stage].Idempotent
}

// inputOf returns the call's input. The caller holds d.mu.
func (d *Daemon) inputOf(c *call) shed.Payload {
	switch {
	case c.forwarded != nil:
		return c.forwarded.payload
	case c.run != nil:
		return c.run.payload
	}
	return shed.Payload{}
}

// sink returns the function that processes the call's frames.
func (c *call) sink(d *Daemon) func(shed.Frame) error {
	return func(f shed.Frame) error {
		if c.isReplaced() {
			return errReplaced
		}
		if f.Silent > 0 {
			return c.reportSilent(d, f)
		}
		if f.Accepted {
			d.handle(shed.CallProgress{Call: c.id, Server: c.server, Zone: c.zone, Boot: f.Boot})
			if c.forwarded != nil {
				return c.forwarded.send(f)
			}
			return nil
		}
		c.tokens += f.Tokens
		d.stats.tokens.Inc(int64(f.Tokens))
		if f.Server != "" {
			c.server, c.zone = f.Server, f.Zone
		}
		if due, first := c.progress.due(time.Now()); due {
			if first {
				d.stats.firstToken.RecordDuration(time.Since(c.progress.started))
			}
			d.handle(shed.CallProgress{Call: c.id, Tokens: c.totalTokens(), Server: c.server, Zone: c.zone})
		}
		if c.forwarded != nil {
			f.Server, f.Zone = c.server, c.zone
			return c.forwarded.send(f)
		}
		return c.add(d, f)
	}
}

// reportSilent reports a silent call to whoever decides on it: the peer that forwarded it, or else
// the core, which may replace it at once.
func (c *call) reportSilent(d *Daemon, f shed.Frame) error {
	if f.Server != "" {
		c.server = f.Server
	}
	if f.Zone != "" {
		c.zone = f.Zone
	}
	if c.forwarded != nil {
		f.Server, f.Zone = c.server, c.zone
		return c.forwarded.send(f)
	}
	d.handle(shed.CallSilent{Call: c.id, For: f.Silent, Link: f.LinkSilent, Server: c.server, Zone: c.zone})
	if c.isReplaced() {
		return errReplaced
	}
	return nil
}

// totalTokens is the number of the stage's tokens received, including those of
// the calls that this one resumes.
func (c *call) totalTokens() shed.Tokens {
	if c.assembly != nil {
		return c.assembly.Tokens()
	}
	return c.tokens
}

// add adds a frame to the result and passes new text to the caller.
func (c *call) add(d *Daemon, f shed.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replaced {
		return errReplaced
	}
	taken, err := c.assembly.Add(f)
	if err != nil {
		return err
	}
	if !taken {
		d.stats.droppedFrames.Inc(1)
		return nil
	}
	if text := c.assembly.Take(); text != "" {
		c.run.push(shed.Update{Stage: c.stage, Text: text})
	}
	return nil
}

// endCall reports the end of a call to the core.
func (d *Daemon) endCall(c *call, end shed.CallEnded, span trace.Span) {
	c.cancel(nil)
	end.Call = c.id
	if end.Tokens == 0 {
		end.Tokens = c.totalTokens()
	}
	// A result with gaps isn't complete, even if the remote side reports it so.
	if c.assembly != nil && end.End == shed.EndComplete && !c.assembly.Complete() {
		end.End, end.Reason = shed.EndBadReply, shed.ReasonBadReply
	}
	span.SetAttributes(attribute.String("end", end.End.String()), attribute.String("server", string(end.Server)))
	span.End()
	d.stats.countCallEnd(end.End)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls[c.id] == c {
		delete(d.calls, c.id)
	}
	if c.run != nil && end.End == shed.EndComplete {
		c.run.completeReplacement(c)
	}
	if c.run != nil && c.run.current == c {
		c.run.last = c
		if end.End != shed.EndComplete {
			c.run.promote(c)
		} else {
			c.run.current = nil
		}
	}
	if c.run != nil {
		c.run.dropReplacement(c)
	}
	d.perform(d.cfg.Core.Handle(time.Now(), end))
	if c.forwarded != nil {
		c.forwarded.finish(end)
	}
}

// cancelCall cancels a call whose result is no longer needed. The caller holds d.mu.
func (d *Daemon) cancelCall(a shed.CancelCall) {
	c := d.calls[a.Call]
	if c == nil {
		return
	}
	if a.Reason == shed.ReasonSilent || a.Reason == shed.ReasonStaleAttempt {
		c.replace()
	}
	if c.run != nil {
		c.run.dropReplacement(c)
	}
	if a.Reason == shed.ReasonSilent {
		if c.run != nil && c.run.current == c {
			c.run.promote(c)
		}
		c.cancel(shed.ErrReplaced)
		return
	}
	if c.run != nil && c.run.current == c {
		c.run.current = nil
	}
	c.cancel(nil)
}

// stageDone makes the call's result the input of the next stage. The caller
// holds d.mu.
func (d *Daemon) stageDone(a shed.StageDone) {
	r := d.runs[a.Call.Request]
	if r == nil || r.last == nil || r.last.id != a.Call {
		return
	}
	if result := r.last.assembly.Result(); result != nil {
		r.payload = *result
	}
	r.push(shed.Update{Stage: r.last.stage, Done: &shed.StageReport{
		Stage: r.last.stage, Server: r.last.server, Zone: r.last.zone, Attempts: a.Call.Attempt,
		Ran: true, Took: time.Since(r.last.progress.started), Tokens: r.last.totalTokens(),
	}})
	r.last = nil
}

func (d *Daemon) startSpan(ctx context.Context, name string, id shed.Call, more attribute.KeyValue) (context.Context, trace.Span) {
	return d.cfg.Tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("request_id", string(id.Request)),
		attribute.Int("stage", int(id.Stage)),
		attribute.Int("attempt", int(id.Attempt)),
		more,
	))
}
