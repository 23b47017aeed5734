package daemon

import (
	"context"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/peers"

	"go.opentelemetry.io/otel/propagation"
)

// homeAttempts bounds how often a request is handed to its home. Repeating is
// safe: the home runs a ticket once and gives repeats the same answer.
const homeAttempts = 3

// homeGrace is how long the word of a home is awaited beyond the deadline. The
// home keeps the deadline itself, but ends a request that waits only at its
// next tick. Without the grace its caller would be told "unknown" at the
// deadline of a request that the home knows it never started; three ticks leave
// one for the way back.
const homeGrace = 3 * shed.TickEvery

// Request implements peers.Handler.
func (d *Daemon) Request(ctx context.Context, in peers.RequestCall, update func(shed.Update)) (shed.Answer, bool) {
	if in.To != d.cfg.Self {
		return shed.Answer{}, false
	}
	ctx = propagator.Extract(ctx, propagation.MapCarrier(in.Trace))
	if in.Fetch {
		return d.fetch(ctx, in.Request), true
	}
	return d.serve(ctx, in.Request, in.From, update), true
}

// Result implements shed.Serving.
func (d *Daemon) Result(ctx context.Context, req shed.Request) shed.Answer {
	d.mu.Lock()
	home := d.cfg.Core.Locate(req.ID)
	d.mu.Unlock()
	rules := d.rules.Load()
	if rules == nil {
		return shed.Answer{Finish: *refusal(req.ID, shed.ReasonNoConfig, notReadyRetryAfter)}
	}
	ws := rules.Workspaces[req.Workspace]
	if ws == nil || !tokenMatches(req.Token, ws.TokenHash) {
		return shed.Answer{Finish: *refusal(req.ID, shed.ReasonUnknownWorkspace, 0)}
	}
	req.Token = ""
	switch {
	case home.Self:
		return d.fetch(ctx, req)
	case home.Peer.VM == "":
		return homeGoneAnswer(req.ID)
	}
	return d.queryHome(ctx, peers.RequestCall{To: home.Peer, Request: req, Fetch: true}, nil)
}

// fetch gives the answer to a ticketed request that was started here, waiting
// for it if it runs. It never starts one.
func (d *Daemon) fetch(ctx context.Context, req shed.Request) shed.Answer {
	d.mu.Lock()
	r := d.runs[req.ID]
	f, known := d.cfg.Core.Lookup(time.Now(), req.ID, req.Workspace)
	d.mu.Unlock()
	switch {
	case !known:
		// It may have run and been forgotten, or belong to another workspace,
		// which is told nothing of it.
		return unknownOutcome(req.ID, shed.ReasonTicketUnknown)
	case r == nil:
		return shed.Answer{Finish: f}
	}
	r.addWaiter()
	answer, ended := r.wait(ctx, nil)
	if r.removeWaiter() && !ended {
		d.handle(shed.CallerGone{Request: req.ID})
	}
	if !ended {
		answer.Finish = shed.Finish{Request: req.ID, Outcome: shed.OutcomeUnknown, Reason: shed.ReasonCallerGone}
	}
	return answer
}

// forwardRequest hands a request over to the home of its ticket. The caller holds
// d.mu.
func (d *Daemon) forwardRequest(a shed.ForwardRequest) {
	r := d.runs[a.Request]
	if r == nil {
		return
	}
	msg := peers.RequestCall{To: a.To, Request: shed.Request{
		ID: r.id, Workspace: r.workspace, Pipeline: r.pipeline, Payload: r.payload,
		Budget: time.Until(a.Deadline),
	}}
	d.work.Go(func() error {
		ctx, cancel := context.WithDeadline(r.ctx, a.Deadline.Add(homeGrace))
		defer cancel()
		answer := d.queryHome(ctx, msg, r.push)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.endRun(r, answer)
		// This process holds no answer for others' tickets; their home does.
		delete(d.runs, r.id)
		d.perform(d.cfg.Core.Handle(time.Now(), shed.ForwardEnded{Request: r.id}))
		return nil
	})
}

// queryHome asks a ticket's home, again if the link breaks. If no answer comes it
// can't be known whether the request ran: an earlier repeat may have started it
// by another way.
func (d *Daemon) queryHome(ctx context.Context, msg peers.RequestCall, update func(shed.Update)) shed.Answer {
	ctx, span := d.cfg.Tracer.Start(ctx, "ticket_home")
	defer span.End()
	msg.Trace = map[string]string{}
	propagator.Inject(ctx, propagation.MapCarrier(msg.Trace))
	for range homeAttempts {
		answer, home, _, err := d.cfg.Peers.Request(ctx, msg, update)
		switch {
		case err == nil && home:
			return answer
		case err == nil:
			return homeGoneAnswer(msg.Request.ID)
		case ctx.Err() != nil:
			return unknownOutcome(msg.Request.ID, shed.ReasonDeadline)
		}
	}
	return unknownOutcome(msg.Request.ID, shed.ReasonBroken)
}

func homeGoneAnswer(id shed.RequestID) shed.Answer { return unknownOutcome(id, shed.ReasonHomeGone) }

func unknownOutcome(id shed.RequestID, r shed.Reason) shed.Answer {
	return shed.Answer{Finish: shed.Finish{Request: id, Outcome: shed.OutcomeUnknown, Reason: r}}
}
