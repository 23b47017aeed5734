package gauge

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	shed "jasmineshed"
)

// topicsPerWorkspace is how many different prompt prefixes the users of a workspace share.
const topicsPerWorkspace = 8

// minSharedPrefix is the minimum length of a shared prompt prefix in bytes.
const minSharedPrefix = 320

// Arrival is one planned request.
type Arrival struct {
	Number    int
	At        time.Duration
	Workspace shed.WorkspaceID
	Pipeline  shed.PipelineID
	Input     string
}

// Arrivals plans all requests of a scenario: a Poisson process whose rate
// follows the bursts. The plan depends on the scenario alone.
func (s *Scenario) Arrivals() []Arrival {
	rng := rand.New(rand.NewPCG(s.Seed, 0x6a09e667f3bcc908))
	var plan []Arrival
	for at := s.nextGap(rng, 0); at < s.Duration; at += s.nextGap(rng, at) {
		plan = append(plan, s.newArrival(rng, len(plan), at))
	}
	return plan
}

func (s *Scenario) nextGap(rng *rand.Rand, at time.Duration) time.Duration {
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

func (s *Scenario) newArrival(rng *rand.Rand, n int, at time.Duration) Arrival {
	ws := pickWeighted(rng, s.Workspaces)
	pipeline := pickWeighted(rng, s.Pipelines)
	topic := rng.IntN(topicsPerWorkspace)
	return Arrival{
		Number:    n,
		At:        at,
		Workspace: shed.WorkspaceID(ws),
		Pipeline:  shed.PipelineID(pipeline),
		Input:     sharedInstructions(ws, topic) + fmt.Sprintf("This is request %d, for %s.", n, pipeline),
	}
}

// sharedInstructions returns the prefix that all prompts of one workspace on one topic
// share. It is longer than the prefix by which caches tell prompts apart.
func sharedInstructions(workspace string, topic int) string {
	line := fmt.Sprintf("Write for the readers of %s on topic %d, in short lines. ", workspace, topic)
	return strings.Repeat(line, minSharedPrefix/len(line)+1)
}

func pickWeighted(rng *rand.Rand, shares []Share) string {
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
