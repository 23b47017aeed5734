// Package httpd is an HTTP listener with limits, as a service of the supervisor
// tree.
package httpd

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"

	"jasmineshed/internal/prefs"
	"jasmineshed/internal/telem"
)

// Config of a Server.
type Config struct {
	// Name in logs and errors.
	Name string
	// Listener takes the connections; Serve closes it.
	Listener net.Listener
	// TLS is nil for plain TCP.
	TLS     *tls.Config
	Handler http.Handler
	Limits  prefs.Limits
	// CallTimeout bounds one whole call, body and answer, where these are short; 0 for
	// a handler that sets its own deadlines.
	CallTimeout time.Duration
	// DrainTimeout bounds how long Serve waits for requests in flight at its end.
	DrainTimeout time.Duration
	Log          logrus.FieldLogger
}

// Server is one HTTP listener. It serves once.
type Server struct {
	cfg  Config
	http *http.Server
}

// New builds the server; nothing runs before Serve.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, http: &http.Server{
		Handler:           cfg.Handler,
		MaxHeaderBytes:    cfg.Limits.HeaderBytes,
		ReadHeaderTimeout: cfg.Limits.HeaderTimeout,
		IdleTimeout:       cfg.Limits.IdleTimeout,
		ReadTimeout:       cfg.CallTimeout,
		WriteTimeout:      cfg.CallTimeout,
		ErrorLog:          log.New(telem.LogWriter{Log: cfg.Log}, "", 0),
	}}
}

// listener adds the connection limit and TLS. The limit comes first, so that a
// connection counts from its handshake on.
func (s *Server) listener() net.Listener {
	var l net.Listener = newLimitListener(s.cfg.Listener, s.cfg.Limits.Connections)
	if s.cfg.TLS == nil {
		return l
	}
	c := s.cfg.TLS.Clone()
	// HTTP/2 would put all calls of a client on one connection, and all of them
	// would hang with it when it goes silent.
	c.NextProtos = []string{"http/1.1"}
	return tls.NewListener(l, c)
}

// Serve takes calls until ctx ends, then waits for those in flight.
func (s *Server) Serve(ctx context.Context) error {
	var g errgroup.Group
	ended := make(chan struct{})
	g.Go(func() error {
		defer close(ended)
		err := s.http.Serve(s.listener())
		if errors.Is(err, http.ErrServerClosed) {
			if ctx.Err() == nil {
				// It was shut; the supervisor must not open it again.
				return suture.ErrDoNotRestart
			}
			return nil
		}
		// The listener can't be opened again from here; a restart would fail for
		// ever while the VM looks alive. So the whole process stops gracefully,
		// and the platform replaces it.
		return fmt.Errorf("%s listener: %w: %w", s.cfg.Name, err, suture.ErrTerminateSupervisorTree)
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
			return s.drain()
		case <-ended:
			return nil
		}
	})
	return g.Wait()
}

// Shutdown takes no more connections and waits for the requests in flight, until ctx
// ends; then it cuts them off. Serve returns.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err == nil {
		return nil
	}
	s.cfg.Log.WithField("listener", s.cfg.Name).Warn("requests cut off at the end of the drain")
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("closing %s listener: %w", s.cfg.Name, err)
	}
	return nil
}

// drain lets requests in flight end, up to the limit. Their contexts do not
// come from Serve's, so the end of that one cuts off none of them.
func (s *Server) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.DrainTimeout)
	defer cancel()
	return s.Shutdown(ctx)
}
