package core

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/member"
)

// updateView passes the live VMs, and whether the view is confirmed, to the components.
func (c *Core) updateView(now time.Time) {
	v := c.member.View()
	vms := v.VMs(c.cfg.Zone)
	unconfirmed := !c.member.Confirmed(now)
	known := c.member.Known()
	hash := v.Hash(c.cfg.Zone)
	c.slots.SetKnown(now, known)
	c.emit(c.slots.SetView(now, vms, hash, unconfirmed))
	c.orders.SetKnown(now, known)
	c.orders.SetView(now, vms, hash, unconfirmed)
	c.notifyViewChange(now, v, vms)
	c.updateIsolation(now)
}

// notifyViewChange notifies the components that only need to know of changes.
func (c *Core) notifyViewChange(now time.Time, v member.View, vms []shed.VM) {
	var sum uint64
	for _, z := range v.Zones() {
		sum = sum*31 + v.Hash(z)
	}
	if sum == c.viewHash {
		return
	}
	c.viewHash = sum
	c.load.SetView(now, vms)
	others := make(map[shed.ZoneID][]shed.Peer)
	for _, z := range v.Zones() {
		if z != c.cfg.Zone {
			others[z] = v.Zone(z)
		}
	}
	c.config.SetPeers(v.Zone(c.cfg.Zone), others)
}

// firstReportTimeout bounds the wait for the first load report of every server.
const firstReportTimeout = 3 * time.Second

// checkServersKnown checks whether every open server of the zone has reported its load. A
// daemon that accepted requests earlier would know no warm server and would refuse load that
// its zone can handle.
func (c *Core) checkServersKnown(now time.Time) {
	if c.serversKnown || c.rules == nil {
		return
	}
	c.serversKnown = true
	if now.Sub(c.firstRulesAt) > firstReportTimeout {
		return
	}
	for id, s := range c.rules.Servers {
		open, _ := c.rules.ServerOpen(s)
		if s.Zone != c.cfg.Zone || !open {
			continue
		}
		if _, _, received := c.load.Report(now, id); !received {
			c.serversKnown = false
		}
	}
}

// updateReady notifies the driver when readiness changes.
func (c *Core) updateReady(now time.Time) {
	c.checkServersKnown(now)
	ready := c.serversKnown && !c.stop.requested && c.blockedReason(now) == shed.ReasonNone
	if ready != c.ready {
		c.ready = ready
		c.out = append(c.out, shed.SetReady{Ready: ready})
	}
}
