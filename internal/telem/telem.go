// Package telem sets up logs, metrics and traces. Nothing in it ever sees a
// prompt, an answer or a token, so none can get out by it.
package telem

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// NewLogger writes JSON lines to w, from level on ("debug", "info", "warning"
// or "error").
func NewLogger(w io.Writer, level string) (*logrus.Logger, error) {
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(l)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log, nil
}

// Prefix opens the name of every metric.
const Prefix = "jasmineshed"

// reportEvery is how often tally passes what it counted on to Prometheus.
const reportInterval = time.Second

// Metrics are the counters of one process. Each has a registry of its own, so
// that many may live in one process.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics starts counting.
func NewMetrics(log logrus.FieldLogger) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			log.WithError(err).Error("metric not registered")
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         Prefix,
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports a last time and stops.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("closing metrics: %w", err)
	}
	return nil
}

// SupervisorHook logs what a supervisor of the tree sees.
func SupervisorHook(log logrus.FieldLogger) suture.EventHook {
	return func(e suture.Event) {
		entry := log.WithFields(logrus.Fields(e.Map()))
		switch e.Type() {
		case suture.EventTypeResume:
			entry.Info("supervisor resumed")
		case suture.EventTypeServiceTerminate:
			entry.Warn("service ended")
		default:
			entry.Error(e.String())
		}
	}
}

// runAll runs every step and joins what went wrong.
func runAll(ctx context.Context, steps ...func(context.Context) error) error {
	var all []error
	for _, step := range steps {
		all = append(all, step(ctx))
	}
	return errors.Join(all...)
}
