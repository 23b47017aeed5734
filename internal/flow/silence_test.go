package flow

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/retry"

	shed "jasmineshed"
)

// silenceEvent is what the driver reports of a call for which nothing has arrived for d.
func silenceEvent(c shed.StartCall, d time.Duration) shed.Event {
	return shed.CallSilent{Call: c.Call, For: d, Server: c.Server, Zone: "a"}
}

// silentTicks runs the flow while the server of the call is silent, and returns the actions until
// the end of the silence or the first action.
func silentTicks(f *Flow, c shed.StartCall, from time.Time, silence time.Duration) []shed.Action {
	for d := shed.TickEvery; d <= silence; d += shed.TickEvery {
		acts := f.Handle(from.Add(d), shed.Tick{})
		if d >= DefaultIdleTimeout && d%(5*shed.TickEvery) == 0 {
			acts = append(acts, withoutNotes(f.Handle(from.Add(d), silenceEvent(c, d)))...)
		}
		if len(acts) > 0 {
			return acts
		}
	}
	return nil
}

func withoutNotes(acts []shed.Action) []shed.Action {
	return slices.DeleteFunc(acts, func(a shed.Action) bool {
		_, note := a.(shed.Note)
		return note
	})
}

// noRefill is a budget that refills too slowly to matter.
var noRefill = retry.Config{Share: 1e-9, Floor: 1e-9}

func spendBudget(f *Flow, now time.Time) {
	for f.cfg.Budget.Take(now) {
	}
}

// elsewhere places calls on s1, and on s2 if s1 is avoided.
func elsewhere(req shed.PlaceRequest) shed.Placement {
	if slices.Contains(req.Avoid, "s1") {
		return placeOn("s2")(req)
	}
	return placeOn("s1")(req)
}

func waitElsewhere(req shed.PlaceRequest) shed.Placement {
	if slices.Contains(req.Avoid, "s1") {
		return shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServersBusy}
	}
	return placeOn("s1")(req)
}

// Guards against a request that ends, or gives up its server, while the server is only silent and
// something that the replacement needs is missing: the retry budget, another server, a further
// send, or the right to run twice. When the server goes on, the request must go on too.
func TestSilentCallIsKeptWithoutReplacement(t *testing.T) {
	cases := map[string]struct {
		pipeline shed.PipelineID
		place    func(shed.PlaceRequest) shed.Placement
		prepare  func(f *Flow)
	}{
		"budget spent":          {"draft", elsewhere, func(f *Flow) { f.cfg.Budget.Set(noRefill); spendBudget(f, start) }},
		"others full":           {"draft", waitElsewhere, nil},
		"no further send":       {"draft", elsewhere, func(f *Flow) { f.cfg.MaxAttempts = 1 }},
		"must run at most once": {"publish", elsewhere, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFlow(c.place)
			acts := f.Handle(start, newRequest("r", c.pipeline))
			acts = f.Handle(start, callEnd(actionsOf[shed.StartCall](acts)[0].Call, shed.EndComplete, 0))
			call := actionsOf[shed.StartCall](acts)[0]
			if c.prepare != nil {
				c.prepare(f)
			}
			const silence = 3500 * time.Millisecond
			require.Empty(t, silentTicks(f, call, start, silence))
			acts = f.Handle(start.Add(silence), callEnd(call.Call, shed.EndComplete, 4))
			require.Len(t, actionsOf[shed.StageDone](acts), 1)
		})
	}
}

// Guards against a dead server that is not left: with a replacement at hand, the first report of
// silence must start it, at another server, and its acceptance must cancel the silent call.
func TestSilentCallIsReplaced(t *testing.T) {
	f := newFlow(elsewhere)
	call := startGenerate(t, f)
	before := f.cfg.Budget.Remaining(start.Add(DefaultIdleTimeout))
	acts := silentTicks(f, call, start, 3*time.Second)
	require.Empty(t, actionsOf[shed.CancelCall](acts), "the replacement may still be refused")
	next := actionsOf[shed.StartCall](acts)
	require.Len(t, next, 1)
	require.Equal(t, shed.ServerID("s2"), next[0].Server)
	require.Equal(t, uint16(2), next[0].Call.Attempt)
	require.Equal(t, before-1, f.cfg.Budget.Remaining(start.Add(DefaultIdleTimeout)))
	now := start.Add(DefaultIdleTimeout)
	require.Equal(t, []shed.Action{shed.CancelCall{Call: call.Call, Reason: shed.ReasonSilent}},
		f.Handle(now, shed.CallProgress{Call: next[0].Call, Server: "s2", Zone: "a"}))
	// The end of the replaced call arrives late and must change nothing.
	require.Empty(t, actionsOf[shed.Finish](f.Handle(now, callEnd(call.Call, shed.EndBroken, 0))))
	fin := actionsOf[shed.Finish](f.Handle(now.Add(time.Second), callEnd(next[0].Call, shed.EndComplete, 9)))[0]
	require.Equal(t, shed.OutcomeComplete, fin.Outcome)
	require.Positive(t, fin.Stages[1].Wasted)
}

