package fault

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Mode is how a Proxy treats bytes and new connections. The set is closed.
type Mode uint32

// The modes. In all but Pass and Slow, nothing arrives in the directions named,
// and neither side is told.
const (
	// Pass passes everything on.
	Pass Mode = iota
	// Slow passes everything on after a delay.
	Slow
	// CutIn loses what goes to the process behind the proxy, CutOut what comes
	// from it, CutBoth either.
	CutIn
	CutOut
	CutBoth
	// Refuse closes new connections at once.
	Refuse
)

// slowBy is the delay of each piece of data in mode Slow: far above loopback,
// below all timeouts.
const slowDelay = 60 * time.Millisecond

// Proxy stands between two processes, as a firewall that tracks connections.
type Proxy struct {
	listener       net.Listener
	mode           atomic.Uint32
	bytesForwarded atomic.Int64
	group          errgroup.Group

	mu     sync.Mutex
	target string
	links  map[*link]struct{}
}

// link is one connection through the proxy.
type link struct {
	proxy          *Proxy
	client, server net.Conn
	// dropIn and lostOut: the direction is silent for good. What was lost on the
	// way can't arrive later, nor anything behind it.
	dropIn, dropOut atomic.Bool
	once            sync.Once
}

// NewProxy starts a proxy to an address.
func NewProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listener of a proxy: %w", err)
	}
	p := &Proxy{listener: l, target: to, links: map[*link]struct{}{}}
	p.group.Go(p.serve)
	return p, nil
}

// Addr is where the proxy takes connections.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Bytes is how many bytes were passed on, both ways.
func (p *Proxy) Bytes() int64 { return p.bytesForwarded.Load() }

// Set changes the mode, for open connections too.
func (p *Proxy) Set(m Mode) { p.mode.Store(uint32(m)) }

func (p *Proxy) currentMode() Mode { return Mode(p.mode.Load()) }

func (p *Proxy) serve() error {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			// The proxy was closed.
			return nil
		}
		if p.currentMode() == Refuse {
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
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{proxy: p, client: client, server: server}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	p.group.Go(func() error { return l.forward(client, server, CutIn, &l.dropIn) })
	p.group.Go(func() error { return l.forward(server, client, CutOut, &l.dropOut) })
}

// forward passes on what comes, and the end, unless this direction is cut or was
// cut before.
func (l *link) forward(from, to net.Conn, blocked Mode, drop *atomic.Bool) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		mode := l.proxy.currentMode()
		if mode == Slow {
			time.Sleep(slowDelay)
		}
		if mode == blocked || mode == CutBoth {
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
			l.close()
			return nil
		}
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

// Lose makes every connection of now go silent for good; new ones work. It
// returns how many went silent.
func (p *Proxy) Lose() int {
	lost := 0
	for _, l := range p.openLinks() {
		in, out := l.dropIn.Swap(true), l.dropOut.Swap(true)
		if !in || !out {
			lost++
		}
	}
	return lost
}

// Reset resets every connection of now, on both sides.
func (p *Proxy) Reset() {
	for _, l := range p.openLinks() {
		for _, c := range []net.Conn{l.client, l.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		l.close()
	}
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	for _, l := range p.openLinks() {
		l.close()
	}
	_ = p.group.Wait()
}
