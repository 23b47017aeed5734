package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/picker"

	"github.com/sirupsen/logrus"
)

const (
	// maxAnswer bounds an answer that is no stream, in bytes; it is held whole
	// before it is passed on.
	maxAnswer = 16 << 20
	// maxDecisionAge is the longest that a decision to send may be old when the
	// first byte leaves: after it, the process was paused, and what it knew of
	// the server may no longer hold.
	maxDecisionAge = time.Second
)

// outcome is how one attempt ended.
type outcome struct {
	// done: the caller has the whole answer.
	done bool
	// sent: a byte of the request may have left; mayHaveRun: it may have run.
	sent, mayHaveRun bool
	reason           shed.Reason
}

// output is the way back to the caller.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// started: a part of the answer may have left.
	started bool
	// lastEvent is the id of the last event passed on.
	lastEvent string
}

// attempt sends the request to the chosen server and passes the answer on.
func (r *Relay) attempt(ctx context.Context, out *output, j *job, choice picker.Choice) outcome {
	began := time.Now()
	ctx, span := r.tracer.Start(ctx, "send")
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j.server = choice.Server.ID
	a := &attempt{relay: r, job: j, out: out, choice: choice, began: began, cancel: cancel}
	v := a.run(ctx)
	if v.sent {
		j.sends++
	}
	r.assessAttempt(a, v)
	j.mayHaveRun = j.mayHaveRun || v.mayHaveRun
	end := picker.End{
		Failed: a.serverFailed, Unreached: a.serverFailed && !v.sent && timedOut(a.err), Forgotten: ctx.Err() != nil && !a.serverFailed,
	}
	if v.done && !j.route.Streaming {
		end.Took = time.Since(began)
	}
	r.mu.Lock()
	a.markBegun()
	r.picker.Ended(time.Now(), choice, end)
	r.mu.Unlock()
	if !v.done {
		j.avoid = append(j.avoid, choice.Server.ID)
		r.stats.recordAttemptFailure(v.reason)
		r.log.WithFields(logrus.Fields{
			"request": j.ask.ID, "server": choice.Server.ID, "zone": choice.Server.Zone, "reason": v.reason,
			"sent": v.sent, "may_have_run": v.mayHaveRun, "attempt": j.sends, "status": a.status,
			"took_ms": time.Since(began).Milliseconds(), "cost_ms": choice.Cost.Milliseconds(),
			"cold": choice.Server.Cold(began), "error": errText(a.err), "fingerprint": j.fingerprint,
		}).Info("attempt failed")
	}

	return v
}

// timedOut tells whether an error is that of a limit of time: not that of a
// server that is down and says so.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// attempt is one request to one server.
type attempt struct {
	relay  *Relay
	job    *job
	out    *output
	choice picker.Choice
	began  time.Time
	cancel context.CancelFunc
	// begun: the picker knows that the first event has come.
	begun bool
	// silent: the attempt was ended since no event came.
	silent atomic.Bool
	// serverFailed: the server is to blame.
	serverFailed bool
	status       int
	err          error
}

func (a *attempt) run(ctx context.Context) outcome {
	j := a.job
	hop := shed.Hop{
		Server: a.choice.Server.Listing, Left: time.Until(j.deadline) - answerSlack,
		Workspace: j.workspace, Urgency: j.rank, Resume: j.ask.Resume, Inputs: j.inputs,
	}
	if a.out.lastEvent != "" {
		hop.Resume = a.out.lastEvent
	}
	if !j.route.Streaming {
		hop.Urgency = -1
	}
	if a.choice.Donor != nil {
		hop.Donor = a.choice.Donor.Addr
	}
	req, err := a.relay.cfg.Dialect.Forward(&j.ask, hop)
	if err != nil {
		a.err = err
		return outcome{reason: reasonBadHead}
	}
	if len(j.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(j.body)), int64(len(j.body))
	} else if j.ask.Method != http.MethodGet && j.ask.Method != http.MethodHead {
		req.Body = http.NoBody
	}
	once := !j.route.Repeatable && !j.route.Resumable
	resp, sent, err := a.relay.sender.Do(req.WithContext(ctx), once, a.began.Add(maxDecisionAge))
	if err != nil {
		a.err, a.serverFailed = err, ctx.Err() == nil
		if !sent {
			return outcome{reason: reasonNotSent}
		}
		return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonBroken}
	}
	defer func() { _ = resp.Body.Close() }()
	return a.handleAnswer(ctx, resp)
}

