// Package ticket ensures that non-idempotent requests run at most once, without a store. A ticket's
// id names the process that issued it. Only that process, or the one successor to which it moved
// the unused ticket, may start the request, and only once. If a process crashes, its tickets are
// lost: their requests end as unknown and are never started elsewhere.
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
	// ErrFull is returned if the table holds Config.MaxEntries entries.
	ErrFull = errors.New("ticket table full")
	// ErrClosed is returned after MoveAll.
	ErrClosed = errors.New("ticket table closed")
	// ErrDuplicateID is returned if the id is already in the table.
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
	// MaxEntries limits the entries: unused, running and ended.
	MaxEntries int
	// Lifetime is how long a ticket can be used after it was issued.
	Lifetime time.Duration
	// Retention is how long the answer of an ended request and an expired ticket are kept, so that a
	// repeated request gets a correct answer.
	Retention time.Duration
}

type state uint8

const (
	stateUnused state = iota + 1
	stateRunning
	stateEnded
)

// entry is a ticket. Its state goes from unused to running to ended and never back.
type entry struct {
	id        shed.RequestID
	workspace shed.WorkspaceID
	pipeline  shed.PipelineID
	state     state
	expires   time.Time
	// removeAt is when the entry is removed; not used while running.
	removeAt time.Time
	finish   shed.Finish
	// index is the position in Table.expiry; -1 while running.
	index int
}

// safeguards are the rules that a test disables to show that each is needed. A field that is set
// disables its rule.
type safeguards struct {
	startTwice   bool
	keepMoved    bool
	moveRunning  bool
	anySuccessor bool
	adoptTwice   bool
}

// Table holds the tickets that this process may start. It is not safe for
// concurrent use.
type Table struct {
	cfg      Config
	disabled safeguards
	entries  map[shed.RequestID]*entry
	// expiry holds every entry that isn't running, ordered by removeAt.
	expiry expiryHeap
	// adoptedFrom are the processes whose tickets were adopted. It is never pruned: there is one
	// per graceful stop of a peer that chose this process, a few in a process's lifetime.
	adoptedFrom map[shed.Peer]bool
	// closed is set by MoveAll and never reset.
	closed    bool
	successor shed.Peer
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
	return &Table{cfg: cfg, entries: map[shed.RequestID]*entry{}, adoptedFrom: map[shed.Peer]bool{}}
}

// Issue adds a new ticket and returns when it expires. It fails with ErrFull, ErrClosed or
// ErrDuplicateID.
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
	e.removeAt = e.expires.Add(t.cfg.Retention)
	t.entries[e.id] = e
	heap.Push(&t.expiry, e)
}

// Expire removes entries whose time has passed. Removal is always safe: a ticket that is not in the
// table is never started. A running entry is never removed.
func (t *Table) Expire(now time.Time) {
	for len(t.expiry) > 0 && !t.expiry[0].removeAt.After(now) {
		e := heap.Pop(&t.expiry).(*entry)
		delete(t.entries, e.id)
	}
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Running returns the number of tickets whose request is running.
func (t *Table) Running() int { return len(t.entries) - len(t.expiry) }

type expiryHeap []*entry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if !h[i].removeAt.Equal(h[j].removeAt) {
		return h[i].removeAt.Before(h[j].removeAt)
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
