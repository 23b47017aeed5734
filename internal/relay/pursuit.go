package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/hedge"
	"jasmineshed/internal/picker"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// pursuit is what follows the choice of a server for a request: the attempt there, and second ones that
// begin while the server of the attempt in flight is silent. The caller gets the answer of one of them.
type pursuit struct {
	relay *Relay
	ctx   context.Context
	job   *job
	out   *output
	// earlierSends are the sends before this pursuit.
	earlierSends int
	// second runs all attempts but the first.
	second errgroup.Group

	// mu guards the fields below, and out and the jobs of attempts while they are in flight. It is locked
	// before Relay.mu.
	mu       sync.Mutex
	race     hedge.Race
	inFlight map[hedge.Runner]*attempt
	// begun counts the attempts that were or may be sent, ended are those that have ended, in this order.
	begun int
	ended []*attempt
	// avoid are the servers of attempts that failed, notBefore is when the next second attempt may begin.
	avoid     []shed.ServerID
	notBefore time.Time
	// inputsGone: a server said that inputs of the request are gone.
	inputsGone bool
}

// pursue sends the request to the chosen server, and to further ones while that is silent, until the caller
// has the whole answer or no attempt is left.
func (r *Relay) pursue(ctx context.Context, out *output, j *job, choice picker.Choice) outcome {
	p := &pursuit{relay: r, ctx: ctx, job: j, out: out, earlierSends: j.sends, inFlight: map[hedge.Runner]*attempt{}}
	p.mu.Lock()
	a, _ := p.newAttempt(j)
	p.mu.Unlock()
	a.execute(choice)
	_ = p.second.Wait()
	return p.conclude(j)
}

// newAttempt adds an attempt; ok is false if none may begin. The caller holds mu.
func (p *pursuit) newAttempt(j *job) (a *attempt, ok bool) {
	runner, ok := p.race.Start()
	if !ok {
		return nil, false
	}
	a = &attempt{relay: p.relay, pursuit: p, runner: runner, job: j, out: p.out, lastEvent: p.out.lastEvent}
	a.ctx, a.cancel = context.WithCancel(p.ctx)
	p.inFlight[runner] = a
	p.begun++
	return a, true
}

// deliver reports whether an attempt may deliver to the caller; the other one is cancelled then. The caller
// holds mu.
func (p *pursuit) deliver(a *attempt) bool {
	if !p.race.Deliver(a.runner) {
		return false
	}
	for runner, other := range p.inFlight {
		if runner != a.runner {
			other.overtakenBy = a.runner
			other.cancel()
			delete(p.inFlight, runner)
		}
	}
	return true
}

// end records that an attempt has ended; lost is set if another one serves the caller.
func (p *pursuit) end(a *attempt) (lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, a.runner)
	return !p.race.End(a.runner)
}

// secondBackoff is the time from a failed attempt to the next second one; each failure adds as much.
const secondBackoff = 250 * time.Millisecond

// recordEnd records the outcome of an attempt. A second one that was not sent leaves its send to another.
func (p *pursuit) recordEnd(a *attempt) {
	if a.isSecond() && !a.outcome.sent {
		p.returnSend(a)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = append(p.ended, a)
	if !a.outcome.done && !a.outcome.lost {
		p.avoid = append(p.avoid, a.choice.Server.ID)
		p.notBefore = time.Now().Add(time.Duration(len(p.avoid)) * secondBackoff)
	}
}

// returnSend gives back what was taken for a second attempt that was not sent.
func (p *pursuit) returnSend(a *attempt) {
	p.mu.Lock()
	p.begun--
	p.mu.Unlock()
	p.relay.mu.Lock()
	defer p.relay.mu.Unlock()
	p.relay.retryBudget(a.job.pool.ID).Return(time.Now())
}

// conclude puts the results of all attempts into the job, and returns the outcome of the last one that was
// sent and did not lose, or else of the last one.
func (p *pursuit) conclude(j *job) outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	var v outcome
	sends, mayHaveRun := p.earlierSends, j.mayHaveRun
	for _, a := range p.ended {
		if a.outcome.sent {
			sends++
		}
		mayHaveRun = mayHaveRun || a.outcome.mayHaveRun
		if a.job != j {
			p.relay.releaseInputs(a.job)
		}
		if a.outcome.lost || v.sent && !a.outcome.sent {
			continue
		}
		v = a.outcome
		j.adopt(a.job)
	}
	if p.inputsGone {
		p.relay.releaseInputs(j)
	}
	j.sends, j.mayHaveRun, j.avoid = sends, mayHaveRun, append(j.avoid, p.avoid...)
	return v
}

