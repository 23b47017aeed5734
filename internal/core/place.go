package core

import (
	"fmt"
	"math"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

var _ shed.Placer = (*Core)(nil)

const (
	// maxHops bounds how often one stage call is forwarded: to another zone, and there
	// to the daemon that may use a cold server.
	maxHops = 2
	// defaultRetryAfter is sent to callers if no better estimate is known.
	defaultRetryAfter = time.Second
	// peersPerZone is how many peers of another zone are tried before the next zone.
	peersPerZone = 3
)

// Place implements shed.Placer. It prefers a server of this zone, then a peer of the
// zone that may use a cold one, then another zone.
func (c *Core) Place(now time.Time, req shed.PlaceRequest) shed.Placement {
	if reason := c.blockedReason(now); reason != shed.ReasonNone {
		return shed.Placement{Kind: shed.PlaceWait, Reason: reason}
	}
	pool := c.pools[req.Stage.Pool]
	if pool == nil {
		return shed.Placement{Kind: shed.PlaceNowhere, Reason: shed.ReasonNoServer, RetryAfter: defaultRetryAfter}
	}
	local := c.placeInZone(now, req, pool, "")
	if local.Kind == shed.PlaceLocal || local.Kind == shed.PlacePeer {
		return local
	}
	if remote, ok := c.placeInOtherZone(now, req, pool); ok {
		return remote
	}
	if local.Kind == shed.PlaceWait || c.hasOtherZones(req, pool) {
		return shed.Placement{Kind: shed.PlaceWait, Reason: local.Reason, Rule: local.Rule}
	}
	return local
}

// blockedReason is why this daemon must not start any work at the moment, if so.
//
// A daemon that resumes after a pause doesn't know what was decided meanwhile. A daemon
// without contact to the platform and to any daemon, of its own zone or another, may be the
// only one that doesn't know that its zone was taken out of service or that a server is
// leaving, and would send work there for as long as it is partitioned off. The other daemons
// of its zone serve meanwhile. A zone that is partitioned off as a whole continues, since its
// daemons reach each other, and so does the only remaining daemon of a zone.
func (c *Core) blockedReason(now time.Time) shed.Reason {
	switch {
	case !c.config.Ready():
		return shed.ReasonPaused
	case c.isolated || c.hasNoContact(now):
		return shed.ReasonUnconfirmed
	}
	return shed.ReasonNone
}

func (c *Core) hasNoContact(now time.Time) bool {
	return !c.config.Fresh(now) && !c.member.Confirmed(now)
}

// updateIsolation detects when this daemon loses all contact and when it regains it. It then
// asks for the configuration in force before it starts anything: the first message of a
// peer doesn't say what was decided meanwhile.
func (c *Core) updateIsolation(now time.Time) {
	switch noContact := c.hasNoContact(now); {
	case noContact && c.config.Ready():
		c.isolated = true
	case !noContact && c.isolated:
		c.isolated = false
		c.emit(c.config.Resync(now))
	}
}

// MayResume reports whether a stream may be resumed at the server that holds it.
func (c *Core) MayResume(now time.Time, id shed.ServerID) bool {
	s := c.rules.Servers[id]
	if s == nil || c.blockedReason(now) != shed.ReasonNone {
		return false
	}
	open, _ := c.rules.ServerOpen(s)
	cand, known := c.load.Candidate(now, id)
	return open && known && (!cand.Cold || c.load.IsSettled(id) && c.slots.FreeSlots(now, id) > 0)
}

// placeInZone considers only this zone. The peer exclude must not get the call.
func (c *Core) placeInZone(now time.Time, req shed.PlaceRequest, pool *pool, exclude shed.VM) shed.Placement {
	nowhere := shed.Placement{Kind: shed.PlaceNowhere, Reason: shed.ReasonNoServer, RetryAfter: defaultRetryAfter}
	if !req.Stage.MayRunIn(c.cfg.Zone) {
		nowhere.Rule = req.Stage.Origin
		return nowhere
	}
	candidates := c.scratch[:0]
	var cold []*shed.Server
	open := 0
	daemons := c.sendingDaemons(now)
	for _, s := range pool.localServers {
		if slices.Contains(req.Avoid, s.ID) {
			continue
		}
		if c.orders.Draining(s.ID) {
			nowhere.Reason = shed.ReasonServerOrdered
			continue
		}
		ok, rule := c.rules.ServerOpen(s)
		if !ok {
			nowhere.Reason, nowhere.Rule = c.closedReason(s), rule
			continue
		}
		open++
		cand, known := c.load.Candidate(now, s.ID)
		switch {
		case !known:
		case !cand.Cold && c.load.FreeCapacity(s.ID) > 0 && c.load.MaySend(now, s.ID, unconfirmedCallLimit(s, daemons)):
			candidates = append(candidates, cand)
		case cand.Cold && c.load.IsSettled(s.ID) && cand.Running < s.ColdCapacity && c.slots.FreeSlots(now, s.ID) > 0:
			candidates = append(candidates, cand)
		case cand.Cold:
			cold = append(cold, s)
		}
	}
	c.scratch = candidates
	if len(candidates) > 0 {
		s := candidates[c.policy.Pick(now, req.Prefix, candidates)].Server
		return shed.Placement{Kind: shed.PlaceLocal, Server: s}
	}
	if open == 0 {
		return nowhere
	}
	if to, ok := c.slotOwner(now, req, cold, exclude); ok {
		return shed.Placement{Kind: shed.PlacePeer, Peer: to}
	}
	reason := shed.ReasonServersBusy
	if len(cold) == open {
		reason = shed.ReasonServerCold
	}
	return shed.Placement{Kind: shed.PlaceWait, Reason: reason}
}

// unconfirmedCallLimit is how many calls this daemon may have in flight that the server has
// not confirmed. A warm server may become cold without notice; until that is known, it
// gets the unconfirmed calls of all daemons together, so each daemon is limited to its
// share of the server's cold capacity.
func unconfirmedCallLimit(s *shed.Server, daemons int) int {
	return max(1, s.ColdCapacity/max(1, daemons))
}

// sendingDaemons is how many daemons may send to the zone's servers. As long as the view
// isn't confirmed, it is the maximum, so that this daemon takes the smallest share.
func (c *Core) sendingDaemons(now time.Time) int {
	if !c.member.Confirmed(now) {
		return math.MaxInt
	}
	return max(len(c.member.View().Zone(c.cfg.Zone)), len(c.member.Known()))
}

// closedReason is why the rules exclude the server from new work.
func (c *Core) closedReason(s *shed.Server) shed.Reason {
	if z := c.rules.Zones[s.Zone]; z != nil && z.OutOfService {
		return shed.ReasonZoneOut
	}
	return shed.ReasonServerLeaving
}

// slotOwner finds a peer of this zone that may use one of the cold servers.
func (c *Core) slotOwner(now time.Time, req shed.PlaceRequest, cold []*shed.Server, exclude shed.VM) (shed.VM, bool) {
	if req.Hops >= maxHops {
		return "", false
	}
	for _, s := range cold {
		to, ok := c.slots.PeerWithSlot(now, s.ID)
		if ok && to != exclude && !c.isBackedOff(now, peerKey(to)) {
			return to, true
		}
	}
	return "", false
}

// placeInOtherZone finds a daemon of another zone. A daemon whose configuration is not fresh
// forwards nothing to other zones, since operators may have taken them out of service.
func (c *Core) placeInOtherZone(now time.Time, req shed.PlaceRequest, pool *pool) (shed.Placement, bool) {
	if req.Hops > 0 || !c.config.Fresh(now) {
		return shed.Placement{}, false
	}
	key := fmt.Sprintf("%s/%d/%d", req.Call.Request, req.Call.Stage, req.Call.Attempt)
	for _, z := range c.otherZones(req, pool) {
		if c.isZoneAvoided(now, z) || !c.hasUnavoidedServer(req, z) {
			continue
		}
		for _, vm := range rank.Owners(key, c.member.View().VMs(z), peersPerZone) {
			if !c.isBackedOff(now, peerKey(vm)) {
				return shed.Placement{Kind: shed.PlacePeer, Peer: vm}, true
			}
		}
	}
	return shed.Placement{}, false
}

// hasUnavoidedServer reports whether the zone has an open server of the stage's pool that the call
// doesn't avoid. Without one, each peer there would refuse the call.
func (c *Core) hasUnavoidedServer(req shed.PlaceRequest, z shed.ZoneID) bool {
	if len(req.Avoid) == 0 {
		return true
	}
	for _, s := range c.rules.Pools[req.Stage.Pool].Servers {
		if s.Zone != z || slices.Contains(req.Avoid, s.ID) {
			continue
		}
		if open, _ := c.rules.ServerOpen(s); open {
			return true
		}
	}
	return false
}

// otherZones returns the other zones where the rules let the stage run, those of this region
// first. The order within a region depends on the request, to spread the load.
func (c *Core) otherZones(req shed.PlaceRequest, pool *pool) []shed.ZoneID {
	var near, far []shed.ZoneID
	for _, z := range pool.otherZones {
		switch {
		case !req.Stage.MayRunIn(z):
		case c.sameRegion(z):
			near = append(near, z)
		default:
			far = append(far, z)
		}
	}
	rotate(near, req.Prefix+uint64(req.Call.Attempt))
	rotate(far, req.Prefix+uint64(req.Call.Attempt))
	return append(near, far...)
}

// rotate rotates zones by n, so that not all callers try the same zone first.
func rotate(zones []shed.ZoneID, n uint64) {
	if len(zones) < 2 {
		return
	}
	k := int(n % uint64(len(zones)))
	rotated := append(slices.Clone(zones[k:]), zones[:k]...)
	copy(zones, rotated)
}

func (c *Core) sameRegion(z shed.ZoneID) bool {
	own, other := c.rules.Zones[c.cfg.Zone], c.rules.Zones[z]
	return own != nil && other != nil && own.Region == other.Region
}

func (c *Core) hasOtherZones(req shed.PlaceRequest, pool *pool) bool {
	return req.Hops == 0 && len(c.otherZones(req, pool)) > 0
}
