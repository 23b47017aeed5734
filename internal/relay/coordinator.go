package relay

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/fanout"
)

// coordinator is the VM that gathers the pieces for a pool, by rendezvous among the
// live VMs. Two VMs that see different peers, as when a zone is cut off, may
// name two; both then send calls, which the servers' short queues bear. It is
// false as long as this process is new and knows no peer.
func (r *Relay) coordinator(now time.Time, pool shed.PoolID) (shed.VM, bool) {
	return r.owner(now, string(pool))
}

// availableVMs are the VMs that are there and take work for others. The slice is the caller's.
func (r *Relay) availableVMs(now time.Time) []shed.VM {
	return slices.DeleteFunc(r.activeVMs(now), func(vm shed.VM) bool { return now.Before(r.mesh.backoffUntil[vm]) })
}

// highCapacityVMs are the VMs that do work for all others: those with at least half the
// power of the strongest. What is gathered for one pool of a large fleet fills a
// link of 10 Mbit/s, which most VMs there have.
func (r *Relay) highCapacityVMs(vms []shed.VM) []shed.VM {
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

// lastLoadAt is when a VM last told its load, or became known if that was later: a
// new process tells none before it has settled.
func (r *Relay) lastLoadAt(vm shed.VM) time.Time {
	return shed.Later(r.mesh.lastLoad[vm], r.group.Since(vm))
}

// presentFor is how long the VMs that are there are remembered: each request asks
// several times, and the answer costs a look at every VM.
const activeCacheTime = 20 * time.Millisecond

// activeVMs are the VMs that are there by their load messages, this one among
// them once it has settled. The slice is the caller's.
func (r *Relay) activeVMs(now time.Time) []shed.VM {
	if now.Sub(r.mesh.activeAt) > activeCacheTime {
		r.mesh.active, r.mesh.activeAt = r.findActiveVMs(now), now
	}
	return slices.Clone(r.mesh.active)
}

func (r *Relay) findActiveVMs(now time.Time) []shed.VM {
	vms := r.alivePeers()
	silence := maxMissedLoads * fanout.Silence(len(vms))
	// A VM that stops is told no load any more.
	stopping := r.stopping.Load()
	vms = slices.DeleteFunc(vms, func(vm shed.VM) bool {
		return !stopping && now.Sub(r.lastLoadAt(vm)) > silence
	})
	if now.Sub(r.mesh.startedAt) >= settleTime && (!stopping || len(vms) == 0) {
		vms = append(vms, r.mesh.self.VM)
	}
	return vms
}

// backOffPeer keeps pieces from a VM that doesn't gather just now.
func (r *Relay) backOffPeer(vm shed.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mesh.backoffUntil[vm] = time.Now().Add(peerBackoff)
}

// backOffSilentPeers keeps pieces from a VM that gave no answer, and from all others that
// are silent too. Calls under way there are ended, so that their pieces are asked
// of another VM now, not each after a second of its own.
func (r *Relay) backOffSilentPeers(vm shed.VM) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mesh.backoffUntil[vm] = now.Add(peerBackoff)
	vms := r.alivePeers()
	fresh := time.Duration(freshLoadPeriods * float64(fanout.Silence(len(vms))))
	for _, other := range vms {
		if now.Sub(r.lastLoadAt(other)) <= fresh {
			continue
		}
		r.mesh.backoffUntil[other] = now.Add(peerBackoff)
		for _, cancel := range r.mesh.pieceCalls[other] {
			cancel()
		}
	}
}
