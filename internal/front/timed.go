package front

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"jasmineshed/internal/httpd"
	"jasmineshed/internal/prefs"
	"jasmineshed/internal/quota"
)

// timedWriter bounds how long a write may block, and records what the metrics need.
type timedWriter struct {
	*httpd.TimedWriter
	code int
	// events counts flushes; there is one per event of a stream.
	events int64
}

func newTimedWriter(w http.ResponseWriter, timeout time.Duration) *timedWriter {
	return &timedWriter{TimedWriter: httpd.NewTimedWriter(w, timeout)}
}

// WriteHeader records the status.
func (w *timedWriter) WriteHeader(code int) {
	w.code = code
	if code == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.ResponseWriter.WriteHeader(code)
}

// FlushError flushes written data; http.ResponseController looks for it.
func (w *timedWriter) FlushError() error {
	w.events++
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// bodyCopies is how many times a request's body is in memory: as received, joined, decoded, and encoded again for a
// backend server or a peer.
const bodyCopies = 4

// timedBody bounds a body in bytes and time, and accounts for it until it is released.
type timedBody struct {
	io.ReadCloser
	w         http.ResponseWriter
	control   *http.ResponseController
	entry     *quota.Conn
	announced int64
	limit     int64
	// received is nil until the body was received.
	received *quota.Body
}

// newTimedBody returns the body of a call, or nil if it has none: nothing would lift the deadline of one that is never
// read.
func newTimedBody(w *timedWriter, r *http.Request, limits *prefs.Limits) *timedBody {
	if r.Body == http.NoBody {
		return nil
	}
	control := http.NewResponseController(w.ResponseWriter)
	// Writers without deadlines, as in tests, are not bounded.
	_ = control.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	return &timedBody{
		ReadCloser: http.MaxBytesReader(w.ResponseWriter, r.Body, limits.BodyBytes),
		w:          w, control: control, entry: httpd.Entry(r.Context()),
		announced: r.ContentLength, limit: limits.BodyBytes,
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

// receive reads the whole body. A caller whose body is refused may go on sending, so its connection can't be used again.
func (b *timedBody) receive() ([]byte, error) {
	if b.announced > b.limit {
		b.w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: b.limit}
	}
	var err error
	b.received, err = b.entry.ReceiveBody(b, quota.Spec{Announced: b.announced, Limit: b.limit, Weight: bodyCopies})
	if err != nil {
		b.w.Header().Set("Connection", "close")
	}
	if errors.Is(err, quota.ErrNoRoom) || errors.Is(err, quota.ErrGivenUp) {
		seconds, _ := retryAfter(roomRetryAfter)
		b.w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	if err != nil {
		return nil, err
	}
	return b.received.Bytes(), nil
}

// release gives back the room of the body. A nil *timedBody has none.
func (b *timedBody) release() {
	if b != nil {
		b.received.Release()
	}
}
