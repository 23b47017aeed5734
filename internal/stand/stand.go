// Package stand holds small stand-ins of the platform, model engines and plain
// services. The same handlers serve in memory and on a listener, answer
// deterministically, and record what they ran for an oracle to judge.
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

// Faults can be set on each stand-in while it runs.
type Faults struct {
	mu   sync.Mutex
	down bool
	mute bool
	slow time.Duration
	// change is closed and replaced when a fault is set.
	change chan struct{}
}

// SetDown makes every call, also a waiting one, end with a cut connection.
func (f *Faults) SetDown(down bool) {
	f.set(func() { f.down = down })
}

// SetUnresponsive makes calls hang without any answer.
func (f *Faults) SetUnresponsive(mute bool) {
	f.set(func() { f.mute = mute })
}

// SetDelay delays every call by d.
func (f *Faults) SetDelay(d time.Duration) {
	f.set(func() { f.slow = d })
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

func (f *Faults) state() (down, mute bool, slow time.Duration, change chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.change == nil {
		f.change = make(chan struct{})
	}
	return f.down, f.mute, f.slow, f.change
}

// pass lets a call through once no fault stands against it.
func (f *Faults) pass(ctx context.Context) {
	for {
		down, mute, slow, change := f.state()
		if down {
			panic(http.ErrAbortHandler)
		}
		if !mute {
			pause(ctx, slow)
			return
		}
		select {
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-change:
		}
	}
}

// pause waits for d and tells whether ctx still lives.
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

// Listen serves h at addr, "ip:port"; port 0 takes a free one.
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

// Addr is the "ip:port" that it serves at.
func (s *Server) Addr() string { return s.addr }

// URL is the base of its HTTP interface.
func (s *Server) URL() string { return "http://" + s.addr }

// Close cuts every connection off, as a killed process would.
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
	// The caller may be gone; it is no matter of the stand-in's.
	_ = json.NewEncoder(w).Encode(body)
}
