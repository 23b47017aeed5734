// Package follow decides how one VM keeps up with what its peers know of the store:
// whose word confirms what it knows, when it lacks something, and from which peer it
// reads that. It is pure: the driver feeds it what peers say and performs its actions.
package follow

import (
	"fmt"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

const (
	// updateWait is how long a VM that lacks something waits for the peer that passes
	// it on to all. Without it, the first load message of any peer that is a few
	// milliseconds ahead would have it sent twice.
	updateWait = 150 * time.Millisecond
	// hedgeAfter is how long a pull may take before another peer is asked beside it: one
	// slow peer would hold the VM up for as long as it sends a little now and then.
	hedgeAfter = 700 * time.Millisecond
	// maxPulls bounds the pulls, which share this VM's link.
	maxPulls = 2
	// failureBackoff is how long a peer from which a pull failed is not asked again.
	failureBackoff = time.Second
	// repairInterval is the least time between two pulls that look for a missed deletion.
	// For seconds after an outage of the store VMs hold different entries of servers,
	// and would read all from each other without end.
	repairInterval = 500 * time.Millisecond
)

// PullID names one pull.
type PullID uint64

// Own is what this VM knows of the store.
type Own struct {
	AsOf   shed.Revision
	Digest uint64
	// Contact is when the store last answered, this VM or a peer that knew no more.
	Contact time.Time
	// Taking: something that has come is being taken in, so more will be known soon.
	Taking bool
}

// Word is what a peer told of what it knows of the store.
type Word struct {
	AsOf   shed.Revision
	Digest uint64
	// Catalog is the revision of the configuration that it has in force.
	Catalog shed.Revision
	// Contact is when the store last answered it.
	Contact time.Time
	// Power is how strong it is beside others.
	Power float64
	// pulled: a pull has brought what it tells. partial: only AsOf is known.
	pulled, partial bool
}

// Event is something that a Follower has to know. The set is closed.
type Event interface{ event() }

// Heard says that a peer told what it knows.
type Heard struct {
	From shed.VM
	Word Word
}

// Missed says that a peer told of a change up to AsOf that it did not send along, or
// that can't be applied to what is known here.
type Missed struct {
	From shed.VM
	AsOf shed.Revision
}

// StoreFailed says that the store gave no answer. Peers are those that are alive.
type StoreFailed struct{ Peers []shed.VM }

// Ended says that a pull has ended, and that what it brought is known.
type Ended struct {
	Pull   PullID
	Failed bool
}

// Tick comes regularly.
type Tick struct{}

// Gone says that the peer is dead.
type Gone struct{ VM shed.VM }

func (Heard) event()       {}
func (Missed) event()      {}
func (StoreFailed) event() {}
func (Ended) event()       {}
func (Tick) event()        {}
func (Gone) event()        {}

// Action is something that the driver has to do. The set is closed.
type Action interface{ action() }

// Confirm notes that the store had nothing newer at that time than is known here.
type Confirm struct{ At time.Time }

// Pull reads from a peer what it knows more than this VM.
type Pull struct {
	ID   PullID
	From shed.VM
	// After is the revision after which changes are read; 0 reads all. Known is the
	// one up to which all is known here.
	After, Known shed.Revision
	// Wanted is the revision that the peer told.
	Wanted shed.Revision
}

func (Confirm) action() {}
func (Pull) action()    {}

// activePull is a pull under way.
type activePull struct {
	Pull
	startedAt time.Time
}

// Follower is one VM's view of its peers. It is not safe for concurrent use.
type Follower struct {
	self   shed.VM
	states map[shed.VM]Word
	// failedAt is when a pull from a peer last failed.
	failedAt map[shed.VM]time.Time
	active   []activePull
	lastID   PullID
	// behindSince is since when somebody knows more; zero: nobody does.
	behindSince time.Time
	// newestCatalog is the newest configuration that a peer has told of.
	newestCatalog shed.Revision
	// lastRepair is when a missed deletion was last looked for.
	lastRepair time.Time
}

// New returns a Follower that has heard nobody.
func New(self shed.VM) *Follower {
	return &Follower{self: self, states: map[shed.VM]Word{}, failedAt: map[shed.VM]time.Time{}}
}

// Contact is when the store last answered a peer, by the peer's word; zero if that
// isn't known.
func (f *Follower) Contact(vm shed.VM) time.Time { return f.states[vm].Contact }

// Behind tells whether a peer has a newer configuration in force than can be known to a
// VM that knows the store up to a revision.
func (f *Follower) Behind(asOf shed.Revision) bool { return f.newestCatalog > asOf }

// Handle takes in an event; own is what this VM knows now.
func (f *Follower) Handle(now time.Time, own Own, ev Event) []Action {
	switch e := ev.(type) {
	case Heard:
		if e.Word.Contact.After(now) {
			// Else a peer that tells nonsense would keep this VM from the store.
			e.Word.Contact = now
		}
		f.states[e.From] = e.Word
		f.newestCatalog = max(f.newestCatalog, e.Word.Catalog)
		if e.Word.AsOf == own.AsOf && e.Word.Digest == own.Digest {
			return append(f.maybePull(now, own, false), Confirm{At: e.Word.Contact})
		}
		return f.maybePull(now, own, false)
	case Missed:
		if state := f.states[e.From]; e.AsOf > state.AsOf {
			state.AsOf, state.pulled, state.partial = e.AsOf, false, true
			f.states[e.From] = state
		}
		return f.maybePull(now, own, true)
	case StoreFailed:
		return f.handleStoreFailure(now, own, e.Peers)
	case Ended:
		f.endPull(now, e)
		return f.maybePull(now, own, true)
	case Gone:
		delete(f.states, e.VM)
		delete(f.failedAt, e.VM)
		return nil
	case Tick:
		return f.maybePull(now, own, false)
	}
	return nil
}

// handleStoreFailure asks a peer at once. A VM that knows nothing asks one that it hasn't
// heard if it must: it may have started a moment ago.
func (f *Follower) handleStoreFailure(now time.Time, own Own, peers []shed.VM) []Action {
	if acts := f.maybePull(now, own, true); len(acts) > 0 || own.AsOf > 0 {
		return acts
	}
	unknown := slices.DeleteFunc(slices.Clone(peers), func(vm shed.VM) bool {
		_, reported := f.states[vm]
		return reported
	})
	return f.startPull(now, own, 0, unknown)
}

// endPull takes a pull off the list. What a peer told is not read from it again before it
// tells something new.
func (f *Follower) endPull(now time.Time, e Ended) {
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
	if state, ok := f.states[p.From]; ok && state.AsOf <= p.Wanted {
		state.pulled = true
		f.states[p.From] = state
	}
}

// maybePull begins a pull if there is reason to; urgent doesn't wait for news.
func (f *Follower) maybePull(now time.Time, own Own, urgent bool) []Action {
	if ahead := f.peersAhead(own); len(ahead) > 0 {
		if f.behindSince.IsZero() {
			f.behindSince = now
		}
		if !urgent && own.AsOf > 0 && now.Sub(f.behindSince) < updateWait {
			return nil
		}
		return f.startPull(now, own, own.AsOf, ahead)
	}
	f.behindSince = time.Time{}
	differing := f.peersDiffering(own)
	if len(differing) == 0 || now.Sub(f.lastRepair) < repairInterval {
		return nil
	}
	// Changes since then don't tell a deletion that was missed before.
	acts := f.startPull(now, own, 0, differing)
	if len(acts) > 0 {
		f.lastRepair = now
	}
	return acts
}

// startPull begins a pull from one of the peers, if one may begin now. None does while
// something is taken in: on a small VM a large configuration takes long to read, and
// would come, and be read, once more for each peer that is ahead meanwhile.
func (f *Follower) startPull(now time.Time, own Own, after shed.Revision, peers []shed.VM) []Action {
	if own.Taking {
		return nil
	}
	if n := len(f.active); n >= maxPulls || n > 0 && now.Sub(f.active[n-1].startedAt) < hedgeAfter {
		return nil
	}
	from, ok := f.pickSource(now, peers)
	if !ok {
		return nil
	}
	f.lastID++
	p := Pull{ID: f.lastID, From: from, After: after, Known: own.AsOf, Wanted: f.states[from].AsOf}
	f.active = append(f.active, activePull{Pull: p, startedAt: now})
	return []Action{p}
}

// peersAhead are the peers that know of changes that this VM doesn't. A greater revision
// always tells so, however long ago the store answered that peer: held against the
// time of an answer, a VM to which the store had just spoken ignored the only peers
// that had a change.
func (f *Follower) peersAhead(own Own) []shed.VM {
	return f.selectPeers(func(w Word) bool { return w.AsOf > own.AsOf })
}

// peersDiffering are the peers that know the same revision but hold other items, and have
// heard the store later: a deletion was missed.
func (f *Follower) peersDiffering(own Own) []shed.VM {
	return f.selectPeers(func(w Word) bool {
		return !w.partial && w.AsOf == own.AsOf && w.Digest != own.Digest && !w.Contact.Before(own.Contact)
	})
}

func (f *Follower) selectPeers(match func(Word) bool) []shed.VM {
	var out []shed.VM
	for vm, state := range f.states {
		if !state.pulled && match(state) {
			out = append(out, vm)
		}
	}
	return out
}

// pickSource picks the peer to read from: one of the strong ones, which bear many that
// ask at the same time, and not the same one for every VM.
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
