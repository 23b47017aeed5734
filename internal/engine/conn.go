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
	errTooLate = errors.New("too late to send")
	errSealed  = errors.New("connection sealed")
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

	mu     sync.Mutex
	until  time.Time
	wrote  bool
	sealed bool
}

// arm hands the connection to one call, which may open its writing until then.
func (c *conn) arm(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = until
	c.wrote = false
}

// seal tells whether a byte can have left since arm. If none has, none will.
func (c *conn) seal() (wrote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.wrote {
		c.sealed = true
	}
	return c.wrote
}

// Write checks the call's last moment to be sent right before its first bytes
// go. A process that was paused after it had decided to send, while dialling
// or in net/http, is caught here; what is left of the gap is one system call.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.mayWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *conn) mayWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	if c.wrote {
		return nil
	}
	if !c.until.IsZero() && time.Now().After(c.until) {
		c.sealed = true
		return errTooLate
	}
	c.wrote = true
	return nil
}

func dialer(cfg Config) func(context.Context, string, string) (net.Conn, error) {
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

// sending follows one call through net/http.
type sending struct {
	until time.Time
	// accepted is told of the boot that an early answer names.
	accepted func(boot string)

	mu   sync.Mutex
	conn *conn
	// unknown: the call got a connection that can't tell what left.
	unknown bool
}

// trace returns ctx with a hook that arms the connection that the call gets.
func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: s.gotConn,
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if code == http.StatusEarlyHints && s.accepted != nil {
				s.accepted(h.Get(wire.HeaderBoot))
			}
			return nil
		},
	})
}

// gotConn runs before the first byte of the call is written. net/http comes
// here a second time only if it repeats the call by itself, which would run it
// twice without anyone's knowledge; the second connection is sealed, so that
// not a byte of the repetition leaves.
func (s *sending) gotConn(info httptrace.GotConnInfo) {
	c := unwrap(info.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == nil {
		s.unknown = true
		return
	}
	if s.conn != nil {
		c.arm(time.Time{})
		c.seal()
		return
	}
	c.arm(s.until)
	s.conn = c
}

// mayHaveLeft tells whether a byte of the call can have left, and makes sure
// that none will if none has.
func (s *sending) mayHaveLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unknown {
		return true
	}
	return s.conn != nil && s.conn.seal()
}

func unwrap(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	own, _ := c.(*conn)
	return own
}
