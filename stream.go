package shed

// StreamKey identifies a stream over all attempts of its caller.
type StreamKey uint64

// StreamOrigin is what began a stream. What servers of two software versions write doesn't fit
// together, so a stream can only be resumed at a server of its origin.
type StreamOrigin struct {
	Pool    PoolID          `cbor:"1,keyasint"`
	Version SoftwareVersion `cbor:"2,keyasint,omitempty"`
}

// StreamBegan tells a peer the origin of a stream, so that the stream can be resumed at a VM that
// doesn't know it after the one that does has ended.
type StreamBegan struct {
	Key    StreamKey    `cbor:"1,keyasint"`
	Origin StreamOrigin `cbor:"2,keyasint"`
}

func (StreamBegan) message() {}
