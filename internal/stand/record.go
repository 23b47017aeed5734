package stand

import (
	"sort"
	"sync"
	"time"
)

// Run records one call that a stand-in ran.
type Run struct {
	// Call is the call's id as received.
	Call string `json:"call"`
	// Request is the id of the request that the call belongs to.
	Request string    `json:"request"`
	Path    string    `json:"path"`
	Start   time.Time `json:"start"`
	// End is zero while the call runs.
	End time.Time `json:"end"`
	// Cold is whether the server was cold when the call began.
	Cold bool `json:"cold"`
	// Complete is whether the call ran to its end and its answer was written.
	Complete bool `json:"whole"`
	// Cancelled is whether a cancel request or the end of its budget ended the call.
	Cancelled bool `json:"cancelled"`
	Tokens    int  `json:"tokens"`
}

// Overshoot records that a cold server received a call above its cold capacity.
type Overshoot struct {
	At time.Time
	// Running counts the concurrent calls, including the one above the capacity.
	Running int
	// ColdCapacity is the server's cold capacity.
	ColdCapacity int
	Call         string
}

// Record holds what a stand-in ran. It is safe for concurrent use.
type Record struct {
	mu             sync.Mutex
	runs           []*Run
	running        int
	maxRunning     int
	maxColdRunning int
	refused        int
	overshoots     []Overshoot
}

func (r *Record) beginCall(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	r.running++
	r.maxRunning = max(r.maxRunning, r.running)
	if run.Cold {
		r.maxColdRunning = max(r.maxColdRunning, r.running)
	}
}

func (r *Record) endCall(run *Run, now time.Time, complete, cancelled bool, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.End = now
	run.Complete = complete
	run.Cancelled = cancelled
	run.Tokens = tokens
	r.running--
}

func (r *Record) recordRefusal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
}

func (r *Record) recordOvershoot(o Overshoot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overshoots = append(r.overshoots, o)
	r.maxColdRunning = max(r.maxColdRunning, o.Running)
}

// Runs returns all runs so far, in order of their start.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, len(r.runs))
	for i, run := range r.runs {
		runs[i] = *run
	}
	return runs
}

// CountRuns returns how many times a request ran.
func (r *Record) CountRuns(request string) int {
	n := 0
	for _, run := range r.Runs() {
		if run.Request == request {
			n++
		}
	}
	return n
}

// DuplicateRequests returns the ids of the requests that ran more than once, sorted.
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

// Running returns the number of calls that run now.
func (r *Record) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// MaxRunning returns the largest number of calls that ran at once.
func (r *Record) MaxRunning() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxRunning
}

// MaxColdRunning returns the largest number of concurrent calls that the server received while
// cold, including those that overloaded it.
func (r *Record) MaxColdRunning() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxColdRunning
}

// Refused returns the number of calls refused without running.
func (r *Record) Refused() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused
}

// Overshoots returns the calls above capacity that the server received while cold.
func (r *Record) Overshoots() []Overshoot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Overshoot(nil), r.overshoots...)
}
