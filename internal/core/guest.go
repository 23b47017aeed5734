package core

import (
	"time"

	shed "jasmineshed"
)

const (
	// guestLease bounds the time from the decision to the send.
	guestLease = 500 * time.Millisecond
	// guestSilence is the longest time without a frame from a server.
	guestSilence = 2 * time.Second
	// guestComeBack is when a peer that was refused may ask again.
	guestComeBack = 200 * time.Millisecond
	// guestWait is the longest that a stage call of a peer waits for a place:
	// about as long as a short call, so that each one meets some freed place.
	guestWait = 400 * time.Millisecond
	// maxWaiting bounds the stage calls of peers that wait.
	maxWaiting = 64
)

// waitingGuest is a stage call of a peer that waits for a place.
//
// Were it refused at once, each freed place would go to a request of this zone
// that waits here, since the peer can only ask now and then. Requests of a zone
// whose own servers are leaving then waited for another zone until their
// deadlines, though both others served all of theirs.
type waitingGuest struct {
	event shed.StageRequested
	until time.Time
}

// stageAsked places a stage call that a peer handed over: under this daemon's
// own rules, at once or not at all, and one attempt at the most.
func (c *Core) stageAsked(now time.Time, e shed.StageRequested) {
	ask := e.Request
	stage, reason := c.stageOf(now, ask)
	switch {
	case reason != shed.ReasonNone:
		c.refuseStage(ask.Call, reason, comeBack)
		return
	case c.stop.refuses(now):
		c.refuseStage(ask.Call, shed.ReasonStopping, comeBack)
		return
	case c.busyWith(ask.Call):
		c.refuseStage(ask.Call, shed.ReasonDuplicate, 0)
		return
	case ask.Hops > maxHops:
		c.refuseStage(ask.Call, shed.ReasonTooManyHops, 0)
		return
	}
	w := waitingGuest{event: e, until: now.Add(min(guestWait, ask.Budget/4))}
	p := c.placeGuest(now, w, stage)
	if p.Kind == shed.PlaceWait && len(c.waiting) < maxWaiting {
		c.guests[ask.Call] = true
		c.waiting = append(c.waiting, w)
		return
	}
	c.refuseGuest(w, p)
}

// placeGuest starts the guest's call, or passes it on, if that can be done now.
func (c *Core) placeGuest(now time.Time, w waitingGuest, stage shed.Stage) shed.Placement {
	ask := w.event.Request
	ask.Budget -= now.Sub(w.until.Add(-min(guestWait, ask.Budget/4)))
	q := shed.PlaceRequest{StageRequest: ask, Stage: stage, Deadline: now.Add(ask.Budget)}
	p := c.placeHere(now, q, c.pools[stage.Pool], w.event.From.VM)
	switch p.Kind {
	case shed.PlaceLocal:
		c.startGuest(now, q, p.Server)
	case shed.PlacePeer:
		c.passOn(now, q, p.Peer)
	}
	return p
}

// refuseGuest answers a guest that was not placed.
func (c *Core) refuseGuest(w waitingGuest, p shed.Placement) {
	if p.Kind == shed.PlaceLocal || p.Kind == shed.PlacePeer {
		return
	}
	call := w.event.Request.Call
	delete(c.guests, call)
	c.out = append(c.out, shed.Note{Reason: p.Reason, Request: call.Request, Zone: c.cfg.Zone, Rule: p.Rule})
	c.refuseStage(call, p.Reason, guestComeBack)
}

// guestsOn offers places that may have freed to the guests that wait, the first
// one first, and refuses those that have waited for too long. At most one is
// started, so that the requests of this zone have their turn, too.
func (c *Core) guestsOn(now time.Time) {
	started := false
	keep := c.waiting[:0]
	for _, w := range c.waiting {
		stage, reason := c.stageOf(now, w.event.Request)
		p := shed.Placement{Kind: shed.PlaceNowhere, Reason: reason}
		if reason == shed.ReasonNone {
			p = shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServersBusy}
			if !started {
				p = c.placeGuest(now, w, stage)
			}
		}
		switch {
		case p.Kind == shed.PlaceLocal || p.Kind == shed.PlacePeer:
			started = true
		case p.Kind == shed.PlaceWait && now.Before(w.until) && !c.stop.refuses(now):
			keep = append(keep, w)
		default:
			c.refuseGuest(w, p)
		}
	}
	c.waiting = keep
}

// stageOf finds the stage in the rules in force here, which may be older or
// newer than the sender's.
func (c *Core) stageOf(now time.Time, ask shed.StageRequest) (shed.Stage, shed.Reason) {
	if c.rules == nil {
		return shed.Stage{}, shed.ReasonNoConfig
	}
	if reason := c.unsure(now); reason != shed.ReasonNone {
		return shed.Stage{}, reason
	}
	p := c.rules.Pipelines[ask.Pipeline]
	if p == nil || int(ask.Call.Stage) >= len(p.Stages) {
		return shed.Stage{}, shed.ReasonUnknownPipeline
	}
	stage := p.Stages[ask.Call.Stage]
	if c.rules.Pools[stage.Pool] == nil {
		return shed.Stage{}, shed.ReasonNoServer
	}
	return stage, shed.ReasonNone
}

// busyWith tells whether the attempt is here already, for a peer or for a
// request of this daemon's own: a doubled or circling message.
func (c *Core) busyWith(call shed.Call) bool {
	_, local := c.local[call]
	_, handed := c.handed[call]
	return local || handed || c.guests[call]
}

func (c *Core) refuseStage(call shed.Call, reason shed.Reason, after time.Duration) {
	c.out = append(c.out, shed.RefuseStage{Call: call, Reason: reason, RetryAfter: after})
}

func (c *Core) startGuest(now time.Time, q shed.PlaceRequest, s *shed.Server) {
	a := shed.StartCall{
		Call:        q.Call,
		Server:      s.ID,
		URL:         s.URL,
		Stage:       q.Stage,
		Model:       c.rules.Pools[q.Stage.Pool].Model,
		SendBy:      earlier(now.Add(guestLease), q.Deadline),
		Deadline:    q.Deadline,
		Priority:    int(q.Budget / (100 * time.Millisecond)),
		IdleTimeout: guestSilence,
	}
	c.guests[q.Call] = true
	c.bookStart(now, a)
	c.out = append(c.out, a)
}

func (c *Core) passOn(now time.Time, q shed.PlaceRequest, to shed.VM) {
	q.Hops++
	c.guests[q.Call] = true
	c.hand(q.Call, to)
	c.out = append(c.out, shed.ForwardStage{
		To:          to,
		Request:     q.StageRequest,
		SendBy:      earlier(now.Add(guestLease), q.Deadline),
		Deadline:    q.Deadline,
		IdleTimeout: guestSilence,
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
