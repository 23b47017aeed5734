package shed

import "time"

// Event is an occurrence that a driver reports to a decision package.
type Event interface{ event() }

// Tick is sent every TickEvery. Wall and Mono are read together: the monotonic
// clock may stop while a VM is suspended, so a jump of either one shows that
// the process was paused.
type Tick struct {
	Wall time.Time
	Mono time.Duration
}

// TickEvery is the period of Tick.
const TickEvery = 100 * time.Millisecond

// RequestArrived reports a request received from a caller, or forwarded by the peer From.
type RequestArrived struct {
	Request   RequestID
	Ticketed  bool
	Workspace WorkspaceID
	Pipeline  PipelineID
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
	// Prefix is a hash of the start of the prompt, for cache affinity.
	Prefix uint64
	// InputTokens is the estimated size of the input.
	InputTokens Tokens
	// From is the peer that forwarded the request; zero for a caller.
	From Peer
}

// ForwardEnded reports that a ForwardRequest has ended: the home's answer went to the
// caller, or none arrived.
type ForwardEnded struct{ Request RequestID }

// CallerGone reports that no caller is waiting for the request's answer.
type CallerGone struct{ Request RequestID }

// StageRequested reports that the peer From forwards one stage call to this daemon, which
// applies its own rules, limits and state and makes at most one attempt.
type StageRequested struct {
	Request StageRequest
	From    Peer
}

// StageRequest holds what any daemon needs to place a stage call.
type StageRequest struct {
	Call        Call        `cbor:"1,keyasint"`
	Pipeline    PipelineID  `cbor:"2,keyasint"`
	Workspace   WorkspaceID `cbor:"3,keyasint"`
	Prefix      uint64      `cbor:"4,keyasint"`
	InputTokens Tokens      `cbor:"5,keyasint"`
	// Budget is the remaining time; a duration, since clocks of VMs differ.
	Budget time.Duration `cbor:"6,keyasint"`
	// Hops is the number of times the call has been forwarded.
	Hops uint8 `cbor:"7,keyasint"`
	// Revision is the revision in force at the sender.
	Revision Revision `cbor:"8,keyasint"`
	// Avoid lists servers that have failed this request.
	Avoid []ServerID `cbor:"9,keyasint,omitempty"`
	// ReportSilence is set if the sender decides what becomes of a silent call: the receiver
	// then reports silence with a Frame and does not end the call for it.
	ReportSilence bool `cbor:"10,keyasint,omitempty"`
}

// CallProgress reports that the live call has produced Tokens in total. It is sent when the
// server has accepted the call, with the first token, and then at most every ProgressEvery.
type CallProgress struct {
	Call   Call
	Tokens Tokens
	// Server runs the call; a remote daemon may have chosen it.
	Server ServerID
	Zone   ZoneID
	// Boot is the server's boot identity, if the server sent one on accepting the call.
	Boot string
}

// ProgressEvery is the minimum interval between two CallProgress events of one call.
const ProgressEvery = 100 * time.Millisecond

// CallSilent reports that nothing has arrived for the live call for a while. It is sent after the
// idle timeout of the call, and again every SilenceEvery while the silence lasts. The call goes
// on: its server may be sound, so it is only given up once its replacement is accepted or makes progress.
type CallSilent struct {
	Call Call
	// For is how long nothing has arrived.
	For time.Duration
	// Link is set if the link to the peer that runs the call is silent.
	Link bool
	// Server and Zone are empty if it isn't known which server runs the call.
	Server ServerID
	Zone   ZoneID
}

// SilenceEvery is the interval between two CallSilent events of one call. It bounds how often a
// replacement is looked for, and how late one is found.
const SilenceEvery = 500 * time.Millisecond

// CallEnded reports that the call has ended and will produce nothing more.
type CallEnded struct {
	Call   Call
	End    CallEnd
	Reason Reason
	Tokens Tokens
	Server ServerID
	Zone   ZoneID
	// RetryAfter is the retry delay that the remote side asked for; 0 if none.
	RetryAfter time.Duration
}

// PeerMessage reports a control message received from a peer.
type PeerMessage struct {
	From    Peer
	Message Message
}

// PeerLost reports that a heartbeat on the link to a peer timed out.
type PeerLost struct{ Peer VM }

// ConfigRead is the platform's answer to a ReadConfig.
type ConfigRead struct {
	Failed bool
	Index  ConfigIndex
	// Parts holds the requested parts by hash.
	Parts map[PartHash][]byte
}

// VMsRead is the platform's answer to a ReadVMs.
type VMsRead struct {
	Failed bool
	VMs    []VMEntry
}

// VMEntry is one entry of the platform's list of VMs, which lags behind the real state.
type VMEntry struct {
	VM      VM
	Zone    ZoneID
	Leaving bool
}

// LoadReported reports the load report of a backend server. Reports lag by Age.
type LoadReported struct {
	Server ServerID
	Report LoadReport
}

// LoadReport is the state that a backend server reports of itself.
type LoadReport struct {
	// Boot identifies one start of the server.
	Boot string `cbor:"1,keyasint"`
	// Sequence increases with each report of one boot; an older report is dropped.
	Sequence uint64 `cbor:"2,keyasint"`
	Running  int    `cbor:"3,keyasint"`
	Waiting  int    `cbor:"4,keyasint"`
	// Warm is set if the server reports that it can handle its full load.
	Warm bool `cbor:"5,keyasint"`
	// Done is the number of calls completed since boot.
	Done uint64 `cbor:"6,keyasint"`
	// Fence is the highest fencing number that the server has accepted.
	Fence uint64 `cbor:"7,keyasint"`
	// Model is the loaded model, as "model@version".
	Model string        `cbor:"8,keyasint"`
	Role  string        `cbor:"9,keyasint"`
	Age   time.Duration `cbor:"10,keyasint"`
}

// ServerSilent reports that a backend server sent no load report in time.
type ServerSilent struct{ Server ServerID }

// OrderEnded is a backend server's answer to an order.
type OrderEnded struct {
	Server ServerID
	Fence  uint64
	Done   bool
	// StaleFence is set if the server refused the order because it has seen a higher
	// fencing number.
	StaleFence bool
}

// StopRequested reports a request to stop the process; a second one sets SkipNotice: new
// requests are then refused at once, without the notice period.
type StopRequested struct{ SkipNotice bool }

func (Tick) event()           {}
func (RequestArrived) event() {}
func (CallerGone) event()     {}
func (ForwardEnded) event()   {}
func (StageRequested) event() {}
func (CallProgress) event()   {}
func (CallSilent) event()     {}
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

// Scale multiplies a duration.
func Scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
