package relay

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/chain"
	"jasmineshed/internal/prefs"
)

// plan is what a request's steps come to.
type plan struct {
	steps []shed.RouteStep
	// pieces is how many pieces each of steps has, at least one.
	pieces []int
}

// newPlan leaves out steps that the request has no pieces of.
func newPlan(j *job) plan {
	var p plan
	for _, s := range j.route.Steps {
		n := 0
		if s.Index < len(j.ask.Pieces) {
			n = j.ask.Pieces[s.Index]
		}
		if n > 0 {
			p.steps, p.pieces = append(p.steps, s), append(p.pieces, n)
		}
	}
	return p
}

// stepIndex finds the step with this index; -1 if the request omits it.
func (p plan) stepIndex(index int) int {
	return slices.IndexFunc(p.steps, func(s shed.RouteStep) bool { return s.Index == index })
}

// isFinal tells whether no other step needs the results of this one.
func (p plan) isFinal(at int) bool {
	return !slices.ContainsFunc(p.steps, func(s shed.RouteStep) bool {
		return slices.Contains(s.After, p.steps[at].Index)
	})
}

// fetchedBytes is how many bytes of a step's results the pieces of other steps fetch:
// each of them fetches all.
func (p plan) fetchedBytes(at int) int64 {
	var bytes int64
	for i, s := range p.steps {
		if slices.Contains(s.After, p.steps[at].Index) {
			bytes += p.steps[at].ResultBytes * int64(p.pieces[at]) * int64(p.pieces[i])
		}
	}
	return bytes
}

// minTimeAfter is the least time that a request takes after one of its steps. By
// it, the first step of a long chain is due before the last one, and pieces are
// not made for a request that can't be in time any more.
func (r *Relay) minTimeAfter(j *job, p plan, at int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain(time.Now(), p).Rest(at) + j.answerTime
}

// chain puts together what is known of the pools of a plan's steps. The caller
// holds mu.
func (r *Relay) chain(now time.Time, p plan) chain.Chain {
	c := make(chain.Chain, len(p.steps))
	for i, s := range p.steps {
		c[i].Pieces = p.pieces[i]
		for _, before := range s.After {
			if at := p.stepIndex(before); at >= 0 {
				c[i].After = append(c[i].After, at)
			}
		}
		pool := r.pool(s.Pool)
		if !pool.MakesPieces() {
			continue
		}
		c[i].Limits, c[i].Servers = *pool.Batch, len(r.roster.Open(s.Pool))
		c[i].Wait, c[i].Coming = r.forecast(now, pool), r.expectedPieces(s.Pool)
	}
	return c
}

// forecast is what this VM foresees for a pool that it gathers for, or what the
// gatherer told, less what has passed since.
func (r *Relay) forecast(now time.Time, pool *shed.RelayPool) batch.Forecast {
	if vm, _ := r.coordinator(now, pool.ID); vm == r.mesh.self.VM {
		return r.batcher.Wait(now, pool.ID, *pool.Batch)
	}
	w, ok := r.mesh.forecasts[pool.ID]
	if !ok {
		return batch.Forecast{}
	}
	age := now.Sub(w.at)
	return batch.Forecast{Timely: w.Timely - age, Last: w.Last - age, Slow: w.Slow, Rate: w.Rate}
}

// estimate chooses near which server the pieces are best made, and foresees how long
// they take, and would take at least. If no server can be reached that could answer,
// away is when one may be tried again.
func (r *Relay) estimate(j *job, p plan) (ask accept.Ask, retryAfter time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range p.steps {
		j.largeInputs = j.largeInputs || p.isFinal(i) && s.ResultBytes >= largeResultBytes
	}
	want := r.wantFor(j)
	want.Access = r.serverAccess(now, j.pool, nil, 0)
	choice := r.picker.Pick(now, want, r.roster.Open(j.pool.ID))
	if choice.Server != nil {
		j.zone = choice.Server.Zone
		j.answerTime = min(choice.Time, maxPredictedAnswerTime) + r.picker.Overrun()
	}
	c := r.chain(now, p)
	wait := c.Wait()
	ask = accept.Ask{Route: j.route.ID, Least: c.Least(), Timely: wait.Timely, Last: wait.Last, Answer: j.answerTime}
	if r.prefs.Load().Relay.Has(prefs.UrgentReserve) {
		ask.Above, ask.Ranks = r.moreUrgentRoutes(j.route, p.steps[c.Crowded()].Pool)
	}
	return ask, choice.Away
}

// moreUrgentRoutes are the routes of more urgent ranks that have steps in a pool, and how many
// ranks they have. The caller holds mu.
func (r *Relay) moreUrgentRoutes(route *shed.Route, pool shed.PoolID) (routes []shed.RouteID, ranks int) {
	seen := map[int]bool{}
	for i := range r.roster.Catalog().Routes {
		other := &r.roster.Catalog().Routes[i]
		if other.Rank >= route.Rank || !other.Uses(pool) {
			continue
		}
		routes = append(routes, other.ID)
		seen[other.Rank] = true
	}
	return routes, len(seen)
}
