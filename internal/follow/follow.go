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
	// newsWait is how long a VM that lacks something waits for the peer that passes
	// it on to all. Without it, the first load message of any peer that is a few
	// milliseconds ahead would have it sent twice.
	newsWait = 150 * time.Millisecond
	// slowPull is how long a pull may take before another peer is asked beside it: one
	// slow peer would hold the VM up for as long as it sends a little now and then.
	slowPull = 700 * time.Millisecond
	// pullsAtOnce bounds the pulls, which share this VM's link.
	pullsAtOnce = 2
	// avoidFor is how long a peer from which a pull failed is not asked again.
	avoidFor = time.Second
	// repairEvery is the least time between two pulls that look for a missed deletion.
	// For seconds after an outage of the store VMs hold different entries of servers,
	// and would read all from each other without end.
	repairEvery = 500 * time.Millisecond
)

// PullID names one pull.
type PullID uint64

// LocalState is what this VM knows of the store.
type LocalState struct {
	AsOf   shed.Revision
	Digest uint64
	// LastContact is when the store last answered, this VM or a peer that knew no more.
	LastContact time.Time
	// Applying: something that has come is being taken in, so more will be known soon.
	Applying bool
}

// PeerState is what a peer told of what it knows of the store.
type PeerState struct {
	AsOf   shed.Revision
	Digest uint64
	// Catalog is the revision of the configuration that it has in force.
	Catalog shed.Revision
	// LastContact is when the store last answered it.
	LastContact time.Time
	// Power is how strong it is beside others.
	Power float64
	// read: a pull has brought what it tells. partial: only AsOf is known.
	read, partial bool
}

// Event is something that a Follower has to know. The set is closed.
type Event interface{ event() }

// PeerReported says that a peer told what it knows.
type PeerReported struct {
	From  shed.VM
	State PeerState
}

// UpdateMissed says that a peer told of a change up to AsOf that it did not send along, or
// that can't be applied to what is known here.
type UpdateMissed struct {
	From shed.VM
	AsOf shed.Revision
}

// StoreFailed says that the store gave no answer. Peers are those that are alive.
type StoreFailed struct{ Peers []shed.VM }

// PullEnded says that a pull has ended, and that what it brought is known.
type PullEnded struct {
	Pull   PullID
	Failed bool
}

// Tick comes regularly.
type Tick struct{}

// PeerDied says that the peer is dead.
type PeerDied struct{ VM shed.VM }

func (PeerReported) event() {}
func (UpdateMissed) event() {}
func (StoreFailed) event()  {}
func (PullEnded) event()    {}
func (Tick) event()         {}
func (PeerDied) event()     {}

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
	// Reported is the revision that the peer told.
	Reported shed.Revision
}

func (Confirm) action() {}
func (Pull) action()    {}

// running is a pull under way.
type running struct {
	Pull
	began time.Time
}

// Follower is one VM's view of its peers. It is not safe for concurrent use.
type Follower struct {
	self  shed.VM
	words map[shed.VM]PeerState
	// failed is when a pull from a peer last failed.
	failed map[shed.VM]time.Time
	pulls  []running
	last   PullID
	// behind is since when somebody knows more; zero: nobody does.
	behind time.Time
	// catalog is the newest configuration that a peer has told of.
	catalog shed.Revision
	// repaired is when a missed deletion was last looked for.
	repaired time.Time
}

// New returns a Follower that has heard nobody.
func New(self shed.VM) *Follower {
	return &Follower{self: self, words: map[shed.VM]PeerState{}, failed: map[shed.VM]time.Time{}}
}

// LastContact is when the store last answered a peer, by the peer's word; zero if that
// isn't known.
func (f *Follower) LastContact(vm shed.VM) time.Time { return f.words[vm].LastContact }

// CatalogIsStale tells whether a peer has a newer configuration in force than can be known to a
// VM that knows the store up to a revision.
func (f *Follower) CatalogIsStale(asOf shed.Revision) bool { return f.catalog > asOf }

// Handle takes in an event; own is what this VM knows now.
func (f *Follower) Handle(now time.Time, own LocalState, ev Event) []Action {
	switch e := ev.(type) {
	case PeerReported:
		if e.State.LastContact.After(now) {
			// Else a peer that tells nonsense would keep this VM from the store.
			e.State.LastContact = now
		}
		f.words[e.From] = e.State
		f.catalog = max(f.catalog, e.State.Catalog)
		if e.State.AsOf == own.AsOf && e.State.Digest == own.Digest {
			return append(f.next(now, own, false), Confirm{At: e.State.LastContact})
		}
		return f.next(now, own, false)
	case UpdateMissed:
		if w := f.words[e.From]; e.AsOf > w.AsOf {
			w.AsOf, w.read, w.partial = e.AsOf, false, true
			f.words[e.From] = w
		}
		return f.next(now, own, true)
	case StoreFailed:
		return f.storeFailed(now, own, e.Peers)
	case PullEnded:
		f.ended(now, e)
		return f.next(now, own, true)
	case PeerDied:
		delete(f.words, e.VM)
		delete(f.failed, e.VM)
		return nil
	case Tick:
		return f.next(now, own, false)
	}
	return nil
}

