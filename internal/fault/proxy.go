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
	// Forward passes everything on.
	Forward Mode = iota
	// Delay passes everything on after a delay.
	Delay
	// DropIn loses what goes to the process behind the proxy, DropOut what comes
	// from it, DropBoth either.
	DropIn
	DropOut
	DropBoth
	// Refuse closes new connections at once.
	Refuse
)

// slowBy is the delay of each piece of data in mode Slow: far above loopback,
// below all timeouts.
const slowBy = 60 * time.Millisecond

// Proxy stands between two processes, as a firewall that tracks connections.
type Proxy struct {
	listener net.Listener
	mode     atomic.Uint32
	bytes    atomic.Int64
	work     errgroup.Group

	mu    sync.Mutex
	to    string
	links map[*link]struct{}
}

// link is one connection through the proxy.
type link struct {
	proxy     *Proxy
	near, far net.Conn
	// lostIn and lostOut: the direction is silent for good. What was lost on the
	// way can't arrive later, nor anything behind it.
	lostIn, lostOut atomic.Bool
	once            sync.Once
}

// NewProxy starts a proxy to an address.
func NewProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listener of a proxy: %w", err)
	}
	p := &Proxy{listener: l, to: to, links: map[*link]struct{}{}}
	p.work.Go(p.serve)
	return p, nil
}

// Addr is where the proxy takes connections.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Bytes is how many bytes were passed on, both ways.
func (p *Proxy) Bytes() int64 { return p.bytes.Load() }

// SetMode changes the mode, for open connections too.
func (p *Proxy) SetMode(m Mode) { p.mode.Store(uint32(m)) }

func (p *Proxy) now() Mode { return Mode(p.mode.Load()) }

func (p *Proxy) serve() error {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			// The proxy was closed.
			return nil
		}
		if p.now() == Refuse {
			_ = near.Close()
			continue
		}
		p.work.Go(func() error {
			p.open(near)
			return nil
		})
	}
}

func (p *Proxy) open(near net.Conn) {
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = near.Close()
		return
	}
	l := &link{proxy: p, near: near, far: far}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	p.work.Go(func() error { return l.carry(near, far, DropIn, &l.lostIn) })
	p.work.Go(func() error { return l.carry(far, near, DropOut, &l.lostOut) })
}

// carry passes on what comes, and the end, unless this direction is cut or was
// cut before.
func (l *link) carry(from, to net.Conn, cut Mode, lost *atomic.Bool) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		mode := l.proxy.now()
		if mode == Delay {
			time.Sleep(slowBy)
		}
		if mode == cut || mode == DropBoth {
			lost.Store(true)
		}
		if lost.Load() {
			if err != nil {
				return nil
			}
			continue
		}
		if n > 0 {
			l.proxy.bytes.Add(int64(n))
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
		l.lostIn.Store(true)
		l.lostOut.Store(true)
		_ = l.near.Close()
		_ = l.far.Close()
		l.proxy.mu.Lock()
		delete(l.proxy.links, l)
		l.proxy.mu.Unlock()
	})
}

func (p *Proxy) snapshot() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*link, 0, len(p.links))
	for l := range p.links {
		out = append(out, l)
	}
	return out
}

// Blackhole makes every connection of now go silent for good; new ones work. It
// returns how many went silent.
func (p *Proxy) Blackhole() int {
	lost := 0
	for _, l := range p.snapshot() {
		in, out := l.lostIn.Swap(true), l.lostOut.Swap(true)
		if !in || !out {
			lost++
		}
	}
	return lost
}

// Reset resets every connection of now, on both sides.
func (p *Proxy) Reset() {
	for _, l := range p.snapshot() {
		for _, c := range []net.Conn{l.near, l.far} {
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
	for _, l := range p.snapshot() {
		l.close()
	}
	_ = p.work.Wait()
}
