package hedge

import "slices"

// Runner identifies an attempt of a Race.
type Runner int

// Race decides which attempt of a request may deliver to its caller. The zero value is a race without
// attempts. It is not safe for concurrent use.
//
// A second attempt goes on after the last event delivered before it began. So whichever of two attempts
// delivers first is the only one from then on: what the other one sends would skip or repeat events.
type Race struct {
	// inFlight holds the attempts in flight, two at most.
	inFlight []Runner
	last     Runner
}

// maxInFlight is how many attempts of a request are in flight at most.
const maxInFlight = 2

// Start adds an attempt. It reports false if a second one is in flight, or if none is although some were:
// then the request has ended or its next attempt is up to its caller.
func (r *Race) Start() (Runner, bool) {
	if len(r.inFlight) == maxInFlight || r.last > 0 && len(r.inFlight) == 0 {
		return 0, false
	}
	r.last++
	r.inFlight = append(r.inFlight, r.last)
	return r.last, true
}

// Deliver reports whether an attempt may deliver what it has. The other one has lost then.
func (r *Race) Deliver(n Runner) bool {
	if !r.IsInFlight(n) {
		return false
	}
	r.inFlight = append(r.inFlight[:0], n)
	return true
}

// End removes an attempt that ended, and reports whether it was still in flight: whether it had not lost.
func (r *Race) End(n Runner) bool {
	at := slices.Index(r.inFlight, n)
	if at < 0 {
		return false
	}
	r.inFlight = slices.Delete(r.inFlight, at, at+1)
	return true
}

// IsInFlight reports whether an attempt is in flight and has not lost.
func (r *Race) IsInFlight(n Runner) bool { return slices.Contains(r.inFlight, n) }

// Contested reports whether two attempts are in flight.
func (r *Race) Contested() bool { return len(r.inFlight) == maxInFlight }
