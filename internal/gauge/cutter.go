package gauge

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	shed "jasmineshed"
)

// errCut ends the dialling over a link that is cut.
var errCut = errors.New("link cut")

// cutter cuts zones off from each other and from the platform. Connections over
// a cut link go silent, as behind a broken switch, and don't come back.
type cutter struct {
	dialer net.Dialer

	mu sync.Mutex
	// zones of the daemons by their peer addresses.
	zones map[shed.VM]shed.ZoneID
	cut   map[shed.ZoneID]bool
	links []*link
}

func newCutter() *cutter {
	return &cutter{zones: map[shed.VM]shed.ZoneID{}, cut: map[shed.ZoneID]bool{}}
}

// place tells where a daemon is.
func (c *cutter) place(vm shed.VM, zone shed.ZoneID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[vm] = zone
}

// set cuts zone off, or ends that.
func (c *cutter) set(zone shed.ZoneID, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[zone] = cut
	kept := c.links[:0]
	for _, l := range c.links {
		if c.parted(l.from, c.zones[l.to]) {
			l.silent.Store(true)
			continue
		}
		if !l.over.Load() {
			kept = append(kept, l)
		}
	}
	c.links = kept
}

// parted tells whether no link between the two works; the platform is in no
// zone. The caller holds c.mu.
func (c *cutter) parted(a, b shed.ZoneID) bool {
	return a != b && (c.cut[a] || c.cut[b])
}

// peer dials a daemon from a zone.
func (c *cutter) peer(from shed.ZoneID) func(context.Context, shed.VM) (net.Conn, error) {
	return func(ctx context.Context, to shed.VM) (net.Conn, error) {
		return c.dial(ctx, from, to, string(to))
	}
}

// platform dials the platform from a zone.
func (c *cutter) platform(from shed.ZoneID) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return c.dial(ctx, from, "", addr)
	}
}

func (c *cutter) dial(ctx context.Context, from shed.ZoneID, to shed.VM, addr string) (net.Conn, error) {
	c.mu.Lock()
	parted := c.parted(from, c.zones[to])
	c.mu.Unlock()
	if parted {
		return nil, errCut
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &link{Conn: conn, from: from, to: to}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links = append(c.links, l)
	return l, nil
}

// link is a connection that can go silent.
type link struct {
	net.Conn
	from shed.ZoneID
	// to is the daemon's address, or empty for the platform.
	to     shed.VM
	silent atomic.Bool
	over   atomic.Bool
}

func (l *link) Read(b []byte) (int, error) {
	for {
		n, err := l.Conn.Read(b)
		if err != nil || !l.silent.Load() {
			return n, err
		}
	}
}

func (l *link) Write(b []byte) (int, error) {
	if l.silent.Load() {
		return len(b), nil
	}
	return l.Conn.Write(b)
}

func (l *link) Close() error {
	l.over.Store(true)
	return l.Conn.Close()
}
