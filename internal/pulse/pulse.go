// Package pulse decides which peers have fallen silent while calls to them are in flight. It does
// no I/O and reads no clock.
//
// Load pattern: an availability zone is partitioned off while many requests wait for pieces that
// a VM there coordinates. If each call waits for its own heartbeat timeout, all of them lose a
// second. What any connection receives shows that the VM is alive, so a silence on all of them is
// noticed sooner, for all calls at once.
package pulse

import (
	"maps"
	"slices"
	"time"

	shed "jasmineshed"
)

const (
	// maxSilence is the longest silence of a peer that has calls of this VM: two heartbeats, and a
	// margin for a packet that is sent again.
	maxSilence = 500 * time.Millisecond
	// maxTickGap is the longest time between two ticks of a VM that was not paused itself.
	maxTickGap = 250 * time.Millisecond
)

// Monitor is one VM's knowledge of its peers. It is not safe for concurrent use.
type Monitor struct {
	// heardAt is when each peer was last heard of, on any connection.
	heardAt map[shed.VM]time.Time
	// tickedAt is the last tick. resumedAt is when this VM was last found to have been paused:
	// what arrived meanwhile may not have been read yet.
	tickedAt, resumedAt time.Time
}

// New returns a Monitor that has heard of no peer.
func New() *Monitor { return &Monitor{heardAt: map[shed.VM]time.Time{}} }

// Heard records that something was received from a peer.
func (m *Monitor) Heard(now time.Time, vm shed.VM) { m.heardAt[vm] = now }

// Forget drops a peer that is dead.
func (m *Monitor) Forget(vm shed.VM) { delete(m.heardAt, vm) }

// FindSilent returns the silent peers, sorted. It is called at each tick; waitingSince is since
// when a call has been in flight at each peer, allowance how much longer a peer may be silent because this VM
// itself is late.
func (m *Monitor) FindSilent(now time.Time, waitingSince map[shed.VM]time.Time, allowance time.Duration) []shed.VM {
	if !m.tickedAt.IsZero() && now.Sub(m.tickedAt) > maxTickGap {
		m.resumedAt = now
	}
	m.tickedAt = now
	var out []shed.VM
	for _, vm := range slices.Sorted(maps.Keys(waitingSince)) {
		since := shed.Later(shed.Later(waitingSince[vm], m.heardAt[vm]), m.resumedAt)
		if now.Sub(since) >= maxSilence+allowance {
			out = append(out, vm)
		}
	}
	return out
}
