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
	// maxJoined bounds the text that is joined into one frame, in bytes.
	maxJoined = 4 << 10
)

var errSink = errors.New("frame not taken")

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLine) }}

// stream reads a generated stream to its end.
func (c *call) stream(ctx context.Context, reply io.Reader) shed.CallEnded {
	br := readers.Get().(*bufio.Reader)
	br.Reset(reply)
	defer func() {
		br.Reset(nil)
		readers.Put(br)
	}()
	g := &generation{call: c, lines: lines{br: br, fed: c.watch.feed}}
	err := g.read()
	switch {
	case err == nil:
		return c.complete(g.result(), br)
	case errors.Is(err, errEngine):
		return c.end(shed.EndError, shed.ReasonServerError)
	case errors.Is(err, errBadReply):
		return c.end(shed.EndBadReply, shed.ReasonBadReply)
	case errors.Is(err, errSink):
		return c.end(shed.EndBroken, shed.ReasonBroken)
	default:
		return c.failed(ctx, err, true)
	}
}

// result is the payload after the stage. Of a resumed stream only the end is
// here, so the text is left to whoever holds the beginning.
func (g *generation) result() shed.Payload {
	out := g.in
	out.Text = ""
	if g.start.ResumeFrom == 0 {
		out.Text = g.text.String()
	}
	return out
}

// generation puts the events of one stream together.
type generation struct {
	*call
	lines  lines
	parser chunkParser
	text   strings.Builder
	// joined and count are text not yet handed on, and its tokens.
	joined   []byte
	count    shed.Tokens
	finished bool
	usage    *wire.Usage
}

// read returns nil once the stream is whole: it gave a reason for its finish,
// the count of tokens it told is the count that came, and its end mark came.
func (g *generation) read() error {
	for {
		data, err := g.lines.next()
		if err != nil {
			return errors.Join(err, g.flush())
		}
		done, err := g.event(data)
		if err != nil {
			return err
		}
		if done {
			return g.flush()
		}
		if err := g.joinBuffered(); err != nil {
			return err
		}
	}
}

// event takes one event and tells whether it was the end mark.
func (g *generation) event(data []byte) (bool, error) {
	if string(data) == wire.StreamDone {
		return true, g.whole()
	}
	piece, err := g.parser.parse(data)
	if err != nil {
		return false, err
	}
	if piece.finished {
		g.finished = true
	}
	if piece.usage != nil {
		g.usage = piece.usage
	}
	if len(piece.text) == 0 {
		return false, nil
	}
	if g.finished && !piece.finished {
		return false, errBadReply
	}
	if g.text.Len()+len(piece.text) > maxText {
		return false, errBadReply
	}
	g.text.Write(piece.text)
	g.joined = append(g.joined, piece.text...)
	g.count++
	g.tokens++
	return false, nil
}

// whole is the check at the end mark. An engine that packs several tokens into
// one event would break the count, and with it the offset to resume from; its
// stream is not taken for whole.
func (g *generation) whole() error {
	if !g.finished {
		return errBadReply
	}
	if g.usage != nil && g.usage.CompletionTokens != g.start.ResumeFrom+g.tokens {
		return errBadReply
	}
	return nil
}

// joinBuffered hands the text on. Events that have arrived in the meantime
// travel in the same frame, so that the cost for each token falls as load
// grows; the first token waits for nothing.
func (g *generation) joinBuffered() error {
	for g.sequence > 0 && len(g.joined) < maxJoined {
		data, ok := g.lines.buffered()
		if !ok {
			break
		}
		done, err := g.event(data)
		if err != nil {
			return err
		}
		if done {
			g.lines.unread = data
			break
		}
	}
	return g.flush()
}

func (g *generation) flush() error {
	if len(g.joined) == 0 {
		return nil
	}
	err := g.emit(shed.Frame{Text: string(g.joined), Tokens: g.count})
	g.joined = g.joined[:0]
	g.count = 0
	if err != nil {
		return errors.Join(errSink, err)
	}
	return nil
}

// lines reads the data of server-sent events.
type lines struct {
	br  *bufio.Reader
	fed func()
	// unread is given again by next.
	unread []byte
}

var dataField = []byte("data:")

// next waits for the next event's data, valid until the next call.
func (l *lines) next() ([]byte, error) {
	if l.unread != nil {
		data := l.unread
		l.unread = nil
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
		l.fed()
		if data, ok := eventData(line); ok {
			return data, nil
		}
	}
}

// buffered returns the next event's data if it is here already.
func (l *lines) buffered() ([]byte, bool) {
	for {
		held, _ := l.br.Peek(l.br.Buffered())
		if bytes.IndexByte(held, '\n') < 0 {
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
	data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataField)
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(data, []byte(" ")), true
}
