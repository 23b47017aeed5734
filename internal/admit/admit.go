// Package admit decides whether a request can still meet its deadline, and in
// which order waiting requests get their turn.
package admit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
)

// Defaults for a zero Config.
const (
	DefaultHigh       = 0.7
	DefaultLow        = 0.1
	DefaultMostQueued = 4096
	DefaultTrialEvery = 500 * time.Millisecond
	DefaultMemory     = 30 * time.Second
	DefaultMinRetry   = 100 * time.Millisecond
	DefaultMaxRetry   = 20 * time.Second
)

// Config sets up a Gate. Zero values take the defaults.
type Config struct {
	// High is the quantile of recent stage times that admission counts on.
	High float64
	// Low is the quantile below which no hope is left.
	Low float64
	// MostQueued bounds the requests that wait in one queue.
	MostQueued int
	// TrialEvery lets one request per pipeline pass against the estimate, so
	// that an estimate which went wrong can mend.
	TrialEvery time.Duration
	// Memory is how long estimates count without a new sample.
	Memory time.Duration
	// MinRetry and MaxRetry bound Verdict.RetryAfter.
	MinRetry, MaxRetry time.Duration
}

// StageKey names what times are estimated for. It holds no workspace, so the
// state grows with pipelines only.
type StageKey struct {
	Pipeline shed.PipelineID
	Stage    shed.StageID
}

// Ask is the question whether a request may come in.
type Ask struct {
	// Waiting is the request as it would wait; its Latest is void.
	Waiting
	Pipeline *shed.Pipeline
	Deadline time.Time
	// Queue is where the first stage would wait.
	Queue QueueKey
}

// Verdict answers an Ask.
type Verdict struct {
	OK         bool
	Reason     shed.Reason
	RetryAfter time.Duration
}

// Gate predicts and queues. It is not safe for concurrent use.
type Gate struct {
	cfg      Config
	sketches map[StageKey]*sketch
	// lastProbes holds the time of the last trial per pipeline.
	lastProbes map[shed.PipelineID]time.Time
	queues     map[QueueKey]*queue
	// queueKeys are the keys of queues that ever held something, sorted.
	queueKeys []QueueKey
	// items finds the item of a waiting request; its size is the number queued.
	items map[shed.RequestID]*item
}

// New returns an open gate.
func New(cfg Config) *Gate {
	if cfg.High == 0 {
		cfg.High = DefaultHigh
	}
	if cfg.Low == 0 {
		cfg.Low = DefaultLow
	}
	if cfg.MostQueued == 0 {
		cfg.MostQueued = DefaultMostQueued
	}
	if cfg.TrialEvery == 0 {
		cfg.TrialEvery = DefaultTrialEvery
	}
	if cfg.Memory == 0 {
		cfg.Memory = DefaultMemory
	}
	if cfg.MinRetry == 0 {
		cfg.MinRetry = DefaultMinRetry
	}
	if cfg.MaxRetry == 0 {
		cfg.MaxRetry = DefaultMaxRetry
	}
	return &Gate{
		cfg:        cfg,
		sketches:   map[StageKey]*sketch{},
		lastProbes: map[shed.PipelineID]time.Time{},
		queues:     map[QueueKey]*queue{},
		items:      map[shed.RequestID]*item{},
	}
}

// SetRules forgets the estimates of stages that the rules no longer have.
func (g *Gate) SetRules(rules *shed.Rules) {
	kept := map[StageKey]*sketch{}
	for id, p := range rules.Pipelines {
		for i := range p.Stages {
			key := StageKey{Pipeline: id, Stage: p.Stages[i].ID}
			if s := g.sketches[key]; s != nil {
				kept[key] = s
			}
		}
	}
	g.sketches = kept
	for id := range g.lastProbes {
		if rules.Pipelines[id] == nil {
			delete(g.lastProbes, id)
		}
	}
	g.removeEmptyQueues()
}

// Observe adds the time that one stage took, waiting not included.
func (g *Gate) Observe(now time.Time, key StageKey, took time.Duration) {
	s := g.sketches[key]
	if s == nil {
		s = &sketch{}
		g.sketches[key] = s
	}
	s.add(now, took, g.cfg.Low, g.cfg.High)
}

