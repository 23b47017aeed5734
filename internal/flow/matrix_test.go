package flow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

// fault is an event that replaces the next good step.
type fault struct {
	name string
	do   func(*world)
}

// matrixFaults returns all faults that can occur at a step: each failure of the current call,
// ends that are duplicated or of another attempt, callers that leave, jumps of the clock, and
// no available server.
func matrixFaults() []fault {
	faults := []fault{
		{"caller gone", func(w *world) {
			w.oracle.requests["r1"].callerGone = true
			w.handle(shed.CallerGone{Request: "r1"})
		}},
		{"silent", func(w *world) { w.silenceFirst(DefaultIdleTimeout) }},
		{"silent, others full", func(w *world) {
			w.script = append(w.script, 2)
			w.silenceFirst(DefaultIdleTimeout)
		}},
		{"silent for long", func(w *world) { w.silenceFirst(2 * DefaultIdleTimeout) }},
		{"replacement silent", func(w *world) {
			w.silenceFirst(DefaultIdleTimeout)
			w.silenceLast(DefaultIdleTimeout)
		}},
		{"progress", func(w *world) {
			if len(w.inFlight) > 0 {
				w.reportProgress(w.inFlight[0])
			}
		}},
		{"progress of the last call", func(w *world) {
			if len(w.inFlight) > 0 {
				w.reportProgress(w.inFlight[len(w.inFlight)-1])
			}
		}},
		{"end doubled", func(w *world) {
			for _, e := range w.pastEnds {
				w.handle(e)
			}
		}},
		{"end of another attempt", func(w *world) {
			for _, c := range w.inFlight {
				c.Attempt++
				// A call that replaces a silent one is in flight together with it.
				if !slices.Contains(w.inFlight, c) {
					w.handle(shed.CallEnded{Call: c, End: shed.EndComplete})
				}
			}
		}},
		{"end of another stage", func(w *world) {
			for _, c := range w.inFlight {
				c.Stage++
				w.handle(shed.CallEnded{Call: c, End: shed.EndComplete})
			}
		}},
		{"paused past the deadline", func(w *world) { w.skipTime(time.Minute) }},
		{"result after the deadline, before the tick", func(w *world) {
			w.now = w.now.Add(time.Minute)
			w.endFirst(shed.EndComplete, 0)
		}},
		{"paused, not past the deadline", func(w *world) { w.skipTime(2 * time.Second) }},
		{"arrived twice", func(w *world) {
			if w.oracle.requests["r1"].finish == nil {
				w.handle(newRequest("r1", "draft"))
			}
		}},
		{"not started, twice in a row", func(w *world) {
			w.endFirst(shed.EndNotStarted, 0)
			w.endFirst(shed.EndNotStarted, 0)
		}},
		{"no rules for it", func(w *world) { w.f.SetRules(&shed.Rules{Revision: 2}) }},
		{"stop", func(w *world) { w.f.Stop(shed.ReasonStopping) }},
	}
	for k, name := range []string{"nowhere", "at a peer", "full"} {
		faults = append(faults, fault{"next placing: " + name, func(w *world) { w.script = append(w.script, k) }})
	}
	for end := shed.EndNotStarted; end <= shed.EndCancelled; end++ {
		faults = append(faults,
			fault{fmt.Sprintf("end %d", end), func(w *world) { w.endFirst(end, 0) }},
			fault{fmt.Sprintf("end %d midway", end), func(w *world) { w.endFirst(end, 9) }})
	}
	return faults
}

func (w *world) skipTime(d time.Duration) {
	w.now = w.now.Add(d)
	w.handle(shed.Tick{Wall: w.now})
	w.oracle.checkBetweenSteps(w.now)
}

func (w *world) endFirst(end shed.CallEnd, tokens shed.Tokens) {
	if len(w.inFlight) == 0 {
		return
	}
	c := w.inFlight[0]
	w.endCall(shed.CallEnded{Call: c, End: end, Server: w.serverOf[c], Tokens: tokens, Reason: shed.ReasonBroken})
}

