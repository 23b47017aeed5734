package httpd

import (
	"errors"
	"net"
	"sync"
)

// limitListener bounds the number of open connections; further ones wait to be accepted.
//
// netutil.LimitListener of golang.org/x/net hides CloseWrite. Without that, net/http can't
// half-close a connection after it has refused a header or body that it did not read to the
// end, and the caller gets a connection reset instead of the refusal.
type limitListener struct {
	net.Listener
	sem    chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, sem: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits until the limit allows a connection, then for the connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.sem <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.sem
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.sem }}, nil
}

// Close also ends the wait in Accept.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn releases its place under the limit exactly once.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and releases its place.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// CloseWrite closes the sending side, if the connection supports it.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}
