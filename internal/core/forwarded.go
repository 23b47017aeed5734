package core

import (
	"time"

	shed "jasmineshed"
)

const (
	// forwardedSendLease bounds the time from the decision to the send.
	forwardedSendLease = 500 * time.Millisecond
	// forwardedIdleTimeout is how long nothing may arrive for a call before it counts as silent.
	// It ends only the calls of peers that don't decide on silence themselves.
	forwardedIdleTimeout = 2 * time.Second
	// forwardedRetryAfter is when a refused peer may retry.
	forwardedRetryAfter = 200 * time.Millisecond
	// maxQueueWait is the longest time that a forwarded call waits for a server: about
	// the duration of a short call, so that some server is likely to free up meanwhile.
	maxQueueWait = 400 * time.Millisecond
	// maxQueuedCalls bounds the forwarded calls that wait.
	maxQueuedCalls = 64
)

// queuedCall is a forwarded call that waits for a server.
//
// If it were refused at once, each freed server would go to a waiting request of this
// zone, since the peer can only retry now and then. Requests of a zone whose own servers
// are leaving would then wait for another zone until their deadlines, although the other
// zones serve all of their own requests.
type queuedCall struct {
	event shed.StageRequested
	until time.Time
}

// handleStageRequest places a stage call that a peer forwarded: under this daemon's own
// rules, with at most one attempt, and after a wait of at most maxQueueWait.
func (c *Core) handleStageRequest(now time.Time, e shed.StageRequested) {
	req := e.Request
	stage, reason := c.resolveStage(now, req)
	switch {
	case reason != shed.ReasonNone:
		c.refuseStage(req.Call, reason, defaultRetryAfter)
		return
	case c.stop.refuses(now):
		c.refuseStage(req.Call, shed.ReasonStopping, defaultRetryAfter)
		return
	case c.isInFlight(req.Call):
		c.refuseStage(req.Call, shed.ReasonDuplicate, 0)
		return
	case req.Hops > maxHops:
		c.refuseStage(req.Call, shed.ReasonTooManyHops, 0)
		return
	}
	w := queuedCall{event: e, until: now.Add(min(maxQueueWait, req.Budget/4))}
	p := c.placeForwarded(now, w, stage)
	if p.Kind == shed.PlaceWait && len(c.queued) < maxQueuedCalls {
		c.forwardedIn[req.Call] = true
		c.queued = append(c.queued, w)
		return
	}
	c.refuseForwarded(w, p)
}

// placeForwarded starts the call or forwards it again, if that is possible now.
func (c *Core) placeForwarded(now time.Time, w queuedCall, stage shed.Stage) shed.Placement {
	req := w.event.Request
	req.Budget -= now.Sub(w.until.Add(-min(maxQueueWait, req.Budget/4)))
	q := shed.PlaceRequest{StageRequest: req, Stage: stage, Deadline: now.Add(req.Budget)}
	p := c.placeInZone(now, q, c.pools[stage.Pool], w.event.From.VM)
	switch p.Kind {
	case shed.PlaceLocal:
		c.startForwarded(now, q, p.Server)
	case shed.PlacePeer:
		c.forwardAgain(now, q, p.Peer)
	}
	return p
}

// refuseForwarded refuses a call that was not placed.
func (c *Core) refuseForwarded(w queuedCall, p shed.Placement) {
	if p.Kind == shed.PlaceLocal || p.Kind == shed.PlacePeer {
		return
	}
	call := w.event.Request.Call
	delete(c.forwardedIn, call)
	c.out = append(c.out, shed.Note{Reason: p.Reason, Request: call.Request, Zone: c.cfg.Zone, Rule: p.Rule})
	c.refuseStage(call, p.Reason, forwardedRetryAfter)
}

// startQueuedCalls offers free servers to the queued calls, oldest first, and refuses those
// that have waited too long. It starts at most one, so that the requests of this zone also
// get servers.
func (c *Core) startQueuedCalls(now time.Time) {
	started := false
	keep := c.queued[:0]
	for _, w := range c.queued {
		stage, reason := c.resolveStage(now, w.event.Request)
		p := shed.Placement{Kind: shed.PlaceNowhere, Reason: reason}
		if reason == shed.ReasonNone {
			p = shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServersBusy}
			if !started {
				p = c.placeForwarded(now, w, stage)
			}
		}
		switch {
		case p.Kind == shed.PlaceLocal || p.Kind == shed.PlacePeer:
			started = true
		case p.Kind == shed.PlaceWait && now.Before(w.until) && !c.stop.refuses(now):
			keep = append(keep, w)
		default:
			c.refuseForwarded(w, p)
		}
	}
	c.queued = keep
}

// resolveStage looks up the stage in the rules in force here, which may be older or newer
// than the sender's.
func (c *Core) resolveStage(now time.Time, req shed.StageRequest) (shed.Stage, shed.Reason) {
	if c.rules == nil {
		return shed.Stage{}, shed.ReasonNoConfig
	}
	if reason := c.blockedReason(now); reason != shed.ReasonNone {
		return shed.Stage{}, reason
	}
	p := c.rules.Pipelines[req.Pipeline]
	if p == nil || int(req.Call.Stage) >= len(p.Stages) {
		return shed.Stage{}, shed.ReasonUnknownPipeline
	}
	stage := p.Stages[req.Call.Stage]
	if c.rules.Pools[stage.Pool] == nil {
		return shed.Stage{}, shed.ReasonNoServer
	}
	return stage, shed.ReasonNone
}

// isInFlight reports whether this attempt is already in flight here, for a peer or for a
// request of this daemon: the message was duplicated or went round in a circle.
func (c *Core) isInFlight(call shed.Call) bool {
	_, local := c.localCalls[call]
	_, forwarded := c.forwardedOut[call]
	return local || forwarded || c.forwardedIn[call]
}

func (c *Core) refuseStage(call shed.Call, reason shed.Reason, retryAfter time.Duration) {
	c.out = append(c.out, shed.RefuseStage{Call: call, Reason: reason, RetryAfter: retryAfter})
}

func (c *Core) startForwarded(now time.Time, q shed.PlaceRequest, s *shed.Server) {
	a := shed.StartCall{
		Call:        q.Call,
		Server:      s.ID,
		URL:         s.URL,
		Stage:       q.Stage,
		Model:       c.rules.Pools[q.Stage.Pool].Model,
		SendBy:      earlier(now.Add(forwardedSendLease), q.Deadline),
		Deadline:    q.Deadline,
		Priority:    int(q.Budget / (100 * time.Millisecond)),
		IdleTimeout: forwardedIdleTimeout,

		ReportSilence: q.ReportSilence,
	}
	c.forwardedIn[q.Call] = true
	c.recordStart(now, a)
	c.out = append(c.out, a)
}

func (c *Core) forwardAgain(now time.Time, q shed.PlaceRequest, to shed.VM) {
	q.Hops++
	c.forwardedIn[q.Call] = true
	c.recordForward(q.Call, to)
	c.out = append(c.out, shed.ForwardStage{
		To:          to,
		Request:     q.StageRequest,
		SendBy:      earlier(now.Add(forwardedSendLease), q.Deadline),
		Deadline:    q.Deadline,
		IdleTimeout: forwardedIdleTimeout,
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
