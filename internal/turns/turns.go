// Package turns decides which VM may send the next request to a rate-limited server: one that
// is cold, or that names a limit for all VMs together. It does no I/O and reads no clock.
//
// Load pattern: hundreds of VMs with a few requests a second each, and a server that takes
// one a second. If each VM had a share of the rate, the shares would be too small to be used,
// or each VM would send its first request at once. So one VM owns each such server, by
// rendezvous hashing among the live VMs, and grants turns to the others; a VM without a turn
// sends elsewhere.
package turns

import (
	"maps"
	"time"

	shed "jasmineshed"
)

// Ledger is the owner's side: the turns that it has granted. It is not safe for concurrent use.
type Ledger struct {
	// nextTurn is when the next turn of each server is due if no burst is saved up.
	nextTurn map[shed.ServerStart]time.Time
}

// NewLedger returns a Ledger that has granted no turns.
func NewLedger() *Ledger { return &Ledger{nextTurn: map[shed.ServerStart]time.Time{}} }

// Request is a request for a turn.
type Request struct {
	Start shed.ServerStart
	// Rate is the server's limit, above 0.
	Rate shed.Rate
	// Burst is the maximum number of saved-up turns, 1 or more.
	Burst float64
	// Patience is the longest acceptable wait for the turn.
	Patience time.Duration
}

// Decision is the answer to a Request. If Granted, the requester may send after Wait; otherwise
// Wait is when the next turn is due.
type Decision struct {
	Granted bool
	Wait    time.Duration
}

// Take grants or denies a turn. An unknown server has no turns saved up, since it may have
// received requests just before.
func (b *Ledger) Take(now time.Time, a Request) Decision {
	every := time.Duration(float64(time.Second) / float64(a.Rate))
	next, known := b.nextTurn[a.Start]
	if !known {
		next = now.Add(every)
		b.nextTurn[a.Start] = next
	}
	next = shed.Later(next, now.Add(-time.Duration((a.Burst-1)*float64(every))))
	wait := max(next.Sub(now), 0)
	if wait > a.Patience {
		return Decision{Wait: wait}
	}
	b.nextTurn[a.Start] = next.Add(every)
	return Decision{Granted: true, Wait: wait}
}

// Prune removes servers whose next turn was due more than idleRetention ago.
func (b *Ledger) Prune(now time.Time) {
	maps.DeleteFunc(b.nextTurn, func(_ shed.ServerStart, next time.Time) bool { return now.Sub(next) > idleRetention })
}

// idleRetention is how long a server without requests for turns is kept.
const idleRetention = time.Minute