// Admit decides whether the request can be done in time. A request that can't
// is refused at once: held, it would take the place of one that can.
func (g *Gate) Admit(now time.Time, ask Ask) Verdict {
	budget := ask.Deadline.Sub(now)
	if Minimum(ask.Pipeline, 0) > budget {
		return g.reject(now, ask)
	}
	wait := g.totalWait(now, ask)
	if wait+g.Expected(now, ask.Pipeline, 0) <= budget {
		return Verdict{OK: true}
	}
	if g.allowProbe(now, ask.Pipeline.ID) {
		return Verdict{OK: true}
	}
	return g.reject(now, ask)
}

func (g *Gate) reject(now time.Time, ask Ask) Verdict {
	return Verdict{
		Reason:     shed.ReasonWontMeetDeadline,
		RetryAfter: g.RetryAfter(now, g.longestQueue(now, ask), ask.Waiting),
	}
}

// totalWait predicts the waiting at all stages. Most often a late one is the
// narrow place: looking at the first stage's queue alone, requests are let in,
// go through the cheap stages, and are given up on before the dear one.
func (g *Gate) totalWait(now time.Time, ask Ask) time.Duration {
	sum := g.Wait(now, ask.Queue, ask.Waiting)
	for i := range ask.Pipeline.Stages {
		if key := KeyOf(&ask.Pipeline.Stages[i]); key != ask.Queue {
			sum += g.Wait(now, key, ask.Waiting)
		}
	}
	return sum
}

// longestQueue is the one that the request would wait in longest.
func (g *Gate) longestQueue(now time.Time, ask Ask) QueueKey {
	longest, longestWait := ask.Queue, g.Wait(now, ask.Queue, ask.Waiting)
	for i := range ask.Pipeline.Stages {
		key := KeyOf(&ask.Pipeline.Stages[i])
		if wait := g.Wait(now, key, ask.Waiting); wait > longestWait {
			longest, longestWait = key, wait
		}
	}
	return longest
}

// allowProbe lets one request through per period. Without it a burst of slow stages
// could close the gate for good: nothing admitted, hence no new sample, hence
// still nothing admitted after the stages have mended.
func (g *Gate) allowProbe(now time.Time, p shed.PipelineID) bool {
	if last, ok := g.lastProbes[p]; ok && now.Sub(last) < g.cfg.TrialEvery {
		return false
	}
	g.lastProbes[p] = now
	return true
}

// Minimum sums the least times that the rules give for the stages from one on.
func Minimum(p *shed.Pipeline, from int) time.Duration {
	var sum time.Duration
	for i := from; i < len(p.Stages); i++ {
		sum += p.Stages[i].MinDuration
	}
	return sum
}

// Expected is the time that the stages from one on will likely take.
func (g *Gate) Expected(now time.Time, p *shed.Pipeline, from int) time.Duration {
	var sum time.Duration
	for i := from; i < len(p.Stages); i++ {
		sum += g.Likely(now, p, i)
	}
	return sum
}

// Likely is the time that one stage will likely take.
func (g *Gate) Likely(now time.Time, p *shed.Pipeline, stage int) time.Duration {
	_, high := g.quantiles(now, p, stage)
	return max(p.Stages[stage].MinDuration, high)
}

// Least is the time below which the stages from one on hardly ever end.
func (g *Gate) Least(now time.Time, p *shed.Pipeline, from int) time.Duration {
	var sum time.Duration
	for i := from; i < len(p.Stages); i++ {
		low, _ := g.quantiles(now, p, i)
		sum += max(p.Stages[i].MinDuration, low)
	}
	return sum
}

func (g *Gate) quantiles(now time.Time, p *shed.Pipeline, i int) (low, high time.Duration) {
	s := g.sketches[StageKey{Pipeline: p.ID, Stage: p.Stages[i].ID}]
	if s == nil || now.Sub(s.lastSample) > g.cfg.Memory {
		return 0, 0
	}
	return s.low, s.high
}

// RetryAfter is when a refused request should come back: once its turn would
// have come. The spread by the request's id keeps those refused together
// from coming back together.
func (g *Gate) RetryAfter(now time.Time, key QueueKey, w Waiting) time.Duration {
	base := max(min(g.Wait(now, key, w), g.cfg.MaxRetry/2), g.cfg.MinRetry)
	const steps = 1024
	jitter := time.Duration(xxhash.Sum64String(string(w.Request)) % steps)
	return base + base*jitter/steps
}
