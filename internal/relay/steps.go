package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
	"jasmineshed/internal/chain"
	"jasmineshed/internal/prefs"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// largeResultBytes is the size from which results are kept within a zone.
	largeResultBytes = 500_000
)

// prepare has all pieces of the request run, and sets its inputs.
func (r *Relay) prepare(ctx context.Context, j *job) *refusal {
	p := newPlan(j)
	if len(p.steps) == 0 {
		return nil
	}
	request, choice, busiest := r.estimate(j, p)
	switch {
	case choice.RestingFor > r.timeToTarget(j, time.Now()):
		// No server could answer in time, so the pieces would be run in vain.
		return r.awaitRest(ctx, j, choice.RestingFor)
	case choice.UnreachableFor > 0:
		return r.refuseUnreachable(ctx, j, choice.UnreachableFor)
	}
	if j.sends == 0 {
		if refused := r.admitSteps(ctx, j, p, request, busiest); refused != nil {
			return refused
		}
	}
	r.addExpectedPieces(j, p)
	defer r.clearExpectedPieces(j)
	run := stepRun{results: make([][]shed.ResultRef, len(p.steps)), ends: make([]chain.End, len(p.steps))}
	err := r.runSteps(ctx, j, p, &run)
	for range maxRepeats {
		if err != nil || !slices.Contains(run.ends, chain.InputsGone) {
			break
		}
		// A server left or died with the results.
		r.discardLost(j, p, &run)
		err = r.runSteps(ctx, j, p, &run)
	}
	if err == nil && slices.Contains(run.ends, chain.InputsGone) {
		err = stepError{shed.PieceInputsGone}
	}
	r.assignResults(j, p, run.results, err != nil)
	if err == nil {
		return nil
	}
	return r.stepRefusal(ctx, j, err)
}

// maxRepeats is how often steps of a request run again whose results were lost.
const maxRepeats = 2

// stepRun is what a request's steps have achieved.
type stepRun struct {
	// results are the results of each step that exist; those that nobody needs any more are freed.
	results [][]shed.ResultRef
	ends    []chain.End
}

// discardLost prepares the steps to run again whose results are lost or missing.
func (r *Relay) discardLost(j *job, p plan, run *stepRun) {
	r.mu.Lock()
	repeat := r.chain(time.Now(), p).Repeat(run.ends)
	r.mu.Unlock()
	for i := range repeat {
		if repeat[i] {
			r.releaseResults(j, run.results[i])
			run.results[i], run.ends[i] = nil, chain.NotRun
		}
	}
}

