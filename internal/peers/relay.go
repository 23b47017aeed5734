package peers

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	shed "jasmineshed"

	"storj.io/drpc"
)

// Method names of the calls between relaying daemons.
const (
	rpcPieces = "/peers/Pieces"
	rpcItems  = "/peers/PackedItems"
	rpcTurn   = "/peers/Turn"
)

// PieceCall requests pieces from the daemon that coordinates a pool.
type PieceCall struct {
	From   shed.Peer    `cbor:"1,keyasint"`
	Pool   shed.PoolID  `cbor:"2,keyasint"`
	Pieces []shed.Piece `cbor:"3,keyasint"`
	// Inputs of all the pieces, in place of one list in each: the pieces of a step need the same
	// inputs, and separate lists would be most of the message.
	Inputs []shed.ResultRef `cbor:"4,keyasint,omitempty"`
	// Origin is the request that all the pieces belong to.
	Origin shed.RequestRef `cbor:"5,keyasint"`
}

// pack moves the pieces' inputs into the call if all pieces have the same.
func (c PieceCall) pack() PieceCall {
	if len(c.Pieces) == 0 || len(c.Pieces[0].Inputs) == 0 {
		return c
	}
	inputs := c.Pieces[0].Inputs
	pieces := slices.Clone(c.Pieces)
	for i := range pieces {
		if !slices.Equal(pieces[i].Inputs, inputs) {
			return c
		}
		pieces[i].Inputs = nil
	}
	c.Pieces, c.Inputs = pieces, inputs
	return c
}

// unpack reverses pack, and sets the pieces' origin.
func (c PieceCall) unpack() PieceCall {
	for i := range c.Pieces {
		c.Pieces[i].Origin = c.Origin
		if len(c.Inputs) > 0 {
			c.Pieces[i].Inputs = c.Inputs
		}
	}
	return c
}

// pieceReply is one message of the remote side of a PieceCall. An empty one is a heartbeat. The
// one with Results is the last.
type pieceReply struct {
	Results []shed.PieceResult `cbor:"1,keyasint,omitempty"`
	Wait    *shed.PieceWait    `cbor:"2,keyasint,omitempty"`
}

// PieceAnswer is the answer to a PieceCall.
type PieceAnswer struct {
	// Results has one for each piece.
	Results []shed.PieceResult
	// Wait is the coordinator's predicted wait for the pool at the time of its answer; nil if it
	// gives none.
	Wait *shed.PieceWait
}

// ItemsCall requests the changes of the store after a revision that a peer knows of; all items
// if that is 0.
type ItemsCall struct {
	After shed.Revision `cbor:"1,keyasint"`
	// Known is the revision up to which the caller's state is complete; large values are sent as
	// a delta to their value at that revision, or to an empty one if it is 0.
	Known shed.Revision `cbor:"2,keyasint,omitempty"`
	// KnowsHashes: values that the caller has may be replaced by their hash.
	KnowsHashes bool `cbor:"3,keyasint,omitempty"`
}

// ItemsReply is the answer to an ItemsCall.
type ItemsReply struct {
	Items []shed.ItemChange `cbor:"1,keyasint,omitempty"`
	AsOf  shed.Revision     `cbor:"2,keyasint"`
}

// TurnCall requests a turn from the daemon that grants the turns of a server.
type TurnCall struct {
	Start shed.ServerStart `cbor:"1,keyasint"`
	// Rate is the server's rate limit, Burst how many unused turns may accumulate.
	Rate  shed.Rate `cbor:"2,keyasint"`
	Burst float64   `cbor:"3,keyasint"`
	// Patience is the longest time that the caller would wait for its turn.
	Patience time.Duration `cbor:"4,keyasint,omitempty"`
}

// TurnReply is the answer to a TurnCall.
type TurnReply struct {
	// Granted: the caller may send after Wait. If it is false, the next turn is due then.
	Granted bool          `cbor:"1,keyasint,omitempty"`
	Wait    time.Duration `cbor:"2,keyasint,omitempty"`
	// Moved: the daemon no longer grants turns; the caller has to ask another one.
	Moved bool `cbor:"3,keyasint,omitempty"`
}

// isValid reports whether the values of the call are in range.
func (c TurnCall) isValid() bool { return c.Rate > 0 && c.Burst >= 1 && c.Patience >= 0 }

// RelayHandler handles the calls of a relaying daemon's peers.
type RelayHandler interface {
	controlHandler
	// Pieces has the pieces run and returns their results.
	Pieces(ctx context.Context, call PieceCall) PieceAnswer
	// DiscardResults frees results that could not be sent to the daemon that requested them.
	DiscardResults(results []shed.PieceResult)
	// Items returns the changes of the store that this daemon knows of.
	Items(call ItemsCall) ItemsReply
	// Turn grants or refuses a turn at a server.
	Turn(call TurnCall) TurnReply
	// Permit grants or refuses a permit for a brittle server; it may wait.
	Permit(ctx context.Context, call PermitCall) PermitReply
	// ReturnPermit takes a permit back.
	ReturnPermit(m shed.PermitReturned)
	// Reserve admits a request that needs pieces, or promises it a time.
	Reserve(call ReserveCall) ReserveReply
	// StreamOrigin returns the origin of a stream, if this daemon knows it.
	StreamOrigin(call OriginCall) OriginReply
	// Held returns the versions of those servers in the call that wrote a stream.
	Held(ctx context.Context, call HeldCall) HeldReply
	// Connect opens the connection to a server that a peer asked this daemon to carry.
	Connect(ctx context.Context, call CarryCall) (net.Conn, CarryStatus)
	// MayCarry reports whether a request may be passed on over a connection that Connect opened.
	MayCarry(call CarryCall) bool
	// Disconnected is called once a connection that Connect opened is closed.
	Disconnected(call CarryCall)
}

