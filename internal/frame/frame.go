// Package frame passes on the frames of one call, which come from the goroutine that receives them and
// from the timer that reports silence.
package frame

import (
	"errors"
	"sync"

	shed "jasmineshed"
)

// ErrClosed is returned for a frame that comes after the end of its call.
var ErrClosed = errors.New("call has ended")

// Sink serializes frames. It is safe for concurrent use.
type Sink struct {
	send func(shed.Frame) error

	mu     sync.Mutex
	closed bool
}

// NewSink returns a Sink that passes frames to send.
func NewSink(send func(shed.Frame) error) *Sink { return &Sink{send: send} }

// Pass passes a frame on, unless the sink is closed.
func (s *Sink) Pass(f shed.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	return s.send(f)
}

// Close waits for a frame that is being passed on; no further one is.
func (s *Sink) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}
