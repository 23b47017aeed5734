package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"

	"github.com/sirupsen/logrus"
)

// refusal is a final answer of the relay's own.
type refusal struct {
	status int
	reason shed.Reason
	// retryAfter is when the caller may come back; 0 if it should not.
	retryAfter time.Duration
}

// finalRefusal returns the refusal, unless a part of the answer has already left: that
// can only be broken off, so that it doesn't look whole.
func (r *Relay) finalRefusal(out *output, refused *refusal) *refusal {
	if out.started {
		return &refusal{reason: refused.reason}
	}
	return refused
}

// adjustRefusal corrects a refusal before the request was sent: it may have been sent
// before.
func (r *Relay) adjustRefusal(j *job, refused *refusal) *refusal {
	if j.mayHaveRun && refused.status == http.StatusServiceUnavailable {
		return &refusal{status: http.StatusBadGateway, reason: refused.reason}
	}
	return refused
}

// refusalFor is the final answer after the last attempt v.
func (r *Relay) refusalFor(ctx context.Context, j *job, v outcome) *refusal {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case !j.mayHaveRun && late:
		return &refusal{status: http.StatusServiceUnavailable, reason: shed.ReasonDeadline}
	case !j.mayHaveRun:
		return &refusal{status: http.StatusServiceUnavailable, reason: v.reason, retryAfter: accept.ComeBack}
	case late:
		return &refusal{status: http.StatusGatewayTimeout, reason: shed.ReasonDeadline}
	}
	return &refusal{status: http.StatusBadGateway, reason: v.reason}
}

// finish writes the refusal, if there is one, and the request's line in the log.
func (r *Relay) finish(ctx context.Context, w http.ResponseWriter, j *job, refused *refusal) {
	took := time.Since(j.began)
	fields := logrus.Fields{
		"request": j.ask.ID, "took_ms": took.Milliseconds(), "sends": j.sends, "version": j.version,
	}
	if j.route != nil {
		fields["route"], fields["pool"] = j.route.ID, j.route.Split[0].Pool
	}
	if j.server != "" {
		fields["server"] = j.server
	}
	if len(j.ask.Pieces) > 0 {
		fields["pieces"], fields["prepared_ms"], fields["zone"] = j.ask.Pieces, j.prepareTime.Milliseconds(), j.zone
		fields["foreseen_ms"], fields["answer_ms"] = j.predicted.Milliseconds(), j.answerTime.Milliseconds()
		fields["aim_ms"], fields["wait_ms"] = j.target.Sub(j.began).Milliseconds(), j.deadline.Sub(j.began).Milliseconds()
	}
	if j.route != nil && j.route.Streaming {
		fields["first_ms"], fields["events"] = j.firstByte.Milliseconds(), j.events
	}
	if refused == nil {
		r.stats.recordRequest(j, reasonServed, took)
		r.log.WithFields(fields).Info("served")
		return
	}
	if j.fingerprint != (shed.Fingerprint{}) {
		fields["fingerprint"] = j.fingerprint
	}
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refused.reason = shed.ReasonCallerGone
	}
	fields["status"], fields["reason"], fields["may_have_run"] = refused.status, refused.reason, j.mayHaveRun
	r.stats.recordRequest(j, refused.reason, took)
	r.log.WithFields(fields).Info("not served")
	if refused.status == 0 {
		// The caller must see that the answer was broken off.
		panic(http.ErrAbortHandler)
	}
	writeRefusal(w, refused)
}

func writeRefusal(w http.ResponseWriter, refused *refusal) {
	h := w.Header()
	if refused.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(refused.reason) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(refused.status)
	_, _ = io.WriteString(w, body)
}
