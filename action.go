package shed

import "time"

// Action is what a decision asks its driver to do.
type Action interface{ action() }

// StartCall asks to send the call to a backend server of this zone. The driver ends it
// with exactly one CallEnded.
type StartCall struct {
	Call   Call
	Server ServerID
	URL    string
	Stage  Stage
	Model  ModelID
	// SendBy is the last moment at which the driver may still send; past it the
	// call ends as EndNotStarted. It bounds what a process that was paused
	// between the decision and the send can do.
	SendBy time.Time
	// Deadline is when the result is worth nothing any more.
	Deadline time.Time
	// Priority for the engine: smaller is more urgent.
	Priority int
	// IdleTimeout is the longest time without a frame before the call is broken.
	IdleTimeout time.Duration
	// ResumeFrom is how many tokens are already here; above 0 the driver asks
	// the engine to go on with the stream of call Resumes from there.
	ResumeFrom Tokens
	Resumes    Call
}

// ForwardStage asks to hand the stage call to a peer. The driver ends it with exactly one
// CallEnded.
type ForwardStage struct {
	To          VM
	Request     StageRequest
	SendBy      time.Time
	Deadline    time.Time
	IdleTimeout time.Duration
}

// ForwardRequest asks to hand the whole request to the home of its ticket and pass the
// answer through. The driver finishes it by itself: with the home's answer, or
// as OutcomeUnknown if the link breaks after a byte left.
type ForwardRequest struct {
	Request  RequestID
	To       Peer
	Deadline time.Time
}

// JoinRequest says that the request already runs or ended here; the caller gets what the
// first one gets.
type JoinRequest struct{ Request RequestID }

// RefuseStage answers a StageRequested that was not run.
type RefuseStage struct {
	Call       Call
	Reason     Reason
	RetryAfter time.Duration
}

// CancelCall says that nobody wants the call's result any more; tell the engine.
type CancelCall struct {
	Call   Call
	Reason Reason
}

// StageDone says that the stage's result, as produced by Call, is now the input of the
// next stage. Other attempts' results are thrown away.
type StageDone struct{ Call Call }

// Finish gives the request its final answer. There is exactly one for each
// Arrived, except where ForwardRequest or JoinRequest answers.
type Finish struct {
	Request    RequestID
	Outcome    Outcome
	Reason     Reason
	Rule       Origin
	RetryAfter time.Duration
	Stages     []StageReport
}

// SendPeer sends a control message; it may be lost.
type SendPeer struct {
	To      VM
	Message Message
}

// ReadConfig reads the configuration from the platform. With Wait it is a
// watch: it returns once there is a revision above After, or after Wait.
type ReadConfig struct {
	After Revision
	Wait  time.Duration
	// Have are the parts that need not be read again.
	Have []PartHash
}

// ReadVMs reads the platform's list of VMs.
type ReadVMs struct{}

// RulesInForce says that the daemon now follows these rules.
type RulesInForce struct{ Rules *Rules }

// PollServer asks a backend server for its load report.
type PollServer struct {
	Server ServerID
	URL    string
}

// SendOrder orders an engine to load a model or to change its role.
type SendOrder struct {
	Server ServerID
	URL    string
	Fence  uint64
	Model  ModelID
	// Version and Adapters of the model.
	Version  string
	Adapters []string
	Role     string
}

// SetReady tells the balancer whether this VM takes requests.
type SetReady struct{ SetReady bool }

// Note records why something was decided, for explain, logs and metrics.
type Note struct {
	Reason  Reason
	Request RequestID
	Server  ServerID
	Zone    ZoneID
	Peer    VM
	Rule    Origin
	// Count is how many like it this note stands for; 0 means 1.
	Count int
}

// Exit says that everything is done; the process may end.
type Exit struct{}

func (StartCall) action()      {}
func (ForwardStage) action()   {}
func (ForwardRequest) action() {}
func (JoinRequest) action()    {}
func (RefuseStage) action()    {}
func (CancelCall) action()     {}
func (StageDone) action()      {}
func (Finish) action()         {}
func (SendPeer) action()       {}
func (ReadConfig) action()     {}
func (ReadVMs) action()        {}
func (RulesInForce) action()   {}
func (PollServer) action()     {}
func (SendOrder) action()      {}
func (SetReady) action()       {}
func (Note) action()           {}
func (Exit) action()           {}
