// Package limit keeps the limits that backend servers name in their answers. It is pure.
//
// Load pattern: a server in need says in each answer how many requests a second it takes
// from all VMs together. Each VM hears only the answers to its own requests, so VMs tell
// each other; answers and messages overtake each other.
package limit

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
)

// keepEnded is how long the end of a limit is remembered, so that older news of it don't
// bring it back.
const keepEnded = 30 * time.Second

// Table is what one VM knows of limits. It is not safe for concurrent use.
type Table struct {
	said map[shed.ServerStart]saying
}

// saying is the newest that a server said.
type saying struct {
	// rate is above 0, or 0 if there is no limit any more.
	rate shed.Rate
	at   time.Time
}

// New returns a Table that knows of no limit.
func New() *Table { return &Table{said: map[shed.ServerStart]saying{}} }

// Change is a limit that is believed anew.
type Change struct {
	Start shed.ServerStart
	// Rate is 0 if the limit has ended.
	Rate shed.Rate
}

// Answered takes in what an answer said: a rate, or 0 for no limit. It returns what
// changed; peers are to be told of it.
func (t *Table) Answered(now time.Time, start shed.ServerStart, rate shed.Rate) []Change {
	if _, known := t.said[start]; !known && rate == 0 {
		return nil
	}
	return t.take(start, saying{rate: rate, at: now})
}

// Receive takes in what a peer tells.
func (t *Table) Receive(now time.Time, limits []shed.ServerLimit) []Change {
	var out []Change
	for _, l := range limits {
		s := saying{rate: l.Rate, at: now.Add(-max(l.Age, 0))}
		if l.Lifted {
			s.rate = 0
		}
		out = append(out, t.take(l.Start, s)...)
	}
	return out
}

func (t *Table) take(start shed.ServerStart, s saying) []Change {
	old := t.said[start]
	if !s.at.After(old.at) {
		return nil
	}
	t.said[start] = s
	if s.rate == old.rate {
		return nil
	}
	return []Change{{Start: start, Rate: s.rate}}
}

// Rate is what a server takes; 0 if any number.
func (t *Table) Rate(start shed.ServerStart) shed.Rate { return t.said[start].rate }

// Empty tells whether no server has named a limit lately.
func (t *Table) Empty() bool { return len(t.said) == 0 }

// Limited are the servers that have a limit.
func (t *Table) Limited() []shed.ServerStart {
	var out []shed.ServerStart
	for start, s := range t.said {
		if s.rate > 0 {
			out = append(out, start)
		}
	}
	return out
}

// All is all that is known, for peers, sorted.
func (t *Table) All(now time.Time) []shed.ServerLimit {
	var out []shed.ServerLimit
	for start, s := range t.said {
		out = append(out, shed.ServerLimit{Start: start, Rate: s.rate, Lifted: s.rate == 0, Age: now.Sub(s.at)})
	}
	slices.SortFunc(out, func(a, b shed.ServerLimit) int {
		return cmp.Or(cmp.Compare(a.Start.Server, b.Start.Server), cmp.Compare(a.Start.StartedMs, b.Start.StartedMs))
	})
	return out
}

// Prune forgets servers that are no longer listed, and ends that are old. A start that has
// ended takes its limit with it.
func (t *Table) Prune(now time.Time, listed func(shed.ServerID) bool) {
	for start, s := range t.said {
		if !listed(start.Server) || s.rate == 0 && now.Sub(s.at) > keepEnded {
			delete(t.said, start)
		}
	}
}
