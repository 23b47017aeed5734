package gauge

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	shed "jasmineshed"
)

// errPartitioned is the error of dialling across a partition.
var errPartitioned = errors.New("network partition")

// partitioner simulates network partitions between zones and to the platform. Connections
// across a partition drop all traffic, as behind a broken switch, and stay dead after the
// partition ends.
type partitioner struct {
	dialer net.Dialer

	mu sync.Mutex
	// zones holds the zone of each daemon by its peer address.
	zones       map[shed.VM]shed.ZoneID
	partitioned map[shed.ZoneID]bool
	links       []*link
}

func newPartitioner() *partitioner {
	return &partitioner{zones: map[shed.VM]shed.ZoneID{}, partitioned: map[shed.ZoneID]bool{}}
}

// setZone records the zone of a daemon.
func (c *partitioner) setZone(vm shed.VM, zone shed.ZoneID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[vm] = zone
}

// setPartitioned starts or ends the partition of zone from everything outside it.
func (c *partitioner) setPartitioned(zone shed.ZoneID, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[zone] = partitioned
	kept := c.links[:0]
	for _, l := range c.links {
		if c.isSeparated(l.from, c.zones[l.to]) {
			l.blackholed.Store(true)
			continue
		}
		if !l.closed.Load() {
			kept = append(kept, l)
		}
	}
	c.links = kept
}

// isSeparated reports whether a partition lies between two zones. The platform is in no
// zone, which is the empty one. The caller holds c.mu.
func (c *partitioner) isSeparated(a, b shed.ZoneID) bool {
	return a != b && (c.partitioned[a] || c.partitioned[b])
}

// dialPeerFrom returns a function that dials a daemon from a zone.
func (c *partitioner) dialPeerFrom(from shed.ZoneID) func(context.Context, shed.VM) (net.Conn, error) {
	return func(ctx context.Context, to shed.VM) (net.Conn, error) {
		return c.dial(ctx, from, to, string(to))
	}
}

// dialPlatformFrom returns a function that dials the platform from a zone.
func (c *partitioner) dialPlatformFrom(from shed.ZoneID) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return c.dial(ctx, from, "", addr)
	}
}

func (c *partitioner) dial(ctx context.Context, from shed.ZoneID, to shed.VM, addr string) (net.Conn, error) {
	c.mu.Lock()
	separated := c.isSeparated(from, c.zones[to])
	c.mu.Unlock()
	if separated {
		return nil, errPartitioned
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

// link is a connection that can drop all its traffic.
type link struct {
	net.Conn
	from shed.ZoneID
	// to is the daemon's address; empty for the platform.
	to         shed.VM
	blackholed atomic.Bool
	closed     atomic.Bool
}

func (l *link) Read(b []byte) (int, error) {
	for {
		n, err := l.Conn.Read(b)
		if err != nil || !l.blackholed.Load() {
			return n, err
		}
	}
}

func (l *link) Write(b []byte) (int, error) {
	if l.blackholed.Load() {
		return len(b), nil
	}
	return l.Conn.Write(b)
}

func (l *link) Close() error {
	l.closed.Store(true)
	return l.Conn.Close()
}