// adopt takes over what an attempt has found out and delivered.
func (j *job) adopt(from *job) {
	if from == j {
		return
	}
	j.origin, j.events, j.firstByte = from.origin, from.events, from.firstByte
	j.server, j.serverVersion, j.slowness = from.server, from.serverVersion, from.slowness
	j.carrier, j.sending = from.carrier, from.sending
	j.answerTime, j.zone = from.answerTime, from.zone
}

// releaseInputs frees the request's inputs once the server of an attempt has fetched them. The caller holds
// mu.
func (p *pursuit) releaseInputs(a *attempt) {
	p.relay.releaseInputs(a.job)
	if a.job != p.job {
		p.relay.releaseInputs(p.job)
	}
}

// checkSilence has a second attempt begin if the server of a is silent and it is worth it, and returns when
// to check again; 0 for never.
func (p *pursuit) checkSilence(a *attempt) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.race.IsInFlight(a.runner):
		return 0
	case p.race.Contested(), time.Now().Before(p.notBefore):
		return hedge.RecheckInterval
	}
	wait := p.relay.describeWait(a)
	verdict, next := wait.Decide()
	if verdict == hedge.Begin {
		// Predicted only now, since most checks find a healthy server.
		wait.Answer += p.relay.inputsTime(a.job)
		verdict, next = wait.Decide()
	}
	switch verdict {
	case hedge.Stay:
		return next
	case hedge.TooLate:
		return 0
	}
	denied := p.secureSecond(a)
	a.logSecond(wait, denied)
	if denied != retryPossible {
		return hedge.RecheckInterval
	}
	b, ok := p.newAttempt(p.copyJob(a.job))
	if !ok {
		return 0
	}
	p.second.Go(func() error {
		b.executeSecond()
		return nil
	})
	return hedge.RecheckInterval
}

// copyJob returns the job of a second attempt. It borrows the inputs of the first one. The caller holds mu.
func (p *pursuit) copyJob(j *job) *job {
	r := p.relay
	second := *j
	second.sends, second.permit = p.earlierSends+p.begun, heldPermit{}
	second.avoid = slices.Concat(j.avoid, p.avoid)
	second.inputsBorrowed = true
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.areInputsKept(time.Now(), j) {
		second.inputs, second.inputsReady = nil, false
	}
	second.expected, second.expectedBytes, second.coordinators = nil, nil, maps.Clone(j.coordinators)
	return &second
}

// fetchTime is reserved for a server to fetch its inputs before their producers drop them.
const fetchTime = time.Second

// areInputsKept reports whether the results that a request needs are kept long enough for another server to
// fetch them. The caller holds mu.
func (r *Relay) areInputsKept(now time.Time, j *job) bool {
	if !j.inputsReady {
		return false
	}
	age := now.Sub(j.began.Add(j.prepareTime))
	for _, s := range j.route.Steps {
		if pool := r.pool(s.Pool); pool.RunsPieces() && pool.Batch.ResultRetention > 0 && age+fetchTime > pool.Batch.ResultRetention {
			return false
		}
	}
	return true
}

