package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

// View is one state of a Group. It doesn't change.
type View struct {
	zones map[shed.ZoneID][]shed.Peer
	ids   []shed.ZoneID
	hash  map[shed.ZoneID]uint64
}

// Zone returns the processes of z that are alive and not leaving, sorted by VM:
// all of them in this daemon's own zone, itself among them, else its contacts.
func (v View) Zone(z shed.ZoneID) []shed.Peer { return v.zones[z] }

// Zones returns all zones that are known to have a VM, sorted.
func (v View) Zones() []shed.ZoneID { return v.ids }

// Hash returns a hash of Zone(z), the same on all daemons that see the same.
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

// View returns the present view.
func (g *Group) View() View { return g.currentView() }

func (g *Group) currentView() View {
	if g.dirty {
		g.view = g.build()
		g.dirty = false
	}
	return g.view
}

func (g *Group) build() View {
	v := View{zones: map[shed.ZoneID][]shed.Peer{}, hash: map[shed.ZoneID]uint64{}}
	if g.self.Status == shed.StatusAlive {
		v.zones[g.cfg.Zone] = append(v.zones[g.cfg.Zone], g.self.Peer)
	}
	for _, vm := range g.zonePeers() {
		g.show(v, vm)
	}
	v.ids = g.zoneIDs()
	g.far = g.contacts(v.ids)
	for _, vm := range g.far {
		g.show(v, vm)
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

func (g *Group) show(v View, vm shed.VM) {
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

// farContacts are the VMs that this process talks to in other zones.
func (g *Group) farContacts() []shed.VM {
	g.currentView()
	return g.far
}

// contacts chooses them. Each process has others, by hash, so that no one is
// asked by all.
func (g *Group) contacts(zones []shed.ZoneID) []shed.VM {
	byZone := map[shed.ZoneID][]shed.VM{}
	for vm, e := range g.listed {
		if e.Zone != g.cfg.Zone && !e.Leaving && g.members[vm] == nil && !g.isMute(vm) {
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
		out = append(out, rank.Owners(string(g.self.Peer.VM), byZone[z], contactsMax)...)
	}
	return out
}

// muteFor is how long a listed VM that didn't answer is no contact. The list
// lags: else three VMs that are long gone could stand for a whole zone.
const muteFor = time.Minute

func (g *Group) isMute(vm shed.VM) bool {
	at, ok := g.mute[vm]
	return ok && g.clock.now.Sub(at) <= muteFor
}

// UpSince tells when the present process on a VM was first known to be there, or to
// be back; zero if it isn't known.
func (g *Group) UpSince(vm shed.VM) time.Time {
	if r := g.members[vm]; r != nil {
		return r.since
	}
	return time.Time{}
}

// SetPower changes what this process tells of its VM. Peers take it for newer word.
func (g *Group) SetPower(power float64) {
	if power != g.self.Power {
		g.self.Power = power
		g.self.Refute++
	}
}

// Lookup returns what is known of the present process on a VM.
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

// Known returns the VMs of this zone that may be alive, whether seen or not:
// those on the platform's list, or the seeds until there is one, and those that
// were alive. One that is leaving is not among them, nor one that is dead and
// that a later list doesn't have. A VM from which a process left is, once that
// is dead: a new process may start there and be cut off at once.
func (g *Group) Known() []shed.VM {
	out := []shed.VM{}
	for _, vm := range g.order {
		r := g.members[vm]
		if r.Zone == g.cfg.Zone && g.mayLive(vm, r) {
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

func (g *Group) mayLive(vm shed.VM, r *record) bool {
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

// HomeState is what became of the process that issued a ticket. The set is
// closed.
type HomeState uint8

// The states of a home.
const (
	// HomeUnknown: nothing is known of that process.
	HomeUnknown HomeState = iota + 1
	// HomeAlive: it runs.
	HomeAlive
	// HomeLeft: it left and gave its tickets to an heir.
	HomeLeft
	// HomeDead: it is gone, and its tickets with it.
	HomeDead
)

// maxHeirs bounds the chain of heirs that left in turn.
const maxHeirs = 16

// Home tells what became of p. With HomeLeft comes the last heir of the chain
// that hasn't left itself.
func (g *Group) Home(p shed.Peer) (HomeState, shed.Peer) {
	if p == g.self.Peer {
		return HomeAlive, shed.Peer{}
	}
	if heir, ok := g.lastHeir(p); ok {
		return HomeLeft, heir
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

func (g *Group) lastHeir(p shed.Peer) (shed.Peer, bool) {
	l, ok := g.heirs[p]
	if !ok {
		return shed.Peer{}, false
	}
	for range maxHeirs {
		next, more := g.heirs[l.heir]
		if !more || l.heir == g.self.Peer {
			break
		}
		l = next
	}
	return l.heir, true
}
