package core

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/member"
	"jasmineshed/internal/rank"
)

// stop is a graceful stop under way.
type stop struct {
	requested  bool
	skipNotice bool
	// noticeUntil is when the balancer has surely noticed that this VM is not ready;
	// before it, requests that still come are served.
	noticeUntil time.Time
	// drainUntil is when the process ends whatever still runs.
	drainUntil time.Time
	exited     bool
}

// refuses tells whether new requests are refused.
func (s *stop) refuses(now time.Time) bool {
	return s.requested && (s.skipNotice || !now.Before(s.noticeUntil))
}

func (c *Core) handleStopRequest(now time.Time, e shed.StopRequested) {
	if !c.stop.requested {
		c.stop = stop{requested: true, noticeUntil: now.Add(c.cfg.Notice), drainUntil: now.Add(c.cfg.MaxDrain)}
		c.leaveGroup(now)
		c.updateReady(now)
	}
	c.stop.skipNotice = c.stop.skipNotice || e.SkipNotice
}

// leaveGroup gives the unused tickets to a peer of the zone and tells the others.
// The tickets are forgotten here before they are sent: if the message is lost
// they are lost with it and their callers are told outcome_unknown, but no
// ticket can ever be started twice.
func (c *Core) leaveGroup(now time.Time) {
	successor := c.pickSuccessor()
	if successor.VM != "" {
		move := c.tickets.MoveAll(now, successor)
		if len(move.Tickets) > 0 {
			c.out = append(c.out, shed.SendPeer{To: successor.VM, Message: move})
		}
	}
	c.emit(c.member.Leave(successor))
	c.updateView(now)
}

func (c *Core) pickSuccessor() shed.Peer {
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

// checkStop ends the process once nothing runs any more, or time is up.
func (c *Core) checkStop(now time.Time) {
	if c.member.Overruled() && !c.stop.requested {
		// A later process claims this VM's address, and peers drop all that this
		// one says. What it runs may still end; it must start nothing.
		c.out = append(c.out, shed.Note{Reason: member.ReasonOverruled, Peer: c.cfg.Self.VM})
		c.handleStopRequest(now, shed.StopRequested{SkipNotice: true})
	}
	if !c.stop.requested || c.stop.exited {
		return
	}
	if c.stop.refuses(now) {
		c.flow.Stop(shed.ReasonStopping)
	}
	idle := c.stop.refuses(now) && c.flow.Live() == 0 && len(c.forwardedIn) == 0 && len(c.forwardedRequests) == 0
	if idle || !now.Before(c.stop.drainUntil) {
		c.stop.exited = true
		c.out = append(c.out, shed.Exit{})
	}
}
