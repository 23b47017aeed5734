package telem

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Exporters of spans.
const (
	ExportNone = "none"
	ExportFile = "file"
	ExportOTLP = "otlp"
)

// TraceConfig says where spans go.
type TraceConfig struct {
	// Exporter is ExportNone, ExportFile or ExportOTLP.
	Exporter string
	// File for ExportFile; JSON lines are added at its end.
	File string
	// Endpoint is the collector's URL for ExportOTLP.
	Endpoint string
	// Ratio of the traces kept that start here, from 0 to 1. A trace that
	// started elsewhere is kept if its start was.
	Ratio float64
	// Zone and VM of this process, put on every span.
	Zone, VM string
}

// Tracing is the source of spans of one process.
type Tracing struct {
	trace.TracerProvider
	shutdown []func(context.Context) error
}

// NewTracing starts tracing.
func NewTracing(ctx context.Context, cfg TraceConfig) (*Tracing, error) {
	t := &Tracing{}
	exporter, err := t.exporter(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("starting traces: %w", err)
	}
	if exporter == nil {
		t.TracerProvider = noop.NewTracerProvider()
		return t, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", Prefix),
			attribute.String("zone", cfg.Zone),
			attribute.String("vm", cfg.VM),
		)),
	)
	t.TracerProvider = provider
	// The provider goes first: it flushes into the exporter and its file.
	t.shutdown = append([]func(context.Context) error{provider.Shutdown}, t.shutdown...)
	return t, nil
}

func (t *Tracing) exporter(ctx context.Context, cfg TraceConfig) (sdktrace.SpanExporter, error) {
	switch cfg.Exporter {
	case ExportNone, "":
		return nil, nil
	case ExportFile:
		f, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		t.shutdown = append(t.shutdown, func(context.Context) error { return f.Close() })
		return stdouttrace.New(stdouttrace.WithWriter(f))
	case ExportOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
	}
	return nil, fmt.Errorf("unknown exporter %q", cfg.Exporter)
}

// Shutdown sends what is left and stops.
func (t *Tracing) Shutdown(ctx context.Context) error {
	if err := closeAll(ctx, t.shutdown...); err != nil {
		return fmt.Errorf("stopping traces: %w", err)
	}
	return nil
}

// w3c carries a trace over HTTP in the header traceparent. Baggage is left
// out: it would pass on whatever callers put there.
var w3c = propagation.TraceContext{}

// Inject puts the trace of ctx into h.
func Inject(ctx context.Context, h http.Header) {
	w3c.Inject(ctx, propagation.HeaderCarrier(h))
}

// Extract gives ctx the trace in h.
func Extract(ctx context.Context, h http.Header) context.Context {
	return w3c.Extract(ctx, propagation.HeaderCarrier(h))
}

// TraceParent is the trace of ctx as text, for a wire without headers; empty if
// there is none.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	w3c.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

// WithTraceParent gives ctx the trace that Parent gave as text.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	return w3c.Extract(ctx, propagation.MapCarrier{"traceparent": parent})
}

// TraceID of ctx as text; empty if there is none.
func TraceID(ctx context.Context) string {
	id := trace.SpanContextFromContext(ctx).TraceID()
	if !id.IsValid() {
		return ""
	}
	return id.String()
}