// handleAnswer looks at the head of an answer and passes it on.
func (a *attempt) handleAnswer(ctx context.Context, resp *http.Response) outcome {
	j := a.job
	a.status = resp.StatusCode
	reply := a.relay.cfg.Dialect.Reply(resp)
	if reply.ID != j.ask.ID {
		// A second answer to an earlier request on this connection, or bytes
		// that are no answer: they belong to nobody.
		a.serverFailed = true
		return outcome{sent: true, mayHaveRun: true, reason: reasonOtherAnswer}
	}
	a.relay.receiveAnswerLimit(a.choice.Server.Listing, reply)
	if reply.Cold > 0 {
		a.relay.mu.Lock()
		a.relay.roster.TurnedCold(time.Now(), a.choice.Server.ID, reply.Cold)
		a.relay.mu.Unlock()
	}
	if reply.NotRun {
		a.serverFailed = reply.OtherServer
		reason := reasonServerFull
		switch {
		case reply.OtherServer:
			reason = shed.ReasonServerLeaving
		case reply.InputsGone:
			reason = reasonInputsGone
			a.relay.releaseInputs(j)
		}
		return outcome{sent: true, reason: reason}
	}
	if !reply.Sealed {
		a.serverFailed = true
		return outcome{sent: true, mayHaveRun: true, reason: reasonUnsealed}
	}
	if j.route.Streaming && resp.StatusCode == http.StatusOK {
		return a.stream(ctx, resp)
	}
	return a.forwardWhole(ctx, resp)
}

// forwardWhole passes on an answer that is no stream, once it is all here.
func (a *attempt) forwardWhole(ctx context.Context, resp *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		a.err, a.serverFailed = err, ctx.Err() == nil
		return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonBroken}
	}
	if a.out.started {
		// The server would not go on with the stream.
		return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonServerError}
	}
	if resp.StatusCode >= http.StatusInternalServerError && a.job.route.Repeatable && a.job.sends+1 < a.job.route.MostSends &&
		a.relay.hasOtherServer(a.job, a.choice) {
		a.serverFailed = true
		return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonServerError}
	}
	copyHeader(a.out.w.Header(), resp.Header)
	a.out.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.out.started = true
	a.out.w.WriteHeader(resp.StatusCode)
	if _, err := a.out.w.Write(body); err != nil {
		a.err = err
		return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonCallerGone}
	}
	return outcome{done: true, sent: true, mayHaveRun: true}
}

// hasOtherServer tells whether another server could try.
func (r *Relay) hasOtherServer(j *job, c picker.Choice) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.roster.Open(j.pool.ID) {
		if s.ID != c.Server.ID && !slices.Contains(j.avoid, s.ID) {
			return r.retryBudget(j.pool.ID).Left(time.Now()) > 0
		}
	}
	return false
}

// copyHeader passes the head of an answer on. What net/http would add by itself
// is kept out.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(shed.HopHeaders, name) {
			to[name] = values
		}
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := to[name]; !ok {
			to[name] = nil
		}
	}
}

// markBegun tells the picker, once, that the prompt is read or given up. The
// caller holds mu.
func (a *attempt) markBegun() {
	if !a.begun {
		a.begun = true
		a.relay.picker.Began(a.choice)
	}
}

var errSilent = errors.New("no event in time")
