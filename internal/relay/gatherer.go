package relay

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/fanout"
)

// gatherer is the VM that gathers the pieces for a pool, by rendezvous among the
// live VMs. Two VMs that see different peers, as when a zone is cut off, may
// name two; both then send calls, which the servers' short queues bear. It is
// false as long as this process is new and knows no peer.
func (r *Relay) gatherer(now time.Time, pool shed.PoolID) (shed.VM, bool) {
	return r.owner(now, string(pool))
}

// willing are the VMs that are there and take work for others. The slice is the caller's.
func (r *Relay) willing(now time.Time) []shed.VM {
	return slices.DeleteFunc(r.present(now), func(vm shed.VM) bool { return now.Before(r.mesh.shunned[vm]) })
}

// strong are the VMs that do work for all others: those with at least half the
// power of the strongest. What is gathered for one pool of a large fleet fills a
// link of 10 Mbit/s, which most VMs there have.
func (r *Relay) strong(vms []shed.VM) []shed.VM {
	power := func(vm shed.VM) float64 {
		m, _ := r.group.Lookup(vm)
		return m.Power
	}
	most := 0.0
	for _, vm := range vms {
		most = max(most, power(vm))
	}
	return slices.DeleteFunc(vms, func(vm shed.VM) bool { return power(vm) < most/2 })
}

// heard is when a VM last told its load, or became known if that was later: a
// new process tells none before it has settled.
func (r *Relay) heard(vm shed.VM) time.Time {
	return shed.Later(r.mesh.heard[vm], r.group.UpSince(vm))
}

// presentFor is how long the VMs that are there are remembered: each request asks
// several times, and the answer costs a look at every VM.
const presentFor = 20 * time.Millisecond

// present are the VMs that are there by their load messages, this one among
// them once it has settled. The slice is the caller's.
func (r *Relay) present(now time.Time) []shed.VM {
	if now.Sub(r.mesh.presentAt) > presentFor {
		r.mesh.present, r.mesh.presentAt = r.lookAround(now), now
	}
	return slices.Clone(r.mesh.present)
}

func (r *Relay) lookAround(now time.Time) []shed.VM {
	vms := r.alive()
	silence := loadMissed * fanout.MaxSilence(len(vms))
	// A VM that stops is told no load any more.
	stopping := r.stopping.Load()
	vms = slices.DeleteFunc(vms, func(vm shed.VM) bool {
		return !stopping && now.Sub(r.heard(vm)) > silence
	})
	if now.Sub(r.mesh.started) >= settleFor && (!stopping || len(vms) == 0) {
		vms = append(vms, r.mesh.self.VM)
	}
	return vms
}

// shunPeer keeps pieces from a VM that doesn't gather just now.
func (r *Relay) shunPeer(vm shed.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mesh.shunned[vm] = time.Now().Add(shunPeerFor)
}

// shunSilent keeps pieces from a VM that gave no answer, and from all others that
// are silent too. Calls under way there are ended, so that their pieces are asked
// of another VM now, not each after a second of its own.
func (r *Relay) shunSilent(vm shed.VM) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mesh.shunned[vm] = now.Add(shunPeerFor)
	vms := r.alive()
	fresh := time.Duration(freshMissed * float64(fanout.MaxSilence(len(vms))))
	for _, other := range vms {
		if now.Sub(r.heard(other)) <= fresh {
			continue
		}
		r.mesh.shunned[other] = now.Add(shunPeerFor)
		for _, cancel := range r.mesh.asks[other] {
			cancel()
		}
	}
}
