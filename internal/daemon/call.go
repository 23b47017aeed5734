package daemon

import (
	"context"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/answer"
	"jasmineshed/internal/peers"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// propagator carries the trace across daemons.
var propagator = propagation.TraceContext{}

// call is one call under way, at a backend server or at a peer. Its frames
// come from one goroutine.
type call struct {
	id     shed.Call
	stage  shed.StageID
	cancel context.CancelFunc
	// run or guest that the call is for; the other one is nil.
	run   *run
	guest *guest
	// parts of the result; for a run's calls only, a guest's frames are put
	// together where the request was accepted.
	parts    *answer.Assembly
	progress progress
	tokens   shed.Tokens
	server   shed.ServerID
	zone     shed.ZoneID
}

// progress spaces out the CallProgress events of one call.
type progress struct {
	started time.Time
	last    time.Time
}

// due tells whether a CallProgress is due, and whether it is the first.
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
	if g := d.guests[id]; g != nil {
		c.guest, parent = g, g.ctx
	} else if r := d.runs[id.Request]; r != nil {
		c.run, parent = r, r.ctx
		c.stage = d.stageOf(r, id)
		c.parts = r.assembly(id, resumes, from)
		r.live = c
	}
	ctx, cancel := context.WithCancel(parent)
	// A run's context outlives its caller; the daemon's end still ends it.
	stop := context.AfterFunc(d.base, cancel)
	c.cancel = func() { stop(); cancel() }
	d.calls[id] = c
	d.stats.calls.Update(float64(len(d.calls)))
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

// assembly starts the result of a call, going on from the one it resumes. The
// caller is told to forget text that will come again.
func (r *run) assembly(id, resumes shed.Call, from shed.Tokens) *answer.Assembly {
	fresh := answer.New(answer.Config{Call: id})
	if r.last == nil || r.last.parts == nil || r.last.id.Stage != id.Stage {
		return fresh
	}
	if from > 0 && r.last.id == resumes {
		if parts, err := r.last.parts.Resume(id, from); err == nil {
			return parts
		}
	}
	if r.last.parts.Text() != "" {
		r.push(shed.Update{Stage: r.last.stage, Reset: true})
	}
	return fresh
}

// startCall sends a call to a backend server. The caller holds d.mu.
func (d *Daemon) startCall(a shed.StartCall) {
	c, ctx := d.newCall(a.Call, a.Resumes, a.ResumeFrom)
	c.server, c.zone = a.Server, d.cfg.Zone
	in := d.input(c)
	ctx, span := d.span(ctx, "backend_call", a.Call, attribute.String("server", string(a.Server)))
	d.work.Go(func() error {
		end := d.cfg.Backend.Call(ctx, a, in, c.sink(d))
		end.Server, end.Zone = a.Server, d.cfg.Zone
		d.callOver(c, end, span)
		return nil
	})
}

// handStage hands a call over to a peer. The caller holds d.mu.
func (d *Daemon) handStage(a shed.ForwardStage) {
	c, ctx := d.newCall(a.Request.Call, shed.Call{}, 0)
	in := d.input(c)
	ctx, span := d.span(ctx, "peer_call", a.Request.Call, attribute.String("peer", string(a.To)))
	msg := peers.StageCall{Request: a.Request, Payload: in, Trace: map[string]string{}}
	propagator.Inject(ctx, propagation.MapCarrier(msg.Trace))
	fresh := !d.idempotent(a.Request)
	d.work.Go(func() error {
		end := shed.CallEnded{Call: a.Request.Call, End: shed.EndNotStarted, Reason: shed.ReasonDeadline}
		// A process that was paused since the decision may find its rules long
		// out of date; past Until it must not send any more.
		if time.Now().Before(a.SendBy) {
			sendCtx, cancel := context.WithDeadline(ctx, a.Deadline)
			end = d.cfg.Peers.Stage(sendCtx, a.To, msg, fresh, c.sink(d))
			cancel()
		}
		d.callOver(c, end, span)
		return nil
	})
}

// idempotent tells whether the stage may run twice; one that the rules don't
// know is treated as if it may not.
func (d *Daemon) idempotent(ask shed.StageRequest) bool {
	rules := d.rules.Load()
	if rules == nil {
		return false
	}
	p := rules.Pipelines[ask.Pipeline]
	if p == nil || int(ask.Call.Stage) >= len(p.Stages) {
		return false
	}
	return p.Stages[ask.Call.Stage].Idempotent
}

// input is what the call works on. The caller holds d.mu.
func (d *Daemon) input(c *call) shed.Payload {
	switch {
	case c.guest != nil:
		return c.guest.payload
	case c.run != nil:
		return c.run.payload
	}
	return shed.Payload{}
}

// sink takes the call's frames.
func (c *call) sink(d *Daemon) func(shed.Frame) error {
	return func(f shed.Frame) error {
		if f.Accepted {
			d.handle(shed.CallProgress{Call: c.id, Server: c.server, Zone: c.zone, Boot: f.Boot})
			if c.guest != nil {
				return c.guest.send(f)
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
			d.handle(shed.CallProgress{Call: c.id, Tokens: c.total(), Server: c.server, Zone: c.zone})
		}
		if c.guest != nil {
			f.Server, f.Zone = c.server, c.zone
			return c.guest.send(f)
		}
		return c.add(d, f)
	}
}

// total is how many tokens of the stage are here, those resumed from included.
func (c *call) total() shed.Tokens {
	if c.parts != nil {
		return c.parts.Tokens()
	}
	return c.tokens
}

// add puts a frame into the result and passes new text to the caller.
func (c *call) add(d *Daemon, f shed.Frame) error {
	taken, err := c.parts.Add(f)
	if err != nil {
		return err
	}
	if !taken {
		d.stats.late.Inc(1)
		return nil
	}
	if text := c.parts.Take(); text != "" {
		c.run.push(shed.Update{Stage: c.stage, Text: text})
	}
	return nil
}

// callOver reports the end of a call to core.
func (d *Daemon) callOver(c *call, end shed.CallEnded, span trace.Span) {
	c.cancel()
	end.Call = c.id
	if end.Tokens == 0 {
		end.Tokens = c.total()
	}
	// Only a result without a gap is whole, whatever the far side says.
	if c.parts != nil && end.End == shed.EndComplete && !c.parts.Complete() {
		end.End, end.Reason = shed.EndBadReply, shed.ReasonBadReply
	}
	span.SetAttributes(attribute.String("end", end.End.String()), attribute.String("server", string(end.Server)))
	span.End()
	d.stats.callEnded(end.End)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls[c.id] == c {
		delete(d.calls, c.id)
	}
	if c.run != nil && c.run.live == c {
		c.run.live, c.run.last = nil, c
	}
	d.perform(d.cfg.Core.Handle(time.Now(), end))
	if c.guest != nil {
		c.guest.end(end)
	}
}

// cancelCall ends a call that nobody wants any more. The caller holds d.mu.
func (d *Daemon) cancelCall(a shed.CancelCall) {
	c := d.calls[a.Call]
	if c == nil {
		return
	}
	if c.run != nil && c.run.live == c {
		c.run.live = nil
	}
	c.cancel()
}

// stageDone makes the call's result the input of the next stage. The caller
// holds d.mu.
func (d *Daemon) stageDone(a shed.StageDone) {
	r := d.runs[a.Call.Request]
	if r == nil || r.last == nil || r.last.id != a.Call {
		return
	}
	if result := r.last.parts.Result(); result != nil {
		r.payload = *result
	}
	r.push(shed.Update{Stage: r.last.stage, Done: &shed.StageReport{
		Stage: r.last.stage, Server: r.last.server, Zone: r.last.zone, Attempts: a.Call.Attempt,
		Ran: true, Took: time.Since(r.last.progress.started), Tokens: r.last.total(),
	}})
	r.last = nil
}

func (d *Daemon) span(ctx context.Context, name string, id shed.Call, more attribute.KeyValue) (context.Context, trace.Span) {
	return d.cfg.Tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("request_id", string(id.Request)),
		attribute.Int("stage", int(id.Stage)),
		attribute.Int("attempt", int(id.Attempt)),
		more,
	))
}
