package batch

import (
	"time"

	shed "jasmineshed"
)

const (
	// receivedTime is how long received results are remembered at least, unless there are too many: longer than a server
	// repeats an answer late.
	receivedTime = 30 * time.Second
	// maxReceived bounds each of the two generations of results.
	maxReceived = 1 << 16
)

// Received remembers the results that servers returned. A server gives each result a reference of its own, so an answer
// with one that was received before repeats an earlier answer. It is not safe for concurrent use.
type Received struct {
	// recent and older are two generations; recent was begun at turnedAt.
	recent, older map[shed.ResultRef]struct{}
	turnedAt      time.Time
}

// Repeats reports whether results of an answer were received before, and else remembers them.
func (r *Received) Repeats(now time.Time, results []shed.PieceResult) bool {
	for _, res := range results {
		if r.has(res.Ref) {
			return true
		}
	}
	if r.recent == nil || now.Sub(r.turnedAt) >= receivedTime || len(r.recent) >= maxReceived {
		r.older, r.recent, r.turnedAt = r.recent, map[shed.ResultRef]struct{}{}, now
	}
	for _, res := range results {
		if res.Ref != "" {
			r.recent[res.Ref] = struct{}{}
		}
	}
	return false
}

func (r *Received) has(ref shed.ResultRef) bool {
	_, recent := r.recent[ref]
	_, older := r.older[ref]
	return ref != "" && (recent || older)
}
