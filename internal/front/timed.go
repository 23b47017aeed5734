package front

import (
	"errors"
	"io"
	"net/http"
	"time"

	"jasmineshed/internal/prefs"
)

// timedWriter bounds how long a write may block. A caller that has gone silent
// would else hold its request, and the engine behind it, until TCP gives up
// after many minutes; the failed write ends the request's context.
type timedWriter struct {
	http.ResponseWriter
	timeout time.Duration
	// deadline is the deadline set on the connection.
	deadline time.Time
	code     int
	// events counts flushes, which are one for each event of a stream.
	events int64
}

// WriteHeader notes the status.
func (w *timedWriter) WriteHeader(code int) {
	w.code = code
	if code == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.ResponseWriter.WriteHeader(code)
}

// Write puts the deadline off where it draws near.
func (w *timedWriter) Write(p []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written; http.ResponseController looks for it.
func (w *timedWriter) FlushError() error {
	w.events++
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController reach the connection.
func (w *timedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extendDeadline moves the deadline only after a quarter of it has gone, since setting
// it costs more than a token is worth.
func (w *timedWriter) extendDeadline() {
	now := time.Now()
	if w.deadline.Sub(now) > w.timeout*3/4 {
		return
	}
	w.deadline = now.Add(w.timeout)
	// A writer without deadlines, as in a test, goes without.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(w.deadline)
}

// timedBody bounds a body in bytes and time.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

func newTimedBody(w *timedWriter, body io.ReadCloser, limits *prefs.Limits) io.ReadCloser {
	// Nobody would read a body that isn't there, and so lift the deadline.
	if body == http.NoBody {
		return body
	}
	control := http.NewResponseController(w.ResponseWriter)
	// A writer without deadlines, as in a test, goes without.
	_ = control.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	return &timedBody{
		ReadCloser: http.MaxBytesReader(w.ResponseWriter, body, limits.BodyBytes),
		control:    control,
	}
}

// Read lifts the deadline at the end of the body: net/http goes on reading the
// connection to see the caller go, and would take a passed deadline for that.
// After any other error the deadline stays, since net/http then tries to read
// the rest of the body before it answers.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
