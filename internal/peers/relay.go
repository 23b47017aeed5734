package peers

import (
	"context"
	"errors"
	"slices"
	"time"

	shed "jasmineshed"

	"storj.io/drpc"
)

// The names of the calls between relaying daemons.
const (
	rpcPieces = "/peers/Pieces"
	rpcItems  = "/peers/PackedItems"
	rpcTurn   = "/peers/Turn"
)

// PieceCall asks the daemon that gathers the pieces for a pool.
type PieceCall struct {
	From   shed.Peer    `cbor:"1,keyasint"`
	Pool   shed.PoolID  `cbor:"2,keyasint"`
	Pieces []shed.Piece `cbor:"3,keyasint"`
	// Inputs of all the pieces, in place of one list in each: a step's pieces
	// need the same, and together the lists are most of the bytes.
	Inputs []shed.ResultRef `cbor:"4,keyasint,omitempty"`
	// Origin is the request of all the pieces.
	Origin shed.RequestRef `cbor:"5,keyasint"`
}

// pack moves inputs that all pieces have out of them.
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

// unpack undoes pack.
func (c PieceCall) unpack() PieceCall {
	for i := range c.Pieces {
		c.Pieces[i].Origin = c.Origin
		if len(c.Inputs) > 0 {
			c.Pieces[i].Inputs = c.Inputs
		}
	}
	return c
}

// pieceReply is one message of the far side of a PieceCall. An empty one is a
// heartbeat. After Results nothing more comes.
type pieceReply struct {
	Results []shed.PieceResult `cbor:"1,keyasint,omitempty"`
	Wait    *shed.PieceWait    `cbor:"2,keyasint,omitempty"`
}

// PieceAnswer answers a PieceCall.
type PieceAnswer struct {
	// Results has one for each piece.
	Results []shed.PieceResult
	// Wait is what is foreseen for the pool at the daemon that gathers, as of its
	// answer; nil if it doesn't say.
	Wait *shed.PieceWait
}

// ItemsCall asks for what a peer knows to have changed in the store after a
// revision; for all items if that is 0.
type ItemsCall struct {
	After shed.Revision `cbor:"1,keyasint"`
	// Known is the revision up to which the caller knows all; large values come as
	// the difference to what they were then, or to nothing if it is 0.
	Known shed.Revision `cbor:"2,keyasint,omitempty"`
}

// ItemsReply answers an ItemsCall.
type ItemsReply struct {
	Items []shed.ItemChange `cbor:"1,keyasint,omitempty"`
	AsOf  shed.Revision     `cbor:"2,keyasint"`
}

// TurnCall asks the daemon that lends the turns of a server for one.
type TurnCall struct {
	Start shed.ServerStart `cbor:"1,keyasint"`
	// Rate is what the server takes, Burst how many turns may be saved up.
	Rate  shed.Rate `cbor:"2,keyasint"`
	Burst float64   `cbor:"3,keyasint"`
	// Patience is how long the caller would wait for its turn.
	Patience time.Duration `cbor:"4,keyasint,omitempty"`
}

// TurnReply answers a TurnCall.
type TurnReply struct {
	// Granted: the caller may send after Wait; else a turn is due then.
	Granted bool          `cbor:"1,keyasint,omitempty"`
	Wait    time.Duration `cbor:"2,keyasint,omitempty"`
	// Moved: the daemon lends no turns any more; ask another one.
	Moved bool `cbor:"3,keyasint,omitempty"`
}

// valid tells whether the call makes sense.
func (c TurnCall) valid() bool { return c.Rate > 0 && c.Burst >= 1 && c.Patience >= 0 }

// RelayHandler is what a relaying daemon does for its peers.
type RelayHandler interface {
	controller
	// Pieces has the pieces made.
	Pieces(ctx context.Context, call PieceCall) PieceAnswer
	// DiscardResults gives up results that did not reach the daemon that asked.
	DiscardResults(results []shed.PieceResult)
	// Items returns what this daemon knows of the store.
	Items(call ItemsCall) ItemsReply
	// Turn lends a turn at a server.
	Turn(call TurnCall) TurnReply
}

// relayDescription lists the calls for drpc's mux.
type relayDescription struct{}

// NumMethods implements drpc.Description.
func (relayDescription) NumMethods() int { return 4 }

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
	}
	return "", nil, nil, nil, false
}

func receivePieces(srv any, _ context.Context, in1, in2 any) (drpc.Message, error) { //nolint:revive // drpc.Receiver fixes the order
	call, stream := in1.(*PieceCall), in2.(drpc.Stream)
	out := &sender{stream: stream}
	stop := out.beat(&pieceReply{})
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
	stop := out.beat(&part{})
	defer stop()
	reply := srv.(RelayHandler).Items(*call)
	return nil, sendParts(&reply, func(p *part) error { return out.send(p) })
}

func receiveTurn(srv any, _ context.Context, in1, in2 any) (drpc.Message, error) { //nolint:revive // drpc.Receiver fixes the order
	call, stream := in1.(*TurnCall), in2.(drpc.Stream)
	if !call.valid() {
		return nil, ErrBadMessage
	}
	out := &sender{stream: stream}
	reply := srv.(RelayHandler).Turn(*call)
	return nil, out.send(&reply)
}

// Turn asks a peer for a turn at a server.
func (c *Client) Turn(ctx context.Context, to shed.VM, call TurnCall) (TurnReply, error) {
	s, err := c.open(ctx, to, rpcTurn, false)
	if err != nil {
		return TurnReply{}, err
	}
	defer s.close()
	if err := s.send(&call); err != nil {
		return TurnReply{}, err
	}
	var reply TurnReply
	err = s.recv(&reply)
	return reply, err
}

// errNoResults: the far side ended its answer without results.
var errNoResults = errors.New("peer gave no results")

// Pieces asks a peer for pieces. After an error none of them is known to be
// made; making them again does no harm.
func (c *Client) Pieces(ctx context.Context, to shed.VM, call PieceCall) (PieceAnswer, error) {
	call.From = c.cfg.Self
	s, err := c.open(ctx, to, rpcPieces, false)
	if err != nil {
		return PieceAnswer{}, err
	}
	defer s.close()
	packed := call.pack()
	if err := s.send(&packed); err != nil {
		return PieceAnswer{}, err
	}
	for {
		var reply pieceReply
		if err := s.recv(&reply); err != nil {
			return PieceAnswer{}, err
		}
		if len(reply.Results) == len(call.Pieces) {
			return PieceAnswer(reply), nil
		}
		if len(reply.Results) > 0 {
			return PieceAnswer{}, errNoResults
		}
	}
}

// Items asks a peer for what it knows of the store. It ends when nothing has come for a
// while, not when it takes long: a large configuration over a small link would be
// broken off and begun anew each time, and never be there whole.
func (c *Client) Items(ctx context.Context, to shed.VM, call ItemsCall) (ItemsReply, error) {
	s, err := c.open(ctx, to, rpcItems, false)
	if err != nil {
		return ItemsReply{}, err
	}
	defer s.close()
	if err := s.send(&call); err != nil {
		return ItemsReply{}, err
	}
	var reply ItemsReply
	err = readParts(part{}, func(p *part) error { return s.recv(p) }, &reply)
	return reply, err
}
