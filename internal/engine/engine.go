// Package engine implements shed.Backend over HTTP: calls of every stage kind, load reports
// and orders.
//
// It never retries a call. net/http retries some requests by itself; conn.go and send.go show
// how that is prevented here.
package engine

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	shed "jasmineshed"
	"jasmineshed/internal/frame"
)

const (
	defaultConnectTimeout = time.Second
	defaultControlTimeout = 2 * time.Second
	defaultOrderTimeout   = 30 * time.Second
	// idleConnTimeout is shorter than the usual idle timeouts of servers, so that a call
	// seldom gets a connection that the server is about to close.
	idleConnTimeout = 15 * time.Second
	// maxIdleConnsPerHost bounds the idle connections to one server.
	maxIdleConnsPerHost = 64
	// maxCancellations bounds the cancellations in flight; further ones are dropped, and the
	// engine then runs until its budget is spent.
	maxCancellations = 64
	// maxHeaderBytes bounds a reply's header.
	maxHeaderBytes = 16 << 10
)

// Config configures an Engine.
type Config struct {
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// ConnectTimeout bounds connecting to a server; 0 means one second.
	ConnectTimeout time.Duration
	// ControlTimeout bounds a load report or a cancellation; 0 means two seconds.
	ControlTimeout time.Duration
	// OrderTimeout bounds an order; 0 means 30 seconds.
	OrderTimeout time.Duration
	// OrderToken is sent with each order, for servers that authenticate orders.
	OrderToken string
	// TLS is used for https addresses; nil means the system's roots.
	TLS *tls.Config
}

// Engine talks to backend servers. It is safe for concurrent use.
type Engine struct {
	cfg    Config
	sender *Sender
	// control is a separate transport, so that stuck calls don't delay load reports.
	control       *http.Transport
	cancellations errgroup.Group
}

var _ shed.Backend = (*Engine)(nil)

// withDefaults replaces zero values by the defaults.
func (cfg Config) withDefaults() Config {
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = defaultConnectTimeout
	}
	if cfg.ControlTimeout == 0 {
		cfg.ControlTimeout = defaultControlTimeout
	}
	if cfg.OrderTimeout == 0 {
		cfg.OrderTimeout = defaultOrderTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return cfg
}

// New returns an Engine without connections.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{cfg: cfg, sender: NewSender(cfg), control: newTransport(cfg)}
	e.cancellations.SetLimit(maxCancellations)
	return e
}

func newTransport(cfg Config) *http.Transport {
	var http1 http.Protocols
	http1.SetHTTP1(true)
	return &http.Transport{
		DialContext:            newDialFunc(cfg),
		TLSClientConfig:        cfg.TLS,
		TLSHandshakeTimeout:    cfg.ConnectTimeout,
		Protocols:              &http1,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// Close waits for cancellations in flight and closes idle connections.
func (e *Engine) Close() error {
	err := e.cancellations.Wait()
	e.sender.Close()
	e.control.CloseIdleConnections()
	return err
}

// Call runs one call to its end. On a resumed call, the frames contain the text that follows
// start.ResumeFrom, and the result has no text. The caller fills in the zone of the frames and
// of the end.
func (e *Engine) Call(
	ctx context.Context, start shed.StartCall, in shed.Payload, sink func(shed.Frame) error,
) shed.CallEnded {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !start.Deadline.IsZero() {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadlineCause(ctx, start.Deadline, errDeadlinePassed)
		defer stop()
	}
	c := &call{
		engine: e,
		start:  start,
		in:     in,
		sink:   frame.NewSink(sink),
		cancel: cancel,
	}
	c.idle = newIdleTimer(start.IdleTimeout, func(silent time.Duration) bool {
		if start.ReportSilence {
			return c.reportSilent(silent)
		}
		cancel(errIdleTimeout)
		return false
	})
	end := c.run(ctx)
	c.idle.stop()
	c.sink.Close()
	if end.End.MayHaveRun() && isStreamDiscarded(end) {
		e.cancelInBackground(start)
	}
	return end
}

// isStreamDiscarded reports whether the call's stream is no longer needed. A broken stream may
// still be resumed, and a complete one is over.
func isStreamDiscarded(end shed.CallEnded) bool {
	return end.End == shed.EndCancelled || end.End == shed.EndBadReply
}

var (
	errIdleTimeout    = errors.New("no progress within the idle timeout")
	errDeadlinePassed = errors.New("deadline passed")
)

// idleTimer fires unless it is reset in time, and then every shed.SilenceEvery for as long as
// onTimeout returns true.
type idleTimer struct {
	limit time.Duration
	// onTimeout gets the time since the last reset. It runs without mu, so it may block.
	onTimeout func(silent time.Duration) bool

	mu    sync.Mutex
	timer *time.Timer
	// resetAt is when the timer was last reset. A report that is late by then is dropped.
	resetAt time.Time
	stopped bool
}

func newIdleTimer(limit time.Duration, onTimeout func(silent time.Duration) bool) *idleTimer {
	t := &idleTimer{limit: limit, onTimeout: onTimeout, resetAt: time.Now()}
	if limit <= 0 {
		return t
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(limit, t.fire)
	return t
}

func (t *idleTimer) fire() {
	t.mu.Lock()
	silent, since := time.Since(t.resetAt), t.resetAt
	early := t.stopped || silent < t.limit
	t.mu.Unlock()
	if early || !t.onTimeout(silent) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped && t.resetAt.Equal(since) {
		t.timer.Reset(shed.SilenceEvery)
	}
}

func (t *idleTimer) reset() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resetAt = time.Now()
	t.timer.Reset(t.limit)
}

func (t *idleTimer) stop() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
