package flow

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/admit"
	"jasmineshed/internal/cost"

	shed "jasmineshed"
)

func readFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	require.NoError(t, err)
	return string(text)
}

func callEnd(c shed.Call, end shed.CallEnd, tokens shed.Tokens) shed.CallEnded {
	return shed.CallEnded{Call: c, End: end, Server: "s1", Zone: "a", Tokens: tokens, Reason: shed.ReasonBroken}
}

// startGenerate runs a draft up to its generate stage and returns the call of that stage.
func startGenerate(t *testing.T, f *Flow) shed.StartCall {
	t.Helper()
	acts := f.Handle(start, newRequest("r", "draft"))
	acts = f.Handle(start, callEnd(actionsOf[shed.StartCall](acts)[0].Call, shed.EndComplete, 0))
	return actionsOf[shed.StartCall](acts)[0]
}

// The connection to the engine breaks after 40 tokens. The stream is resumed where it stopped,
// on the server that holds it. All of the work counts as useful, since none was done twice.
func TestStreamIsResumed(t *testing.T) {
	f := newFlow(placeOn("s1"))
	first := startGenerate(t, f)
	now := start.Add(time.Second)
	acts := f.Handle(now, callEnd(first.Call, shed.EndBroken, 40))
	next := actionsOf[shed.StartCall](acts)
	require.Len(t, next, 1)
	require.Equal(t, first.Call, next[0].Resumes)
	require.Equal(t, shed.Tokens(40), next[0].ResumeFrom)
	require.Equal(t, uint16(2), next[0].Call.Attempt)
	now = now.Add(time.Second)
	fin := actionsOf[shed.Finish](f.Handle(now, callEnd(next[0].Call, shed.EndComplete, 90)))[0]
	require.Equal(t, shed.OutcomeComplete, fin.Outcome)
	require.Equal(t, cost.Of(2*time.Second, 4), fin.Stages[1].Useful)
	require.Zero(t, fin.Stages[1].Wasted)
}

// The engine lost the stream, or its server is leaving by now: the draft runs again from its
// start, elsewhere, and the first part was wasted.
func TestStreamThatCannotBeResumedRunsAgain(t *testing.T) {
	cases := map[string]func(*testing.T, *Flow, shed.Call) []shed.Action{
		"server leaves": func(_ *testing.T, f *Flow, c shed.Call) []shed.Action {
			rules := testRules()
			rules.Servers["s1"].Leaving = true
			f.SetRules(rules)
			return f.Handle(start, callEnd(c, shed.EndBroken, 40))
		},
		"no progress": func(_ *testing.T, f *Flow, c shed.Call) []shed.Action {
			return f.Handle(start, callEnd(c, shed.EndBroken, 0))
		},
		"stream gone": func(t *testing.T, f *Flow, c shed.Call) []shed.Action {
			resumed := actionsOf[shed.StartCall](f.Handle(start, callEnd(c, shed.EndBroken, 40)))
			require.Equal(t, shed.Tokens(40), resumed[0].ResumeFrom)
			return f.Handle(start, callEnd(resumed[0].Call, shed.EndBroken, 40))
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFlow(placeOn("s1"))
			acts := run(t, f, startGenerate(t, f).Call)
			again := actionsOf[shed.StartCall](acts)
			require.Len(t, again, 1)
			require.Zero(t, again[0].ResumeFrom)
		})
	}
}

// The caller of a publication disconnects while it runs. Cancelling would leave it unknown
// whether it was published, also for the caller's own retry. So it continues, and the retry
// gets the complete answer.
func TestPublicationOutlivesItsCaller(t *testing.T) {
	f := newFlow(placeOn("s1"))
	acts := f.Handle(start, newRequest("r", "publish"))
	acts = f.Handle(start, callEnd(actionsOf[shed.StartCall](acts)[0].Call, shed.EndComplete, 0))
	publish := actionsOf[shed.StartCall](acts)[0]
	require.Empty(t, f.Handle(start, shed.CallerGone{Request: "r"}))
	acts = f.Handle(start, callEnd(publish.Call, shed.EndComplete, 0))
	acts = f.Handle(start, callEnd(actionsOf[shed.StartCall](acts)[0].Call, shed.EndComplete, 0))
	require.Equal(t, shed.OutcomeComplete, actionsOf[shed.Finish](acts)[0].Outcome)
}