func (w *world) silenceFirst(d time.Duration) {
	if len(w.inFlight) > 0 {
		w.silence(w.inFlight[0], d)
	}
}

func (w *world) silenceLast(d time.Duration) {
	if len(w.inFlight) > 0 {
		w.silence(w.inFlight[len(w.inFlight)-1], d)
	}
}

func (w *world) silence(c shed.Call, d time.Duration) {
	w.oracle.recordSilence(c)
	w.handle(shed.CallSilent{Call: c, For: d, Server: w.serverOf[c], Zone: "a"})
}

const matrixSteps = 7

// runCell runs one request, with faults in place of the given steps, and returns the faults
// that the oracle found.
func runCell(p shed.PipelineID, disabled safeguards, faultsAt map[int][]fault) []string {
	w := newWorld(disabled)
	w.nextPlacing = func() int {
		if len(w.script) == 0 {
			return -1
		}
		k := w.script[0]
		w.script = w.script[1:]
		return k
	}
	a := newRequest("r1", p)
	w.oracle.addRequest(a, testRules().Pipelines[p])
	w.handle(a)
	for step := range matrixSteps {
		for _, f := range faultsAt[step] {
			f.do(w)
		}
		if len(faultsAt[step]) == 0 {
			w.endFirst(shed.EndComplete, 20)
		}
		w.skipTime(100 * time.Millisecond)
	}
	w.passAllDeadlines()
	return w.oracle.faults
}

// forEachCell calls visit for each fault at each step and for each pair of faults
// at each pair of steps, the same step included, until visit returns false.
func forEachCell(visit func(p shed.PipelineID, name string, at map[int][]fault) bool) {
	faults := matrixFaults()
	for _, p := range []shed.PipelineID{"draft", "publish"} {
		for i := range matrixSteps * len(faults) {
			f, step := faults[i%len(faults)], i/len(faults)
			if !visit(p, fmt.Sprintf("%d %s", step, f.name), map[int][]fault{step: {f}}) {
				return
			}
			for k := step * len(faults); k < matrixSteps*len(faults); k++ {
				g, later := faults[k%len(faults)], k/len(faults)
				faultsAt := map[int][]fault{step: {f}}
				faultsAt[later] = append(faultsAt[later], g)
				if !visit(p, fmt.Sprintf("%d %s, %d %s", step, f.name, later, g.name), faultsAt) {
					return
				}
			}
		}
	}
}

// Every fault occurs at every step of a request, then every pair of faults. In each cell the
// caller must get one true answer, and a stage that must run at most once must not run twice:
// the step before the fault may have sent it already.
func TestFaultMatrix(t *testing.T) {
	cells := 0
	forEachCell(func(p shed.PipelineID, name string, at map[int][]fault) bool {
		cells++
		return assert.Empty(t, runCell(p, safeguards{}, at), "%s: %s", p, name)
	})
	t.Logf("%d cells", cells)
}

// With a safeguard disabled some cell must fail, or the matrix proves nothing about it. "one
// start" needs a second request and "bound backoff" three faults in a row, so these are left
// to the state machine.
func TestFaultMatrixCatchesEachSafeguardOff(t *testing.T) {
	for name, disabled := range mutants() {
		if disabled.oneStart || disabled.boundBackoff {
			continue
		}
		t.Run(name, func(t *testing.T) {
			firstFailure := ""
			forEachCell(func(p shed.PipelineID, cellName string, at map[int][]fault) bool {
				if faults := runCell(p, disabled, at); len(faults) > 0 {
					firstFailure = fmt.Sprintf("%s: %s: %v", p, cellName, faults)
				}
				return firstFailure == ""
			})
			require.NotEmpty(t, firstFailure, "no cell failed")
			t.Log(firstFailure)
		})
	}
}
