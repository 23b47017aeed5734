package shed

import "time"

// Event is something that happened, told to a decision package by its driver.
type Event interface{ event() }

// Tick comes every TickEvery. Wall and Mono are read together: the monotonic
// clock may stand still while a VM is suspended, so a leap of either one tells
// that the process slept.
type Tick struct {
	Wall time.Time
	Mono time.Duration
}

// TickEvery is the period of Tick.
const TickEvery = 100 * time.Millisecond

// RequestArrived means that a request came in, from a caller, or handed over by peer From.
type RequestArrived struct {
	Request   RequestID
	Ticketed  bool
	Workspace WorkspaceID
	Pipeline  PipelineID
	// Deadline is when the answer must be whole.
	Deadline time.Time
	// Prefix hashes the start of the prompt, for cache affinity.
	Prefix uint64
	// InputTokens estimates the size of the input.
	InputTokens Tokens
	// From is the peer that handed the request over; zero for a caller.
	From Peer
}

// ForwardEnded means that a ForwardRequest is over: the home's answer went to the
// caller, or none came.
type ForwardEnded struct{ Request RequestID }

// CallerGone means that nobody waits for the request's answer any more.
type CallerGone struct{ Request RequestID }

// StageRequested means that peer From hands one stage call over to this daemon, which applies
// its own rules, limits and knowledge and makes one attempt at the most.
type StageRequested struct {
	Request StageRequest
	From    Peer
}

// StageRequest describes a stage call well enough for any daemon to place it.
type StageRequest struct {
	Call        Call        `cbor:"1,keyasint"`
	Pipeline    PipelineID  `cbor:"2,keyasint"`
	Workspace   WorkspaceID `cbor:"3,keyasint"`
	Prefix      uint64      `cbor:"4,keyasint"`
	InputTokens Tokens      `cbor:"5,keyasint"`
	// Budget is the time left; a duration, since clocks of VMs differ.
	Budget time.Duration `cbor:"6,keyasint"`
	// Hops counts the hand-overs so far.
	Hops uint8 `cbor:"7,keyasint"`
	// Revision is what the sender had in force.
	Revision Revision `cbor:"8,keyasint"`
	// Avoid are servers that failed this request before.
	Avoid []ServerID `cbor:"9,keyasint,omitempty"`
}

// CallProgress means that the live call has produced Tokens in all. It comes when
// the server has accepted the call, with the first token, and then at most every ProgressEvery.
type CallProgress struct {
	Call   Call
	Tokens Tokens
	// Server is the one that runs the call, which a far daemon may have chosen.
	Server ServerID
	Zone   ZoneID
	// Boot is the server's boot identity, if it gave one with its acceptance.
	Boot string
}

// ProgressEvery is the shortest time between two CallProgress of one call.
const ProgressEvery = 100 * time.Millisecond

// CallEnded means that the call is over and will produce nothing more.
type CallEnded struct {
	Call   Call
	End    CallEnd
	Reason Reason
	Tokens Tokens
	Server ServerID
	Zone   ZoneID
	// RetryAfter is when the far side said to come back; 0 if it did not.
	RetryAfter time.Duration
}

// PeerMessage means that a control message came in from a peer.
type PeerMessage struct {
	From    Peer
	Message Message
}

// PeerLost means that the link to a peer gave no answer to a heartbeat in time.
type PeerLost struct{ Peer VM }

// ConfigRead means that the platform answered a ReadConfig.
type ConfigRead struct {
	Failed bool
	Index  ConfigIndex
	// Parts are those asked for, by hash.
	Parts map[PartHash][]byte
}

// VMsRead means that the platform answered a ReadVMs.
type VMsRead struct {
	Failed bool
	VMs    []VMEntry
}

// VMEntry is one line of the platform's lagging list.
type VMEntry struct {
	VM      VM
	Zone    ZoneID
	Leaving bool
}

// LoadReported means that a backend server reported its load. Reports lag by Age.
type LoadReported struct {
	Server ServerID
	Report LoadReport
}

// LoadReport is what a backend server says of itself.
type LoadReport struct {
	// Boot tells two starts of the server apart.
	Boot string `cbor:"1,keyasint"`
	// Sequence grows with each report of one boot; an older one is dropped.
	Sequence uint64 `cbor:"2,keyasint"`
	Running  int    `cbor:"3,keyasint"`
	Waiting  int    `cbor:"4,keyasint"`
	// Warm: the server says it can bear its full load.
	Warm bool `cbor:"5,keyasint"`
	// Done counts calls completed since boot.
	Done uint64 `cbor:"6,keyasint"`
	// Fence is the highest fencing number it accepted.
	Fence uint64 `cbor:"7,keyasint"`
	// Model is what it has loaded, as "model@version".
	Model string        `cbor:"8,keyasint"`
	Role  string        `cbor:"9,keyasint"`
	Age   time.Duration `cbor:"10,keyasint"`
}

// ServerSilent means that a backend server gave no load report in time.
type ServerSilent struct{ Server ServerID }

// OrderEnded means that a backend server answered an order.
type OrderEnded struct {
	Server ServerID
	Fence  uint64
	Done   bool
	// StaleFence: refused, since it has seen a higher fencing number.
	StaleFence bool
}

// StopRequested means that the process was told to stop; a second one asks to hurry.
type StopRequested struct{ SkipNotice bool }

func (Tick) event()           {}
func (RequestArrived) event() {}
func (CallerGone) event()     {}
func (ForwardEnded) event()   {}
func (StageRequested) event() {}
func (CallProgress) event()   {}
func (CallEnded) event()      {}
func (PeerMessage) event()    {}
func (PeerLost) event()       {}
func (ConfigRead) event()     {}
func (VMsRead) event()        {}
func (LoadReported) event()   {}
func (ServerSilent) event()   {}
func (OrderEnded) event()     {}
func (StopRequested) event()  {}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
