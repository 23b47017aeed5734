package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Events are told what goes on with a streamed request. Each may be nil. They
// are called one after the other.
type Events struct {
	// Text is the next piece of a stage's text.
	Text func(stage, text string)
	// Reset: forget the stage's text so far; it is produced again from its start.
	Reset func(stage string)
	// Stage has ended well.
	Stage func(StageReport)
}

// errSilent ends a stream whose connection has gone silent.
var errSilent = errors.New("the stream has gone silent")

// Stream runs an idempotent pipeline, tells what goes on, and gives the whole
// answer. It is made again only as long as it has told nothing.
func (c *Client) Stream(ctx context.Context, work Request, events Events) (*Answer, error) {
	told := false
	answer, err := c.repeat(ctx, c.next(), func(ctx context.Context, base string) (*Answer, error) {
		answer, err := c.streamOnce(ctx, call{
			method: http.MethodPost,
			url:    base + "/v1/pipelines/" + escape(work.Pipeline) + "/stream",
			body:   newWorkBody(work, ""),
		}, events, &told)
		if err != nil && told {
			return answer, &finalError{err}
		}
		return answer, err
	})
	var final *finalError
	if errors.As(err, &final) {
		err = final.err
	}
	return answer, err
}

// finalError keeps repeat from making the call again.
type finalError struct{ err error }

func (e *finalError) Error() string { return e.err.Error() }

func (c *Client) streamOnce(ctx context.Context, ca call, events Events, told *bool) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	res, err := c.send(ctx, ca)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusMultipleChoices {
		return nil, refusal(res)
	}
	alarm := time.AfterFunc(c.cfg.IdleTimeout, func() { cancel(errSilent) })
	defer alarm.Stop()
	s := stream{events: events, told: told, heard: func() { alarm.Reset(c.cfg.IdleTimeout) }}
	answer, err := s.read(res.Body)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &NoAnswerError{Sent: true, Err: err}
	}
	return checked(answer)
}

// stream reads one event stream.
type stream struct {
	events Events
	told   *bool
	heard  func()
}

// eventLimit bounds one line of a stream.
const eventLimit = answerLimit

// read goes through the events up to the answer. A stream that ends without one
// is broken, however much text it brought.
func (s *stream) read(r io.Reader) (*Answer, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), eventLimit)
	kind := ""
	for lines.Scan() {
		s.heard()
		line := lines.Bytes()
		if name, ok := bytes.CutPrefix(line, []byte("event: ")); ok {
			kind = string(name)
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		answer, err := s.event(kind, data)
		if answer != nil || err != nil {
			return answer, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	return nil, io.ErrUnexpectedEOF
}

type textData struct {
	Stage string `json:"stage"`
	Text  string `json:"text"`
}

// event tells one event; it gives the answer if this was it. Kinds that it
// doesn't know are passed over, since the fleet may be newer.
func (s *stream) event(kind string, data []byte) (*Answer, error) {
	switch kind {
	case "answer":
		var a Answer
		return &a, take(data, &a)
	case "stage":
		var st StageReport
		if err := take(data, &st); err != nil {
			return nil, err
		}
		*s.told = true
		if s.events.Stage != nil {
			s.events.Stage(st)
		}
	case "text", "reset":
		var t textData
		if err := take(data, &t); err != nil {
			return nil, err
		}
		*s.told = true
		s.tell(kind, t)
	}
	return nil, nil
}

func (s *stream) tell(kind string, t textData) {
	if kind == "text" && s.events.Text != nil {
		s.events.Text(t.Stage, t.Text)
	}
	if kind == "reset" && s.events.Reset != nil {
		s.events.Reset(t.Stage)
	}
}

func take(data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("event: %w", err)
	}
	return nil
}
