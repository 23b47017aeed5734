package fault

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// PathMode is how a Path treats connections. The set is closed.
type PathMode uint32

// The modes. In all but Open the path is lost.
const (
	// Open passes everything on.
	Open PathMode = iota
	// Hang drops all packets: connections aren't established, open ones are silent.
	Hang
	// Swallow establishes connections and drops all data, also of open ones.
	Swallow
	// ResetAll refuses connections and resets open ones.
	ResetAll
	// ResetData establishes connections, and resets all at the first byte sent.
	ResetData
	// RefuseNew refuses connections; open ones live on.
	RefuseNew
)

// Path is the path of one process to some addresses, whose loss a test controls.
type Path struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	mode atomic.Uint32
	sent atomic.Int64
	// Freezer suspends the process's use of the path.
	Freezer

	mu    sync.Mutex
	conns map[*pathConn]struct{}
}

// NewPath returns an open path over dial.
func NewPath(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Path {
	return &Path{dial: dial, conns: map[*pathConn]struct{}{}}
}

// SetMode changes the mode, also for open connections. Data that was dropped never arrives.
func (p *Path) SetMode(m PathMode) {
	p.mode.Store(uint32(m))
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		switch m {
		case Hang, Swallow:
			c.silence()
		case ResetAll:
			c.abort()
		}
	}
}

// Sent returns how many bytes were sent over the path.
func (p *Path) Sent() int64 { return p.sent.Load() }

// Dial opens a connection.
func (p *Path) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	m := PathMode(p.mode.Load())
	switch m {
	case Hang:
		<-ctx.Done()
		return nil, fmt.Errorf("dial %s: %w", addr, os.ErrDeadlineExceeded)
	case ResetAll, RefuseNew:
		return nil, fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
	}
	c, err := p.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	pc := &pathConn{Conn: c, path: p, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[pc] = struct{}{}
	if m == Swallow {
		pc.silence()
	}
	return pc, nil
}

// pathConn is a connection over a Path.
type pathConn struct {
	net.Conn
	path   *Path
	silent atomic.Bool
	reset  atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// NetConn returns the connection that the path passes on.
func (c *pathConn) NetConn() net.Conn { return c.Conn }

// silence drops everything in both directions from now on.
func (c *pathConn) silence() {
	c.silent.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// abort resets the connection.
func (c *pathConn) abort() {
	c.reset.Store(true)
	_ = c.Conn.Close()
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.path.Wait()
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	if c.reset.Load() {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

// Write implements net.Conn.
func (c *pathConn) Write(b []byte) (int, error) {
	switch {
	case c.silent.Load():
		return len(b), nil
	case PathMode(c.path.mode.Load()) == ResetData:
		c.abort()
		return 0, syscall.ECONNRESET
	}
	n, err := c.Conn.Write(b)
	c.path.sent.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.path.mu.Lock()
		defer c.path.mu.Unlock()
		delete(c.path.conns, c)
	})
	return c.Conn.Close()
}
