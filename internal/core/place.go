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
	// maxHops bounds how often one stage call is handed over: to another zone,
	// and there to the daemon that may use a cold server.
	maxHops = 2
	// comeBack is when to come back where nothing better is known.
	comeBack = time.Second
	// farTries is how many peers of another zone are tried before the next.
	farTries = 3
)

// Place implements shed.Placer: a server of this zone first, then a peer of
// the zone that may use a cold one, then another zone.
func (c *Core) Place(now time.Time, ask shed.PlaceRequest) shed.Placement {
	if reason := c.unsure(now); reason != shed.ReasonNone {
		return shed.Placement{Kind: shed.PlaceWait, Reason: reason}
	}
	pool := c.pools[ask.Stage.Pool]
	if pool == nil {
		return shed.Placement{Kind: shed.PlaceNowhere, Reason: shed.ReasonNoServer, RetryAfter: comeBack}
	}
	here := c.placeHere(now, ask, pool, "")
	if here.Kind == shed.PlaceLocal || here.Kind == shed.PlacePeer {
		return here
	}
	if far, ok := c.placeFar(now, ask, pool); ok {
		return far
	}
	if here.Kind == shed.PlaceWait || c.openElsewhere(ask, pool) {
		return shed.Placement{Kind: shed.PlaceWait, Reason: here.Reason, Rule: here.Rule}
	}
	return here
}

// unsure is why this daemon may start no work at all at the moment.
//
// One that woke from a pause doesn't know what was decided meanwhile. One that
// hears neither the platform nor any daemon, of its own zone or another, may be
// alone in not knowing that its zone was taken out or a server leaves: callers
// would see work go there for as long as it is cut off. The others of its zone
// serve meanwhile. A zone that is cut off as a whole goes on, since its daemons
// hear each other, and so does a daemon that is the only one left of its zone.
func (c *Core) unsure(now time.Time) shed.Reason {
	switch {
	case !c.config.Ready():
		return shed.ReasonWoke
	case c.alone || c.hearsNobody(now):
		return shed.ReasonUnconfirmed
	}
	return shed.ReasonNone
}

func (c *Core) hearsNobody(now time.Time) bool {
	return !c.config.Fresh(now) && !c.member.Confirmed(now)
}

// lookAround notices when this daemon hears nobody, and when it hears somebody
// again. Then it asks what is in force before it starts anything: the first
// sign of life of a peer says nothing of what was decided meanwhile.
func (c *Core) lookAround(now time.Time) {
	switch nobody := c.hearsNobody(now); {
	case nobody && c.config.Ready():
		c.alone = true
	case !nobody && c.alone:
		c.alone = false
		c.take(c.config.Resync(now))
	}
}

// MayResume tells whether a stream may go on at the server that holds it.
func (c *Core) MayResume(now time.Time, id shed.ServerID) bool {
	s := c.rules.Servers[id]
	if s == nil || c.unsure(now) != shed.ReasonNone {
		return false
	}
	open, _ := c.rules.ServerOpen(s)
	cand, known := c.load.Candidate(now, id)
	return open && known && (!cand.Cold || c.load.IsSettled(id) && c.slots.FreeSlots(now, id) > 0)
}

// placeHere looks at this zone only. not is a peer that must not get the call.
func (c *Core) placeHere(now time.Time, ask shed.PlaceRequest, pool *pool, not shed.VM) shed.Placement {
	nowhere := shed.Placement{Kind: shed.PlaceNowhere, Reason: shed.ReasonNoServer, RetryAfter: comeBack}
	if !ask.Stage.MayRunIn(c.cfg.Zone) {
		nowhere.Rule = ask.Stage.Origin
		return nowhere
	}
	room := c.scratch[:0]
	var cold []*shed.Server
	open := 0
	sharers := c.sharers(now)
	for _, s := range pool.here {
		if slices.Contains(ask.Avoid, s.ID) {
			continue
		}
		if c.orders.Draining(s.ID) {
			nowhere.Reason = shed.ReasonServerOrdered
			continue
		}
		ok, rule := c.rules.ServerOpen(s)
		if !ok {
			nowhere.Reason, nowhere.Rule = c.closedBy(s), rule
			continue
		}
		open++
		cand, known := c.load.Candidate(now, s.ID)
		switch {
		case !known:
		case !cand.Cold && c.load.FreeCapacity(s.ID) > 0 && c.load.MaySend(now, s.ID, unseenShare(s, sharers)):
			room = append(room, cand)
		case cand.Cold && c.load.IsSettled(s.ID) && cand.Running < s.ColdCapacity && c.slots.FreeSlots(now, s.ID) > 0:
			room = append(room, cand)
		case cand.Cold:
			cold = append(cold, s)
		}
	}
	c.scratch = room
	if len(room) > 0 {
		s := room[c.policy.Pick(now, ask.Prefix, room)].Server
		return shed.Placement{Kind: shed.PlaceLocal, Server: s}
	}
	if open == 0 {
		return nowhere
	}
	if to, ok := c.slotOwner(now, ask, cold, not); ok {
		return shed.Placement{Kind: shed.PlacePeer, Peer: to}
	}
	reason := shed.ReasonServersBusy
	if len(cold) == open {
		reason = shed.ReasonServerCold
	}
	return shed.Placement{Kind: shed.PlaceWait, Reason: reason}
}

