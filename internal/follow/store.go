package follow

import (
	"time"

	shed "jasmineshed"
)

// StaleAfter is how old the store's last answer may be, to this VM or to one that told
// it, before this VM reads the store by itself. Changes have to be in force within two
// seconds.
const StaleAfter = 1300 * time.Millisecond

// StoreView is what decides whether this VM reads the store now.
type StoreView struct {
	// AsOf is the revision up to which this VM knows everything; 0 if it knows nothing.
	AsOf shed.Revision
	// LastContact is when the store last answered, this VM or a peer that knew no more;
	// zero if it never did.
	LastContact time.Time
	// Watcher: this VM is one of those that watch the store for all.
	Watcher bool
	// Compacted: the store no longer has the changes after AsOf.
	Compacted bool
}

// StoreCall is what a VM asks of the store. The set is closed.
type StoreCall uint8

// The calls to the store.
const (
	// NoCall: peers tell what the store says.
	NoCall StoreCall = iota
	// ListReplica reads all items from any copy of the store, which may be behind.
	ListReplica
	// List reads all items as they are now.
	List
	// ReadChanges reads what has changed, without waiting for a change.
	ReadChanges
	// Watch waits for a change.
	Watch
)

// NextCall decides what a VM asks of the store.
//
// Load pattern: hundreds of VMs start at the same moment, or all of them after a loss of
// power. Each has to read everything, in many calls that all VMs share and pay for. A
// copy of the store gives it for a fraction, and one call tells what the copy lacks. Where
// the store is still being filled, each VM that watches it is answered once for each item,
// so those that have no configuration yet leave it to the watchers, too.
func NextCall(now time.Time, v StoreView) StoreCall {
	switch {
	case v.Compacted:
		return List
	case v.AsOf == 0:
		return ListReplica
	case v.LastContact.IsZero():
		return ReadChanges
	case v.Watcher || now.Sub(v.LastContact) > StaleAfter:
		return Watch
	}
	return NoCall
}
