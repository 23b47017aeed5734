package peers

import (
	"context"

	shed "jasmineshed"

	"storj.io/drpc"
)

const rpcOrigin = "/peers/StreamOrigin"

// OriginCall asks for the origin of a stream.
type OriginCall struct {
	Key shed.StreamKey `cbor:"1,keyasint"`
}

// OriginReply is the answer to an OriginCall. Origin is only valid if Known is set.
type OriginReply struct {
	Known  bool              `cbor:"1,keyasint,omitempty"`
	Origin shed.StreamOrigin `cbor:"2,keyasint"`
}

func receiveOrigin(srv any, _ context.Context, in1, in2 any) (drpc.Message, error) { //nolint:revive // drpc.Receiver fixes the order
	call, stream := in1.(*OriginCall), in2.(drpc.Stream)
	out := &sender{stream: stream}
	reply := srv.(RelayHandler).StreamOrigin(*call)
	return nil, out.send(&reply)
}

// StreamOrigin asks a peer for the origin of a stream.
func (c *Client) StreamOrigin(ctx context.Context, to shed.VM, call OriginCall) (OriginReply, error) {
	var reply OriginReply
	err := c.call(ctx, to, rpcOrigin, &call, &reply)
	return reply, err
}
