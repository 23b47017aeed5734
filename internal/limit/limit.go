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
	// rate is 0 if the limit has ended.
	rate shed.Rate
	at   time.Time
}

// New returns a Table without limits.
func New() *Table { return &Table{reports: map[shed.ServerStart]report{}} }

// Change is a new, changed or ended limit.
type Change struct {
	Start shed.ServerStart
	// Rate is 0 if the limit has ended.
	Rate shed.Rate
}

// Answered records the limit named in an answer: a rate, or 0 for no limit. It returns the
// changes, which are to be reported to peers.
func (t *Table) Answered(now time.Time, start shed.ServerStart, rate shed.Rate) []Change {
	if _, known := t.reports[start]; !known && rate == 0 {
		return nil
	}
	return t.apply(start, report{rate: rate, at: now})
}

// Receive merges limits received from a peer.
func (t *Table) Receive(now time.Time, limits []shed.ServerLimit) []Change {
	var out []Change
	for _, l := range limits {
		s := report{rate: l.Rate, at: now.Add(-max(l.Age, 0))}
		if l.Lifted {
			s.rate = 0
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
	if s.rate == old.rate {
		return nil
	}
	return []Change{{Start: start, Rate: s.rate}}
}

// Rate returns a server's limit, or 0 if it has none.
func (t *Table) Rate(start shed.ServerStart) shed.Rate { return t.reports[start].rate }

// Empty reports whether no limits are kept, not even ended ones.
func (t *Table) Empty() bool { return len(t.reports) == 0 }

// All returns all limits, including ended ones, sorted, to be sent to peers.
func (t *Table) All(now time.Time) []shed.ServerLimit {
	var out []shed.ServerLimit
	for start, s := range t.reports {
		out = append(out, shed.ServerLimit{Start: start, Rate: s.rate, Lifted: s.rate == 0, Age: now.Sub(s.at)})
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
		if !listed(start.Server) || s.rate == 0 && now.Sub(s.at) > endedRetention {
			delete(t.reports, start)
		}
	}
}
