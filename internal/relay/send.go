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
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/hedge"
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
	// lost: another attempt serves the caller.
	lost   bool
	reason shed.Reason
}

// output is the response to the caller.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// started: part of the answer may have been sent.
	started bool
	// lastEvent is the id of the last forwarded event.
	lastEvent string
	// failure is a server's complete answer that says that it failed. The caller gets it if no other
	// server does better; nil if there is none.
	failure *serverAnswer
}

// serverAnswer is a complete answer of a server that is no stream.
type serverAnswer struct {
	status int
	header http.Header
	body   []byte
}

// forward sends the answer to the caller.
func (o *output) forward(answer *serverAnswer) error {
	copyHeader(o.w.Header(), answer.header)
	o.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	o.started = true
	o.w.WriteHeader(answer.status)
	_, err := o.w.Write(answer.body)
	return err
}

// execute sends the request to the chosen server and forwards the answer.
func (a *attempt) execute(choice picker.Choice) {
	r, j := a.relay, a.job
	a.choice, a.began = choice, time.Now()
	ctx, span := r.tracer.Start(a.ctx, "send")
	defer span.End()
	defer a.cancel()
	a.pursuit.mu.Lock()
	j.server, j.serverVersion, j.slowness = choice.Server.ID, choice.Server.Version, choice.Slowness
	a.pursuit.mu.Unlock()
	v := a.run(ctx)
	a.silence.stop()
	v.lost = a.pursuit.end(a) && !v.done
	r.returnPermit(j, v.reason == reasonServerFull)
	if v.lost {
		v.reason = a.attributeLoss()
	}
	pathFailed := a.serverFailed && r.isPathFailure(&a.exchange, a.err)
	a.serverFailed = a.serverFailed && !pathFailed
	r.assessAttempt(a, v)
	end := picker.End{
		Failed: a.serverFailed, Unreached: a.serverFailed && !v.sent && timedOut(a.err),
		Inconclusive: !a.serverFailed && (ctx.Err() != nil || !v.sent) || pathFailed,
	}
	if v.done && !j.route.Streaming {
		end.Took = time.Since(a.began)
	}
	r.mu.Lock()
	a.markBegun()
	if end.Took > 0 {
		r.usual.Record(j.route.ID, end.Took)
	}
	r.picker.RecordEnd(time.Now(), choice, end)
	r.mu.Unlock()
	j.carrier = a.exchange.carrier
	if !v.done {
		r.stats.recordAttemptFailure(v.reason)
		a.logFailure(v, pathFailed)
	}
	a.outcome = v
	a.pursuit.recordEnd(a)
}

// executeSecond makes a second attempt, for which the retry budget was taken.
func (a *attempt) executeSecond() {
	r, j := a.relay, a.job
	first := j.server
	if len(j.route.Steps) > 0 && !j.inputsReady {
		// The first server has fetched the results, which were freed then.
		j.inputsBorrowed = false
		if refused := r.prepare(a.ctx, j); refused != nil {
			a.abandon(refused.reason)
			return
		}
		j.inputsReady, j.prepareTime = true, time.Since(j.began)
	}
	choice := r.placeSecond(j, first)
	if choice.Server == nil {
		a.abandon(shed.ReasonNoServer)
		return
	}
	a.execute(choice)
}

// abandon ends a second attempt that was not sent.
func (a *attempt) abandon(reason shed.Reason) {
	a.cancel()
	a.pursuit.end(a)
	a.pursuit.returnSend(a)
	a.relay.releaseInputs(a.job)
	a.relay.log.WithFields(logrus.Fields{"request": a.job.request.ID, "reason": reason}).Info("second attempt not sent")
}

// attributeLoss returns why an attempt lost against another one, and whether that is due to its server.
func (a *attempt) attributeLoss() shed.Reason {
	if a.overtakenBy < a.runner {
		return reasonNotNeeded
	}
	// A stream's server that was overtaken may go on; until then others are better.
	a.serverFailed = a.job.route.Streaming
	a.err = errServerSilent
	return shed.ReasonSilent
}

// errServerSilent is the error of an attempt whose caller was served by a second one.
var errServerSilent = errors.New("server was silent until another one answered")

