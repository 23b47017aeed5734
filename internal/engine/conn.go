package engine

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/reply"
	"jasmineshed/internal/wire"
)

// ErrNotConnected is returned by a Sender if no connection to the server was established. Nothing
// was sent, and the request's body is unread.
var ErrNotConnected = errors.New("connecting")

var (
	// ErrTooLate is returned if a request was not sent because its send deadline had passed.
	ErrTooLate       = errors.New("send deadline passed")
	errWritesBlocked = errors.New("writes on this connection are blocked")
)

// Gate decides right before the first byte of a request whether the request may be sent; an error refuses
// it. It is called once for each connection that the request gets, and must not block.
type Gate func() error

// before returns a Gate that refuses requests after sendBy; nil if sendBy is zero.
func before(sendBy time.Time) Gate {
	if sendBy.IsZero() {
		return nil
	}
	return func() error {
		if time.Now().After(sendBy) {
			return ErrTooLate
		}
		return nil
	}
}

// conn tracks whether a byte of its current call may have been sent.
//
// net/http may return an error while its writing goroutine is still about to write. A byte
// count read at that moment would say "nothing sent", and the call would run although it is
// also started elsewhere. So the check blocks further writes in the same step: what has not
// been written by then is never written.
type conn struct {
	*reply.Conn

	mu sync.Mutex
	// gate is asked before the first write; nil allows it.
	gate    Gate
	wrote   bool
	blocked bool
	// refused is why the gate refused the first write; nil if it didn't.
	refused error
}

// assign gives the connection to one call, whose first write gate has to allow.
func (c *conn) assign(gate Gate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate = gate
	c.wrote, c.refused = false, nil
}

// blockUnlessWritten reports whether a byte may have been sent since assign. If none has, none
// will be.
func (c *conn) blockUnlessWritten() (wrote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.wrote {
		c.blocked = true
	}
	return c.wrote
}

// Write asks the call's gate immediately before its first bytes. What the call was decided on may have
// changed while it was connecting or in net/http, or while the process was paused; the remaining gap is
// one system call.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.checkWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *conn) checkWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked {
		return errWritesBlocked
	}
	if c.wrote {
		return nil
	}
	if c.gate != nil {
		if err := c.gate(); err != nil {
			c.blocked, c.refused = true, err
			return err
		}
	}
	c.wrote = true
	if r, ok := c.Conn.Conn.(shed.RequestConn); ok {
		r.BeginRequest()
	}
	return nil
}

// refusal returns why the gate refused the call; nil if it didn't.
func (c *conn) refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

func newDialFunc(cfg Config) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, cfg.ConnectTimeout)
		defer cancel()
		c, err := cfg.Dial(ctx, network, addr)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
		}
		// The TLS handshake writes before assign; wrote starts as true to allow that.
		return &conn{Conn: reply.NewConn(c), wrote: true}, nil
	}
}

// maxInterim is the number of interim (1xx) responses of a server that its final one may follow. net/http sets no limit
// while a hook sees them.
const maxInterim = 16

// errTooManyInterim: a server sends interim responses and no final one.
var errTooManyInterim = errors.New("too many interim responses")

// sendTracker follows one call through net/http.
type sendTracker struct {
	gate Gate
	// onAccepted is called with the boot id of an early (103) response.
	onAccepted func(boot string)

	mu   sync.Mutex
	conn *conn
	// interim counts the interim responses. Only the goroutine that reads the connection uses it.
	interim int
	// untracked: the call got a connection that can't tell what was sent.
	untracked bool
}

// withTrace returns ctx with a hook that assigns the connection to the call.
func (s *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: s.gotConn,
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if s.interim++; s.interim > maxInterim {
				return errTooManyInterim
			}
			if code == http.StatusEarlyHints && s.onAccepted != nil {
				s.onAccepted(h.Get(wire.HeaderBoot))
			}
			return nil
		},
	})
}

// gotConn runs before the first byte of the call is written. net/http calls it again only if
// it retries the call by itself, which would run the call twice unnoticed; writes on the
// second connection are blocked, so that no byte of the retry is sent.
func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	c := trackedConn(info.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == nil {
		s.untracked = true
		return
	}
	if s.conn != nil {
		c.assign(nil)
		c.blockUnlessWritten()
		return
	}
	c.assign(s.gate)
	s.conn = c
}

// mayHaveSent reports whether a byte of the call may have been sent, and ensures that none
// will be if none has.
func (s *sendTracker) mayHaveSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.untracked {
		return true
	}
	return s.conn != nil && s.conn.blockUnlessWritten()
}

// sendError returns the cause of a failed call. When a write fails, net/http closes the
// connection, and may return the error of its reader instead of that of the write.
func (s *sendTracker) sendError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return err
	}
	if refused := s.conn.refusal(); refused != nil && !errors.Is(err, refused) {
		return fmt.Errorf("%w: %w", refused, err)
	}
	return err
}

// Unwrap returns the connection that the dial function of a Sender returned for c, which net/http
// reports.
func Unwrap(c net.Conn) net.Conn {
	if tracked := trackedConn(c); tracked != nil {
		return tracked.Conn.Conn
	}
	return c
}

func trackedConn(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	tracked, _ := c.(*conn)
	return tracked
}
