// Package fanout decides which peers a VM tells its load, how often, and what it passes
// on of others' loads. It is pure.
//
// Load pattern: hundreds of VMs, most of them small. If each told every other one, the
// messages would take more of the processors than requests do, and would have to be so
// rare that a forecast is older than a burst of requests is long.
//
// In a small fleet each VM tells all others. In a larger one a few strong VMs do, the
// hubs; each other VM tells one hub often, and that passes it on beside its own load.
// Peers are told in turn, some at each tick: a message to all at once holds up the
// requests of a small VM.
package fanout

import (
	"cmp"
	"math"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

const (
	// maxDirect is the most VMs in a fleet in which each one tells all others.
	maxDirect = 24
	// minHubs and usualHubs bound the hubs of a larger fleet. Strong VMs are taken up
	// to usualHubs, or up to the square root of the fleet if that is more: then a hub
	// carries about as many loads as there are hubs.
	minHubs, usualMaxHubs = 3, 16
	// roundInterval is the shortest time between two messages to one peer.
	roundInterval = 100 * time.Millisecond
	// How many peers a VM tells in a turn: one of a small fleet, a hub, and one at which
	// pieces wait. Its forecast decides whom all others let in, so it tells all itself.
	directPerRound, hubPerRound, coordinatorPerRound = 12, 24, 60
	// hubInterval is how often a VM tells its hub.
	hubInterval = 300 * time.Millisecond
	// idleInterval is how often a VM tells its load though nothing is under way.
	idleInterval = 300 * time.Millisecond
	// maxPlaced bounds the prompts that wait to be told.
	maxPlaced = 4096
)

// View is what a VM knows of its fleet and itself.
type View struct {
	// Peers are the other VMs that are alive, sorted.
	Peers []shed.VM
	// Strong are the VMs of the fleet, this one among them, that do work for others.
	Strong []shed.VM
	// Busy: there is something to tell. Gathers: pieces wait here.
	Busy, Gathers bool
}

// Turn is what a VM tells now.
type Turn struct {
	To []shed.VM
	// PassOn: the one that is told passes it on to all.
	PassOn bool
	// Carried are the loads that this VM passes on.
	Carried []shed.CarriedLoad
	// Placed are the prompts placed since the VMs in To were told last.
	Placed []shed.PromptPlaced
}

// relayedLoad is a load that is to be passed on.
type relayedLoad struct {
	from       shed.Peer
	load       shed.RelayLoad
	receivedAt time.Time
}

type placedPrompt struct {
	shed.PromptPlaced
	placedAt time.Time
}

// Fanout is one VM's state. It is not safe for concurrent use.
type Fanout struct {
	self shed.VM
	// lastPeer is the peer that was told last; the next ones follow it in their order.
	lastPeer shed.VM
	// lastRound is when Due was asked last, owed how many peers are due since, in parts.
	lastRound time.Time
	credit    float64
	// lastBusy is when there was last something to tell.
	lastBusy time.Time
	relayed  map[shed.VM]relayedLoad
	placed   []placedPrompt
}

// New returns the state of a VM that has told nobody.
func New(self shed.VM) *Fanout {
	return &Fanout{self: self, lastPeer: self, relayed: map[shed.VM]relayedLoad{}}
}

// Placed notes that a prompt was placed.
func (f *Fanout) Placed(now time.Time, p shed.PromptPlaced) {
	if len(f.placed) < maxPlaced {
		f.placed = append(f.placed, placedPrompt{p, now})
	}
}

// PassOn notes a load that this VM is asked to pass on.
func (f *Fanout) PassOn(now time.Time, from shed.Peer, load shed.RelayLoad) {
	for _, p := range load.Placed {
		f.Placed(now, p)
	}
	load.Placed, load.Carried, load.PassOn = nil, nil, false
	// What the VM knows of the store is of use to its hub only.
	load.AsOf, load.Digest, load.Confirmed, load.Catalog = 0, 0, 0, 0
	// So is what it knows of limits: the hub takes that in, and tells what it knows itself.
	load.Limits = nil
	f.relayed[from.VM] = relayedLoad{from: from, load: load, receivedAt: now}
}

// Due is what this VM tells now. It is asked at each tick.
func (f *Fanout) Due(now time.Time, v View) Turn {
	busy := v.Busy || len(f.relayed) > 0
	if busy {
		f.lastBusy = now
	}
	hubs := f.hubs(v)
	to, interval := v.Peers, period(len(v.Peers), peersPerRound(v))
	viaHub := len(hubs) > 0 && !v.Gathers && !slices.Contains(hubs, f.self)
	if viaHub {
		hub, _ := rank.Owner("hub "+string(f.self), hubs)
		to, interval = []shed.VM{hub}, hubInterval
	}
	// All are told once more that nothing is under way any more.
	if !busy && now.Sub(f.lastBusy) > interval+roundInterval {
		interval = max(interval, idleInterval)
	}
	f.dropSent(now.Add(-interval - 2*roundInterval))
	round := Turn{To: f.nextPeers(now, to, interval), PassOn: viaHub}
	if len(round.To) == 0 {
		return Turn{}
	}
	for _, p := range f.placed {
		round.Placed = append(round.Placed, p.PromptPlaced)
	}
	if !viaHub {
		round.Carried = f.relayedLoads(now)
	}
	return round
}

// dropSent drops what all peers have been told.
func (f *Fanout) dropSent(before time.Time) {
	f.placed = slices.DeleteFunc(f.placed, func(p placedPrompt) bool { return p.placedAt.Before(before) })
	for vm, h := range f.relayed {
		if h.receivedAt.Before(before) {
			delete(f.relayed, vm)
		}
	}
}

// relayedLoads are the loads to pass on, sorted by VM.
func (f *Fanout) relayedLoads(now time.Time) []shed.CarriedLoad {
	var out []shed.CarriedLoad
	for _, h := range f.relayed {
		out = append(out, shed.CarriedLoad{From: h.from, Age: now.Sub(h.receivedAt), Load: h.load})
	}
	slices.SortFunc(out, func(a, b shed.CarriedLoad) int { return cmp.Compare(a.From.VM, b.From.VM) })
	return out
}

// nextPeers are those of the VMs whose turn it is, if all are told once in a period.
func (f *Fanout) nextPeers(now time.Time, to []shed.VM, interval time.Duration) []shed.VM {
	elapsed := roundInterval
	if !f.lastRound.IsZero() {
		// A VM that was paused or is slow doesn't owe what it has missed.
		elapsed = min(max(now.Sub(f.lastRound), 0), 2*roundInterval)
	}
	f.lastRound = now
	n := len(to)
	f.credit = min(f.credit+float64(n)*elapsed.Seconds()/interval.Seconds(), float64(n))
	k := int(f.credit)
	f.credit -= float64(k)
	if k == 0 {
		return nil
	}
	first, found := slices.BinarySearch(to, f.lastPeer)
	if found {
		first++
	}
	out := make([]shed.VM, k)
	for i := range out {
		out[i] = to[(first+i)%n]
	}
	f.lastPeer = out[k-1]
	return out
}

// hubs are the VMs that tell all others; none if each one does.
func (f *Fanout) hubs(v View) []shed.VM {
	n := len(v.Peers) + 1
	if n <= maxDirect {
		return nil
	}
	out := rank.Owners("load", v.Strong, max(usualMaxHubs, int(math.Ceil(math.Sqrt(float64(n))))))
	if len(out) < minHubs {
		others := slices.DeleteFunc(slices.Concat(v.Peers, []shed.VM{f.self}), func(vm shed.VM) bool {
			return slices.Contains(out, vm)
		})
		out = slices.Concat(out, rank.Owners("load", others, minHubs-len(out)))
	}
	return out
}

// peersPerRound is how many peers a VM that tells all of them tells in a turn.
func peersPerRound(v View) int {
	switch {
	case len(v.Peers) < maxDirect:
		return directPerRound
	case v.Gathers:
		return coordinatorPerRound
	}
	return hubPerRound
}

// period is the time in which so many peers are told once.
func period(peers, perRound int) time.Duration {
	return roundInterval * time.Duration(1+peers/perRound)
}

// Silence is the longest time between two loads of a VM that lives, as its peers hear
// them in a fleet with so many.
func Silence(peers int) time.Duration {
	if peers < maxDirect {
		return max(idleInterval, period(peers, directPerRound))
	}
	return max(idleInterval, period(peers, hubPerRound)) + hubInterval
}
