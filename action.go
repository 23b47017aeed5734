package shed

import "time"

// Action is an instruction from a decision package to its driver.
type Action interface{ action() }

// StartCall sends the call to a backend server of this zone. The driver reports its end
// with exactly one CallEnded.
type StartCall struct {
	Call   Call
	Server ServerID
	URL    string
	Stage  Stage
	Model  ModelID
	// SendBy is the latest time at which the driver may send; after it the call
	// ends as EndNotStarted. This keeps a process that was paused between the
	// decision and the send from acting on an outdated decision.
	SendBy time.Time
	// Deadline is the time after which the result has no value.
	Deadline time.Time
	// Priority for the engine: lower is more urgent.
	Priority int
	// IdleTimeout is the longest gap between frames before the call counts as silent.
	IdleTimeout time.Duration
	// ReportSilence is set if a silent call goes on and is reported with CallSilent. Otherwise
	// it ends as broken.
	ReportSilence bool
	// ResumeFrom is the number of tokens already received; above 0 the driver
	// asks the engine to continue the stream of the call Resumes from there.
	ResumeFrom Tokens
	Resumes    Call
}

// ForwardStage forwards the stage call to a peer. The driver reports its end with exactly
// one CallEnded.
type ForwardStage struct {
	To          VM
	Request     StageRequest
	SendBy      time.Time
	Deadline    time.Time
	IdleTimeout time.Duration
}

// ForwardRequest forwards the whole request to the home of its ticket and relays the
// answer. The driver finishes the request itself: with the home's answer, or
// as OutcomeUnknown if the link breaks after a byte was sent.
type ForwardRequest struct {
	Request  RequestID
	To       Peer
	Deadline time.Time
}

// JoinRequest reports that the request is already running or finished here; the caller
// gets the answer of the first one.
type JoinRequest struct{ Request RequestID }

// RefuseStage answers a StageRequested whose call was not run.
type RefuseStage struct {
	Call       Call
	Reason     Reason
	RetryAfter time.Duration
}

// CancelCall cancels a call whose result is no longer needed, at the engine too. With
// ReasonSilent, another call replaces it: it then ends as EndBroken, since its work may still
// run, and its frames no longer count. With ReasonStaleAttempt, it is the replacement of a silent
// call that went on; its frames don't count either.
type CancelCall struct {
	Call   Call
	Reason Reason
}

// StageDone selects the result produced by Call as the input of the next stage. Results
// of other attempts are discarded.
type StageDone struct{ Call Call }

// Finish is the final answer to a request. There is exactly one for each
// RequestArrived, except where ForwardRequest or JoinRequest answers.
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
	// Have lists the parts already held, which need not be read again.
	Have []PartHash
}

// ReadVMs reads the platform's list of VMs.
type ReadVMs struct{}

// RulesInForce reports the rules that the daemon applies from now on.
type RulesInForce struct{ Rules *Rules }

// PollServer asks a backend server for its load report.
type PollServer struct {
	Server ServerID
	URL    string
}

// SendOrder sends an engine the order to load a model or to change its role.
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

// SetReady tells the load balancer whether this VM accepts requests.
type SetReady struct{ Ready bool }

// Note records the reason for a decision, for explain, logs and metrics.
type Note struct {
	Reason  Reason
	Request RequestID
	Server  ServerID
	Zone    ZoneID
	Peer    VM
	Rule    Origin
	// Count is the number of equal decisions that this note stands for; 0 means 1.
	Count int
}

// Exit reports that all work is finished and the process may end.
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
