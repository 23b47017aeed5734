package flow

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
)

// TestMain fixes rapid's seed and the number of runs unless they are given.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "1", "rapid.checks": "3000"}
	flag.Visit(func(given *flag.Flag) { delete(fixed, given.Name) })
	for name, value := range fixed {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// world is a flow with two fake servers, whose ends are drawn at random.
type world struct {
	t    *rapid.T
	f    *Flow
	o    *oracle
	now  time.Time
	next int
	open []shed.Call
	old  []shed.CallEnded
	on   map[shed.Call]shed.ServerID
	load map[shed.ServerID]int
	// placing draws the answer of the placer: 0 nowhere, 1 a peer, 2 wait, else
	// a server that has room.
	placing func() int
	script  []int
}

const worldCapacity = 2

func newWorld(off safeguards) *world {
	w := &world{o: newOracle(), now: start, on: map[shed.Call]shed.ServerID{}, load: map[shed.ServerID]int{}}
	w.f = newFlow(w.place)
	w.f.off = off
	return w
}

// place gives a server that has room, by the load that the world has seen.
func (w *world) place(ask shed.PlaceRequest) shed.Placement {
	switch w.placing() {
	case 0:
		return shed.Placement{Kind: shed.PlaceNowhere, Reason: shed.ReasonZoneOut}
	case 1:
		return shed.Placement{Kind: shed.PlacePeer, Peer: "10.0.0.2:1"}
	case 2:
		return shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServersBusy}
	}
	open := 0
	for _, id := range []shed.ServerID{"s1", "s2"} {
		if slices.Contains(ask.Avoid, id) {
			continue
		}
		open++
		if w.load[id] < worldCapacity {
			return shed.Placement{Kind: shed.PlaceLocal, Server: server(id)}
		}
	}
	if open == 0 {
		return shed.Placement{Kind: shed.PlaceNowhere, Reason: shed.ReasonNoServer}
	}
	return shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServersBusy}
}

// did books a step's actions, as core would, and has them judged.
func (w *world) did(acts []shed.Action) {
	w.o.step(w.now, acts)
	for _, a := range acts {
		switch a := a.(type) {
		case shed.StartCall:
			w.open = append(w.open, a.Call)
			w.on[a.Call] = a.Server
			w.load[a.Server]++
			if w.load[a.Server] > worldCapacity {
				w.o.fault("%s got more than it bears", a.Server)
			}
		case shed.ForwardStage:
			w.open = append(w.open, a.Request.Call)
		}
	}
}

func (w *world) handle(ev shed.Event) {
	w.did(w.f.Handle(w.now, ev))
	for {
		acts := w.f.StartNext(w.now)
		w.did(acts)
		if len(only[shed.StartCall](acts))+len(only[shed.ForwardStage](acts)) == 0 {
			return
		}
	}
}

func (w *world) arrive(*rapid.T) {
	p := rapid.SampledFrom([]shed.PipelineID{"draft", "publish"}).Draw(w.t, "pipeline")
	budget := time.Duration(rapid.IntRange(50, 3000).Draw(w.t, "budget")) * time.Millisecond
	w.next++
	a := arrived(shed.RequestID(fmt.Sprintf("r%d", w.next)), p)
	a.Workspace = rapid.SampledFrom([]shed.WorkspaceID{"w1", "w2"}).Draw(w.t, "workspace")
	a.Deadline = w.now.Add(budget)
	a.Ticketed = rapid.Bool().Draw(w.t, "ticketed")
	w.o.arrived(a, testRules().Pipelines[p])
	w.handle(a)
	if rapid.IntRange(0, 9).Draw(w.t, "twice") == 0 && w.o.requests[a.Request].finish == nil {
		w.handle(a)
	}
}

func (w *world) end(*rapid.T) {
	if len(w.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.open)-1).Draw(w.t, "which")
	e := shed.CallEnded{
		Call:   w.open[i],
		Server: w.on[w.open[i]],
		Reason: shed.ReasonBroken,
		Tokens: shed.Tokens(rapid.IntRange(0, 20).Draw(w.t, "tokens")),
	}
	e.End = shed.EndComplete
	if rapid.Bool().Draw(w.t, "fails") {
		e.End = shed.CallEnd(rapid.IntRange(int(shed.EndNotStarted), int(shed.EndCancelled)).Draw(w.t, "end"))
	}
	w.ended(e)
}

