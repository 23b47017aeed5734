package httpd

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"jasmineshed/internal/quota"
)

// accountListener opens an entry of the account for each connection. While there is no room for one it accepts no
// others.
type accountListener struct {
	net.Listener
	account *quota.Account
	closed  chan struct{}
	once    sync.Once
}

func newAccountListener(l net.Listener, account *quota.Account) *accountListener {
	return &accountListener{Listener: l, account: account, closed: make(chan struct{})}
}

// Accept waits for a connection, then for room.
func (l *accountListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &accountConn{Conn: inner}
	for {
		entry, freed := l.account.Open(time.Now(), c.hooks())
		if entry != nil {
			c.entry = entry
			return c, nil
		}
		select {
		case <-freed:
		// Callers may have stalled since.
		case <-time.After(quota.HeadStallTime / 10):
		case <-l.closed:
			_ = inner.Close()
			return nil, net.ErrClosed
		}
	}
}

// Close also ends the wait in Accept.
func (l *accountListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// accountConn is a connection with its entry.
type accountConn struct {
	net.Conn
	entry *quota.Conn
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// hooks end what the connection waits for. Their errors mean that it is closed already.
func (c *accountConn) hooks() quota.Hooks {
	return quota.Hooks{
		StopReading: func() { _ = c.SetReadDeadline(longAgo) },
		StopWriting: func() { _ = c.SetWriteDeadline(longAgo) },
		Close:       func() { _ = c.Conn.Close() },
	}
}

// Read implements net.Conn.
func (c *accountConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if room := c.entry.ReadHead(time.Now(), n); room != nil {
			// net/http answers a header that breaks off with 400, after which callers don't try again.
			_ = c.Conn.Close()
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: room}
		}
	}
	return n, err
}

// Close closes the connection and its entry.
func (c *accountConn) Close() error {
	err := c.Conn.Close()
	c.entry.Close()
	return err
}

// CloseWrite closes the sending side, if the connection supports it: net/http does so after a refusal, so that the
// caller gets it before the connection is closed.
func (c *accountConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

type entryKey struct{}

// Entry returns the account's entry of the connection on which a request came; nil if it isn't accounted for.
func Entry(ctx context.Context) *quota.Conn {
	entry, _ := ctx.Value(entryKey{}).(*quota.Conn)
	return entry
}

// account tells the entries of a server's connections what these wait for. After a handler that hasn't read the whole body,
// net/http reads the rest for at most restTimeout.
func account(s *http.Server, restTimeout time.Duration) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, entryKey{}, entryOf(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateActive || state == http.StateIdle {
			entryOf(c).AwaitRequest(time.Now())
		}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entry, fields := Entry(r.Context()), countFields(r.Header)
		defer func() {
			// net/http keeps the request of a connection that it closes for a while, so that its caller gets the answer.
			if fields > quota.FieldAllowance {
				r.Header = nil
			}
			if entry.EndRequest(time.Now()) {
				// Writers without deadlines, as in tests, are not bounded.
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
			}
		}()
		if err := entry.BeginRequest(time.Now(), fields, r.ContentLength != 0); err != nil {
			refuse(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func countFields(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// refuse answers a request for whose header there is no room.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.FormatFloat((2*quota.StallTime).Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func entryOf(c net.Conn) *quota.Conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if c, ok := c.(*accountConn); ok {
		return c.entry
	}
	return nil
}
