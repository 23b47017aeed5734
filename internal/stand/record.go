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
	// Whole: the run came to its end and its answer was written.
	Whole bool `json:"whole"`
	// Cancelled by the client's order.
	Cancelled bool `json:"cancelled"`
	Tokens    int  `json:"tokens"`
}

// Overshoot is one time that a cold server got more than it bears.
type Overshoot struct {
	At time.Time
	// Running counts the calls at once, with the one too many.
	Running int
	Bears   int
	Call    string
}

// Record is what a stand-in ran. It is safe for use by many goroutines.
type Record struct {
	mu             sync.Mutex
	runs           []*Run
	running        int
	maxRunning     int
	maxColdRunning int
	refused        int
	overshoots     []Overshoot
}

func (r *Record) recordStart(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	r.running++
	r.maxRunning = max(r.maxRunning, r.running)
	if run.Cold {
		r.maxColdRunning = max(r.maxColdRunning, r.running)
	}
}

func (r *Record) recordEnd(run *Run, now time.Time, complete, cancelled bool, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.End = now
	run.Whole = complete
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

// RunsOf counts the runs of each request.
func (r *Record) RunsOf(request string) int {
	n := 0
	for _, run := range r.Runs() {
		if run.Request == request {
			n++
		}
	}
	return n
}

// Doubled are the requests that ran more than once, sorted.
func (r *Record) Doubled() []string {
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

// High is the most calls that ran at once.
func (r *Record) High() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxRunning
}

// ColdHigh is the most calls at once that a cold server was given, with those
// that made it fall over.
func (r *Record) ColdHigh() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxColdRunning
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
