package peers

import (
	"errors"
	"fmt"

	shed "jasmineshed"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Limits of a message from a peer. A configuration is pushed in one message; at the design size
// its text is smaller than 8 MB.
const (
	maxMessage  = 16 << 20
	maxElements = 1 << 17
	maxDepth    = 12
)

// ErrBadMessage is returned for a message that is invalid or can't be encoded or decoded.
var ErrBadMessage = errors.New("bad peer message")

// codec encodes drpc messages as CBOR.
type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

var _ drpc.Encoding = codec{}

// wire is the only codec of this package; its options are constant and valid.
var wire = newCodec()

func newCodec() codec {
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxDepth,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return codec{enc: enc, dec: dec}
}

// encoded is a message that is already encoded.
type encoded []byte

// Marshal implements drpc.Encoding.
func (c codec) Marshal(msg drpc.Message) ([]byte, error) {
	if e, ok := msg.(*encoded); ok {
		return *e, nil
	}
	b, err := c.enc.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("%w: encode: %w", ErrBadMessage, err)
	}
	return b, nil
}

// Unmarshal implements drpc.Encoding.
func (c codec) Unmarshal(buf []byte, msg drpc.Message) error {
	if err := c.dec.Unmarshal(buf, msg); err != nil {
		return fmt.Errorf("%w: decode: %w", ErrBadMessage, err)
	}
	return nil
}

// envelope holds one control message. Exactly one of the pointers is set.
type envelope struct {
	From         shed.Peer          `cbor:"1,keyasint"`
	Probe        *shed.Probe        `cbor:"2,keyasint,omitempty"`
	ProbeAck     *shed.ProbeAck     `cbor:"3,keyasint,omitempty"`
	ConfigDigest *shed.ConfigDigest `cbor:"4,keyasint,omitempty"`
	ConfigPull   *shed.ConfigPull   `cbor:"5,keyasint,omitempty"`
	ConfigPush   *shed.ConfigPush   `cbor:"6,keyasint,omitempty"`
	SlotRelease  *shed.SlotRelease  `cbor:"7,keyasint,omitempty"`
	LoadDigest   *shed.LoadDigest   `cbor:"8,keyasint,omitempty"`
	TicketMove   *shed.TicketMove   `cbor:"9,keyasint,omitempty"`
	RelayLoad    *shed.RelayLoad    `cbor:"10,keyasint,omitempty"`
	ResultsFreed *shed.ResultsFreed `cbor:"11,keyasint,omitempty"`
	// StoreUpdate got a new number when its items became packed: a daemon of an older version,
	// as during an upgrade of a fleet, would read packed bytes as a value.
	StoreUpdate *shed.StoreUpdate `cbor:"13,keyasint,omitempty"`
	CrashUpdate *shed.CrashUpdate `cbor:"14,keyasint,omitempty"`
	LimitUpdate *shed.LimitUpdate `cbor:"15,keyasint,omitempty"`

	LeavingUpdate *shed.LeavingUpdate `cbor:"16,keyasint,omitempty"`
	RestUpdate    *shed.RestUpdate    `cbor:"17,keyasint,omitempty"`

	PermitReturned *shed.PermitReturned `cbor:"18,keyasint,omitempty"`
	StreamBegan    *shed.StreamBegan    `cbor:"19,keyasint,omitempty"`
	UrgentUpdate   *shed.UrgentUpdate   `cbor:"20,keyasint,omitempty"`
}

// newEnvelope wraps a control message in an envelope.
func newEnvelope(from shed.Peer, msg shed.Message) (envelope, error) {
	e := envelope{From: from}
	switch m := msg.(type) {
	case shed.Probe:
		e.Probe = &m
	case shed.ProbeAck:
		e.ProbeAck = &m
	case shed.ConfigDigest:
		e.ConfigDigest = &m
	case shed.ConfigPull:
		e.ConfigPull = &m
	case shed.ConfigPush:
		e.ConfigPush = &m
	case shed.SlotRelease:
		e.SlotRelease = &m
	case shed.LoadDigest:
		e.LoadDigest = &m
	case shed.TicketMove:
		e.TicketMove = &m
	case shed.RelayLoad:
		e.RelayLoad = &m
	case shed.ResultsFreed:
		e.ResultsFreed = &m
	case shed.StoreUpdate:
		e.StoreUpdate = &m
	case shed.CrashUpdate:
		e.CrashUpdate = &m
	case shed.LimitUpdate:
		e.LimitUpdate = &m
	case shed.LeavingUpdate:
		e.LeavingUpdate = &m
	case shed.RestUpdate:
		e.RestUpdate = &m
	case shed.PermitReturned:
		e.PermitReturned = &m
	case shed.StreamBegan:
		e.StreamBegan = &m
	case shed.UrgentUpdate:
		e.UrgentUpdate = &m
	default:
		return envelope{}, fmt.Errorf("%w: no envelope for %T", ErrBadMessage, msg)
	}
	return e, nil
}

// unwrap returns the control message of an envelope.
func (e envelope) unwrap() (shed.Message, error) {
	switch {
	case e.Probe != nil:
		return *e.Probe, nil
	case e.ProbeAck != nil:
		return *e.ProbeAck, nil
	case e.ConfigDigest != nil:
		return *e.ConfigDigest, nil
	case e.ConfigPull != nil:
		return *e.ConfigPull, nil
	case e.ConfigPush != nil:
		return *e.ConfigPush, nil
	case e.SlotRelease != nil:
		return *e.SlotRelease, nil
	case e.LoadDigest != nil:
		return *e.LoadDigest, nil
	case e.TicketMove != nil:
		return *e.TicketMove, nil
	case e.RelayLoad != nil:
		return *e.RelayLoad, nil
	case e.ResultsFreed != nil:
		return *e.ResultsFreed, nil
	case e.StoreUpdate != nil:
		return *e.StoreUpdate, nil
	case e.CrashUpdate != nil:
		return *e.CrashUpdate, nil
	case e.LimitUpdate != nil:
		return *e.LimitUpdate, nil
	case e.LeavingUpdate != nil:
		return *e.LeavingUpdate, nil
	case e.RestUpdate != nil:
		return *e.RestUpdate, nil
	case e.PermitReturned != nil:
		return *e.PermitReturned, nil
	case e.StreamBegan != nil:
		return *e.StreamBegan, nil
	case e.UrgentUpdate != nil:
		return *e.UrgentUpdate, nil
	}
	return nil, fmt.Errorf("%w: empty envelope", ErrBadMessage)
}

// Size returns the encoded size of a control message in bytes, without the overhead of TCP.
func Size(from shed.Peer, msg shed.Message) (int, error) {
	e, err := newEnvelope(from, msg)
	if err != nil {
		return 0, err
	}
	b, err := wire.Marshal(&e)
	return len(b), err
}
