package shed

import (
	"context"
	"errors"
	"time"
)

// Passage is a piece of text found by a retriever.
type Passage struct {
	ID    string  `cbor:"1,keyasint" json:"id"`
	Text  string  `cbor:"2,keyasint" json:"text"`
	Score float64 `cbor:"3,keyasint" json:"score"`
}

// Payload is the data that the stages of one request work on. Each stage sets
// its own fields and leaves the others unchanged.
type Payload struct {
	// Input is the caller's text.
	Input string `cbor:"1,keyasint" json:"input"`
	// Vector is set by an encode stage.
	Vector []float32 `cbor:"2,keyasint,omitempty" json:"vector,omitempty"`
	// Passages are set by a retrieve stage and sorted by a rerank stage.
	Passages []Passage `cbor:"3,keyasint,omitempty" json:"passages,omitempty"`
	// Text is set by a generate stage.
	Text string `cbor:"4,keyasint,omitempty" json:"text,omitempty"`
	// Receipt is set by a plain service.
	Receipt string `cbor:"5,keyasint,omitempty" json:"receipt,omitempty"`
	// MaxTokens limits the output of a generate stage.
	MaxTokens Tokens `cbor:"6,keyasint,omitempty" json:"max_tokens,omitempty"`
}

// Frame is one piece of a call's result.
type Frame struct {
	Call Call `cbor:"1,keyasint"`
	// Sequence numbers the frames of the call from 0, without gaps.
	Sequence uint32 `cbor:"2,keyasint"`
	// Text is the next piece of a generate stage's text.
	Text   string `cbor:"3,keyasint,omitempty"`
	Tokens Tokens `cbor:"4,keyasint,omitempty"`
	// Server and Zone that produced the frame.
	Server ServerID `cbor:"5,keyasint,omitempty"`
	Zone   ZoneID   `cbor:"6,keyasint,omitempty"`
	// Last is set on the call's final frame, and on no other.
	Last bool `cbor:"7,keyasint,omitempty"`
	// Result is the payload after the stage; only on the final frame.
	Result *Payload `cbor:"8,keyasint,omitempty"`
	// Accepted marks a frame without any result, sent when the server has accepted
	// the call. It has no sequence number.
	Accepted bool `cbor:"9,keyasint,omitempty"`
	// Boot is the server's boot identity, on an Accepted frame if the server sent one.
	Boot string `cbor:"10,keyasint,omitempty"`
	// Silent marks a frame without any result, sent when nothing has arrived for the call for
	// this long; 0 on all others. It has no sequence number. Daemons that don't set
	// StageRequest.ReportSilence don't know it.
	Silent time.Duration `cbor:"11,keyasint,omitempty"`
	// LinkSilent is set on a Silent frame if the link to the peer is silent, and not the server
	// behind it. It is not sent to peers.
	LinkSilent bool `cbor:"-"`
}

// ErrReplaced is the cause with which the context of a silent call is cancelled when another call
// replaces it. The call ends as EndBroken with ReasonSilent.
var ErrReplaced = errors.New("silent call was replaced")

// Backend is a client of the backend servers. Implementations are safe for
// concurrent use and never retry a call.
type Backend interface {
	// Call runs one call to its end, passing each frame to sink in the order of
	// arrival, and returns how the call ended. Cancelling ctx cancels the call at
	// the server too. An error returned by sink ends the call as broken. Calls of sink never
	// overlap.
	Call(ctx context.Context, start StartCall, in Payload, sink func(Frame) error) CallEnded
	// Load requests a server's load report.
	Load(ctx context.Context, url string) (LoadReport, error)
	// Order sends an order to an engine.
	Order(ctx context.Context, order SendOrder) (OrderEnded, error)
}

// Platform is the platform's read-only interface.
type Platform interface {
	// Config reads the configuration; with read.Wait it is a watch. Along with an error,
	// the result holds the parts received before it.
	Config(ctx context.Context, read ReadConfig) (ConfigRead, error)
	// VMs reads the list of VMs, which lags behind the real state.
	VMs(ctx context.Context) ([]VMEntry, error)
}

// Request is a caller's request.
type Request struct {
	// ID is the ticket for a non-idempotent request; otherwise empty.
	ID        RequestID
	Workspace WorkspaceID
	// Token authenticates the caller for the workspace.
	Token    string
	Pipeline PipelineID
	Payload  Payload
	// Budget is the caller's own time limit, at most the pipeline's deadline; 0 means
	// the pipeline's deadline.
	Budget time.Duration
}

// Update reports progress of a request to its waiting caller.
type Update struct {
	// Stage that the update is about.
	Stage StageID
	// Text is the next piece of the answer.
	Text string
	// Reset is set if the text so far is void because the stage restarts from its
	// beginning.
	Reset bool
	// Done is set when the stage has completed successfully.
	Done *StageReport
}

// Answer is the only final answer to a request.
type Answer struct {
	Finish
	Payload Payload
	// Trace is the id of the request's trace.
	Trace string
}

// Ticket allows one run of a non-idempotent request.
type Ticket struct {
	ID      RequestID
	Expires time.Time
}

// Serving is the interface of a daemon to callers.
type Serving interface {
	// Serve runs the request and returns its final answer. It calls update, if
	// not nil, from a single goroutine, and never after it has returned.
	Serve(ctx context.Context, req Request, update func(Update)) Answer
	// Issue issues a ticket; a non-nil Finish is a refusal.
	Issue(ctx context.Context, req Request) (Ticket, *Finish)
	// Result returns the answer to a ticketed request; it waits if the request is
	// still running.
	Result(ctx context.Context, req Request) Answer
	// Ready reports whether the load balancer should send requests here.
	Ready() bool
}

// Home is the process at which a ticket's requests run.
type Home struct {
	// Self is set if the home is this process.
	Self bool
	// Forged is set if the ticket was never issued.
	Forged bool
	// Peer is the process that holds the ticket; zero if it no longer exists.
	Peer Peer
}