// Guards against silence that is decided only once: a replacement that is missing at the first
// report and granted later must still be taken, and a request without one must not use up the
// retry budget of the others by asking.
func TestSilentCallAsksAgain(t *testing.T) {
	free := false
	f := newFlow(func(req shed.PlaceRequest) shed.Placement {
		if free {
			return elsewhere(req)
		}
		return waitElsewhere(req)
	})
	f.cfg.Budget.Set(noRefill)
	call := startGenerate(t, f)
	before := f.cfg.Budget.Remaining(start)
	for d := DefaultIdleTimeout; d < 2*DefaultIdleTimeout; d += shed.SilenceEvery {
		require.Empty(t, withoutNotes(f.Handle(start.Add(d), silenceEvent(call, d))))
	}
	require.Equal(t, before, f.cfg.Budget.Remaining(start))
	free = true
	at := DefaultIdleTimeout + shed.SilenceEvery
	require.Len(t, actionsOf[shed.StartCall](f.Handle(start.Add(at), silenceEvent(call, at))), 1)
}

// Guards against a call that is given up for one that can't be done in time any more.
func TestSilentCallIsKeptNearTheDeadline(t *testing.T) {
	f := newFlow(elsewhere)
	call := startGenerate(t, f)
	at := 6*time.Second - 100*time.Millisecond
	require.Empty(t, withoutNotes(f.Handle(start.Add(at), silenceEvent(call, at))))
	require.Len(t, actionsOf[shed.StartCall](f.Handle(start.Add(at-time.Millisecond), silenceEvent(call, at))), 1)
}

// Guards against a lost connection to the only server: once the call is silent for long, the
// server, which still has free capacity, gets it again.
func TestOnlyServerGetsTheSilentCallAgain(t *testing.T) {
	f := newFlow(waitElsewhere)
	call := startGenerate(t, f)
	for d := DefaultIdleTimeout; d < 2*DefaultIdleTimeout; d += shed.SilenceEvery {
		require.Empty(t, withoutNotes(f.Handle(start.Add(d), silenceEvent(call, d))))
	}
	d := 2 * DefaultIdleTimeout
	next := actionsOf[shed.StartCall](f.Handle(start.Add(d), silenceEvent(call, d)))
	require.Len(t, next, 1)
	require.Equal(t, call.Server, next[0].Server)
}

// queuedSilentCall returns a flow with a silent call on s1 that is queued behind another request,
// since all servers are full. free makes room for one more call.
func queuedSilentCall(t *testing.T) (f *Flow, call shed.StartCall, free func(func(shed.PlaceRequest) shed.Placement)) {
	place := elsewhere
	f = newFlow(func(req shed.PlaceRequest) shed.Placement { return place(req) })
	call = startGenerate(t, f)
	full := func(shed.PlaceRequest) shed.Placement {
		return shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServersBusy}
	}
	place = full
	f.Handle(start, newRequest("waiting", "draft"))
	for d := DefaultIdleTimeout; d < DefaultIdleTimeout+2*shed.SilenceEvery; d += shed.SilenceEvery {
		require.Empty(t, withoutNotes(f.Handle(start.Add(d), silenceEvent(call, d))))
		require.Empty(t, f.StartNext(start.Add(d)))
	}
	return f, call, func(next func(shed.PlaceRequest) shed.Placement) {
		place = func(req shed.PlaceRequest) shed.Placement {
			p := next(req)
			if p.Kind == shed.PlaceLocal {
				place = full
			}
			return p
		}
	}
}

// Guards against a silent call that overtakes requests that wait for the same servers, and against
// one that never gets a server because others wait all the time: it takes its turn in the queue.
func TestSilentCallQueuesForItsReplacement(t *testing.T) {
	f, call, free := queuedSilentCall(t)
	now := start.Add(DefaultIdleTimeout + shed.SilenceEvery)
	free(elsewhere)
	first := actionsOf[shed.StartCall](f.StartNext(now))
	require.Len(t, first, 1)
	require.Equal(t, shed.RequestID("waiting"), first[0].Call.Request)
	require.Empty(t, f.StartNext(now))
	free(elsewhere)
	acts := f.StartNext(now)
	require.Empty(t, actionsOf[shed.CancelCall](acts), "the replacement may still be refused")
	next := actionsOf[shed.StartCall](acts)
	require.Equal(t, shed.ServerID("s2"), next[0].Server)
	require.Equal(t, []shed.Action{shed.CancelCall{Call: call.Call, Reason: shed.ReasonSilent}},
		f.Handle(now, shed.CallProgress{Call: next[0].Call, Server: "s2", Zone: "a"}))
}

