package relay

import (
	"context"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"

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
	drainCtx, cancel := context.WithDeadline(ctx, stopStart.Add(r.prefs.Load().Stop.Drain-stopSlack))
	defer cancel()
	r.work.Go(func() error {
		select {
		case <-r.forced:
			cancel()
		case <-drainCtx.Done():
		}
		return nil
	})
	sleep(drainCtx, balancerNoticeTime)
	r.log.WithField("open", r.open.Load()).Info("stop: listener closes")
	err := r.front.Shutdown(drainCtx)
	r.awaitCarried(drainCtx)
	r.log.WithFields(logrus.Fields{
		"open": r.open.Load(), "spent_ms": time.Since(stopStart).Milliseconds(), "error": errorText(err),
	}).Info("stop: requests are answered, or cut off")
	end()
	return suture.ErrTerminateSupervisorTree
}

// stopPoll is how often the daemon checks for a stop request.
const stopPoll = 50 * time.Millisecond
