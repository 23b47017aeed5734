package pulse_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/pulse"
)

const (
	tick      = 100 * time.Millisecond
	heartbeat = 200 * time.Millisecond
	// heartbeatTimeout is after which a single call gives up.
	heartbeatTimeout = time.Second
)

var start = time.Unix(1_700_000_000, 0)

// replay runs a VM with calls in flight at two peers for two seconds, from a tick after start on.
// heard reports whether a heartbeat of the peer arrives then. It returns when each peer was
// found to be silent.
func replay(ticks func(at time.Duration) bool, heard func(vm shed.VM, at time.Duration) bool) map[shed.VM]time.Duration {
	m, found := pulse.New(), map[shed.VM]time.Duration{}
	waiting := map[shed.VM]time.Time{"a": start, "b": start}
	for at := tick; at <= 2*time.Second; at += tick {
		for vm := range waiting {
			if at%heartbeat == 0 && heard(vm, at) {
				m.Heard(start.Add(at), vm)
			}
		}
		if !ticks(at) {
			continue
		}
		for _, vm := range m.FindSilent(start.Add(at), waiting, 0) {
			if _, ok := found[vm]; !ok {
				found[vm] = at
			}
		}
	}
	return found
}

func always(time.Duration) bool { return true }

// A zone is partitioned off at 1 s: the peer there must be found well before each of the calls
// times out by itself, the other one never.
func TestPeerBehindAPartition(t *testing.T) {
	const cut = time.Second
	found := replay(always, func(vm shed.VM, at time.Duration) bool { return vm == "a" || at <= cut })
	require.Len(t, found, 1)
	require.Less(t, found["b"]-cut, heartbeatTimeout*6/10)
}

// Single heartbeats are lost or late.
func TestLostHeartbeat(t *testing.T) {
	require.Empty(t, replay(always, func(_ shed.VM, at time.Duration) bool { return at%(3*heartbeat) != 0 }))
}

// This VM is paused for a second. What its peers sent is read only after the first tick.
func TestPausedVMBlamesNobody(t *testing.T) {
	paused := func(at time.Duration) bool { return at >= 400*time.Millisecond && at < 1400*time.Millisecond }
	found := replay(func(at time.Duration) bool { return !paused(at) },
		func(_ shed.VM, at time.Duration) bool { return !paused(at) && at != 1400*time.Millisecond })
	require.Empty(t, found)
}

// A peer that was last heard of long ago gets a call: it has its time to answer.
func TestNewCall(t *testing.T) {
	m := pulse.New()
	m.Heard(start, "a")
	now := start.Add(time.Minute)
	require.Empty(t, m.FindSilent(now, map[shed.VM]time.Time{"a": now.Add(-tick)}, 0))
	m.Forget("a")
	require.Empty(t, m.FindSilent(now.Add(tick), nil, 0))
}

// Guards against a VM that takes its own delay for the silence of all its peers.
func TestLateVMBlamesNobody(t *testing.T) {
	const silent = 800 * time.Millisecond
	for allowance, want := range map[time.Duration]int{0: 2, 200 * time.Millisecond: 2, 400 * time.Millisecond: 0} {
		m := pulse.New()
		waiting := map[shed.VM]time.Time{"a": start, "b": start}
		var found []shed.VM
		for at := tick; at <= silent; at += tick {
			found = m.FindSilent(start.Add(at), waiting, allowance)
		}
		require.Len(t, found, want, allowance)
	}
}
