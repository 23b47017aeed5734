// Package cost accounts for the work done per pipeline and stage, and separates useful from wasted
// work.
package cost

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
)

// Use classifies work by what became of its result. The set is closed.
type Use uint8

// The uses of work; all except Useful are waste.
const (
	Useful Use = iota
	// Cancelled: the result was no longer wanted.
	Cancelled
	// Superseded: the result of another attempt was used.
	Superseded
	// Late: the deadline passed.
	Late
	// Failed: the attempt, or a later stage of its request, failed.
	Failed
	useCount
)

// Key identifies a line of the ledger.
type Key struct {
	Pipeline shed.PipelineID
	Stage    shed.StageID
}

// Line is the cost of one stage so far.
type Line struct {
	Key
	// Calls and Cost by Use.
	Calls [useCount]uint64
	Cost  [useCount]shed.Cost
}

// Wasted returns the cost of all work except useful work.
func (l *Line) Wasted() shed.Cost {
	var sum shed.Cost
	for u := Cancelled; u < useCount; u++ {
		sum += l.Cost[u]
	}
	return sum
}

// DefaultMaxLines is the default of Config.MaxLines.
const DefaultMaxLines = 1024

// Other is the line for stages beyond the limit of lines.
var Other = Key{Pipeline: "_other", Stage: "_other"}

// Config sets up a Ledger.
type Config struct {
	// MaxLines limits the lines, apart from Other; 0 means DefaultMaxLines.
	MaxLines int
}

// Ledger sums the cost per stage. It is not safe for concurrent use.
type Ledger struct {
	maxLines int
	lines    map[Key]*Line
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	if cfg.MaxLines == 0 {
		cfg.MaxLines = DefaultMaxLines
	}
	return &Ledger{maxLines: cfg.MaxLines, lines: map[Key]*Line{}}
}

// Add records one call.
func (l *Ledger) Add(key Key, use Use, c shed.Cost) {
	line := l.line(key)
	line.Calls[use]++
	line.Cost[use] += c
}

// Snapshot returns a copy of the lines, sorted by pipeline and stage.
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

// line returns the line for key and adds it if necessary, or returns Other's line at the limit.
// Pipelines change with the rules, so without a limit the ledger of a daemon that runs for months
// would grow without bound.
func (l *Ledger) line(key Key) *Line {
	if line := l.lines[key]; line != nil {
		return line
	}
	if len(l.lines) >= l.maxLines {
		key = Other
	}
	if line := l.lines[key]; line != nil {
		return line
	}
	line := &Line{Key: key}
	l.lines[key] = line
	return line
}

// Of returns the cost of occupying one of a server's concurrent calls for took. An unknown capacity
// counts as 1, the most expensive.
func Of(took time.Duration, capacity int) shed.Cost {
	if took <= 0 {
		return 0
	}
	return shed.Cost(took.Microseconds()) / shed.Cost(max(capacity, 1))
}
