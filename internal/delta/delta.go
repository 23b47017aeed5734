// Package delta packs large values as the difference to a value that the receiver
// has already, so that passing on a change costs what has changed, not what the whole
// value holds.
package delta

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// maxValue bounds an unpacked value, in bytes: a packed one may claim any size.
	maxValue = 16 << 20
	// window is how far back a difference may refer, in bytes: a base and a value of
	// the largest size that the store takes, and more.
	window = 4 << 20
	// dictionary is the number that a base is known by in the packed form.
	dictionary = 1
)

// ErrUnpack is returned for what can't be unpacked with the base given.
var ErrUnpack = errors.New("value can't be unpacked")

// Pack packs a value as its difference to base, which may be empty.
func Pack(value, base []byte) ([]byte, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true),
		// The checksum finds a base that isn't the sender's.
		zstd.WithEncoderCRC(true),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionary, base))
	}
	enc, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	packed := enc.EncodeAll(value, nil)
	if err := enc.Close(); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return packed, nil
}

// Unpack undoes Pack with the same base.
func Unpack(packed, base []byte) ([]byte, error) {
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxValue)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionary, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnpack, err)
	}
	defer dec.Close()
	value, err := dec.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnpack, err)
	}
	return value, nil
}
