package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

// View is an immutable snapshot of a Group.
type View struct {
	zones map[shed.ZoneID][]shed.Peer
	ids   []shed.ZoneID
	hash  map[shed.ZoneID]uint64
}

// Zone returns the processes of z that are alive and not leaving, sorted by VM: all of them in this
// daemon's own zone, including itself; in another zone its contacts.
func (v View) Zone(z shed.ZoneID) []shed.Peer { return v.zones[z] }

// Zones returns all zones that are known to have a VM, sorted.
func (v View) Zones() []shed.ZoneID { return v.ids }

// Hash returns a hash of Zone(z); daemons with equal views have equal hashes.
func (v View) Hash(z shed.ZoneID) uint64 { return v.hash[z] }

// VMs returns the VMs of Zone(z).
func (v View) VMs(z shed.ZoneID) []shed.VM {
	out := make([]shed.VM, len(v.zones[z]))
	for i, p := range v.zones[z] {
		out[i] = p.VM
	}
	return out
}

// SetSeeds replaces the VMs to try first.
func (g *Group) SetSeeds(seeds []shed.VM) { g.cfg.Seeds = seeds }

// View returns the current view.
func (g *Group) View() View { return g.currentView() }

func (g *Group) currentView() View {
	if g.dirty {
		g.view = g.buildView()
		g.dirty = false
	}
	return g.view
}

func (g *Group) buildView() View {
	v := View{zones: map[shed.ZoneID][]shed.Peer{}, hash: map[shed.ZoneID]uint64{}}
	if g.self.Status == shed.StatusAlive {
		v.zones[g.cfg.Zone] = append(v.zones[g.cfg.Zone], g.self.Peer)
	}
	for _, vm := range g.zonePeers() {
		g.addToView(v, vm)
	}
	v.ids = g.zoneIDs()
	g.remote = g.selectContacts(v.ids)
	for _, vm := range g.remote {
		g.addToView(v, vm)
	}
	for _, z := range v.ids {
		slices.SortFunc(v.zones[z], func(a, b shed.Peer) int { return compareVM(a.VM, b.VM) })
		v.hash[z] = hashPeers(v.zones[z])
	}
	return v
}

func compareVM(a, b shed.VM) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

func (g *Group) addToView(v View, vm shed.VM) {
	r := g.members[vm]
	if r == nil || r.Status != shed.StatusAlive && r.Status != shed.StatusSuspect {
		return
	}
	v.zones[r.Zone] = append(v.zones[r.Zone], r.Peer)
}

