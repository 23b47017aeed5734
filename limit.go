package shed

import "time"

// Rate is a number of requests in a second.
type Rate float64

// ServerLimit is what a server said that it takes from all VMs together.
type ServerLimit struct {
	Start ServerStart `cbor:"1,keyasint"`
	// Rate is above 0; void if Ended.
	Rate Rate `cbor:"2,keyasint,omitempty"`
	// Lifted: it takes any number again.
	Lifted bool `cbor:"3,keyasint,omitempty"`
	// Age is how long ago it said so when the message was sent.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// LimitUpdate tells peers what servers said that they take. Of two that are about one start
// of a server the newer one counts, so that they may come in any order.
type LimitUpdate struct {
	Limits []ServerLimit `cbor:"1,keyasint"`
}

func (LimitUpdate) message() {}
