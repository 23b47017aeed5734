package engine_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/engine"
	"jasmineshed/internal/stand"
)

// listen serves a stand-in on loopback until the test ends.
func listen(t testing.TB, h http.Handler) string {
	t.Helper()
	s, err := stand.Listen("127.0.0.1:0", h)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s.URL()
}

func startOf(url string, kind shed.StageKind) shed.StartCall {
	return shed.StartCall{
		Call:        shed.Call{Request: "q1", Attempt: 1},
		Server:      "s1",
		URL:         url,
		Stage:       shed.Stage{ID: "st", Kind: kind, Idempotent: kind != shed.KindService},
		Deadline:    time.Now().Add(time.Minute),
		IdleTimeout: 10 * time.Second,
	}
}

// collect gathers the frames of a call.
type collect struct{ frames []shed.Frame }

func (c *collect) take(f shed.Frame) error {
	c.frames = append(c.frames, f)
	return nil
}

func (c *collect) text() string {
	text := ""
	for _, f := range c.frames {
		text += f.Text
	}
	return text
}

func TestEveryStageKind(t *testing.T) {
	in := shed.Payload{Input: "rain in the north", MaxTokens: 40}
	in.Passages = stand.Passages(in.Input, 4)
	cases := []struct {
		name string
		kind shed.StageKind
		want func(p *shed.Payload)
	}{
		{"encode", shed.KindEncode, func(p *shed.Payload) { p.Vector = stand.Vector(in.Input) }},
		{"retrieve", shed.KindRetrieve, func(p *shed.Payload) { p.Passages = stand.Passages(in.Input, 8) }},
		{"rerank", shed.KindRerank, func(p *shed.Payload) { p.Passages = stand.Rerank(in.Input, in.Passages) }},
		{"generate", shed.KindGenerate, func(p *shed.Payload) { p.Text = stand.FullText(in.Input, 40) }},
		{"service", shed.KindService, func(p *shed.Payload) { p.Receipt = stand.Receipt("q1", in.Input) }},
	}
	e := engine.New(engine.Config{})
	defer func() { require.NoError(t, e.Close()) }()
	eng := listen(t, stand.NewEngine(stand.EngineConfig{ID: "s1"}))
	svc := listen(t, stand.NewService(stand.ServiceConfig{}))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := eng
			if c.kind == shed.KindService {
				url = svc
			}
			var got collect
			end := e.Call(context.Background(), startOf(url, c.kind), in, got.take)
			require.Equal(t, shed.EndComplete, end.End, end.Reason)
			want := in
			c.want(&want)
			require.Equal(t, map[bool]string{true: "-0", false: "s1-0"}[c.kind == shed.KindService], got.frames[0].Boot)
			last := got.frames[len(got.frames)-1]
			require.True(t, last.Last)
			require.Equal(t, want, *last.Result)
			// Exactly one frame tells of the acceptance, before all others.
			for i, f := range got.frames {
				require.Equal(t, i == 0, f.Accepted)
				require.EqualValues(t, max(i-1, 0), f.Sequence)
			}
			require.Equal(t, want.Text, got.text())
		})
	}
}
