package daemon

import (
	"context"
	"errors"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/peers"

	"go.opentelemetry.io/otel/propagation"
)

// homeAttempts bounds how often a request is sent to its home. Retrying is safe:
// the home runs a ticket once and gives retries the same answer. Attempts that end
// because the home is silent don't count before the deadline: the home may be paused
// while it runs the request, and it has the only answer.
const homeAttempts = 3

// homeGrace is how long the home's answer is awaited past the deadline. The home
// enforces the deadline itself, but ends a queued request only at its next tick.
// Without the grace, a caller would get "unknown" at the deadline of a request
// that the home knows it never started. Three ticks leave one for the answer's
// way back.
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

// fetch returns the answer to a ticketed request that was started here, and waits
// for it while the request runs. It never starts a request.
func (d *Daemon) fetch(ctx context.Context, req shed.Request) shed.Answer {
	d.mu.Lock()
	r := d.runs[req.ID]
	f, known := d.cfg.Core.Lookup(time.Now(), req.ID, req.Workspace)
	d.mu.Unlock()
	switch {
	case !known:
		// It may have run and have been dropped since, or it belongs to another
		// workspace; the answer must not reveal which.
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

// forwardRequest forwards a request to the home of its ticket. The caller holds
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
		// Answers are kept by the home of their ticket only.
		delete(d.runs, r.id)
		d.perform(d.cfg.Core.Handle(time.Now(), shed.ForwardEnded{Request: r.id}))
		return nil
	})
}

// queryHome sends the call to a ticket's home and retries if the connection
// breaks or is silent. If ctx has no deadline, a silent home is asked again for as
// long as the request can still run. Without an answer it is unknown whether the
// request ran: an earlier retry may have started it through another daemon.
func (d *Daemon) queryHome(ctx context.Context, msg peers.RequestCall, update func(shed.Update)) shed.Answer {
	ctx, span := d.cfg.Tracer.Start(ctx, "ticket_home")
	defer span.End()
	msg.Trace = map[string]string{}
	propagator.Inject(ctx, propagation.MapCarrier(msg.Trace))
	until, bounded := ctx.Deadline()
	if !bounded {
		until = time.Now().Add(d.longestDeadline() + homeGrace)
	}
	for attempts := 0; attempts < homeAttempts; {
		answer, home, _, err := d.cfg.Peers.Request(ctx, msg, update)
		switch {
		case err == nil && home:
			return answer
		case err == nil:
			return homeGoneAnswer(msg.Request.ID)
		case ctx.Err() != nil:
			return unknownOutcome(msg.Request.ID, shed.ReasonDeadline)
		}
		switch {
		case !errors.Is(err, peers.ErrHeartbeatTimeout):
			attempts++
		case !time.Now().Before(until):
			return unknownOutcome(msg.Request.ID, shed.ReasonDeadline)
		}
	}
	return unknownOutcome(msg.Request.ID, shed.ReasonBroken)
}

// longestDeadline is the longest deadline of any pipeline, since a ticket doesn't
// say which one it is for.
func (d *Daemon) longestDeadline() time.Duration {
	rules := d.rules.Load()
	if rules == nil {
		return 0
	}
	var longest time.Duration
	for _, p := range rules.Pipelines {
		longest = max(longest, p.Deadline)
	}
	return longest
}

func homeGoneAnswer(id shed.RequestID) shed.Answer { return unknownOutcome(id, shed.ReasonHomeGone) }

func unknownOutcome(id shed.RequestID, r shed.Reason) shed.Answer {
	return shed.Answer{Finish: shed.Finish{Request: id, Outcome: shed.OutcomeUnknown, Reason: r}}
}
