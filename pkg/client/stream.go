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

// Events are the callbacks for the progress of a streamed request. Each may be nil.
// They are never called concurrently.
type Events struct {
	// Text delivers the next fragment of a stage's text.
	Text func(stage, text string)
	// Reset discards the stage's text so far: it is produced again from the start.
	Reset func(stage string)
	// Stage reports a stage that ended successfully.
	Stage func(StageReport)
}

// errIdleTimeout ends a stream that has received nothing for Config.IdleTimeout.
var errIdleTimeout = errors.New("stream idle for too long")

// Stream runs an idempotent pipeline, reports its progress to events, and returns
// the complete answer. It is retried only while no event has been delivered.
func (c *Client) Stream(ctx context.Context, r Request, events Events) (*Answer, error) {
	delivered := false
	answer, err := c.retry(ctx, c.nextIndex(), func(ctx context.Context, base string) (*Answer, error) {
		answer, err := c.streamOnce(ctx, httpCall{
			method: http.MethodPost,
			url:    base + "/v1/pipelines/" + escape(r.Pipeline) + "/stream",
			body:   newRequestBody(r, ""),
		}, events, &delivered)
		if err != nil && delivered {
			return answer, &permanentError{err}
		}
		return answer, err
	})
	var final *permanentError
	if errors.As(err, &final) {
		err = final.err
	}
	return answer, err
}

// permanentError keeps retry from making the call again.
type permanentError struct{ err error }

func (e *permanentError) Error() string { return e.err.Error() }

func (c *Client) streamOnce(ctx context.Context, ca httpCall, events Events, delivered *bool) (*Answer, error) {
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
	idleTimer := time.AfterFunc(c.cfg.IdleTimeout, func() { cancel(errIdleTimeout) })
	defer idleTimer.Stop()
	s := stream{events: events, delivered: delivered, resetTimer: func() { idleTimer.Reset(c.cfg.IdleTimeout) }}
	answer, err := s.read(res.Body)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &NoAnswerError{Sent: true, Err: err}
	}
	return checkOutcome(answer)
}

// stream decodes one event stream.
type stream struct {
	events     Events
	delivered  *bool
	resetTimer func()
}

// eventLimit bounds one line of a stream, in bytes.
const eventLimit = answerLimit

// read handles the events up to the answer. A stream that ends without an answer is
// broken, however much text was received.
func (s *stream) read(r io.Reader) (*Answer, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), eventLimit)
	kind := ""
	for lines.Scan() {
		s.resetTimer()
		line := lines.Bytes()
		if name, ok := bytes.CutPrefix(line, []byte("event: ")); ok {
			kind = string(name)
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		answer, err := s.handleEvent(kind, data)
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

// handleEvent delivers one event; it returns the answer if the event holds it.
// Unknown kinds are ignored, since the fleet may be newer than the client.
func (s *stream) handleEvent(kind string, data []byte) (*Answer, error) {
	switch kind {
	case "answer":
		var a Answer
		return &a, decodeEvent(data, &a)
	case "stage":
		var st StageReport
		if err := decodeEvent(data, &st); err != nil {
			return nil, err
		}
		*s.delivered = true
		if s.events.Stage != nil {
			s.events.Stage(st)
		}
	case "text", "reset":
		var t textData
		if err := decodeEvent(data, &t); err != nil {
			return nil, err
		}
		*s.delivered = true
		s.deliver(kind, t)
	}
	return nil, nil
}

func (s *stream) deliver(kind string, t textData) {
	if kind == "text" && s.events.Text != nil {
		s.events.Text(t.Stage, t.Text)
	}
	if kind == "reset" && s.events.Reset != nil {
		s.events.Reset(t.Stage)
	}
}

func decodeEvent(data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("event: %w", err)
	}
	return nil
}