// unseenShare is how many calls this daemon may have under way of which the
// server has given no sign. A warm server may turn cold without warning; all
// daemons' unseen calls together are then what hits it before anyone knows, so
// each takes its share of what the server bears cold.
func unseenShare(s *shed.Server, daemons int) int {
	return max(1, s.ColdCapacity/max(1, daemons))
}

// sharers is how many daemons may send to the zone's servers; all too many if
// this one doesn't know yet who else there is, so that it takes the least.
func (c *Core) sharers(now time.Time) int {
	if !c.member.Confirmed(now) {
		return math.MaxInt
	}
	return max(len(c.member.View().Zone(c.cfg.Zone)), len(c.member.Known()))
}

// closedBy says why the rules keep new work from the server.
func (c *Core) closedBy(s *shed.Server) shed.Reason {
	if z := c.rules.Zones[s.Zone]; z != nil && z.OutOfService {
		return shed.ReasonZoneOut
	}
	return shed.ReasonServerLeaving
}

// slotOwner finds a peer of this zone that may use one of the cold servers.
func (c *Core) slotOwner(now time.Time, ask shed.PlaceRequest, cold []*shed.Server, not shed.VM) (shed.VM, bool) {
	if ask.Hops >= maxHops {
		return "", false
	}
	for _, s := range cold {
		to, ok := c.slots.PeerWithSlot(now, s.ID)
		if ok && to != not && !c.isShunned(now, peerKey(to)) {
			return to, true
		}
	}
	return "", false
}

// placeFar finds a daemon of another zone. A daemon that is not sure of its
// configuration hands nothing to other zones: it can't know whether operators
// have taken them out.
func (c *Core) placeFar(now time.Time, ask shed.PlaceRequest, pool *pool) (shed.Placement, bool) {
	if ask.Hops > 0 || !c.config.Fresh(now) {
		return shed.Placement{}, false
	}
	key := fmt.Sprintf("%s/%d/%d", ask.Call.Request, ask.Call.Stage, ask.Call.Attempt)
	for _, z := range c.farZones(ask, pool) {
		if c.zoneShunned(now, z) {
			continue
		}
		for _, vm := range rank.Owners(key, c.member.View().VMs(z), farTries) {
			if !c.isShunned(now, peerKey(vm)) {
				return shed.Placement{Kind: shed.PlacePeer, Peer: vm}, true
			}
		}
	}
	return shed.Placement{}, false
}

// farZones are the other zones where the rules let the stage run, those of
// this region first, and each daemon's requests in an order of their own.
func (c *Core) farZones(ask shed.PlaceRequest, pool *pool) []shed.ZoneID {
	var near, far []shed.ZoneID
	for _, z := range pool.far {
		switch {
		case !ask.Stage.MayRunIn(z):
		case c.sameRegion(z):
			near = append(near, z)
		default:
			far = append(far, z)
		}
	}
	rotate(near, ask.Prefix+uint64(ask.Call.Attempt))
	rotate(far, ask.Prefix+uint64(ask.Call.Attempt))
	return append(near, far...)
}

// rotate turns the list by n, so that not all callers try the same one first.
func rotate(list []shed.ZoneID, n uint64) {
	if len(list) < 2 {
		return
	}
	k := int(n % uint64(len(list)))
	turned := append(slices.Clone(list[k:]), list[:k]...)
	copy(list, turned)
}

func (c *Core) sameRegion(z shed.ZoneID) bool {
	own, other := c.rules.Zones[c.cfg.Zone], c.rules.Zones[z]
	return own != nil && other != nil && own.Region == other.Region
}

func (c *Core) openElsewhere(ask shed.PlaceRequest, pool *pool) bool {
	return ask.Hops == 0 && len(c.farZones(ask, pool)) > 0
}
