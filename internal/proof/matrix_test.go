package proof

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	shed "jasmineshed"
)

var (
	cellSeed    = flag.Uint64("seed", 1, "seed of the matrix")
	coldCells   = flag.Int("cold", 40, "cells for each fault while servers turn cold")
	perFault    = flag.Int("cells", 120, "cells for each fault")
	traceFilter = flag.String("about", "", "print events and actions that mention a request, server or VM; with -replay")
	replayCell  = flag.String("replay", "", "one cell, as the line of a failed cell names it: seed/fault@step/fault@step")
	pairCells   = flag.Int("pairs", 600, "cells with two faults")
)

// oneFaultBounds are the bounds with one fault.
var oneFaultBounds = bounds{newWork: 3 * time.Second, answerDelay: 500 * time.Millisecond, propagation: 5 * time.Second}

// twoFaultBounds are the bounds with two faults, which may follow one another.
var twoFaultBounds = bounds{newWork: 3 * time.Second, answerDelay: 500 * time.Millisecond, propagation: 5 * time.Second}

// cell is one world with faults at given steps.
type cell struct {
	seed uint64
	// cold runs coldScript instead of defaultScript.
	cold   bool
	at     []int
	faults []fault
}

// String returns the cell in the form that -replay accepts.
func (c cell) String() string {
	s := strconv.FormatUint(c.seed, 10)
	if c.cold {
		s = "cold " + s
	}
	for i, f := range c.faults {
		s += fmt.Sprintf("/%s@%d", f.name, c.at[i])
	}
	return s
}

// run runs the script with the cell's faults.
func (c cell) run() *world {
	w := newFleetWorld(c.seed)
	w.onStep = func(step int, n *node) {
		for i, at := range c.at {
			if at == step && n.up {
				c.faults[i].inject(w, n)
			}
		}
	}
	w.runScript(c.script())
	return w
}

func (c cell) script() script {
	if c.cold {
		return coldScript()
	}
	return defaultScript()
}

func (c cell) bounds() bounds {
	b := oneFaultBounds
	if len(c.faults) > 1 {
		b = twoFaultBounds
	}
	for _, f := range c.faults {
		if f.allowsLateAnswers {
			b.answerDelay = 0
		}
	}
	return b
}

// cellResult is the oracle's result for one cell.
type cellResult struct {
	cell        cell
	violations  []violation
	maxLateWork time.Duration
	complete    int
	requests    int
}

func runCell(c cell) cellResult {
	w := c.run()
	v := cellResult{cell: c, violations: w.checkInvariants(c.bounds()), maxLateWork: w.maxLateWork(), requests: len(w.callerRequests)}
	for _, a := range w.callerRequests {
		if len(a.answers) == 1 && a.answers[0].outcome == shed.OutcomeComplete {
			v.complete++
		}
	}
	return v
}

// runCells runs the cells on all cores and returns the results in order.
func runCells(cells []cell) []cellResult {
	out := make([]cellResult, len(cells))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, c := range cells {
		g.Go(func() error {
			out[i] = runCell(c)
			return nil
		})
	}
	_ = g.Wait()
	return out
}

// stepRange returns the step at which the load begins and the last step of a script without
// faults.
func stepRange(cold bool) (first, last int) {
	c := cell{seed: *cellSeed, cold: cold}
	w := newFleetWorld(c.seed)
	w.after(c.script().from-500*time.Millisecond, func() { first = w.steps + 1 })
	w.runScript(c.script())
	return first, w.steps
}

// singleCells is the product of steps and faults, thinned evenly to n cells for each fault.
// Each fault uses different steps, so that together they cover all kinds of steps.
func singleCells(cold bool, n int) []cell {
	first, last := stepRange(cold)
	var cells []cell
	for k, f := range faults {
		for i := range n {
			at := first + (last-first)*i/n + k*7%max(1, (last-first)/n)
			cells = append(cells, cell{seed: *cellSeed, cold: cold, at: []int{at}, faults: []fault{f}})
		}
	}
	return cells
}

