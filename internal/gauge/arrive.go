package gauge

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	shed "jasmineshed"
)

// topics is how many beginnings of prompts each workspace's users share.
const topics = 8

// sharedPrefix is the least length of instructions in bytes.
const sharedPrefix = 320

// Arrival is one planned request.
type Arrival struct {
	Number    int
	At        time.Duration
	Workspace shed.WorkspaceID
	Pipeline  shed.PipelineID
	Input     string
}

// Arrivals plans all requests of a scenario: a Poisson process whose rate
// follows the bursts. The same scenario gives the same plan.
func (s *Scenario) Arrivals() []Arrival {
	rng := rand.New(rand.NewPCG(s.Seed, 0x6a09e667f3bcc908))
	var plan []Arrival
	for at := s.gap(rng, 0); at < s.Duration; at += s.gap(rng, at) {
		plan = append(plan, s.arrival(rng, len(plan), at))
	}
	return plan
}

func (s *Scenario) gap(rng *rand.Rand, at time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() / s.rateAt(at) * float64(time.Second))
}

func (s *Scenario) rateAt(at time.Duration) float64 {
	rate := s.Rate
	for _, b := range s.Bursts {
		if at >= b.At && at < b.At+b.Duration {
			rate *= b.Factor
		}
	}
	return rate
}

func (s *Scenario) arrival(rng *rand.Rand, n int, at time.Duration) Arrival {
	ws := pick(rng, s.Workspaces)
	pipeline := pick(rng, s.Pipelines)
	topic := rng.IntN(topics)
	return Arrival{
		Number:    n,
		At:        at,
		Workspace: shed.WorkspaceID(ws),
		Pipeline:  shed.PipelineID(pipeline),
		Input:     instructions(ws, topic) + fmt.Sprintf("This is request %d, for %s.", n, pipeline),
	}
}

// instructions are the beginning that prompts of one workspace on one topic
// share; longer than what caches tell apart.
func instructions(workspace string, topic int) string {
	line := fmt.Sprintf("Write for the readers of %s on topic %d, in short lines. ", workspace, topic)
	return strings.Repeat(line, sharedPrefix/len(line)+1)
}

func pick(rng *rand.Rand, shares []Share) string {
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}
	at := rng.Float64() * sum
	for _, s := range shares {
		if at -= s.Weight; at < 0 {
			return s.Name
		}
	}
	return shares[len(shares)-1].Name
}
