package relay

import (
	"context"
	"net"
	"runtime"
	"time"

	"github.com/sirupsen/logrus"

	shed "jasmineshed"
	"jasmineshed/internal/intake"
	"jasmineshed/internal/prefs"
	"jasmineshed/internal/strain"
)

// runProbes measures how long work waits for this VM's processor, and adapts what the VM takes in.
func (r *Relay) runProbes(ctx context.Context) error {
	t := time.NewTicker(strain.ProbeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			r.probeProcessor()
		}
	}
}

// probeProcessor yields and measures the time until its next turn. Timers and what they wake come
// before goroutines that are already waiting, so a late timer would show much less.
func (r *Relay) probeProcessor() {
	began := time.Now()
	runtime.Gosched()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.meter.Probed(now.Sub(began))
	load := r.meter.Load(now)
	r.allowanceNanos.Store(int64(load.Allowance()))
	r.adjustIntake(now, load)
}

// adjustIntake adapts what this VM takes in. The caller holds mu.
func (r *Relay) adjustIntake(now time.Time, load strain.Load) {
	was := r.valve.Limited()
	mayLimit := r.prefs.Load().Relay.Enabled(prefs.IntakeLimit) && (was || load.Strained())
	r.valve.Adjust(now, intake.State{Load: load, Alternatives: mayLimit && r.haveAlternatives(now)})
	r.stats.recordStrain(load, r.valve.Limit())
	if limited := r.valve.Limited(); limited != was {
		r.stats.stateChanges.Inc(1)
		r.log.WithFields(logrus.Fields{
			"limited": limited, "processor_ms": load.Processor.Milliseconds(), "link_ms": load.Link.Milliseconds(),
			"limit": r.valve.Limit(), "open": r.open.Load(),
		}).Info("limit of new connections")
	}
}

// haveAlternatives reports whether two thirds of the active peers can take the callers that this VM turns away. The
// caller holds mu.
func (r *Relay) haveAlternatives(now time.Time) bool {
	able, n := 0, 0
	for _, vm := range r.activeVMs(now) {
		if vm == r.mesh.self.VM {
			continue
		}
		n++
		if !r.mesh.strained[vm] {
			able++
		}
	}
	return 3*able > 2*n
}

// callerIntake is the shed.Intake of the callers' listener.
type callerIntake struct{ relay *Relay }

// Pause implements shed.Intake.
func (c callerIntake) Pause() time.Duration {
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	return c.relay.valve.Pause(time.Now())
}

// Taken implements shed.Intake.
func (c callerIntake) Taken() {
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	c.relay.valve.Taken(time.Now())
}

// reopenCallers opens the callers' listener again after a pause.
func (r *Relay) reopenCallers() (net.Listener, error) {
	return r.cfg.ListenCallers(r.base, r.cfg.Listeners.Callers.Addr().String())
}

// recordConnect records how long it took to connect to a server, or until that was given up.
func (r *Relay) recordConnect(addr string, took time.Duration, err error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.meter.Exchanged(now, addr, took)
	case timedOut(err):
		r.meter.Unanswered(now, addr, took)
	}
}

// recordAnswer records how long a peer took to answer a control message, which it does at once.
func (r *Relay) recordAnswer(vm shed.VM, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.meter.Exchanged(time.Now(), string(vm), took)
}

// withTimeout bounds what others do at once: by d, and by as much more as this VM's own processor and link may hold
// it up, so that its own delay is not taken for theirs.
func (r *Relay) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, r.extend(d))
}

// extend returns a time limit for others, extended by this VM's own delay.
func (r *Relay) extend(d time.Duration) time.Duration { return d + r.allowance() }

// allowance returns how much longer than usual this VM waits for others because it is late itself.
func (r *Relay) allowance() time.Duration { return time.Duration(r.allowanceNanos.Load()) }

// isStrained reports whether this VM can't take callers that others turn away. The caller holds mu.
func (r *Relay) isStrained(now time.Time) bool {
	return r.valve.Limited() || r.meter.Load(now).Strained() || r.cfg.Account.Usage().Full
}

// receiveStrain records whether a peer is strained. The caller holds mu.
func (r *Relay) receiveStrain(vm shed.VM, strained bool) {
	if strained {
		r.mesh.strained[vm] = true
	} else {
		delete(r.mesh.strained, vm)
	}
}
