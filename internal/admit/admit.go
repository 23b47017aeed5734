// Package admit does admission control and queueing: it decides whether a request can still meet
// its deadline, and in which order queued requests are started.
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
	// HighQuantile is the quantile of recent stage times that admission relies on.
	HighQuantile float64
	// LowQuantile is the quantile of recent stage times below which a stage hardly ever ends.
	LowQuantile float64
	// MaxQueued limits the requests in one queue.
	MaxQueued int
	// ProbeInterval is the interval at which one request per pipeline is admitted against the
	// estimate, so that a wrong estimate can recover.
	ProbeInterval time.Duration
	// EstimateRetention is how long an estimate is used without a new sample.
	EstimateRetention time.Duration
	// MinRetry and MaxRetry bound Verdict.RetryAfter.
	MinRetry, MaxRetry time.Duration
}

// StageKey identifies an estimate. It has no workspace, so the state grows only with the number
// of pipelines.
type StageKey struct {
	Pipeline shed.PipelineID
	Stage    shed.StageID
}

// Request is a request to be admitted.
type Request struct {
	// Waiting is the request as it would be queued; its Latest is not used.
	Waiting
	Pipeline *shed.Pipeline
	Deadline time.Time
	// Queue is the queue of the first stage.
	Queue QueueKey
}

// Verdict is the decision on a Request.
type Verdict struct {
	Admitted   bool
	Reason     shed.Reason
	RetryAfter time.Duration
}

// Gate predicts stage times and waiting times, and queues requests. It is not safe for concurrent
// use.
type Gate struct {
	cfg      Config
	sketches map[StageKey]*sketch
	// lastProbes holds the time of the last probe per pipeline.
	lastProbes map[shed.PipelineID]time.Time
	queues     map[QueueKey]*queue
	// queueKeys are the sorted keys of queues, empty ones included.
	queueKeys []QueueKey
	// items holds all queued requests.
	items map[shed.RequestID]*item
}

// New returns a Gate without estimates or queued requests.
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
		cfg:        cfg,
		sketches:   map[StageKey]*sketch{},
		lastProbes: map[shed.PipelineID]time.Time{},
		queues:     map[QueueKey]*queue{},
		items:      map[shed.RequestID]*item{},
	}
}

// SetRules removes the estimates of stages that are not in the rules, and empty queues.
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

// Observe adds the run time of one stage, without its waiting time.
func (g *Gate) Observe(now time.Time, key StageKey, took time.Duration) {
	s := g.sketches[key]
	if s == nil {
		s = &sketch{}
		g.sketches[key] = s
	}
	s.add(now, took, g.cfg.LowQuantile, g.cfg.HighQuantile)
}

// Admit decides whether the request can meet its deadline. A request that can't is rejected at
// once: if queued, it would take the place of one that can.
func (g *Gate) Admit(now time.Time, req Request) Verdict {
	budget := req.Deadline.Sub(now)
	if MinDuration(req.Pipeline, 0) > budget {
		return g.reject(now, req)
	}
	wait := g.totalWait(now, req)
	if wait+g.PredictDuration(now, req.Pipeline, 0) <= budget {
		return Verdict{Admitted: true}
	}
	if g.allowProbe(now, req.Pipeline.ID) {
		return Verdict{Admitted: true}
	}
	return g.reject(now, req)
}

func (g *Gate) reject(now time.Time, req Request) Verdict {
	return Verdict{
		Reason:     shed.ReasonWontMeetDeadline,
		RetryAfter: g.RetryAfter(now, g.longestQueue(now, req), req.Waiting),
	}
}

// totalWait predicts the waiting time at all stages. The bottleneck is most often a late stage: if
// only the first stage's queue counted, requests would be admitted, run through the cheap stages
// and be abandoned before the expensive one.
func (g *Gate) totalWait(now time.Time, req Request) time.Duration {
	sum := g.PredictWait(now, req.Queue, req.Waiting)
	for i := range req.Pipeline.Stages {
		if key := StageQueue(&req.Pipeline.Stages[i]); key != req.Queue {
			sum += g.PredictWait(now, key, req.Waiting)
		}
	}
	return sum
}

// longestQueue returns the queue in which the request would wait longest.
func (g *Gate) longestQueue(now time.Time, req Request) QueueKey {
	longest, longestWait := req.Queue, g.PredictWait(now, req.Queue, req.Waiting)
	for i := range req.Pipeline.Stages {
		key := StageQueue(&req.Pipeline.Stages[i])
		if wait := g.PredictWait(now, key, req.Waiting); wait > longestWait {
			longest, longestWait = key, wait
		}
	}
	return longest
}

// allowProbe admits one request per interval. Without it, a burst of slow stages could reject all
// requests for good: without admitted requests there are no new samples, so nothing would be
// admitted even after the stages have recovered.
func (g *Gate) allowProbe(now time.Time, p shed.PipelineID) bool {
	if last, ok := g.lastProbes[p]; ok && now.Sub(last) < g.cfg.ProbeInterval {
		return false
	}
	g.lastProbes[p] = now
	return true
}

// MinDuration sums the minimum durations that the rules set for the stages starting at index from.
func MinDuration(p *shed.Pipeline, from int) time.Duration {
	var sum time.Duration
	for i := from; i < len(p.Stages); i++ {
		sum += p.Stages[i].MinDuration
	}
	return sum
}

// PredictDuration predicts the run time of the stages starting at index from.
func (g *Gate) PredictDuration(now time.Time, p *shed.Pipeline, from int) time.Duration {
	var sum time.Duration
	for i := from; i < len(p.Stages); i++ {
		sum += g.PredictStageDuration(now, p, i)
	}
	return sum
}

// PredictStageDuration predicts the run time of one stage.
func (g *Gate) PredictStageDuration(now time.Time, p *shed.Pipeline, stage int) time.Duration {
	_, high := g.quantiles(now, p, stage)
	return max(p.Stages[stage].MinDuration, high)
}

// LowDuration is the time below which the stages starting at index from hardly ever end.
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
	if s == nil || now.Sub(s.lastSample) > g.cfg.EstimateRetention {
		return 0, 0
	}
	return s.low, s.high
}

// RetryAfter is the delay after which a rejected request should be retried: its predicted waiting
// time. Jitter derived from the request id keeps requests that were rejected together from being
// retried together.
func (g *Gate) RetryAfter(now time.Time, key QueueKey, w Waiting) time.Duration {
	base := max(min(g.PredictWait(now, key, w), g.cfg.MaxRetry/2), g.cfg.MinRetry)
	const steps = 1024
	jitter := time.Duration(xxhash.Sum64String(string(w.Request)) % steps)
	return base + base*jitter/steps
}
