// Package access decides when this VM may send requests to a backend server again, after the server
// asked it for rest or a turn was denied. It does no I/O and reads no clock.
//
// Load pattern: an overloaded server turns requests away and asks each VM for some seconds without
// any. The VM's other requests go to other servers; if all servers of a pool rest, they would be
// tried over and over, and each try costs the server and the caller a round trip. When a rest ends,
// everything that was held back would arrive at once, so the VM sends one request first.
package access

import (
	"maps"
	"time"

	shed "jasmineshed"
)

const (
	// probeTime is how long the first request after a rest goes alone. Servers turn away at once,
	// so a longer silence means that it was accepted.
	probeTime = 250 * time.Millisecond
	// idleRetention is how long a server is remembered after its rest if no request is sent to it.
	idleRetention = 10 * time.Second
	// minBackoff and maxBackoff bound the backoff after a denied turn; the upper one exists because
	// a limit may end.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Table holds what one VM knows about its access to servers. It is not safe for concurrent use.
type Table struct {
	servers map[shed.ServerStart]state
}

// state is the access to one start of a server.
type state struct {
	// noTurnUntil is until when no turn is requested.
	noTurnUntil time.Time
	// restUntil is the end of the rest; zero if the server asked for none, or accepted a request
	// after it.
	restUntil time.Time
	// probedAt is when the first request after the rest was sent; zero if none was.
	probedAt time.Time
}

// New returns a Table in which all servers are accessible.
func New() *Table { return &Table{servers: map[shed.ServerStart]state{}} }

// Denied records that the next turn of a server is due after wait.
func (t *Table) Denied(now time.Time, s shed.ServerStart, wait time.Duration) {
	st := t.servers[s]
	st.noTurnUntil = now.Add(min(max(wait, minBackoff), maxBackoff))
	t.servers[s] = st
}

// HasTurn reports whether a turn of the server may be requested.
func (t *Table) HasTurn(now time.Time, s shed.ServerStart) bool {
	return !now.Before(t.servers[s].noTurnUntil)
}

// Rest records that a server asked for rest. Answers may overtake each other, so the latest end
// counts.
func (t *Table) Rest(now time.Time, s shed.ServerStart, rest time.Duration) {
	st := t.servers[s]
	st.restUntil = shed.Later(st.restUntil, now.Add(rest))
	st.probedAt = time.Time{}
	t.servers[s] = st
}

// RestLeft returns how long no request may be sent to a server, because it rests or because the
// first request after its rest is not answered yet; 0 if one may be sent.
func (t *Table) RestLeft(now time.Time, s shed.ServerStart) time.Duration {
	st := t.servers[s]
	switch {
	case st.restUntil.IsZero():
		return 0
	case now.Before(st.restUntil):
		return st.restUntil.Sub(now)
	case !st.probedAt.IsZero():
		return max(st.probedAt.Add(probeTime).Sub(now), 0)
	}
	return 0
}

// IsRested reports whether the server asked for rest and has accepted no request since.
func (t *Table) IsRested(s shed.ServerStart) bool { return !t.servers[s].restUntil.IsZero() }

// Reserve reports whether a request may be sent to a server now. The first one after a rest holds
// back others until it is answered.
func (t *Table) Reserve(now time.Time, s shed.ServerStart) bool {
	if t.RestLeft(now, s) > 0 {
		return false
	}
	st := t.servers[s]
	if !st.restUntil.IsZero() && st.probedAt.IsZero() {
		st.probedAt = now
		t.servers[s] = st
	}
	return true
}

// Accepted records that a server accepted a request that was sent at sentAt. Answers to requests
// that were sent before the end of the rest don't end it.
func (t *Table) Accepted(s shed.ServerStart, sentAt time.Time) {
	st, ok := t.servers[s]
	if !ok || st.probedAt.IsZero() || sentAt.Before(st.probedAt) {
		return
	}
	st.restUntil, st.probedAt = time.Time{}, time.Time{}
	t.servers[s] = st
}

// Prune removes servers about which nothing holds any more.
func (t *Table) Prune(now time.Time) {
	maps.DeleteFunc(t.servers, func(_ shed.ServerStart, st state) bool {
		return !now.Before(st.noTurnUntil) && (st.restUntil.IsZero() || now.Sub(st.restUntil) > idleRetention)
	})
}
