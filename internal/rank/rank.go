// Package rank assigns keys to VMs by rendezvous hashing: daemons that see the same
// VMs agree without communication, and a VM that joins or leaves moves only its own
// keys.
package rank

import (
	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
)

// Owner returns the highest-ranked VM for key, and false if there is no VM. The result
// doesn't depend on the order of vms.
func Owner(key string, vms []shed.VM) (shed.VM, bool) {
	if len(vms) == 0 {
		return "", false
	}
	h := xxhash.Sum64String(key)
	best, top := vms[0], score(h, vms[0])
	for _, vm := range vms[1:] {
		if s := score(h, vm); before(s, vm, top, best) {
			best, top = vm, s
		}
	}
	return best, true
}

// Owners returns the n highest-ranked VMs for key, highest first; fewer if there are
// fewer VMs.
func Owners(key string, vms []shed.VM, n int) []shed.VM {
	n = min(n, len(vms))
	if n <= 0 {
		return nil
	}
	h := xxhash.Sum64String(key)
	best := make([]shed.VM, 0, n)
	var last uint64
	for _, vm := range vms {
		s := score(h, vm)
		if len(best) == n && !before(s, vm, last, best[n-1]) {
			continue
		}
		best = insert(best, n, h, vm, s)
		last = score(h, best[len(best)-1])
	}
	return best
}

// insert adds vm at its rank and drops the last VM if there are more than n. Scores are
// recomputed instead of stored, so that the result is the only allocation.
func insert(best []shed.VM, n int, h uint64, vm shed.VM, s uint64) []shed.VM {
	at := len(best)
	for at > 0 && before(s, vm, score(h, best[at-1]), best[at-1]) {
		at--
	}
	if len(best) < n {
		best = append(best, vm)
	}
	copy(best[at+1:], best[at:])
	best[at] = vm
	return best
}

// before orders by score; equal scores are ordered by name, so that the result never
// depends on the order of the input.
func before(s uint64, vm shed.VM, other uint64, otherVM shed.VM) bool {
	if s != other {
		return s > other
	}
	return vm < otherVM
}

// score mixes the two hashes with the finalizer of SplitMix64: a plain XOR would rank
// the VMs alike for keys with similar hashes.
func score(key uint64, vm shed.VM) uint64 {
	x := mix(key, string(vm))
	return x ^ x>>31
}

// Uniform returns a number from 0 to below 1 for a key and a name, evenly distributed over both and the same on
// every VM.
func Uniform(key uint64, name string) float64 { return float64(mix(key, name)>>11) / (1 << 53) }

func mix(key uint64, name string) uint64 {
	x := key ^ xxhash.Sum64String(name)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return (x ^ x>>27) * 0x94d049bb133111eb
}
