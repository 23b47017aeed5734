package picker

import (
	"math"
	"time"
)

const (
	// faultCost times the share of recent failures is added to a server's cost.
	faultCost = 400 * time.Millisecond
	// faultShare is the weight of the newest sample in the share of failures.
	faultShare = 0.25
	// unreachedShare is that weight if a server could not be reached: each such
	// try takes the whole time for connecting, 0.2 s.
	unreachedShare = 0.5
	// zoneShare is the weight of the newest sample in the share of a zone's servers
	// that could not be reached, and zoneCost times that share is added to the cost
	// of each of them: after two in a row it is above what it takes to read a large
	// shared prefix again, and one dark server does not close a zone.
	zoneShare = 0.35
	zoneCost  = 700 * time.Millisecond
	// faultHalf is the time in which a share of failures halves by itself, so
	// that a server that healed is tried again.
	faultHalf = 2 * time.Second
)

const (
	// awayFrom is how many connections in a row must fail for a server to count as
	// away: one lost packet fails one.
	awayFrom = 2
	// awayFirst is how long it is left alone then; that doubles with each further
	// failure, up to awayMost.
	awayFirst = 500 * time.Millisecond
	awayMost  = 2 * time.Second
)

// reached takes in whether a connection to the server came about. Without it, callers
// whose pool has no server on their side of a cut wait for connections in vain until
// their time is over.
func (st *state) reached(now time.Time, end End) {
	if !end.Unreached {
		st.lost, st.away = 0, time.Time{}
		return
	}
	if st.lost++; st.lost >= awayFrom {
		st.away = now.Add(min(awayFirst<<min(st.lost-awayFrom, 6), awayMost))
	}
}

// faults is the share of recent calls that failed.
type faults struct {
	// share is between 0 and 1, as of at.
	share float64
	at    time.Time
}

func (f *faults) now(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp2(-float64(now.Sub(f.at))/float64(faultHalf))
}

// add takes one more call in, with a weight.
func (f *faults) add(now time.Time, failed bool, weight float64) {
	f.share = f.now(now) * (1 - weight)
	f.at = now
	if failed {
		f.share += weight
	}
}

// cost is what the failures add to the cost of a choice; most if all calls failed.
func (f *faults) cost(now time.Time, most time.Duration) time.Duration {
	return time.Duration(f.now(now) * float64(most))
}
