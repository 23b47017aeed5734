package telem

import (
	"context"
	"io"
	"sync/atomic"
)

// maxLogLines bounds the lines that wait to be written: a few seconds of a busy
// daemon's decisions, about 2 MB.
const maxLogLines = 8192

// AsyncWriter is a writer that never blocks: lines that can't be written in time are
// dropped and counted. A log that nobody reads must not hold requests up. It is
// a service of the supervisor tree.
type AsyncWriter struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer before to; nothing is written before Serve.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	return &AsyncWriter{to: to, lines: make(chan []byte, maxLogLines)}
}

// Write implements io.Writer; p is one line.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped is how many lines were dropped.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// String names the service in the supervisor's log.
func (a *AsyncWriter) String() string { return "log" }

// Serve writes until ctx ends.
func (a *AsyncWriter) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case line := <-a.lines:
			a.write(line)
		}
	}
}

// Flush writes what waits; nothing may be logged meanwhile.
func (a *AsyncWriter) Flush() {
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		default:
			return
		}
	}
}

// write drops a line that can't be written: there is nowhere to tell it.
func (a *AsyncWriter) write(line []byte) {
	if _, err := a.to.Write(line); err != nil {
		a.dropped.Add(1)
	}
}
