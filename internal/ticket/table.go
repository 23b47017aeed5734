// Package ticket makes non-idempotent requests run at most once without a
// store. A ticket's id names the process that issued it; only that process, or
// the one heir that it moved the unused ticket to, may start the request, and
// only once. A process that dies takes its tickets along: their requests end
// as unknown and are never started elsewhere.
package ticket

import (
	"container/heap"
	"errors"
	"fmt"
	"time"

	shed "jasmineshed"
)

// Errors of Issue.
var (
	// ErrFull: the table holds Config.Most entries.
	ErrFull = errors.New("ticket table full")
	// ErrClosed: the tickets were moved to an heir.
	ErrClosed = errors.New("ticket table closed")
	// ErrDuplicateID: the id is in the table already.
	ErrDuplicateID = errors.New("ticket id taken")
)

// Defaults for a zero Config.
const (
	DefaultMaxEntries = 100_000
	DefaultLifetime   = 10 * time.Minute
	DefaultRetention  = 10 * time.Minute
)

// Config sets up a Table. Zero values take the defaults.
type Config struct {
	Self shed.Peer
	// MaxEntries bounds the entries: unused, running and ended.
	MaxEntries int
	// Lifetime is how long a ticket may be used.
	Lifetime time.Duration
	// Retention is how long an answer is kept after its end, and an expired ticket
	// after its expiry, so that a repeat gets a true answer.
	Retention time.Duration
}

type state uint8

const (
	stateUnused state = iota + 1
	stateRunning
	stateEnded
)

// entry is one ticket. It goes from unused to running to ended and never back.
type entry struct {
	id        shed.RequestID
	workspace shed.WorkspaceID
	pipeline  shed.PipelineID
	state     state
	expires   time.Time
	// forget is when the entry may go; void while running.
	forget time.Time
	finish shed.Finish
	// index in the heap by forget; -1 while running.
	index int
}

// safeguards can be turned off by tests, to show that the proof needs them.
type safeguards struct {
	startTwice  bool
	keepMoved   bool
	moveRunning bool
	anyHeir     bool
	adoptTwice  bool
}

// Table holds the tickets that this process may start. It is not safe for
// concurrent use.
type Table struct {
	cfg     Config
	off     safeguards
	entries map[shed.RequestID]*entry
	// expiry holds every entry that isn't running, by forget.
	expiry expiryHeap
	// movers are the processes whose tickets were adopted, each at most once.
	// There is one per graceful stop of a peer that chose this process, a few in
	// a process's life, so it is never pruned.
	movers map[shed.Peer]bool
	// closed is set once by MoveAll.
	closed bool
	heir   shed.Peer
}

// New returns an empty table.
func New(cfg Config) *Table {
	if cfg.MaxEntries == 0 {
		cfg.MaxEntries = DefaultMaxEntries
	}
	if cfg.Lifetime == 0 {
		cfg.Lifetime = DefaultLifetime
	}
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	return &Table{cfg: cfg, entries: map[shed.RequestID]*entry{}, movers: map[shed.Peer]bool{}}
}

// Issue puts a new ticket into the table and returns when it expires. It
// returns ErrFull, ErrClosed or ErrDuplicateID.
func (t *Table) Issue(now time.Time, id shed.RequestID, ws shed.WorkspaceID, p shed.PipelineID) (time.Time, error) {
	if t.closed {
		return time.Time{}, ErrClosed
	}
	if t.entries[id] != nil {
		return time.Time{}, ErrDuplicateID
	}
	t.Expire(now)
	if len(t.entries) >= t.cfg.MaxEntries {
		return time.Time{}, fmt.Errorf("%w: %d entries", ErrFull, len(t.entries))
	}
	e := &entry{id: id, workspace: ws, pipeline: p, state: stateUnused, expires: now.Add(t.cfg.Lifetime)}
	t.put(e)
	return e.expires, nil
}

// put adds an unused entry.
func (t *Table) put(e *entry) {
	e.forget = e.expires.Add(t.cfg.Retention)
	t.entries[e.id] = e
	heap.Push(&t.expiry, e)
}

// Expire forgets what is past its time. Forgetting is always safe: a ticket
// that is not in the table is never started. A running entry is never
// forgotten.
func (t *Table) Expire(now time.Time) {
	for len(t.expiry) > 0 && !t.expiry[0].forget.After(now) {
		e := heap.Pop(&t.expiry).(*entry)
		delete(t.entries, e.id)
	}
}

// Len counts the entries.
func (t *Table) Len() int { return len(t.entries) }

// Running counts the tickets whose request runs now.
func (t *Table) Running() int { return len(t.entries) - len(t.expiry) }

type expiryHeap []*entry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if !h[i].forget.Equal(h[j].forget) {
		return h[i].forget.Before(h[j].forget)
	}
	return h[i].id < h[j].id
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = -1
	return e
}
