package peers

import (
	"context"

	shed "jasmineshed"

	"storj.io/drpc"
)

const rpcHeld = "/peers/Held"

// HeldCall asks which of some servers wrote a stream. Servers are those whose caches the called daemon reads for all.
type HeldCall struct {
	Servers []shed.ServerID `cbor:"1,keyasint"`
	// Part is the last part of the stream's prompt, Written how many tokens were written after it at least.
	Part    shed.PromptPart `cbor:"2,keyasint"`
	Written shed.Tokens     `cbor:"3,keyasint"`
}

// HeldReply is the answer to a HeldCall: the software version of each of the servers that wrote the stream.
type HeldReply struct {
	Versions []shed.SoftwareVersion `cbor:"1,keyasint,omitempty"`
}

func receiveHeld(srv any, _ context.Context, in1, in2 any) (drpc.Message, error) { //nolint:revive // drpc.Receiver fixes the order
	call, stream := in1.(*HeldCall), in2.(drpc.Stream)
	out := &sender{stream: stream}
	reply := srv.(RelayHandler).Held(stream.Context(), *call)
	return nil, out.send(&reply)
}

// Held asks a peer which servers wrote a stream.
func (c *Client) Held(ctx context.Context, to shed.VM, call HeldCall) (HeldReply, error) {
	var reply HeldReply
	err := c.call(ctx, to, rpcHeld, &call, &reply)
	return reply, err
}
