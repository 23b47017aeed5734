package flow

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/retry"

	shed "jasmineshed"
)

// silenceEvent is what the driver reports of a call for which nothing has arrived since from.
func silenceEvent(c shed.StartCall, _ time.Duration) shed.Event {
	return shed.CallEnded{Call: c.Call, End: shed.EndBroken, Reason: shed.ReasonSilent, Server: c.Server, Zone: "a"}
}

// silentTicks runs the flow while the server of the call is silent, and returns the actions until
// the end of the silence or the first action.
func silentTicks(f *Flow, c shed.StartCall, from time.Time, silence time.Duration) []shed.Action {
	for d := shed.TickEvery; d <= silence; d += shed.TickEvery {
		acts := f.Handle(from.Add(d), shed.Tick{})
		if d >= DefaultIdleTimeout && d%(5*shed.TickEvery) == 0 {
			acts = append(acts, f.Handle(from.Add(d), silenceEvent(c, d))...)
		}
		if len(acts) > 0 {
			return acts
		}
	}
	return nil
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
