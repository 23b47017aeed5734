package access

import "time"

// rankDelay is how much later requests of the next less urgent rank are sent when a rest ends.
const rankDelay = 20 * time.Millisecond

// maxRankDelay bounds that delay.
const maxRankDelay = 200 * time.Millisecond

// returnSpread is the time over which refused callers are spread, in proportion to the rest:
// without it, all of them return in the moment at which the rest ends, and most are turned away
// again.
const returnSpread = 1.0

// minReturnSpread is the shortest time over which refused callers are spread.
const minReturnSpread = 500 * time.Millisecond

// Wait is a request for which all servers that could serve it rest.
type Wait struct {
	// RestLeft is the time to the end of the first rest.
	RestLeft time.Duration
	// ToTarget is the time left until the answer's target, Answer the predicted time of the answer.
	ToTarget, Answer time.Duration
	// Rank is the request's priority; 0 is the most urgent.
	Rank int
	// Fraction is the request's place among the refused ones, from 0 to 1.
	Fraction float64
}

// Decide returns how long the request should wait before it is placed again, if it can then still
// meet its target. Otherwise it is refused at once, since another VM may have access, and the
// caller may return after retryAfter.
func (w Wait) Decide() (wait, retryAfter time.Duration) {
	wait = w.RestLeft + min(time.Duration(max(w.Rank, 0))*rankDelay, maxRankDelay)
	if wait+w.Answer <= w.ToTarget {
		return wait, 0
	}
	spread := max(time.Duration(returnSpread*float64(w.RestLeft)), minReturnSpread)
	return 0, w.RestLeft + time.Duration(w.Fraction*float64(spread))
}
