package shed

import (
	"context"
	"time"
)

// Passage is one piece of text that a retriever found.
type Passage struct {
	ID    string  `cbor:"1,keyasint" json:"id"`
	Text  string  `cbor:"2,keyasint" json:"text"`
	Score float64 `cbor:"3,keyasint" json:"score"`
}

// Payload is what the stages of one request work on. Each stage fills in its
// part and leaves the rest as it came.
type Payload struct {
	// Input is the caller's text.
	Input string `cbor:"1,keyasint" json:"input"`
	// Vector is set by an encode stage.
	Vector []float32 `cbor:"2,keyasint,omitempty" json:"vector,omitempty"`
	// Passages are set by a retrieve stage and put in order by a rerank stage.
	Passages []Passage `cbor:"3,keyasint,omitempty" json:"passages,omitempty"`
	// Text is set by a generate stage.
	Text string `cbor:"4,keyasint,omitempty" json:"text,omitempty"`
	// Receipt is set by a plain service.
	Receipt string `cbor:"5,keyasint,omitempty" json:"receipt,omitempty"`
	// MaxTokens bounds what a generate stage produces.
	MaxTokens Tokens `cbor:"6,keyasint,omitempty" json:"max_tokens,omitempty"`
}

// Frame is one piece of a call's result.
type Frame struct {
	Call Call `cbor:"1,keyasint"`
	// Sequence counts the frames of the call from 0, without gaps.
	Sequence uint32 `cbor:"2,keyasint"`
	// Text is the next piece of a generate stage's text.
	Text   string `cbor:"3,keyasint,omitempty"`
	Tokens Tokens `cbor:"4,keyasint,omitempty"`
	// Server and Zone that produced it.
	Server ServerID `cbor:"5,keyasint,omitempty"`
	Zone   ZoneID   `cbor:"6,keyasint,omitempty"`
	// Last is set on the call's final frame, and on no other.
	Last bool `cbor:"7,keyasint,omitempty"`
	// Result is the payload after the stage; only on the final frame.
	Result *Payload `cbor:"8,keyasint,omitempty"`
	// Accepted marks a frame that carries nothing of the result: the server has
	// taken the call in. It has no sequence number.
	Accepted bool `cbor:"9,keyasint,omitempty"`
	// Boot is the server's boot identity, on an Accepted frame if it gave one.
	Boot string `cbor:"10,keyasint,omitempty"`
}

// Backend talks to the backend servers. Implementations are safe for use by
// many goroutines and never repeat a call by themselves.
type Backend interface {
	// Call runs one call to its end, handing each frame to sink in the order of
	// arrival. It returns the call's one end. Cancelling ctx cancels the call at
	// the server too. An error of sink ends the call as broken.
	Call(ctx context.Context, start StartCall, in Payload, sink func(Frame) error) CallEnded
	// Load asks a server for its load report.
	Load(ctx context.Context, url string) (LoadReport, error)
	// Order sends an order to an engine.
	Order(ctx context.Context, order SendOrder) (OrderEnded, error)
}

// Platform is what the platform gives; nothing can be written there.
type Platform interface {
	// Config reads the configuration; with read.Wait it is a watch. Beside an error,
	// the result has the parts that came before it.
	Config(ctx context.Context, read ReadConfig) (ConfigRead, error)
	// VMs reads the lagging list of VMs.
	VMs(ctx context.Context) ([]VMEntry, error)
}

// Request is what a caller asks for.
type Request struct {
	// ID is the ticket for a non-idempotent request; else empty.
	ID        RequestID
	Workspace WorkspaceID
	// Token proves that the caller may act for the workspace.
	Token    string
	Pipeline PipelineID
	Payload  Payload
	// Budget is the caller's own time limit; 0 takes the pipeline's deadline,
	// which also bounds it.
	Budget time.Duration
}

// Update tells a waiting caller what goes on with its request.
type Update struct {
	// Stage that the update is about.
	Stage StageID
	// Text is the next piece of the answer.
	Text string
	// Reset: forget the text so far; the stage runs again from its start.
	Reset bool
	// Done is set when the stage has ended well.
	Done *StageReport
}

// Answer is the one final answer to a request.
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

// Serving is what a daemon does for callers.
type Serving interface {
	// Serve runs the request and returns its final answer. It calls update, if
	// not nil, from one goroutine, and never after it returned.
	Serve(ctx context.Context, req Request, update func(Update)) Answer
	// Issue gives out a ticket; a Finish other than nil is a refusal.
	Issue(ctx context.Context, req Request) (Ticket, *Finish)
	// Result is the answer to a ticketed request, waiting for it if it runs.
	Result(ctx context.Context, req Request) Answer
	// Ready tells whether the balancer should send requests here.
	Ready() bool
}

// Home is where a ticket's requests run.
type Home struct {
	// Self says that it is this process.
	Self bool
	// Forged says that nobody ever gave out the ticket.
	Forged bool
	// Peer is the process that has the ticket; zero if it is gone.
	Peer Peer
}
