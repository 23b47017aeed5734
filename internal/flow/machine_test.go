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

// world is a flow with two fake servers that end calls at random.
type world struct {
	t        *rapid.T
	f        *Flow
	oracle   *oracle
	now      time.Time
	next     int
	inFlight []shed.Call
	pastEnds []shed.CallEnded
	serverOf map[shed.Call]shed.ServerID
	load     map[shed.ServerID]int
	// nextPlacing draws the placer's answer: 0 nowhere, 1 a peer, 2 wait, otherwise a server
	// with free capacity.
	nextPlacing func() int
	script      []int
}

const worldCapacity = 2

func newWorld(disabled safeguards) *world {
	w := &world{oracle: newOracle(), now: start, serverOf: map[shed.Call]shed.ServerID{}, load: map[shed.ServerID]int{}}
	w.f = newFlow(w.place)
	w.f.disabled = disabled
	return w
}

// place returns a server with free capacity, by the load that the world has recorded.
func (w *world) place(req shed.PlaceRequest) shed.Placement {
	switch w.nextPlacing() {
	case 0:
		return shed.Placement{Kind: shed.PlaceNowhere, Reason: shed.ReasonZoneOut}
	case 1:
		return shed.Placement{Kind: shed.PlacePeer, Peer: "10.0.0.2:1"}
	case 2:
		return shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServersBusy}
	}
	open := 0
	for _, id := range []shed.ServerID{"s1", "s2"} {
		if slices.Contains(req.Avoid, id) {
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

// applyActions records a step's actions, as core would, and has the oracle check them.
func (w *world) applyActions(acts []shed.Action) {
	w.oracle.checkStep(w.now, acts)
	for _, a := range acts {
		switch a := a.(type) {
		case shed.StartCall:
			w.inFlight = append(w.inFlight, a.Call)
			w.serverOf[a.Call] = a.Server
			w.load[a.Server]++
			if w.load[a.Server] > worldCapacity {
				w.oracle.fault("%s got more calls than its capacity", a.Server)
			}
		case shed.ForwardStage:
			w.inFlight = append(w.inFlight, a.Request.Call)
		}
	}
}

func (w *world) handle(ev shed.Event) {
	w.applyActions(w.f.Handle(w.now, ev))
	for {
		acts := w.f.StartNext(w.now)
		w.applyActions(acts)
		if len(actionsOf[shed.StartCall](acts))+len(actionsOf[shed.ForwardStage](acts)) == 0 {
			return
		}
	}
}

func (w *world) sendRequest(*rapid.T) {
	p := rapid.SampledFrom([]shed.PipelineID{"draft", "publish"}).Draw(w.t, "pipeline")
	budget := time.Duration(rapid.IntRange(50, 3000).Draw(w.t, "budget")) * time.Millisecond
	w.next++
	a := newRequest(shed.RequestID(fmt.Sprintf("r%d", w.next)), p)
	a.Workspace = rapid.SampledFrom([]shed.WorkspaceID{"w1", "w2"}).Draw(w.t, "workspace")
	a.Deadline = w.now.Add(budget)
	a.Ticketed = rapid.Bool().Draw(w.t, "ticketed")
	w.oracle.addRequest(a, testRules().Pipelines[p])
	w.handle(a)
	if rapid.IntRange(0, 9).Draw(w.t, "twice") == 0 && w.oracle.requests[a.Request].finish == nil {
		w.handle(a)
	}
}

func (w *world) endRandomCall(*rapid.T) {
	if len(w.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "which")
	e := shed.CallEnded{
		Call:   w.inFlight[i],
		Server: w.serverOf[w.inFlight[i]],
		Reason: shed.ReasonBroken,
		Tokens: shed.Tokens(rapid.IntRange(0, 20).Draw(w.t, "tokens")),
	}
	e.End = shed.EndComplete
	if rapid.Bool().Draw(w.t, "fails") {
		e.End = shed.CallEnd(rapid.IntRange(int(shed.EndNotStarted), int(shed.EndCancelled)).Draw(w.t, "end"))
	}
	w.endCall(e)
}

func (w *world) endCall(e shed.CallEnded) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(c shed.Call) bool { return c == e.Call })
	w.pastEnds = append(w.pastEnds, e)
	if e.Server != "" {
		w.load[e.Server]--
	}
	w.oracle.recordEnd(e)
	w.handle(e)
}

