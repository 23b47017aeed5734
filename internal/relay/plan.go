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

// planOf leaves out steps that the request has no pieces of.
func planOf(j *job) plan {
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

// at finds the step with this index; -1 if the request omits it.
func (p plan) at(index int) int {
	return slices.IndexFunc(p.steps, func(s shed.RouteStep) bool { return s.Index == index })
}

// last tells whether no other step needs the results of this one.
func (p plan) last(at int) bool {
	return !slices.ContainsFunc(p.steps, func(s shed.RouteStep) bool {
		return slices.Contains(s.DependsOn, p.steps[at].Index)
	})
}

// fetched is how many bytes of a step's results the pieces of other steps fetch:
// each of them fetches all.
func (p plan) fetched(at int) int64 {
	var bytes int64
	for i, s := range p.steps {
		if slices.Contains(s.DependsOn, p.steps[at].Index) {
			bytes += p.steps[at].ResultBytes * int64(p.pieces[at]) * int64(p.pieces[i])
		}
	}
	return bytes
}

// timeAfter is the least time that a request takes after one of its steps. By
// it, the first step of a long chain is due before the last one, and pieces are
// not made for a request that can't be in time any more.
func (r *Relay) timeAfter(j *job, p plan, at int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain(time.Now(), p).MinTimeAfter(at) + j.answerTime
}

// chain puts together what is known of the pools of a plan's steps. The caller
// holds mu.
func (r *Relay) chain(now time.Time, p plan) chain.Chain {
	c := make(chain.Chain, len(p.steps))
	for i, s := range p.steps {
		c[i].Pieces = p.pieces[i]
		for _, before := range s.DependsOn {
			if at := p.at(before); at >= 0 {
				c[i].After = append(c[i].After, at)
			}
		}
		pool := r.pool(s.Pool)
		if !pool.RunsPieces() {
			continue
		}
		c[i].Limits, c[i].Servers = *pool.Batch, len(r.roster.OpenServers(s.Pool))
		c[i].Forecast, c[i].ExpectedPieces = r.forecast(now, pool), r.comingTo(s.Pool)
	}
	return c
}

// forecast is what this VM foresees for a pool that it gathers for, or what the
// gatherer told, less what has passed since.
func (r *Relay) forecast(now time.Time, pool *shed.RelayPool) batch.Forecast {
	if vm, _ := r.gatherer(now, pool.ID); vm == r.mesh.self.VM {
		return r.batcher.PredictWait(now, pool.ID, *pool.Batch)
	}
	w, ok := r.mesh.waits[pool.ID]
	if !ok {
		return batch.Forecast{}
	}
	age := now.Sub(w.at)
	return batch.Forecast{Timely: w.Timely - age, Last: w.Last - age, Slow: w.Slow, Rate: w.Rate}
}

// plan chooses near which server the pieces are best made, and foresees how long
// they take, and would take at least. If no server can be reached that could answer,
// away is when one may be tried again.
func (r *Relay) plan(j *job, p plan) (ask accept.Request, away time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range p.steps {
		j.heavy = j.heavy || p.last(i) && s.ResultBytes >= heavyBytes
	}
	want := r.want(j)
	want.Access = r.access(now, j.pool, nil, 0)
	choice := r.picker.Pick(now, want, r.roster.OpenServers(j.pool.ID))
	if choice.Server != nil {
		j.zone = choice.Server.Zone
		j.answerTime = min(choice.Time, mostReading) + r.picker.Overrun()
	}
	c := r.chain(now, p)
	wait := c.Forecast()
	ask = accept.Request{Route: j.route.ID, MinTime: c.MinTime(), Timely: wait.Timely, Last: wait.Last, Answer: j.answerTime}
	if r.prefs.Load().Relay.Has(prefs.UrgentReserve) {
		ask.MoreUrgent, ask.UrgentRanks = r.above(j.route, p.steps[c.Bottleneck()].Pool)
	}
	return ask, choice.UnreachableFor
}

// above are the routes of more urgent ranks that have steps in a pool, and how many
// ranks they have. The caller holds mu.
func (r *Relay) above(route *shed.Route, pool shed.PoolID) (routes []shed.RouteID, ranks int) {
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
