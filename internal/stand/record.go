package stand

import (
	"sort"
	"sync"
	"time"
)

// Run is one call that a stand-in ran.
type Run struct {
	// Call is the call's id as it came in.
	Call string `json:"call"`
	// Request is the id of the request that the call belongs to.
	Request string    `json:"request"`
	Path    string    `json:"path"`
	Start   time.Time `json:"start"`
	// End is zero while it runs.
	End time.Time `json:"end"`
	// Cold: the server was cold when the call began.
	Cold bool `json:"cold"`
	// Complete: the run came to its end and its answer was written.
	Complete bool `json:"whole"`
	// Cancelled by the client's order.
	Cancelled bool `json:"cancelled"`
	Tokens    int  `json:"tokens"`
}

// Overshoot is one time that a cold server got more than it bears.
type Overshoot struct {
	At time.Time
	// Running counts the calls at once, with the one too many.
	Running      int
	ColdCapacity int
	Call         string
}

// Record is what a stand-in ran. It is safe for use by many goroutines.
type Record struct {
	mu         sync.Mutex
	runs       []*Run
	running    int
	high       int
	coldHigh   int
	refused    int
	overshoots []Overshoot
}

func (r *Record) begin(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	r.running++
	r.high = max(r.high, r.running)
	if run.Cold {
		r.coldHigh = max(r.coldHigh, r.running)
	}
}

func (r *Record) end(run *Run, now time.Time, whole, cancelled bool, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.End = now
	run.Complete = whole
	run.Cancelled = cancelled
	run.Tokens = tokens
	r.running--
}

func (r *Record) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
}

func (r *Record) overshoot(o Overshoot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overshoots = append(r.overshoots, o)
	r.coldHigh = max(r.coldHigh, o.Running)
}

// Runs are all runs so far, in order of their start.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, len(r.runs))
	for i, run := range r.runs {
		runs[i] = *run
	}
	return runs
}

// CountRuns counts the runs of each request.
func (r *Record) CountRuns(request string) int {
	n := 0
	for _, run := range r.Runs() {
		if run.Request == request {
			n++
		}
	}
	return n
}

// DuplicateRequests are the requests that ran more than once, sorted.
func (r *Record) DuplicateRequests() []string {
	count := map[string]int{}
	for _, run := range r.Runs() {
		count[run.Request]++
	}
	var doubled []string
	for request, n := range count {
		if n > 1 {
			doubled = append(doubled, request)
		}
	}
	sort.Strings(doubled)
	return doubled
}

// Running counts the calls that run now.
func (r *Record) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// MaxRunning is the most calls that ran at once.
func (r *Record) MaxRunning() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.high
}

// MaxColdRunning is the most calls at once that a cold server was given, with those
// that made it fall over.
func (r *Record) MaxColdRunning() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldHigh
}

// Refused counts the calls refused before running.
func (r *Record) Refused() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused
}

// Overshoots are the times that the server was cold and got too much.
func (r *Record) Overshoots() []Overshoot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Overshoot(nil), r.overshoots...)
}
