package fault

import (
	"context"
	"net"
	"sync"
	"time"
)

// linkChunk is how much passes a Link at once, in bytes; small, so that
// connections share the link as they would share a real one.
const linkChunk = 4 << 10

// linkBuffer is the receive buffer of a connection over a Link, in bytes: a sender
// must not get far ahead of what has passed.
const linkBuffer = 32 << 10

// Link is a link of limited bandwidth that connections share, in the direction to
// the process that reads from them.
type Link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// free is when all that was taken so far has passed.
	free time.Time
}

// NewLink returns a link of so many megabits a second.
func NewLink(mbps float64) *Link { return &Link{bytesPerSecond: mbps * 1e6 / 8} }

// WrapConn puts a connection on the link.
func (l *Link) WrapConn(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(linkBuffer)
	}
	return linked{Conn: c, link: l}
}

// Dial connects over the link.
func (l *Link) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return l.WrapConn(c), nil
}

// WrapListener puts all connections that come in on the link.
func (l *Link) WrapListener(lis net.Listener) net.Listener {
	return linkedListener{Listener: lis, link: l}
}

// pass waits until n bytes have passed, behind those taken before.
func (l *Link) pass(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(until.Sub(now))
}

// linked is a connection on a Link.
type linked struct {
	net.Conn
	link *Link
}

// Read implements net.Conn.
func (c linked) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), linkChunk)])
	c.link.pass(n)
	return n, err
}

type linkedListener struct {
	net.Listener
	link *Link
}

// Accept implements net.Listener.
func (l linkedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.WrapConn(c), nil
}
