package route

import (
	"math/rand/v2"
	"time"

	shed "jasmineshed"
)

// RoundRobin takes the candidates in turn, blind to load.
type RoundRobin struct{ next uint64 }

// Pick implements shed.Policy.
func (p *RoundRobin) Pick(_ time.Time, _ uint64, from []shed.Candidate) int {
	i := int(p.next % uint64(len(from)))
	p.next++
	return i
}

// LeastOutstanding takes the candidate with the fewest of this daemon's own
// calls; it doesn't see what other daemons send.
type LeastOutstanding struct{ next int }

// Pick implements shed.Policy. Ties go round, or else a daemon with little to
// do would send all of it to the first server.
func (p *LeastOutstanding) Pick(_ time.Time, _ uint64, from []shed.Candidate) int {
	p.next++
	best := p.next % len(from)
	for k := range from {
		i := (p.next + k) % len(from)
		if from[i].OwnCalls < from[best].OwnCalls {
			best = i
		}
	}
	return best
}

// TwoChoices draws two candidates and takes the one with less relative load.
type TwoChoices struct{ rng *rand.Rand }

// Pick implements shed.Policy.
func (p *TwoChoices) Pick(_ time.Time, _ uint64, from []shed.Candidate) int {
	a := p.rng.IntN(len(from))
	b := p.rng.IntN(len(from))
	if relativeLoad(&from[b]) < relativeLoad(&from[a]) {
		return b
	}
	return a
}