func (g *Group) zoneIDs() []shed.ZoneID {
	ids := []shed.ZoneID{g.cfg.Zone}
	for _, vm := range g.order {
		ids = append(ids, g.members[vm].Zone)
	}
	for _, e := range g.listed {
		ids = append(ids, e.Zone)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

func hashPeers(peers []shed.Peer) uint64 {
	var d xxhash.Digest
	d.Reset()
	var num [8]byte
	for _, p := range peers {
		// A write to a digest can't fail.
		_, _ = d.WriteString(string(p.VM))
		binary.LittleEndian.PutUint64(num[:], uint64(p.Incarnation))
		_, _ = d.Write(num[:])
	}
	return d.Sum64()
}

// remoteContacts returns the VMs in other zones that this process communicates with.
func (g *Group) remoteContacts() []shed.VM {
	g.currentView()
	return g.remote
}

// selectContacts selects the contacts. Each process hashes to different ones, so that no VM is
// probed by all.
func (g *Group) selectContacts(zones []shed.ZoneID) []shed.VM {
	byZone := map[shed.ZoneID][]shed.VM{}
	for vm, e := range g.listed {
		if e.Zone != g.cfg.Zone && !e.Leaving && g.members[vm] == nil && !g.isUnresponsive(vm) {
			byZone[e.Zone] = append(byZone[e.Zone], vm)
		}
	}
	for _, vm := range g.order {
		r := g.members[vm]
		if r.Zone != g.cfg.Zone && r.Status != shed.StatusDead && r.Status != shed.StatusLeaving {
			byZone[r.Zone] = append(byZone[r.Zone], vm)
		}
	}
	var out []shed.VM
	for _, z := range zones {
		out = append(out, rank.Owners(string(g.self.Peer.VM), byZone[z], maxContacts)...)
	}
	return out
}

// unresponsivePeriod is how long a listed VM that didn't answer is not used as a contact. The list
// lags: otherwise three VMs that are long gone could stand for a whole zone.
const unresponsivePeriod = time.Minute

func (g *Group) isUnresponsive(vm shed.VM) bool {
	at, ok := g.unresponsive[vm]
	return ok && g.clock.now.Sub(at) <= unresponsivePeriod
}

// UpSince returns when the current process on a VM was first known to be up, or up again; zero if
// it is unknown.
func (g *Group) UpSince(vm shed.VM) time.Time {
	if r := g.members[vm]; r != nil {
		return r.upSince
	}
	return time.Time{}
}

// SetPower changes the capacity that this process announces for its VM. It raises Refute so that
// peers accept it as newer.
func (g *Group) SetPower(power float64) {
	if power != g.self.Power {
		g.self.Power = power
		g.self.Refute++
	}
}

// Lookup returns what is known of the current process on a VM.
func (g *Group) Lookup(vm shed.VM) (shed.Member, bool) {
	if vm == g.self.Peer.VM {
		return g.self, true
	}
	r := g.members[vm]
	if r == nil {
		return shed.Member{}, false
	}
	return r.Member, true
}

// Known returns the VMs of this zone that may be alive, whether in view or not: those on the
// platform's list, or the seeds until it has been read, and those that were alive. It excludes VMs
// that are leaving, and dead ones that a later list doesn't contain. It includes a listed VM whose
// process left, once that process is dead: a new process may start there and be partitioned off at
// once.
func (g *Group) Known() []shed.VM {
	out := []shed.VM{}
	for _, vm := range g.order {
		r := g.members[vm]
		if r.Zone == g.cfg.Zone && g.mayBeAlive(vm, r) {
			out = append(out, vm)
		}
	}
	for vm, e := range g.listed {
		if e.Zone == g.cfg.Zone && g.members[vm] == nil && !e.Leaving {
			out = append(out, vm)
		}
	}
	if g.listedAt.IsZero() {
		for _, vm := range g.cfg.Seeds {
			if g.members[vm] == nil && vm != g.self.Peer.VM {
				out = append(out, vm)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// listLag is how long the platform's list may take to drop a VM.
const listLag = time.Minute

func (g *Group) mayBeAlive(vm shed.VM, r *record) bool {
	switch r.Status {
	case shed.StatusAlive, shed.StatusSuspect:
		return true
	case shed.StatusLeaving:
		return false
	}
	e, listed := g.listed[vm]
	if listed {
		return !e.Leaving
	}
	return r.Successor == (shed.Peer{}) && g.listedAt.Before(r.deadAt.Add(listLag))
}

// HomeState is the state of the process that issued a ticket. The set is closed.
type HomeState uint8

// States of a ticket's home.
const (
	// HomeUnknown: no information about that process.
	HomeUnknown HomeState = iota + 1
	// HomeAlive: it is running.
	HomeAlive
	// HomeLeft: it left and transferred its tickets to a successor.
	HomeLeft
	// HomeDead: it is dead, and its tickets are lost.
	HomeDead
)

// maxSuccessorChain limits the chain of successors that left in turn.
const maxSuccessorChain = 16

// Home returns the state of p. With HomeLeft it returns the last successor in the chain, one that
// hasn't left itself.
func (g *Group) Home(p shed.Peer) (HomeState, shed.Peer) {
	if p == g.self.Peer {
		return HomeAlive, shed.Peer{}
	}
	if successor, ok := g.lastSuccessor(p); ok {
		return HomeLeft, successor
	}
	r := g.members[p.VM]
	switch {
	case r == nil || r.Peer.Incarnation < p.Incarnation:
		return HomeUnknown, shed.Peer{}
	case r.Peer.Incarnation > p.Incarnation, r.Status == shed.StatusDead:
		return HomeDead, shed.Peer{}
	}
	return HomeAlive, shed.Peer{}
}

func (g *Group) lastSuccessor(p shed.Peer) (shed.Peer, bool) {
	d, ok := g.departures[p]
	if !ok {
		return shed.Peer{}, false
	}
	for range maxSuccessorChain {
		next, more := g.departures[d.successor]
		if !more || d.successor == g.self.Peer {
			break
		}
		d = next
	}
	return d.successor, true
}
