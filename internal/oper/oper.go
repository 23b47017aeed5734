// Package oper is the operators' listener: what this daemon believes, what it
// counted and why it decided as it did.
package oper

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"regexp"
	"time"

	"github.com/sirupsen/logrus"

	shed "jasmineshed"
	"jasmineshed/internal/httpd"
	"jasmineshed/internal/prefs"
)

// StatusSource tells what the daemon believes, in a form that JSON can take.
type StatusSource interface {
	Status() any
}

// Explainer tells what the daemon decided on a request and why.
type Explainer interface {
	// Explain is false if the daemon remembers nothing of the request.
	Explain(id shed.RequestID) (any, bool)
}

// Config of an Oper.
type Config struct {
	// Listener takes the operators' connections; Serve closes it.
	Listener  net.Listener
	Status    StatusSource
	Explainer Explainer
	// Metrics serves the Prometheus text.
	Metrics http.Handler
	Limits  prefs.Limits
	// Profile serves runtime profiles.
	Profile bool
	Log     logrus.FieldLogger
}

// Oper is the operators' listener as a service of the supervisor tree.
type Oper struct {
	cfg    Config
	server *httpd.Server
}

// drainTime is how long operators' calls may last after the stop.
const drainTime = 2 * time.Second

// callTime bounds one call; a profile takes half a minute unless asked else.
const callTime = time.Minute

// New builds the listener's server; nothing runs before Serve.
func New(cfg Config) *Oper {
	o := &Oper{cfg: cfg}
	o.server = httpd.New(httpd.Config{
		Name:         "operators",
		Listener:     cfg.Listener,
		Handler:      o.handler(),
		Limits:       cfg.Limits,
		CallTimeout:  callTime,
		DrainTimeout: drainTime,
		Log:          cfg.Log,
	})
	return o
}

func (o *Oper) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", o.live)
	mux.HandleFunc("GET /status", o.status)
	mux.HandleFunc("GET /explain/{request}", o.explain)
	mux.Handle("GET /metrics", o.cfg.Metrics)
	if o.cfg.Profile {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
		mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	}
	return http.MaxBytesHandler(mux, o.cfg.Limits.BodyBytes)
}

func (o *Oper) live(w http.ResponseWriter, _ *http.Request) {
	o.write(w, http.StatusOK, health{Status: "live"})
}

func (o *Oper) status(w http.ResponseWriter, _ *http.Request) {
	o.write(w, http.StatusOK, o.cfg.Status.Status())
}

// idPattern is checked before an id from outside is used. It is that of the
// callers' interface.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

func (o *Oper) explain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("request")
	if !idPattern.MatchString(id) {
		o.write(w, http.StatusBadRequest, failure{Message: "not the id of a request"})
		return
	}
	story, ok := o.cfg.Explainer.Explain(shed.RequestID(id))
	if !ok {
		o.write(w, http.StatusNotFound, failure{Message: "this daemon remembers nothing of the request"})
		return
	}
	o.write(w, http.StatusOK, story)
}

type health struct {
	Status string `json:"status"`
}

type failure struct {
	Message string `json:"message"`
}

func (o *Oper) write(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		o.cfg.Log.WithError(err).Error("status not written")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.WriteHeader(code)
	_, _ = w.Write(append(body, '\n'))
}

// String names the service in the supervisor's log.
func (o *Oper) String() string { return "oper" }

// Serve answers operators until ctx ends.
func (o *Oper) Serve(ctx context.Context) error { return o.server.Serve(ctx) }
