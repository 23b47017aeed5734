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
	// maxText bounds the text of a whole stream in bytes.
	maxText = 4 << 20
	// maxFrameText bounds the text that is joined into one frame, in bytes.
	maxFrameText = 4 << 10
)

var errSinkFailed = errors.New("frame not taken")

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

// result is the payload after the stage. Of a resumed stream only the end is
// here, so the text is left to whoever holds the beginning.
func (g *streamReader) result() shed.Payload {
	out := g.in
	out.Text = ""
	if g.start.ResumeFrom == 0 {
		out.Text = g.text.String()
	}
	return out
}

// streamReader puts the events of one stream together.
type streamReader struct {
	*call
	events eventReader
	parser chunkParser
	text   strings.Builder
	// pendingText and count are text not yet handed on, and its tokens.
	pendingText   []byte
	pendingTokens shed.Tokens
	finished      bool
	usage         *wire.Usage
}

// read returns nil once the stream is whole: it gave a reason for its finish,
// the count of tokens it told is the count that came, and its end mark came.
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

// handleEvent takes one event and tells whether it was the end mark.
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

// checkComplete is the check at the end mark. An engine that packs several tokens into
// one event would break the count, and with it the offset to resume from; its
// stream is not taken for whole.
func (g *streamReader) checkComplete() error {
	if !g.finished {
		return errBadReply
	}
	if g.usage != nil && g.usage.CompletionTokens != g.start.ResumeFrom+g.tokens {
		return errBadReply
	}
	return nil
}

// flushWithBuffered hands the text on. Events that have arrived in the meantime
// travel in the same frame, so that the cost for each token falls as load
// grows; the first token waits for nothing.
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
	// pushedBack is given again by next.
	pushedBack []byte
}

var dataPrefix = []byte("data:")

// next waits for the next event's data, valid until the next call.
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

// nextBuffered returns the next event's data if it is here already.
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

// eventData returns the data of a line, if it has any. Comments and other
// fields only show that the server is alive.
func eventData(line []byte) ([]byte, bool) {
	data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(data, []byte(" ")), true
}
