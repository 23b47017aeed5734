// Package follow keeps one VM's copy of the store in step with its peers: it decides which
// peer reports confirm the local state, when changes are missing, and which peer to pull them
// from. It does no I/O: the driver passes events to it and performs the actions it returns.
package follow

import (
	"fmt"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

const (
	// updateWait is how long a VM that is behind waits for a watcher to push the update.
	// Without it, the first load report of a peer that is a few milliseconds ahead would
	// start a pull, and the update would be sent twice.
	updateWait = 150 * time.Millisecond
	// hedgeAfter is how long a pull may run before a second peer is asked in parallel. A slow
	// peer that sends a few bytes now and then would otherwise delay the VM indefinitely.
	hedgeAfter = 700 * time.Millisecond
	// maxPulls bounds concurrent pulls, which share this VM's link.
	maxPulls = 2
	// failureBackoff is how long a peer is avoided after a pull from it failed.
	failureBackoff = time.Second
	// repairInterval is the minimum time between two full pulls that look for a missed
	// deletion. For seconds after an outage of the store, VMs hold different server entries
	// and would otherwise read everything from each other continuously.
	repairInterval = 500 * time.Millisecond
)

// PullID identifies a pull.
type PullID uint64

// LocalState is this VM's state of the store.
type LocalState struct {
	AsOf   shed.Revision
	Digest uint64
	// LastContact is when the store last answered this VM, or a peer with no newer state.
	LastContact time.Time
	// Applying: received changes are being applied, so the state will advance soon.
	Applying bool
}

// PeerState is a peer's state of the store, as it reported it.
type PeerState struct {
	AsOf   shed.Revision
	Digest uint64
	// Catalog is the revision of its active configuration.
	Catalog shed.Revision
	// LastContact is when the store last answered the peer; zero if it never did.
	LastContact time.Time
	// Power is the peer's capacity relative to other VMs.
	Power float64
	// pulled: a pull has fetched this state. partial: only AsOf is known.
	pulled, partial bool
}

// Event is an input to a Follower. The set is closed.
type Event interface{ event() }

// PeerReported says that a peer reported its state.
type PeerReported struct {
	From  shed.VM
	State PeerState
}

// UpdateMissed says that a peer announced a change up to AsOf that it did not send, or that
// can't be applied to the local state.
type UpdateMissed struct {
	From shed.VM
	AsOf shed.Revision
}

// StoreFailed says that the store did not answer. Peers are the live peers.
type StoreFailed struct{ Peers []shed.VM }

// PullEnded says that a pull has ended and what it fetched has been applied.
type PullEnded struct {
	Pull   PullID
	Failed bool
}

// Tick is sent periodically.
type Tick struct{}

// PeerDied says that a peer is dead.
type PeerDied struct{ VM shed.VM }

func (PeerReported) event() {}
func (UpdateMissed) event() {}
func (StoreFailed) event()  {}
func (PullEnded) event()    {}
func (Tick) event()         {}
func (PeerDied) event()     {}

// Action is a request to the driver. The set is closed.
type Action interface{ action() }

// Confirm says that the store had nothing newer than the local state at that time.
type Confirm struct{ At time.Time }

// Pull reads from a peer the changes that this VM lacks.
type Pull struct {
	ID   PullID
	From shed.VM
	// After is the revision after which changes are read; 0 reads everything. Known is the
	// revision up to which this VM's state is complete.
	After, Known shed.Revision
	// Reported is the revision that the peer reported.
	Reported shed.Revision
}

func (Confirm) action() {}
func (Pull) action()    {}

// activePull is a pull in flight.
type activePull struct {
	Pull
	startedAt time.Time
}

// Follower tracks the state of one VM's peers. It is not safe for concurrent use.
type Follower struct {
	self   shed.VM
	states map[shed.VM]PeerState
	// failedAt is when a pull from a peer last failed.
	failedAt map[shed.VM]time.Time
	active   []activePull
	lastID   PullID
	// staleSince is since when a peer has been ahead; zero if none is.
	staleSince time.Time
	// newestCatalog is the newest configuration that a peer has reported.
	newestCatalog shed.Revision
	// lastRepair is when a pull last looked for a missed deletion.
	lastRepair time.Time
}

// New returns a Follower without any peer reports.
func New(self shed.VM) *Follower {
	return &Follower{self: self, states: map[shed.VM]PeerState{}, failedAt: map[shed.VM]time.Time{}}
}

// LastContact is when the store last answered a peer, as the peer reported it; zero if unknown.
func (f *Follower) LastContact(vm shed.VM) time.Time { return f.states[vm].LastContact }

// CatalogIsStale reports whether a peer's active configuration is newer than asOf, so that a VM
// with the store's state as of that revision can't have it.
func (f *Follower) CatalogIsStale(asOf shed.Revision) bool { return f.newestCatalog > asOf }

// Handle processes an event; own is this VM's current state.
func (f *Follower) Handle(now time.Time, own LocalState, ev Event) []Action {
	switch e := ev.(type) {
	case PeerReported:
		if e.State.LastContact.After(now) {
			// A bogus time in the future would keep this VM from reading the store.
			e.State.LastContact = now
		}
		f.states[e.From] = e.State
		f.newestCatalog = max(f.newestCatalog, e.State.Catalog)
		if e.State.AsOf == own.AsOf && e.State.Digest == own.Digest && !e.State.LastContact.IsZero() {
			return append(f.maybePull(now, own, false), Confirm{At: e.State.LastContact})
		}
		return f.maybePull(now, own, false)
	case UpdateMissed:
		if state := f.states[e.From]; e.AsOf > state.AsOf {
			state.AsOf, state.pulled, state.partial = e.AsOf, false, true
			f.states[e.From] = state
		}
		return f.maybePull(now, own, true)
	case StoreFailed:
		return f.handleStoreFailure(now, own, e.Peers)
	case PullEnded:
		f.endPull(now, e)
		return f.maybePull(now, own, true)
	case PeerDied:
		delete(f.states, e.VM)
		delete(f.failedAt, e.VM)
		return nil
	case Tick:
		return f.maybePull(now, own, false)
	}
	return nil
}

// handleStoreFailure pulls from a peer at once. A VM without any state falls back to peers that
// have not reported yet: it may have started a moment ago.
func (f *Follower) handleStoreFailure(now time.Time, own LocalState, peers []shed.VM) []Action {
	if acts := f.maybePull(now, own, true); len(acts) > 0 || own.AsOf > 0 {
		return acts
	}
	unknown := slices.DeleteFunc(slices.Clone(peers), func(vm shed.VM) bool {
		_, reported := f.states[vm]
		return reported
	})
	return f.startPull(now, own, 0, unknown)
}

// endPull removes a pull from the active ones. The peer's reported state is not pulled again
// until its next report.
func (f *Follower) endPull(now time.Time, e PullEnded) {
	i := slices.IndexFunc(f.active, func(p activePull) bool { return p.ID == e.Pull })
	if i < 0 {
		return
	}
	p := f.active[i]
	f.active = slices.Delete(f.active, i, i+1)
	if e.Failed {
		f.failedAt[p.From] = now
		return
	}
	if state, ok := f.states[p.From]; ok && state.AsOf <= p.Reported {
		state.pulled = true
		f.states[p.From] = state
	}
}

// maybePull starts a pull if one is needed; urgent skips the wait for a pushed update.
func (f *Follower) maybePull(now time.Time, own LocalState, urgent bool) []Action {
	if ahead := f.peersAhead(own); len(ahead) > 0 {
		if f.staleSince.IsZero() {
			f.staleSince = now
		}
		if !urgent && own.AsOf > 0 && now.Sub(f.staleSince) < updateWait {
			return nil
		}
		return f.startPull(now, own, own.AsOf, ahead)
	}
	f.staleSince = time.Time{}
	differing := f.peersDiffering(own)
	if len(differing) == 0 || now.Sub(f.lastRepair) < repairInterval {
		return nil
	}
	// A list of later changes does not contain a deletion that was missed earlier.
	acts := f.startPull(now, own, 0, differing)
	if len(acts) > 0 {
		f.lastRepair = now
	}
	return acts
}

// startPull starts a pull from one of the peers, within the limits on concurrent pulls. None
// starts while changes are being applied: a small VM takes long to parse a large configuration,
// and would fetch and parse it again for every peer that is ahead meanwhile.
func (f *Follower) startPull(now time.Time, own LocalState, after shed.Revision, peers []shed.VM) []Action {
	if own.Applying {
		return nil
	}
	if n := len(f.active); n >= maxPulls || n > 0 && now.Sub(f.active[n-1].startedAt) < hedgeAfter {
		return nil
	}
	from, ok := f.pickSource(now, peers)
	if !ok {
		return nil
	}
	if f.states[from].AsOf.Era() != own.AsOf.Era() {
		// Changes don't tell which items the other era lacks.
		after = 0
	}
	f.lastID++
	p := Pull{ID: f.lastID, From: from, After: after, Known: own.AsOf, Reported: f.states[from].AsOf}
	f.active = append(f.active, activePull{Pull: p, startedAt: now})
	return []Action{p}
}

// peersAhead returns the peers with a greater revision than this VM's. Last contact times are
// not compared: a VM that the store had just answered would ignore the only peers that have a
// change.
func (f *Follower) peersAhead(own LocalState) []shed.VM {
	return f.selectPeers(func(w PeerState) bool { return w.AsOf > own.AsOf })
}

// peersDiffering returns the peers at the same revision that hold other items and whose last
// contact with the store is no older: this VM missed a deletion.
func (f *Follower) peersDiffering(own LocalState) []shed.VM {
	return f.selectPeers(func(w PeerState) bool {
		return !w.partial && w.AsOf == own.AsOf && w.Digest != own.Digest && !w.LastContact.Before(own.LastContact)
	})
}

func (f *Follower) selectPeers(match func(PeerState) bool) []shed.VM {
	var out []shed.VM
	for vm, state := range f.states {
		if !state.pulled && match(state) {
			out = append(out, vm)
		}
	}
	return out
}

// pickSource picks the peer to pull from: a high-capacity one, which can handle many pulls at
// once, chosen by rendezvous hash so that VMs spread over these peers.
func (f *Follower) pickSource(now time.Time, peers []shed.VM) (shed.VM, bool) {
	available := slices.DeleteFunc(peers, func(vm shed.VM) bool {
		at, failed := f.failedAt[vm]
		return failed && now.Sub(at) < failureBackoff || f.pullingFrom(vm)
	})
	maxPower := 0.0
	for _, vm := range available {
		maxPower = max(maxPower, f.states[vm].Power)
	}
	highCapacity := slices.DeleteFunc(available, func(vm shed.VM) bool { return f.states[vm].Power < maxPower/2 })
	return rank.Owner(fmt.Sprint(f.self, " ", f.lastID), highCapacity)
}

func (f *Follower) pullingFrom(vm shed.VM) bool {
	return slices.ContainsFunc(f.active, func(p activePull) bool { return p.From == vm })
}
