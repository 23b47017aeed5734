package peers

import (
	"context"
	"time"

	shed "jasmineshed"

	"storj.io/drpc"
)

const rpcReserve = "/peers/Reserve"

// ReserveCall asks the coordinator of a pool to admit a request, or to keep pieces of the pool for it from
// some time on.
type ReserveCall struct {
	Pool    shed.PoolID     `cbor:"1,keyasint"`
	Request shed.RequestRef `cbor:"2,keyasint"`
	// Pieces is the number of pieces that the request needs from the pool. A call without pieces asks for
	// nothing: it probes whether the daemon answers.
	Pieces int `cbor:"3,keyasint"`
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int `cbor:"4,keyasint,omitempty"`
	// ToTarget and ToDeadline are the times left until the target and the deadline of the answer.
	ToTarget   time.Duration `cbor:"5,keyasint,omitempty"`
	ToDeadline time.Duration `cbor:"6,keyasint"`
	// Needed is the time to the target that the caller's forecast requires, with Queue spent queueing in
	// the pool; Least is that time with an empty queue.
	Needed time.Duration `cbor:"7,keyasint"`
	Queue  time.Duration `cbor:"8,keyasint,omitempty"`
	Least  time.Duration `cbor:"9,keyasint,omitempty"`
	// ResultBytes is the approximate size of the result of one piece; 0 if not known.
	ResultBytes int64 `cbor:"10,keyasint,omitempty"`
}

// isValid reports whether the values of the call are in range. The target may have passed.
func (c ReserveCall) isValid() bool {
	return c.Pieces >= 0 && c.Rank >= 0 && c.ToDeadline > 0 && c.Needed >= 0 && c.Queue >= 0 && c.Least >= 0 && c.ResultBytes >= 0
}

// ReserveReply is the answer to a ReserveCall.
type ReserveReply struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	// Wait is the time until the reservation of a request that isn't granted; 0 if it has none.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	// ToTarget, if not 0, is the time left to the target of a request that is granted by its reservation.
	ToTarget time.Duration `cbor:"4,keyasint,omitempty"`
	// Moved: the daemon doesn't coordinate the pool any more; the caller decides alone.
	Moved bool `cbor:"3,keyasint,omitempty"`
}

func receiveReserve(srv any, _ context.Context, in1, in2 any) (drpc.Message, error) { //nolint:revive // drpc.Receiver fixes the order
	call, stream := in1.(*ReserveCall), in2.(drpc.Stream)
	if !call.isValid() {
		return nil, ErrBadMessage
	}
	out := &sender{stream: stream}
	reply := srv.(RelayHandler).Reserve(*call)
	return nil, out.send(&reply)
}

// Reserve asks a peer that coordinates a pool for a reservation.
func (c *Client) Reserve(ctx context.Context, to shed.VM, call ReserveCall) (ReserveReply, error) {
	var reply ReserveReply
	err := c.call(ctx, to, rpcReserve, &call, &reply)
	return reply, err
}
