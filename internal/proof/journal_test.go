package proof

import (
	"time"

	shed "jasmineshed"
)

// journal records what callers, backend servers and operators observed. The oracle reads
// nothing else.
type journal struct {
	runs           []*serverRun
	callerRequests []*callerRequest
	changes        []change
	activations    []activation
	coldOverloads  []coldOverload
	stops          []plannedStop
}

// serverRun is one call that a backend server ran.
type serverRun struct {
	server  shed.ServerID
	zone    shed.ZoneID
	request shed.RequestID
	stage   shed.StageID
	attempt uint16
	started time.Time
}

// callerRequest is one request of a caller, and the answer it got.
type callerRequest struct {
	request  shed.RequestID
	pipeline shed.PipelineID
	input    string
	vm       shed.VM
	at       time.Time
	// answers holds all answers received; more than one is a violation.
	answers []answer
	// broken is set when the connection broke because the process serving it died.
	broken bool
}

type answer struct {
	at      time.Time
	outcome shed.Outcome
	reason  shed.Reason
	retry   time.Duration
	request shed.RequestID
	payload string
}

// change is one configuration that an operator published.
type change struct {
	rev     shed.Revision
	at      time.Time
	out     map[shed.ZoneID]bool
	leaving map[shed.ServerID]bool
}

// activation records that one process put a revision in force.
type activation struct {
	vm   shed.VM
	inc  shed.Incarnation
	rev  shed.Revision
	at   time.Time
	zone shed.ZoneID
}

// coldOverload records that a cold server got more calls than its cold capacity.
type coldOverload struct {
	server       shed.ServerID
	at           time.Time
	running      int
	coldCapacity int
}

// plannedStop is one graceful stop.
type plannedStop struct {
	vm        shed.VM
	inc       shed.Incarnation
	requested time.Time
	ended     time.Time
	// abortedCallers counts callers whose connection was closed when the process ended.
	abortedCallers int
	// killed is set if a fault ended the process before the stop was complete.
	killed bool
}
