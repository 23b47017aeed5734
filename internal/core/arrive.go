package core

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/member"
	"jasmineshed/internal/ticket"
)

// arrived takes in a request from a caller or from a peer that handed it over.
func (c *Core) arrived(now time.Time, a shed.RequestArrived) {
	if reason := c.notNow(now); reason != shed.ReasonNone {
		c.refuse(a, reason, shed.Origin{}, comeBack)
		return
	}
	if reason, rule := c.notAllowed(a); reason != shed.ReasonNone {
		c.refuse(a, reason, rule, 0)
		return
	}
	if a.Ticketed {
		c.ticketed(now, a)
		return
	}
	c.book(now, c.flow.Handle(now, a))
}

// notNow is why this daemon takes no requests at the moment.
func (c *Core) notNow(now time.Time) shed.Reason {
	if c.rules == nil {
		return shed.ReasonNoConfig
	}
	if reason := c.unsure(now); reason != shed.ReasonNone {
		return reason
	}
	if c.stop.refuses(now) {
		return shed.ReasonStopping
	}
	return shed.ReasonNone
}

// notAllowed is why the rules don't let the request run.
func (c *Core) notAllowed(a shed.RequestArrived) (shed.Reason, shed.Origin) {
	p := c.rules.Pipelines[a.Pipeline]
	if p == nil {
		return shed.ReasonUnknownPipeline, shed.Origin{}
	}
	ws := c.rules.Workspaces[a.Workspace]
	if ws == nil {
		return shed.ReasonUnknownWorkspace, shed.Origin{}
	}
	if len(ws.Pipelines) > 0 && !slices.Contains(ws.Pipelines, a.Pipeline) {
		return shed.ReasonNotAllowed, ws.Origin
	}
	if !p.Idempotent() && !a.Ticketed {
		return shed.ReasonNeedsTicket, p.Origin
	}
	return shed.ReasonNone, shed.Origin{}
}

// refuse answers a request of which nothing was started here. It is not_run
// only for a request without a ticket: with one, an earlier repeat may have run
// it, here or elsewhere.
func (c *Core) refuse(a shed.RequestArrived, reason shed.Reason, rule shed.Origin, after time.Duration) {
	outcome := shed.OutcomeNotRun
	if a.Ticketed {
		outcome = shed.OutcomeUnknown
	}
	c.end(a, outcome, reason, rule, after)
}

func (c *Core) end(a shed.RequestArrived, outcome shed.Outcome, reason shed.Reason, rule shed.Origin, after time.Duration) {
	c.out = append(c.out,
		shed.Note{Reason: reason, Request: a.Request, Rule: rule},
		shed.Finish{Request: a.Request, Outcome: outcome, Reason: reason, Rule: rule, RetryAfter: after})
}

// ticketed runs a request at its ticket's home, which is this process or
// another one, and nowhere else.
func (c *Core) ticketed(now time.Time, a shed.RequestArrived) {
	home := c.Locate(a.Request)
	switch {
	case home.Self || c.fromIssuer(a):
		c.start(now, a)
	case home.Peer.VM == "" && home.Forged:
		// Nobody ever gave out this id, so nothing ran under it.
		c.end(a, shed.OutcomeNotRun, shed.ReasonTicketUnknown, shed.Origin{}, 0)
	case home.Peer.VM == "" || a.From.VM != "":
		// A request that was handed here is not handed on: views that differ
		// could send it round in circles.
		c.end(a, shed.OutcomeUnknown, shed.ReasonHomeGone, shed.Origin{}, 0)
	default:
		c.handOver(a, home.Peer)
	}
}

// fromIssuer tells whether the process that gave out the ticket handed the
// request over itself: it has left the ticket here, even if word of its leaving
// has not come yet.
func (c *Core) fromIssuer(a shed.RequestArrived) bool {
	issuer, err := ticket.Home(a.Request)
	return err == nil && a.From == issuer
}

func (c *Core) handOver(a shed.RequestArrived, home shed.Peer) {
	c.away[a.Request] = true
	c.out = append(c.out, shed.ForwardRequest{Request: a.Request, To: home, Deadline: a.Deadline})
}

// start runs a ticketed request here, if this is its first time.
func (c *Core) start(now time.Time, a shed.RequestArrived) {
	v := c.tickets.Start(now, a.Request, a.Workspace, a.Pipeline)
	switch v.Kind {
	case ticket.VerdictRun:
		c.book(now, c.flow.Handle(now, a))
	case ticket.VerdictStored:
		c.stored(a, v.Finish)
	case ticket.VerdictJoin:
		c.out = append(c.out, shed.JoinRequest{Request: a.Request})
	case ticket.VerdictMoved:
		if a.From.VM != "" {
			c.end(a, shed.OutcomeUnknown, shed.ReasonHomeGone, shed.Origin{}, 0)
			return
		}
		c.handOver(a, v.Successor)
	default:
		outcome, reason := v.Outcome()
		c.end(a, outcome, reason, shed.Origin{}, 0)
	}
}

// stored gives a repeat the answer of the first one. Only a complete one has a
// payload, which the driver kept.
func (c *Core) stored(a shed.RequestArrived, f shed.Finish) {
	if f.Outcome == shed.OutcomeComplete {
		c.out = append(c.out, shed.JoinRequest{Request: a.Request})
		return
	}
	c.out = append(c.out, f)
}

// Locate tells which process a ticket's requests run at.
func (c *Core) Locate(id shed.RequestID) shed.Home {
	p, err := ticket.Home(id)
	if err != nil {
		return shed.Home{Forged: true}
	}
	if p == c.cfg.Self {
		return shed.Home{Self: true}
	}
	state, heir := c.member.Home(p)
	switch state {
	case member.HomeLeft:
		if heir == c.cfg.Self {
			return shed.Home{Self: true}
		}
		return shed.Home{Peer: heir}
	case member.HomeDead:
		return shed.Home{}
	}
	// Of other zones only a few processes are known; the id says where to ask,
	// and another incarnation there says that it is not the home.
	return shed.Home{Peer: p}
}

// Lookup gives the stored answer to a ticketed request, or an empty one if it
// runs; false if it is not known here for this workspace.
func (c *Core) Lookup(now time.Time, id shed.RequestID, ws shed.WorkspaceID) (shed.Finish, bool) {
	v := c.tickets.Lookup(now, id, ws)
	known := v.Kind == ticket.VerdictJoin || v.Kind == ticket.VerdictStored
	return v.Finish, known
}

// Issue gives out a ticket whose id embeds this process and random.
func (c *Core) Issue(now time.Time, ws shed.WorkspaceID, pipeline shed.PipelineID, random [16]byte) (shed.Ticket, *shed.Finish) {
	a := shed.RequestArrived{Workspace: ws, Pipeline: pipeline, Ticketed: true}
	reason := c.notNow(now)
	after := comeBack
	if c.stop.asked {
		reason = shed.ReasonStopping
	}
	var rule shed.Origin
	if reason == shed.ReasonNone {
		after = 0
		reason, rule = c.notAllowed(a)
	}
	if reason == shed.ReasonNone {
		id := ticket.NewID(c.cfg.Self, random)
		expires, err := c.tickets.Issue(now, id, ws, pipeline)
		if err == nil {
			return shed.Ticket{ID: id, Expires: expires}, nil
		}
		reason, after = shed.ReasonTicketsFull, comeBack
	}
	return shed.Ticket{}, &shed.Finish{Outcome: shed.OutcomeNotRun, Reason: reason, Rule: rule, RetryAfter: after}
}
