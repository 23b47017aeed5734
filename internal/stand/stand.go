// Package stand holds small test stand-ins for the platform, model engines and plain
// services. The same handlers serve in memory and on a listener, answer
// deterministically, and record what they ran so that tests can check it.
package stand

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Faults are the faults of a stand-in. They can be changed while it runs.
type Faults struct {
	mu           sync.Mutex
	down         bool
	unresponsive bool
	delay        time.Duration
	// change is closed and replaced when a fault is set.
	change chan struct{}
}

// SetDown closes the connection of every call, including calls that are waiting.
func (f *Faults) SetDown(down bool) {
	f.set(func() { f.down = down })
}

// SetUnresponsive makes calls hang without an answer.
func (f *Faults) SetUnresponsive(unresponsive bool) {
	f.set(func() { f.unresponsive = unresponsive })
}

// SetDelay delays every call by d.
func (f *Faults) SetDelay(d time.Duration) {
	f.set(func() { f.delay = d })
}

func (f *Faults) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	if f.change != nil {
		close(f.change)
	}
	f.change = make(chan struct{})
}

func (f *Faults) current() (down, unresponsive bool, delay time.Duration, change chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.change == nil {
		f.change = make(chan struct{})
	}
	return f.down, f.unresponsive, f.delay, f.change
}

// applyFaults holds, delays or aborts a call as the current faults require.
func (f *Faults) applyFaults(ctx context.Context) {
	for {
		down, unresponsive, delay, change := f.current()
		if down {
			panic(http.ErrAbortHandler)
		}
		if !unresponsive {
			pause(ctx, delay)
			return
		}
		select {
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-change:
		}
	}
}

// pause waits for d. It returns false if ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Server serves a stand-in on a listener.
type Server struct {
	addr   string
	server *http.Server
	group  errgroup.Group
}

// Listen serves h at addr, "ip:port"; port 0 picks a free port.
func Listen(addr string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return ServeOn(l, h), nil
}

// ServeOn serves h on l.
func ServeOn(l net.Listener, h http.Handler) *Server {
	s := &Server{
		addr:   l.Addr().String(),
		server: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second},
	}
	s.group.Go(func() error {
		return s.server.Serve(l)
	})
	return s
}

// Addr returns the "ip:port" that it serves at.
func (s *Server) Addr() string { return s.addr }

// URL returns the base URL of its HTTP interface.
func (s *Server) URL() string { return "http://" + s.addr }

// Close closes every connection at once, as the end of a killed process does.
func (s *Server) Close() error {
	err := s.server.Close()
	if served := s.group.Wait(); !errors.Is(served, http.ErrServerClosed) {
		return errors.Join(err, served)
	}
	return err
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected, which is no fault of the stand-in.
	_ = json.NewEncoder(w).Encode(body)
}