// describeWait describes how an attempt waits for its server, without the time for inputs that have to be
// made again.
func (r *Relay) describeWait(a *attempt) hedge.Wait {
	now, lastSign := time.Now(), a.lastSign.Load()
	j, heardAt := a.job, a.began.Add(lastSign)
	w := hedge.Wait{
		Streaming: j.route.Streaming, Begun: lastSign > 0, Silence: now.Sub(heardAt),
		Target: j.route.Target, Left: j.deadline.Sub(now), Answer: j.answerTime,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !j.route.Streaming {
		w.Answer = max(a.choice.Time, r.usual.Time(j.route.ID))
	}
	w.ServerSilence = now.Sub(shed.Later(r.paths.heardFrom[a.exchange.addr()], heardAt))
	w.PoolSilent = r.isPoolSilent(now, j.pool.ID)
	return w
}

// inputsTime returns the predicted time until another server can have the results that a request needs: 0
// unless they have to be made again.
func (r *Relay) inputsTime(j *job) time.Duration {
	plan := newPlan(j)
	if len(plan.steps) == 0 {
		return 0
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.areInputsKept(now, j) {
		return 0
	}
	return r.chain(now, plan).MinTime()
}

// secureSecond takes the retry budget for a second attempt if there is a server for it. The caller holds mu.
func (p *pursuit) secureSecond(a *attempt) noRetry {
	r, j := p.relay, a.job
	switch {
	case p.earlierSends+p.begun >= j.route.MaxSends:
		return noSendsLeft
	case len(j.avoid)+len(p.avoid) > maxServersTried:
		return noServersLeft
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.poison.Empty() && slices.ContainsFunc(j.suspectFingerprints(), r.poison.IsSuspect) {
		return maybeCrashes
	}
	// While servers are silent, many requests ask in vain for a budget that is spent, so it comes before the
	// search for a server.
	budget := r.retryBudget(j.pool.ID)
	if !budget.Take(now) {
		return noBudget
	}
	if _, choice := r.findSecond(now, j, j.server, p.avoid); choice.Server == nil {
		budget.Return(now)
		return noOtherServer
	}
	return retryPossible
}

// findSecond picks a server for a second attempt: one that is not silent, not the first one, and to which the
// request can be sent without a turn; one that failed if there is no other. The caller holds mu.
func (r *Relay) findSecond(now time.Time, j *job, first shed.ServerID, failed []shed.ServerID) (picker.Request, picker.Choice) {
	want := r.wantFor(j)
	want.Access = r.serverAccess(now, j.pool, nil, 0)
	servers, silent := r.candidates(now, j), append(r.poolServersAt(r.paths.quiet, j.pool.ID), first)
	want.Avoid = slices.Concat(want.Avoid, failed, silent)
	choice := r.picker.Pick(now, want, servers)
	if choice.Server == nil {
		want.Avoid = silent
		choice = r.picker.Pick(now, want, servers)
	}
	if choice.ByTurn {
		return want, picker.Choice{}
	}
	return want, choice
}

// placeSecond places a second attempt; Server is nil if there is no server for it any more.
func (r *Relay) placeSecond(j *job, first shed.ServerID) picker.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	want, choice := r.findSecond(now, j, first, nil)
	if choice.Server != nil {
		r.recordPlacement(now, j, want, choice)
	}
	return choice
}

// isSecond reports whether the attempt began beside another one.
func (a *attempt) isSecond() bool { return a.job != a.pursuit.job }

// logSecond logs the decision on a second attempt. A denial is logged once for an attempt.
func (a *attempt) logSecond(w hedge.Wait, denied noRetry) {
	if denied != retryPossible && denied == a.secondDenied {
		return
	}
	a.secondDenied = denied
	a.relay.stats.recordSecond(denied)
	a.relay.log.WithFields(logrus.Fields{
		"request": a.job.request.ID, "server": a.job.server, "silent_ms": w.Silence.Milliseconds(),
		"server_silent_ms": w.ServerSilence.Milliseconds(), "left_ms": w.Left.Milliseconds(), "events": a.job.events, "denied": denied,
	}).Info("second attempt")
}

// silenceTimer checks the silence of an attempt's server from time to time.
type silenceTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// start begins to call check after a delay. check returns when it is to be called again; 0 for never.
func (t *silenceTimer) start(delay time.Duration, check func() time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(delay, func() {
		next := check()
		t.mu.Lock()
		defer t.mu.Unlock()
		if next > 0 && !t.stopped {
			t.timer.Reset(next)
		}
	})
}

// stop ends the calls.
func (t *silenceTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// elapsed is a time since the beginning of an attempt. It is safe for concurrent use.
type elapsed struct{ nanos atomic.Int64 }

// Load returns the time.
func (e *elapsed) Load() time.Duration { return time.Duration(e.nanos.Load()) }

// Store sets the time.
func (e *elapsed) Store(d time.Duration) { e.nanos.Store(int64(d)) }