// faultPairs returns cells with two faults at two steps; the second strikes while the first lasts.
func faultPairs(n int) []cell {
	first, last := stepRange(false)
	var cells []cell
	for i := range n {
		a, b := faults[i%len(faults)], faults[(i*7+i/len(faults))%len(faults)]
		at := first + (last-first)*i/n
		cells = append(cells, cell{
			seed: *cellSeed + uint64(i%5), at: []int{at, at + 40 + i*13%400}, faults: []fault{a, b},
		})
	}
	return cells
}

// report logs the number of cells and the failures by invariant and by fault, and fails the
// test if there are failures.
func report(t *testing.T, verdicts []cellResult) {
	t.Helper()
	failed := map[invariant]int{}
	byFault := map[string]int{}
	worst := map[string]time.Duration{}
	var failures []string
	requests, complete, failedCells := 0, 0, 0
	for _, v := range verdicts {
		requests += v.requests
		complete += v.complete
		name := v.cell.faults[0].name
		if len(v.cell.faults) > 1 {
			name += " + " + v.cell.faults[1].name
		}
		worst[v.cell.faults[0].name] = max(worst[v.cell.faults[0].name], v.maxLateWork)
		seen := map[invariant]bool{}
		for _, x := range v.violations {
			if !seen[x.invariant] {
				failed[x.invariant]++
			}
			seen[x.invariant] = true
		}
		if len(v.violations) > 0 {
			failedCells++
			byFault[name]++
			failures = append(failures, fmt.Sprintf("%s: %s (and %d more)", v.cell, v.violations[0], len(v.violations)-1))
		}
	}
	t.Logf("%d cells, %d failed; %d requests, %d complete", len(verdicts), failedCells, requests, complete)
	for _, p := range invariants {
		t.Logf("%6d failed: %s", failed[p], p)
	}
	for _, k := range sortedKeys(byFault) {
		t.Logf("%6d failed with %s", byFault[k], k)
	}
	var names []string
	for k := range worst {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		t.Logf("last new work after a closing: %8s with %s", worst[k].Round(time.Millisecond), k)
	}
	for i, line := range failures {
		if i == 40 {
			break
		}
		t.Log(line)
	}
	require.Zero(t, failedCells, "cells that violate an invariant")
}

// Guards against invariants that break when one fault strikes at a particular step. Each cell is
// one world, in which the fault strikes the process that is about to act, just before it acts.
func TestEveryFaultAtEveryStep(t *testing.T) {
	report(t, runCells(singleCells(false, *perFault)))
}

// Guards against cold servers that get more calls than their cold capacity. Servers turn cold one
// after the other and daemons are replaced, so that the slots of cold servers move between
// daemons all the time; each fault strikes on top of that.
func TestEveryFaultWhileServersTurnCold(t *testing.T) {
	report(t, runCells(singleCells(true, *coldCells)))
}

// Guards against invariants that break when a second fault strikes while the first one lasts or
// soon after.
func TestPairsOfFaults(t *testing.T) {
	report(t, runCells(faultPairs(*pairCells)))
}

// TestReplay runs one cell again, named as in the line of a failed cell.
func TestReplay(t *testing.T) {
	if *replayCell == "" {
		t.Skip("no -replay")
	}
	parts := strings.Split(*replayCell, "/")
	var c cell
	seed, cold := strings.CutPrefix(parts[0], "cold ")
	c.cold = cold
	_, err := fmt.Sscan(seed, &c.seed)
	require.NoError(t, err)
	for _, p := range parts[1:] {
		name, at, _ := strings.Cut(p, "@")
		step, err := strconv.Atoi(at)
		require.NoError(t, err)
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		require.GreaterOrEqual(t, i, 0, name)
		c.faults, c.at = append(c.faults, faults[i]), append(c.at, step)
	}
	report(t, []cellResult{runCell(c)})
}
