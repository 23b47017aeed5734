// Package route provides the policies that choose a server for a stage call among those with free
// capacity: Affinity and the baselines it is compared with.
package route

import (
	"errors"
	"fmt"
	"math/rand/v2"

	shed "jasmineshed"
)

// Names of the policies.
const (
	NameAffinity         = "affinity"
	NameRoundRobin       = "round_robin"
	NameLeastOutstanding = "least_outstanding"
	NameTwoChoices       = "two_choices"
)

// ErrUnknownPolicy is returned for a name that isn't the name of a policy.
var ErrUnknownPolicy = errors.New("unknown policy")

// NewPolicy returns the policy of that name with its default configuration. The seed should differ
// between daemons, so that they don't all make the same choices.
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

// capacity returns how many concurrent calls the candidate can handle in its present state.
func capacity(c *shed.Candidate) float64 {
	if c.Cold {
		return float64(max(c.Server.ColdCapacity, 1))
	}
	return float64(max(c.Server.Capacity, 1))
}

// relativeLoad returns the candidate's load with one more call, as a share of its capacity.
func relativeLoad(c *shed.Candidate) float64 {
	return float64(max(c.Running, c.OwnCalls)+1) / capacity(c)
}
