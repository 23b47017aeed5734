package stand

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// ErrNoListener means that nothing listens at an address of a Net.
var ErrNoListener = errors.New("no listener at this address")

// Net is a network in memory, for stand-ins without sockets. Its connections
// can go silent for good while new ones work.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	conns     []*pipeConn
}

// NewNet returns a network without listeners.
func NewNet() *Net {
	return &Net{listeners: map[string]*pipeListener{}}
}

// Listen opens a listener at addr, any text.
func (n *Net) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, errors.New("address in use: " + addr)
	}
	l := &pipeListener{net: n, addr: addr, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial opens a connection to the listener at addr.
func (n *Net) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, ErrNoListener
	}
	near, far := net.Pipe()
	select {
	case l.accept <- far:
	case <-l.closed:
		return nil, ErrNoListener
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &pipeConn{Conn: near, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns = append(n.conns, c)
	n.mu.Unlock()
	return c, nil
}

// Blackhole makes every connection that is open now silent for good: writing
// succeeds, nothing arrives, and not even its end shows. New ones work.
func (n *Net) Blackhole() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.silent.Store(true)
	}
	n.conns = nil
}

// pipeConn is the dialling end of a connection.
type pipeConn struct {
	net.Conn
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func (c *pipeConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

func (c *pipeConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *pipeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

type pipeListener struct {
	net    *Net
	addr   string
	accept chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.addr)
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.addr) }

type pipeAddr string

func (pipeAddr) Network() string { return "pipe" }

func (a pipeAddr) String() string { return string(a) }
