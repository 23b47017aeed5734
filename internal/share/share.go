// Package share decides which workspaces ask a pool of pieces for more than their fair share. It does no
// I/O and reads no clock.
//
// Load pattern: in a burst, one workspace asks for ten times its share of a pool, and in a single queue the
// others are served as rarely as it is. Shares are max-min fair: what more urgent ranks leave of the pool's
// rate is divided equally, and what a workspace doesn't use of its share goes to those that ask for more. Of
// tens of thousands of workspaces, only those that ask most are told apart.
package share

import (
	"math"
	"slices"
	"time"

	shed "jasmineshed"
)

const (
	// decayTime is the time constant with which counts of pieces decay.
	decayTime = 2 * time.Second
	// minWindow is the shortest time over which the first requests are averaged: after a start of the
	// coordinator, rates are known before counts have built up.
	minWindow = 500 * time.Millisecond
	// maxWorkspaces is how many workspaces are counted separately.
	maxWorkspaces = 256
	// ranks is how many ranks are told apart; the last one includes all less urgent ones.
	ranks = 10
	// rescaleAfter is how long weights may grow before counts are scaled down: by exp(10) then.
	rescaleAfter = 10 * decayTime
	// chanceDeviations is by how many standard deviations of its count a workspace must be above its
	// share: those that ask for just their share would otherwise be over half of the time, and a
	// workspace that asks for ten times as much would be served before them.
	chanceDeviations = 1.5
	// forgetBelow is the number of pieces, decayed, below which a workspace is forgotten. It is also the
	// number of pieces that others have to ask for so that a workspace can be over its share.
	forgetBelow = 0.01
)

// Table holds the demand for one pool, at the coordinator of the pool. It is not safe for concurrent use.
type Table struct {
	// rate is what the pool can produce, in pieces a second; 0 if unknown.
	rate float64
	// since is when the first request was counted.
	since time.Time
	// base is the time at which a piece weighs 1. Later pieces weigh more, so that earlier counts
	// decay without being touched.
	base time.Time
	// demand holds the weights of all pieces by rank: the sum of rest and all entries.
	demand [ranks]float64
	// rest holds the weights of the workspaces that were counted separately before, but no longer are.
	rest [ranks]float64
	// entries holds at most maxWorkspaces workspaces, in an order that depends only on the calls made;
	// index holds the position of each.
	entries []entry
	index   map[shed.WorkspaceID]int
}

// entry is the demand of one workspace since it was counted separately, and so at most its whole demand.
type entry struct {
	workspace shed.WorkspaceID
	weights   [ranks]float64
	total     float64
	// latest is the weight of its latest request, of rank latestRank.
	latest     float64
	latestRank int
}

// New returns a Table without demand.
func New() *Table { return &Table{index: map[shed.WorkspaceID]int{}} }

// SetRate sets what the pool can produce, in pieces a second; 0 if unknown.
func (t *Table) SetRate(rate float64) { t.rate = rate }

// Observe counts a request for pieces. Rank 0 is the most urgent.
func (t *Table) Observe(now time.Time, workspace shed.WorkspaceID, rank, pieces int) {
	if t.since.IsZero() {
		t.since, t.base = now, now
	}
	t.rescale(now)
	e, r, w := t.entry(workspace), clampRank(rank), float64(pieces)*t.weight(now)
	e.weights[r] += w
	e.total += w
	e.latest, e.latestRank = w, r
	t.demand[r] += w
}

// OverAt reports whether a workspace asks for more than its share of the pool now, for its requests of one rank,
// while others want theirs. Requests of a more urgent rank than the one at which the pool's rate is used up are
// never over, less urgent ones always are.
func (t *Table) OverAt(now time.Time, workspace shed.WorkspaceID, rank int) bool {
	rank = clampRank(rank)
	contended, left := t.contended(now)
	return rank > contended || rank == contended && t.exceeds(now, workspace, rank, left)
}

