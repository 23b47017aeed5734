package core

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/member"
	"jasmineshed/internal/rank"
)

// stop is a graceful stop under way.
type stop struct {
	asked bool
	hurry bool
	// until is when the balancer has surely noticed that this VM is not ready;
	// before it, requests that still come are served.
	until time.Time
	// latest is when the process ends whatever still runs.
	latest time.Time
	exited bool
}

// refuses tells whether new requests are refused.
func (s *stop) refuses(now time.Time) bool {
	return s.asked && (s.hurry || !now.Before(s.until))
}

func (c *Core) stopAsked(now time.Time, e shed.StopRequested) {
	if !c.stop.asked {
		c.stop = stop{asked: true, until: now.Add(c.cfg.Notice), latest: now.Add(c.cfg.MaxDrain)}
		c.leave(now)
		c.tellReady(now)
	}
	c.stop.hurry = c.stop.hurry || e.SkipNotice
}

// leave gives the unused tickets to a peer of the zone and tells the others.
// The tickets are forgotten here before they are sent: if the message is lost
// they are lost with it and their callers are told outcome_unknown, but no
// ticket can ever be started twice.
func (c *Core) leave(now time.Time) {
	heir := c.heir()
	if heir.VM != "" {
		move := c.tickets.MoveAll(now, heir)
		if len(move.Tickets) > 0 {
			c.out = append(c.out, shed.SendPeer{To: heir.VM, Message: move})
		}
	}
	c.take(c.member.Leave(heir))
	c.view(now)
}

func (c *Core) heir() shed.Peer {
	var vms []shed.VM
	for _, vm := range c.member.View().VMs(c.cfg.Zone) {
		if vm != c.cfg.Self.VM {
			vms = append(vms, vm)
		}
	}
	vm, ok := rank.Owner("heir/"+string(c.cfg.Self.VM), vms)
	if !ok {
		return shed.Peer{}
	}
	m, _ := c.member.Lookup(vm)
	return m.Peer
}

// stopTick ends the process once nothing runs any more, or time is up.
func (c *Core) stopTick(now time.Time) {
	if c.member.Overruled() && !c.stop.asked {
		// A later process claims this VM's address, and peers drop all that this
		// one says. What it runs may still end; it must start nothing.
		c.out = append(c.out, shed.Note{Reason: member.ReasonOverruled, Peer: c.cfg.Self.VM})
		c.stopAsked(now, shed.StopRequested{SkipNotice: true})
	}
	if !c.stop.asked || c.stop.exited {
		return
	}
	if c.stop.refuses(now) {
		c.flow.Stop(shed.ReasonStopping)
	}
	idle := c.stop.refuses(now) && c.flow.Live() == 0 && len(c.guests) == 0 && len(c.away) == 0
	if idle || !now.Before(c.stop.latest) {
		c.stop.exited = true
		c.out = append(c.out, shed.Exit{})
	}
}
