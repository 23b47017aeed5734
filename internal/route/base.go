package route

import (
	"math/rand/v2"
	"time"

	shed "jasmineshed"
)

// RoundRobin picks the candidates in turn, regardless of load.
type RoundRobin struct{ next uint64 }

// Pick implements shed.Policy.
func (p *RoundRobin) Pick(_ time.Time, _ uint64, from []shed.Candidate) int {
	i := int(p.next % uint64(len(from)))
	p.next++
	return i
}

// LeastOutstanding picks the candidate with the fewest calls of this daemon; it ignores those of
// other daemons.
type LeastOutstanding struct{ next int }

// Pick implements shed.Policy. It breaks ties in turn, or else a daemon with few calls would send
// all of them to the first server.
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

// TwoChoices samples two candidates and picks the one with the lower relative load.
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
