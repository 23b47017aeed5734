package picker

import (
	"math"
	"time"
)

const (
	// failureCost, times the share of recent failures, is added to a server's cost.
	failureCost = 400 * time.Millisecond
	// failureWeight is the weight of the newest sample in the failure rate.
	failureWeight = 0.25
	// unreachedWeight is the weight if a server could not be reached: each such try takes the
	// whole connect timeout, 0.2 s.
	unreachedWeight = 0.5
	// zoneFailureWeight is the weight of the newest sample in the share of a zone's servers
	// that could not be reached; zoneFailureCost, times that share, is added to the cost of
	// each of them. After two failures in a row this exceeds the cost of reading a large
	// shared prefix again, and one unreachable server does not close a zone.
	zoneFailureWeight = 0.35
	zoneFailureCost   = 700 * time.Millisecond
	// failureHalfLife is the time in which a failure rate halves without new samples, so that
	// a recovered server is tried again.
	failureHalfLife = 2 * time.Second
)

const (
	// unreachableAfter is how many consecutive connections must fail for a server to count as
	// unreachable: one lost packet fails one.
	unreachableAfter = 2
	// initialBackoff is how long the server is then avoided; it doubles with each further
	// failure, up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// recordReachability records whether a connection to the server was established. Without it,
// callers whose pool has no server on their side of a network partition wait for connections
// until their deadline.
func (st *state) recordReachability(now time.Time, end End) {
	if !end.Unreached {
		st.failedConnections, st.backoffUntil = 0, time.Time{}
		return
	}
	if st.failedConnections++; st.failedConnections >= unreachableAfter {
		st.backoffUntil = now.Add(min(initialBackoff<<min(st.failedConnections-unreachableAfter, 6), maxBackoff))
	}
}

// ForgetFailures forgets all failures: they were not the servers' or their zones'.
func (p *Picker) ForgetFailures() {
	clear(p.zoneFailures)
	for _, st := range p.servers {
		st.failures = failureRate{}
		st.failedConnections, st.backoffUntil = 0, time.Time{}
	}
}

// failureRate is the share of recent calls that failed.
type failureRate struct {
	// rate is between 0 and 1, as of at.
	rate float64
	at   time.Time
}

func (f *failureRate) now(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp2(-float64(now.Sub(f.at))/float64(failureHalfLife))
}

// record adds the outcome of one call with a weight.
func (f *failureRate) record(now time.Time, failed bool, weight float64) {
	f.rate = f.now(now) * (1 - weight)
	f.at = now
	if failed {
		f.rate += weight
	}
}

// cost is what the failures add to the cost of a choice; maxCost if all calls failed.
func (f *failureRate) cost(now time.Time, maxCost time.Duration) time.Duration {
	return time.Duration(f.now(now) * float64(maxCost))
}
