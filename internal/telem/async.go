package telem

import (
	"context"
	"io"
	"sync/atomic"
)

// maxLogLines bounds the lines in the buffer: a few seconds of a busy daemon's
// decisions, about 2 MB.
const maxLogLines = 8192

// AsyncWriter is a buffered writer that never blocks: lines that don't fit into the
// buffer are dropped and counted, because a log that is not read must not delay
// requests. It is a service of the supervisor tree.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns an AsyncWriter that writes to the given writer once Serve runs.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	return &AsyncWriter{out: to, lines: make(chan []byte, maxLogLines)}
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

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// String names the service in the supervisor's log.
func (a *AsyncWriter) String() string { return "log" }

// Serve writes buffered lines until ctx ends.
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

// Flush writes the buffered lines; nothing may be logged meanwhile.
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

// write counts a failed write as a dropped line: there is nowhere to log the error.
func (a *AsyncWriter) write(line []byte) {
	if _, err := a.out.Write(line); err != nil {
		a.dropped.Add(1)
	}
}
