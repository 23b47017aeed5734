package ticket

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	shed "jasmineshed"
)

// MoveAll removes all unused tickets and returns the message that transfers them to the successor.
// From then on the table is closed: it issues and adopts nothing and answers only for tickets that
// it started. The message may be sent any number of times, but only to that successor. If it is
// lost, so are its tickets, and their requests end as unknown.
func (t *Table) MoveAll(now time.Time, successor shed.Peer) shed.TicketMove {
	t.Expire(now)
	t.closed = true
	t.successor = successor
	move := shed.TicketMove{From: t.cfg.Self, To: successor}
	for _, e := range t.entries {
		if t.isMovable(now, e) {
			move.Tickets = append(move.Tickets, shed.MovedTicket{
				ID:        e.id,
				Workspace: e.workspace,
				Pipeline:  e.pipeline,
				ExpiresIn: e.expires.Sub(now),
			})
		}
	}
	slices.SortFunc(move.Tickets, func(a, b shed.MovedTicket) int { return cmp.Compare(a.ID, b.ID) })
	for i := range move.Tickets {
		t.removeMoved(move.Tickets[i].ID)
	}
	return move
}

// isMovable reports whether the ticket can move. A started ticket never moves, since the successor
// could start it again.
func (t *Table) isMovable(now time.Time, e *entry) bool {
	if e.state == stateRunning && t.disabled.moveRunning {
		return true
	}
	return e.state == stateUnused && now.Before(e.expires)
}

// removeMoved removes a moved ticket before the successor can receive it, so that at no time two
// tables may start it.
func (t *Table) removeMoved(id shed.RequestID) {
	e := t.entries[id]
	if t.disabled.keepMoved || e.state != stateUnused {
		return
	}
	heap.Remove(&t.expiry, e.index)
	delete(t.entries, id)
}

// Adopt takes over the tickets of a stopping process and returns how many it took.
//
// The same move may arrive twice, late, or at a later process on the same VM. Adopted then, a
// ticket that was used, removed or moved again would be valid once more and could run twice. So
// only the process named in the move may adopt it, and only one move of each sender. A process
// sends one move in its lifetime, so no tickets are lost by this.
func (t *Table) Adopt(now time.Time, move shed.TicketMove) int {
	if move.To != t.cfg.Self && !t.disabled.anySuccessor {
		return 0
	}
	// After its own move the process is about to end. Tickets adopted now would be lost with it,
	// while callers are sent to the successor.
	if t.closed {
		return 0
	}
	if t.adoptedFrom[move.From] && !t.disabled.adoptTwice {
		return 0
	}
	t.adoptedFrom[move.From] = true
	t.Expire(now)
	n := 0
	for i := range move.Tickets {
		if t.adopt(now, &move.Tickets[i]) {
			n++
		}
	}
	return n
}

// adopt never evicts another entry: if the table is full, the ticket is lost, which is safe, as it
// is then never started.
func (t *Table) adopt(now time.Time, m *shed.MovedTicket) bool {
	if t.entries[m.ID] != nil || len(t.entries) >= t.cfg.MaxEntries || m.ExpiresIn <= 0 {
		return false
	}
	t.put(&entry{
		id:        m.ID,
		workspace: m.Workspace,
		pipeline:  m.Pipeline,
		state:     stateUnused,
		expires:   now.Add(min(m.ExpiresIn, t.cfg.Lifetime)),
	})
	return true
}
