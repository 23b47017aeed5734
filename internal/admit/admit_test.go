package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
)

var zero = time.Unix(1_700_000_000, 0)

func pipeline(minimum time.Duration) *shed.Pipeline {
	return &shed.Pipeline{ID: "draft", Stages: []shed.Stage{
		{ID: "encode", Pool: "enc", MinDuration: minimum},
		{ID: "write", Pool: "llm", MinDuration: minimum},
	}}
}

func request(id shed.RequestID, p *shed.Pipeline, left time.Duration) Request {
	return Request{Waiting: Waiting{Request: id, Workspace: "w"}, Pipeline: p, Deadline: zero.Add(left), Queue: "enc"}
}

func enqueue(g *Gate, ws shed.WorkspaceID, n int, share int) {
	for i := range n {
		g.Push(zero, "enc", Waiting{
			Request:   shed.RequestID(fmt.Sprintf("%s-%04d", ws, i)),
			Workspace: ws,
			Share:     share,
			Latest:    zero.Add(time.Duration(i+1) * time.Second),
		})
	}
}

// pop takes the next n requests and counts them by workspace.
func pop(t *testing.T, g *Gate, n int) map[shed.WorkspaceID]int {
	t.Helper()
	got := map[shed.WorkspaceID]int{}
	for range n {
		ok := g.PopReady(zero, "enc", func(id shed.RequestID) bool {
			got[g.items[id].Workspace]++
			return true
		})
		require.True(t, ok)
	}
	return got
}

func TestRefusesWhatCannotBeDone(t *testing.T) {
	p := pipeline(100 * time.Millisecond)
	g := New(Config{})
	require.False(t, g.Admit(zero, request("r", p, 199*time.Millisecond)).Admitted, "below the sum of the minimum durations")
	require.True(t, g.Admit(zero, request("r", p, 200*time.Millisecond)).Admitted)
	for range 100 {
		g.Observe(zero, StageKey{"draft", "write"}, 2*time.Second)
	}
	require.True(t, g.Admit(zero, request("r1", p, time.Second)).Admitted, "admitted as a probe")
	v := g.Admit(zero, request("r2", p, time.Second))
	require.Equal(t, shed.ReasonWontMeetDeadline, v.Reason)
	require.True(t, g.Admit(zero, request("r3", p, 3*time.Second)).Admitted)
}

// Guards against a gate that rejects all requests for good: after a slow period every request is
// rejected, so no stage runs that could show that it is fast again. Probes admit enough requests
// for the estimate to recover.
func TestGateOpensAgain(t *testing.T) {
	p := pipeline(time.Millisecond)
	g := New(Config{})
	for range 250 {
		g.Observe(zero, StageKey{"draft", "write"}, 5*time.Second)
	}
	now := zero
	admitted := 0
	for i := range 600 {
		now = now.Add(100 * time.Millisecond)
		a := request(shed.RequestID(fmt.Sprint(i)), p, now.Sub(zero)+time.Second)
		if g.Admit(now, a).Admitted {
			admitted++
			g.Observe(now, StageKey{"draft", "write"}, 50*time.Millisecond)
		}
	}
	require.Greater(t, admitted, 450, "nearly all of the last 45 s")
	require.True(t, g.Admit(now, request("r", p, now.Sub(zero)+time.Second)).Admitted)
}

func TestRetryAfterFollowsTheDrain(t *testing.T) {
	g := New(Config{})
	enqueue(g, "w", 100, 1)
	now := zero
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		require.True(t, g.PopReady(now, "enc", func(shed.RequestID) bool { return true }))
	}
	// 80 are queued, 10 per second are started.
	wa, wb := Waiting{Request: "a", Workspace: "w"}, Waiting{Request: "b", Workspace: "w"}
	require.InDelta(t, 8, g.PredictWait(now, "enc", wa).Seconds(), 1.5)
	a, b := g.RetryAfter(now, "enc", wa), g.RetryAfter(now, "enc", wb)
	require.NotEqual(t, a, b)
	require.Equal(t, a, g.RetryAfter(now, "enc", wa))
	require.GreaterOrEqual(t, a, g.PredictWait(now, "enc", wa))
}

// Guards against rejecting requests of one workspace because of another's backlog: one workspace
// has queued more than a minute's work, but a request of another is served second.
func TestGreedyWorkspaceClosesTheDoorToNobody(t *testing.T) {
	g := New(Config{})
	enqueue(g, "greedy", 1000, 1)
	now := zero
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		require.True(t, g.PopReady(now, "enc", func(shed.RequestID) bool { return true }))
	}
	require.Greater(t, g.PredictWait(now, "enc", Waiting{Workspace: "greedy"}), time.Minute)
	require.Less(t, g.PredictWait(now, "enc", Waiting{Workspace: "w"}), time.Second)
	a := request("r", pipeline(time.Millisecond), now.Sub(zero)+time.Second)
	require.True(t, g.Admit(now, a).Admitted)
	a.Workspace = "greedy"
	g.Admit(now, a) // admitted as a probe
	require.False(t, g.Admit(now, a).Admitted)
}

func TestQuantilesWithinATenth(t *testing.T) {
	var s sketch
	for i := range 1000 {
		s.add(zero, time.Duration(i*37%100+1)*10*time.Millisecond, DefaultLowQuantile, DefaultHighQuantile)
	}
	require.InEpsilon(t, 0.1, s.low.Seconds(), 0.15)
	require.InEpsilon(t, 0.7, s.high.Seconds(), 0.15)
}

