package gauge

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	shed "jasmineshed"
	"jasmineshed/pkg/client"
)

const (
	// longest latency that a histogram tells apart.
	longest = 5 * time.Minute
	// digits of a histogram's precision.
	digits = 3
)

// Sample is what became of one arrival.
type Sample struct {
	Arrival
	Verdict Verdict
	Outcome client.Outcome
	Reason  string
	// Took is counted from the planned arrival.
	Took time.Duration
	// FirstText is the time to the first text; 0 if none came.
	FirstText time.Duration
	Stages    []client.StageReport
}

// Window is the quality of service of the arrivals in a span of time.
type Window struct {
	Name     string
	From, To time.Duration
	Counts   [verdicts]int
	took     *hdrhistogram.Histogram
	first    *hdrhistogram.Histogram
}

func newWindow(name string, from, to time.Duration) *Window {
	return &Window{
		Name:  name,
		From:  from,
		To:    to,
		took:  hdrhistogram.New(1, longest.Microseconds(), digits),
		first: hdrhistogram.New(1, longest.Microseconds(), digits),
	}
}

func (w *Window) add(s *Sample) {
	w.Counts[s.Verdict]++
	if s.Verdict == Attained || s.Verdict == Late {
		record(w.took, s.Took)
	}
	if s.FirstText > 0 {
		record(w.first, s.FirstText)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values past the longest are taken for it.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longest.Microseconds()))
}

// Offered counts all arrivals.
func (w *Window) Offered() int {
	n := 0
	for _, c := range w.Counts {
		n += c
	}
	return n
}

// Attainment is the share of the accepted requests that were attained, from 0
// to 1; it is 1 if none was accepted.
func (w *Window) Attainment() float64 {
	return share(w.Counts[Attained], w.Offered()-w.Counts[Refused])
}

// Served is the share of all offered requests that were attained.
func (w *Window) Served() float64 {
	return share(w.Counts[Attained], w.Offered())
}

// Latency is a quantile, from 0 to 100, of the time to the whole answer.
func (w *Window) Latency(q float64) time.Duration {
	return time.Duration(w.took.ValueAtQuantile(q)) * time.Microsecond
}

// FirstText is a quantile of the time to the first text.
func (w *Window) FirstText(q float64) time.Duration {
	return time.Duration(w.first.ValueAtQuantile(q)) * time.Microsecond
}

func share(part, whole int) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// StageCost is the work of one stage, in millionths of a server-second.
type StageCost struct {
	Pipeline       shed.PipelineID
	Stage          string
	Calls          int
	Useful, Wasted uint64
}

// windows cuts the samples at the events and bursts of the scenario, with all
// of them first.
func (s *Scenario) windows(samples []Sample) []*Window {
	names := map[time.Duration]string{0: "before"}
	for _, m := range s.Marks() {
		if names[m.At] != "" && m.At > 0 {
			m.Name = names[m.At] + "+" + m.Name
		}
		names[m.At] = m.Name
	}
	cuts := make([]time.Duration, 0, len(names))
	for at := range names {
		cuts = append(cuts, at)
	}
	slices.Sort(cuts)
	out := []*Window{newWindow("all", 0, s.Duration)}
	for i, at := range cuts {
		to := s.Duration
		if i+1 < len(cuts) {
			to = cuts[i+1]
		}
		if len(cuts) > 1 {
			out = append(out, newWindow(names[at], at, to))
		}
	}
	fill(out, samples)
	return out
}

// byWorkspace gives a window for each workspace, sorted by name.
func byWorkspace(samples []Sample, to time.Duration) []*Window {
	found := map[shed.WorkspaceID]*Window{}
	for i := range samples {
		ws := samples[i].Workspace
		if found[ws] == nil {
			found[ws] = newWindow(string(ws), 0, to)
		}
		found[ws].add(&samples[i])
	}
	out := make([]*Window, 0, len(found))
	for _, w := range found {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *Window) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func fill(windows []*Window, samples []Sample) {
	for i := range samples {
		for _, w := range windows {
			if at := samples[i].At; at >= w.From && at < w.To {
				w.add(&samples[i])
			}
		}
	}
}

// Mark is a moment of the scenario that shows in reports.
type Mark struct {
	Name string
	At   time.Duration
}

// Marks are the events and the bursts' ends in order of time.
func (s *Scenario) Marks() []Mark {
	var marks []Mark
	for _, ev := range s.Events {
		marks = append(marks, Mark{Name: ev.Name, At: ev.At})
	}
	for _, b := range s.Bursts {
		marks = append(marks, Mark{Name: b.Name, At: b.At}, Mark{Name: b.Name + "_over", At: b.At + b.Duration})
	}
	slices.SortStableFunc(marks, func(a, b Mark) int { return cmp.Compare(a.At, b.At) })
	return marks
}

// costs sums the stages' reports, sorted by pipeline and stage.
func costs(samples []Sample) []StageCost {
	type key struct {
		pipeline shed.PipelineID
		stage    string
	}
	sums := map[key]*StageCost{}
	for _, s := range samples {
		for _, stage := range s.Stages {
			k := key{s.Pipeline, stage.Stage}
			if sums[k] == nil {
				sums[k] = &StageCost{Pipeline: s.Pipeline, Stage: stage.Stage}
			}
			sums[k].Calls += stage.Attempts
			sums[k].Useful += stage.Cost.Useful
			sums[k].Wasted += stage.Cost.Wasted
		}
	}
	out := make([]StageCost, 0, len(sums))
	for _, sum := range sums {
		out = append(out, *sum)
	}
	slices.SortFunc(out, func(a, b StageCost) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Stage, b.Stage))
	})
	return out
}

// reasons counts the reasons of what was not attained, sorted.
func reasons(samples []Sample) []ReasonCount {
	counts := map[ReasonCount]int{}
	for _, s := range samples {
		if s.Verdict != Attained {
			counts[ReasonCount{Verdict: s.Verdict, Reason: s.Reason}]++
		}
	}
	out := make([]ReasonCount, 0, len(counts))
	for rc, n := range counts {
		rc.Count = n
		out = append(out, rc)
	}
	slices.SortFunc(out, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(a.Verdict, b.Verdict), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// ReasonCount is how often a verdict had a reason.
type ReasonCount struct {
	Verdict Verdict
	Reason  string
	Count   int
}
