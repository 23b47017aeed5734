package relay

import (
	shed "jasmineshed"
)

// comes counts the pieces of all steps of a request that was let in: others are let
// in by what waits and by what will come.
func (r *Relay) comes(j *job, p plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.coming = map[shed.PoolID]int{}
	for i, s := range p.steps {
		j.coming[s.Pool] += p.pieces[i]
		r.coming[s.Pool] += p.pieces[i]
	}
}

// arrives takes pieces that are asked for now out of the count.
func (r *Relay) arrives(j *job, pool shed.PoolID, pieces int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uncount(j, pool, min(pieces, j.coming[pool]))
}

// comesNot takes what is left of a request's pieces out of the count.
func (r *Relay) comesNot(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pool, n := range j.coming {
		r.uncount(j, pool, n)
	}
}

func (r *Relay) uncount(j *job, pool shed.PoolID, n int) {
	j.coming[pool] -= n
	if r.coming[pool] -= n; r.coming[pool] == 0 {
		delete(r.coming, pool)
	}
}

// heardComing takes in what a peer's requests will ask for. The caller holds mu.
func (r *Relay) heardComing(from shed.VM, coming map[shed.PoolID]int) {
	for pool, n := range r.mesh.coming[from] {
		r.mesh.comingSum[pool] -= n
	}
	for pool, n := range coming {
		r.mesh.comingSum[pool] += n
	}
	r.mesh.coming[from] = coming
}

// comingTo is how many pieces will be asked of a pool by all requests that were
// let in, as far as is known. The caller holds mu.
func (r *Relay) comingTo(pool shed.PoolID) int { return r.coming[pool] + r.mesh.comingSum[pool] }
