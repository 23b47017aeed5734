// Package permit decides which requests may be at a brittle server at the same time. It does no I/O
// and reads no clock.
//
// Load pattern: servers that fall over if they have to turn away more than a few requests a second,
// while callers ask for more than the servers can run. If each VM sees a place free, all take it at
// once; the server falls, and all that waited rushes at the others. So one VM owns each such server,
// as for turns, and grants permits: each is one place at the server until it is given back.
package permit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	shed "jasmineshed"
)

const (
	// spareSlots is how many more requests than slots may be at a server, so that the next one is
	// there when a slot becomes free.
	spareSlots = 1
	// unknownSlots is assumed for a server that doesn't name its slots.
	unknownSlots = 4
	// rejectionRest is how long after a rejection a server's limit doesn't rise.
	rejectionRest = 2 * time.Second
	// idleRetention is how long a server without permits is kept.
	idleRetention = time.Minute
	// returnDelay is the assumed wait if a permit is denied.
	returnDelay = 100 * time.Millisecond
	// returnedRetention is how long a return is remembered whose request has not arrived: it is longer
	// than the time limit of a message between VMs.
	returnedRetention = 5 * time.Second
	// maxReturned bounds these returns for each server. A permit whose return was not remembered is held
	// until its lease ends.
	maxReturned = 1024
)

// ID identifies a permit, or a request that waits for one, at its owner.
type ID uint64

// chosenID is set in the ids that requesters choose, so that none is one that an owner assigned.
const chosenID ID = 1 << 63

// ChosenID returns the id that a requester chooses by a random number.
func ChosenID(random uint64) ID { return ID(random) | chosenID }

func (id ID) isChosen() bool { return id&chosenID != 0 }

// Request asks for a permit.
type Request struct {
	// ID is chosen by the requester, which can return the permit though it has no answer. It is 0 if the
	// owner is to assign one: requesters of earlier versions choose none.
	ID    ID
	Start shed.ServerStart
	// Slots is the number of requests that the server runs at once; 0 if not known.
	Slots int
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int
	// Patience is the longest wait for a permit, Lease how long it is valid.
	Patience, Lease time.Duration
}

// Decision is the answer to a request: a permit, a place in the queue, or neither. Wait is then when
// to ask again.
type Decision struct {
	ID              ID
	Granted, Queued bool
	Wait            time.Duration
}

// Ledger holds the permits that one VM has granted. It is not safe for concurrent use.
type Ledger struct {
	servers map[shed.ServerStart]*server
	// arrivals counts the requests; it is also the id of one that chose none.
	arrivals uint64
}

// server is the owner's view of one start of a server.
type server struct {
	// limit is how many permits may be held at once. It starts at 1 and doubles with each round of
	// requests that the server accepts, up to the slots and spareSlots.
	limit, slots int
	// raiseAfter is when the limit may rise again after a rejection.
	raiseAfter time.Time
	// held are the permits, with the ends of their leases.
	held  map[ID]time.Time
	queue []waiter
	// returned are the ids that were returned while neither held nor queued, with the times until which
	// they are remembered: the return may arrive before its request.
	returned map[ID]time.Time
	usedAt   time.Time
}

// waiter is a request in the queue.
type waiter struct {
	id ID
	// arrival is the number of the request: among equal ranks the first one is granted a permit first.
	arrival  uint64
	rank     int
	until    time.Time
	leaseFor time.Duration
}

// NewLedger returns a Ledger that has granted no permits.
func NewLedger() *Ledger { return &Ledger{servers: map[shed.ServerStart]*server{}} }

