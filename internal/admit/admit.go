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
	DefaultHighQuantile      = 0.7
	DefaultLowQuantile       = 0.1
	DefaultMaxQueued         = 4096
	DefaultProbeInterval     = 500 * time.Millisecond
	DefaultEstimateRetention = 30 * time.Second
	DefaultMinRetry          = 100 * time.Millisecond
	DefaultMaxRetry          = 20 * time.Second
)

// Config sets up a Gate. Zero values take the defaults.
type Config struct {
	// HighQuantile is the quantile of recent stage times that admission counts on.
	HighQuantile float64
	// LowQuantile is the quantile below which no hope is left.
	LowQuantile float64
	// MaxQueued bounds the requests that wait in one queue.
	MaxQueued int
	// ProbeInterval lets one request per pipeline pass against the estimate, so
	// that an estimate which went wrong can mend.
	ProbeInterval time.Duration
	// EstimateRetention is how long estimates count without a new sample.
	EstimateRetention time.Duration
	// MinRetry and MaxRetry bound Verdict.RetryAfter.
	MinRetry, MaxRetry time.Duration
}

// StageKey names what times are estimated for. It holds no workspace, so the
// state grows with pipelines only.
type StageKey struct {
	Pipeline shed.PipelineID
	Stage    shed.StageID
}

// Request is the question whether a request may come in.
type Request struct {
	// Waiting is the request as it would wait; its Latest is void.
	Waiting
	Pipeline *shed.Pipeline
	Deadline time.Time
	// Queue is where the first stage would wait.
	Queue QueueKey
}

// Verdict answers an Ask.
type Verdict struct {
	Admitted   bool
	Reason     shed.Reason
	RetryAfter time.Duration
}

// Gate predicts and queues. It is not safe for concurrent use.
type Gate struct {
	cfg      Config
	sketches map[StageKey]*sketch
	// trials holds the time of the last trial per pipeline.
	trials map[shed.PipelineID]time.Time
	queues map[QueueKey]*queue
	// names are the keys of queues that ever held something, sorted.
	names []QueueKey
	// where finds the item of a waiting request; its size is the number queued.
	where map[shed.RequestID]*item
}

// New returns an open gate.
func New(cfg Config) *Gate {
	if cfg.HighQuantile == 0 {
		cfg.HighQuantile = DefaultHighQuantile
	}
	if cfg.LowQuantile == 0 {
		cfg.LowQuantile = DefaultLowQuantile
	}
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = DefaultMaxQueued
	}
	if cfg.ProbeInterval == 0 {
		cfg.ProbeInterval = DefaultProbeInterval
	}
	if cfg.EstimateRetention == 0 {
		cfg.EstimateRetention = DefaultEstimateRetention
	}
	if cfg.MinRetry == 0 {
		cfg.MinRetry = DefaultMinRetry
	}
	if cfg.MaxRetry == 0 {
		cfg.MaxRetry = DefaultMaxRetry
	}
	return &Gate{
		cfg:      cfg,
		sketches: map[StageKey]*sketch{},
		trials:   map[shed.PipelineID]time.Time{},
		queues:   map[QueueKey]*queue{},
		where:    map[shed.RequestID]*item{},
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
	for id := range g.trials {
		if rules.Pipelines[id] == nil {
			delete(g.trials, id)
		}
	}
	g.forgetQueues()
}

// Observe adds the time that one stage took, waiting not included.
func (g *Gate) Observe(now time.Time, key StageKey, took time.Duration) {
	s := g.sketches[key]
	if s == nil {
		s = &sketch{}
		g.sketches[key] = s
	}
	s.add(now, took, g.cfg.LowQuantile, g.cfg.HighQuantile)
}

// Admit decides whether the request can be done in time. A request that can't
// is refused at once: held, it would take the place of one that can.
func (g *Gate) Admit(now time.Time, ask Request) Verdict {
	left := ask.Deadline.Sub(now)
	if MinDuration(ask.Pipeline, 0) > left {
		return g.refuse(now, ask)
	}
	wait := g.waits(now, ask)
	if wait+g.PredictDuration(now, ask.Pipeline, 0) <= left {
		return Verdict{Admitted: true}
	}
	if g.trial(now, ask.Pipeline.ID) {
		return Verdict{Admitted: true}
	}
	return g.refuse(now, ask)
}

