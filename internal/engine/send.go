package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"

	shed "jasmineshed"
	"jasmineshed/internal/wire"
)

const (
	// maxRetryAfter bounds what a server may ask for.
	maxRetryAfter = time.Minute
	// maxErrorBody bounds what is read of an error's body in bytes.
	maxErrorBody = 4 << 10
	// drainTime bounds the wait for the end of a reply whose content is whole.
	drainTime = 50 * time.Millisecond
)

// call is one call on its way.
type call struct {
	engine *Engine
	start  shed.StartCall
	in     shed.Payload
	sink   func(shed.Frame) error
	watch  *silence
	// taken: the server's acceptance has been told.
	taken bool
	// sequence is the next frame's.
	sequence uint32
	tokens   shed.Tokens
}

// body is a request's body that net/http can't rewind, and so can't send twice.
type body struct{ r *strings.Reader }

func (b body) Read(p []byte) (int, error) { return b.r.Read(p) }

func (body) Close() error { return nil }

func (c *call) run(ctx context.Context) shed.CallEnded {
	path, ask := c.question()
	req, err := newPost(ctx, c.start.URL+path, ask)
	if err != nil {
		return c.end(shed.EndNotStarted, shed.ReasonBroken)
	}
	c.header(ctx, req.Header)
	send := &sending{until: c.start.SendBy, accepted: c.accepted}
	resp, sent, err := c.engine.sender.do(req, !c.start.Stage.Idempotent, send)
	if err != nil {
		return c.failed(ctx, err, sent)
	}
	defer func() { _ = resp.Body.Close() }()
	c.watch.feed()
	if resp.StatusCode != http.StatusOK {
		return c.refused(resp)
	}
	c.accepted(resp.Header.Get(wire.HeaderBoot))
	return c.answer(ctx, resp.Body)
}

func newPost(ctx context.Context, url string, ask any) (*http.Request, error) {
	data, err := json.Marshal(ask)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body{strings.NewReader(string(data))})
	if err != nil {
		return nil, fmt.Errorf("address: %w", err)
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (c *call) header(ctx context.Context, h http.Header) {
	h.Set(wire.HeaderCall, wire.CallID(c.start.Call))
	h.Set(wire.HeaderPriority, strconv.Itoa(c.start.Priority))
	if c.start.ResumeFrom > 0 {
		h.Set(wire.HeaderResume, wire.FormatResume(c.start.Resumes, c.start.ResumeFrom))
	}
	if !c.start.Deadline.IsZero() {
		left := max(time.Until(c.start.Deadline), 0)
		h.Set(wire.HeaderBudget, strconv.FormatInt(left.Milliseconds(), 10))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(h))
}

// failed ends a call whose exchange broke off.
func (c *call) failed(ctx context.Context, err error, mayHaveLeft bool) shed.CallEnded {
	reason := shed.ReasonBroken
	end := shed.EndBroken
	cause := context.Cause(ctx)
	if cause == nil && c.pastDeadline() {
		// The server knows the deadline, too, and may be first to act on it.
		cause = errDeadline
	}
	switch {
	case errors.Is(err, errTooLate):
		reason = shed.ReasonWoke
	case errors.Is(cause, errSilent):
		reason = shed.ReasonSilent
	case errors.Is(cause, errDeadline):
		end, reason = shed.EndCancelled, shed.ReasonDeadline
	case cause != nil:
		end, reason = shed.EndCancelled, shed.ReasonCallerGone
	}
	if !mayHaveLeft {
		end = shed.EndNotStarted
	}
	return c.end(end, reason)
}

func (c *call) pastDeadline() bool {
	return !c.start.Deadline.IsZero() && !time.Now().Before(c.start.Deadline)
}

// refused ends a call that the server answered with another status than 200.
//
// "Not run" is what the server says outright. A bare 503 may come from
// something between the two ends that gave up waiting for a run: a stage that
// may run only once is then taken to have run.
func (c *call) refused(resp *http.Response) shed.CallEnded {
	_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBody)
	notRun := resp.Header.Get(wire.HeaderNotRun) == wire.NotRunTrue
	busy := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if busy && (notRun || c.start.Stage.Idempotent) {
		end := c.end(shed.EndOverloaded, shed.ReasonOverloaded)
		end.RetryAfter = retryAfter(resp.Header.Get("Retry-After"))
		return end
	}
	if notRun {
		return c.end(shed.EndNotStarted, shed.ReasonServerError)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return c.end(shed.EndBadReply, shed.ReasonBadReply)
	}
	return c.end(shed.EndError, shed.ReasonServerError)
}

func retryAfter(s string) time.Duration {
	if n, err := strconv.ParseUint(s, 10, 16); err == nil {
		return min(time.Duration(n)*time.Second, maxRetryAfter)
	}
	if at, err := http.ParseTime(s); err == nil {
		return min(max(time.Until(at), 0), maxRetryAfter)
	}
	return 0
}

func (c *call) end(end shed.CallEnd, reason shed.Reason) shed.CallEnded {
	return shed.CallEnded{
		Call:   c.start.Call,
		End:    end,
		Reason: reason,
		Tokens: c.tokens,
		Server: c.start.Server,
	}
}

// accepted tells, once, that the server has taken the call in: by an early
// answer (103) if it gives one, or with the head of its answer. It comes before
// all frames, and nothing runs beside it: the caller of RoundTrip waits.
func (c *call) accepted(boot string) {
	if c.taken {
		return
	}
	c.taken = true
	// A sink that fails here fails with the next frame, too.
	_ = c.sink(shed.Frame{Call: c.start.Call, Server: c.start.Server, Accepted: true, Boot: boot})
}

// emit hands one frame on.
func (c *call) emit(f shed.Frame) error {
	f.Call = c.start.Call
	f.Sequence = c.sequence
	f.Server = c.start.Server
	c.sequence++
	return c.sink(f)
}

// complete hands on the last frame and ends the call.
func (c *call) complete(result shed.Payload, rest io.Reader) shed.CallEnded {
	if err := c.emit(shed.Frame{Last: true, Result: &result}); err != nil {
		return c.end(shed.EndBroken, shed.ReasonBroken)
	}
	c.drain(rest)
	return c.end(shed.EndComplete, shed.ReasonNone)
}

// drain reads the end of the reply, without which net/http can't use the
// connection again. A server that holds the end back loses the connection.
func (c *call) drain(rest io.Reader) {
	if c.watch.timer != nil {
		c.watch.timer.Reset(drainTime)
	}
	_, _ = io.CopyN(io.Discard, rest, maxErrorBody)
}