func (w *world) ended(e shed.CallEnded) {
	w.open = slices.DeleteFunc(w.open, func(c shed.Call) bool { return c == e.Call })
	w.old = append(w.old, e)
	if e.Server != "" {
		w.load[e.Server]--
	}
	w.o.ended(e)
	w.handle(e)
}

// repeat delivers an end again, perhaps changed, or one of a call never sent.
func (w *world) repeat(*rapid.T) {
	if len(w.old) == 0 {
		return
	}
	e := rapid.SampledFrom(w.old).Draw(w.t, "old")
	e.End = rapid.SampledFrom([]shed.CallEnd{e.End, shed.EndComplete, shed.EndNotStarted}).Draw(w.t, "as")
	if rapid.IntRange(0, 3).Draw(w.t, "stranger") == 0 {
		e.Call.Attempt += 7
	}
	w.handle(e)
}

func (w *world) progress(*rapid.T) {
	if len(w.open) > 0 {
		w.handle(shed.CallProgress{Call: rapid.SampledFrom(w.open).Draw(w.t, "which"), Tokens: 5})
	}
}

func (w *world) gone(*rapid.T) {
	if w.next == 0 {
		return
	}
	id := shed.RequestID(fmt.Sprintf("r%d", rapid.IntRange(1, w.next).Draw(w.t, "whose")))
	w.o.requests[id].gone = true
	w.handle(shed.CallerGone{Request: id})
}

// pass lets time go on; a process that was paused ticks late.
func (w *world) pass(*rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "ms")) * time.Millisecond)
	if rapid.IntRange(0, 3).Draw(w.t, "end first") == 0 {
		w.end(nil)
	}
	w.handle(shed.Tick{Wall: w.now})
	w.o.settled(w.now)
}

func (w *world) check(t *rapid.T) {
	if len(w.o.faults) > 0 {
		t.Fatalf("%v", w.o.faults)
	}
}

func machine(off safeguards) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(off)
		w.t = t
		w.placing = func() int { return rapid.IntRange(0, 12).Draw(t, "placing") }
		t.Repeat(map[string]func(*rapid.T){
			"arrive":   w.arrive,
			"end":      w.end,
			"end_more": w.end,
			"repeat":   w.repeat,
			"progress": w.progress,
			"gone":     w.gone,
			"pass":     w.pass,
			"":         w.check,
		})
		w.close()
		w.check(t)
	}
}

// close lets all deadlines pass; every request must have its answer then.
func (w *world) close() {
	w.now = w.now.Add(time.Minute)
	w.handle(shed.Tick{Wall: w.now})
	w.o.settled(w.now)
	if w.f.Live() != 0 {
		w.o.fault("%d requests left", w.f.Live())
	}
}

// Servers answer, fail, break and answer twice in any order while callers come
// and go and the process sleeps. Whatever happens, each caller sees exactly one
// answer, and one that is true: the oracle compares it with every call sent.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, machine(safeguards{}))
}

// mutants turn off one safeguard each.
func mutants() map[string]safeguards {
	return map[string]safeguards{
		"stale ends":      {staleEnds: true},
		"may repeat":      {mayRepeat: true},
		"one finish":      {oneFinish: true},
		"check late":      {checkLate: true},
		"one start":       {oneStart: true},
		"run on if bound": {runOnIfBound: true},
		"hopeless":        {hopeless: true},
		"bound pause":     {boundPause: true},
	}
}

// recorder takes the failure of a check that is meant to fail.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }

// Each safeguard is turned off in turn. The symptom differs (a doubled
// publication, a false "not run", two answers, an overloaded server), but in
// each case the oracle must see it, or its silence above would prove nothing.
func TestOracleCatchesEachSafeguardOff(t *testing.T) {
	quiet := map[string]string{"rapid.shrinktime": "0s", "rapid.nofailfile": "true"}
	for name, value := range quiet {
		before := flag.Lookup(name).Value.String()
		require.NoError(t, flag.Set(name, value))
		defer func() { _ = flag.Set(name, before) }()
	}
	for name, off := range mutants() {
		t.Run(name, func(t *testing.T) {
			r := &recorder{TB: t}
			rapid.Check(r, machine(off))
			require.True(t, r.failed, "the oracle saw nothing")
		})
	}
}