func (a *attempt) logFailure(v outcome, pathFailed bool) {
	server := a.choice.Server
	fields := logrus.Fields{
		"request": a.job.request.ID, "server": server.ID, "zone": server.Zone, "reason": v.reason,
		"server_version": server.Version, "events": a.job.events,
		"sent": v.sent, "may_have_run": v.mayHaveRun, "attempt": a.pursuit.earlierSends + int(a.runner), "status": a.status,
		"took_ms": time.Since(a.began).Milliseconds(), "cost_ms": a.choice.Cost.Milliseconds(),
		"cold": server.Cold(a.began), "error": errorText(a.err), "fingerprint": a.job.fingerprint, "path_failed": pathFailed,
	}
	logCarrier(fields, a.exchange.carrier)
	msg := "attempt failed"
	if v.reason == reasonNotNeeded {
		msg = "second attempt not needed"
	}
	a.relay.log.WithFields(fields).Info(msg)
}

// timedOut reports whether an error is a timeout, as opposed to a refused connection.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// attempt is one request to one server.
type attempt struct {
	relay   *Relay
	pursuit *pursuit
	runner  hedge.Runner
	// job is the request; a second attempt has a copy of its own.
	job    *job
	out    *output
	choice picker.Choice
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	// lastEvent is the id of the last event that the caller had when the attempt began.
	lastEvent string
	// lastSign is when the server last sent something of its answer.
	lastSign elapsed
	silence  silenceTimer
	// secondDenied is why the last second attempt in its place was denied. Guarded by pursuit.mu.
	secondDenied noRetry
	// overtakenBy is the attempt that serves the caller instead. Guarded by pursuit.mu.
	overtakenBy hedge.Runner
	// begun: the picker has been notified that the first event arrived.
	begun bool
	// serverFailed: the failure is attributed to the server.
	serverFailed bool
	// exchange is the request to the server, once it was sent.
	exchange exchange
	status   int
	// endsWithConnection: the answer has neither a length nor chunks.
	endsWithConnection bool
	err                error
	outcome            outcome
}

func (a *attempt) run(ctx context.Context) outcome {
	j := a.job
	hop := shed.Hop{
		Server: a.choice.Server.ServerEntry, Budget: time.Until(j.deadline) - answerSlack,
		Workspace: j.workspace, Urgency: j.rank, LastEventID: j.request.LastEventID, Inputs: j.inputs,
	}
	if a.lastEvent != "" {
		hop.LastEventID = a.lastEvent
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
	}
	if j.mayRunTwice() && !j.trial && j.sends+1 < j.route.MaxSends {
		a.silence.start(hedge.FirstCheck(j.route.Streaming), func() time.Duration { return a.pursuit.checkSilence(a) })
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
	a.lastSign.Store(time.Since(a.began))
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
			a.loseInputs()
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
	a.pursuit.mu.Lock()
	defer a.pursuit.mu.Unlock()
	if a.out.started {
		// The server did not resume the stream, or another one serves the caller.
		return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonServerError}
	}
	answer := &serverAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	if a.isBetterReplaced(resp.StatusCode) {
		// Kept for the caller until another server has done better.
		a.out.failure = answer
		a.serverFailed = true
		return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonServerError}
	}
	if !a.pursuit.deliver(a) {
		return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonServerError}
	}
	if err := a.out.forward(answer); err != nil {
		a.err = err
		return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonCallerGone}
	}
	return outcome{done: true, sent: true, mayHaveRun: true}
}

// loseInputs frees the inputs of an attempt whose server says that they are gone, unless another attempt may
// still fetch them.
func (a *attempt) loseInputs() {
	a.pursuit.mu.Lock()
	defer a.pursuit.mu.Unlock()
	a.pursuit.inputsGone = true
	if !a.pursuit.race.Contested() {
		a.relay.releaseInputs(a.job)
	}
}

// isBetterReplaced reports whether a complete answer says that its server failed while another attempt may
// still do better. The caller holds pursuit.mu.
func (a *attempt) isBetterReplaced(status int) bool {
	switch {
	case status < http.StatusInternalServerError:
		return false
	case a.pursuit.race.Contested():
		return true
	case !a.job.route.Repeatable:
		return false
	}
	return a.pursuit.earlierSends+a.pursuit.begun < a.job.route.MaxSends && a.relay.hasOtherServer(a.job, a.choice)
}

// mayRunTwice reports whether a second attempt may run while the first one does.
func (j *job) mayRunTwice() bool {
	if j.route.Streaming {
		return j.route.Resumable
	}
	return j.route.Repeatable
}

// hasOtherServer reports whether another server could be tried.
func (r *Relay) hasOtherServer(j *job, c picker.Choice) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range r.candidates(now, j) {
		if s.ID != c.Server.ID && !slices.Contains(j.avoid, s.ID) && r.access.RestLeft(now, s.Start()) == 0 {
			return true
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