// duplicateEnd delivers an end again, perhaps changed, or one of a call never sent.
func (w *world) duplicateEnd(*rapid.T) {
	if len(w.pastEnds) == 0 {
		return
	}
	e := rapid.SampledFrom(w.pastEnds).Draw(w.t, "old")
	e.End = rapid.SampledFrom([]shed.CallEnd{e.End, shed.EndComplete, shed.EndNotStarted}).Draw(w.t, "as")
	if rapid.IntRange(0, 3).Draw(w.t, "stranger") == 0 {
		e.Call.Attempt += 7
	}
	w.handle(e)
}

func (w *world) progress(*rapid.T) {
	if len(w.inFlight) > 0 {
		w.reportProgress(rapid.SampledFrom(w.inFlight).Draw(w.t, "which"))
	}
}

func (w *world) reportProgress(c shed.Call) {
	w.oracle.recordProgress(c)
	w.handle(shed.CallProgress{Call: c, Tokens: 5})
}

func (w *world) reportSilence(*rapid.T) {
	if len(w.inFlight) == 0 {
		return
	}
	c := rapid.SampledFrom(w.inFlight).Draw(w.t, "which")
	silent := time.Duration(rapid.IntRange(1, 3).Draw(w.t, "factor")) * DefaultIdleTimeout
	w.silence(c, silent)
}

func (w *world) dropCaller(*rapid.T) {
	if w.next == 0 {
		return
	}
	id := shed.RequestID(fmt.Sprintf("r%d", rapid.IntRange(1, w.next).Draw(w.t, "whose")))
	w.oracle.requests[id].callerGone = true
	w.handle(shed.CallerGone{Request: id})
}

// passTime advances the clock; a process that was paused ticks late.
func (w *world) passTime(*rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "ms")) * time.Millisecond)
	if rapid.IntRange(0, 3).Draw(w.t, "end first") == 0 {
		w.endRandomCall(nil)
	}
	w.handle(shed.Tick{Wall: w.now})
	w.oracle.checkBetweenSteps(w.now)
}

func (w *world) check(t *rapid.T) {
	if len(w.oracle.faults) > 0 {
		t.Fatalf("%v", w.oracle.faults)
	}
}

func stateMachine(disabled safeguards) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(disabled)
		w.t = t
		w.nextPlacing = func() int { return rapid.IntRange(0, 12).Draw(t, "placing") }
		t.Repeat(map[string]func(*rapid.T){
			"arrive":   w.sendRequest,
			"end":      w.endRandomCall,
			"end_more": w.endRandomCall,
			"repeat":   w.duplicateEnd,
			"progress": w.progress,
			"silent":   w.reportSilence,
			"gone":     w.dropCaller,
			"pass":     w.passTime,
			"":         w.check,
		})
		w.passAllDeadlines()
		w.check(t)
	}
}

// passAllDeadlines moves past all deadlines; every request must have its answer then.
func (w *world) passAllDeadlines() {
	w.now = w.now.Add(time.Minute)
	w.handle(shed.Tick{Wall: w.now})
	w.oracle.checkBetweenSteps(w.now)
	if w.f.Live() != 0 {
		w.oracle.fault("%d requests without an answer", w.f.Live())
	}
}

// Servers answer, fail, break and answer twice in any order while callers come and go and the
// process is paused. Each caller must get exactly one answer, and a true one: the oracle
// compares it with every call sent.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, stateMachine(safeguards{}))
}

// mutants disable one safeguard each.
func mutants() map[string]safeguards {
	return map[string]safeguards{
		"stale ends":     {staleEnds: true},
		"may repeat":     {mayRetry: true},
		"one finish":     {oneFinish: true},
		"check late":     {checkLate: true},
		"one start":      {oneStart: true},
		"outlive caller": {outliveCaller: true},
		"check deadline": {checkDeadline: true},
		"bound backoff":  {boundBackoff: true},
		"secure first":   {secureFirst: true},
	}
}

// recorder records the failure of a check that is expected to fail.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }

// Each safeguard is disabled in turn. The symptoms differ (a duplicated publication, a false
// "not run", two answers, an overloaded server), but the oracle must detect each of them, or
// its passing above would prove nothing.
func TestOracleCatchesEachSafeguardOff(t *testing.T) {
	settings := map[string]string{"rapid.shrinktime": "0s", "rapid.nofailfile": "true"}
	for name, value := range settings {
		previous := flag.Lookup(name).Value.String()
		require.NoError(t, flag.Set(name, value))
		defer func() { _ = flag.Set(name, previous) }()
	}
	for name, disabled := range mutants() {
		t.Run(name, func(t *testing.T) {
			r := &recorder{TB: t}
			rapid.Check(r, stateMachine(disabled))
			require.True(t, r.failed, "the oracle found no fault")
		})
	}
}
