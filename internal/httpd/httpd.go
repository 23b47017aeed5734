// Package httpd is an HTTP server with limits, as a service of the supervisor tree.
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
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	shed "jasmineshed"
	"jasmineshed/internal/prefs"
	"jasmineshed/internal/quota"
	"jasmineshed/internal/telem"
)

// Config configures a Server.
type Config struct {
	// Name is used in logs and errors.
	Name string
	// Listener accepts the connections; Serve closes it.
	Listener net.Listener
	// TLS is nil for plain TCP.
	TLS     *tls.Config
	Handler http.Handler
	Limits  prefs.Limits
	// CallTimeout bounds a complete call, request body and response, for handlers of short calls; 0
	// for a handler that sets its own deadlines.
	CallTimeout time.Duration
	// DrainTimeout bounds how long Serve waits for requests in flight when it stops.
	DrainTimeout time.Duration
	// Intake decides when connections are accepted; nil accepts all. While it pauses, the listener is closed, and
	// Reopen opens it again at its address.
	Intake shed.Intake
	Reopen func() (net.Listener, error)
	// Account accounts for the connections and decides which is closed when there are too many; nil bounds their number
	// by Limits alone.
	Account *quota.Account
	// Scope receives the metrics of the account; nil for none.
	Scope tally.Scope
	Log   logrus.FieldLogger
}

// Server serves one HTTP listener. It can serve only once.
type Server struct {
	cfg  Config
	http *http.Server
}

// New builds the server; nothing runs before Serve.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, http: &http.Server{
		Handler:           cfg.Handler,
		MaxHeaderBytes:    cfg.Limits.HeaderBytes,
		ReadHeaderTimeout: cfg.Limits.HeaderTimeout,
		IdleTimeout:       cfg.Limits.IdleTimeout,
		ReadTimeout:       cfg.CallTimeout,
		WriteTimeout:      cfg.CallTimeout,
		ErrorLog:          log.New(telem.LogWriter{Log: cfg.Log}, "", 0),
	}}
	if cfg.Account != nil {
		account(s.http, cfg.Limits.BodyTimeout)
	}
	return s
}

// listener adds the connection limit and TLS. The limit is innermost, so that a connection
// counts from its TLS handshake on.
func (s *Server) listener() net.Listener {
	l := s.cfg.Listener
	if s.cfg.Intake != nil {
		l = newIntakeListener(s.cfg)
	}
	if s.cfg.Account != nil {
		l = newAccountListener(l, s.cfg.Account)
	} else {
		l = newLimitListener(l, s.cfg.Limits.Connections)
	}
	if s.cfg.TLS == nil {
		return l
	}
	c := s.cfg.TLS.Clone()
	// HTTP/2 would put all calls of a client on one connection, which would stall all of them
	// when it stalls.
	c.NextProtos = []string{"http/1.1"}
	return tls.NewListener(l, c)
}

// Serve accepts calls until ctx ends, then waits for those in flight.
func (s *Server) Serve(ctx context.Context) error {
	var g errgroup.Group
	served := make(chan struct{})
	g.Go(func() error {
		defer close(served)
		err := s.http.Serve(s.listener())
		if errors.Is(err, http.ErrServerClosed) {
			if ctx.Err() == nil {
				// Shutdown was called; the supervisor must not restart the server.
				return suture.ErrDoNotRestart
			}
			return nil
		}
		// The listener can't be reopened here, so a restart would fail forever while the VM
		// looks alive. Instead the process stops gracefully, and the platform replaces it.
		return fmt.Errorf("%s listener: %w: %w", s.cfg.Name, err, suture.ErrTerminateSupervisorTree)
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
			return s.drain()
		case <-served:
			return nil
		}
	})
	if s.cfg.Account != nil {
		g.Go(func() error {
			s.reportUsage(served)
			return nil
		})
	}
	return g.Wait()
}

// Shutdown stops accepting connections and waits for the requests in flight until ctx ends, then
// aborts them. Serve returns.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.shutdown(ctx); err == nil {
		return nil
	}
	s.cfg.Log.WithField("listener", s.cfg.Name).Warn("requests in flight aborted at the end of the drain")
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("closing %s listener: %w", s.cfg.Name, err)
	}
	return nil
}

// stallCheck is how often a server that stops looks for callers that make no progress.
const stallCheck = 100 * time.Millisecond

// shutdown shuts the server down. Callers that make no progress don't delay it.
func (s *Server) shutdown(ctx context.Context) error {
	if s.cfg.Account == nil {
		return s.http.Shutdown(ctx)
	}
	done := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		t := time.NewTicker(stallCheck)
		defer t.Stop()
		for {
			select {
			case <-done:
				return nil
			case now := <-t.C:
				s.cfg.Account.GiveUpStalled(now)
			}
		}
	})
	err := s.http.Shutdown(ctx)
	close(done)
	_ = g.Wait()
	return err
}

// drain lets requests in flight finish, up to the limit. Their contexts are not derived from
// Serve's, so its end aborts none of them.
func (s *Server) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.DrainTimeout)
	defer cancel()
	return s.Shutdown(ctx)
}