// Guards against starvation: one workspace floods the queue. A request of another waits for at
// most one request of the first, and isn't evicted when the queue overflows.
func TestGreedyWorkspaceStarvesNobody(t *testing.T) {
	g := New(Config{MaxQueued: 1000})
	enqueue(g, "greedy", 1000, 1)
	enqueue(g, "small", 1, 1)
	require.Equal(t, 1000, g.Queued())
	require.Equal(t, map[shed.WorkspaceID]int{"greedy": 1, "small": 1}, pop(t, g, 2))
}

func TestTurnsFollowShares(t *testing.T) {
	g := New(Config{})
	enqueue(g, "a", 300, 1)
	enqueue(g, "b", 300, 3)
	got := pop(t, g, 200)
	require.InDelta(t, 50, got["a"], 2)
	require.InDelta(t, 150, got["b"], 2)
}

// A workspace that sends one request at a time, always just after its last one was served, must
// not get more starts than one that queues all its requests at once.
func TestComingAndGoingGainsNoTurns(t *testing.T) {
	g := New(Config{})
	enqueue(g, "steady", 500, 1)
	got := map[shed.WorkspaceID]int{}
	for i := range 200 {
		id := shed.RequestID(fmt.Sprintf("hopper-%d", i))
		g.Push(zero, "enc", Waiting{Request: id, Workspace: "hopper", Share: 1, Latest: zero})
		for ws, n := range pop(t, g, 1) {
			got[ws] += n
		}
		g.Remove(id)
	}
	require.LessOrEqual(t, got["hopper"], 101)
}

// For any order of Push, PopReady and Remove, each request leaves the queue exactly once, the most
// urgent of a workspace first.
func TestQueueLosesAndDoublesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New(Config{MaxQueued: 8})
		waiting := map[shed.RequestID]Waiting{}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				w := Waiting{
					Request:   shed.RequestID(fmt.Sprint(next)),
					Workspace: rapid.SampledFrom([]shed.WorkspaceID{"a", "b", "c"}).Draw(t, "ws"),
					Share:     rapid.IntRange(1, 3).Draw(t, "share"),
					Latest:    zero.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "latest"))),
				}
				waiting[w.Request] = w
				if out, ok := g.Push(zero, "enc", w); !ok {
					require.Contains(t, waiting, out)
					delete(waiting, out)
				}
			},
			"pop": func(t *rapid.T) {
				take := rapid.Bool().Draw(t, "take")
				g.PopReady(zero, "enc", func(id shed.RequestID) bool {
					w, ok := waiting[id]
					require.True(t, ok, "popped twice")
					for _, other := range waiting {
						urgent := other.Workspace == w.Workspace && other.Latest.Before(w.Latest)
						require.False(t, urgent, "a more urgent request of the workspace is queued")
					}
					if take {
						delete(waiting, id)
					}
					return take
				})
			},
			"drop": func(t *rapid.T) {
				id := shed.RequestID(fmt.Sprint(rapid.IntRange(0, next).Draw(t, "id")))
				_, waits := waiting[id]
				require.Equal(t, waits, g.Remove(id))
				delete(waiting, id)
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(waiting), g.Queued())
				require.Equal(t, len(waiting), g.Len("enc"))
			},
		})
	})
}

func BenchmarkAdmit(b *testing.B) {
	g := New(Config{})
	p := pipeline(time.Millisecond)
	for i := range 300 {
		g.Observe(zero, StageKey{"draft", "write"}, time.Duration(i)*time.Millisecond)
	}
	b.ReportAllocs()
	for range b.N {
		g.Admit(zero, request("request", p, time.Second))
	}
}

func BenchmarkObserve(b *testing.B) {
	g := New(Config{})
	b.ReportAllocs()
	for i := range b.N {
		g.Observe(zero, StageKey{"draft", "write"}, time.Duration(i%1000)*time.Millisecond)
	}
}

// The queue holds one request of each of 27,000 workspaces; each iteration pops one and pushes one.
func BenchmarkQueue27000Workspaces(b *testing.B) {
	const workspaces = 27_000
	g := New(Config{MaxQueued: 2 * workspaces})
	names := make([]shed.WorkspaceID, workspaces)
	ids := make([]shed.RequestID, workspaces)
	for i := range names {
		names[i] = shed.WorkspaceID(fmt.Sprintf("w%d", i))
		ids[i] = shed.RequestID(fmt.Sprintf("r%d", i))
		g.Push(zero, "enc", Waiting{Request: ids[i], Workspace: names[i], Share: 1, Latest: zero})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := zero.Add(time.Duration(i) * time.Microsecond)
		var popped shed.RequestID
		g.PopReady(now, "enc", func(id shed.RequestID) bool {
			popped = id
			return true
		})
		k := i * 7919 % workspaces
		g.Push(now, "enc", Waiting{Request: popped, Workspace: names[k], Share: 1, Latest: now})
	}
}

// BenchmarkPushKept queues one request of a new workspace per iteration: its bytes per operation
// are the memory of a queued request and its workspace, including map growth, hence an upper bound.
func BenchmarkPushKept(b *testing.B) {
	g := New(Config{MaxQueued: 1 << 30})
	b.ReportAllocs()
	for i := range b.N {
		id := fmt.Sprint(i)
		g.Push(zero, "enc", Waiting{Request: shed.RequestID(id), Workspace: shed.WorkspaceID(id), Share: 1, Latest: zero})
	}
}
