// Package telem sets up logs, metrics and traces. It must never be passed a
// prompt, an answer or a token, so that none can leak through telemetry.
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

// NewLogger returns a logger that writes JSON lines of at least the given level
// ("debug", "info", "warning" or "error") to w.
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

// Prefix is the prefix of every metric's name, and the service's name in traces.
const Prefix = "jasmineshed"

// reportInterval is how often tally passes its values to Prometheus.
const reportInterval = time.Second

// Metrics are the metrics of one daemon. Each Metrics has its own registry, so that
// several daemons may run in one process.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns empty metrics; Close stops their reporter.
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

// Close reports the last values and stops the reporter.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("closing metrics: %w", err)
	}
	return nil
}

// SupervisorHook returns a hook that logs the events of a supervisor.
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

// runAll runs every step, also after a failed one, and joins their errors.
func runAll(ctx context.Context, steps ...func(context.Context) error) error {
	var all []error
	for _, step := range steps {
		all = append(all, step(ctx))
	}
	return errors.Join(all...)
}
