// Package speed estimates how long work takes on each backend server, relative to the usual time,
// from what servers state with their answers, and decides which of these samples a VM shares with
// its peers. It does no I/O and reads no clock.
//
// Load pattern: engines of one pool take between 0.6 and 1.6 times the usual time, and readings are
// raised to 2.5 times that for some 600 ms now and then. Each VM sends a request to a given engine
// only every 40 s, so its own readings are too few and too old; those of the fleet are not.
package speed

import (
	"math"
	"time"

	shed "jasmineshed"
)

const (
	// shareInterval is how long no sample of a server may have been shared before one is shared
	// whatever it says.
	shareInterval = 10 * time.Second
	// maxDeviation is the relative difference from the estimate above which a sample is shared.
	maxDeviation = 0.2
	// fleetRate is how many samples a second all VMs share together: 1.8 KB/s received by each VM,
	// up to twice that as reports repeat them, independent of the size of the fleet.
	fleetRate = 50.0
	// logRatio is by how much an estimate changes before the change is returned.
	logRatio = 1.5
	// minSlowness and maxSlowness bound the estimate, so that a server that states implausible
	// figures gets neither all requests nor none.
	minSlowness, maxSlowness = 0.2, 10.0
)

// Table holds the samples that one VM knows. It is not safe for concurrent use.
type Table struct {
	servers map[shed.ServerID]*server
	// credit is the number of samples that this VM may share, as of creditAt.
	credit   float64
	creditAt time.Time
}

// Change is a change of a server's estimate that operators should see.
type Change struct {
	Start         shed.ServerStart
	Before, After float64
}

// New returns a Table without samples.
func New() *Table { return &Table{servers: map[shed.ServerID]*server{}, credit: 1} }

// Percent converts a work time relative to the usual one to the unit of shed.WorkTime.
func Percent(workTime float64) int { return max(int(math.Round(100*workTime)), 1) }

// All returns the estimates of all servers that have stated how long work takes.
func (t *Table) All(now time.Time) map[shed.ServerID]float64 {
	out := map[shed.ServerID]float64{}
	for id, st := range t.servers {
		if slowness := st.slowness(now); len(st.samples) > 0 {
			out[id] = slowness
		}
	}
	return out
}

// Empty reports whether no server has stated how long work takes.
func (t *Table) Empty() bool {
	for _, st := range t.servers {
		if len(st.samples) > 0 {
			return false
		}
	}
	return true
}

// Slowness returns how long work takes on a server, relative to the usual time; 1 if that isn't known.
func (t *Table) Slowness(now time.Time, start shed.ServerStart) float64 {
	st := t.servers[start.Server]
	if st == nil || st.startedMs != start.StartedMs {
		return 1
	}
	return st.slowness(now)
}

// Read records a sample that this VM read from an answer, and returns whether to share it with its
// peers. fleet is the number of VMs that share fleetRate.
func (t *Table) Read(now time.Time, fleet int, w shed.WorkTime) (share bool, changes []Change) {
	st := t.server(w.Start)
	before := st.slowness(now)
	if !st.add(now, w) {
		return false, nil
	}
	if st.worthSharing(now, before, w.Percent) && t.takeCredit(now, fleet) {
		st.sharedAt, share = now, true
	}
	return share, st.change(now, w.Start, nil)
}

// Receive records samples of peers. Those that were received before are ignored.
func (t *Table) Receive(now time.Time, samples []shed.WorkTime) (changes []Change) {
	for _, w := range samples {
		st := t.server(w.Start)
		if !st.add(now, w) {
			continue
		}
		st.sharedAt = shed.Later(st.sharedAt, now.Add(-max(w.Age, 0)))
		changes = st.change(now, w.Start, changes)
	}
	return changes
}

// Retain forgets the servers that are no longer listed.
func (t *Table) Retain(listed func(shed.ServerID) bool) {
	for id := range t.servers {
		if !listed(id) {
			delete(t.servers, id)
		}
	}
}

// server returns the samples of this start of a server; those of another start are forgotten.
func (t *Table) server(start shed.ServerStart) *server {
	st := t.servers[start.Server]
	if st == nil || st.startedMs != start.StartedMs {
		st = &server{startedMs: start.StartedMs, estimate: 1, reported: 1}
		t.servers[start.Server] = st
	}
	st.retention = t.retention()
	return st
}

// retention is the age up to which a sample counts: in a large fleet, the VMs together share the last samples
// of each server in that time.
func (t *Table) retention() time.Duration {
	return max(minRetention, time.Duration(float64(maxSamples*len(t.servers))/fleetRate*float64(time.Second)))
}

// takeCredit reports whether this VM may share one more sample.
func (t *Table) takeCredit(now time.Time, fleet int) bool {
	rate := fleetRate / float64(max(fleet, 1))
	elapsed := max(now.Sub(t.creditAt), 0)
	t.credit, t.creditAt = min(t.credit+elapsed.Seconds()*rate, max(rate, 1)), now
	if t.credit < 1 {
		return false
	}
	t.credit--
	return true
}
