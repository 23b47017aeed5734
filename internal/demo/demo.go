// Package demo runs a complete fleet with stand-ins in one process, sends one
// request through each pipeline, and prints the answers and their costs.
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
	"jasmineshed/internal/node"
	"jasmineshed/internal/quota"
	"jasmineshed/internal/stand"
	"jasmineshed/pkg/client"
)

// Config configures a demo.
type Config struct {
	Out io.Writer
	// Example names the rules file.
	Example string
	// LogTo receives the daemons' logs; nil discards them.
	LogTo io.Writer
	// Account accounts for what callers make the process hold, all its daemons together; nil gives each its own.
	Account *quota.Account
	// KeepRunning keeps the fleet running after the requests until ctx ends.
	KeepRunning bool
}

// maxTokens is the length of the generated answers.
const maxTokens = 24

// startTimeout bounds how long the fleet may take to become ready.
const startTimeout = 30 * time.Second

// ErrBadAnswer is returned if an answer is incomplete or wrong.
var ErrBadAnswer = errors.New("incomplete or wrong answer")

// Run runs the demo.
func Run(ctx context.Context, cfg Config) error {
	text, err := sample.Rules(cfg.Example)
	if err != nil {
		return err
	}
	f, err := fleet.Start(ctx, fleet.Config{
		Rules: text, LogTo: cfg.LogTo, TuneNode: func(n *node.Config) { n.Account = cfg.Account },
	})
	if err != nil {
		return err
	}
	defer f.Close()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.WaitReady(startCtx); err != nil {
		return err
	}
	s := &session{cfg: cfg, fleet: f}
	s.printSummary()
	if err := s.runAll(ctx); err != nil {
		return err
	}
	if cfg.KeepRunning {
		return s.waitUntilDone(ctx)
	}
	return nil
}

// session is one run of the demo.
type session struct {
	cfg   Config
	fleet *fleet.Fleet
	costs []stageCost
}

// stageCost is the cost of one stage of one request.
type stageCost struct {
	pipeline, stage string
	cost            client.Cost
}

func (s *session) printf(format string, args ...any) {
	// Requests must not fail because the terminal is closed.
	_, _ = fmt.Fprintf(s.cfg.Out, format, args...)
}

func (s *session) printSummary() {
	r := s.fleet.Rules
	s.printf("%s: %d zones, %d daemons, %d backend servers, %d pipelines\n\n",
		s.cfg.Example, len(r.Zones), len(s.fleet.Members()), len(r.Servers), len(r.Pipelines))
}

// runAll sends one request through each pipeline.
func (s *session) runAll(ctx context.Context) error {
	failed := 0
	for _, id := range sortedPipelines(s.fleet.Rules) {
		if err := s.runPipeline(ctx, s.fleet.Rules.Pipelines[id]); err != nil {
			s.printf("  failed: %v\n\n", err)
			failed++
		}
	}
	s.printCosts()
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

// allowedWorkspace returns the first workspace by name that may run the pipeline.
func allowedWorkspace(r *shed.Rules, id shed.PipelineID) (shed.WorkspaceID, bool) {
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

func (s *session) runPipeline(ctx context.Context, p *shed.Pipeline) error {
	ws, ok := allowedWorkspace(s.fleet.Rules, p.ID)
	if !ok {
		return errors.New("no workspace may run this pipeline")
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
	answer, err := s.send(ctx, c, p, work)
	if err != nil {
		return err
	}
	s.printAnswer(p, answer, time.Since(start))
	return checkAnswer(p, work, answer)
}

// send streams an idempotent pipeline and runs any other with a ticket.
func (s *session) send(ctx context.Context, c *client.Client, p *shed.Pipeline, work client.Request) (*client.Answer, error) {
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

func (s *session) printAnswer(p *shed.Pipeline, a *client.Answer, took time.Duration) {
	if !p.Idempotent() {
		s.printf("  %s\n  receipt %s\n", a.Payload.Text, a.Payload.Receipt)
	}
	for _, st := range a.Stages {
		s.printf("  %-10s %-22s %-14s %8.1f ms  attempts %d\n", st.Stage, st.Server, st.Zone, st.TookMs, st.Attempts)
		s.costs = append(s.costs, stageCost{pipeline: string(p.ID), stage: st.Stage, cost: st.Cost})
	}
	s.printf("  whole answer in %.1f ms, request %s\n\n", float64(took)/float64(time.Millisecond), a.RequestID)
}

// checkAnswer compares the answer with what the stand-ins must have returned.
func checkAnswer(p *shed.Pipeline, work client.Request, a *client.Answer) error {
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

func (s *session) printCosts() {
	s.printf("cost by stage, in millionths of a server-second\n")
	for _, l := range s.costs {
		s.printf("  %-12s %-10s useful %6d  wasted %6d\n", l.pipeline, l.stage, l.cost.Useful, l.cost.Wasted)
	}
}

// waitUntilDone prints how to reach the fleet and waits for ctx to end.
func (s *session) waitUntilDone(ctx context.Context) error {
	s.printf("\nThe fleet stays up until you press Ctrl-C.\n")
	for _, m := range s.fleet.Members() {
		s.printf("  zone %-14s callers %s  operators %s\n", m.Zone, m.CallerURL(), m.OperatorURL())
	}
	for _, id := range sortedPipelines(s.fleet.Rules) {
		ws, ok := allowedWorkspace(s.fleet.Rules, id)
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