// runSteps runs the steps that have not run, each as soon as those that it depends on are done. If one
// finds its inputs gone, the steps that don't depend on it go on.
func (r *Relay) runSteps(ctx context.Context, j *job, p plan, run *stepRun) error {
	done := make([]chan struct{}, len(p.steps))
	for i := range done {
		done[i] = make(chan struct{})
		if run.ends[i] != chain.NotRun {
			close(done[i])
		}
	}
	uses := newUseCounts(p, run)
	awaits := r.prerequisites(p)
	g, ctx := errgroup.WithContext(ctx)
	for i := range p.steps {
		if run.ends[i] != chain.NotRun {
			continue
		}
		g.Go(func() error {
			for _, at := range awaits[i] {
				select {
				case <-done[at]:
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			defer close(done[i])
			if !p.hasInputs(i, run.ends) {
				return nil
			}
			results, err := r.runStep(ctx, j, p, i, run.results)
			var end stepError
			if errors.As(err, &end) && end.end == shed.PieceInputsGone {
				run.ends[i] = chain.InputsGone
				return nil
			}
			if err != nil {
				return err
			}
			run.results[i], run.ends[i] = results, chain.Complete
			r.releaseResults(j, uses.release(p, i, run))
			return nil
		})
	}
	return g.Wait()
}

// prerequisites returns for each step the steps that must be done before it begins.
func (r *Relay) prerequisites(p plan) [][]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.chain(time.Now(), p)
	out := make([][]int, len(c))
	late := r.prefs.Load().Relay.Enabled(prefs.LateStart)
	for i := range c {
		out[i] = c[i].After
		if with := c.StartWith(i); late && with >= 0 {
			out[i] = c[with].After
		}
	}
	return out
}

// useCounts counts the steps, of those that run, that still need the results of each step.
type useCounts struct {
	mu        sync.Mutex
	remaining []int
}

func newUseCounts(p plan, run *stepRun) *useCounts {
	u := &useCounts{remaining: make([]int, len(p.steps))}
	for i, s := range p.steps {
		if run.ends[i] != chain.NotRun {
			continue
		}
		for _, before := range s.DependsOn {
			if at := p.stepIndex(before); at >= 0 {
				u.remaining[at]++
			}
		}
	}
	return u
}

// release returns the results that nobody needs any more now that a step is done, and removes
// them from the run. Servers have capacity for few results: kept until all steps were done,
// they blocked the steps of other requests.
func (u *useCounts) release(p plan, done int, run *stepRun) []shed.ResultRef {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []shed.ResultRef
	for _, before := range p.steps[done].DependsOn {
		at := p.stepIndex(before)
		if at < 0 {
			continue
		}
		if u.remaining[at]--; u.remaining[at] == 0 {
			out = append(out, run.results[at]...)
			run.results[at], run.ends[at] = nil, chain.Freed
		}
	}
	return out
}

// admitSteps refuses a request at once if its pieces would be late. It waits longest for the pool b.
func (r *Relay) admitSteps(ctx context.Context, j *job, p plan, request accept.Request, b bottleneck) *refusal {
	now := time.Now()
	request.ToTarget, request.ToDeadline = j.target.Sub(now), j.deadline.Sub(now)
	v := r.decideSteps(ctx, j, p, request, b)
	j.predicted = request.Timely + request.Answer
	if v.Admitted {
		return nil
	}
	r.mu.Lock()
	forecast := r.mesh.forecasts[b.pool]
	r.mu.Unlock()
	r.log.WithFields(logrus.Fields{
		"request": j.request.ID, "route": request.Route, "needs_ms": v.NeededTime.Milliseconds(), "least_ms": request.MinTime.Milliseconds(),
		"timely_ms": request.Timely.Milliseconds(), "last_ms": request.Last.Milliseconds(), "answer_ms": request.Answer.Milliseconds(),
		"urgent_ranks": request.UrgentRanks, "to_aim_ms": request.ToTarget.Milliseconds(), "to_end_ms": request.ToDeadline.Milliseconds(),
		"after_ms": v.RetryAfter.Milliseconds(), "bottleneck": b.pool, "coordinator": v.coordinator,
		"forecast_from": forecast.from, "reservation": v.outcome,
	}).Info("pieces would be late")
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonPiecesLate, retryAfter: v.RetryAfter}
}

// assignResults keeps the results that the request itself needs as its inputs, and frees the
// others.
func (r *Relay) assignResults(j *job, p plan, results [][]shed.ResultRef, discardAll bool) {
	var unused []shed.ResultRef
	for i, refs := range results {
		if discardAll || !p.isFinal(i) {
			unused = append(unused, refs...)
		} else {
			j.inputs = append(j.inputs, refs...)
		}
	}
	r.releaseResults(j, unused)
	r.setInputZone(j, p, results)
}

// setInputZone sets the zone that holds the request's large inputs.
func (r *Relay) setInputZone(j *job, p plan, results [][]shed.ResultRef) {
	for i, s := range p.steps {
		if s.ResultBytes < largeResultBytes || !p.isFinal(i) {
			continue
		}
		if zone := r.zoneOf(s.Pool, results[i]); zone != "" {
			j.zone = zone
		}
	}
}

func (r *Relay) stepRefusal(ctx context.Context, j *job, err error) *refusal {
	refused := &refusal{status: http.StatusServiceUnavailable, reason: reasonPiecesNotMade, retryAfter: accept.MinRetryAfter}
	var end stepError
	if errors.As(err, &end) && end.end == shed.PieceLate {
		refused.reason = reasonPiecesLate
	}
	if ctx.Err() != nil && !time.Now().Before(j.deadline) {
		refused.reason, refused.retryAfter = shed.ReasonDeadline, 0
	}
	return refused
}