// exceeds reports whether the workspace asked for its share at a rank already before its latest request,
// by more than chance explains, and others ask for some of it too. Without the latest request, a workspace
// that asks seldom is not over: it can't ask for less than one request.
func (t *Table) exceeds(now time.Time, workspace shed.WorkspaceID, rank int, left float64) bool {
	i, ok := t.index[workspace]
	if !ok {
		return false
	}
	e := &t.entries[i]
	asked := e.weights[rank]
	if t.demand[rank]-asked < forgetBelow*t.weight(now) {
		return false
	}
	if e.latestRank == rank {
		// A decaying count of random requests of equal size has the variance count * size / 2.
		asked -= e.latest + chanceDeviations*math.Sqrt(asked*e.latest/2)
	}
	return asked > t.level(rank, left)
}

// contended returns the most urgent rank of which the demand exceeds what more urgent ranks leave of the
// pool's rate, and how much that is as a weight; the rank is ranks if the demand is below the rate.
func (t *Table) contended(now time.Time) (rank int, left float64) {
	if t.rate <= 0 || t.since.IsZero() {
		return ranks, 0
	}
	left = t.rate * t.window(now) * t.weight(now)
	for r, d := range t.demand {
		if d > left {
			return r, left
		}
		left -= d
	}
	return ranks, left
}

// level returns the share of each workspace at a rank: the weight up to which all demand there adds up to
// left, which is below the demand. The rest counts as workspaces that each ask as much as the smallest
// entry: none of them can have asked for more, so no share is underestimated.
func (t *Table) level(rank int, left float64) float64 {
	smallest := t.entries[t.smallest()].total
	for level := 0.0; ; {
		free, unsatisfied := left, 0.0
		for i := range t.entries {
			if d := t.entries[i].weights[rank]; d > level {
				unsatisfied++
			} else {
				free -= d
			}
		}
		if smallest > level {
			unsatisfied += t.rest[rank] / smallest
		} else {
			free -= t.rest[rank]
		}
		if unsatisfied == 0 || free/unsatisfied <= level {
			return level
		}
		level = free / unsatisfied
	}
}

// entry returns the entry of a workspace. A new one takes the place of the smallest if there are
// maxWorkspaces, which then is a part of the rest.
func (t *Table) entry(workspace shed.WorkspaceID) *entry {
	if i, ok := t.index[workspace]; ok {
		return &t.entries[i]
	}
	i := len(t.entries)
	if i < maxWorkspaces {
		t.entries = append(t.entries, entry{})
	} else {
		i = t.smallest()
		t.merge(&t.entries[i])
	}
	t.entries[i] = entry{workspace: workspace}
	t.index[workspace] = i
	return &t.entries[i]
}

// smallest returns the position of the entry with the least demand, the first one of several.
func (t *Table) smallest() int {
	least := 0
	for i := range t.entries {
		if t.entries[i].total < t.entries[least].total {
			least = i
		}
	}
	return least
}

// merge adds an entry to the rest. The caller removes it from the entries.
func (t *Table) merge(e *entry) {
	for r, w := range e.weights {
		t.rest[r] += w
	}
	delete(t.index, e.workspace)
}

// rescale makes a piece weigh 1 now, if it has become too heavy, and forgets workspaces without demand.
func (t *Table) rescale(now time.Time) {
	if now.Sub(t.base) < rescaleAfter {
		return
	}
	factor := 1 / t.weight(now)
	t.base = now
	scale(&t.demand, factor)
	scale(&t.rest, factor)
	t.entries = slices.DeleteFunc(t.entries, func(e entry) bool {
		forget := e.total*factor < forgetBelow
		if forget {
			scale(&e.weights, factor)
			t.merge(&e)
		}
		return forget
	})
	for i := range t.entries {
		e := &t.entries[i]
		scale(&e.weights, factor)
		e.total *= factor
		e.latest *= factor
		t.index[e.workspace] = i
	}
}

func scale(weights *[ranks]float64, factor float64) {
	for r := range weights {
		weights[r] *= factor
	}
}

// weight returns the weight of a piece that is requested now.
func (t *Table) weight(now time.Time) float64 {
	return math.Exp(now.Sub(t.base).Seconds() / decayTime.Seconds())
}

// window returns the number of seconds over which counts are summed up.
func (t *Table) window(now time.Time) float64 {
	age := max(now.Sub(t.since), minWindow).Seconds()
	return decayTime.Seconds() * (1 - math.Exp(-age/decayTime.Seconds()))
}

func clampRank(rank int) int { return min(max(rank, 0), ranks-1) }
