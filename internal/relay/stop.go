package relay

import (
	"context"
	"net/http"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/drain"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
)

// balancerNoticeTime is how long the load balancer may take to see that this VM isn't ready:
// two probes, one per second, and a margin. Until then new connections arrive, and each request
// on them is served. After it none is accepted: if most VMs of a zone stop at once, the
// balancer keeps sending, and late requests were aborted at the end of the drain time.
const balancerNoticeTime = 2500 * time.Millisecond

// Stop begins a graceful stop: the VM isn't ready, but serves until no request is open. With
// force, requests in flight are aborted.
func (r *Relay) Stop(force bool) {
	if force {
		r.forceOnce.Do(func() { close(r.forced) })
	}
	cutAt := time.Now().Add(r.prefs.Load().Stop.Drain - stopSlack)
	r.cutAt.CompareAndSwap(nil, &cutAt)
	if r.stopping.Swap(true) {
		return
	}
	r.log.WithField("open", r.open.Load()).Info("stop asked for; not ready from now on")
	r.mu.Lock()
	r.performMesh(r.group.Leave(shed.Peer{}))
	r.mesh.activeAt = time.Time{}
	if len(r.alivePeers()) > 0 {
		r.performBatch(r.batcher.Handle(time.Now(), batch.Stopped{}))
	}
	r.mu.Unlock()
}

// awaitStop ends the daemon once a stop was requested and either all requests are answered or
// the drain time is over.
func (r *Relay) awaitStop(ctx context.Context, end context.CancelFunc) error {
	for !r.stopping.Load() {
		if sleep(ctx, stopPoll); ctx.Err() != nil {
			return ctx.Err()
		}
	}
	stopStart := time.Now()
	drainCtx, cancel := context.WithDeadline(ctx, *r.cutAt.Load())
	defer cancel()
	answerCtx, abort := context.WithCancel(ctx)
	defer abort()
	r.work.Go(func() error {
		select {
		case <-r.forced:
			cancel()
		case <-drainCtx.Done():
		}
		r.giveUpRequests(answerCtx)
		abort()
		return nil
	})
	sleep(drainCtx, balancerNoticeTime)
	r.log.WithField("open", r.open.Load()).Info("stop: listener closes")
	err := r.front.Shutdown(answerCtx)
	r.awaitCarried(drainCtx)
	r.log.WithFields(logrus.Fields{
		"open": r.open.Load(), "spent_ms": time.Since(stopStart).Milliseconds(), "error": errorText(err),
	}).Info("stop: requests are answered, or cut off")
	end()
	return suture.ErrTerminateSupervisorTree
}

// giveUpRequests ends the attempts of all requests that are still open, so that their callers get an answer unless a part
// of one has been sent, and waits a moment for these answers.
func (r *Relay) giveUpRequests(ctx context.Context) {
	if open := r.open.Load(); open > 0 {
		r.log.WithField("open", open).Warn("stop: requests are given up")
	}
	r.cutRequests()
	sleep(ctx, giveUpTime)
}

// giveUpTime bounds the answers to requests that a stop gives up.
const giveUpTime = stopSlack / 2

// rejectLate refuses a request that comes while this VM stops and that may not end before. The caller holds mu.
func (r *Relay) rejectLate(j *job) *refusal {
	cutAt := r.cutAt.Load()
	if cutAt == nil {
		return nil
	}
	request := drain.Request{
		Wait: j.deadline.Sub(j.began), Longest: r.longest.Time(j.route.ID), Left: cutAt.Sub(j.began), Others: len(r.alivePeers()) > 0,
	}
	if request.Fits() {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: shed.ReasonStopping, retryAfter: accept.MinRetryAfter}
}

// stopPoll is how often the daemon checks for a stop request.
const stopPoll = 50 * time.Millisecond
