package procs

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// relay stands between two processes, as a firewall that tracks connections.
type relay struct {
	listener net.Listener
	to       string
	work     errgroup.Group

	mu    sync.Mutex
	links []*link
}

// link is one connection through the relay.
type link struct {
	near, far net.Conn
	// silent is also set once the link is closed.
	silent atomic.Bool
}

func startRelay(t *testing.T, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", anyPort)
	require.NoError(t, err)
	r := &relay{listener: l, to: to}
	r.work.Go(r.serve)
	t.Cleanup(r.close)
	return r
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) serve() error {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return nil
		}
		far, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		l := &link{near: near, far: far}
		r.mu.Lock()
		r.links = append(r.links, l)
		r.mu.Unlock()
		r.work.Go(func() error { return l.carry(near, far) })
		r.work.Go(func() error { return l.carry(far, near) })
	}
}

// carry passes on what comes, and the end, unless the link has gone silent.
func (l *link) carry(from, to net.Conn) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if l.silent.Load() {
			if err != nil {
				return nil
			}
			continue
		}
		if n > 0 {
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
	l.silent.Store(true)
	_ = l.near.Close()
	_ = l.far.Close()
}

// lose makes every connection of now go silent for good; new ones work. It
// returns how many went silent.
func (r *relay) lose() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := 0
	for _, l := range r.links {
		if l.silent.CompareAndSwap(false, true) {
			lost++
		}
	}
	return lost
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, l := range r.links {
		l.close()
	}
	r.mu.Unlock()
	_ = r.work.Wait()
}
