package proof

import (
	"time"

	shed "jasmineshed"
)

// journal is what callers, backend servers and operators saw. The oracle reads
// nothing else.
type journal struct {
	runs           []*serverRun
	callerRequests []*callerRequest
	changes        []change
	activations    []activation
	coldOverloads  []coldOverload
	stops          []plannedStop
}

// serverRun is one call as a backend server ran it.
type serverRun struct {
	server  shed.ServerID
	zone    shed.ZoneID
	request shed.RequestID
	stage   shed.StageID
	attempt uint16
	started time.Time
}

// callerRequest is one call of a caller, and the answer it got.
type callerRequest struct {
	request  shed.RequestID
	pipeline shed.PipelineID
	input    string
	vm       shed.VM
	at       time.Time
	// answers that came back; more than one would be a fault of its own.
	answers []answer
	// broken: the connection broke, since the process at its end died.
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

// activation is one revision coming into force in one process.
type activation struct {
	vm   shed.VM
	inc  shed.Incarnation
	rev  shed.Revision
	at   time.Time
	zone shed.ZoneID
}

// coldOverload is a cold server that got more than it bears.
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
	// abortedCallers are callers whose connection the end of the process cut off.
	abortedCallers int
	// killed: something else ended the process first.
	killed bool
}
