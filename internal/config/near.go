package config

import (
	"math"
	"sort"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

// near is where this daemon stands among its peers. The daemons of a zone are
// put in the order of a rendezvous hash: the first few watch the platform, and
// below them each daemon has a few children. Daemons whose views differ see
// different trees, which costs messages but breaks nothing: whom one asks never
// matters for what one may believe.
type near struct {
	// ring is the zone's daemons in rank order, this one included.
	ring []shed.VM
	// at is this daemon's place in ring.
	at int
	// level is 0 for a watcher, and grows downwards.
	level int
	// above are the daemons of the next level up; empty for a watcher.
	above []shed.VM
	// below are this daemon's own children.
	below []shed.VM
	// zones are the other zones, sorted.
	zones []shed.ZoneID
	// contacts are the watchers of each other zone.
	contacts map[shed.ZoneID][]shed.VM
}

// SetPeers tells which daemons are alive, in this zone and in each other one.
func (s *State) SetPeers(zone []shed.Peer, others map[shed.ZoneID][]shed.Peer) {
	vms := vmsOf(zone)
	if !has(vms, s.cfg.Self.VM) {
		vms = append(vms, s.cfg.Self.VM)
	}
	n := near{
		ring:     rank.Owners(rankKey(s.cfg.Zone), vms, len(vms)),
		contacts: map[shed.ZoneID][]shed.VM{},
	}
	for i, vm := range n.ring {
		if vm == s.cfg.Self.VM {
			n.at = i
		}
	}
	n.climb(s.cfg.Watchers, s.cfg.Fanout)
	for id, peers := range others {
		if id == s.cfg.Zone || len(peers) == 0 {
			continue
		}
		n.zones = append(n.zones, id)
		n.contacts[id] = rank.Owners(rankKey(id), vmsOf(peers), s.cfg.Watchers)
	}
	sort.Slice(n.zones, func(i, j int) bool { return n.zones[i] < n.zones[j] })
	s.near = n
}

func rankKey(zone shed.ZoneID) string { return "config/" + string(zone) }

// climb finds the daemon's level, the level above it, and its children.
func (n *near) climb(watchers, fanout int) {
	first, width := 0, watchers
	for n.at >= first+width {
		n.above = n.ring[first : first+width]
		first += width
		width *= fanout
		n.level++
	}
	from := watchers + n.at*fanout
	if from < len(n.ring) {
		n.below = n.ring[from:min(from+fanout, len(n.ring))]
	}
}

// watchers of this zone.
func (n *near) watchers(most int) []shed.VM {
	return n.ring[:min(most, len(n.ring))]
}

func vmsOf(peers []shed.Peer) []shed.VM {
	vms := make([]shed.VM, len(peers))
	for i, p := range peers {
		vms[i] = p.VM
	}
	return vms
}

func has(list []shed.VM, vm shed.VM) bool {
	for _, x := range list {
		if x == vm {
			return true
		}
	}
	return false
}

// pick draws one of the list other than this daemon; "" if there is none.
func (s *State) pick(list []shed.VM) shed.VM {
	others := make([]shed.VM, 0, len(list))
	for _, vm := range list {
		if vm != s.cfg.Self.VM {
			others = append(others, vm)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[s.rng.IntN(len(others))]
}

// farContacts draws one contact in each of at most n other zones.
func (s *State) farContacts(n int) []shed.VM {
	zones := append([]shed.ZoneID(nil), s.near.zones...)
	s.rng.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	var list []shed.VM
	for _, id := range zones[:min(n, len(zones))] {
		list = append(list, s.pick(s.near.contacts[id]))
	}
	return list
}

const everyZone = math.MaxInt
