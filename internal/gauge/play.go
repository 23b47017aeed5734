package gauge

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	shed "jasmineshed"
	"jasmineshed/internal/stand"
	"jasmineshed/pkg/client"
)

// Fleet is a running fleet before stand-ins, with the platform's balancer.
type Fleet interface {
	// Rules that the fleet was started with.
	Rules() *shed.Rules
	// Call runs a request at the daemon that the balancer picks, with a ticket
	// if its pipeline may run only once, and calls text when some came.
	Call(ctx context.Context, a Arrival, tokens int, text func()) (*client.Answer, error)
	// ApplyEvent makes an event happen.
	ApplyEvent(ctx context.Context, ev Event) error
	// Servers are the stand-ins of backend servers.
	Servers() []Server
	// Platform is the stand-in of the platform.
	Platform() *stand.Platform
}

// Server is one stand-in of a backend server.
type Server struct {
	ID       shed.ServerID
	Zone     shed.ZoneID
	Supplier shed.SupplierID
	Record   *stand.Record
}

// Result is what a scenario gave.
type Result struct {
	Scenario Scenario
	Samples  []Sample
	// Lag is the most that an arrival was sent after its planned time; the
	// machine was too busy for the figures if it is large.
	Lag time.Duration
	// Events are the events with the times at which they happened.
	Events  []PerformedEvent
	Servers []Server
	Calls   stand.PlatformCalls
	// StartTime is the time of the start.
	StartTime time.Time
}

// PerformedEvent is an event that was done.
type PerformedEvent struct {
	Event
	// StartedAfter and Took say when it really happened, from the scenario's start.
	StartedAfter, Took time.Duration
}

// player plays one scenario.
type player struct {
	scenario Scenario
	fleet    Fleet
	began    time.Time

	// mu guards what follows.
	mu       sync.Mutex
	progress printer
	samples  []Sample
	counts   [verdicts]int
	lag      time.Duration
	done     []PerformedEvent
	running  atomic.Int64
}

// RunScenario runs the scenario against the fleet and writes a line of progress every
// second. It fails if ctx ends or an event can't be done.
func RunScenario(ctx context.Context, s Scenario, fleet Fleet, progress io.Writer) (*Result, error) {
	p := &player{scenario: s, fleet: fleet, progress: printer{w: progress}, began: time.Now()}
	group, ctx := errgroup.WithContext(ctx)
	over, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() error { return p.report(over) })
	group.Go(func() error { return p.events(ctx) })
	group.Go(func() error {
		defer stop()
		return p.arrivals(ctx)
	})
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return &Result{
		Scenario:  s,
		Samples:   p.samples,
		Lag:       p.lag,
		Events:    p.done,
		Servers:   fleet.Servers(),
		Calls:     fleet.Platform().Calls(),
		StartTime: p.began,
	}, nil
}

// arrivals sends every request at its time, whatever became of the others, and
// returns when all are answered.
func (p *player) arrivals(ctx context.Context) error {
	var calls errgroup.Group
	for _, a := range p.scenario.Arrivals() {
		if err := p.sleepUntil(ctx, a.At); err != nil {
			return err
		}
		p.running.Add(1)
		calls.Go(func() error {
			p.one(ctx, a)
			return nil
		})
	}
	return calls.Wait()
}

func (p *player) sleepUntil(ctx context.Context, at time.Duration) error {
	timer := time.NewTimer(at - time.Since(p.began))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// one runs one request and keeps what became of it.
func (p *player) one(ctx context.Context, a Arrival) {
	due := p.began.Add(a.At)
	lag := time.Since(due)
	pipeline := p.fleet.Rules().Pipelines[a.Pipeline]
	sample := Sample{Arrival: a}
	answer, err := p.fleet.Call(ctx, a, p.scenario.Tokens, func() {
		if sample.FirstText == 0 {
			sample.FirstText = time.Since(due)
		}
	})
	sample.Took = time.Since(due)
	sample.judge(pipeline, p.scenario.Tokens, answer, err)
	p.running.Add(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, sample)
	p.counts[sample.Verdict]++
	p.lag = max(p.lag, lag)
}

func (p *player) events(ctx context.Context) error {
	for _, ev := range p.scenario.Events {
		if err := p.sleepUntil(ctx, ev.At); err != nil {
			return err
		}
		began := time.Since(p.began)
		if err := p.fleet.ApplyEvent(ctx, ev); err != nil {
			return fmt.Errorf("event %s: %w", ev.Name, err)
		}
		p.mu.Lock()
		p.done = append(p.done, PerformedEvent{Event: ev, StartedAfter: began, Took: time.Since(p.began) - began})
		p.progress.printf("%6.1fs  %s: %s %s\n", began.Seconds(), ev.Name, ev.Kind, ev.Target)
		p.mu.Unlock()
	}
	return nil
}

func (p *player) report(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			p.line()
		}
	}
}

func (p *player) line() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.progress.printf("%6.1fs", time.Since(p.began).Seconds())
	for v := range verdicts {
		p.progress.printf("  %s %d", v, p.counts[v])
	}
	p.progress.printf("  running %d\n", p.running.Load())
}
