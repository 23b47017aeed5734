package core

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/member"
	"jasmineshed/internal/ticket"
)

// handleRequest accepts a request from a caller or one that a peer forwarded.
func (c *Core) handleRequest(now time.Time, a shed.RequestArrived) {
	if reason := c.unavailableReason(now); reason != shed.ReasonNone {
		c.refuseRequest(a, reason, shed.Origin{}, defaultRetryAfter)
		return
	}
	if reason, rule := c.denialReason(a); reason != shed.ReasonNone {
		c.refuseRequest(a, reason, rule, 0)
		return
	}
	if a.Ticketed {
		c.handleTicketed(now, a)
		return
	}
	c.recordActions(now, c.flow.Handle(now, a))
}

// unavailableReason is why this daemon accepts no requests at the moment, if so.
func (c *Core) unavailableReason(now time.Time) shed.Reason {
	if c.rules == nil {
		return shed.ReasonNoConfig
	}
	if reason := c.blockedReason(now); reason != shed.ReasonNone {
		return reason
	}
	if c.stop.refuses(now) {
		return shed.ReasonStopping
	}
	return shed.ReasonNone
}

// denialReason is why the rules don't let the request run, if so.
func (c *Core) denialReason(a shed.RequestArrived) (shed.Reason, shed.Origin) {
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

// refuseRequest answers a request of which nothing was started here. The outcome is not_run
// only for a request without a ticket: with one, an earlier attempt of the caller may have
// run it, here or elsewhere.
func (c *Core) refuseRequest(a shed.RequestArrived, reason shed.Reason, rule shed.Origin, retryAfter time.Duration) {
	outcome := shed.OutcomeNotRun
	if a.Ticketed {
		outcome = shed.OutcomeUnknown
	}
	c.finishRequest(a, outcome, reason, rule, retryAfter)
}

func (c *Core) finishRequest(a shed.RequestArrived, outcome shed.Outcome, reason shed.Reason, rule shed.Origin, retryAfter time.Duration) {
	c.out = append(c.out,
		shed.Note{Reason: reason, Request: a.Request, Rule: rule},
		shed.Finish{Request: a.Request, Outcome: outcome, Reason: reason, Rule: rule, RetryAfter: retryAfter})
}

// handleTicketed runs a request only at its ticket's home, which is this process or
// another one.
func (c *Core) handleTicketed(now time.Time, a shed.RequestArrived) {
	home := c.Locate(a.Request)
	switch {
	case home.Self || c.isFromIssuer(a):
		c.startTicketed(now, a)
	case home.Peer.VM == "" && home.Forged:
		// No process ever issued this id, so nothing ran under it.
		c.finishRequest(a, shed.OutcomeNotRun, shed.ReasonTicketUnknown, shed.Origin{}, 0)
	case home.Peer.VM == "" || a.From.VM != "":
		// A forwarded request is not forwarded again: with differing views it could
		// circulate between daemons.
		c.finishRequest(a, shed.OutcomeUnknown, shed.ReasonHomeGone, shed.Origin{}, 0)
	default:
		c.forwardRequest(a, home.Peer)
	}
}

// isFromIssuer reports whether the process that issued the ticket forwarded the request
// itself: then it has moved the ticket here, even if the message that it is leaving has
// not arrived yet.
func (c *Core) isFromIssuer(a shed.RequestArrived) bool {
	issuer, err := ticket.Home(a.Request)
	return err == nil && a.From == issuer
}

func (c *Core) forwardRequest(a shed.RequestArrived, home shed.Peer) {
	c.forwardedRequests[a.Request] = true
	c.out = append(c.out, shed.ForwardRequest{Request: a.Request, To: home, Deadline: a.Deadline})
}

// startTicketed runs a ticketed request here unless it was started before.
func (c *Core) startTicketed(now time.Time, a shed.RequestArrived) {
	v := c.tickets.Start(now, a.Request, a.Workspace, a.Pipeline)
	switch v.Kind {
	case ticket.VerdictRun:
		c.recordActions(now, c.flow.Handle(now, a))
	case ticket.VerdictStored:
		c.finishStored(a, v.Finish)
	case ticket.VerdictJoin:
		c.out = append(c.out, shed.JoinRequest{Request: a.Request})
	case ticket.VerdictMoved:
		if a.From.VM != "" {
			c.finishRequest(a, shed.OutcomeUnknown, shed.ReasonHomeGone, shed.Origin{}, 0)
			return
		}
		c.forwardRequest(a, v.Successor)
	default:
		outcome, reason := v.Outcome()
		c.finishRequest(a, outcome, reason, shed.Origin{}, 0)
	}
}

// finishStored answers a retry with the stored answer. Only a complete answer has a
// payload, which the driver keeps.
func (c *Core) finishStored(a shed.RequestArrived, f shed.Finish) {
	if f.Outcome == shed.OutcomeComplete {
		c.out = append(c.out, shed.JoinRequest{Request: a.Request})
		return
	}
	c.out = append(c.out, f)
}

// Locate returns the process that runs the requests of a ticket.
func (c *Core) Locate(id shed.RequestID) shed.Home {
	p, err := ticket.Home(id)
	if err != nil {
		return shed.Home{Forged: true}
	}
	if p == c.cfg.Self {
		return shed.Home{Self: true}
	}
	state, successor := c.member.Home(p)
	switch state {
	case member.HomeLeft:
		if successor == c.cfg.Self {
			return shed.Home{Self: true}
		}
		return shed.Home{Peer: successor}
	case member.HomeDead:
		return shed.Home{}
	}
	// Only a few processes of other zones are known here. The id contains the address,
	// and a later incarnation there answers that it is not the home.
	return shed.Home{Peer: p}
}

// Lookup returns the stored answer to a ticketed request, or an empty one if the request
// is running; false if it is not known here for this workspace.
func (c *Core) Lookup(now time.Time, id shed.RequestID, ws shed.WorkspaceID) (shed.Finish, bool) {
	v := c.tickets.Lookup(now, id, ws)
	known := v.Kind == ticket.VerdictJoin || v.Kind == ticket.VerdictStored
	return v.Finish, known
}

// Issue issues a ticket whose id embeds this process and the random bytes.
func (c *Core) Issue(now time.Time, ws shed.WorkspaceID, pipeline shed.PipelineID, random [16]byte) (shed.Ticket, *shed.Finish) {
	a := shed.RequestArrived{Workspace: ws, Pipeline: pipeline, Ticketed: true}
	reason := c.unavailableReason(now)
	retryAfter := defaultRetryAfter
	if c.stop.requested {
		reason = shed.ReasonStopping
	}
	var rule shed.Origin
	if reason == shed.ReasonNone {
		retryAfter = 0
		reason, rule = c.denialReason(a)
	}
	if reason == shed.ReasonNone {
		id := ticket.NewID(c.cfg.Self, random)
		expires, err := c.tickets.Issue(now, id, ws, pipeline)
		if err == nil {
			return shed.Ticket{ID: id, Expires: expires}, nil
		}
		reason, retryAfter = shed.ReasonTicketsFull, defaultRetryAfter
	}
	return shed.Ticket{}, &shed.Finish{Outcome: shed.OutcomeNotRun, Reason: reason, Rule: rule, RetryAfter: retryAfter}
}
