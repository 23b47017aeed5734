package core

import (
	"time"

	shed "jasmineshed"
)

const (
	// lostPeerBackoff is how long a peer whose connection broke gets no work.
	lostPeerBackoff = time.Second
	// refusalBackoff is how long a peer or zone that refused a call gets no work,
	// if the refusal has no RetryAfter.
	refusalBackoff = 200 * time.Millisecond
	// maxBackoff bounds the RetryAfter of a peer and the backoff of a zone.
	maxBackoff = 5 * time.Second
)

func (c *Core) handleCallProgress(now time.Time, e shed.CallProgress) {
	if _, local := c.localCalls[e.Call]; local {
		c.emit(c.load.RecordAccepted(now, e.Call, e.Boot))
		if e.Tokens > 0 {
			c.emit(c.load.RecordFirstToken(now, e.Call))
		}
	}
	if to, forwarded := c.forwardedOut[e.Call]; forwarded {
		// The zone has capacity again. Waiting for the end of the call instead would keep
		// all other calls from the zone for the duration of a generation.
		delete(c.refusals, to.zone)
	}
	if !c.forwardedIn[e.Call] {
		c.recordActions(now, c.flow.Handle(now, e))
	}
}

// handleCallSilent lets the flow decide what becomes of a silent call. For a call of a peer the
// peer decides: only it knows whether it has a replacement.
func (c *Core) handleCallSilent(now time.Time, e shed.CallSilent) {
	if to, forwarded := c.forwardedOut[e.Call]; forwarded && e.Link {
		c.backOff(now, peerKey(to.vm), lostPeerBackoff)
	}
	if !c.forwardedIn[e.Call] {
		c.recordActions(now, c.flow.Handle(now, e))
	}
}

func (c *Core) handleCallEnded(now time.Time, e shed.CallEnded) {
	if id, local := c.localCalls[e.Call]; local {
		delete(c.localCalls, e.Call)
		e.Server = id
		c.emit(c.load.RecordEnd(now, e.Call, e))
		c.emit(c.slots.Release(now, e.Call, e.End))
	}
	if to, forwarded := c.forwardedOut[e.Call]; forwarded {
		delete(c.forwardedOut, e.Call)
		c.forwardedByZone[to.zone]--
		c.updateBackoff(now, to, e)
	}
	if c.forwardedIn[e.Call] {
		delete(c.forwardedIn, e.Call)
		return
	}
	c.recordActions(now, c.flow.Handle(now, e))
}

// updateBackoff backs off from a peer, or its whole zone, that failed or refused a call.
func (c *Core) updateBackoff(now time.Time, to destination, e shed.CallEnded) {
	switch e.End {
	case shed.EndNotStarted:
		pause := refusalBackoff
		if e.RetryAfter > 0 {
			pause = min(e.RetryAfter, maxBackoff)
		}
		c.backOffAfterRefusal(now, to, e.Reason, pause)
	case shed.EndComplete:
		delete(c.refusals, to.zone)
	case shed.EndBroken:
		c.backOff(now, peerKey(to.vm), lostPeerBackoff)
	}
}

// backOffAfterRefusal backs off from the peer, and from its zone if the refusal is due to
// the zone's servers. A call that this daemon itself delayed for too long, for example
// during a pause, says nothing about the peer.
func (c *Core) backOffAfterRefusal(now time.Time, to destination, reason shed.Reason, pause time.Duration) {
	switch reason {
	case shed.ReasonDeadline, shed.ReasonDuplicate, shed.ReasonTooManyHops:
		return
	case shed.ReasonServersBusy, shed.ReasonServerCold:
		if to.zone != c.cfg.Zone {
			c.backOffZone(now, to.zone, pause)
		}
	case shed.ReasonZoneOut, shed.ReasonServerLeaving, shed.ReasonNoServer:
		if to.zone != c.cfg.Zone {
			c.backOff(now, zoneKey(to.zone), pause)
		}
	}
	c.backOff(now, peerKey(to.vm), pause)
}

// backOffZone backs off from a zone without free capacity, for longer with each consecutive
// refusal: while every zone is full, requests between zones only add load.
func (c *Core) backOffZone(now time.Time, z shed.ZoneID, pause time.Duration) {
	n := c.refusals[z]
	c.refusals[z] = min(n+1, maxRefusals)
	c.backOff(now, zoneKey(z), min(pause<<n, maxBackoff))
}

// isZoneAvoided reports whether a zone gets no call now: it refused recently, or its last
// answer was a refusal and one call that probes it is still in flight. If all waiting calls
// probed it at once, most would be refused and would have used up a send.
func (c *Core) isZoneAvoided(now time.Time, z shed.ZoneID) bool {
	if c.isBackedOff(now, zoneKey(z)) {
		return true
	}
	return c.refusals[z] > 0 && c.forwardedByZone[z] > 0
}

// recordForward records a call that is forwarded to a peer.
func (c *Core) recordForward(call shed.Call, to shed.VM) {
	t := destination{vm: to, zone: c.zoneOf(to)}
	c.forwardedOut[call] = t
	c.forwardedByZone[t.zone]++
}

// maxRefusals bounds how often the backoff doubles.
const maxRefusals = 3

func peerKey(vm shed.VM) string    { return "peer " + string(vm) }
func zoneKey(z shed.ZoneID) string { return "zone " + string(z) }

func (c *Core) backOff(now time.Time, key string, pause time.Duration) {
	c.backoffUntil[key] = now.Add(pause)
}

func (c *Core) isBackedOff(now time.Time, key string) bool {
	until, ok := c.backoffUntil[key]
	return ok && now.Before(until)
}

func (c *Core) pruneBackoffs(now time.Time) {
	for key, until := range c.backoffUntil {
		if !now.Before(until) {
			delete(c.backoffUntil, key)
		}
	}
}
