package relay

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/chain"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/prefs"
)

// plan is the subset of a route's steps that a request uses.
type plan struct {
	steps []shed.RouteStep
	// pieces is the number of pieces of each step, at least one.
	pieces []int
}

// newPlan omits steps for which the request has no pieces.
func newPlan(j *job) plan {
	var p plan
	for _, s := range j.route.Steps {
		n := 0
		if s.Index < len(j.request.Pieces) {
			n = j.request.Pieces[s.Index]
		}
		if n > 0 {
			p.steps, p.pieces = append(p.steps, s), append(p.pieces, n)
		}
	}
	return p
}

// stepIndex returns the position of the step with this index; -1 if the request omits it.
func (p plan) stepIndex(index int) int {
	return slices.IndexFunc(p.steps, func(s shed.RouteStep) bool { return s.Index == index })
}

// isFinal reports whether no other step needs the results of this one.
func (p plan) isFinal(at int) bool {
	return !slices.ContainsFunc(p.steps, func(s shed.RouteStep) bool {
		return slices.Contains(s.DependsOn, p.steps[at].Index)
	})
}

// hasInputs reports whether the results that a step needs exist.
func (p plan) hasInputs(at int, ends []chain.End) bool {
	return !slices.ContainsFunc(p.steps[at].DependsOn, func(before int) bool {
		i := p.stepIndex(before)
		return i >= 0 && ends[i] != chain.Complete
	})
}

// fetchedBytes returns how many bytes of a step's results the pieces of other steps fetch: each
// of them fetches all.
func (p plan) fetchedBytes(at int) int64 {
	var bytes int64
	for i, s := range p.steps {
		if slices.Contains(s.DependsOn, p.steps[at].Index) {
			bytes += p.steps[at].ResultBytes * int64(p.pieces[at]) * int64(p.pieces[i])
		}
	}
	return bytes
}

// minTimeAfter returns the least time that a request takes after one of its steps. It makes the
// first step of a long chain due before the last one, and prevents running pieces for a request
// that can't meet its deadline any more.
func (r *Relay) minTimeAfter(j *job, p plan, at int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain(time.Now(), p).MinTimeAfter(at) + j.answerTime
}

// chain collects the limits, forecasts and expected pieces of the pools of a plan's steps. The
// caller holds mu.
func (r *Relay) chain(now time.Time, p plan) chain.Chain {
	c := make(chain.Chain, len(p.steps))
	for i, s := range p.steps {
		c[i].Pieces = p.pieces[i]
		for _, before := range s.DependsOn {
			if at := p.stepIndex(before); at >= 0 {
				c[i].After = append(c[i].After, at)
			}
		}
		pool := r.pool(s.Pool)
		if !pool.RunsPieces() {
			continue
		}
		c[i].Limits, c[i].Servers = r.batchLimits(pool), len(r.roster.OpenServers(s.Pool))
		c[i].Forecast, c[i].ExpectedPieces = r.forecast(now, pool), r.expectedPieces(s.Pool)
		c[i].ResultBytes, c[i].ExpectedBytes = s.ResultBytes, r.expectedResultBytes(s.Pool)
	}
	return c
}

// forecast returns this VM's forecast for a pool that it coordinates, or the coordinator's last
// one less the time since.
func (r *Relay) forecast(now time.Time, pool *shed.RelayPool) batch.Forecast {
	if vm, _ := r.coordinator(now, pool.ID); vm == r.mesh.self.VM {
		f := r.batcher.PredictWait(now, pool.ID, r.batchLimits(pool))
		return addWait(f, r.promised(now, pool.ID, f.Rate))
	}
	w, ok := r.mesh.forecasts[pool.ID]
	if !ok {
		return batch.Forecast{}
	}
	return addWait(w.After(now.Sub(w.at)), r.peerPromised(w))
}

// estimate picks the zone near which the pieces should run and predicts how long they take, and
// the least that they can take. It returns the choice of the server that would answer, and the pool
// that the request waits longest for.
func (r *Relay) estimate(j *job, p plan) (accept.Request, picker.Choice, bottleneck) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range p.steps {
		j.largeInputs = j.largeInputs || p.isFinal(i) && s.ResultBytes >= largeResultBytes
	}
	want := r.wantFor(j)
	want.Access = r.serverAccess(now, j.pool, nil, 0)
	choice := r.picker.Pick(now, want, r.candidates(now, j))
	if choice.Server != nil {
		j.zone = choice.Server.Zone
		j.answerTime = min(choice.Time, maxPredictedAnswerTime) + r.picker.Overrun()
	}
	c := r.chain(now, p)
	wait := c.Forecast()
	request := accept.Request{Route: j.route.ID, MinTime: c.MinTime(), Timely: wait.Timely, Last: wait.Last, Answer: j.answerTime}
	busiest := findBottleneck(p, c)
	if r.prefs.Load().Relay.Enabled(prefs.UrgentReserve) {
		request.MoreUrgent, request.UrgentRanks = r.moreUrgentRoutes(j.route, busiest.pool)
	}
	return request, choice, busiest
}

// moreUrgentRoutes returns the routes of more urgent ranks that have steps in a pool, and the
// number of these ranks. The caller holds mu.
func (r *Relay) moreUrgentRoutes(route *shed.Route, pool shed.PoolID) (routes []shed.RouteID, ranks int) {
	seen := map[int]bool{}
	for i := range r.roster.Catalog().Routes {
		other := &r.roster.Catalog().Routes[i]
		if other.Rank >= route.Rank || !other.UsesPool(pool) {
			continue
		}
		routes = append(routes, other.ID)
		seen[other.Rank] = true
	}
	return routes, len(seen)
}
