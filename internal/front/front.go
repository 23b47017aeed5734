// Package front is the HTTP interface for callers: a goa server in front of shed.Serving.
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
	"jasmineshed/internal/quota"
)

// Config configures a Front.
type Config struct {
	// Listener accepts the callers' connections; Serve closes it.
	Listener net.Listener
	// TLS is nil for plain TCP.
	TLS     *tls.Config
	Serving shed.Serving
	Limits  prefs.Limits
	// Account accounts for what callers make the process hold; nil means one that is bounded by Limits alone.
	Account *quota.Account
	// DrainTimeout bounds how long Serve waits for requests in flight when it stops.
	DrainTimeout time.Duration
	Log          logrus.FieldLogger
	// Scope may be nil.
	Scope tally.Scope
	// Tracer may be nil.
	Tracer trace.TracerProvider
}

// Front is the callers' HTTP server as a service of the supervisor tree.
type Front struct {
	cfg     Config
	handler http.Handler
	server  *httpd.Server
}

// New builds the server; nothing runs before Serve.
func New(cfg Config) *Front {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Account == nil {
		cfg.Account = quota.New(cfg.Limits.Held())
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
		Account:      cfg.Account,
		Scope:        cfg.Scope,
		Log:          cfg.Log,
	})
	return f
}

func (f *Front) newHandler() http.Handler {
	mux := goahttp.NewMuxer()
	m := newMetrics(f.cfg.Scope)
	svc := &service{serving: f.cfg.Serving, heartbeatInterval: f.cfg.Limits.Beat, metrics: m}
	pipes := pipehttp.New(pipelines.NewEndpoints(svc), mux, newDecoder, newEncoder, f.logEncoding, formatError)
	probes := healthhttp.New(health.NewEndpoints(svc), mux, newDecoder, newEncoder, f.logEncoding, nil)
	handleUnknownRoutes(mux)
	pipehttp.Mount(mux, pipes)
	healthhttp.Mount(mux, probes)
	return newGuard(f.cfg, m, mux)
}

// handleUnknownRoutes answers unrouted calls in the same form as all others.
func handleUnknownRoutes(mux goahttp.Muxer) {
	router, ok := mux.(interface {
		NotFound(http.HandlerFunc)
		MethodNotAllowed(http.HandlerFunc)
	})
	if !ok {
		return
	}
	router.NotFound(errorHandler(http.StatusNotFound, statusNotFound, "no such path"))
	router.MethodNotAllowed(errorHandler(http.StatusMethodNotAllowed, statusBadRequest, "no such method on this path"))
}

func errorHandler(code int, status, message string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		enc := newEncoder(r.Context(), w)
		w.WriteHeader(code)
		_ = enc.Encode(newErrorResponse(newRejection(status, message), code))
	}
}

// logEncoding logs a response that could not be written, usually because the caller
// disconnected.
func (f *Front) logEncoding(_ context.Context, _ http.ResponseWriter, err error) {
	f.cfg.Log.WithError(err).Debug("could not write the response")
}

// String names the service in the supervisor's log.
func (f *Front) String() string { return "front" }

// Serve accepts calls until ctx ends, then waits for those in flight.
func (f *Front) Serve(ctx context.Context) error { return f.server.Serve(ctx) }
