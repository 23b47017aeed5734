// Package demo runs a whole fleet with stand-ins in one process, sends one
// request through each pipeline, and shows what happened.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	shed "jasmineshed"
	sample "jasmineshed/examples"
	"jasmineshed/internal/fleet"
	"jasmineshed/internal/stand"
	"jasmineshed/pkg/client"
)

// Config is what a demo needs.
type Config struct {
	Out io.Writer
	// Example names the rules file.
	Example string
	// LogTo takes the daemons' logs; nil for none.
	LogTo io.Writer
	// KeepRunning stays up after the requests, until ctx ends.
	KeepRunning bool
}

// maxTokens is the length of the generated answers.
const maxTokens = 24

// startFor bounds how long the fleet may take to be ready.
const startFor = 30 * time.Second

// ErrBadAnswer is returned if an answer was not whole.
var ErrBadAnswer = errors.New("an answer was not whole")

// Run runs the demo.
func Run(ctx context.Context, cfg Config) error {
	text, err := sample.Rules(cfg.Example)
	if err != nil {
		return err
	}
	f, err := fleet.Start(ctx, fleet.Config{Rules: text, LogTo: cfg.LogTo})
	if err != nil {
		return err
	}
	defer f.Close()
	wait, cancel := context.WithTimeout(ctx, startFor)
	defer cancel()
	if err := f.WaitReady(wait); err != nil {
		return err
	}
	s := &show{cfg: cfg, fleet: f}
	s.intro()
	if err := s.requests(ctx); err != nil {
		return err
	}
	if cfg.KeepRunning {
		return s.keep(ctx)
	}
	return nil
}

// show prints one demo.
type show struct {
	cfg   Config
	fleet *fleet.Fleet
	costs []costLine
}

// costLine is what one stage of one request cost.
type costLine struct {
	pipeline, stage string
	cost            client.Cost
}

func (s *show) printf(format string, args ...any) {
	// A terminal that is gone must not fail the requests.
	_, _ = fmt.Fprintf(s.cfg.Out, format, args...)
}

func (s *show) intro() {
	r := s.fleet.Rules
	s.printf("%s: %d zones, %d daemons, %d backend servers, %d pipelines\n\n",
		s.cfg.Example, len(r.Zones), len(s.fleet.Members()), len(r.Servers), len(r.Pipelines))
}

// requests runs one request for each pipeline.
func (s *show) requests(ctx context.Context) error {
	failed := 0
	for _, id := range sortedPipelines(s.fleet.Rules) {
		if err := s.request(ctx, s.fleet.Rules.Pipelines[id]); err != nil {
			s.printf("  failed: %v\n\n", err)
			failed++
		}
	}
	s.costTable()
	if failed > 0 {
		return fmt.Errorf("%w: %d of %d pipelines", ErrBadAnswer, failed, len(s.fleet.Rules.Pipelines))
	}
	return nil
}

func sortedPipelines(r *shed.Rules) []shed.PipelineID {
	var out []shed.PipelineID
	for id := range r.Pipelines {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// allowed is a workspace that may run the pipeline.
func allowed(r *shed.Rules, id shed.PipelineID) (shed.WorkspaceID, bool) {
	var names []string
	for ws, w := range r.Workspaces {
		if len(w.Pipelines) == 0 || slices.Contains(w.Pipelines, id) {
			names = append(names, string(ws))
		}
	}
	if len(names) == 0 {
		return "", false
	}
	sort.Strings(names)
	return shed.WorkspaceID(names[0]), true
}

func (s *show) request(ctx context.Context, p *shed.Pipeline) error {
	ws, ok := allowed(s.fleet.Rules, p.ID)
	if !ok {
		return errors.New("no workspace may run it")
	}
	c, err := client.New(client.Config{
		URLs: s.fleet.CallerURLs(), Workspace: string(ws), Token: sample.Token(string(ws)),
	})
	if err != nil {
		return err
	}
	s.printf("%s for workspace %s\n", p.ID, ws)
	work := client.Request{
		Pipeline:  string(p.ID),
		Input:     fmt.Sprintf("Please draft a %s for tomorrow.", p.ID),
		MaxTokens: maxTokens,
	}
	start := time.Now()
	answer, err := s.run(ctx, c, p, work)
	if err != nil {
		return err
	}
	s.answer(p, answer, time.Since(start))
	return whole(p, work, answer)
}

// run streams an idempotent pipeline and runs any other by a ticket.
func (s *show) run(ctx context.Context, c *client.Client, p *shed.Pipeline, work client.Request) (*client.Answer, error) {
	if !p.Idempotent() {
		return c.RunOnce(ctx, work)
	}
	s.printf("  ")
	answer, err := c.Stream(ctx, work, client.Events{
		Text: func(_, text string) { s.printf("%s", text) },
	})
	s.printf("\n")
	return answer, err
}

func (s *show) answer(p *shed.Pipeline, a *client.Answer, took time.Duration) {
	if !p.Idempotent() {
		s.printf("  %s\n  receipt %s\n", a.Payload.Text, a.Payload.Receipt)
	}
	for _, st := range a.Stages {
		s.printf("  %-10s %-22s %-14s %8.1f ms  attempts %d\n", st.Stage, st.Server, st.Zone, st.TookMs, st.Attempts)
		s.costs = append(s.costs, costLine{pipeline: string(p.ID), stage: st.Stage, cost: st.Cost})
	}
	s.printf("  whole answer in %.1f ms, request %s\n\n", float64(took)/float64(time.Millisecond), a.RequestID)
}

// whole checks the answer against what the stand-ins must have said.
func whole(p *shed.Pipeline, work client.Request, a *client.Answer) error {
	if a.Outcome != client.Complete {
		return fmt.Errorf("%w: outcome %s", ErrBadAnswer, a.Outcome)
	}
	for _, st := range p.Stages {
		switch {
		case st.Kind == shed.KindGenerate && a.Payload.Text != stand.FullText(work.Input, maxTokens):
			return fmt.Errorf("%w: text differs from what the engine generated", ErrBadAnswer)
		case st.Kind == shed.KindService && a.Payload.Receipt == "":
			return fmt.Errorf("%w: no receipt", ErrBadAnswer)
		}
	}
	return nil
}

func (s *show) costTable() {
	s.printf("cost by stage, in millionths of a server-second\n")
	for _, l := range s.costs {
		s.printf("  %-12s %-10s useful %6d  wasted %6d\n", l.pipeline, l.stage, l.cost.Useful, l.cost.Wasted)
	}
}

// keep prints how to reach the fleet and waits.
func (s *show) keep(ctx context.Context) error {
	s.printf("\nThe fleet stays up until you press Ctrl-C.\n")
	for _, m := range s.fleet.Members() {
		s.printf("  zone %-14s callers %s  operators %s\n", m.Zone, m.CallerURL(), m.OperatorURL())
	}
	for _, id := range sortedPipelines(s.fleet.Rules) {
		ws, ok := allowed(s.fleet.Rules, id)
		if !ok || !s.fleet.Rules.Pipelines[id].Idempotent() {
			continue
		}
		s.printf("\nTry:\n  curl -N -H 'X-Workspace: %s' -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \\\n"+
			"    -d '%s' %s/v1/pipelines/%s/stream\n", ws, sample.Token(string(ws)),
			`{"input":"A draft, please.","max_tokens":16}`, strings.TrimSuffix(s.fleet.CallerURLs()[0], "/"), id)
		break
	}
	<-ctx.Done()
	return nil
}
