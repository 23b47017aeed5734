package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/admit"
	"jasmineshed/internal/cost"
	"jasmineshed/internal/retry"

	shed "jasmineshed"
)

var start = time.Unix(1_700_000_000, 0)

// fakePlacer places calls by a function.
type fakePlacer struct {
	placeFunc func(shed.PlaceRequest) shed.Placement
}

func (p *fakePlacer) Place(_ time.Time, req shed.PlaceRequest) shed.Placement {
	return p.placeFunc(req)
}

func server(id shed.ServerID) *shed.Server {
	return &shed.Server{ID: id, Pool: "p", Zone: "a", Capacity: 4, ColdCapacity: 1}
}

func placeOn(id shed.ServerID) func(shed.PlaceRequest) shed.Placement {
	s := server(id)
	return func(shed.PlaceRequest) shed.Placement {
		return shed.Placement{Kind: shed.PlaceLocal, Server: s}
	}
}

// testRules has a drafting pipeline whose stages are idempotent and a
// publishing one whose second stage must run at most once.
func testRules() *shed.Rules {
	encode := shed.Stage{ID: "encode", Kind: shed.KindEncode, Pool: "p", MinDuration: 10 * time.Millisecond, Idempotent: true}
	write := shed.Stage{ID: "write", Kind: shed.KindGenerate, Pool: "p", MinDuration: 100 * time.Millisecond, Idempotent: true}
	publish := shed.Stage{ID: "publish", Kind: shed.KindService, Pool: "p", MinDuration: 10 * time.Millisecond}
	return &shed.Rules{
		Revision: 1,
		Pipelines: map[shed.PipelineID]*shed.Pipeline{
			"draft":   {ID: "draft", Deadline: 6 * time.Second, Stages: []shed.Stage{encode, write}},
			"publish": {ID: "publish", Deadline: 6 * time.Second, Stages: []shed.Stage{encode, publish, encode}},
		},
		Servers: map[shed.ServerID]*shed.Server{"s1": server("s1"), "s2": server("s2")},
	}
}

func newFlow(place func(shed.PlaceRequest) shed.Placement) *Flow {
	f := New(Config{
		Placer: &fakePlacer{placeFunc: place},
		Budget: retry.New(retry.Config{}),
		Admit:  admit.New(admit.Config{}),
		Ledger: cost.New(cost.Config{}),
	})
	f.SetRules(testRules())
	return f
}

func newRequest(id shed.RequestID, p shed.PipelineID) shed.RequestArrived {
	return shed.RequestArrived{Request: id, Pipeline: p, Workspace: "w", Deadline: start.Add(6 * time.Second)}
}

// actionsOf returns the actions of one type.
func actionsOf[A shed.Action](acts []shed.Action) []A {
	var out []A
	for _, a := range acts {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

func TestStagesInOrderToComplete(t *testing.T) {
	f := newFlow(placeOn("s1"))
	now := start
	acts := f.Handle(now, newRequest("r", "draft"))
	for stage := range uint8(2) {
		calls := actionsOf[shed.StartCall](acts)
		require.Len(t, calls, 1)
		require.Equal(t, shed.Call{Request: "r", Stage: stage, Attempt: 1}, calls[0].Call)
		require.Equal(t, now.Add(DefaultSendLease), calls[0].SendBy)
		now = now.Add(400 * time.Millisecond)
		acts = f.Handle(now, shed.CallEnded{Call: calls[0].Call, End: shed.EndComplete, Server: "s1", Zone: "a"})
		require.Equal(t, []shed.StageDone{{Call: calls[0].Call}}, actionsOf[shed.StageDone](acts))
	}
	fin := actionsOf[shed.Finish](acts)
	require.Len(t, fin, 1)
	require.Equal(t, shed.OutcomeComplete, fin[0].Outcome)
	require.Equal(t, shed.Cost(100_000), fin[0].Stages[0].Useful)
	require.Zero(t, f.Live())
}
