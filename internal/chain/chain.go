// Package chain foresees how long a chain of steps takes whose pieces are made in
// batches. It is pure: the relay gives what it knows of each step's pool.
package chain

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
)

// Step is one step of a request.
type Step struct {
	Pieces int
	// After are the positions, in the chain, of the steps that it needs; each is
	// below its own.
	After  []int
	Limits shed.BatchLimits
	// Servers is how many servers its pool has that take new work.
	Servers int
	// Forecast is what is foreseen of the pool for what waits there now; its Rate and
	// Slow are 0 if nothing does.
	Forecast batch.Forecast
	// ExpectedPieces is how many pieces requests that were let in will ask of the pool once
	// their steps before are done.
	ExpectedPieces int
}

// Chain is all steps of a request.
type Chain []Step

// least is the shortest time that the step takes, with servers as fast as they
// have been lately.
func (s *Step) least() time.Duration {
	least := s.Limits.CallTime + time.Duration(min(s.Pieces, s.Limits.MaxPieces))*s.Limits.PieceTime
	if s.Forecast.Slow > 0 {
		return time.Duration(float64(least) * s.Forecast.Slow)
	}
	return least
}

// rate is how many pieces the pool makes in a second in full calls: as foreseen, or
// by its limits if nothing waits there. It is above 0.
func (s *Step) rate() float64 {
	if s.Forecast.Rate > 0 {
		return s.Forecast.Rate
	}
	full := s.Limits.CallTime + time.Duration(s.Limits.MaxPieces)*s.Limits.PieceTime
	return float64(s.Servers*s.Limits.MaxPieces) / max(full, time.Millisecond).Seconds()
}

// end foresees when the step is done that can begin at start.
//
// What will come counts as if it were there: a pool late in a chain has nothing
// waiting when a burst begins. By what waited alone, most of the requests that were
// refused in a burst had first had some of their pieces made in vain.
func (s *Step) end(start batch.Forecast) batch.Forecast {
	if s.Servers == 0 {
		return batch.Forecast{Timely: batch.NoServers, Last: batch.NoServers}
	}
	ahead := time.Duration(float64(s.ExpectedPieces) / s.rate() * float64(time.Second))
	ahead += time.Duration(s.Pieces-1) * s.Limits.PieceTime
	return batch.Forecast{
		Timely: max(s.Forecast.Timely+ahead, start.Timely+s.least()),
		Last:   max(s.Forecast.Last+ahead, start.Last+s.least()),
	}
}

// Forecast foresees how long all steps take, along the longest path.
func (c Chain) Forecast() batch.Forecast {
	ends := make([]batch.Forecast, len(c))
	var longest batch.Forecast
	for i := range c {
		var start batch.Forecast
		for _, before := range c[i].After {
			start = latest(start, ends[before])
		}
		ends[i] = c[i].end(start)
		longest = latest(longest, ends[i])
	}
	return longest
}

func latest(a, b batch.Forecast) batch.Forecast {
	return batch.Forecast{Timely: max(a.Timely, b.Timely), Last: max(a.Last, b.Last)}
}

// MinTimeAfter is the least time of the steps after one, along the longest path.
func (c Chain) MinTimeAfter(at int) time.Duration {
	var longest time.Duration
	for i := at + 1; i < len(c); i++ {
		if slices.Contains(c[i].After, at) {
			longest = max(longest, c[i].least()+c.MinTimeAfter(i))
		}
	}
	return longest
}

// MinTime is how long the steps take if nothing waits, along the longest path.
func (c Chain) MinTime() time.Duration {
	var longest time.Duration
	for i := range c {
		longest = max(longest, c[i].least()+c.MinTimeAfter(i))
	}
	return longest
}

// beginEarly is by how much a step that may wait begins sooner than it is foreseen
// to have to: forecasts are that far off for most requests.
const beginEarly = 100 * time.Millisecond

// StartWith is the step whose beginning step at may await, so that its results are made
// when the longest path is nearly done; -1 if it is to begin at once.
//
// Load pattern: a request needs large results beside a long path of other steps.
// Made at once, they lay at their server until the path was done, for most of the
// request's time, and took the room from requests that need nothing else.
func (c Chain) StartWith(at int) int {
	if len(c[at].After) > 0 || c.needed(at) {
		return -1
	}
	own := c[at].end(batch.Forecast{}).Timely + beginEarly
	best, bestLeft := -1, time.Duration(0)
	for i := range c {
		left := c.left(i)
		if i != at && left >= own && (best < 0 || left < bestLeft) {
			best, bestLeft = i, left
		}
	}
	return best
}

// needed tells whether another step needs the results of step at.
func (c Chain) needed(at int) bool {
	return slices.ContainsFunc(c, func(s Step) bool { return slices.Contains(s.After, at) })
}

// left is the time foreseen from the beginning of a step to the end of its path.
func (c Chain) left(at int) time.Duration {
	longest := time.Duration(0)
	for i := at + 1; i < len(c); i++ {
		if slices.Contains(c[i].After, at) {
			longest = max(longest, c.left(i))
		}
	}
	return c[at].end(batch.Forecast{}).Timely + longest
}

// Bottleneck is the step that has to wait longest for servers.
func (c Chain) Bottleneck() int {
	most, waits := 0, time.Duration(-1)
	for i := range c {
		if queue := c[i].end(batch.Forecast{}).Timely - c[i].least(); queue > waits {
			most, waits = i, queue
		}
	}
	return most
}
