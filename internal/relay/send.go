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
	// maxAnswer bounds an answer that is no stream, in bytes; it is buffered before it is
	// forwarded.
	maxAnswer = 16 << 20
	// maxDecisionAge is the maximum age of a routing decision when the first byte is sent: if
	// it is exceeded, the process was paused, and its knowledge of the server may be stale.
	maxDecisionAge = time.Second
)

// outcome is the result of one attempt.
type outcome struct {
	// done: the caller has the complete answer.
	done bool
	// sent: a byte of the request may have been sent; mayHaveRun: it may have run.
	sent, mayHaveRun bool
	reason           shed.Reason
}

// output is the response to the caller.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// started: part of the answer may have been sent.
	started bool
	// lastEvent is the id of the last forwarded event.
	lastEvent string
}

// attempt sends the request to the chosen server and forwards the answer.
func (r *Relay) attempt(ctx context.Context, out *output, j *job, choice picker.Choice) outcome {
	began := time.Now()
	ctx, span := r.tracer.Start(ctx, "send")
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j.server, j.serverVersion, j.slowness = choice.Server.ID, choice.Server.Version, choice.Slowness
	a := &attempt{relay: r, job: j, out: out, choice: choice, began: began, cancel: cancel}
	v := a.run(ctx)
	r.returnPermit(j, v.reason == reasonServerFull)
	if v.sent {
		j.sends++
	}
	pathFailed := a.serverFailed && r.isPathFailure(&a.exchange, a.err)
	a.serverFailed = a.serverFailed && !pathFailed
	r.assessAttempt(a, v)
	j.mayHaveRun = j.mayHaveRun || v.mayHaveRun
	end := picker.End{
		Failed: a.serverFailed, Unreached: a.serverFailed && !v.sent && timedOut(a.err),
		Inconclusive: !a.serverFailed && (ctx.Err() != nil || !v.sent) || pathFailed,
	}
	if v.done && !j.route.Streaming {
		end.Took = time.Since(began)
	}
	r.mu.Lock()
	a.markBegun()
	r.picker.RecordEnd(time.Now(), choice, end)
	r.mu.Unlock()
	if !v.done {
		j.avoid = append(j.avoid, choice.Server.ID)
		r.stats.recordAttemptFailure(v.reason)
		fields := logrus.Fields{
			"request": j.request.ID, "server": choice.Server.ID, "zone": choice.Server.Zone, "reason": v.reason,
			"server_version": choice.Server.Version, "events": j.events,
			"sent": v.sent, "may_have_run": v.mayHaveRun, "attempt": j.sends, "status": a.status,
			"took_ms": time.Since(began).Milliseconds(), "cost_ms": choice.Cost.Milliseconds(),
			"cold": choice.Server.Cold(began), "error": errorText(a.err), "fingerprint": j.fingerprint, "path_failed": pathFailed,
		}
		logCarrier(fields, a.exchange.carrier)
		r.log.WithFields(fields).Info("attempt failed")
	}
	j.carrier = a.exchange.carrier
	return v
}

// timedOut reports whether an error is a timeout, as opposed to a refused connection.
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
	// begun: the picker has been notified that the first event arrived.
	begun bool
	// timedOut: the attempt was cancelled because no event arrived in time.
	timedOut atomic.Bool
	// serverFailed: the failure is attributed to the server.
	serverFailed bool
	// exchange is the request to the server, once it was sent.
	exchange exchange
	status   int
	// endsWithConnection: the answer has neither a length nor chunks.
	endsWithConnection bool
	err                error
}

func (a *attempt) run(ctx context.Context) outcome {
	j := a.job
	hop := shed.Hop{
		Server: a.choice.Server.ServerEntry, Budget: time.Until(j.deadline) - answerSlack,
		Workspace: j.workspace, Urgency: j.rank, LastEventID: j.request.LastEventID, Inputs: j.inputs,
	}
	if a.out.lastEvent != "" {
		hop.LastEventID = a.out.lastEvent
	}
	if !j.route.Streaming {
		hop.Urgency = -1
	}
	if a.choice.CacheSource != nil {
		hop.CacheSource = a.choice.CacheSource.Addr
	}
	req, err := a.relay.cfg.Dialect.NewForwardRequest(&j.request, hop)
	if err != nil {
		a.err = err
		return outcome{reason: reasonBadHead}
	}
	if len(j.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(j.body)), int64(len(j.body))
	} else if j.request.Method != http.MethodGet && j.request.Method != http.MethodHead {
		req.Body = http.NoBody
	}
	once := !j.route.Repeatable && !j.route.Resumable
	a.exchange = exchange{
		server: a.choice.Server.ServerEntry, id: j.request.ID, once: once, sendBy: a.began.Add(maxDecisionAge), patience: plainPatience,
	}
	if j.route.Streaming {
		a.exchange.patience = streamPatience
	} else {
		a.exchange.movable = j.route.Repeatable && j.sends+1 < j.route.MaxSends
	}
	resp, reply, sent, err := a.relay.send(&a.exchange, req.WithContext(ctx))
	if wasNotAdmitted(err) {
		a.err = err
		reason := shed.ReasonServerLeaving
		if errors.Is(err, errServerRests) {
			reason = reasonResting
		}
		return outcome{reason: reason}
	}
	if err != nil {
		a.err, a.serverFailed = err, ctx.Err() == nil
		if !sent {
			return outcome{reason: reasonNotSent}
		}
		return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonBroken}
	}
	defer func() { _ = resp.Body.Close() }()
	a.endsWithConnection = endsWithConnection(resp)
	return a.handleAnswer(ctx, resp, reply)
}

// handleAnswer checks the head of an answer and forwards it.
func (a *attempt) handleAnswer(ctx context.Context, resp *http.Response, reply shed.ReplyHead) outcome {
	j := a.job
	a.status = resp.StatusCode
	if reply.ID != j.request.ID {
		// This is a second answer to an earlier request on the connection, or bytes that are no
		// answer: they belong to no request.
		a.serverFailed = true
		return outcome{sent: true, mayHaveRun: true, reason: reasonOtherAnswer}
	}
	if reply.ColdRemaining > 0 {
		a.relay.mu.Lock()
		a.relay.roster.MarkCold(time.Now(), a.choice.Server.ID, reply.ColdRemaining)
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
	return a.forwardBody(ctx, resp)
}

// forwardBody forwards an answer that is no stream, once it is complete.
func (a *attempt) forwardBody(ctx context.Context, resp *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		a.err, a.serverFailed = err, ctx.Err() == nil
		return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonBroken}
	}
	if a.out.started {
		// The server did not resume the stream.
		return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonServerError}
	}
	if resp.StatusCode >= http.StatusInternalServerError && a.job.route.Repeatable && a.job.sends+1 < a.job.route.MaxSends &&
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

// hasOtherServer reports whether another server could be tried.
func (r *Relay) hasOtherServer(j *job, c picker.Choice) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range r.candidates(now, j) {
		if s.ID != c.Server.ID && !slices.Contains(j.avoid, s.ID) && r.access.RestLeft(now, s.Start()) == 0 {
			return r.retryBudget(j.pool.ID).Remaining(now) > 0
		}
	}
	return false
}

// copyHeader copies an answer's header. It suppresses the fields that net/http would add by
// itself.
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

// markBegun tells the picker, once, that the prompt has been read or the attempt given up. The
// caller holds mu.
func (a *attempt) markBegun() {
	if !a.begun {
		a.begun = true
		a.relay.picker.RecordPromptRead(a.choice)
	}
}

var errEventTimeout = errors.New("no stream event within the time limit")
