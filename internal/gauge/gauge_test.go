package gauge

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/stand"
	"jasmineshed/pkg/client"
)

func TestExamplesParse(t *testing.T) {
	paths, err := filepath.Glob("../../examples/scenarios/*.ini")
	require.NoError(t, err)
	require.Len(t, paths, 10)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			s, err := ParseScenario(text)
			require.NoError(t, err)
			require.Equal(t, s.Name+".ini", filepath.Base(path))
			require.NotEmpty(t, s.Arrivals())
		})
	}
}

const tiny = `
[scenario]
name = tiny
about = two events
duration = 4s
rate = 10
[pipelines]
draft = 1
[workspaces]
noord = 3
oost = 1
[bursts]
surge = 3 at 1s for 1s
[events]
out = 2500ms zone_out a
back = 3500ms zone_back a
`

func TestFaultyScenarios(t *testing.T) {
	cases := []struct {
		name, from, to, want string
	}{
		{"unknown key", "rate = 10", "rat = 10", "scenario: rat: unknown key"},
		{"no rate", "rate = 10", "rate = 0", "must be above 0"},
		{"no number", "rate = 10", "rate = ten", "no number"},
		{"unknown event", "zone_out", "zone_off", "is no event"},
		{"missing target", "zone_out a", "zone_out", "its target is wrong"},
		{"out of order", "3500ms zone_back", "1s zone_back", "earlier"},
		{"unknown policy", "duration = 4s", "policy = best", "unknown policy"},
		{"bad burst", "3 at 1s", "3 1s", "want FACTOR at TIME"},
		{"no pipelines", "draft = 1", "", "are needed"},
		{"bad weight", "draft = 1", "draft = -1", "no weight"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, tiny, c.from)
			_, err := ParseScenario([]byte(strings.Replace(tiny, c.from, c.to, 1)))
			require.ErrorIs(t, err, ErrScenario)
			require.ErrorContains(t, err, c.want)
		})
	}
}

// fake answers every request after a second, but for some, and records events.
type fake struct {
	rules    *shed.Rules
	platform *stand.Platform
	engine   *stand.Engine
}

func (f *fake) Rules() *shed.Rules                      { return f.rules }
func (f *fake) Platform() *stand.Platform               { return f.platform }
func (f *fake) ApplyEvent(context.Context, Event) error { return nil }
func (f *fake) Servers() []Server {
	return []Server{{ID: "gen-1", Zone: "a", Record: &f.engine.Record}}
}

func (f *fake) Call(_ context.Context, a Arrival, tokens int, text func()) (*client.Answer, error) {
	time.Sleep(200 * time.Millisecond)
	text()
	time.Sleep(800 * time.Millisecond)
	out := &client.Answer{Outcome: client.Complete}
	out.Payload.Text = stand.FullText(a.Input, tokens)
	out.Stages = []client.StageReport{{Stage: "draft", Attempts: 2, Cost: client.Cost{Useful: 30, Wasted: 10}}}
	switch a.Number % 10 {
	case 1:
		return nil, &client.AnswerError{Answer: &client.Answer{Outcome: client.NotRun, Reason: "queue_full"}}
	case 2:
		out.Payload.Text = stand.FullText("another's", tokens)
	case 3:
		time.Sleep(time.Second)
	case 4:
		return nil, &client.AnswerError{Answer: &client.Answer{Outcome: client.Unknown, Reason: "connection_broken"}}
	case 5:
		return nil, &client.NoAnswerError{Sent: true, Err: io.ErrUnexpectedEOF}
	}
	return out, nil
}

func newFake() *fake {
	return &fake{
		rules: &shed.Rules{Pipelines: map[shed.PipelineID]*shed.Pipeline{"draft": {
			Deadline: 1500 * time.Millisecond,
			Stages:   []shed.Stage{{ID: "draft", Kind: shed.KindGenerate, Idempotent: true}},
		}}},
		platform: stand.NewPlatform(stand.PlatformConfig{}),
		engine:   stand.NewEngine(stand.EngineConfig{}),
	}
}

// One fleet of known behaviour gives one known report: every verdict comes up,
// and the arrivals don't wait for the answers, each of which takes a second.
func TestReportOfAKnownFleet(t *testing.T) {
	s, err := ParseScenario([]byte(tiny))
	require.NoError(t, err)
	var out, progress bytes.Buffer
	var result *Result
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		result, err = RunScenario(t.Context(), s, f, &progress)
		require.NoError(t, err)
		require.Zero(t, result.Lag)
		require.NoError(t, result.Report(f.rules).WriteTable(&out))
	})
	golden := goldie.New(t)
	golden.Assert(t, "table", out.Bytes())
	golden.Assert(t, "progress", progress.Bytes())
	out.Reset()
	result.Samples = result.Samples[:5]
	require.NoError(t, result.WriteLines(&out))
	golden.Assert(t, "lines", out.Bytes())
	require.NoError(t, result.WritePlot(filepath.Join(t.TempDir(), "plot.png")))
}

func TestPlanIsTheSameEachTime(t *testing.T) {
	s, err := ParseScenario([]byte(tiny))
	require.NoError(t, err)
	require.Equal(t, s.Arrivals(), s.Arrivals())
	other := s
	other.Seed++
	require.NotEqual(t, s.Arrivals(), other.Arrivals())
}
