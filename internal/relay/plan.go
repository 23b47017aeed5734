package relay

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
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
		return slices.Contains(s.After, p.steps[at].Index)
	})
}

// fetched is how many bytes of a step's results the pieces of other steps fetch:
// each of them fetches all.
func (p plan) fetched(at int) int64 {
	var bytes int64
	for i, s := range p.steps {
		if slices.Contains(s.After, p.steps[at].Index) {
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
	return r.restOf(p, at) + j.answerTime
}

// restOf is the least time of the steps after one, along the longest path.
func (r *Relay) restOf(p plan, at int) time.Duration {
	var longest time.Duration
	for i := at + 1; i < len(p.steps); i++ {
		pool := r.pool(p.steps[i].Pool)
		if slices.Contains(p.steps[i].After, p.steps[at].Index) && pool != nil && pool.Batch != nil {
			longest = max(longest, leastTime(pool.Batch, p.pieces[i])+r.restOf(p, i))
		}
	}
	return longest
}

// leastTime is the shortest time in which a server makes so many pieces.
func leastTime(l *shed.BatchLimits, pieces int) time.Duration {
	return l.CallTime + time.Duration(min(pieces, l.Most))*l.PieceTime
}

// plan chooses near which server the pieces are best made, and predicts how
// long they take, and would take at least.
func (r *Relay) plan(j *job, p plan) (f batch.Forecast, least time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range p.steps {
		j.heavy = j.heavy || p.last(i) && s.ResultBytes >= heavyBytes
	}
	if choice := r.picker.Pick(now, r.want(j), r.roster.Open(j.pool.ID)); choice.Server != nil {
		j.zone = choice.Server.Zone
		j.answerTime = serverTime + min(choice.Time, mostReading)
	}
	return r.pathWait(now, p), r.leastPath(p)
}

// leastPath is how long the plan's steps take if nothing waits.
func (r *Relay) leastPath(p plan) time.Duration {
	var longest time.Duration
	for i, s := range p.steps {
		if pool := r.pool(s.Pool); pool != nil && pool.Batch != nil {
			longest = max(longest, leastTime(pool.Batch, p.pieces[i])+r.restOf(p, i))
		}
	}
	return longest
}

// pathWait predicts how long the plan's steps take, along the longest path.
func (r *Relay) pathWait(now time.Time, p plan) batch.Forecast {
	ends := make([]batch.Forecast, len(p.steps))
	var longest batch.Forecast
	for i, s := range p.steps {
		var start batch.Forecast
		for _, before := range s.After {
			if at := p.at(before); at >= 0 {
				start.Timely, start.Last = max(start.Timely, ends[at].Timely), max(start.Last, ends[at].Last)
			}
		}
		ends[i] = r.poolWait(now, s.Pool, p.pieces[i], start)
		longest.Timely, longest.Last = max(longest.Timely, ends[i].Timely), max(longest.Last, ends[i].Last)
	}
	return longest
}

// poolWait predicts when pieces of a pool that are wanted from start on are
// done: by this VM's own queue, or by what the gatherer told, less what has
// passed since.
func (r *Relay) poolWait(now time.Time, id shed.PoolID, pieces int, start batch.Forecast) batch.Forecast {
	pool := r.pool(id)
	if pool == nil || pool.Batch == nil || len(r.roster.Open(id)) == 0 {
		return batch.Forecast{Timely: batch.NoServers, Last: batch.NoServers}
	}
	var f batch.Forecast
	age := time.Duration(0)
	if vm, _ := r.gatherer(now, id); vm == r.mesh.self.VM {
		f = r.batcher.Wait(now, id, *pool.Batch)
	} else if w, ok := r.mesh.waits[id]; ok {
		f, age = w.Forecast, now.Sub(w.at)
	}
	least, more := leastTime(pool.Batch, pieces), time.Duration(pieces-1)*pool.Batch.PieceTime
	return batch.Forecast{
		Timely: max(f.Timely+more-age, start.Timely+least),
		Last:   max(f.Last+more-age, start.Last+least),
	}
}
