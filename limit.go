package shed

import "time"

// Rate is a number of requests per second.
type Rate float64

// ServerLimit is the request rate that a server accepts from all VMs together, as
// reported by the server.
type ServerLimit struct {
	Start ServerStart `cbor:"1,keyasint"`
	// Rate is above 0; not valid if Lifted.
	Rate Rate `cbor:"2,keyasint,omitempty"`
	// Lifted is set if the server no longer limits its rate.
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
