package core

import (
	"time"

	shed "jasmineshed"
)

const (
	// shunLost is how long a peer whose link broke gets no work.
	shunLost = time.Second
	// shunBusy is how long a peer or zone that refused gets no work, if it
	// named no time itself.
	shunBusy = 200 * time.Millisecond
	// shunMost bounds what a peer may ask for.
	shunMost = 5 * time.Second
)

func (c *Core) callProgress(now time.Time, e shed.CallProgress) {
	if _, here := c.local[e.Call]; here {
		c.take(c.load.RecordAccepted(now, e.Call, e.Boot))
		if e.Tokens > 0 {
			c.take(c.load.RecordFirstToken(now, e.Call))
		}
	}
	if to, far := c.handed[e.Call]; far {
		// It has room again; waiting for the call's end would keep all others
		// from the zone for the length of a generation.
		delete(c.refusals, to.zone)
	}
	if !c.guests[e.Call] {
		c.book(now, c.flow.Handle(now, e))
	}
}

func (c *Core) callEnded(now time.Time, e shed.CallEnded) {
	if id, here := c.local[e.Call]; here {
		delete(c.local, e.Call)
		e.Server = id
		c.take(c.load.RecordEnd(now, e.Call, e.End))
		c.take(c.slots.Release(now, e.Call, e.End))
	}
	if to, far := c.handed[e.Call]; far {
		delete(c.handed, e.Call)
		c.handedTo[to.zone]--
		c.judge(now, to, e)
	}
	if c.guests[e.Call] {
		delete(c.guests, e.Call)
		return
	}
	c.book(now, c.flow.Handle(now, e))
}

// judge notes that a peer, or its whole zone, gives no good answers just now.
func (c *Core) judge(now time.Time, to target, e shed.CallEnded) {
	switch e.End {
	case shed.EndNotStarted:
		pause := shunBusy
		if e.RetryAfter > 0 {
			pause = min(e.RetryAfter, shunMost)
		}
		c.judgeRefusal(now, to, e.Reason, pause)
	case shed.EndComplete:
		delete(c.refusals, to.zone)
	case shed.EndBroken:
		c.shun(now, peerKey(to.vm), shunLost)
	}
}

// judgeRefusal tells what a call that did not start says of the peer and of its
// zone. One that this daemon itself held back for too long, as after a pause,
// says nothing; only what the zone's servers are the reason for concerns all of
// the zone.
func (c *Core) judgeRefusal(now time.Time, to target, reason shed.Reason, pause time.Duration) {
	switch reason {
	case shed.ReasonDeadline, shed.ReasonDuplicate, shed.ReasonTooManyHops:
		return
	case shed.ReasonServersBusy, shed.ReasonServerCold:
		if to.zone != c.cfg.Zone {
			c.refused(now, to.zone, pause)
		}
	case shed.ReasonZoneOut, shed.ReasonServerLeaving, shed.ReasonNoServer:
		if to.zone != c.cfg.Zone {
			c.shun(now, zoneKey(to.zone), pause)
		}
	}
	c.shun(now, peerKey(to.vm), pause)
}

// refused keeps work from a zone that has no room, for longer with each refusal
// in a row: while every zone is full, asking each other is only more work.
func (c *Core) refused(now time.Time, z shed.ZoneID, pause time.Duration) {
	n := c.refusals[z]
	c.refusals[z] = min(n+1, maxRefusals)
	c.shun(now, zoneKey(z), min(pause<<n, shunMost))
}

// zoneShunned tells whether a zone gets no call now: it refused lately, or it
// did so last and one call that tries it again is still out. Were all that wait
// to try at once, most would come back refused and have spent a send for it.
func (c *Core) zoneShunned(now time.Time, z shed.ZoneID) bool {
	if c.isShunned(now, zoneKey(z)) {
		return true
	}
	return c.refusals[z] > 0 && c.handedTo[z] > 0
}

// hand books a call that goes to a peer.
func (c *Core) hand(call shed.Call, to shed.VM) {
	t := target{vm: to, zone: c.zoneOf(to)}
	c.handed[call] = t
	c.handedTo[t.zone]++
}

// maxRefusals bounds how often the pause doubles.
const maxRefusals = 3

func peerKey(vm shed.VM) string    { return "peer " + string(vm) }
func zoneKey(z shed.ZoneID) string { return "zone " + string(z) }

func (c *Core) shun(now time.Time, key string, pause time.Duration) {
	c.shunned[key] = now.Add(pause)
}

func (c *Core) isShunned(now time.Time, key string) bool {
	until, ok := c.shunned[key]
	return ok && now.Before(until)
}

func (c *Core) forgetShunned(now time.Time) {
	for key, until := range c.shunned {
		if !now.Before(until) {
			delete(c.shunned, key)
		}
	}
}
