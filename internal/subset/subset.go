// Package subset chooses the engines on which a prompt prefix is kept: a small subset of the pool, the
// same on each VM. It does no I/O and reads no clock.
//
// Load pattern: hundreds of VMs choose among the same engines by loads that are up to half a second
// old, and copying a prefix between engines takes only milliseconds. By load alone all of them send
// to the engine that was idle at the last report, which is overloaded until the next one, and each
// prefix ends up on most engines. With engines of uneven speed, all load goes to the fastest ones.
package subset

import (
	"math"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

const (
	// Size is the number of engines in a subset: enough to choose by load, and few enough that
	// copies of a prefix don't evict others.
	Size = 3
	// rankCost is the cost of each engine of the subset over the one before it, so that a prefix
	// that is rarely used stays on one engine.
	rankCost = 10 * time.Millisecond
	// outsideCost is the cost of an engine outside the subset. Beyond that much queueing on all
	// engines of the subset, as with a very popular prefix, the others are used too.
	outsideCost = 400 * time.Millisecond
)

// Engine is an engine that may be chosen.
type Engine struct {
	ID shed.ServerID
	// Slowness is how long work takes on it, relative to the usual time; above 0, and infinite if it can't
	// be chosen now.
	Slowness float64
}

// Subset is the subset of one prefix.
type Subset struct {
	// members are the positions of the engines, the first choice first; n is their number.
	members [Size]int
	n       int
}

// Choose returns the subset of a prefix, by weighted rendezvous hashing: VMs that know the same
// engines agree without messages, and an engine that joins or leaves changes only the subsets that it
// is in. engine returns the engine at a position below count.
func Choose(prefix uint64, count int, engine func(int) Engine) Subset {
	var s Subset
	var scores [Size]float64
	for i := range count {
		next := score(prefix, engine(i))
		at := s.n
		for at > 0 && next < scores[at-1] {
			at--
		}
		if at == Size {
			continue
		}
		s.n = min(s.n+1, Size)
		copy(scores[at+1:], scores[at:])
		copy(s.members[at+1:], s.members[at:])
		scores[at], s.members[at] = next, i
	}
	return s
}

// score ranks an engine for a prefix; the lowest is first. The scores are exponentially distributed
// with the engine's weight as rate, so the share of prefixes for which an engine is first is proportional to
// its weight, the square of its speed. By speed alone, the slow engines were late with long prompts at loads
// that the fast ones could have taken.
func score(prefix uint64, e Engine) float64 {
	// 2^-53 is the resolution: the logarithm of 0 has no value.
	uniform := rank.Uniform(prefix, string(e.ID)) + 0x1p-53
	return -math.Log(uniform) * e.Slowness * e.Slowness
}

// Cost is the cost of choosing the engine at a position instead of the first one of the subset. holds
// is set if the engine holds the whole prefix.
func (s *Subset) Cost(at int, holds bool) time.Duration {
	for rank, member := range s.members[:s.n] {
		if member == at {
			return time.Duration(rank) * rankCost
		}
	}
	if holds {
		return Size * rankCost
	}
	return outsideCost
}
