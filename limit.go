package shed

import "time"

// Rate is a number of requests per second.
type Rate float64

// ServerLimit is what a server accepts from all VMs together, as reported by the server.
type ServerLimit struct {
	Start ServerStart `cbor:"1,keyasint"`
	// Rate is the request rate that it accepts; 0 if it names none. Not valid if Lifted.
	Rate Rate `cbor:"2,keyasint,omitempty"`
	// Brittle is set if the server falls over when it has to turn away more than a few requests a
	// second.
	Brittle bool `cbor:"5,keyasint,omitempty"`
	// Lifted is set if the server neither limits its rate nor is brittle.
	Lifted bool `cbor:"3,keyasint,omitempty"`
	// Age is the time from the server's report to the sending of the message.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// LimitUpdate shares the limits of servers with peers. Of two limits for the same start of a
// server the newer one counts, so they may arrive in any order.
type LimitUpdate struct {
	Limits []ServerLimit `cbor:"1,keyasint"`
}

func (LimitUpdate) message() {}

// PermitReturned gives a permit for a brittle server back to the VM that granted it.
type PermitReturned struct {
	Start ServerStart `cbor:"1,keyasint"`
	ID    uint64      `cbor:"2,keyasint"`
	// Rejected is set if the server turned the request away for want of room.
	Rejected bool `cbor:"3,keyasint,omitempty"`
}

func (PermitReturned) message() {}
