package relay

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/fanout"
)

// coordinator returns the VM that assembles batches for a pool, by rendezvous hashing over the
// available VMs. VMs that see different peers, as when a zone is partitioned, may choose two
// different coordinators; both then send calls, which the servers' short queues absorb. It
// returns false while this process is new and knows no peer.
func (r *Relay) coordinator(now time.Time, pool shed.PoolID) (shed.VM, bool) {
	return r.owner(now, string(pool))
}

// eligibleOwners returns the active high-capacity VMs that this one isn't backing off from. The
// slice is cached, and not modified. The caller holds mu.
func (r *Relay) eligibleOwners(now time.Time) []shed.VM {
	if r.mesh.owners == nil || now.Sub(r.mesh.ownersAt) > activeCacheTime {
		vms := slices.DeleteFunc(r.activeVMs(now), func(vm shed.VM) bool { return now.Before(r.mesh.backoffUntil[vm]) })
		if connected := slices.DeleteFunc(slices.Clone(vms), r.isIsolated); len(connected) > 0 {
			vms = connected
		}
		r.mesh.owners, r.mesh.ownersAt = r.highCapacityVMs(vms), now
	}
	return r.mesh.owners
}

// isIsolated reports whether a VM has no path to any server, as far as it is known. The caller holds
// mu.
func (r *Relay) isIsolated(vm shed.VM) bool {
	if vm == r.mesh.self.VM {
		return r.paths.isolated
	}
	return r.paths.carriers.isolated[vm]
}

// isReplaced reports whether this VM has no path to any server and others, which have one,
// coordinate in its place.
func (r *Relay) isReplaced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paths.isolated && !slices.Contains(r.eligibleOwners(time.Now()), r.mesh.self.VM)
}

// setBackoff sets until when a peer gets no work from this VM. The caller holds mu.
func (r *Relay) setBackoff(vm shed.VM, until time.Time) {
	r.mesh.backoffUntil[vm] = until
	r.mesh.owners = nil
}

// clearBackoff lets a peer get work again. The caller holds mu.
func (r *Relay) clearBackoff(vm shed.VM) {
	if _, ok := r.mesh.backoffUntil[vm]; ok {
		delete(r.mesh.backoffUntil, vm)
		r.mesh.owners = nil
	}
}

// highCapacityVMs returns the VMs that do work for all others: those with at least half the
// power of the most powerful one. Coordinating one pool of a large fleet fills a link of 10
// Mbit/s, which most VMs there have.
func (r *Relay) highCapacityVMs(vms []shed.VM) []shed.VM {
	power := make(map[shed.VM]float64, len(vms))
	most := 0.0
	for _, vm := range vms {
		m, _ := r.group.Lookup(vm)
		power[vm] = m.Power
		most = max(most, m.Power)
	}
	return slices.DeleteFunc(vms, func(vm shed.VM) bool { return power[vm] < most/2 })
}

// lastLoadAt returns when a VM last reported its load, or when it became known if that was
// later: a new process reports none until settleTime has passed.
func (r *Relay) lastLoadAt(vm shed.VM) time.Time {
	return shed.Later(r.mesh.lastLoad[vm], r.group.UpSince(vm))
}

// activeCacheTime is how long the list of active VMs is cached: each request asks for it
// several times, and computing it visits every VM.
const activeCacheTime = 20 * time.Millisecond

// activeVMs returns the VMs with recent load reports, including this one once it has settled.
// The caller owns the slice.
func (r *Relay) activeVMs(now time.Time) []shed.VM {
	if now.Sub(r.mesh.activeAt) > activeCacheTime {
		r.mesh.active, r.mesh.activeAt = r.findActiveVMs(now), now
	}
	return slices.Clone(r.mesh.active)
}

func (r *Relay) findActiveVMs(now time.Time) []shed.VM {
	vms := r.alivePeers()
	silence := maxMissedLoads * fanout.MaxSilence(len(vms))
	// Peers send no load reports to a stopping VM.
	stopping := r.stopping.Load()
	vms = slices.DeleteFunc(vms, func(vm shed.VM) bool {
		return !stopping && now.Sub(r.lastLoadAt(vm)) > silence
	})
	if now.Sub(r.mesh.startedAt) >= settleTime && (!stopping || len(vms) == 0) {
		vms = append(vms, r.mesh.self.VM)
	}
	return vms
}

// backOffPeer stops sending work to a VM that currently declines it.
func (r *Relay) backOffPeer(vm shed.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setBackoff(vm, time.Now().Add(peerBackoff))
}

// backOffUnresponsivePeers stops sending work to a VM that did not answer and to all other VMs
// whose load reports are overdue. Calls in flight to the latter are cancelled, so that their
// pieces go to another VM at once instead of each call timing out after a second.
func (r *Relay) backOffUnresponsivePeers(vm shed.VM) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setBackoff(vm, now.Add(peerBackoff))
	vms := r.alivePeers()
	fresh := time.Duration(freshLoadPeriods * float64(fanout.MaxSilence(len(vms))))
	for _, other := range vms {
		if now.Sub(r.lastLoadAt(other)) <= fresh {
			continue
		}
		r.setBackoff(other, now.Add(peerBackoff))
		r.cancelPieceCalls(other)
	}
}
