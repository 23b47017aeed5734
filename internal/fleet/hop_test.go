package fleet

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	shed "jasmineshed"
	sample "jasmineshed/examples"
	"jasmineshed/internal/engine"
	"jasmineshed/internal/stand"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// hopRules returns rules with a pipeline of one encode stage in the zone.
func hopRules(b testing.TB, zone string) []byte {
	b.Helper()
	text, err := sample.Rules("small")
	require.NoError(b, err)
	out := strings.Replace(string(text), "[pipelines]\n",
		"[pipelines]\nhop = deadline 6s, stages embed ; benchmark\n", 1)
	return []byte(strings.Replace(out, "[stages]\n",
		fmt.Sprintf("[stages]\nhop/embed = kind encode, pool encoders, minimum 1ms, zones %s ; benchmark\n", zone), 1))
}

// instant configures an engine whose calls take no time.
func instant(s *shed.Server, kind shed.StageKind) stand.EngineConfig {
	cfg := DefaultEngine(s, kind)
	cfg.CallTime = 0
	return cfg
}

// BenchmarkHop measures a call directly to the engine, through one daemon, and
// through a second daemon in another zone; the differences are the cost of a hop.
// The callers' HTTP interface is not included.
func BenchmarkHop(b *testing.B) {
	for _, c := range []struct{ name, zone string }{
		{"direct", ""}, {"daemon", "a"}, {"cross_zone", "b"},
	} {
		b.Run(c.name, func(b *testing.B) {
			zone := c.zone
			if zone == "" {
				zone = "a"
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			f, err := Start(ctx, Config{Rules: hopRules(b, zone), Engine: instant, DaemonsPerZone: 1})
			require.NoError(b, err)
			defer f.Close()
			require.NoError(b, f.WaitReady(ctx))
			measureHop(b, f, c.zone != "")
		})
	}
}

func measureHop(b *testing.B, f *Fleet, daemon bool) {
	h := hdrhistogram.New(1, 10_000_000, 3)
	e := engine.New(engine.Config{})
	req := shed.Request{Workspace: "noord", Token: "demo-noord", Pipeline: "hop", Payload: shed.Payload{Input: "x"}}
	call := func() {
		if daemon {
			answer := f.Members()[0].Daemon().Serve(context.Background(), req, nil)
			require.Equal(b, shed.OutcomeComplete, answer.Outcome, answer.Reason)
			return
		}
		start := shed.StartCall{
			Server: "enc-a-1", URL: f.Rules.Servers["enc-a-1"].URL, Stage: shed.Stage{Kind: shed.KindEncode, Idempotent: true},
			Deadline: time.Now().Add(time.Second), IdleTimeout: time.Second,
		}
		end := e.Call(context.Background(), start, req.Payload, func(shed.Frame) error { return nil })
		require.Equal(b, shed.EndComplete, end.End)
	}
	for range 200 {
		call()
	}
	b.ResetTimer()
	for range b.N {
		start := time.Now()
		call()
		_ = h.RecordValue(time.Since(start).Nanoseconds() / 1000)
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50_us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99_us")
}