// Take grants a permit, queues the request, or denies it if it has no patience.
func (l *Ledger) Take(now time.Time, a Request) Decision {
	s := l.server(a.Start)
	s.slots, s.usedAt = a.Slots, now
	s.expire(now)
	l.arrivals++
	id := a.ID
	if !id.isChosen() {
		id = ID(l.arrivals)
	}
	_, returned := s.returned[id]
	switch {
	case returned:
		return Decision{Wait: returnDelay}
	case len(s.held) < s.limit && len(s.queue) == 0:
		s.held[id] = now.Add(a.Lease)
		return Decision{ID: id, Granted: true}
	case a.Patience <= 0:
		return Decision{Wait: returnDelay}
	}
	w := waiter{id: id, arrival: l.arrivals, rank: a.Rank, until: now.Add(a.Patience), leaseFor: a.Lease}
	at, _ := slices.BinarySearchFunc(s.queue, w, func(x, y waiter) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.arrival, y.arrival))
	})
	s.queue = slices.Insert(s.queue, at, w)
	return Decision{ID: id, Queued: true}
}

// server returns the state of a server, which is created if there is none.
func (l *Ledger) server(start shed.ServerStart) *server {
	s := l.servers[start]
	if s == nil {
		s = &server{limit: 1, held: map[ID]time.Time{}, returned: map[ID]time.Time{}}
		l.servers[start] = s
	}
	return s
}

// Return gives a permit back, or leaves the queue, and returns the requests that are granted permits
// instead. A second return of the same id has no effect, and a request that arrives after its return
// gets no permit. rejected is set if the server turned the request away for want of room.
func (l *Ledger) Return(now time.Time, start shed.ServerStart, id ID, rejected bool) []ID {
	if l.servers[start] == nil && !id.isChosen() {
		return nil
	}
	s := l.server(start)
	if !s.release(now, id, rejected) && id.isChosen() && len(s.returned) < maxReturned {
		s.returned[id] = now.Add(returnedRetention)
	}
	return s.grant(now)
}

// Leave is Return for a request whose wait has ended at its owner: its id isn't remembered, since the
// request has arrived.
func (l *Ledger) Leave(now time.Time, start shed.ServerStart, id ID) []ID {
	s := l.server(start)
	s.release(now, id, false)
	return s.grant(now)
}

// release gives a permit back, or removes a request from the queue; found is false if there is neither.
func (s *server) release(now time.Time, id ID, rejected bool) (found bool) {
	s.usedAt = now
	if _, held := s.held[id]; held {
		s.learn(now, rejected)
		delete(s.held, id)
		return true
	}
	waiting := len(s.queue)
	s.queue = slices.DeleteFunc(s.queue, func(w waiter) bool { return w.id == id })
	return len(s.queue) < waiting
}

// learn adapts the limit to the outcome of a request.
func (s *server) learn(now time.Time, rejected bool) {
	slots := s.slots
	if slots <= 0 {
		slots = unknownSlots
	}
	switch {
	case rejected:
		s.limit = max(min(s.limit, len(s.held))-1, 1)
		s.raiseAfter = now.Add(rejectionRest)
	case now.After(s.raiseAfter) && s.limit < slots+spareSlots && len(s.held) >= s.limit:
		s.limit++
	}
}

// grant passes free permits to the queue.
func (s *server) grant(now time.Time) []ID {
	s.expire(now)
	var out []ID
	for len(s.queue) > 0 && len(s.held) < s.limit {
		w := s.queue[0]
		s.queue = s.queue[1:]
		s.held[w.id] = now.Add(w.leaseFor)
		out = append(out, w.id)
	}
	return out
}

// expire drops permits whose lease is over, requests that have waited too long and old returns.
func (s *server) expire(now time.Time) {
	maps.DeleteFunc(s.returned, func(_ ID, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(s.held, func(_ ID, until time.Time) bool { return now.After(until) })
	s.queue = slices.DeleteFunc(s.queue, func(w waiter) bool { return now.After(w.until) })
}

// Tick grants permits that became free by the end of a lease, and drops servers that are not used.
func (l *Ledger) Tick(now time.Time) []ID {
	var out []ID
	for start, s := range l.servers {
		out = append(out, s.grant(now)...)
		if len(s.held) == 0 && now.Sub(s.usedAt) > idleRetention {
			delete(l.servers, start)
		}
	}
	return out
}
