package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"jasmineshed/internal/wire"
)

var errEngineFailed = errors.New("engine reported an error")

// streamEvent is the content of one event of a stream. Its text is valid until the next event.
type streamEvent struct {
	text     []byte
	finished bool
	usage    *wire.Usage
}

// chunkParser parses the events of one stream.
//
// Nearly all events of a stream differ only in their text. The first one is parsed by
// encoding/json, and the bytes around its text are kept. A later event with the same bytes
// around text without escapes must be the same JSON, so its text is cut out directly; any
// other event goes to encoding/json again.
type chunkParser struct {
	prefix, suffix []byte
}

var (
	contentField = []byte(`"content":"`)
	// textEnd follows the text in an event with a single choice.
	textEnd = []byte(`"}`)
)

func (p *chunkParser) parse(data []byte) (streamEvent, error) {
	if text, ok := p.parseFast(data); ok {
		return streamEvent{text: text}, nil
	}
	var chunk wire.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return streamEvent{}, fmt.Errorf("%w: %w", errBadReply, err)
	}
	if chunk.Error != nil {
		return streamEvent{}, errEngineFailed
	}
	if len(chunk.Choices) > 1 {
		return streamEvent{}, errBadReply
	}
	out := streamEvent{usage: chunk.Usage}
	if len(chunk.Choices) == 0 {
		return out, nil
	}
	choice := chunk.Choices[0]
	out.text = []byte(choice.Delta.Content)
	if choice.FinishReason != nil {
		out.finished = true
		return out, checkFinishReason(*choice.FinishReason)
	}
	if chunk.Usage == nil {
		p.learnTemplate(data, out.text)
	}
	return out, nil
}

// checkFinishReason returns an error unless the engine finished normally.
func checkFinishReason(reason string) error {
	switch reason {
	case "stop", "length", "tool_calls", "content_filter":
		return nil
	default:
		return errEngineFailed
	}
}

func (p *chunkParser) parseFast(data []byte) ([]byte, bool) {
	if p.prefix == nil || len(data) <= len(p.prefix)+len(p.suffix) {
		return nil, false
	}
	text := data[len(p.prefix) : len(data)-len(p.suffix)]
	if !bytes.HasPrefix(data, p.prefix) || !bytes.HasSuffix(data, p.suffix) || !isPlainText(text) {
		return nil, false
	}
	return text, true
}

// learnTemplate stores the bytes around the text, if it occurs in them without escapes.
func (p *chunkParser) learnTemplate(data, text []byte) {
	p.prefix, p.suffix = nil, nil
	if len(text) == 0 || !isPlainText(text) {
		return
	}
	at := bytes.Index(data, contentField)
	if at < 0 || bytes.Count(data, contentField) != 1 {
		return
	}
	at += len(contentField)
	rest, ok := bytes.CutPrefix(data[at:], text)
	if !ok || !bytes.HasPrefix(rest, textEnd) {
		return
	}
	p.prefix = bytes.Clone(data[:at])
	p.suffix = bytes.Clone(rest)
}

// isPlainText reports whether text needs no escapes inside a JSON string.
func isPlainText(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}
