package relay

import (
	"context"
	"errors"
	"net"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/hedge"
	"jasmineshed/internal/picker"

	"github.com/sirupsen/logrus"
)

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
	if a.mayStillRun(ctx, v) {
		r.returnPermitAfter(j, cancelTime)
	} else {
		r.returnPermit(j, v.reason == reasonServerFull)
	}
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
	if a.exchange.sending.sent {
		j.sending = a.exchange.sending
	}
	if !v.done {
		r.stats.recordAttemptFailure(v.reason)
		a.logFailure(v, pathFailed)
	}
	a.outcome = v
	a.pursuit.recordEnd(a)
}

// mayStillRun reports whether the server may still run the request because this VM gave it up.
func (a *attempt) mayStillRun(ctx context.Context, v outcome) bool {
	return v.mayHaveRun && !v.done && (ctx.Err() != nil || errors.Is(a.err, errPathLost))
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
	a.exchange.sending.log(fields)
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
