package accept

import (
	"math"
	"time"
)

const (
	// tallyHalf is the time in which what was counted halves: longer than the usual
	// burst, in which a route may well have to wait for others.
	tallyHalf = 5 * time.Second
	// tallyStart is how many requests that were let in a route starts with: the first
	// refusal says little.
	tallyStart = 1
)

// tally counts the requests of one route, those of late most.
type tally struct {
	// asked is at least letIn; both are as of at.
	asked, letIn float64
	at           time.Time
}

func (t *tally) decay(now time.Time) {
	by := math.Exp2(-float64(now.Sub(t.at)) / float64(tallyHalf))
	t.asked *= by
	t.letIn *= by
	t.at = now
}

func (t *tally) add(now time.Time, letIn bool) {
	t.decay(now)
	t.asked++
	if letIn {
		t.letIn++
	}
}

// share is the share of requests that were let in of late; 1 if there were none.
func (t *tally) share(now time.Time) float64 {
	t.decay(now)
	return (t.letIn + tallyStart) / (t.asked + tallyStart)
}
