package flow

import (
	"fmt"
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

// elsewherePeer places calls on s1, and on a peer if s1 is avoided.
func elsewherePeer(req shed.PlaceRequest) shed.Placement {
	if slices.Contains(req.Avoid, "s1") {
		return shed.Placement{Kind: shed.PlacePeer, Peer: "10.0.0.2:1"}
	}
	return placeOn("s1")(req)
}

// startedCalls returns the calls that the actions start, here or at a peer.
func startedCalls(acts []shed.Action) []shed.Call {
	var calls []shed.Call
	for _, a := range actionsOf[shed.StartCall](acts) {
		calls = append(calls, a.Call)
	}
	for _, a := range actionsOf[shed.ForwardStage](acts) {
		calls = append(calls, a.Request.Call)
	}
	return calls
}

// Guards against a sound silent call that is lost to a replacement that fails: with an empty retry
// budget, its result must still answer the request.
func TestRefusedReplacementLosesNoSilentCall(t *testing.T) {
	places := map[string]func(shed.PlaceRequest) shed.Placement{
		"local": elsewhere,
		"peer":  elsewherePeer,
	}
	ends := []shed.CallEnd{shed.EndOverloaded, shed.EndBroken, shed.EndError, shed.EndNotStarted}
	for name, place := range places {
		for _, end := range ends {
			t.Run(name+"/"+end.String(), func(t *testing.T) {
				f := newFlow(place)
				f.cfg.Budget.Set(noRefill)
				silent := startGenerate(t, f)
				now := start.Add(DefaultIdleTimeout)
				acts := slices.Clone(f.Handle(now, silenceEvent(silent, DefaultIdleTimeout)))
				next := startedCalls(acts)
				require.Len(t, next, 1, "the replacement")
				spendBudget(f, now)

				now = now.Add(50 * time.Millisecond)
				acts = append(acts, f.Handle(now, shed.CallEnded{
					Call: next[0], End: end, Reason: shed.ReasonBroken, Server: "s2", Zone: "a",
				})...)
				for done := now.Add(100 * time.Millisecond); now.Before(done); {
					now = now.Add(shed.TickEvery)
					acts = append(acts, f.Handle(now, shed.Tick{})...)
					acts = append(acts, f.StartNext(now)...)
				}
				require.Empty(t, actionsOf[shed.Finish](acts), "the request ends while its call goes on")
				for _, c := range actionsOf[shed.CancelCall](acts) {
					require.NotEqual(t, silent.Call, c.Call, "the silent call is cancelled for %s", c.Reason)
				}

				acts = f.Handle(now, callEnd(silent.Call, shed.EndComplete, 9))
				require.Equal(t, []shed.StageDone{{Call: silent.Call}}, actionsOf[shed.StageDone](acts))
				fin := actionsOf[shed.Finish](acts)
				require.Len(t, fin, 1)
				require.Equal(t, shed.OutcomeComplete, fin[0].Outcome)
			})
		}
	}
}

// Guards against two calls of one stage that both go on, and against a request without any: if the
// silent call goes on, its replacement is cancelled; if it fails, the replacement stays.
func TestSilentCallDecidesBeforeItsReplacement(t *testing.T) {
	f := newFlow(elsewhere)
	f.cfg.Budget.Set(noRefill)
	silent := startGenerate(t, f)
	now := start.Add(DefaultIdleTimeout)
	next := startedCalls(f.Handle(now, silenceEvent(silent, DefaultIdleTimeout)))
	require.Len(t, next, 1)
	require.Equal(t, []shed.Action{shed.CancelCall{Call: next[0], Reason: shed.ReasonStaleAttempt}},
		f.Handle(now, shed.CallProgress{Call: silent.Call, Tokens: 5, Server: "s1", Zone: "a"}))
	require.Empty(t, f.Handle(now, callEnd(next[0], shed.EndCancelled, 0)))

	now = now.Add(DefaultIdleTimeout)
	next = startedCalls(f.Handle(now, silenceEvent(silent, DefaultIdleTimeout)))
	require.Len(t, next, 1)
	spendBudget(f, now)
	require.Empty(t, withoutNotes(f.Handle(now, callEnd(silent.Call, shed.EndBroken, 5))))
	fin := actionsOf[shed.Finish](f.Handle(now, callEnd(next[0], shed.EndComplete, 9)))
	require.Len(t, fin, 1)
	require.Equal(t, shed.OutcomeComplete, fin[0].Outcome)
}

// Guards against the cost of a kept stream that is taken for waste: when it breaks after its
// replacement has failed and is resumed, only the replacement was in vain.
func TestKeptStreamIsResumed(t *testing.T) {
	f := newFlow(elsewhere)
	silent := startGenerate(t, f)
	now := start.Add(DefaultIdleTimeout)
	next := startedCalls(f.Handle(now, silenceEvent(silent, DefaultIdleTimeout)))
	require.Len(t, next, 1)
	require.Empty(t, withoutNotes(f.Handle(now, shed.CallEnded{Call: next[0], End: shed.EndOverloaded, Server: "s2"})))
	now = now.Add(time.Second)
	resumed := actionsOf[shed.StartCall](f.Handle(now, callEnd(silent.Call, shed.EndBroken, 40)))
	require.Len(t, resumed, 1)
	require.Equal(t, silent.Call, resumed[0].Resumes)
	fin := actionsOf[shed.Finish](f.Handle(now.Add(time.Second), callEnd(resumed[0].Call, shed.EndComplete, 90)))
	require.Len(t, fin, 1)
	require.Zero(t, fin[0].Stages[1].Wasted)
}

// firstNotAvoided places calls on the first server that is not avoided.
func firstNotAvoided(ids ...shed.ServerID) func(shed.PlaceRequest) shed.Placement {
	return func(req shed.PlaceRequest) shed.Placement {
		for _, id := range ids {
			if !slices.Contains(req.Avoid, id) {
				return placeOn(id)(req)
			}
		}
		return shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServersBusy}
	}
}

