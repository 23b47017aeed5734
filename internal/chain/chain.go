// Package chain predicts how long a chain of steps takes whose pieces are processed in
// batches. It does no I/O and reads no clock: the relay passes the state of each step's pool.
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
	// After are the positions, in the chain, of the steps that it depends on; each is
	// less than its own.
	After  []int
	Limits shed.BatchLimits
	// Servers is the number of servers in its pool that accept new work.
	Servers int
	// Forecast is the pool's forecast for its current queue; its Rate and Slow are 0 if the
	// queue is empty.
	Forecast batch.Forecast
	// ExpectedPieces is the number of pieces that admitted requests will send to the pool once
	// their earlier steps are done.
	ExpectedPieces int
	// ResultBytes is the size of the result of one piece, ExpectedBytes that of all expected pieces.
	ResultBytes, ExpectedBytes int64
}

// Chain holds all steps of a request.
type Chain []Step

// minTime is how long the step takes with an empty queue, at the recent speed of the
// servers.
func (s *Step) minTime() time.Duration { return s.callTime(min(s.Pieces, s.Limits.MaxPieces)) }

// callTime is how long a call with so many pieces takes at the recent speed of the servers.
func (s *Step) callTime(pieces int) time.Duration {
	usual := s.Limits.CallTime + time.Duration(pieces)*s.Limits.PieceTime
	if s.Forecast.Slow > 0 {
		return shed.Scale(usual, s.Forecast.Slow)
	}
	return usual
}

// rate is the pool's throughput with full batches, in pieces per second: as predicted, or
// by its limits if its queue is empty. It is above 0.
func (s *Step) rate() float64 {
	if s.Forecast.Rate > 0 {
		return s.Forecast.Rate
	}
	full := s.Limits.CallTime + time.Duration(s.Limits.MaxPieces)*s.Limits.PieceTime
	return float64(s.Servers*s.Limits.MaxPieces) / max(full, time.Millisecond).Seconds()
}

// capacityEnd predicts when the step is done if it waits for capacity for its results; 0 if it need
// not. Pieces that wait run in full calls, as in the forecast of calls.
func (s *Step) capacityEnd() time.Duration {
	wait := s.Forecast.Room.Wait(s.Limits, s.Pieces, s.ResultBytes, s.ExpectedBytes)
	if wait == 0 {
		return 0
	}
	return wait + s.callTime(s.Limits.MaxPieces)
}

// forecastEnd predicts when the step is done if its dependencies are done at start: it waits for
// calls, and for capacity for its results.
//
// Expected pieces count as if they were queued, since the queues of pools late in a chain are
// still empty when a burst begins. With queued pieces alone, most of the requests refused in
// a burst had some of their pieces processed first, for nothing.
func (s *Step) forecastEnd(start batch.Forecast) batch.Forecast {
	if s.Servers == 0 {
		return batch.Forecast{Timely: batch.NoServers, Last: batch.NoServers}
	}
	ahead := time.Duration(float64(s.ExpectedPieces) / s.rate() * float64(time.Second))
	ahead += time.Duration(s.Pieces-1) * s.Limits.PieceTime
	capacity := s.capacityEnd()
	return batch.Forecast{
		Timely: max(s.Forecast.Timely+ahead, capacity, start.Timely+s.minTime()),
		Last:   max(s.Forecast.Last+ahead, capacity, start.Last+s.minTime()),
	}
}

// Forecast predicts how long all steps take, along the longest path.
func (c Chain) Forecast() batch.Forecast {
	ends := make([]batch.Forecast, len(c))
	var longest batch.Forecast
	for i := range c {
		var start batch.Forecast
		for _, before := range c[i].After {
			start = latest(start, ends[before])
		}
		ends[i] = c[i].forecastEnd(start)
		longest = latest(longest, ends[i])
	}
	return longest
}

func latest(a, b batch.Forecast) batch.Forecast {
	return batch.Forecast{Timely: max(a.Timely, b.Timely), Last: max(a.Last, b.Last)}
}

// MinTimeAfter is the minimum time of the steps that follow a step, along the longest path.
func (c Chain) MinTimeAfter(at int) time.Duration {
	var longest time.Duration
	for i := at + 1; i < len(c); i++ {
		if slices.Contains(c[i].After, at) {
			longest = max(longest, c[i].minTime()+c.MinTimeAfter(i))
		}
	}
	return longest
}

// MinTime is how long the steps take with empty queues, along the longest path.
func (c Chain) MinTime() time.Duration {
	var longest time.Duration
	for i := range c {
		longest = max(longest, c[i].minTime()+c.MinTimeAfter(i))
	}
	return longest
}

// startMargin is how much earlier than predicted necessary a delayed step starts, since
// forecasts are off by that much for most requests.
const startMargin = 100 * time.Millisecond

// StartWith returns the step with whose start step at may be started, so that its results are ready
// when the longest path is nearly done; -1 if it has to start at once.
//
// Load pattern: a request needs large results in parallel with a long path of other steps.
// If processed at once, they occupy their server's result capacity until the path is done, for
// most of the request's time, and displace requests that need nothing else.
func (c Chain) StartWith(at int) int {
	if len(c[at].After) > 0 || c.hasDependents(at) {
		return -1
	}
	own := c[at].forecastEnd(batch.Forecast{}).Timely + startMargin
	best, bestLeft := -1, time.Duration(0)
	for i := range c {
		left := c.remaining(i)
		if i != at && left >= own && (best < 0 || left < bestLeft) {
			best, bestLeft = i, left
		}
	}
	return best
}

// hasDependents reports whether another step needs the results of step at.
func (c Chain) hasDependents(at int) bool {
	return slices.ContainsFunc(c, func(s Step) bool { return slices.Contains(s.After, at) })
}

// remaining is the predicted time from the start of a step to the end of its path.
func (c Chain) remaining(at int) time.Duration {
	longest := time.Duration(0)
	for i := at + 1; i < len(c); i++ {
		if slices.Contains(c[i].After, at) {
			longest = max(longest, c.remaining(i))
		}
	}
	return c[at].forecastEnd(batch.Forecast{}).Timely + longest
}

// Bottleneck returns the step with the longest queueing time.
func (c Chain) Bottleneck() int {
	most, waits := 0, time.Duration(-1)
	for i := range c {
		if queue := c.QueueTime(i); queue > waits {
			most, waits = i, queue
		}
	}
	return most
}

// QueueTime returns how long the pieces of a step would queue in its pool; 0 or more.
func (c Chain) QueueTime(at int) time.Duration {
	return c[at].forecastEnd(batch.Forecast{}).Timely - c[at].minTime()
}
