package telem

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"
	"go.opentelemetry.io/otel/trace"
)

func TestLoggerWritesJSONLines(t *testing.T) {
	var b bytes.Buffer
	log, err := NewLogger(&b, "warning")
	require.NoError(t, err)
	log.Info("not severe enough")
	log.WithField("zone", "nl-west-a").Warn("zone out")
	var line map[string]any
	require.NoError(t, json.Unmarshal(b.Bytes(), &line))
	require.Equal(t, "zone out", line["msg"])
	require.Equal(t, "nl-west-a", line["zone"])

	_, err = NewLogger(&b, "loud")
	require.Error(t, err)
}

func TestMetricsReachPrometheus(t *testing.T) {
	log, err := NewLogger(&bytes.Buffer{}, "error")
	require.NoError(t, err)
	m := NewMetrics(log)
	m.Scope.Tagged(map[string]string{"reason": "queue_full"}).Counter("refused").Inc(3)
	require.NoError(t, m.Close())
	w := httptest.NewRecorder()
	m.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, w.Body.String(), `jasmineshed_refused{reason="queue_full"} 3`)
}

func TestSpansReachTheFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans")
	tracing, err := NewTracing(t.Context(), TraceConfig{Exporter: ExportFile, File: file, Ratio: 1, Zone: "nl-west-a"})
	require.NoError(t, err)
	ctx, span := tracing.Tracer("test").Start(t.Context(), "hop")
	id := TraceID(ctx)
	span.End()
	require.NoError(t, tracing.Shutdown(context.Background()))
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Contains(t, string(text), id)
	require.Contains(t, string(text), "nl-west-a")
}

func TestExporters(t *testing.T) {
	cases := []struct {
		name string
		cfg  TraceConfig
		good bool
	}{
		{"none", TraceConfig{Exporter: ExportNone}, true},
		{"otlp", TraceConfig{Exporter: ExportOTLP, Endpoint: "http://127.0.0.1:1/v1/traces"}, true},
		{"file that can't be opened", TraceConfig{Exporter: ExportFile, File: filepath.Join(t.TempDir(), "no", "dir")}, false},
		{"unknown", TraceConfig{Exporter: "pigeon"}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tracing, err := NewTracing(t.Context(), tc.cfg)
			require.Equal(t, tc.good, err == nil, err)
			if tc.good {
				require.NoError(t, tracing.Shutdown(t.Context()))
			}
		})
	}
}

func TestTraceCrossesAHop(t *testing.T) {
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	ctx := WithTraceParent(t.Context(), parent)
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c", TraceID(ctx))
	require.Equal(t, parent, TraceParent(ctx))

	h := http.Header{}
	Inject(ctx, h)
	require.Equal(t, parent, h.Get("traceparent"))
	require.True(t, trace.SpanContextFromContext(Extract(t.Context(), h)).IsRemote())

	require.Empty(t, TraceID(WithTraceParent(t.Context(), "odd")))
	require.Empty(t, TraceParent(t.Context()))
}

func TestSupervisorHook(t *testing.T) {
	var b bytes.Buffer
	log, err := NewLogger(&b, "info")
	require.NoError(t, err)
	hook := SupervisorHook(log)
	hook(suture.EventServiceTerminate{SupervisorName: "root", ServiceName: "front", Err: errors.New("closed")})
	hook(suture.EventServicePanic{SupervisorName: "root", ServiceName: "front", PanicMsg: "nil map"})
	hook(suture.EventResume{SupervisorName: "root"})
	require.Contains(t, b.String(), "service ended")
	require.Contains(t, b.String(), "nil map")
	require.Contains(t, b.String(), "supervisor resumed")
}
