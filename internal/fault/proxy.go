package fault

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Mode is how a Proxy treats bytes and new connections. The set is closed.
type Mode uint32

// The modes. The Drop modes drop all data in their directions without any sign to either side.
const (
	// Forward forwards everything.
	Forward Mode = iota
	// Delay forwards everything after a delay.
	Delay
	// DropIn drops what is sent to the process behind the proxy, DropOut what that process
	// sends, DropBoth both.
	DropIn
	DropOut
	DropBoth
	// Refuse closes new connections at once. Open ones continue.
	Refuse
	// Hold keeps everything until the mode changes, also new connections.
	Hold
)

// holdPoll is how often a held connection checks whether the mode has changed.
const holdPoll = 10 * time.Millisecond

// slowDelay is the delay of each read in mode Delay: far above the latency of loopback,
// below all timeouts.
const slowDelay = 60 * time.Millisecond

// Proxy forwards TCP connections between two processes, like a stateful firewall.
type Proxy struct {
	listener       net.Listener
	mode           atomic.Uint32
	bytesForwarded atomic.Int64
	group          errgroup.Group

	mu     sync.Mutex
	target string
	links  map[*link]struct{}
	// modes are the modes of connections from single IP addresses, in place of the proxy's own.
	modes map[string]Mode
}

// link is one connection through the proxy.
type link struct {
	proxy          *Proxy
	client, server net.Conn
	// from is the IP address that the connection comes from.
	from string
	// dropIn and dropOut are whether all further data in the direction is dropped. They
	// are never reset: lost bytes can't arrive later, nor can the bytes after them.
	dropIn, dropOut atomic.Bool
	once            sync.Once
}

// NewProxy starts a proxy that forwards to an address.
func NewProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w", err)
	}
	p := &Proxy{listener: l, target: to, links: map[*link]struct{}{}, modes: map[string]Mode{}}
	p.group.Go(p.serve)
	return p, nil
}

// Addr returns the address at which the proxy accepts connections.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Bytes returns how many bytes were forwarded in both directions together.
func (p *Proxy) Bytes() int64 { return p.bytesForwarded.Load() }

// SetMode changes the mode, also for open connections.
func (p *Proxy) SetMode(m Mode) { p.mode.Store(uint32(m)) }

// SetModeFrom changes the mode of connections from one IP address, also of open ones; Forward leaves
// them to the mode of the proxy.
func (p *Proxy) SetModeFrom(ip string, m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.modes[ip] = m
}

// modeFrom returns the mode of connections from an IP address.
func (p *Proxy) modeFrom(ip string) Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.modes[ip]; m != Forward {
		return m
	}
	return Mode(p.mode.Load())
}

// hold waits while connections from an IP address are held, and returns their mode.
func (p *Proxy) hold(ip string) Mode {
	for {
		m := p.modeFrom(ip)
		if m != Hold {
			return m
		}
		time.Sleep(holdPoll)
	}
}

// sourceIP returns the IP address that a connection comes from.
func sourceIP(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

func (p *Proxy) serve() error {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			// The proxy was closed.
			return nil
		}
		if p.modeFrom(sourceIP(client)) == Refuse {
			_ = client.Close()
			continue
		}
		p.group.Go(func() error {
			p.openLink(client)
			return nil
		})
	}
}

func (p *Proxy) openLink(client net.Conn) {
	from := sourceIP(client)
	p.hold(from)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{proxy: p, client: client, server: server, from: from}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	p.group.Go(func() error { return l.forward(client, server, DropIn, &l.dropIn) })
	p.group.Go(func() error { return l.forward(server, client, DropOut, &l.dropOut) })
}

// forward copies data and the end or reset of the connection in one direction, unless the mode
// drops this direction or did so before.
func (l *link) forward(from, to net.Conn, blocked Mode, drop *atomic.Bool) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		mode := l.proxy.hold(l.from)
		if mode == Delay {
			time.Sleep(slowDelay)
		}
		if mode == blocked || mode == DropBoth {
			drop.Store(true)
		}
		if drop.Load() {
			if err != nil {
				return nil
			}
			continue
		}
		if n > 0 {
			l.proxy.bytesForwarded.Add(int64(n))
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = io.ErrClosedPipe
			}
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				resetOnClose(to)
			}
			l.close()
			return nil
		}
	}
}

// resetOnClose has a connection reset in place of closed.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

func (l *link) close() {
	l.once.Do(func() {
		l.dropIn.Store(true)
		l.dropOut.Store(true)
		_ = l.client.Close()
		_ = l.server.Close()
		l.proxy.mu.Lock()
		delete(l.proxy.links, l)
		l.proxy.mu.Unlock()
	})
}

func (p *Proxy) openLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*link, 0, len(p.links))
	for l := range p.links {
		out = append(out, l)
	}
	return out
}

// Blackhole drops all further data of the connections that are open now, in both directions;
// new ones work. It returns how many connections were not already dropped in both.
func (p *Proxy) Blackhole() int {
	lost := 0
	for _, l := range p.openLinks() {
		in, out := l.dropIn.Swap(true), l.dropOut.Swap(true)
		if !in || !out {
			lost++
		}
	}
	return lost
}

// Reset resets all open connections on both sides.
func (p *Proxy) Reset() { p.ResetFrom("") }

// ResetFrom resets the open connections from one IP address, or all if it is empty.
func (p *Proxy) ResetFrom(ip string) {
	for _, l := range p.openLinks() {
		if ip != "" && l.from != ip {
			continue
		}
		resetOnClose(l.client)
		resetOnClose(l.server)
		l.close()
	}
}

// Close stops the proxy and closes all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	for _, l := range p.openLinks() {
		l.close()
	}
	_ = p.group.Wait()
}
