package peers

import (
	"context"
	"time"

	shed "jasmineshed"
)

// Method names of the calls between daemons.
const (
	rpcControl = "/peers/Control"
	rpcStage   = "/peers/StageInParts"
	rpcRequest = "/peers/RequestInParts"
)

// heartbeatInterval is how often the remote side of a stream sends a heartbeat when it has
// nothing else to send.
const heartbeatInterval = 200 * time.Millisecond

// ack acknowledges a control message.
type ack struct{}

// StageCall forwards one stage call.
type StageCall struct {
	From    shed.Peer         `cbor:"1,keyasint"`
	Request shed.StageRequest `cbor:"2,keyasint"`
	Payload shed.Payload      `cbor:"3,keyasint"`
	// Trace is the trace context, by header name.
	Trace map[string]string `cbor:"4,keyasint,omitempty"`
}

// stageReply is one message of the remote side of a stage call. An empty one is a heartbeat.
// End is the last message.
type stageReply struct {
	Frame *shed.Frame     `cbor:"1,keyasint,omitempty"`
	End   *shed.CallEnded `cbor:"2,keyasint,omitempty"`
}

// RequestCall forwards a whole request to the home of its ticket.
type RequestCall struct {
	From    shed.Peer    `cbor:"1,keyasint"`
	To      shed.Peer    `cbor:"2,keyasint"`
	Request shed.Request `cbor:"3,keyasint"`
	// Fetch only reads the answer and never starts the request.
	Fetch bool              `cbor:"4,keyasint,omitempty"`
	Trace map[string]string `cbor:"5,keyasint,omitempty"`
}

// requestReply is one message of the remote side of a request. An empty one is a heartbeat.
// Answer is the last message.
type requestReply struct {
	Update *shed.Update `cbor:"1,keyasint,omitempty"`
	Answer *shed.Answer `cbor:"2,keyasint,omitempty"`
	// NotHome: the remote side is not the incarnation that the call is addressed to.
	NotHome bool `cbor:"3,keyasint,omitempty"`
}

// Handler handles the calls of a daemon's peers.
type Handler interface {
	// Stage runs one stage call, passing each frame to send.
	Stage(ctx context.Context, call StageCall, send func(shed.Frame) error) shed.CallEnded
	// Request runs or fetches a ticketed request; false if To is not this process.
	Request(ctx context.Context, call RequestCall, update func(shed.Update)) (shed.Answer, bool)
	controlHandler
}

// controlHandler receives control messages.
type controlHandler interface {
	// Control handles a control message. It must not block.
	Control(from shed.Peer, msg shed.Message)
}