// silentChain returns a flow with n calls of one stage in flight. Each is silent, and the next one
// replaces it, except for the last one, which hasn't been accepted yet. now is when that started.
func silentChain(t *testing.T, n int) (f *Flow, calls []shed.Call, now time.Time) {
	f = newFlow(firstNotAvoided("s1", "s2", "s3", "s4", "s5", "s6"))
	last, now := startGenerate(t, f), start
	calls = []shed.Call{last.Call}
	for len(calls) < n {
		now = now.Add(DefaultIdleTimeout / 2)
		acts := f.Handle(now, silenceEvent(last, DefaultIdleTimeout))
		require.Empty(t, actionsOf[shed.CancelCall](acts), "no replacement is accepted yet")
		next := actionsOf[shed.StartCall](acts)
		require.Len(t, next, 1)
		last = next[0]
		calls = append(calls, last.Call)
	}
	return f, calls, now
}

// Guards against the loss of the oldest of three silent calls, which is as likely to go on as the
// others: the first one that makes progress or completes ends the other two.
func TestFirstOfThreeSilentCallsStays(t *testing.T) {
	for i, want := range [][]shed.CancelCall{
		{{Call: shed.Call{Attempt: 3}, Reason: shed.ReasonStaleAttempt}, {Call: shed.Call{Attempt: 2}, Reason: shed.ReasonStaleAttempt}},
		{{Call: shed.Call{Attempt: 3}, Reason: shed.ReasonStaleAttempt}, {Call: shed.Call{Attempt: 1}, Reason: shed.ReasonSilent}},
		{{Call: shed.Call{Attempt: 1}, Reason: shed.ReasonSilent}, {Call: shed.Call{Attempt: 2}, Reason: shed.ReasonSilent}},
	} {
		for k := range want {
			want[k].Call.Request, want[k].Call.Stage = "r", 1
		}
		t.Run(fmt.Sprintf("progress of %d", i+1), func(t *testing.T) {
			f, calls, now := silentChain(t, 3)
			acts := f.Handle(now, shed.CallProgress{Call: calls[i], Tokens: 5, Zone: "a"})
			require.Equal(t, want, actionsOf[shed.CancelCall](acts))
			for _, c := range want {
				require.Empty(t, f.Handle(now, callEnd(c.Call, shed.EndBroken, 0)), "a late end")
			}
			fin := actionsOf[shed.Finish](f.Handle(now, callEnd(calls[i], shed.EndComplete, 9)))
			require.Len(t, fin, 1)
			require.Equal(t, shed.OutcomeComplete, fin[0].Outcome)
		})
		t.Run(fmt.Sprintf("result of %d", i+1), func(t *testing.T) {
			f, calls, now := silentChain(t, 3)
			acts := f.Handle(now, callEnd(calls[i], shed.EndComplete, 9))
			require.Equal(t, want, actionsOf[shed.CancelCall](acts))
			require.Equal(t, []shed.StageDone{{Call: calls[i]}}, actionsOf[shed.StageDone](acts))
		})
	}
}

