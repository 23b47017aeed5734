// Package route holds the policies that choose a server for a stage call among
// those that have room: ours and the baselines that it is measured against.
package route

import (
	"errors"
	"fmt"
	"math/rand/v2"

	shed "jasmineshed"
)

// The names of the policies.
const (
	NameAffinity         = "affinity"
	NameRoundRobin       = "round_robin"
	NameLeastOutstanding = "least_outstanding"
	NameTwoChoices       = "two_choices"
)

// ErrUnknownPolicy is returned for a name that is none of the above.
var ErrUnknownPolicy = errors.New("unknown policy")

// NewPolicy returns the policy of that name with its default configuration. The
// seed should differ between daemons, so that they don't all choose alike.
func NewPolicy(name string, seed uint64) (shed.Policy, error) {
	switch name {
	case NameAffinity:
		return NewAffinity(AffinityConfig{Seed: seed}), nil
	case NameRoundRobin:
		return &RoundRobin{next: seed}, nil
	case NameLeastOutstanding:
		return &LeastOutstanding{}, nil
	case NameTwoChoices:
		return &TwoChoices{rng: newRand(seed)}, nil
	}
	return nil, fmt.Errorf("%w: %q", ErrUnknownPolicy, name)
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
}

// bears is how many calls the candidate carries at once as it is now.
func bears(c *shed.Candidate) float64 {
	if c.Cold {
		return float64(max(c.Server.ColdCapacity, 1))
	}
	return float64(max(c.Server.Capacity, 1))
}

// relative is the candidate's load once it has one call more, as a share of
// what it bears.
func relative(c *shed.Candidate) float64 {
	return float64(max(c.Running, c.OwnCalls)+1) / bears(c)
}
