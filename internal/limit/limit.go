// Package limit tracks the rate limits that backend servers name in their answers. It does no
// I/O and reads no clock.
//
// Load pattern: an overloaded server names in each answer how many requests a second it takes
// from all VMs together. Each VM sees only the answers to its own requests, so VMs report
// limits to each other; answers and messages overtake each other.
package limit

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
)

// endedRetention is how long the end of a limit is remembered, so that delayed reports don't
// restore the limit.
const endedRetention = 30 * time.Second

// Table holds the limits known to one VM. It is not safe for concurrent use.
type Table struct {
	reports map[shed.ServerStart]report
}

// report is the latest limit that a server named.
type report struct {
	// rate is 0 if the server names no limit.
	rate    shed.Rate
	brittle bool
	at      time.Time
}

// isEmpty reports whether the server named nothing that binds.
func (s report) isEmpty() bool { return s.rate == 0 && !s.brittle }

// New returns a Table without limits.
func New() *Table { return &Table{reports: map[shed.ServerStart]report{}} }

// Change is a new, changed or ended limit.
type Change struct {
	Start shed.ServerStart
	// Rate is 0 if the server names no limit.
	Rate    shed.Rate
	Brittle bool
}

// Answered records what an answer says: a rate, or 0 for no limit, and whether the server is brittle.
// It returns the changes, which are to be reported to peers.
func (t *Table) Answered(now time.Time, start shed.ServerStart, rate shed.Rate, brittle bool) []Change {
	s := report{rate: rate, brittle: brittle, at: now}
	if _, known := t.reports[start]; !known && s.isEmpty() {
		return nil
	}
	return t.apply(start, s)
}

// Receive merges limits received from a peer.
func (t *Table) Receive(now time.Time, limits []shed.ServerLimit) []Change {
	var out []Change
	for _, l := range limits {
		s := report{rate: l.Rate, brittle: l.Brittle, at: now.Add(-max(l.Age, 0))}
		if l.Lifted {
			s.rate, s.brittle = 0, false
		}
		out = append(out, t.apply(l.Start, s)...)
	}
	return out
}

func (t *Table) apply(start shed.ServerStart, s report) []Change {
	old := t.reports[start]
	if !s.at.After(old.at) {
		return nil
	}
	t.reports[start] = s
	if s.rate == old.rate && s.brittle == old.brittle {
		return nil
	}
	return []Change{{Start: start, Rate: s.rate, Brittle: s.brittle}}
}

// Rate returns a server's limit, or 0 if it has none.
func (t *Table) Rate(start shed.ServerStart) shed.Rate { return t.reports[start].rate }

// Brittle reports whether a server is brittle; known is false if nothing is known of it.
func (t *Table) Brittle(start shed.ServerStart) (brittle, known bool) {
	s, known := t.reports[start]
	return s.brittle, known
}

// BrittleServers returns the servers that are brittle, in any order.
func (t *Table) BrittleServers() []shed.ServerStart {
	var out []shed.ServerStart
	for start, s := range t.reports {
		if s.brittle {
			out = append(out, start)
		}
	}
	return out
}

// Empty reports whether no limits are kept, not even ended ones.
func (t *Table) Empty() bool { return len(t.reports) == 0 }

// All returns all limits, including ended ones, sorted, to be sent to peers.
func (t *Table) All(now time.Time) []shed.ServerLimit {
	var out []shed.ServerLimit
	for start, s := range t.reports {
		out = append(out, shed.ServerLimit{Start: start, Rate: s.rate, Brittle: s.brittle, Lifted: s.isEmpty(), Age: now.Sub(s.at)})
	}
	slices.SortFunc(out, func(a, b shed.ServerLimit) int {
		return cmp.Or(cmp.Compare(a.Start.Server, b.Start.Server), cmp.Compare(a.Start.StartedMs, b.Start.StartedMs))
	})
	return out
}

// Prune removes the limits of unlisted servers, and ended limits after endedRetention. A limit
// belongs to one start of a server and doesn't apply to the next.
func (t *Table) Prune(now time.Time, listed func(shed.ServerID) bool) {
	for start, s := range t.reports {
		if !listed(start.Server) || s.isEmpty() && now.Sub(s.at) > endedRetention {
			delete(t.reports, start)
		}
	}
}
