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
	"jasmineshed/internal/frame"
	"jasmineshed/internal/wire"
)

const (
	// maxRetryAfter bounds the delay that a server may request.
	maxRetryAfter = time.Minute
	// maxErrorBody bounds how much of an error's body is read, in bytes.
	maxErrorBody = 4 << 10
	// drainTimeout bounds the wait for the end of a reply whose content is complete.
	drainTimeout = 50 * time.Millisecond
)

// call is one call in flight.
type call struct {
	engine *Engine
	start  shed.StartCall
	in     shed.Payload
	sink   *frame.Sink
	idle   *idleTimer
	cancel context.CancelCauseFunc
	// acceptReported: the server's acceptance has been reported to sink.
	acceptReported bool
	// sequence is the sequence number of the next frame.
	sequence uint32
	tokens   shed.Tokens
}

// singleUseBody is a request body that net/http can't rewind, and so can't resend.
type singleUseBody struct{ r *strings.Reader }

func (b singleUseBody) Read(p []byte) (int, error) { return b.r.Read(p) }

func (singleUseBody) Close() error { return nil }

func (c *call) run(ctx context.Context) shed.CallEnded {
	path, payload := c.request()
	req, err := newPost(ctx, c.start.URL+path, payload)
	if err != nil {
		return c.newEnd(shed.EndNotStarted, shed.ReasonBroken)
	}
	c.setHeaders(ctx, req.Header)
	tracker := &sendTracker{gate: before(c.start.SendBy), onAccepted: c.reportAccepted}
	resp, sent, err := c.engine.sender.do(req, !c.start.Stage.Idempotent, tracker)
	if err != nil {
		return c.endFailed(ctx, err, sent)
	}
	defer func() { _ = resp.Body.Close() }()
	c.idle.reset()
	if resp.StatusCode != http.StatusOK {
		return c.endRefused(resp)
	}
	c.reportAccepted(resp.Header.Get(wire.HeaderBoot))
	return c.readReply(ctx, resp.Body)
}

func newPost(ctx context.Context, url string, payload any) (*http.Request, error) {
	data, err := json.Marshal(payload)
	if err != nil {
		return nil, fmt.Errorf("encoding the request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, singleUseBody{strings.NewReader(string(data))})
	if err != nil {
		return nil, fmt.Errorf("creating the request: %w", err)
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (c *call) setHeaders(ctx context.Context, h http.Header) {
	h.Set(wire.HeaderCall, wire.CallID(c.start.Call))
	h.Set(wire.HeaderPriority, strconv.Itoa(c.start.Priority))
	if c.start.ResumeFrom > 0 {
		h.Set(wire.HeaderResume, wire.FormatResume(c.start.Resumes, c.start.ResumeFrom))
	}
	if !c.start.Deadline.IsZero() {
		budget := max(time.Until(c.start.Deadline), 0)
		h.Set(wire.HeaderBudget, strconv.FormatInt(budget.Milliseconds(), 10))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(h))
}

// endFailed ends a call whose exchange failed.
func (c *call) endFailed(ctx context.Context, err error, mayHaveLeft bool) shed.CallEnded {
	reason := shed.ReasonBroken
	end := shed.EndBroken
	cause := context.Cause(ctx)
	if cause == nil && c.deadlinePassed() {
		// The server knows the deadline, too, and may be the first to act on it.
		cause = errDeadlinePassed
	}
	switch {
	case errors.Is(err, ErrTooLate):
		reason = shed.ReasonPaused
	case errors.Is(cause, errIdleTimeout), errors.Is(cause, shed.ErrReplaced):
		reason = shed.ReasonSilent
	case errors.Is(cause, errDeadlinePassed):
		end, reason = shed.EndCancelled, shed.ReasonDeadline
	case cause != nil:
		end, reason = shed.EndCancelled, shed.ReasonCallerGone
	}
	if !mayHaveLeft {
		end = shed.EndNotStarted
	}
	return c.newEnd(end, reason)
}

func (c *call) deadlinePassed() bool {
	return !c.start.Deadline.IsZero() && !time.Now().Before(c.start.Deadline)
}

// endRefused ends a call that got a status other than 200.
//
// Only the server itself can say "not run". A bare 503 may come from an intermediary that gave
// up waiting for a run, so a stage that may run only once then counts as run.
func (c *call) endRefused(resp *http.Response) shed.CallEnded {
	_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBody)
	notRun := resp.Header.Get(wire.HeaderNotRun) == wire.NotRunTrue
	busy := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if busy && (notRun || c.start.Stage.Idempotent) {
		end := c.newEnd(shed.EndOverloaded, shed.ReasonOverloaded)
		end.RetryAfter = retryAfter(resp.Header.Get("Retry-After"))
		return end
	}
	if notRun {
		return c.newEnd(shed.EndNotStarted, shed.ReasonServerError)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return c.newEnd(shed.EndBadReply, shed.ReasonBadReply)
	}
	return c.newEnd(shed.EndError, shed.ReasonServerError)
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

func (c *call) newEnd(newEnd shed.CallEnd, reason shed.Reason) shed.CallEnded {
	return shed.CallEnded{
		Call:   c.start.Call,
		End:    newEnd,
		Reason: reason,
		Tokens: c.tokens,
		Server: c.start.Server,
	}
}

// reportAccepted reports, once, that the server has accepted the call: on an early response
// (103), or else with the header of its response. It runs before all frames and never
// concurrently with them, because the caller of RoundTrip waits.
func (c *call) reportAccepted(boot string) {
	if c.acceptReported {
		return
	}
	c.acceptReported = true
	// If the sink fails here, it also fails with the next frame.
	_ = c.sink.Pass(shed.Frame{Call: c.start.Call, Server: c.start.Server, Accepted: true, Boot: boot})
}

// reportSilent reports that nothing has arrived for a while. It returns false once the call needs
// no further reports.
func (c *call) reportSilent(silent time.Duration) bool {
	return c.sink.Pass(shed.Frame{Call: c.start.Call, Server: c.start.Server, Silent: silent}) == nil
}

// emit passes one frame to the sink.
func (c *call) emit(f shed.Frame) error {
	f.Call = c.start.Call
	f.Sequence = c.sequence
	f.Server = c.start.Server
	c.sequence++
	return c.sink.Pass(f)
}

// endComplete emits the last frame and ends the call.
func (c *call) endComplete(result shed.Payload, rest io.Reader) shed.CallEnded {
	if err := c.emit(shed.Frame{Last: true, Result: &result}); err != nil {
		return c.newEnd(shed.EndBroken, shed.ReasonBroken)
	}
	c.drain(rest)
	return c.newEnd(shed.EndComplete, shed.ReasonNone)
}

// drain reads the end of the reply, without which net/http can't reuse the connection. If the
// server delays the end, the connection is closed.
func (c *call) drain(rest io.Reader) {
	if c.cancel != nil {
		c.idle.stop()
		timeout := time.AfterFunc(drainTimeout, func() { c.cancel(errIdleTimeout) })
		defer timeout.Stop()
	}
	_, _ = io.CopyN(io.Discard, rest, maxErrorBody)
}
