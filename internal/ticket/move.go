package ticket

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	shed "jasmineshed"
)

// MoveAll forgets every unused ticket and returns the message that hands them
// to the heir. The table is closed from then on: it issues and adopts nothing
// and answers only for what it started. The message may be sent any number of
// times, but only to that heir; a lost one loses its tickets, whose requests
// then end as unknown.
func (t *Table) MoveAll(now time.Time, heir shed.Peer) shed.TicketMove {
	t.Expire(now)
	t.closed = true
	t.heir = heir
	move := shed.TicketMove{From: t.cfg.Self, To: heir}
	for _, e := range t.entries {
		if t.movable(now, e) {
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
		t.drop(move.Tickets[i].ID)
	}
	return move
}

// movable: a started ticket never moves, since the heir could start it again.
func (t *Table) movable(now time.Time, e *entry) bool {
	if e.state == stateRunning && t.off.moveRunning {
		return true
	}
	return e.state == stateUnused && now.Before(e.expires)
}

// drop forgets a moved ticket before the heir can hear of it, so that at no
// moment two tables may start it.
func (t *Table) drop(id shed.RequestID) {
	e := t.entries[id]
	if t.off.keepMoved || e.state != stateUnused {
		return
	}
	heap.Remove(&t.expiry, e.index)
	delete(t.entries, id)
}

// Adopt takes over the tickets of a process that left and returns how many.
//
// The same move may come twice, late, or at a later process on the same VM.
// Then a ticket that was used, forgotten or moved on would come back to life
// and run again. So only the process that the move names may adopt, and only
// one move of each sender. A sender makes one move in its life, hence nothing
// is lost by this.
func (t *Table) Adopt(now time.Time, move shed.TicketMove) int {
	if move.To != t.cfg.Self && !t.off.anyHeir {
		return 0
	}
	// Past its own move a table only waits for its end; what it took now would
	// be lost with it, while callers are told to look elsewhere.
	if t.closed {
		return 0
	}
	if t.movers[move.From] && !t.off.adoptTwice {
		return 0
	}
	t.movers[move.From] = true
	t.Expire(now)
	n := 0
	for i := range move.Tickets {
		if t.adopt(now, &move.Tickets[i]) {
			n++
		}
	}
	return n
}

// adopt never takes a place from another entry: a ticket that finds the table
// full is lost, which is safe, as it then starts nowhere.
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