func (g *Gate) refuse(now time.Time, ask Request) Verdict {
	return Verdict{
		Reason:     shed.ReasonWontMeetDeadline,
		RetryAfter: g.RetryAfter(now, g.longestQueue(now, ask), ask.Waiting),
	}
}

// waits predicts the waiting at all stages. Most often a late one is the
// narrow place: looking at the first stage's queue alone, requests are let in,
// go through the cheap stages, and are given up on before the dear one.
func (g *Gate) waits(now time.Time, ask Request) time.Duration {
	sum := g.PredictWait(now, ask.Queue, ask.Waiting)
	for i := range ask.Pipeline.Stages {
		if key := StageQueue(&ask.Pipeline.Stages[i]); key != ask.Queue {
			sum += g.PredictWait(now, key, ask.Waiting)
		}
	}
	return sum
}

// longestQueue is the one that the request would wait in longest.
func (g *Gate) longestQueue(now time.Time, ask Request) QueueKey {
	longest, most := ask.Queue, g.PredictWait(now, ask.Queue, ask.Waiting)
	for i := range ask.Pipeline.Stages {
		key := StageQueue(&ask.Pipeline.Stages[i])
		if wait := g.PredictWait(now, key, ask.Waiting); wait > most {
			longest, most = key, wait
		}
	}
	return longest
}

// trial lets one request through per period. Without it a burst of slow stages
// could close the gate for good: nothing admitted, hence no new sample, hence
// still nothing admitted after the stages have mended.
func (g *Gate) trial(now time.Time, p shed.PipelineID) bool {
	if last, ok := g.trials[p]; ok && now.Sub(last) < g.cfg.ProbeInterval {
		return false
	}
	g.trials[p] = now
	return true
}

// MinDuration sums the least times that the rules give for the stages from one on.
func MinDuration(p *shed.Pipeline, from int) time.Duration {
	var sum time.Duration
	for i := from; i < len(p.Stages); i++ {
		sum += p.Stages[i].MinDuration
	}
	return sum
}

// PredictDuration is the time that the stages from one on will likely take.
func (g *Gate) PredictDuration(now time.Time, p *shed.Pipeline, from int) time.Duration {
	var sum time.Duration
	for i := from; i < len(p.Stages); i++ {
		sum += g.PredictStageDuration(now, p, i)
	}
	return sum
}

// PredictStageDuration is the time that one stage will likely take.
func (g *Gate) PredictStageDuration(now time.Time, p *shed.Pipeline, stage int) time.Duration {
	_, high := g.quantiles(now, p, stage)
	return max(p.Stages[stage].MinDuration, high)
}

// LowDuration is the time below which the stages from one on hardly ever end.
func (g *Gate) LowDuration(now time.Time, p *shed.Pipeline, from int) time.Duration {
	var sum time.Duration
	for i := from; i < len(p.Stages); i++ {
		low, _ := g.quantiles(now, p, i)
		sum += max(p.Stages[i].MinDuration, low)
	}
	return sum
}

func (g *Gate) quantiles(now time.Time, p *shed.Pipeline, i int) (low, high time.Duration) {
	s := g.sketches[StageKey{Pipeline: p.ID, Stage: p.Stages[i].ID}]
	if s == nil || now.Sub(s.last) > g.cfg.EstimateRetention {
		return 0, 0
	}
	return s.low, s.high
}

// RetryAfter is when a refused request should come back: once its turn would
// have come. The spread by the request's id keeps those refused together
// from coming back together.
func (g *Gate) RetryAfter(now time.Time, key QueueKey, w Waiting) time.Duration {
	base := max(min(g.PredictWait(now, key, w), g.cfg.MaxRetry/2), g.cfg.MinRetry)
	const steps = 1024
	share := time.Duration(xxhash.Sum64String(string(w.Request)) % steps)
	return base + base*share/steps
}