// Guards against a call that is replaced from the queue although it went on or has ended meanwhile.
func TestQueuedSilentCallGoesOn(t *testing.T) {
	cases := map[string]struct {
		event shed.Event
		wait  time.Duration
	}{
		"progress":          {shed.CallProgress{Call: shed.Call{Request: "r", Stage: 1, Attempt: 1}, Tokens: 3}, 0},
		"no further report": {nil, silenceValid + time.Millisecond},
		"complete":          {callEnd(shed.Call{Request: "r", Stage: 1, Attempt: 1}, shed.EndComplete, 3), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, call, free := queuedSilentCall(t)
			now := start.Add(DefaultIdleTimeout + shed.SilenceEvery)
			if c.event != nil {
				f.Handle(now, c.event)
			}
			for range 3 {
				free(elsewhere)
				acts := f.StartNext(now.Add(c.wait))
				require.Empty(t, actionsOf[shed.CancelCall](acts))
				for _, a := range actionsOf[shed.StartCall](acts) {
					require.NotEqual(t, call.Call.Request, a.Call.Request)
				}
			}
			require.Zero(t, f.cfg.Admit.Queued())
		})
	}
}

// Guards against a queued silent request that holds up others, which could use the server that it
// avoids.
func TestQueuedSilentCallHoldsUpNobody(t *testing.T) {
	f, _, free := queuedSilentCall(t)
	now := start.Add(DefaultIdleTimeout + shed.SilenceEvery)
	free(waitElsewhere)
	require.Len(t, actionsOf[shed.StartCall](f.StartNext(now)), 1, "the first waiting request")
	f.Handle(now, newRequest("last", "draft"))
	free(waitElsewhere)
	started := actionsOf[shed.StartCall](f.StartNext(now))
	require.Len(t, started, 1)
	require.Equal(t, shed.RequestID("last"), started[0].Call.Request)
}

// Guards against a silent server that leaves no trace while its call is kept, and against one that
// floods the notes: each silent call is noted once.
func TestSilentCallIsNotedOnce(t *testing.T) {
	f := newFlow(waitElsewhere)
	call := startGenerate(t, f)
	var notes []shed.Note
	for d := DefaultIdleTimeout; d < 2*DefaultIdleTimeout; d += shed.SilenceEvery {
		notes = append(notes, actionsOf[shed.Note](f.Handle(start.Add(d), silenceEvent(call, d)))...)
	}
	require.Equal(t, []shed.Note{{Reason: shed.ReasonSilent, Request: "r", Server: "s1", Zone: "a"}}, notes)
}

// Guards against a request that stays in the queue of a stage that it has completed: it would wait
// for the servers of its next stage there, and hold up those that wait for the others.
func TestCompletedSilentCallLeavesItsQueue(t *testing.T) {
	full := map[shed.PoolID]bool{}
	f := newFlow(func(req shed.PlaceRequest) shed.Placement {
		if full[req.Stage.Pool] {
			return shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServersBusy}
		}
		return elsewhere(req)
	})
	rules := testRules()
	rules.Pipelines["draft"].Stages[1].Pool = "q"
	f.SetRules(rules)
	call := actionsOf[shed.StartCall](f.Handle(start, newRequest("r", "draft")))[0]
	full["p"], full["q"] = true, true
	f.Handle(start, newRequest("before", "draft"))
	now := start.Add(DefaultIdleTimeout)
	f.Handle(now, silenceEvent(call, DefaultIdleTimeout))
	f.Handle(now, newRequest("s-behind", "draft"))
	f.Handle(now, callEnd(call.Call, shed.EndComplete, 0))
	full["p"] = false
	for _, want := range []shed.RequestID{"before", "s-behind"} {
		started := actionsOf[shed.StartCall](f.StartNext(now))
		require.Len(t, started, 1)
		require.Equal(t, want, started[0].Call.Request)
	}
	full["q"] = false
	started := actionsOf[shed.StartCall](f.StartNext(now))
	require.Len(t, started, 1)
	require.Equal(t, shed.Call{Request: "r", Stage: 1, Attempt: 1}, started[0].Call)
}
