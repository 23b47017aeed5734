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

// Fleet is a running fleet of daemons in front of stand-ins, with the platform's load
// balancer.
type Fleet interface {
	// Rules returns the rules that the fleet was started with.
	Rules() *shed.Rules
	// Call runs a request at the daemon that the load balancer picks, with a ticket if its
	// pipeline is not idempotent. It calls text whenever text arrives.
	Call(ctx context.Context, a Arrival, tokens int, text func()) (*client.Answer, error)
	// ApplyEvent performs an event.
	ApplyEvent(ctx context.Context, ev Event) error
	// Servers returns the stand-ins of backend servers.
	Servers() []Server
	// Platform returns the stand-in of the platform.
	Platform() *stand.Platform
}

// Server is the stand-in of one backend server.
type Server struct {
	ID       shed.ServerID
	Zone     shed.ZoneID
	Supplier shed.SupplierID
	Record   *stand.Record
}

// Result is the outcome of a scenario.
type Result struct {
	Scenario Scenario
	Samples  []Sample
	// Lag is the largest delay of a request after its planned arrival. If it is large, the
	// machine was too busy and the results are not valid.
	Lag time.Duration
	// Events holds the events with the times at which they were performed.
	Events  []PerformedEvent
	Servers []Server
	Calls   stand.PlatformCalls
	// StartTime is when the scenario started.
	StartTime time.Time
}

// PerformedEvent is an event that was performed.
type PerformedEvent struct {
	Event
	// StartedAfter is the actual time from the scenario's start, Took the event's duration.
	StartedAfter, Took time.Duration
}

// player runs one scenario.
type player struct {
	scenario Scenario
	fleet    Fleet
	began    time.Time

	// mu guards the fields below.
	mu         sync.Mutex
	progress   printer
	samples    []Sample
	counts     [numVerdicts]int
	lag        time.Duration
	doneEvents []PerformedEvent
	running    atomic.Int64
}

// RunScenario runs the scenario against the fleet and writes a line of progress every
// second. It fails if ctx ends or an event can't be performed.
func RunScenario(ctx context.Context, s Scenario, fleet Fleet, progress io.Writer) (*Result, error) {
	p := &player{scenario: s, fleet: fleet, progress: printer{w: progress}, began: time.Now()}
	group, ctx := errgroup.WithContext(ctx)
	progressCtx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() error { return p.reportProgress(progressCtx) })
	group.Go(func() error { return p.runEvents(ctx) })
	group.Go(func() error {
		defer stop()
		return p.sendArrivals(ctx)
	})
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return &Result{
		Scenario:  s,
		Samples:   p.samples,
		Lag:       p.lag,
		Events:    p.doneEvents,
		Servers:   fleet.Servers(),
		Calls:     fleet.Platform().Calls(),
		StartTime: p.began,
	}, nil
}

// sendArrivals sends every request at its planned time, regardless of the others, and
// returns when all calls have ended.
func (p *player) sendArrivals(ctx context.Context) error {
	var calls errgroup.Group
	for _, a := range p.scenario.Arrivals() {
		if err := p.sleepUntil(ctx, a.At); err != nil {
			return err
		}
		p.running.Add(1)
		calls.Go(func() error {
			p.runRequest(ctx, a)
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

// runRequest sends one request and records its sample.
func (p *player) runRequest(ctx context.Context, a Arrival) {
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

func (p *player) runEvents(ctx context.Context) error {
	for _, ev := range p.scenario.Events {
		if err := p.sleepUntil(ctx, ev.At); err != nil {
			return err
		}
		began := time.Since(p.began)
		if err := p.fleet.ApplyEvent(ctx, ev); err != nil {
			return fmt.Errorf("event %s: %w", ev.Name, err)
		}
		p.mu.Lock()
		p.doneEvents = append(p.doneEvents, PerformedEvent{Event: ev, StartedAfter: began, Took: time.Since(p.began) - began})
		p.progress.printf("%6.1fs  %s: %s %s\n", began.Seconds(), ev.Name, ev.Kind, ev.Target)
		p.mu.Unlock()
	}
	return nil
}

func (p *player) reportProgress(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			p.printProgress()
		}
	}
}

func (p *player) printProgress() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.progress.printf("%6.1fs", time.Since(p.began).Seconds())
	for v := range numVerdicts {
		p.progress.printf("  %s %d", v, p.counts[v])
	}
	p.progress.printf("  running %d\n", p.running.Load())
}