// stepError reports that a step has no result.
type stepError struct{ end shed.PieceEnd }

// Error implements error.
func (e stepError) Error() string { return "pieces not made" }

// runStep runs the pieces of one step.
func (r *Relay) runStep(ctx context.Context, j *job, p plan, at int, results [][]shed.ResultRef) ([]shed.ResultRef, error) {
	s := p.steps[at]
	r.removeExpectedPieces(j, s, p.pieces[at])
	pieces := make([]shed.Piece, p.pieces[at])
	now := time.Now()
	after := r.minTimeAfter(j, p, at)
	preferred := r.preferredZone(j, p, at, results)
	var inputs []shed.ResultRef
	for _, before := range s.DependsOn {
		if i := p.stepIndex(before); i >= 0 {
			inputs = append(inputs, results[i]...)
		}
	}
	for n := range pieces {
		pieces[n] = shed.Piece{
			Request: j.request.ID, Step: s.Index, Number: n, Inputs: inputs, Bytes: s.ResultBytes,
			Budget: j.deadline.Sub(now) - after, Target: r.timeToTarget(j, now) - after,
			PreferredZone: preferred, SameZone: p.fetchedBytes(at) >= largeResultBytes,
			Origin: j.requestRef(),
		}
		if len(inputs) == 0 {
			pieces[n].Key = j.request.PieceKey
		}
	}
	refs := make([]shed.ResultRef, len(pieces))
	end := shed.PieceComplete
	for n, res := range r.runPieces(ctx, j, s.Pool, pieces) {
		refs[n] = res.Ref
		if res.End != shed.PieceComplete {
			end = res.End
		}
	}
	if end != shed.PieceComplete {
		return r.discardStep(j, refs, end)
	}
	return refs, ctx.Err()
}

// timeToTarget returns the time in which the request should be answered. A request that is
// being retried precedes all others: its caller has part of the answer and gives up soon.
func (r *Relay) timeToTarget(j *job, now time.Time) time.Duration {
	if j.sends > 0 {
		return max(j.target.Sub(now), retryTarget)
	}
	return j.target.Sub(now)
}

// retryTarget is the least time to target of a retried request.
const retryTarget = 800 * time.Millisecond

// preferredZone returns the preferred zone for the pieces of a step: the one that holds their
// inputs, if these are large, or the zone of the server that fetches large results; empty if
// there is no preference.
func (r *Relay) preferredZone(j *job, p plan, at int, results [][]shed.ResultRef) shed.ZoneID {
	s := p.steps[at]
	if p.isFinal(at) && s.ResultBytes >= largeResultBytes {
		return j.zone
	}
	for _, before := range s.DependsOn {
		i := p.stepIndex(before)
		if i >= 0 && p.fetchedBytes(i) >= largeResultBytes {
			return r.zoneOf(p.steps[i].Pool, results[i])
		}
	}
	return ""
}

// zoneOf returns the zone that holds most of a pool's results; empty if none is known.
func (r *Relay) zoneOf(pool shed.PoolID, refs []shed.ResultRef) shed.ZoneID {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := map[shed.ZoneID]int{}
	most := shed.ZoneID("")
	for _, ref := range refs {
		addr := r.cfg.Dialect.Producer(ref)
		for _, server := range r.roster.OpenServers(pool) {
			if server.Addr != addr {
				continue
			}
			count[server.Zone]++
			if count[server.Zone] > count[most] {
				most = server.Zone
			}
		}
	}
	return most
}

// discardStep frees the results of a failed step.
func (r *Relay) discardStep(j *job, refs []shed.ResultRef, end shed.PieceEnd) ([]shed.ResultRef, error) {
	r.releaseResults(j, slices.DeleteFunc(refs, func(ref shed.ResultRef) bool { return ref == "" }))
	return nil, stepError{end}
}

// maxPredictedAnswerTime bounds the predicted time for reading a prompt: a request with a very
// long one must not have all its steps due at once.
const maxPredictedAnswerTime = 600 * time.Millisecond
