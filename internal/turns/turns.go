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

// Book is the owner's side: the turns that it has lent. It is not safe for concurrent use.
type Book struct {
	// nextTurn is when the next turn of each server is due if none is saved up.
	nextTurn map[shed.ServerStart]time.Time
}

// NewBook returns a Book that has lent no turn.
func NewBook() *Book { return &Book{nextTurn: map[shed.ServerStart]time.Time{}} }

// Ask asks for a turn.
type Ask struct {
	Start shed.ServerStart
	// Rate is what the server takes, above 0.
	Rate shed.Rate
	// Burst is how many turns may be saved up, 1 or more.
	Burst float64
	// Patience is how long the asker would wait for its turn.
	Patience time.Duration
}

// Turn answers an Ask. If Granted, the asker may send after Wait; else a turn is due then.
type Turn struct {
	Granted bool
	Wait    time.Duration
}

// Take lends a turn. A server that was never asked for has none saved up: what it got just
// before counts, too.
func (b *Book) Take(now time.Time, a Ask) Turn {
	every := time.Duration(float64(time.Second) / float64(a.Rate))
	next, known := b.nextTurn[a.Start]
	if !known {
		next = now.Add(every)
		b.nextTurn[a.Start] = next
	}
	next = shed.Later(next, now.Add(-time.Duration((a.Burst-1)*float64(every))))
	wait := max(next.Sub(now), 0)
	if wait > a.Patience {
		return Turn{Wait: wait}
	}
	b.nextTurn[a.Start] = next.Add(every)
	return Turn{Granted: true, Wait: wait}
}

// Keep forgets servers that have not been asked for since long.
func (b *Book) Keep(now time.Time) {
	maps.DeleteFunc(b.nextTurn, func(_ shed.ServerStart, next time.Time) bool { return now.Sub(next) > idleRetention })
}

// keepFor is how long a server is remembered that nobody asks for.
const idleRetention = time.Minute

// Waits is the asker's side: which servers have no turn for it. It is not safe for
// concurrent use.
type Waits struct {
	until map[shed.ServerStart]time.Time
}

// NewWaits returns a Waits that holds nothing back.
func NewWaits() *Waits { return &Waits{until: map[shed.ServerStart]time.Time{}} }

// Denied notes that a server has no turn for so long.
func (w *Waits) Denied(now time.Time, s shed.ServerStart, wait time.Duration) {
	w.until[s] = now.Add(min(max(wait, minBackoff), maxBackoff))
}

const (
	// minBackoff is how long a server isn't asked for again, mostWait the longest: a limit
	// may end.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Held tells whether asking for a turn is of no use yet.
func (w *Waits) Held(now time.Time, s shed.ServerStart) bool { return now.Before(w.until[s]) }

// Keep forgets what is over.
func (w *Waits) Keep(now time.Time) {
	maps.DeleteFunc(w.until, func(_ shed.ServerStart, until time.Time) bool { return !now.Before(until) })
}
