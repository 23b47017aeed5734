// Package cost keeps the ledger of work done, by pipeline and stage, with
// useful and wasted work apart.
package cost

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
)

// Use tells what work was good for. The set is closed.
type Use uint8

// The uses of work; all but Useful are waste.
const (
	Useful Use = iota
	// Cancelled: nobody wanted the result any more.
	Cancelled
	// Superseded: another attempt's result was taken.
	Superseded
	// Late: the deadline passed.
	Late
	// Failed: the attempt, or a later stage of its request, failed.
	Failed
	uses
)

// Key names one line of the ledger.
type Key struct {
	Pipeline shed.PipelineID
	Stage    shed.StageID
}

// Line is what one stage has cost so far.
type Line struct {
	Key
	// Calls and Cost by Use.
	Calls [uses]uint64
	Cost  [uses]shed.Cost
}

// Wasted sums the cost of everything but useful work.
func (l *Line) Wasted() shed.Cost {
	var sum shed.Cost
	for u := Cancelled; u < uses; u++ {
		sum += l.Cost[u]
	}
	return sum
}

// DefaultMaxLines bounds the lines of a ledger.
const DefaultMaxLines = 1024

// Other gathers the work of stages past the bound.
var Other = Key{Pipeline: "_other", Stage: "_other"}

// Config sets up a Ledger.
type Config struct {
	// MaxLines is the greatest number of lines; 0 takes DefaultMaxLines.
	MaxLines int
}

// Ledger sums cost by stage. It is not safe for concurrent use.
type Ledger struct {
	most  int
	lines map[Key]*Line
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	if cfg.MaxLines == 0 {
		cfg.MaxLines = DefaultMaxLines
	}
	return &Ledger{most: cfg.MaxLines, lines: map[Key]*Line{}}
}

// Add books one call.
func (l *Ledger) Add(key Key, use Use, c shed.Cost) {
	line := l.line(key)
	line.Calls[use]++
	line.Cost[use] += c
}

// Snapshot copies the ledger, sorted by pipeline and stage.
func (l *Ledger) Snapshot() []Line {
	out := make([]Line, 0, len(l.lines))
	for _, line := range l.lines {
		out = append(out, *line)
	}
	slices.SortFunc(out, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Stage, b.Stage))
	})
	return out
}

// line finds or opens a line. Pipelines come and go with the rules, so a
// daemon that runs for months would otherwise grow without bound.
func (l *Ledger) line(key Key) *Line {
	if line := l.lines[key]; line != nil {
		return line
	}
	if len(l.lines) >= l.most {
		key = Other
	}
	if line := l.lines[key]; line != nil {
		return line
	}
	line := &Line{Key: key}
	l.lines[key] = line
	return line
}

// Of is the cost of occupying one of a server's places for took. A capacity
// that is not known counts as 1, the dearest.
func Of(took time.Duration, capacity int) shed.Cost {
	if took <= 0 {
		return 0
	}
	return shed.Cost(took.Microseconds()) / shed.Cost(max(capacity, 1))
}
