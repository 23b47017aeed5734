package peers

import (
	"fmt"

	"storj.io/drpc"
)

// partSize is the size in bytes of the parts of a large message. Each part that is sent or
// received shows that the transfer makes progress, so it must take well below heartbeatTimeout
// on a busy low-bandwidth link.
const partSize = 16 << 10

// part is one part of an encoded message that may be large. An empty one is a heartbeat. Last
// marks the final part.
type part struct {
	Bytes []byte `cbor:"1,keyasint,omitempty"`
	Last  bool   `cbor:"2,keyasint,omitempty"`
}

// sendParts sends a message in parts.
func sendParts(msg drpc.Message, send func(*part) error) error {
	data, err := wire.Marshal(msg)
	if err != nil {
		return err
	}
	for {
		p := part{Bytes: data[:min(partSize, len(data))]}
		data = data[len(p.Bytes):]
		p.Last = len(data) == 0
		if err := send(&p); err != nil || p.Last {
			return err
		}
	}
}

// readParts reads a message in parts, the first of which is already received and may be empty.
func readParts(first part, recv func(*part) error, into drpc.Message) error {
	var data []byte
	p := &first
	for {
		data = append(data, p.Bytes...)
		if p.Last {
			return wire.Unmarshal(data, into)
		}
		if len(data) > maxMessage {
			return fmt.Errorf("%w: over %d bytes", ErrBadMessage, maxMessage)
		}
		p = &part{}
		if err := recv(p); err != nil {
			return err
		}
	}
}
