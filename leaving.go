package shed

// LeavingUpdate shares with peers that servers said in their answers that they leave. A departure
// holds until that start of the server ends, so updates may arrive late, twice or in any order.
type LeavingUpdate struct {
	Starts []ServerStart `cbor:"1,keyasint"`
}

func (LeavingUpdate) message() {}
