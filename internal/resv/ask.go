package resv

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
)

const (
	// Timeout bounds a call to a coordinator.
	Timeout = 100 * time.Millisecond
	// MaxForecastAge is the age from which a VM's forecast no longer admits requests without a call.
	MaxForecastAge = 2 * time.Second
	// askAgainAfter is how long a coordinator that gave no answer is not asked. Otherwise each refusal
	// would take as long as Timeout while it hangs.
	askAgainAfter = time.Second
)

// Asker decides for one VM which coordinators are asked. It is not safe for concurrent use.
type Asker struct {
	// silent are the coordinators that gave no answer, with the time from which each is asked again.
	silent map[shed.VM]time.Time
}

// NewAsker returns an Asker that asks all coordinators.
func NewAsker() *Asker { return &Asker{silent: map[shed.VM]time.Time{}} }

// MayAsk reports whether a coordinator is asked. Of one that gave no answer, one request asks at a time.
func (a *Asker) MayAsk(now time.Time, vm shed.VM) bool {
	again, ok := a.silent[vm]
	if !ok {
		return true
	}
	if now.Before(again) {
		return false
	}
	a.silent[vm] = now.Add(askAgainAfter)
	return true
}

// Record records whether a coordinator answered.
func (a *Asker) Record(now time.Time, vm shed.VM, answered bool) {
	if answered {
		delete(a.silent, vm)
		return
	}
	a.silent[vm] = now.Add(askAgainAfter)
}

// Outcome is what a coordinator's answer means for the VM that asked.
type Outcome string

// Outcomes of asking a coordinator.
const (
	// OutcomeLocal: there is no answer, and the VM decides alone.
	OutcomeLocal    Outcome = "decided_alone"
	OutcomeGranted  Outcome = "granted"
	OutcomeReserved Outcome = "reserved"
	// OutcomeNone: the pool has no reservation that the request can use.
	OutcomeNone Outcome = "no_reservation"
)

// Answer is what a VM knows after asking. It is the zero value if the coordinator gave no answer.
type Answer struct {
	Answered bool
	Granted  bool
	// Wait is the time until the reservation; 0 if there is none.
	Wait time.Duration
}

// Combine decides on a request by the VM's own verdict and the coordinator's answer.
func Combine(own accept.Verdict, a Answer) (accept.Verdict, Outcome) {
	switch {
	case !a.Answered:
		return own, OutcomeLocal
	case a.Granted:
		own.Admitted, own.RetryAfter = true, 0
		return own, OutcomeGranted
	case a.Wait > 0:
		own.Admitted, own.RetryAfter = false, a.Wait
		return own, OutcomeReserved
	}
	own.Admitted, own.RetryAfter = false, max(own.RetryAfter, accept.MinRetryAfter)
	return own, OutcomeNone
}
