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

	"jasmineshed/internal/wire"
)

var (
	errTooLate       = errors.New("too late to send")
	errWritesBlocked = errors.New("connection sealed")
)

// conn knows whether a byte of the call that uses it can have left.
//
// net/http may return an error while its writing goroutine is still about to
// write; a count of bytes read at that moment would say "nothing left", and
// the call would run all the same while it is started elsewhere too. So the
// question seals the connection in the same step: what has not been written
// by then never will be.
type conn struct {
	net.Conn

	mu      sync.Mutex
	sendBy  time.Time
	wrote   bool
	blocked bool
}

// assign hands the connection to one call, which may open its writing until then.
func (c *conn) assign(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendBy = until
	c.wrote = false
}

// blockUnlessWritten tells whether a byte can have left since arm. If none has, none will.
func (c *conn) blockUnlessWritten() (wrote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.wrote {
		c.blocked = true
	}
	return c.wrote
}

// Write checks the call's last moment to be sent right before its first bytes
// go. A process that was paused after it had decided to send, while dialling
// or in net/http, is caught here; what is left of the gap is one system call.
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
	if !c.sendBy.IsZero() && time.Now().After(c.sendBy) {
		c.blocked = true
		return errTooLate
	}
	c.wrote = true
	return nil
}

func newDialFunc(cfg Config) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, cfg.ConnectTimeout)
		defer cancel()
		c, err := cfg.Dial(ctx, network, addr)
		if err != nil {
			return nil, fmt.Errorf("connect: %w", err)
		}
		// The handshake of TLS writes before the call is armed; wrote starts
		// true so that it passes.
		return &conn{Conn: c, wrote: true}, nil
	}
}

// sendTracker follows one call through net/http.
type sendTracker struct {
	sendBy time.Time
	// onAccepted is told of the boot that an early answer names.
	onAccepted func(boot string)

	mu   sync.Mutex
	conn *conn
	// untracked: the call got a connection that can't tell what left.
	untracked bool
}

// withTrace returns ctx with a hook that arms the connection that the call gets.
func (s *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: s.gotConn,
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if code == http.StatusEarlyHints && s.onAccepted != nil {
				s.onAccepted(h.Get(wire.HeaderBoot))
			}
			return nil
		},
	})
}

// gotConn runs before the first byte of the call is written. net/http comes
// here a second time only if it repeats the call by itself, which would run it
// twice without anyone's knowledge; the second connection is sealed, so that
// not a byte of the repetition leaves.
func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	c := trackedConn(info.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == nil {
		s.untracked = true
		return
	}
	if s.conn != nil {
		c.assign(time.Time{})
		c.blockUnlessWritten()
		return
	}
	c.assign(s.sendBy)
	s.conn = c
}

// mayHaveSent tells whether a byte of the call can have left, and makes sure
// that none will if none has.
func (s *sendTracker) mayHaveSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.untracked {
		return true
	}
	return s.conn != nil && s.conn.blockUnlessWritten()
}

func trackedConn(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	tracked, _ := c.(*conn)
	return tracked
}
