// Package delta compresses large values as the difference to a value that the receiver already
// has, so that the cost of sending a change depends on the size of the change, not of the value.
package delta

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// maxValueSize bounds an unpacked value, in bytes: a packed one may claim any size.
	maxValueSize = 16 << 20
	// windowSize is the zstd window, in bytes: it exceeds a base plus a value of the largest
	// size that the store accepts.
	windowSize = 4 << 20
	// dictionaryID identifies the base as the dictionary of the packed form.
	dictionaryID = 1
)

// ErrUnpack is returned for a value that can't be unpacked with the given base.
var ErrUnpack = errors.New("cannot unpack value with the given base")

// Pack packs a value as its difference to base, which may be empty.
func Pack(value, base []byte) ([]byte, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowSize), zstd.WithLowerEncoderMem(true),
		// The checksum detects a base that differs from the sender's.
		zstd.WithEncoderCRC(true),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionaryID, base))
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

// Unpack reverses Pack, given the same base.
func Unpack(packed, base []byte) ([]byte, error) {
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxValueSize)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionaryID, base))
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
