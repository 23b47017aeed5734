package cmds

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"jasmineshed/pkg/client"
)

// progress shows what goes on with a request: the answer on Out, all else on
// Err, so that a pipe gets the answer alone.
type progress struct {
	deps  *Deps
	quiet bool
	start time.Time
	// shown is what stands on the terminal of the text of stage writing.
	shown   strings.Builder
	writing string
}

func newProgress(d *Deps, quiet bool) *progress {
	return &progress{deps: d, quiet: quiet, start: d.Now()}
}

// events streams text only to a person: a pipe could not take a text back when
// its stage starts again.
func (p *progress) events() client.Events {
	if p.quiet {
		return client.Events{}
	}
	e := client.Events{Stage: p.stage}
	if p.deps.Terminal {
		e.Text = p.text
		e.Reset = p.reset
	}
	return e
}

func (p *progress) text(stage, text string) {
	if stage != p.writing {
		p.newLine()
		p.shown.Reset()
		p.writing = stage
	}
	p.shown.WriteString(text)
	p.print(text)
}

func (p *progress) reset(stage string) {
	p.newLine()
	p.shown.Reset()
	p.note("%s starts again; forget its text so far", stage)
}

func (p *progress) stage(s client.StageReport) {
	p.newLine()
	p.note("%6.3f s  %s done on %s%s, %d tokens, attempt %d",
		p.deps.Now().Sub(p.start).Seconds(), s.Stage, s.Server, after(" in ", s.Zone), s.Tokens, s.Attempts)
}

// newLine ends a line of text on the terminal.
func (p *progress) newLine() {
	if text := p.shown.String(); text != "" && !strings.HasSuffix(text, "\n") {
		p.shown.WriteString("\n")
		p.print("\n")
	}
}

func (p *progress) answer(a *client.Answer) error {
	p.newLine()
	whole := a.Payload.Text
	if strings.TrimSpace(p.shown.String()) != strings.TrimSpace(whole) {
		p.print(whole + "\n")
	}
	for _, q := range a.Payload.Passages {
		p.note("passage %s (%.3f): %s", q.ID, q.Score, q.Text)
	}
	if a.Payload.Receipt != "" {
		p.print(a.Payload.Receipt + "\n")
	}
	return p.stages(a)
}

func (p *progress) refusal(a *client.Answer) {
	p.newLine()
	if a.Rule != nil {
		p.note("rule on line %d, asked for by %s", a.Rule.Line, a.Rule.RequestedBy)
	}
	if a.RetryAfterMs > 0 {
		p.note("come back in %s", time.Duration(a.RetryAfterMs)*time.Millisecond)
	}
	_ = p.stages(a)
}

// stages prints what each stage cost, in millionths of a server-second.
func (p *progress) stages(a *client.Answer) error {
	if p.quiet || a.RequestID == "" {
		return nil
	}
	p.note("request %s%s", a.RequestID, after(", trace ", a.TraceID))
	if len(a.Stages) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(p.deps.Err, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "stage\tserver\tzone\tran\tattempts\tms\ttokens\tuseful\twasted")
	for _, s := range a.Stages {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%d\t%.1f\t%d\t%d\t%d\n",
			s.Stage, s.Server, s.Zone, s.Ran, s.Attempts, s.TookMs, s.Tokens, s.Cost.Useful, s.Cost.Wasted)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("printing the stages: %w", err)
	}
	return nil
}

// after is text behind lead, or nothing at all if there is no text.
func after(lead, text string) string {
	if text == "" {
		return ""
	}
	return lead + text
}

func (p *progress) print(text string) { _, _ = fmt.Fprint(p.deps.Out, text) }

func (p *progress) note(format string, args ...any) {
	if !p.quiet {
		_, _ = fmt.Fprintf(p.deps.Err, format+"\n", args...)
	}
}
