package relay

import (
	shed "jasmineshed"
	"jasmineshed/internal/room"
)

// addExpectedPieces counts the pieces of all steps of an admitted request: admission of other
// requests depends on both the queued and the expected pieces.
func (r *Relay) addExpectedPieces(j *job, p plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.expected, j.expectedBytes = map[shed.PoolID]int{}, map[shed.PoolID]int64{}
	for i, s := range p.steps {
		r.countExpected(j, s.Pool, p.pieces[i], int64(p.pieces[i])*r.countedBytes(s))
	}
}

// removeExpectedPieces subtracts the pieces of a step that are being requested now.
func (r *Relay) removeExpectedPieces(j *job, s shed.RouteStep, pieces int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(pieces, j.expected[s.Pool])
	r.countExpected(j, s.Pool, -n, -min(int64(n)*s.ResultBytes, j.expectedBytes[s.Pool]))
}

// clearExpectedPieces subtracts a request's remaining expected pieces.
func (r *Relay) clearExpectedPieces(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pool, n := range j.expected {
		r.countExpected(j, pool, -n, -j.expectedBytes[pool])
	}
}

// countExpected adds to a request's expected pieces, or subtracts from them. The caller holds mu.
func (r *Relay) countExpected(j *job, pool shed.PoolID, n int, bytes int64) {
	j.expected[pool] += n
	if r.expected[pool] += n; r.expected[pool] == 0 {
		delete(r.expected, pool)
	}
	j.expectedBytes[pool] += bytes
	if r.expectedBytes[pool] += bytes; r.expectedBytes[pool] == 0 {
		delete(r.expectedBytes, pool)
	}
}

// countedBytes is the size of a result of the step if the capacity for results of its pool can bind.
// Other pools are left out of load reports, which all VMs exchange. The caller holds mu.
func (r *Relay) countedBytes(s shed.RouteStep) int64 {
	if pool := r.pool(s.Pool); pool.RunsPieces() && room.CanBind(r.batchLimits(pool)) {
		return s.ResultBytes
	}
	return 0
}

// setPeerExpected replaces the expected pieces reported by a peer, and the size of their results. The
// caller holds mu.
func (r *Relay) setPeerExpected(from shed.VM, expected map[shed.PoolID]int, bytes map[shed.PoolID]int64) {
	for pool, n := range r.mesh.expected[from] {
		r.mesh.expectedSum[pool] -= n
		r.mesh.expectedBytesSum[pool] -= r.mesh.expectedBytes[from][pool]
	}
	for pool, n := range expected {
		r.mesh.expectedSum[pool] += n
		r.mesh.expectedBytesSum[pool] += bytes[pool]
	}
	r.mesh.expected[from], r.mesh.expectedBytes[from] = expected, bytes
}

// expectedPieces returns how many pieces all admitted requests known here will still request
// from a pool. The caller holds mu.
func (r *Relay) expectedPieces(pool shed.PoolID) int {
	return r.expected[pool] + r.mesh.expectedSum[pool]
}

// expectedResultBytes returns the size of the results of these pieces. The caller holds mu.
func (r *Relay) expectedResultBytes(pool shed.PoolID) int64 {
	return r.expectedBytes[pool] + r.mesh.expectedBytesSum[pool]
}
