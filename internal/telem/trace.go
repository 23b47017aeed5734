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

// TraceConfig configures the export of spans.
type TraceConfig struct {
	// Exporter is ExportNone, ExportFile or ExportOTLP.
	Exporter string
	// File is where ExportFile appends JSON lines.
	File string
	// Endpoint is the collector's URL, for ExportOTLP.
	Endpoint string
	// Ratio is the share of the traces starting here that are sampled, from 0 to
	// 1. A trace that started elsewhere is sampled if its parent span was.
	Ratio float64
	// Zone and VM of this process are attributes of every span.
	Zone, VM string
}

// Tracing is the tracer provider of one process.
type Tracing struct {
	trace.TracerProvider
	shutdown []func(context.Context) error
}

// NewTracing sets up tracing; Shutdown flushes and stops it.
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

// Shutdown exports the remaining spans and stops tracing.
func (t *Tracing) Shutdown(ctx context.Context) error {
	if err := runAll(ctx, t.shutdown...); err != nil {
		return fmt.Errorf("stopping traces: %w", err)
	}
	return nil
}

// propagator passes a trace context over HTTP in the header traceparent. Baggage
// is left out: it would forward arbitrary data of callers.
var propagator = propagation.TraceContext{}

// Inject adds the trace context of ctx to h.
func Inject(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// Extract returns ctx with the trace context in h.
func Extract(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// TraceParent returns the trace context of ctx as text, for a protocol without headers;
// empty if there is none.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

// WithTraceParent returns ctx with the trace context that TraceParent returned as text.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier{"traceparent": parent})
}

// TraceID returns the trace id of ctx as text; empty if there is none.
func TraceID(ctx context.Context) string {
	id := trace.SpanContextFromContext(ctx).TraceID()
	if !id.IsValid() {
		return ""
	}
	return id.String()
}
