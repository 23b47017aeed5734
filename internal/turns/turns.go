// Package turns decides who may send the next request to a server that takes only so many
// from all VMs together: one that is cold, or names a limit. It is pure.
//
// Load pattern: hundreds of VMs with a few requests a second each, before a server that
// takes one a second. Shares of the rate by VM are then too small to be used, or each VM
// sends its first request at once. So one VM owns each such server, by rendezvous among
// those alive, and lends the others turns; a VM that has none sends elsewhere.
package turns

import (
	"maps"
	"time"

	shed "jasmineshed"
)

// Ledger is the owner's side: the turns that it has lent. It is not safe for concurrent use.
type Ledger struct {
	// next is when the next turn of each server is due if none is saved up.
	next map[shed.ServerStart]time.Time
}

// NewLedger returns a Book that has lent no turn.
func NewLedger() *Ledger { return &Ledger{next: map[shed.ServerStart]time.Time{}} }

// Request asks for a turn.
type Request struct {
	Start shed.ServerStart
	// Rate is what the server takes, above 0.
	Rate shed.Rate
	// Burst is how many turns may be saved up, 1 or more.
	Burst float64
	// Patience is how long the asker would wait for its turn.
	Patience time.Duration
}

// Decision answers an Ask. If Granted, the asker may send after Wait; else a turn is due then.
type Decision struct {
	Granted bool
	Wait    time.Duration
}

// Take lends a turn. A server that was never asked for has none saved up: what it got just
// before counts, too.
func (b *Ledger) Take(now time.Time, a Request) Decision {
	every := time.Duration(float64(time.Second) / float64(a.Rate))
	next, known := b.next[a.Start]
	if !known {
		next = now.Add(every)
		b.next[a.Start] = next
	}
	next = shed.Later(next, now.Add(-time.Duration((a.Burst-1)*float64(every))))
	wait := max(next.Sub(now), 0)
	if wait > a.Patience {
		return Decision{Wait: wait}
	}
	b.next[a.Start] = next.Add(every)
	return Decision{Granted: true, Wait: wait}
}

// Prune forgets servers that have not been asked for since long.
func (b *Ledger) Prune(now time.Time) {
	maps.DeleteFunc(b.next, func(_ shed.ServerStart, next time.Time) bool { return now.Sub(next) > keepFor })
}

// keepFor is how long a server is remembered that nobody asks for.
const keepFor = time.Minute

// Backoff is the asker's side: which servers have no turn for it. It is not safe for
// concurrent use.
type Backoff struct {
	until map[shed.ServerStart]time.Time
}

// NewBackoff returns a Waits that holds nothing back.
func NewBackoff() *Backoff { return &Backoff{until: map[shed.ServerStart]time.Time{}} }

// Denied notes that a server has no turn for so long.
func (w *Backoff) Denied(now time.Time, s shed.ServerStart, wait time.Duration) {
	w.until[s] = now.Add(min(max(wait, leastWait), mostWait))
}

const (
	// leastWait is how long a server isn't asked for again, mostWait the longest: a limit
	// may end.
	leastWait = 20 * time.Millisecond
	mostWait  = time.Second
)

// Active tells whether asking for a turn is of no use yet.
func (w *Backoff) Active(now time.Time, s shed.ServerStart) bool { return now.Before(w.until[s]) }

// Prune forgets what is over.
func (w *Backoff) Prune(now time.Time) {
	maps.DeleteFunc(w.until, func(_ shed.ServerStart, until time.Time) bool { return !now.Before(until) })
}