// The caller's connection stalls before anything was published, and the caller retries with the
// same ticket. If the end of the first connection cancelled the request, the ticket would be
// used up and the caller would only get the answer "cancelled".
func TestTicketedRequestWaitsForItsCallersReturn(t *testing.T) {
	f := newFlow(placeOn("s1"))
	a := newRequest("r", "publish")
	a.Ticketed = true
	acts := f.Handle(start, a)
	require.Empty(t, f.Handle(start, shed.CallerGone{Request: "r"}))
	for range 3 {
		acts = f.Handle(start, callEnd(actionsOf[shed.StartCall](acts)[0].Call, shed.EndComplete, 0))
	}
	require.Equal(t, shed.OutcomeComplete, actionsOf[shed.Finish](acts)[0].Outcome)
}

// The connection breaks while the publication runs. The outcome is reported as unknown at once:
// waiting could not tell more, and a retry could publish twice.
func TestBrokenPublicationIsUnknown(t *testing.T) {
	f := newFlow(placeOn("s1"))
	acts := f.Handle(start, newRequest("r", "publish"))
	acts = f.Handle(start, callEnd(actionsOf[shed.StartCall](acts)[0].Call, shed.EndComplete, 0))
	acts = f.Handle(start, callEnd(actionsOf[shed.StartCall](acts)[0].Call, shed.EndBroken, 0))
	fin := actionsOf[shed.Finish](acts)[0]
	require.Equal(t, shed.OutcomeUnknown, fin.Outcome)
	require.Equal(t, []bool{true, true, false}, []bool{fin.Stages[0].Ran, fin.Stages[1].Ran, fin.Stages[2].Ran})
}

// Every server fails. The first few requests are retried, then the budget is used up and each
// costs one call only: without the budget the failing servers would get four times the load.
func TestRetriesEndWithTheBudget(t *testing.T) {
	f := newFlow(placeOn("s1"))
	calls := 0
	const requests = 200
	for i := range requests {
		id := shed.RequestID(rune('a' + i))
		acts := f.Handle(start, newRequest(id, "draft"))
		for len(actionsOf[shed.StartCall](acts)) > 0 {
			calls++
			acts = f.Handle(start, callEnd(actionsOf[shed.StartCall](acts)[0].Call, shed.EndError, 0))
		}
	}
	require.Zero(t, f.Live())
	require.LessOrEqual(t, calls, requests+20)
}

// Requests wait for a full server. Those whose time runs out while they wait must be answered
// "not run" at once, not when the server has free capacity again.
func TestWaitingEndsWhenHopeless(t *testing.T) {
	f := newFlow(func(shed.PlaceRequest) shed.Placement {
		return shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServerCold}
	})
	require.Empty(t, f.Handle(start, newRequest("r", "draft")))
	latest := start.Add(6*time.Second - 110*time.Millisecond)
	require.Empty(t, f.Handle(latest.Add(-1), shed.Tick{}))
	fin := actionsOf[shed.Finish](f.Handle(latest, shed.Tick{}))[0]
	require.Equal(t, shed.OutcomeNotRun, fin.Outcome)
	require.Equal(t, shed.ReasonServerCold, fin.Reason)
	require.Positive(t, fin.RetryAfter)
}

// A draft failed on s2, and s1 is full. It waits for s1, but the next caller's
// draft goes to s2 at once and does not wait behind it.
func TestOneThatAvoidsAServerHoldsUpNobody(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		f := newFlow(func(request shed.PlaceRequest) shed.Placement {
			if len(request.Avoid) > 0 {
				return shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServersBusy}
			}
			return placeOn("s2")(request)
		})
		f.disabled.skipQueue = disabled
		first := actionsOf[shed.StartCall](f.Handle(start, newRequest("first", "draft")))[0]
		failed := callEnd(first.Call, shed.EndOverloaded, 0)
		failed.Server = "s2"
		require.Empty(t, actionsOf[shed.StartCall](f.Handle(start, failed)))
		acts := f.Handle(start, newRequest("second", "draft"))
		require.Equal(t, !disabled, len(actionsOf[shed.StartCall](acts)) == 1, "safeguard off: %v", disabled)
	}
}