// relayDescription lists the calls for drpc's mux.
type relayDescription struct{}

// NumMethods implements drpc.Description.
func (relayDescription) NumMethods() int { return 9 }

// Method implements drpc.Description.
func (relayDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return description{}.Method(0)
	case 1:
		return rpcPieces, wire, receivePieces, (func(RelayHandler, *PieceCall, drpc.Stream) error)(nil), true
	case 2:
		return rpcItems, wire, receiveItems,
			(func(RelayHandler, *ItemsCall, drpc.Stream) error)(nil), true
	case 3:
		return rpcTurn, wire, receiveTurn, (func(RelayHandler, *TurnCall, drpc.Stream) error)(nil), true
	case 4:
		return rpcCarry, wire, receiveCarry, (func(RelayHandler, *CarryCall, drpc.Stream) error)(nil), true
	case 5:
		return rpcPermit, wire, receivePermit, (func(RelayHandler, *PermitCall, drpc.Stream) error)(nil), true
	case 6:
		return rpcOrigin, wire, receiveOrigin, (func(RelayHandler, *OriginCall, drpc.Stream) error)(nil), true
	case 7:
		return rpcReserve, wire, receiveReserve, (func(RelayHandler, *ReserveCall, drpc.Stream) error)(nil), true
	case 8:
		return rpcHeld, wire, receiveHeld, (func(RelayHandler, *HeldCall, drpc.Stream) error)(nil), true
	}
	return "", nil, nil, nil, false
}

func receivePieces(srv any, _ context.Context, in1, in2 any) (drpc.Message, error) { //nolint:revive // drpc.Receiver fixes the order
	call, stream := in1.(*PieceCall), in2.(drpc.Stream)
	out := &sender{stream: stream}
	stop := out.startHeartbeats(&pieceReply{})
	defer stop()
	answer := srv.(RelayHandler).Pieces(stream.Context(), call.unpack())
	err := out.send(&pieceReply{Results: answer.Results, Wait: answer.Wait})
	if err != nil {
		srv.(RelayHandler).DiscardResults(answer.Results)
	}
	return nil, err
}

func receiveItems(srv any, _ context.Context, in1, in2 any) (drpc.Message, error) { //nolint:revive // drpc.Receiver fixes the order
	call, stream := in1.(*ItemsCall), in2.(drpc.Stream)
	out := &sender{stream: stream}
	stop := out.startHeartbeats(&part{})
	defer stop()
	reply := srv.(RelayHandler).Items(*call)
	return nil, sendParts(&reply, func(p *part) error { return out.send(p) })
}

func receiveTurn(srv any, _ context.Context, in1, in2 any) (drpc.Message, error) { //nolint:revive // drpc.Receiver fixes the order
	call, stream := in1.(*TurnCall), in2.(drpc.Stream)
	if !call.isValid() {
		return nil, ErrBadMessage
	}
	out := &sender{stream: stream}
	reply := srv.(RelayHandler).Turn(*call)
	return nil, out.send(&reply)
}

// Turn requests a turn at a server from a peer.
func (c *Client) Turn(ctx context.Context, to shed.VM, call TurnCall) (TurnReply, error) {
	var reply TurnReply
	err := c.call(ctx, to, rpcTurn, &call, &reply)
	return reply, err
}

// errResultCount is returned when the number of results is not that of the pieces.
var errResultCount = errors.New("peer returned a wrong number of results")

// Pieces requests pieces from a peer. After an error none of them is known to have been run;
// running them again is harmless.
func (c *Client) Pieces(ctx context.Context, to shed.VM, call PieceCall) (PieceAnswer, error) {
	call.From = c.cfg.Self
	packed := call.pack()
	s, err := c.startCall(ctx, to, rpcPieces, &packed)
	if err != nil {
		return PieceAnswer{}, err
	}
	defer s.close()
	for {
		var reply pieceReply
		if err := s.recv(&reply); err != nil {
			return PieceAnswer{}, err
		}
		if len(reply.Results) == len(call.Pieces) {
			return PieceAnswer(reply), nil
		}
		if len(reply.Results) > 0 {
			return PieceAnswer{}, errResultCount
		}
	}
}

// Items requests changes of the store from a peer. It times out when nothing was received for
// heartbeatTimeout, not when the whole transfer takes long: otherwise a large configuration over
// a low-bandwidth link would be aborted and restarted each time, and never be complete.
func (c *Client) Items(ctx context.Context, to shed.VM, call ItemsCall) (ItemsReply, error) {
	s, err := c.startCall(ctx, to, rpcItems, &call)
	if err != nil {
		return ItemsReply{}, err
	}
	defer s.close()
	var reply ItemsReply
	err = readParts(part{}, func(p *part) error { return s.recv(p) }, &reply)
	return reply, err
}
