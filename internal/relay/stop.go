package relay

import (
	"context"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
)

// noticeTime is how long the balancer may take to see that this VM isn't ready:
// two questions, one a second, and a margin. Until then new connections come,
// and each request on them is served. After it none is taken: where most VMs of
// a zone stop at once, the balancer goes on sending, and what came late was cut
// off at the end of the time for the stop.
const balancerNoticeTime = 2500 * time.Millisecond

// Stop begins a graceful stop: not ready, but serving until nothing is open. With
// hurry, requests in flight are cut off.
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

// awaitStop ends the daemon once a stop was asked for and all requests are
// answered, or the time for it is over.
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
	err := r.front.Shut(drainCtx)
	r.log.WithFields(logrus.Fields{
		"open": r.open.Load(), "spent_ms": time.Since(stopStart).Milliseconds(), "error": errText(err),
	}).Info("stop: requests are answered, or cut off")
	end()
	return suture.ErrTerminateSupervisorTree
}

// stopPoll is how often the daemon looks whether it was asked to stop.
const stopPoll = 50 * time.Millisecond
