package peers

import (
	"context"
	"time"

	shed "jasmineshed"
)

// The names of the calls between daemons.
const (
	rpcControl = "/peers/Control"
	rpcStage   = "/peers/StageInParts"
	rpcRequest = "/peers/RequestInParts"
)

// beatEvery is how often the far side of a stream says that it still lives
// when it has nothing else to say.
const beatEvery = 200 * time.Millisecond

// received acknowledges a control message.
type received struct{}

// StageCall hands one stage call over.
type StageCall struct {
	From    shed.Peer         `cbor:"1,keyasint"`
	Request shed.StageRequest `cbor:"2,keyasint"`
	Payload shed.Payload      `cbor:"3,keyasint"`
	// Trace carries the trace context, by header name.
	Trace map[string]string `cbor:"4,keyasint,omitempty"`
}

// stageReply is one message of the far side of a stage call. An empty one is a
// heartbeat. After End nothing more comes.
type stageReply struct {
	Frame *shed.Frame     `cbor:"1,keyasint,omitempty"`
	End   *shed.CallEnded `cbor:"2,keyasint,omitempty"`
}

// RequestCall hands a whole request over to the home of its ticket.
type RequestCall struct {
	From    shed.Peer    `cbor:"1,keyasint"`
	To      shed.Peer    `cbor:"2,keyasint"`
	Request shed.Request `cbor:"3,keyasint"`
	// Fetch only reads the answer; it never starts the request.
	Fetch bool              `cbor:"4,keyasint,omitempty"`
	Trace map[string]string `cbor:"5,keyasint,omitempty"`
}

// requestReply is one message of the far side of a request. An empty one is a
// heartbeat. After Answer nothing more comes.
type requestReply struct {
	Update *shed.Update `cbor:"1,keyasint,omitempty"`
	Answer *shed.Answer `cbor:"2,keyasint,omitempty"`
	// NotHome: the far side is another incarnation than the one meant.
	NotHome bool `cbor:"3,keyasint,omitempty"`
}

// Handler is what a daemon does for its peers.
type Handler interface {
	// Stage runs one stage call, passing each frame to send.
	Stage(ctx context.Context, call StageCall, send func(shed.Frame) error) shed.CallEnded
	// Request runs or fetches a ticketed request; false if To is not this
	// process.
	Request(ctx context.Context, call RequestCall, update func(shed.Update)) (shed.Answer, bool)
	controller
}

// controller takes control messages.
type controller interface {
	// Control takes a control message. It does not block.
	Control(from shed.Peer, msg shed.Message)
}
