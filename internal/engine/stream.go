package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"

	shed "jasmineshed"
	"jasmineshed/internal/wire"
)

const (
	// maxLine bounds one line of a stream in bytes.
	maxLine = 16 << 10
	// maxText bounds the text of a complete stream in bytes.
	maxText = 4 << 20
	// maxFrameText bounds the text that is merged into one frame, in bytes.
	maxFrameText = 4 << 10
)

var errSinkFailed = errors.New("frame sink failed")

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLine) }}

// stream reads a generated stream to its end.
func (c *call) stream(ctx context.Context, reply io.Reader) shed.CallEnded {
	br := readerPool.Get().(*bufio.Reader)
	br.Reset(reply)
	defer func() {
		br.Reset(nil)
		readerPool.Put(br)
	}()
	g := &streamReader{call: c, events: eventReader{br: br, onLine: c.idle.reset}}
	err := g.read()
	switch {
	case err == nil:
		return c.endComplete(g.result(), br)
	case errors.Is(err, errEngineFailed):
		return c.newEnd(shed.EndError, shed.ReasonServerError)
	case errors.Is(err, errBadReply):
		return c.newEnd(shed.EndBadReply, shed.ReasonBadReply)
	case errors.Is(err, errSinkFailed):
		return c.newEnd(shed.EndBroken, shed.ReasonBroken)
	default:
		return c.endFailed(ctx, err, true)
	}
}

// result is the payload after the stage. A resumed stream contains only the end of the text,
// so the text is left empty; whoever has the beginning joins them.
func (g *streamReader) result() shed.Payload {
	out := g.in
	out.Text = ""
	if g.start.ResumeFrom == 0 {
		out.Text = g.text.String()
	}
	return out
}

// streamReader assembles the events of one stream.
type streamReader struct {
	*call
	events eventReader
	parser chunkParser
	text   strings.Builder
	// pendingText is text not yet emitted, pendingTokens its number of tokens.
	pendingText   []byte
	pendingTokens shed.Tokens
	finished      bool
	usage         *wire.Usage
}

// read returns nil once the stream is complete: it has a finish reason, its reported token
// count equals the number of tokens received, and its end marker has arrived.
func (g *streamReader) read() error {
	for {
		data, err := g.events.next()
		if err != nil {
			return errors.Join(err, g.flush())
		}
		done, err := g.handleEvent(data)
		if err != nil {
			return err
		}
		if done {
			return g.flush()
		}
		if err := g.flushWithBuffered(); err != nil {
			return err
		}
	}
}

// handleEvent processes one event and reports whether it was the end marker.
func (g *streamReader) handleEvent(data []byte) (bool, error) {
	if string(data) == wire.StreamDone {
		return true, g.checkComplete()
	}
	event, err := g.parser.parse(data)
	if err != nil {
		return false, err
	}
	if event.finished {
		g.finished = true
	}
	if event.usage != nil {
		g.usage = event.usage
	}
	if len(event.text) == 0 {
		return false, nil
	}
	if g.finished && !event.finished {
		return false, errBadReply
	}
	if g.text.Len()+len(event.text) > maxText {
		return false, errBadReply
	}
	g.text.Write(event.text)
	g.pendingText = append(g.pendingText, event.text...)
	g.pendingTokens++
	g.tokens++
	return false, nil
}

// checkComplete runs at the end marker. An engine that packs several tokens into one event
// would break the token count, and with it the offset to resume from; its stream does not
// count as complete.
func (g *streamReader) checkComplete() error {
	if !g.finished {
		return errBadReply
	}
	if g.usage != nil && g.usage.CompletionTokens != g.start.ResumeFrom+g.tokens {
		return errBadReply
	}
	return nil
}

// flushWithBuffered emits the pending text. Events that have arrived in the meantime are
// merged into the same frame, which lowers the cost per token under load; the first token is
// never delayed.
func (g *streamReader) flushWithBuffered() error {
	for g.sequence > 0 && len(g.pendingText) < maxFrameText {
		data, ok := g.events.nextBuffered()
		if !ok {
			break
		}
		done, err := g.handleEvent(data)
		if err != nil {
			return err
		}
		if done {
			g.events.pushedBack = data
			break
		}
	}
	return g.flush()
}

func (g *streamReader) flush() error {
	if len(g.pendingText) == 0 {
		return nil
	}
	err := g.emit(shed.Frame{Text: string(g.pendingText), Tokens: g.pendingTokens})
	g.pendingText = g.pendingText[:0]
	g.pendingTokens = 0
	if err != nil {
		return errors.Join(errSinkFailed, err)
	}
	return nil
}

// eventReader reads the data of server-sent events.
type eventReader struct {
	br     *bufio.Reader
	onLine func()
	// pushedBack is returned by the next call of next.
	pushedBack []byte
}

var dataPrefix = []byte("data:")

// next waits for the next event's data, which is valid until the following call.
func (l *eventReader) next() ([]byte, error) {
	if l.pushedBack != nil {
		data := l.pushedBack
		l.pushedBack = nil
		return data, nil
	}
	for {
		line, err := l.br.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, errBadReply
		}
		if err != nil {
			return nil, err
		}
		l.onLine()
		if data, ok := eventData(line); ok {
			return data, nil
		}
	}
}

// nextBuffered returns the next event's data if it is already buffered.
func (l *eventReader) nextBuffered() ([]byte, bool) {
	for {
		available, _ := l.br.Peek(l.br.Buffered())
		if bytes.IndexByte(available, '\n') < 0 {
			return nil, false
		}
		line, err := l.br.ReadSlice('\n')
		if err != nil {
			return nil, false
		}
		if data, ok := eventData(line); ok {
			return data, true
		}
	}
}

// eventData returns the data of a line, if it has any. Comments and other fields only show
// that the server is alive.
func eventData(line []byte) ([]byte, bool) {
	data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(data, []byte(" ")), true
}