// storeFailed asks a peer at once. A VM that knows nothing asks one that it hasn't
// heard if it must: it may have started a moment ago.
func (f *Follower) storeFailed(now time.Time, own LocalState, peers []shed.VM) []Action {
	if acts := f.next(now, own, true); len(acts) > 0 || own.AsOf > 0 {
		return acts
	}
	unheard := slices.DeleteFunc(slices.Clone(peers), func(vm shed.VM) bool {
		_, heard := f.words[vm]
		return heard
	})
	return f.pull(now, own, 0, unheard)
}

// ended takes a pull off the list. What a peer told is not read from it again before it
// tells something new.
func (f *Follower) ended(now time.Time, e PullEnded) {
	i := slices.IndexFunc(f.pulls, func(p running) bool { return p.ID == e.Pull })
	if i < 0 {
		return
	}
	p := f.pulls[i]
	f.pulls = slices.Delete(f.pulls, i, i+1)
	if e.Failed {
		f.failed[p.From] = now
		return
	}
	if w, ok := f.words[p.From]; ok && w.AsOf <= p.Reported {
		w.read = true
		f.words[p.From] = w
	}
}

// next begins a pull if there is reason to; urgent doesn't wait for news.
func (f *Follower) next(now time.Time, own LocalState, urgent bool) []Action {
	if ahead := f.ahead(own); len(ahead) > 0 {
		if f.behind.IsZero() {
			f.behind = now
		}
		if !urgent && own.AsOf > 0 && now.Sub(f.behind) < newsWait {
			return nil
		}
		return f.pull(now, own, own.AsOf, ahead)
	}
	f.behind = time.Time{}
	differing := f.differing(own)
	if len(differing) == 0 || now.Sub(f.repaired) < repairEvery {
		return nil
	}
	// Changes since then don't tell a deletion that was missed before.
	acts := f.pull(now, own, 0, differing)
	if len(acts) > 0 {
		f.repaired = now
	}
	return acts
}

// pull begins a pull from one of the peers, if one may begin now. None does while
// something is taken in: on a small VM a large configuration takes long to read, and
// would come, and be read, once more for each peer that is ahead meanwhile.
func (f *Follower) pull(now time.Time, own LocalState, after shed.Revision, peers []shed.VM) []Action {
	if own.Applying {
		return nil
	}
	if n := len(f.pulls); n >= pullsAtOnce || n > 0 && now.Sub(f.pulls[n-1].began) < slowPull {
		return nil
	}
	from, ok := f.source(now, peers)
	if !ok {
		return nil
	}
	f.last++
	p := Pull{ID: f.last, From: from, After: after, Known: own.AsOf, Reported: f.words[from].AsOf}
	f.pulls = append(f.pulls, running{Pull: p, began: now})
	return []Action{p}
}

// ahead are the peers that know of changes that this VM doesn't. A greater revision
// always tells so, however long ago the store answered that peer: held against the
// time of an answer, a VM to which the store had just spoken ignored the only peers
// that had a change.
func (f *Follower) ahead(own LocalState) []shed.VM {
	return f.peers(func(w PeerState) bool { return w.AsOf > own.AsOf })
}

// differing are the peers that know the same revision but hold other items, and have
// heard the store later: a deletion was missed.
func (f *Follower) differing(own LocalState) []shed.VM {
	return f.peers(func(w PeerState) bool {
		return !w.partial && w.AsOf == own.AsOf && w.Digest != own.Digest && !w.LastContact.Before(own.LastContact)
	})
}

func (f *Follower) peers(has func(PeerState) bool) []shed.VM {
	var out []shed.VM
	for vm, w := range f.words {
		if !w.read && has(w) {
			out = append(out, vm)
		}
	}
	return out
}

// source picks the peer to read from: one of the strong ones, which bear many that
// ask at the same time, and not the same one for every VM.
func (f *Follower) source(now time.Time, peers []shed.VM) (shed.VM, bool) {
	fit := slices.DeleteFunc(peers, func(vm shed.VM) bool {
		at, failed := f.failed[vm]
		return failed && now.Sub(at) < avoidFor || f.asking(vm)
	})
	most := 0.0
	for _, vm := range fit {
		most = max(most, f.words[vm].Power)
	}
	strong := slices.DeleteFunc(fit, func(vm shed.VM) bool { return f.words[vm].Power < most/2 })
	return rank.Owner(fmt.Sprint(f.self, " ", f.last), strong)
}

func (f *Follower) asking(vm shed.VM) bool {
	return slices.ContainsFunc(f.pulls, func(p running) bool { return p.From == vm })
}
