package peers

import (
	"context"
	"time"

	shed "jasmineshed"

	"storj.io/drpc"
)

const rpcPermit = "/peers/Permit"

// PermitCall requests a permit to send to a brittle server from the daemon that grants them.
type PermitCall struct {
	Start shed.ServerStart `cbor:"1,keyasint"`
	// Slots is the number of requests that the server runs at once; 0 if not known.
	Slots int `cbor:"2,keyasint,omitempty"`
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int `cbor:"3,keyasint,omitempty"`
	// Patience is the longest wait for a permit, Lease how long it is valid.
	Patience time.Duration `cbor:"4,keyasint,omitempty"`
	Lease    time.Duration `cbor:"5,keyasint"`
	// ID is the permit's id; 0 if the owner is to assign one. Daemons of earlier versions choose none, and
	// as owners assign one all the same.
	ID uint64 `cbor:"6,keyasint,omitempty"`
}

// isValid reports whether the values of the call are in range.
func (c PermitCall) isValid() bool { return c.Slots >= 0 && c.Patience >= 0 && c.Lease > 0 }

// PermitReply is the answer to a PermitCall. A heartbeat has Pending set.
type PermitReply struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	// ID identifies the permit when it is given back.
	ID uint64 `cbor:"2,keyasint,omitempty"`
	// Wait is when to ask again if no permit is granted.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
	// Moved: the daemon grants no permits; the caller has to ask another one.
	Moved   bool `cbor:"4,keyasint,omitempty"`
	Pending bool `cbor:"5,keyasint,omitempty"`
}

func receivePermit(srv any, _ context.Context, in1, in2 any) (drpc.Message, error) { //nolint:revive // drpc.Receiver fixes the order
	call, stream := in1.(*PermitCall), in2.(drpc.Stream)
	if !call.isValid() {
		return nil, ErrBadMessage
	}
	out := &sender{stream: stream}
	stop := out.startHeartbeats(&PermitReply{Pending: true})
	defer stop()
	reply := srv.(RelayHandler).Permit(stream.Context(), *call)
	err := out.send(&reply)
	if err != nil && reply.Granted {
		srv.(RelayHandler).ReturnPermit(shed.PermitReturned{Start: call.Start, ID: reply.ID})
	}
	return nil, err
}

// Permit requests a permit from a peer.
func (c *Client) Permit(ctx context.Context, to shed.VM, call PermitCall) (PermitReply, error) {
	s, err := c.startCall(ctx, to, rpcPermit, &call)
	if err != nil {
		return PermitReply{}, err
	}
	defer s.close()
	for {
		var reply PermitReply
		if err := s.recv(&reply); err != nil || !reply.Pending {
			return reply, err
		}
	}
}