// The only other server stays full. The draft must not avoid the server that failed it until
// its deadline: after a while any server is better than none.
func TestAvoidingEndsWhereNothingElseFrees(t *testing.T) {
	f := newFlow(func(request shed.PlaceRequest) shed.Placement {
		if len(request.Avoid) > 0 {
			return shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServersBusy}
		}
		return placeOn("s2")(request)
	})
	failed := callEnd(actionsOf[shed.StartCall](f.Handle(start, newRequest("r", "draft")))[0].Call, shed.EndOverloaded, 0)
	failed.Server = "s2"
	f.Handle(start, failed)
	started := 0
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(shed.TickEvery) {
		started += len(actionsOf[shed.StartCall](f.Handle(now, shed.Tick{})))
	}
	require.Equal(t, 1, started)
}

// A draft fails at the only server of the other zone, and the peer there then has no other
// server for it. The draft must not be kept from that zone until the deadline: the next try
// may use the server again.
func TestAvoidingEndsWhereAPeerHasNothingElse(t *testing.T) {
	f := newFlow(func(shed.PlaceRequest) shed.Placement {
		return shed.Placement{Kind: shed.PlacePeer, Peer: "10.0.0.2:1"}
	})
	first := actionsOf[shed.ForwardStage](f.Handle(start, newRequest("r", "draft")))[0]
	failed := callEnd(first.Request.Call, shed.EndOverloaded, 0)
	failed.Server = "s2"
	second := actionsOf[shed.ForwardStage](f.Handle(start, failed))[0]
	require.Equal(t, []shed.ServerID{"s2"}, second.Request.Avoid)
	f.Handle(start, shed.CallEnded{Call: second.Request.Call, End: shed.EndNotStarted, Reason: shed.ReasonNoServer})
	third := actionsOf[shed.ForwardStage](f.Handle(start.Add(time.Second), shed.Tick{}))
	require.Len(t, third, 1)
	require.Empty(t, third[0].Request.Avoid)
}

// Publishing has recently taken a second, and a publication reaches that stage with half a
// second left. If it were started, the deadline would abort it and its caller would get the
// outcome "unknown". It is refused instead, with nothing published.
func TestPublicationIsNotStartedTooLate(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		f := newFlow(placeOn("s1"))
		f.disabled.likelyTime = disabled
		for range 20 {
			f.cfg.Admit.Observe(start, admit.StageKey{Pipeline: "publish", Stage: "publish"}, time.Second)
		}
		acts := f.Handle(start, newRequest("r", "publish"))
		late := start.Add(5500 * time.Millisecond)
		acts = f.Handle(late, callEnd(actionsOf[shed.StartCall](acts)[0].Call, shed.EndComplete, 0))
		require.Equal(t, disabled, len(actionsOf[shed.StartCall](acts)) == 1, "safeguard off: %v", disabled)
		if !disabled {
			require.Equal(t, shed.OutcomeRefused, actionsOf[shed.Finish](acts)[0].Outcome)
		}
	}
}

// The package that records calls must remain the only one that builds answers, or an answer
// could say "not run" about a call that it has no record of.
func TestOnlyTheTrailFinishes(t *testing.T) {
	f := newFlow(placeOn("s1"))
	require.Equal(t, shed.OutcomeNotRun, actionsOf[shed.Finish](f.Handle(start, newRequest("r", "none")))[0].Outcome)
	for _, name := range []string{"flow.go", "request.go", "place.go", "ends.go", "silence.go"} {
		text := readFile(t, name)
		require.NotContains(t, text, "shed.Finish{", name)
		require.NotContains(t, text, "Outcome: ", name)
	}
}

func BenchmarkRequest(b *testing.B) {
	f := newFlow(placeOn("s1"))
	b.ReportAllocs()
	for range b.N {
		acts := f.Handle(start, newRequest("r", "draft"))
		acts = f.Handle(start, callEnd(acts[0].(shed.StartCall).Call, shed.EndComplete, 0))
		f.Handle(start, callEnd(acts[1].(shed.StartCall).Call, shed.EndComplete, 0))
	}
}

func BenchmarkTickWith1000Live(b *testing.B) {
	f := newFlow(placeOn("s1"))
	for i := range 1000 {
		f.Handle(start, newRequest(shed.RequestID(rune(0x4e00+i)), "draft"))
	}
	b.ReportAllocs()
	for range b.N {
		f.Handle(start, shed.Tick{})
	}
}

// BenchmarkLive keeps every request live: its bytes per operation are the memory of one request,
// including the growth of the map, hence an upper bound.
func BenchmarkLive(b *testing.B) {
	f := newFlow(placeOn("s1"))
	b.ReportAllocs()
	for i := range b.N {
		f.Handle(start, newRequest(shed.RequestID(strconv.Itoa(i)), "draft"))
	}
}
