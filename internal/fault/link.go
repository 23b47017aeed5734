package fault

import (
	"context"
	"net"
	"sync"
	"time"
)

// maxLinkRead bounds one read over a Link, in bytes. It is small so that
// connections share the link's bandwidth as they share a real one.
const maxLinkRead = 4 << 10

// linkReceiveBuffer is the receive buffer of a connection over a Link, in bytes. It is
// small so that a sender can't get far ahead of what the link has transmitted.
const linkReceiveBuffer = 32 << 10

// handshakeBytes is the size of a packet that opens a connection.
const handshakeBytes = 60

// Link is a network link of limited bandwidth that connections share. It limits only the
// direction to the process that reads from them; the answers by which others accept its connections wait for it
// like any other packet.
type Link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// idleAt is when all data accepted so far has been transmitted.
	idleAt time.Time
}

// NewLink returns a link of the given bandwidth in megabits per second.
func NewLink(mbps float64) *Link { return &Link{bytesPerSecond: mbps * 1e6 / 8} }

// WrapConn returns a connection that shares the link.
func (l *Link) WrapConn(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(linkReceiveBuffer)
	}
	return linkConn{Conn: c, link: l}
}

// Dial connects over the link.
func (l *Link) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return l.Dialer(&net.Dialer{})(ctx, network, addr)
}

// Dialer returns a function that connects over the link. The dialer's timeout bounds also the wait for the link.
func (l *Link) Dialer(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if d.Timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, d.Timeout)
			defer cancel()
		}
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if err := l.awaitHandshake(ctx); err != nil {
			_ = c.Close()
			return nil, err
		}
		return l.WrapConn(c), nil
	}
}

// awaitHandshake waits until the link has transmitted the packet that opens a connection.
func (l *Link) awaitHandshake(ctx context.Context) error {
	t := time.NewTimer(l.reserve(handshakeBytes))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WrapListener returns a listener whose accepted connections share the link.
func (l *Link) WrapListener(lis net.Listener) net.Listener {
	return linkListener{Listener: lis, link: l}
}

// transmit waits until the link has transmitted n bytes, after those accepted before.
func (l *Link) transmit(n int) { time.Sleep(l.reserve(n)) }

// reserve returns how long the link needs until it has transmitted n bytes, after those accepted before.
func (l *Link) reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return l.idleAt.Sub(now)
}

// linkConn is a connection over a Link.
type linkConn struct {
	net.Conn
	link *Link
}

// Read implements net.Conn.
func (c linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), maxLinkRead)])
	c.link.transmit(n)
	return n, err
}

type linkListener struct {
	net.Listener
	link *Link
}

// Accept implements net.Listener.
func (l linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.WrapConn(c), nil
}
