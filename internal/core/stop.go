package core

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/member"
	"jasmineshed/internal/rank"
)

// stop is the state of a graceful stop.
type stop struct {
	requested  bool
	skipNotice bool
	// noticeUntil is when the load balancer has certainly noticed that this VM is not
	// ready; requests that arrive before are served.
	noticeUntil time.Time
	// drainUntil is when the process exits even if requests still run.
	drainUntil time.Time
	exited     bool
}

// refuses reports whether new requests are refused.
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

// leaveGroup moves the unused tickets to a peer of the zone and announces the stop to the
// others. The tickets are removed here before they are sent: if the message is lost, the
// tickets are lost too and their callers get outcome_unknown, but no ticket can ever be
// started twice.
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

// checkStop exits once nothing is in flight or the drain time is over.
func (c *Core) checkStop(now time.Time) {
	if c.member.Overruled() && !c.stop.requested {
		// A later process claims this VM's address, and peers drop all messages of this
		// one. Its calls in flight may still end, but it must start nothing.
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
