package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/frame"
	"jasmineshed/internal/wire"
)

func newTestCall(kind shed.StageKind, sink func(shed.Frame) error) *call {
	return &call{
		start: shed.StartCall{Call: shed.Call{Request: "q"}, Stage: shed.Stage{Kind: kind}},
		sink:  frame.NewSink(sink),
		idle:  &idleTimer{},
	}
}

// referenceText parses a stream in the simplest way, for comparison.
func referenceText(data []byte) string {
	text := ""
	for _, line := range strings.SplitAfter(string(data), "\n") {
		line = strings.TrimRight(line, "\r\n")
		event, ok := strings.CutPrefix(line, "data:")
		event = strings.TrimPrefix(event, " ")
		if event == wire.StreamDone {
			break
		}
		var chunk wire.Chunk
		if !ok || json.Unmarshal([]byte(event), &chunk) != nil || len(chunk.Choices) == 0 {
			continue
		}
		text += chunk.Choices[0].Delta.Content
	}
	return text
}

const goodStream = `: alive

data: {"id":"q/0/1","choices":[{"index":0,"delta":{"content":" a"},"finish_reason":null}]}

data: {"id":"q/0/1","choices":[{"index":0,"delta":{"content":" b\n\u00e9"},"finish_reason":null}]}

data: {"id":"q/0/1","choices":[{"index":0,"delta":{"content":" \"c"},"finish_reason":null}]}

data: {"id":"q/0/1","choices":[{"index":0,"delta":{"content":" d"},"finish_reason":null}]}

data: {"id":"q/0/1","choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"completion_tokens":4}}

data: [DONE]

`

// A stream counts as complete only if it is, and its text then equals that of the reference
// parser, also where the fast path cut it out.
func FuzzStream(f *testing.F) {
	f.Add([]byte(goodStream))
	f.Add([]byte(strings.ReplaceAll(goodStream, "\n", "\r\n")))
	f.Add([]byte(strings.Replace(goodStream, `"completion_tokens":4`, `"completion_tokens":5`, 1)))
	f.Add([]byte(strings.Replace(goodStream, "[DONE]", "", 1)))
	f.Add([]byte(`data: {"error":{"message":"out of memory"}}` + "\n"))
	f.Add([]byte(`data: {"choices":[{"delta":{"content":"x"}},{"delta":{"content":"y"}}]}` + "\n"))
	f.Add([]byte("data: " + strings.Repeat("x", 2*maxLine)))
	f.Add([]byte(`data: {"id":"\"content\":\"","choices":[{"delta":{"content":"x"}}]}` + "\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		text := ""
		var result *shed.Payload
		c := newTestCall(shed.KindGenerate, func(fr shed.Frame) error {
			text += fr.Text
			result = fr.Result
			return nil
		})
		end := c.readReply(context.Background(), bytes.NewReader(data))
		if end.End != shed.EndComplete {
			return
		}
		require.Equal(t, referenceText(data), text)
		require.Equal(t, text, result.Text)
	})
}

// A reply that isn't streamed gives its full result or a bad reply, never a partial one.
func FuzzReply(f *testing.F) {
	f.Add(uint8(shed.KindEncode), []byte(`{"data":[{"embedding":[0.5,1]}]}`))
	f.Add(uint8(shed.KindRetrieve), []byte(`{"passages":[{"id":"p","text":"t","score":1}]}`))
	f.Add(uint8(shed.KindRerank), []byte(`{"results":[{"index":1},{"index":0}]}`))
	f.Add(uint8(shed.KindRerank), []byte(`{"results":[{"index":1},{"index":1}]}`))
	f.Add(uint8(shed.KindRerank), []byte(`{"results":[{"index":-1},{"index":2}]}`))
	f.Add(uint8(shed.KindService), []byte(`{"receipt":"r"}`))
	f.Add(uint8(shed.KindService), []byte(`{"receipt":`))
	f.Fuzz(func(t *testing.T, kind uint8, data []byte) {
		last := 0
		c := newTestCall(shed.StageKind(kind), func(fr shed.Frame) error {
			require.True(t, fr.Last)
			last++
			return nil
		})
		c.in.Passages = []shed.Passage{{ID: "a"}, {ID: "b"}}
		end := c.readReply(context.Background(), bytes.NewReader(data))
		require.Equal(t, end.End == shed.EndComplete, last == 1)
		if end.End == shed.EndComplete && shed.StageKind(kind) == shed.KindRerank {
			require.Len(t, c.in.Passages, 2)
		}
	})
}

