package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"jasmineshed/internal/wire"
)

var errEngine = errors.New("engine reported an error")

// piece is what one event of a stream tells. Its text is valid until the next.
type piece struct {
	text     []byte
	finished bool
	usage    *wire.Usage
}

// chunkParser reads the events of one stream.
//
// Nearly all events of a stream are the same but for the text. The first one
// is read by encoding/json, and the bytes around its text are kept. A later
// event with the same bytes around a plain piece of text must be the same
// JSON, so its text is cut out; any other goes to encoding/json again.
type chunkParser struct {
	before, after []byte
}

var (
	contentField = []byte(`"content":"`)
	// endOfText is what follows the text in an event of one choice.
	endOfText = []byte(`"}`)
)

func (p *chunkParser) parse(data []byte) (piece, error) {
	if text, ok := p.cut(data); ok {
		return piece{text: text}, nil
	}
	var chunk wire.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return piece{}, fmt.Errorf("%w: %w", errBadReply, err)
	}
	if chunk.Error != nil {
		return piece{}, errEngine
	}
	if len(chunk.Choices) > 1 {
		return piece{}, errBadReply
	}
	out := piece{usage: chunk.Usage}
	if len(chunk.Choices) == 0 {
		return out, nil
	}
	choice := chunk.Choices[0]
	out.text = []byte(choice.Delta.Content)
	if choice.FinishReason != nil {
		out.finished = true
		return out, finish(*choice.FinishReason)
	}
	if chunk.Usage == nil {
		p.learn(data, out.text)
	}
	return out, nil
}

// finish tells whether the engine came to a good end.
func finish(reason string) error {
	switch reason {
	case "stop", "length", "tool_calls", "content_filter":
		return nil
	default:
		return errEngine
	}
}

func (p *chunkParser) cut(data []byte) ([]byte, bool) {
	if p.before == nil || len(data) <= len(p.before)+len(p.after) {
		return nil, false
	}
	text := data[len(p.before) : len(data)-len(p.after)]
	if !bytes.HasPrefix(data, p.before) || !bytes.HasSuffix(data, p.after) || !plain(text) {
		return nil, false
	}
	return text, true
}

// learn keeps the bytes around the text, if the text stands in them plainly.
func (p *chunkParser) learn(data, text []byte) {
	p.before, p.after = nil, nil
	if len(text) == 0 || !plain(text) {
		return
	}
	at := bytes.Index(data, contentField)
	if at < 0 || bytes.Count(data, contentField) != 1 {
		return
	}
	at += len(contentField)
	rest, ok := bytes.CutPrefix(data[at:], text)
	if !ok || !bytes.HasPrefix(rest, endOfText) {
		return
	}
	p.before = bytes.Clone(data[:at])
	p.after = bytes.Clone(rest)
}

// plain tells whether text means itself inside a JSON string.
func plain(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}
