package shed

// LeavingUpdate shares with peers that servers said in their answers that they leave. A departure
// holds until that start of the server ends, so updates may arrive late, twice or in any order.
type LeavingUpdate struct {
	Starts []ServerStart `cbor:"1,keyasint"`
}

func (LeavingUpdate) message() {}

// UrgentUpdate forwards those items of a change of the platform's store that take servers out of use, ahead of the
// rest of the change.
type UrgentUpdate struct {
	Items []Item `cbor:"1,keyasint"`
}

func (UrgentUpdate) message() {}
