// Package front is the callers' listener: goa's HTTP server before
// shed.Serving, which is all of the system that it sees.
package front

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	shed "jasmineshed"
	"jasmineshed/internal/gen/health"
	healthhttp "jasmineshed/internal/gen/http/health/server"
	pipehttp "jasmineshed/internal/gen/http/pipelines/server"
	"jasmineshed/internal/gen/pipelines"
	"jasmineshed/internal/httpd"
	"jasmineshed/internal/prefs"
)

// Config of a Front.
type Config struct {
	// Listener takes the callers' connections; Serve closes it.
	Listener net.Listener
	// TLS is nil for plain TCP.
	TLS     *tls.Config
	Serving shed.Serving
	Limits  prefs.Limits
	// DrainTimeout bounds how long Serve waits for requests in flight at its end.
	DrainTimeout time.Duration
	Log          logrus.FieldLogger
	// Scope may be nil.
	Scope tally.Scope
	// Tracer may be nil.
	Tracer trace.TracerProvider
}

// Front is the callers' listener as a service of the supervisor tree.
type Front struct {
	cfg     Config
	handler http.Handler
	server  *httpd.Server
}

// New builds the listener's server; nothing runs before Serve.
func New(cfg Config) *Front {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider()
	}
	f := &Front{cfg: cfg}
	f.handler = f.newHandler()
	f.server = httpd.New(httpd.Config{
		Name:         "callers",
		Listener:     cfg.Listener,
		TLS:          cfg.TLS,
		Handler:      f.handler,
		Limits:       cfg.Limits,
		DrainTimeout: cfg.DrainTimeout,
		Log:          cfg.Log,
	})
	return f
}

func (f *Front) newHandler() http.Handler {
	mux := goahttp.NewMuxer()
	count := newCounts(f.cfg.Scope)
	svc := &service{serving: f.cfg.Serving, beat: f.cfg.Limits.Beat, count: count}
	pipes := pipehttp.New(pipelines.NewEndpoints(svc), mux, newDecoder, newEncoder, f.logEncoding, format)
	probes := healthhttp.New(health.NewEndpoints(svc), mux, newDecoder, newEncoder, f.logEncoding, nil)
	nowhere(mux)
	pipehttp.Mount(mux, pipes)
	healthhttp.Mount(mux, probes)
	return newGuard(f.cfg, count, mux)
}

// nowhere answers calls without a route in the same form as all others.
func nowhere(mux goahttp.Muxer) {
	router, ok := mux.(interface {
		NotFound(http.HandlerFunc)
		MethodNotAllowed(http.HandlerFunc)
	})
	if !ok {
		return
	}
	router.NotFound(plainFault(http.StatusNotFound, statusNotFound, "no such path"))
	router.MethodNotAllowed(plainFault(http.StatusMethodNotAllowed, statusBadRequest, "no such method on this path"))
}

func plainFault(code int, status, message string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		enc := newEncoder(r.Context(), w)
		w.WriteHeader(code)
		_ = enc.Encode(newFault(badCall(status, message), code))
	}
}

// logEncoding is told when an answer could not be written, mostly since the
// caller has gone.
func (f *Front) logEncoding(_ context.Context, _ http.ResponseWriter, err error) {
	f.cfg.Log.WithError(err).Debug("answer not written")
}

// String names the service in the supervisor's log.
func (f *Front) String() string { return "front" }

// Serve takes calls until ctx ends, then waits for those in flight.
func (f *Front) Serve(ctx context.Context) error { return f.server.Serve(ctx) }