// Guards against a request that ends because two of its three silent calls fail, in any order, with
// the retry budget spent: the result of the third must still answer it.
func TestLastOfThreeSilentCallsAnswers(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			f, calls, now := silentChain(t, 3)
			f.cfg.Budget.Set(noRefill)
			spendBudget(f, now)
			for _, i := range order[:2] {
				require.Empty(t, withoutNotes(f.Handle(now, callEnd(calls[i], shed.EndBroken, 0))))
				now = now.Add(shed.TickEvery)
				require.Empty(t, f.Handle(now, shed.Tick{}))
			}
			fin := actionsOf[shed.Finish](f.Handle(now, callEnd(calls[order[2]], shed.EndComplete, 9)))
			require.Len(t, fin, 1)
			require.Equal(t, shed.OutcomeComplete, fin[0].Outcome)
		})
	}
}

// Guards against a request that sends ever more calls while all its servers are silent, and against
// calls that go on after its end.
func TestSilentCallsAreBounded(t *testing.T) {
	f, calls, now := silentChain(t, DefaultMaxAttempts)
	last := shed.StartCall{Call: calls[len(calls)-1], Server: "s4"}
	for range 3 {
		now = now.Add(shed.SilenceEvery)
		require.Empty(t, withoutNotes(f.Handle(now, silenceEvent(last, DefaultIdleTimeout))))
	}
	acts := f.Handle(start.Add(6*time.Second), shed.Tick{})
	var cancelled []shed.Call
	for _, c := range actionsOf[shed.CancelCall](acts) {
		require.Equal(t, shed.ReasonDeadline, c.Reason)
		cancelled = append(cancelled, c.Call)
	}
	require.Equal(t, calls, cancelled)
	require.Len(t, actionsOf[shed.Finish](acts), 1)
}

// Guards against a further replacement at a server that has failed the stage while an older call was
// silent.
func TestSilentCallAvoidsFailedReplacements(t *testing.T) {
	f, calls, now := silentChain(t, 3)
	for i, id := range []shed.ServerID{"s3", "s2"} {
		e := callEnd(calls[2-i], shed.EndBroken, 0)
		e.Server = id
		require.Empty(t, withoutNotes(f.Handle(now, e)))
	}
	next := actionsOf[shed.StartCall](f.Handle(now, silenceEvent(shed.StartCall{Call: calls[0], Server: "s1"}, DefaultIdleTimeout)))
	require.Len(t, next, 1)
	require.Equal(t, shed.ServerID("s4"), next[0].Server)
}