func TestStreamEnds(t *testing.T) {
	cases := []struct {
		name     string
		from, to string
		want     shed.CallEnd
	}{
		{"whole", "", "", shed.EndComplete},
		{"a token lost", `{"completion_tokens":4}`, `{"completion_tokens":5}`, shed.EndBadReply},
		{"end mark lost", "data: [DONE]", "", shed.EndBroken},
		{"finish lost", `"finish_reason":"stop"`, `"finish_reason":null`, shed.EndBadReply},
		{"engine aborted", `"stop"`, `"abort"`, shed.EndError},
		{"no JSON", `{"id"`, `{id`, shed.EndBadReply},
		{"error event", `data: {"id":"q/0/1","choices":[{"index":0,"delta":{"content":" d"}`, `data: {"error":{"message":"x"},"choices":[{"delta":{}`, shed.EndError},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stream := strings.Replace(goodStream, c.from, c.to, 1)
			end := newTestCall(shed.KindGenerate, func(shed.Frame) error { return nil }).
				readReply(context.Background(), strings.NewReader(stream))
			require.Equal(t, c.want, end.End)
		})
	}
}

// BenchmarkStream parses a buffered stream of 1,000 tokens.
func BenchmarkStream(b *testing.B) {
	var data bytes.Buffer
	const tokens = 1000
	for i := range tokens {
		data.WriteString(`data: {"id":"q/0/1","choices":[{"index":0,"delta":{"content":" w` +
			strconv.Itoa(i) + `"},"finish_reason":null}]}` + "\n\n")
	}
	data.WriteString(`data: {"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"completion_tokens":1000}}` + "\n\ndata: [DONE]\n\n")
	b.ReportAllocs()
	for b.Loop() {
		end := newTestCall(shed.KindGenerate, func(shed.Frame) error { return nil }).
			readReply(context.Background(), bytes.NewReader(data.Bytes()))
		if end.End != shed.EndComplete {
			b.Fatal(end)
		}
	}
	b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
}

func TestReplyEnds(t *testing.T) {
	cases := []struct {
		name  string
		kind  shed.StageKind
		reply string
		want  shed.CallEnd
	}{
		{"vector", shed.KindEncode, `{"data":[{"embedding":[0.5]}]}`, shed.EndComplete},
		{"no vector", shed.KindEncode, `{"data":[]}`, shed.EndBadReply},
		{"empty vector", shed.KindEncode, `{"data":[{"embedding":[]}]}`, shed.EndBadReply},
		{"passages", shed.KindRetrieve, `{"passages":[]}`, shed.EndComplete},
		{"no passages", shed.KindRetrieve, `{}`, shed.EndBadReply},
		{"ranks", shed.KindRerank, `{"results":[{"index":1},{"index":0}]}`, shed.EndComplete},
		{"rank doubled", shed.KindRerank, `{"results":[{"index":1},{"index":1}]}`, shed.EndBadReply},
		{"rank lost", shed.KindRerank, `{"results":[{"index":1}]}`, shed.EndBadReply},
		{"rank of nothing", shed.KindRerank, `{"results":[{"index":2},{"index":0}]}`, shed.EndBadReply},
		{"receipt", shed.KindService, `{"receipt":"r"}`, shed.EndComplete},
		{"no receipt", shed.KindService, `{"receipt":""}`, shed.EndBadReply},
		{"too large", shed.KindService, strings.Repeat(" ", maxReply+1), shed.EndBadReply},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ca := newTestCall(c.kind, func(shed.Frame) error { return nil })
			ca.in.Passages = []shed.Passage{{ID: "a"}, {ID: "b"}}
			end := ca.readReply(context.Background(), strings.NewReader(c.reply))
			require.Equal(t, c.want, end.End)
		})
	}
}
