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
	// probeInterval is how often a coordinator that gave no answer is probed. No request waits for it until
	// it answers: otherwise each refusal would take as long as Timeout while it hangs.
	probeInterval = 250 * time.Millisecond
)

// Asker decides for one VM which coordinators are asked. It is not safe for concurrent use.
type Asker struct {
	// silent are the coordinators that gave no answer, with the time from which each is probed.
	silent map[shed.VM]time.Time
}

// NewAsker returns an Asker that asks all coordinators.
func NewAsker() *Asker { return &Asker{silent: map[shed.VM]time.Time{}} }

// Way is whether and how a VM calls a coordinator.
type Way int

// The ways to call a coordinator.
const (
	// WayNone: it isn't called.
	WayNone Way = iota
	// WayProbe: it gets a call without pieces, for whose answer no request waits.
	WayProbe
	// WayAsk: it is asked about the request.
	WayAsk
)

// Decide decides whether and how to call a coordinator.
func (a *Asker) Decide(now time.Time, vm shed.VM) Way {
	probeAt, silent := a.silent[vm]
	switch {
	case !silent:
		return WayAsk
	case now.Before(probeAt):
		return WayNone
	}
	a.silent[vm] = now.Add(probeInterval)
	return WayProbe
}

// Answers reports whether a coordinator answers, as far as is known. Promises of one that doesn't are not
// counted: a caller's VM can't learn of them.
func (a *Asker) Answers(vm shed.VM) bool {
	_, silent := a.silent[vm]
	return !silent
}

// Record records whether a coordinator answered.
func (a *Asker) Record(now time.Time, vm shed.VM, answered bool) {
	if answered {
		delete(a.silent, vm)
	} else if _, silent := a.silent[vm]; !silent {
		a.silent[vm] = now.Add(probeInterval)
	}
}

// Forget forgets a VM that has ended.
func (a *Asker) Forget(vm shed.VM) { delete(a.silent, vm) }

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
	// ToTarget replaces the time to the target of a request that took its reservation.
	ToTarget time.Duration
}

// Outcome returns what the answer means.
func (a Answer) Outcome() Outcome {
	switch {
	case !a.Answered:
		return OutcomeLocal
	case a.Granted:
		return OutcomeGranted
	case a.Wait > 0:
		return OutcomeReserved
	}
	return OutcomeNone
}

// Combine decides on a request by the VM's own verdict and the coordinator's answer.
func Combine(own accept.Verdict, a Answer) (accept.Verdict, Outcome) {
	outcome := a.Outcome()
	switch outcome {
	case OutcomeGranted:
		own.Admitted, own.RetryAfter = true, 0
	case OutcomeReserved:
		own.Admitted, own.RetryAfter = false, a.Wait
	case OutcomeNone:
		own.Admitted, own.RetryAfter = false, max(own.RetryAfter, accept.MinRetryAfter)
	}
	return own, outcome
}