// startOnEach starts requests in turn on the servers, n on each, and returns their calls.
func startOnEach(t *testing.T, place *func(shed.PlaceRequest) shed.Placement, f *Flow, n int, ids ...shed.ServerID) []shed.StartCall {
	var calls []shed.StartCall
	for i := range n * len(ids) {
		*place = placeOn(ids[i%len(ids)])
		acts := f.Handle(start, newRequest(shed.RequestID(fmt.Sprintf("r%02d", i)), "draft"))
		calls = append(calls, actionsOf[shed.StartCall](acts)...)
	}
	require.Len(t, calls, n*len(ids))
	return calls
}

// replacements reports all calls as silent and returns where the replacements start.
func replacements(f *Flow, now time.Time, calls []shed.StartCall) []shed.ServerID {
	var on []shed.ServerID
	for _, c := range calls {
		for _, a := range actionsOf[shed.StartCall](f.Handle(now, silenceEvent(c, DefaultIdleTimeout))) {
			on = append(on, a.Server)
		}
	}
	return on
}

// Guards against a pool whose servers are all silent and in which each request sends a second call
// to another silent server: it uses up the retry budget and helps nobody.
func TestSilentPoolGetsNoReplacements(t *testing.T) {
	var place func(shed.PlaceRequest) shed.Placement
	f := newFlow(func(req shed.PlaceRequest) shed.Placement { return place(req) })
	f.cfg.Budget.Set(noRefill)
	calls := startOnEach(t, &place, f, 5, "s1", "s2")
	place = firstNotAvoided("s1", "s2")
	now := start.Add(DefaultIdleTimeout)
	before := f.cfg.Budget.Remaining(now)
	// The silence of s2 isn't known yet at the first report.
	require.Equal(t, []shed.ServerID{"s2"}, replacements(f, now, calls))
	now = now.Add(shed.SilenceEvery)
	require.Empty(t, replacements(f, now, calls[1:]))
	require.Equal(t, before-1, f.cfg.Budget.Remaining(now))
}

// Guards against silence that outlasts its cause: a server that sends anything again, or of which
// nothing has been reported for a while, gets replacements again, and so does one of the pool that
// isn't silent.
func TestSoundServerOfSilentPoolGetsReplacements(t *testing.T) {
	cases := map[string]struct {
		others []shed.ServerID
		event  func(calls []shed.StartCall) shed.Event
		wait   time.Duration
		want   shed.ServerID
	}{
		"third server": {[]shed.ServerID{"s1", "s2", "s3"}, nil, 0, "s3"},
		"progress": {[]shed.ServerID{"s1", "s2"}, func(calls []shed.StartCall) shed.Event {
			return shed.CallProgress{Call: calls[1].Call, Tokens: 3, Server: "s2", Zone: "a"}
		}, 0, "s2"},
		"result": {[]shed.ServerID{"s1", "s2"}, func(calls []shed.StartCall) shed.Event {
			e := callEnd(calls[1].Call, shed.EndComplete, 0)
			e.Server = "s2"
			return e
		}, 0, "s2"},
		"no further report": {[]shed.ServerID{"s1", "s2"}, nil, silenceValid + time.Millisecond, "s2"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var place func(shed.PlaceRequest) shed.Placement
			f := newFlow(func(req shed.PlaceRequest) shed.Placement { return place(req) })
			calls := startOnEach(t, &place, f, 2, "s1", "s2")
			// No report is answered by a replacement while all servers are full.
			place = func(shed.PlaceRequest) shed.Placement {
				return shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServersBusy}
			}
			now := start.Add(DefaultIdleTimeout)
			require.Empty(t, replacements(f, now, calls))
			if c.event != nil {
				// A completed call starts its next stage, which must not wait in the queue here.
				place = placeOn("s2")
				f.Handle(now, c.event(calls))
			}
			place = firstNotAvoided(c.others...)
			now = now.Add(c.wait)
			require.Equal(t, []shed.ServerID{c.want}, replacements(f, now, calls[2:3]))
		})
	}
}
