package relay

import (
	shed "jasmineshed"
)

// addExpectedPieces counts the pieces of all steps of an admitted request: admission of other
// requests depends on both the queued and the expected pieces.
func (r *Relay) addExpectedPieces(j *job, p plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.expected = map[shed.PoolID]int{}
	for i, s := range p.steps {
		j.expected[s.Pool] += p.pieces[i]
		r.expected[s.Pool] += p.pieces[i]
	}
}

// removeExpectedPieces subtracts pieces that are being requested now.
func (r *Relay) removeExpectedPieces(j *job, pool shed.PoolID, pieces int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subtractExpected(j, pool, min(pieces, j.expected[pool]))
}

// clearExpectedPieces subtracts a request's remaining expected pieces.
func (r *Relay) clearExpectedPieces(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pool, n := range j.expected {
		r.subtractExpected(j, pool, n)
	}
}

func (r *Relay) subtractExpected(j *job, pool shed.PoolID, n int) {
	j.expected[pool] -= n
	if r.expected[pool] -= n; r.expected[pool] == 0 {
		delete(r.expected, pool)
	}
}

// setPeerExpected replaces the expected pieces reported by a peer. The caller holds mu.
func (r *Relay) setPeerExpected(from shed.VM, expected map[shed.PoolID]int) {
	for pool, n := range r.mesh.expected[from] {
		r.mesh.expectedSum[pool] -= n
	}
	for pool, n := range expected {
		r.mesh.expectedSum[pool] += n
	}
	r.mesh.expected[from] = expected
}

// expectedPieces returns how many pieces all admitted requests known here will still request
// from a pool. The caller holds mu.
func (r *Relay) expectedPieces(pool shed.PoolID) int {
	return r.expected[pool] + r.mesh.expectedSum[pool]
}
