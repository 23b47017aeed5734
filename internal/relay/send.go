package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/hedge"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/quota"
	"jasmineshed/internal/reply"
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
	body   *quota.Body
}

// forward sends the answer to the caller.
func (o *output) forward(answer *serverAnswer) error {
	copyHeader(o.w.Header(), answer.header)
	o.w.Header().Set("Content-Length", strconv.FormatInt(answer.body.Size(), 10))
	o.started = true
	o.w.WriteHeader(answer.status)
	return answer.body.Send(o.w)
}

// release gives back the room of an answer that was kept.
func (o *output) release() {
	if o.failure != nil {
		o.failure.body.Release()
	}
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
	if j.body.Size() > 0 {
		req.Body, req.ContentLength = io.NopCloser(j.body.Reader()), j.body.Size()
	} else if j.request.Method != http.MethodGet && j.request.Method != http.MethodHead {
		req.Body = http.NoBody
	}
	once := !j.route.Repeatable && !j.route.Resumable
	a.exchange = exchange{
		server: a.choice.Server.ServerEntry, id: j.request.ID, once: once, decidedAt: a.began, sendBy: a.began.Add(maxDecisionAge),
		patience: plainPatience,
	}
	if j.route.Streaming {
		a.exchange.patience = streamPatience
	}
	if j.mayRunTwice() && !j.trial && j.sends+1 < j.route.MaxSends {
		a.silence.start(hedge.FirstCheck(j.route.Streaming), func() time.Duration { return a.pursuit.checkSilence(a) })
	}
	resp, head, sent, err := a.relay.send(&a.exchange, req.WithContext(ctx))
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
	a.endsWithConnection = reply.EndsWithConnection(resp)
	return a.handleAnswer(ctx, resp, head)
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
	body, err := a.receiveAnswer(ctx, resp)
	if errors.Is(err, quota.ErrNoRoom) || errors.Is(err, quota.ErrGivenUp) {
		a.err = err
		return outcome{sent: true, mayHaveRun: true, reason: reasonNoRoom}
	}
	if err != nil {
		a.err, a.serverFailed = err, ctx.Err() == nil
		return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonBroken}
	}
	kept := false
	defer func() {
		if !kept {
			body.Release()
		}
	}()
	if err := a.checkBody(ctx, body); err != nil {
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
		a.out.release()
		a.out.failure, kept = answer, true
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

// receiveAnswer reads an answer that is no stream.
func (a *attempt) receiveAnswer(ctx context.Context, resp *http.Response) (*quota.Body, error) {
	announced := resp.ContentLength
	if a.job.request.Method == http.MethodHead {
		announced = 0
	}
	return a.job.caller.ReceiveAnswer(ctx, resp.Body, quota.Spec{Announced: announced, Limit: maxAnswer})
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
	return a.canGoElsewhere()
}

// canGoElsewhere reports whether the route allows a further send and there is another server for it. The caller holds
// pursuit.mu.
func (a *attempt) canGoElsewhere() bool {
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
