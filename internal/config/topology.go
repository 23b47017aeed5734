package config

import (
	"math"
	"sort"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

// topology is this daemon's place in the distribution tree. The daemons of a zone are
// ordered by a rendezvous hash: the first few watch the platform, and each daemon has a
// few children in the levels below. Daemons whose views differ see different trees, which
// costs messages but breaks nothing: which peer is queried never affects what is accepted
// as confirmed.
type topology struct {
	// ranked lists the zone's daemons in rank order, this one included.
	ranked []shed.VM
	// rank is this daemon's index in ranked.
	rank int
	// level is 0 for a watcher and increases downwards.
	level int
	// parents are the daemons of the next level up; empty for a watcher.
	parents []shed.VM
	// children are this daemon's own children.
	children []shed.VM
	// otherZones are the other zones, sorted.
	otherZones []shed.ZoneID
	// contacts are the watchers of each other zone.
	contacts map[shed.ZoneID][]shed.VM
}

// SetPeers sets the live daemons of this zone and of each other one.
func (s *State) SetPeers(zone []shed.Peer, others map[shed.ZoneID][]shed.Peer) {
	vms := vmsOf(zone)
	if !contains(vms, s.cfg.Self.VM) {
		vms = append(vms, s.cfg.Self.VM)
	}
	n := topology{
		ranked:   rank.Owners(rankKey(s.cfg.Zone), vms, len(vms)),
		contacts: map[shed.ZoneID][]shed.VM{},
	}
	for i, vm := range n.ranked {
		if vm == s.cfg.Self.VM {
			n.rank = i
		}
	}
	n.setLevels(s.cfg.Watchers, s.cfg.Fanout)
	for id, peers := range others {
		if id == s.cfg.Zone || len(peers) == 0 {
			continue
		}
		n.otherZones = append(n.otherZones, id)
		n.contacts[id] = rank.Owners(rankKey(id), vmsOf(peers), s.cfg.Watchers)
	}
	sort.Slice(n.otherZones, func(i, j int) bool { return n.otherZones[i] < n.otherZones[j] })
	s.topology = n
}

func rankKey(zone shed.ZoneID) string { return "config/" + string(zone) }

// setLevels determines the daemon's level, its possible parents, and its children.
func (n *topology) setLevels(watchers, fanout int) {
	first, width := 0, watchers
	for n.rank >= first+width {
		n.parents = n.ranked[first : first+width]
		first += width
		width *= fanout
		n.level++
	}
	firstChild := watchers + n.rank*fanout
	if firstChild < len(n.ranked) {
		n.children = n.ranked[firstChild:min(firstChild+fanout, len(n.ranked))]
	}
}

// watchers returns the watchers of this zone.
func (n *topology) watchers(limit int) []shed.VM {
	return n.ranked[:min(limit, len(n.ranked))]
}

func vmsOf(peers []shed.Peer) []shed.VM {
	vms := make([]shed.VM, len(peers))
	for i, p := range peers {
		vms[i] = p.VM
	}
	return vms
}

func contains(list []shed.VM, vm shed.VM) bool {
	for _, x := range list {
		if x == vm {
			return true
		}
	}
	return false
}

// pickPeer returns a random VM of the list other than this one; "" if there is none.
func (s *State) pickPeer(list []shed.VM) shed.VM {
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

// remoteContacts returns one random contact in each of at most n other zones.
func (s *State) remoteContacts(n int) []shed.VM {
	zones := append([]shed.ZoneID(nil), s.topology.otherZones...)
	s.rng.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	var list []shed.VM
	for _, id := range zones[:min(n, len(zones))] {
		list = append(list, s.pickPeer(s.topology.contacts[id]))
	}
	return list
}

const allZones = math.MaxInt
