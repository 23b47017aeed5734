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
	// direct is the most VMs in a fleet in which each one tells all others.
	direct = 24
	// leastHubs and usualHubs bound the hubs of a larger fleet. Strong VMs are taken up
	// to usualHubs, or up to the square root of the fleet if that is more: then a hub
	// carries about as many loads as there are hubs.
	leastHubs, usualHubs = 3, 16
	// turn is the shortest time between two messages to one peer.
	turn = 100 * time.Millisecond
	// How many peers a VM tells in a turn: one of a small fleet, a hub, and one at which
	// pieces wait. Its forecast decides whom all others let in, so it tells all itself.
	directPerTurn, hubPerTurn, gathersPerTurn = 12, 24, 60
	// toHub is how often a VM tells its hub.
	toHub = 300 * time.Millisecond
	// idle is how often a VM tells its load though nothing is under way.
	idle = 300 * time.Millisecond
	// mostPlaced bounds the prompts that wait to be told.
	mostPlaced = 4096
)

// View is what a VM knows of its fleet and itself.
type View struct {
	// Peers are the other VMs that are alive, sorted.
	Peers []shed.VM
	// HighCapacity are the VMs of the fleet, this one among them, that do work for others.
	HighCapacity []shed.VM
	// Busy: there is something to tell. Coordinator: pieces wait here.
	Busy, Coordinator bool
}

// Round is what a VM tells now.
type Round struct {
	To []shed.VM
	// ForwardToAll: the one that is told passes it on to all.
	ForwardToAll bool
	// Forwarded are the loads that this VM passes on.
	Forwarded []shed.ForwardedLoad
	// Placed are the prompts placed since the VMs in To were told last.
	Placed []shed.PromptPlaced
}

// heard is a load that is to be passed on.
type heard struct {
	from shed.Peer
	load shed.RelayLoad
	at   time.Time
}

type placed struct {
	shed.PromptPlaced
	at time.Time
}

// Fanout is one VM's state. It is not safe for concurrent use.
type Fanout struct {
	self shed.VM
	// last is the peer that was told last; the next ones follow it in their order.
	last shed.VM
	// at is when Due was asked last, owed how many peers are due since, in parts.
	at   time.Time
	owed float64
	// busyAt is when there was last something to tell.
	busyAt time.Time
	carry  map[shed.VM]heard
	placed []placed
}

// New returns the state of a VM that has told nobody.
func New(self shed.VM) *Fanout {
	return &Fanout{self: self, last: self, carry: map[shed.VM]heard{}}
}

// RecordPlacement notes that a prompt was placed.
func (f *Fanout) RecordPlacement(now time.Time, p shed.PromptPlaced) {
	if len(f.placed) < mostPlaced {
		f.placed = append(f.placed, placed{p, now})
	}
}

// ForwardToAll notes a load that this VM is asked to pass on.
func (f *Fanout) Forward(now time.Time, from shed.Peer, load shed.RelayLoad) {
	for _, p := range load.Placed {
		f.RecordPlacement(now, p)
	}
	load.Placed, load.Forwarded, load.ForwardToAll = nil, nil, false
	// What the VM knows of the store is of use to its hub only.
	load.AsOf, load.Digest, load.ConfirmedAgo, load.Catalog = 0, 0, 0, 0
	// So is what it knows of limits: the hub takes that in, and tells what it knows itself.
	load.Limits = nil
	f.carry[from.VM] = heard{from: from, load: load, at: now}
}

// NextRound is what this VM tells now. It is asked at each tick.
func (f *Fanout) NextRound(now time.Time, v View) Round {
	busy := v.Busy || len(f.carry) > 0
	if busy {
		f.busyAt = now
	}
	hubs := f.hubs(v)
	to, every := v.Peers, period(len(v.Peers), perTurn(v))
	passOn := len(hubs) > 0 && !v.Coordinator && !slices.Contains(hubs, f.self)
	if passOn {
		hub, _ := rank.Owner("hub "+string(f.self), hubs)
		to, every = []shed.VM{hub}, toHub
	}
	// All are told once more that nothing is under way any more.
	if !busy && now.Sub(f.busyAt) > every+turn {
		every = max(every, idle)
	}
	f.forget(now.Add(-every - 2*turn))
	t := Round{To: f.next(now, to, every), ForwardToAll: passOn}
	if len(t.To) == 0 {
		return Round{}
	}
	for _, p := range f.placed {
		t.Placed = append(t.Placed, p.PromptPlaced)
	}
	if !passOn {
		t.Forwarded = f.carried(now)
	}
	return t
}

// forget drops what all peers have been told.
func (f *Fanout) forget(before time.Time) {
	f.placed = slices.DeleteFunc(f.placed, func(p placed) bool { return p.at.Before(before) })
	for vm, h := range f.carry {
		if h.at.Before(before) {
			delete(f.carry, vm)
		}
	}
}

// carried are the loads to pass on, sorted by VM.
func (f *Fanout) carried(now time.Time) []shed.ForwardedLoad {
	var out []shed.ForwardedLoad
	for _, h := range f.carry {
		out = append(out, shed.ForwardedLoad{From: h.from, Age: now.Sub(h.at), Load: h.load})
	}
	slices.SortFunc(out, func(a, b shed.ForwardedLoad) int { return cmp.Compare(a.From.VM, b.From.VM) })
	return out
}

// next are those of the VMs whose turn it is, if all are told once in a period.
func (f *Fanout) next(now time.Time, to []shed.VM, every time.Duration) []shed.VM {
	since := turn
	if !f.at.IsZero() {
		// A VM that was paused or is slow doesn't owe what it has missed.
		since = min(max(now.Sub(f.at), 0), 2*turn)
	}
	f.at = now
	n := len(to)
	f.owed = min(f.owed+float64(n)*since.Seconds()/every.Seconds(), float64(n))
	k := int(f.owed)
	f.owed -= float64(k)
	if k == 0 {
		return nil
	}
	from, found := slices.BinarySearch(to, f.last)
	if found {
		from++
	}
	out := make([]shed.VM, k)
	for i := range out {
		out[i] = to[(from+i)%n]
	}
	f.last = out[k-1]
	return out
}

// hubs are the VMs that tell all others; none if each one does.
func (f *Fanout) hubs(v View) []shed.VM {
	n := len(v.Peers) + 1
	if n <= direct {
		return nil
	}
	out := rank.Owners("load", v.HighCapacity, max(usualHubs, int(math.Ceil(math.Sqrt(float64(n))))))
	if len(out) < leastHubs {
		others := slices.DeleteFunc(slices.Concat(v.Peers, []shed.VM{f.self}), func(vm shed.VM) bool {
			return slices.Contains(out, vm)
		})
		out = slices.Concat(out, rank.Owners("load", others, leastHubs-len(out)))
	}
	return out
}

// perTurn is how many peers a VM that tells all of them tells in a turn.
func perTurn(v View) int {
	switch {
	case len(v.Peers) < direct:
		return directPerTurn
	case v.Coordinator:
		return gathersPerTurn
	}
	return hubPerTurn
}

// period is the time in which so many peers are told once.
func period(peers, perTurn int) time.Duration {
	return turn * time.Duration(1+peers/perTurn)
}

// MaxSilence is the longest time between two loads of a VM that lives, as its peers hear
// them in a fleet with so many.
func MaxSilence(peers int) time.Duration {
	if peers < direct {
		return max(idle, period(peers, directPerTurn))
	}
	return max(idle, period(peers, hubPerTurn)) + toHub
}
