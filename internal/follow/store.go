package follow

import (
	"time"

	shed "jasmineshed"
)

// StaleAfter is the maximum age of the last contact with the store, direct or reported by a
// peer, before this VM reads the store itself. Changes must take effect within two seconds.
const StaleAfter = 1300 * time.Millisecond

// StoreView is the input of NextCall.
type StoreView struct {
	// AsOf is the revision up to which this VM's state is complete; 0 if it has none.
	AsOf shed.Revision
	// LastContact is when the store last answered this VM, or a peer with no newer state;
	// zero if it never did.
	LastContact time.Time
	// Watcher: this VM watches the store on behalf of all VMs.
	Watcher bool
	// LastChange is when the store last answered this VM with changes; zero if it never did.
	LastChange time.Time
	// Compacted: the store has compacted the changes after AsOf.
	Compacted bool
}

// watchPause is how long a watcher pauses after an answer with changes, so that the next answer has
// several. It is below updateWait: a VM that one watcher tells of a change later than another one
// tells its peers must not read it from a peer meanwhile.
const watchPause = 100 * time.Millisecond

// StoreCall is a call to the store. The set is closed.
type StoreCall uint8

// The calls to the store.
const (
	// NoCall: the VM gets changes from its peers.
	NoCall StoreCall = iota
	// ListReplica reads all items from any replica of the store, which may lag.
	ListReplica
	// List reads the current state of all items.
	List
	// ReadChanges reads the changes so far, without waiting for one.
	ReadChanges
	// Watch waits for a change.
	Watch
)

// NextCall returns the call that a VM makes to the store next.
//
// Load pattern: hundreds of VMs start at the same moment, or all of them after a power loss.
// Each has to read everything, in many calls whose cost all VMs share. A replica serves the same
// for a fraction of the cost, and one more call returns what the replica lacks. While the store
// is still being filled, each VM that watches it gets one answer per item, so VMs without a
// configuration leave watching to the watchers, too.
//
// Load pattern: hundreds of servers register or are replaced within seconds, each with an entry
// of its own. Watched without a pause, each entry costs one call of each watcher.
func NextCall(now time.Time, v StoreView) StoreCall {
	switch {
	case v.Compacted:
		return List
	case v.AsOf == 0:
		return ListReplica
	case v.LastContact.IsZero():
		return ReadChanges
	case v.Watcher && now.Sub(v.LastChange) < watchPause:
		return NoCall
	case v.Watcher || now.Sub(v.LastContact) > StaleAfter:
		return Watch
	}
	return NoCall
}
