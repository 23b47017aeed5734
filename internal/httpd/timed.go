package httpd

import (
	"net/http"
	"time"
)

// TimedWriter bounds how long a write may block. Otherwise a stalled caller would hold its request, and the server that
// runs it, until TCP gives up after many minutes; the failed write ends the request's context.
type TimedWriter struct {
	http.ResponseWriter
	timeout time.Duration
	// deadline is the write deadline set on the connection.
	deadline time.Time
}

// NewTimedWriter returns a writer whose writes may block for at most timeout.
func NewTimedWriter(w http.ResponseWriter, timeout time.Duration) *TimedWriter {
	return &TimedWriter{ResponseWriter: w, timeout: timeout}
}

// Write extends the write deadline when necessary.
func (w *TimedWriter) Write(p []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *TimedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extendDeadline moves the deadline only once a quarter of the timeout has passed, because
// setting it costs more than writing a token.
func (w *TimedWriter) extendDeadline() {
	now := time.Now()
	if w.deadline.Sub(now) > w.timeout*3/4 {
		return
	}
	w.deadline = now.Add(w.timeout)
	// Writers without deadlines, as in tests, are not bounded.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(w.deadline)
}
