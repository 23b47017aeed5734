package flow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

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
