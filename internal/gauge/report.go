package gauge

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	shed "jasmineshed"
	"jasmineshed/pkg/client"
)

// Report is a result worked out.
type Report struct {
	Scenario   Scenario
	Windows    []*Window
	Workspaces []*Window
	Costs      []StageCost
	Reasons    []ReasonCount
	Safety     Safety
	Lag        time.Duration
	// PlatformPeak is the most calls that the platform got in one second.
	PlatformPeak, PlatformRefused int
}

// Report works the result out. The rules tell which stages may run only once.
func (r *Result) Report(rules *shed.Rules) *Report {
	return &Report{
		Scenario:        r.Scenario,
		Windows:         r.Scenario.windows(r.Samples),
		Workspaces:      byWorkspace(r.Samples, r.Scenario.Duration),
		Costs:           costs(r.Samples),
		Reasons:         reasons(r.Samples),
		Safety:          r.safety(runsOnce(rules)),
		Lag:             r.Lag,
		PlatformPeak:    r.Calls.Peak,
		PlatformRefused: r.Calls.Refused,
	}
}

// runsOnce tells which servers carry stages that may run only once.
func runsOnce(rules *shed.Rules) func(shed.ServerID) bool {
	pools := map[shed.PoolID]bool{}
	for _, p := range rules.Pipelines {
		for _, stage := range p.Stages {
			if !stage.Idempotent {
				pools[stage.Pool] = true
			}
		}
	}
	return func(id shed.ServerID) bool {
		s := rules.Servers[id]
		return s != nil && pools[s.Pool]
	}
}

// printer keeps the first error of writing.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// table writes aligned columns, with an empty line after them.
func (p *printer) table(write func(*printer)) {
	tw := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', tabwriter.AlignRight)
	columns := &printer{w: tw, err: p.err}
	write(columns)
	p.err = columns.err
	if p.err == nil {
		p.err = tw.Flush()
	}
	p.printf("\n")
}

// WriteTable writes the report for reading.
func (r *Report) WriteTable(w io.Writer) error {
	p := &printer{w: w}
	p.printf("\n%s: %s\npolicy %s, seed %d, %.0f/s for %s\n\n",
		r.Scenario.Name, r.Scenario.About, r.Scenario.Policy, r.Scenario.Seed, r.Scenario.Rate, r.Scenario.Duration)
	p.table(func(p *printer) { writeWindows(p, "window", r.Windows) })
	p.table(func(p *printer) { writeWindows(p, "workspace", r.Workspaces) })
	p.table(r.writeCosts)
	p.table(r.writeReasons)
	r.writeSafety(p)
	if p.err != nil {
		return fmt.Errorf("write the table: %w", p.err)
	}
	return nil
}

func writeWindows(p *printer, title string, windows []*Window) {
	p.printf("%s\tfrom s\toffered\trefused\tlate\tmissing\twrong\tattained %%\tserved %%\tp50 ms\tp95 ms\tp99 ms\tfirst p95 ms\t\n", title)
	for _, win := range windows {
		p.printf("%s\t%.1f\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t\n",
			win.Name, win.From.Seconds(), win.Offered(), win.Counts[Refused], win.Counts[Late],
			win.Counts[Missing], win.Counts[Wrong], 100*win.Attainment(), 100*win.Served(),
			win.Latency(50).Milliseconds(), win.Latency(95).Milliseconds(), win.Latency(99).Milliseconds(),
			win.FirstText(95).Milliseconds())
	}
}

func (r *Report) writeCosts(p *printer) {
	p.printf("pipeline\tstage\tcalls\tuseful\twasted\twasted %%\t\n")
	for _, c := range r.Costs {
		p.printf("%s\t%s\t%d\t%d\t%d\t%.2f\t\n", c.Pipeline, c.Stage, c.Calls, c.Useful, c.Wasted, 100*c.wasted())
	}
}

func (r *Report) writeReasons(p *printer) {
	p.printf("verdict\treason\tcount\t\n")
	for _, rc := range r.Reasons {
		p.printf("%s\t%s\t%d\t\n", rc.Verdict, rc.Reason, rc.Count)
	}
}

// wasted is the wasted share of the stage's cost, from 0 to 1.
func (c StageCost) wasted() float64 {
	if c.Useful+c.Wasted == 0 {
		return 0
	}
	return float64(c.Wasted) / float64(c.Useful+c.Wasted)
}

func (r *Report) writeSafety(p *printer) {
	p.printf("cold servers: given too much %d times, by %d calls at the most\n",
		r.Safety.Overshoots, r.Safety.MaxOvershoot)
	p.printf("requests run twice by a service that may run them once: %d\n", r.Safety.DuplicateRequests)
	for _, c := range r.Safety.Closures {
		p.printf("after %s: %d calls still began there, the last %.2f s later\n", c.Event, c.Calls, c.LastCallAfter.Seconds())
	}
	p.printf("platform: %d calls in its busiest second, %d refused\n", r.PlatformPeak, r.PlatformRefused)
	p.printf("most lag of the load generator: %d ms\n", r.Lag.Milliseconds())
}

// line is one request in the file of JSON lines.
type line struct {
	Number      int                  `json:"number"`
	AtMS        int64                `json:"at_ms"`
	Workspace   shed.WorkspaceID     `json:"workspace"`
	Pipeline    shed.PipelineID      `json:"pipeline"`
	Verdict     string               `json:"verdict"`
	Outcome     client.Outcome       `json:"outcome"`
	Reason      string               `json:"reason,omitempty"`
	TookMS      float64              `json:"took_ms"`
	FirstTextMS float64              `json:"first_text_ms,omitempty"`
	Stages      []client.StageReport `json:"stages,omitempty"`
}

// WriteLines writes one JSON line for each request, in order of answers.
func (r *Result) WriteLines(w io.Writer) error {
	enc := json.NewEncoder(w)
	for i := range r.Samples {
		if err := enc.Encode(lineOf(&r.Samples[i])); err != nil {
			return fmt.Errorf("write the samples: %w", err)
		}
	}
	return nil
}

func lineOf(s *Sample) line {
	return line{
		Number:      s.Number,
		AtMS:        s.At.Milliseconds(),
		Workspace:   s.Workspace,
		Pipeline:    s.Pipeline,
		Verdict:     s.Verdict.String(),
		Outcome:     s.Outcome,
		Reason:      s.Reason,
		TookMS:      milliseconds(s.Took),
		FirstTextMS: milliseconds(s.FirstText),
		Stages:      s.Stages,
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
