package front

import (
	"errors"
	"io"
	"net/http"
	"time"

	"jasmineshed/internal/prefs"
)

// timedWriter bounds how long a write may block. Otherwise a stalled caller would hold its
// request, and the engine that runs it, until TCP gives up after many minutes; the failed
// write ends the request's context.
type timedWriter struct {
	http.ResponseWriter
	timeout time.Duration
	// deadline is the write deadline set on the connection.
	deadline time.Time
	code     int
	// events counts flushes; there is one per event of a stream.
	events int64
}

// WriteHeader records the status.
func (w *timedWriter) WriteHeader(code int) {
	w.code = code
	if code == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.ResponseWriter.WriteHeader(code)
}

// Write extends the write deadline when necessary.
func (w *timedWriter) Write(p []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

// FlushError flushes written data; http.ResponseController looks for it.
func (w *timedWriter) FlushError() error {
	w.events++
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController reach the connection.
func (w *timedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extendDeadline moves the deadline only once a quarter of the timeout has passed, because
// setting it costs more than writing a token.
func (w *timedWriter) extendDeadline() {
	now := time.Now()
	if w.deadline.Sub(now) > w.timeout*3/4 {
		return
	}
	w.deadline = now.Add(w.timeout)
	// Writers without deadlines, as in tests, are not bounded.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(w.deadline)
}

// timedBody bounds a body in bytes and time.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

func newTimedBody(w *timedWriter, body io.ReadCloser, limits *prefs.Limits) io.ReadCloser {
	// An absent body is never read, so nothing would lift the deadline.
	if body == http.NoBody {
		return body
	}
	control := http.NewResponseController(w.ResponseWriter)
	// Writers without deadlines, as in tests, are not bounded.
	_ = control.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	return &timedBody{
		ReadCloser: http.MaxBytesReader(w.ResponseWriter, body, limits.BodyBytes),
		control:    control,
	}
}

// Read lifts the deadline at the end of the body: net/http goes on reading the connection to
// detect a disconnect, and would mistake a passed deadline for one. After any other error the
// deadline stays, because net/http then tries to read the rest of the body before it responds.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
