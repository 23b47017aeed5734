package batch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	limits = shed.BatchLimits{
		MaxPieces: 4, CallTime: 150 * time.Millisecond, PieceTime: 10 * time.Millisecond,
		ResultCapacity: 1000, ResultRetention: 4 * time.Second,
	}
)

// harness runs a Batcher in virtual time.
type harness struct {
	t       *testing.T
	b       *batch.Batcher
	now     time.Time
	servers []shed.ServerEntry
	sends   []batch.Send
	surveys []batch.Survey
	done    map[batch.JobID][]shed.PieceResult
	freed   []shed.ResultRef
	made    int
}

func newHarness(t *testing.T, zones ...shed.ZoneID) *harness {
	tb := &harness{t: t, now: start, done: map[batch.JobID][]shed.PieceResult{}}
	for i, z := range zones {
		tb.servers = append(tb.servers, shed.ServerEntry{ID: shed.ServerID(fmt.Sprintf("s%d", i)), Pool: "p", Zone: z, StartedMs: 1})
	}
	tb.b = batch.New(func(shed.PoolID) []shed.ServerEntry { return tb.servers })
	return tb
}

func (tb *harness) handle(ev batch.Event) {
	for _, act := range tb.b.Handle(tb.now, ev) {
		switch a := act.(type) {
		case batch.Send:
			tb.sends = append(tb.sends, a)
		case batch.Survey:
			tb.surveys = append(tb.surveys, a)
		case batch.Done:
			require.NotContains(tb.t, tb.done, a.Job, "a job is answered once")
			tb.done[a.Job] = a.Results
		case batch.Free:
			tb.freed = append(tb.freed, a.Refs...)
		}
	}
}

func (tb *harness) addJob(job batch.JobID, n int, target time.Duration, change func(*shed.Piece)) {
	pieces := make([]shed.Piece, n)
	for i := range pieces {
		pieces[i] = shed.Piece{
			Request: shed.RequestID(fmt.Sprint("q", job)), Number: i, Bytes: 100, Budget: 5 * time.Second, Target: target,
		}
		if change != nil {
			change(&pieces[i])
		}
	}
	tb.handle(batch.JobAdded{Job: job, Pool: "p", Limits: limits, Pieces: pieces})
}

// nextSend removes and returns the oldest call that was sent.
func (tb *harness) nextSend() batch.Send {
	require.NotEmpty(tb.t, tb.sends)
	s := tb.sends[0]
	tb.sends = tb.sends[1:]
	return s
}

func (tb *harness) answer(s batch.Send, end shed.PieceEnd) {
	results := make([]shed.PieceResult, len(s.Pieces))
	for i := range results {
		results[i].End = end
		if end == shed.PieceComplete {
			tb.made++
			results[i].Ref = shed.ResultRef(fmt.Sprintf("%s/%d", s.Server.ID, tb.made))
		}
	}
	tb.handle(batch.CallEnded{Call: s.Call, Results: results})
}

func (tb *harness) advance(d time.Duration) {
	for end := tb.now.Add(d); tb.now.Before(end); {
		tb.now = tb.now.Add(min(100*time.Millisecond, end.Sub(tb.now)))
		tb.handle(batch.Tick{})
	}
}

func requests(s batch.Send) []shed.RequestID {
	var out []shed.RequestID
	for _, p := range s.Pieces {
		out = append(out, p.Request)
	}
	return out
}

// While the server runs a call, the pieces of small requests must be batched: the next call is
// full and holds the most urgent ones first.
func TestPiecesMeetInFullCalls(t *testing.T) {
	tb := newHarness(t, "a")
	tb.addJob(1, 1, time.Second, nil)
	require.Len(t, tb.nextSend().Pieces, 1)
	tb.addJob(2, 2, 3*time.Second, nil)
	tb.addJob(3, 1, 2*time.Second, nil)
	tb.addJob(4, 2, time.Second, nil)
	require.Empty(t, tb.sends, "one call at a time")
	tb.now = tb.now.Add(160 * time.Millisecond)
	tb.answer(batch.Send{Call: 1, Pieces: make([]shed.Piece, 1)}, shed.PieceComplete)
	require.Equal(t, []shed.RequestID{"q4", "q4", "q3", "q2"}, requests(tb.nextSend()))
}

// Overload: every 0.1 s a request arrives with a target of half a second, while a full call of
// four pieces takes 0.19 s. The servers' time must go to requests that can meet their target;
// the others are rejected at once and delay no other request.
func TestOverloadServesInTimeWhatItServes(t *testing.T) {
	tb := newHarness(t, "a")
	var running *batch.Send
	var ends time.Time
	job := batch.JobID(0)
	late := 0
	addedAt := map[batch.JobID]time.Time{}
	for step := range 600 {
		tb.now = tb.now.Add(10 * time.Millisecond)
		if step%10 == 0 {
			job++
			addedAt[job] = tb.now
			tb.addJob(job, 4, 500*time.Millisecond, func(p *shed.Piece) { p.Bytes = 0 })
		}
		if running != nil && !tb.now.Before(ends) {
			tb.answer(*running, shed.PieceComplete)
			running = nil
		}
		if running == nil && len(tb.sends) > 0 {
			s := tb.nextSend()
			running, ends = &s, tb.now.Add(190*time.Millisecond)
		}
		tb.handle(batch.Tick{})
		for id, results := range tb.done {
			if results[0].End == shed.PieceComplete && tb.now.Sub(addedAt[id]) > 500*time.Millisecond {
				late++
			}
			if results[0].End == shed.PieceLate {
				require.LessOrEqual(t, tb.now.Sub(addedAt[id]), 600*time.Millisecond, "rejected as soon as it can't meet its target")
			}
			delete(tb.done, id)
		}
	}
	require.LessOrEqual(t, tb.made, 600*10/190*4+4)
	require.GreaterOrEqual(t, tb.made, 100, "the server is kept busy")
	require.LessOrEqual(t, late, 3)
}

// A server has capacity for ten results. No call may hold more pieces than fit beside the
// results held there, until the server has been notified that some are released.
func TestResultCapacityIsCounted(t *testing.T) {
	tb := newHarness(t, "a")
	tb.addJob(1, 9, 20*time.Second, func(p *shed.Piece) { p.Budget = 30 * time.Second })
	tb.answer(tb.nextSend(), shed.PieceComplete)
	tb.answer(tb.nextSend(), shed.PieceComplete)
	// At most 920 bytes are used, so one more piece fits.
	s := tb.nextSend()
	require.Len(t, s.Pieces, 1)
	tb.answer(s, shed.PieceComplete)
	refs := []shed.ResultRef{tb.done[1][0].Ref, tb.done[1][1].Ref}
	tb.addJob(2, 2, 20*time.Second, func(p *shed.Piece) { p.Budget = 30 * time.Second })
	require.Empty(t, tb.sends)
	tb.handle(batch.FreeRequested{Refs: refs})
	require.Equal(t, refs, tb.freed)
	require.Empty(t, tb.sends, "the server has not been notified yet")
	tb.handle(batch.FreeEnded{Refs: refs})
	require.Len(t, tb.nextSend().Pieces, 2)
}

// Servers drop results that nobody frees after the retention period; the Batcher must then
// count their capacity as free again.
func TestResultCapacityIsFreed(t *testing.T) {
	tb := newHarness(t, "a")
	tb.addJob(1, 4, time.Second, func(p *shed.Piece) { p.Bytes = 230 })
	tb.answer(tb.nextSend(), shed.PieceComplete)
	tb.addJob(2, 4, 5*time.Second, func(p *shed.Piece) { p.Bytes, p.Budget = 230, 10*time.Second })
	require.Empty(t, tb.sends)
	tb.advance(4200 * time.Millisecond)
	require.Len(t, tb.nextSend().Pieces, 4)
}

// A server does not answer while the caller waits. After twice the usual time its pieces must
// be hedged on another server; the first result counts and the other one is released.
func TestSilentServer(t *testing.T) {
	tb := newHarness(t, "a", "b")
	tb.addJob(1, 2, 2*time.Second, nil)
	silent := tb.nextSend()
	tb.advance(700 * time.Millisecond)
	second := tb.nextSend()
	require.NotEqual(t, silent.Server.ID, second.Server.ID)
	tb.answer(second, shed.PieceComplete)
	require.Len(t, tb.done[1], 2)
	tb.answer(silent, shed.PieceComplete)
	require.Len(t, tb.freed, 2)
}

// A call's answer is lost, but the server is alive. It must get one more call once the first
// one is suspect, not only after that call's limit.
func TestLostAnswerDoesNotIdleTheServer(t *testing.T) {
	tb := newHarness(t, "a")
	tb.addJob(1, 1, 2*time.Second, nil)
	tb.nextSend()
	tb.advance(600 * time.Millisecond)
	again := tb.nextSend()
	require.Equal(t, shed.RequestID("q1"), again.Pieces[0].Request)
	tb.answer(again, shed.PieceComplete)
	require.Equal(t, shed.PieceComplete, tb.done[1][0].End)
}

// A refusal by a full server must not count as a try: the server is busy with calls of another
// VM.
func TestFullServerIsNoTry(t *testing.T) {
	tb := newHarness(t, "a")
	tb.addJob(1, 1, 4*time.Second, nil)
	for range 5 {
		s := tb.nextSend()
		tb.handle(batch.CallEnded{Call: s.Call, NotRun: true, Busy: true})
		tb.advance(200 * time.Millisecond)
	}
	tb.answer(tb.nextSend(), shed.PieceComplete)
	require.Equal(t, shed.PieceComplete, tb.done[1][0].End)
}

// Every call to the servers fails. The piece must not be retried for ever: its request gets a
// failure.
func TestBrokenCallsEnd(t *testing.T) {
	tb := newHarness(t, "a", "a")
	tb.addJob(1, 1, 4*time.Second, nil)
	for i := 0; len(tb.done) == 0; i++ {
		require.Less(t, i, 4)
		tb.handle(batch.CallEnded{Call: tb.nextSend().Call})
	}
	require.Equal(t, shed.PieceFailed, tb.done[1][0].End)
}

// No server may get work, as when operators took all zones out of service: the request must
// fail at once.
func TestNoServer(t *testing.T) {
	tb := newHarness(t)
	tb.addJob(1, 2, time.Second, nil)
	require.Equal(t, shed.PieceFailed, tb.done[1][0].End)
	require.Equal(t, batch.NoServers, tb.b.PredictWait(tb.now, "p", limits).Timely)
}

// The caller has gone: its pending pieces must not be sent, and results completed for it must be
// released.
func TestDropped(t *testing.T) {
	tb := newHarness(t, "a")
	tb.addJob(1, 1, time.Second, nil)
	running := tb.nextSend()
	tb.addJob(2, 1, time.Second, nil)
	tb.handle(batch.JobDropped{Job: 1})
	tb.handle(batch.JobDropped{Job: 2})
	tb.answer(running, shed.PieceComplete)
	require.Empty(t, tb.sends)
	require.Empty(t, tb.done)
	require.Len(t, tb.freed, 1)
}

// The VM stops: pending pieces go back to the requesting VMs, which ask the next coordinator;
// calls in flight run to their end.
func TestStoppedReturnsPieces(t *testing.T) {
	tb := newHarness(t, "a")
	tb.addJob(1, 1, time.Second, nil)
	running := tb.nextSend()
	tb.addJob(2, 2, time.Second, nil)
	tb.handle(batch.Stopped{})
	require.Equal(t, shed.PieceMoved, tb.done[2][1].End)
	tb.answer(running, shed.PieceComplete)
	require.Equal(t, shed.PieceComplete, tb.done[1][0].End)
}

// Each piece of the next step fetches all results of this step, so the pieces of a step must
// stay in one zone even if a server of another zone is idle.
func TestTogether(t *testing.T) {
	tb := newHarness(t, "a", "b")
	together := func(p *shed.Piece) { p.SameZone, p.Bytes = true, 0 }
	tb.addJob(1, 6, 3*time.Second, together)
	first := tb.nextSend()
	require.Equal(t, shed.ZoneID("a"), first.Server.Zone)
	require.Empty(t, tb.sends, "zone b gets none of them")
	tb.answer(first, shed.PieceComplete)
	require.Equal(t, shed.ZoneID("a"), tb.nextSend().Server.Zone)
}

// Large results are wanted in zone b, whose server is busy. The idle server in zone a must get
// only the pieces that would otherwise miss their target.
func TestNearUnlessLate(t *testing.T) {
	tb := newHarness(t, "a", "b")
	near := func(p *shed.Piece) { p.PreferredZone, p.Bytes = "b", 0 }
	tb.addJob(1, 1, 3*time.Second, near)
	require.Equal(t, shed.ZoneID("b"), tb.nextSend().Server.Zone)
	tb.addJob(2, 1, 3*time.Second, near)
	require.Empty(t, tb.sends)
	tb.addJob(3, 1, 250*time.Millisecond, near)
	s := tb.nextSend()
	require.Equal(t, shed.ZoneID("a"), s.Server.Zone)
	require.Equal(t, []shed.RequestID{"q3"}, requests(s))
}

// Another VM coordinated the pool before this one and reported what servers hold for it. That
// capacity must count as used, and become free as those results expire.
func TestResultCapacityHeldForAnotherVM(t *testing.T) {
	tb := newHarness(t, "a")
	tb.handle(batch.HeldElsewhere{From: "vm2", Held: map[shed.ServerID]int64{"s0": 920}, Retention: limits.ResultRetention})
	tb.addJob(1, 4, 5*time.Second, func(p *shed.Piece) { p.Budget = 10 * time.Second })
	require.Empty(t, tb.sends)
	tb.advance(2 * time.Second)
	require.Len(t, tb.nextSend().Pieces, 1)
}

// The forecast of an idle pool must follow its configuration: two servers make four pieces
// each in 0.19 s.
func TestForecastOfAnIdlePool(t *testing.T) {
	tb := newHarness(t, "a", "b")
	f := tb.b.PredictWait(tb.now, "p", limits)
	require.InDelta(t, 8/0.19, f.Rate, 0.1)
	require.InDelta(t, 1, f.Slow, 0.01)
	require.InDelta(t, 0.18, f.Timely.Seconds(), 0.001, "a call with one piece, and its network time")
}

// All calls of a pool take twice as long as its configuration says. Pieces were sent just in
// time by the configuration and came late; the measured call times must count in the forecast.
func TestSlowPoolIsForeseenSlow(t *testing.T) {
	tb := newHarness(t, "a")
	for job := range batch.JobID(20) {
		tb.addJob(job+1, 1, 5*time.Second, nil)
		s := tb.nextSend()
		tb.advance(320 * time.Millisecond)
		tb.answer(s, shed.PieceComplete)
		tb.handle(batch.FreeRequested{Refs: []shed.ResultRef{tb.done[job+1][0].Ref}})
		tb.handle(batch.FreeEnded{Refs: tb.freed})
	}
	f := tb.b.PredictWait(tb.now, "p", limits)
	require.InDelta(t, 2, f.Slow, 0.1)
	require.InDelta(t, 0.34, f.Timely.Seconds(), 0.02)
	require.InDelta(t, 4/0.38, f.Rate, 1)
}

// Guards against calls to a server that wants rest: the other server gets the pieces.
func TestRestingServerGetsNoCall(t *testing.T) {
	tb := newHarness(t, "a", "a")
	tb.handle(batch.ServerRests{Server: "s0", Left: 3 * time.Second})
	tb.addJob(1, 2, time.Second, nil)
	require.Len(t, tb.sends, 1)
	require.Equal(t, shed.ServerID("s1"), tb.sends[0].Server.ID)
}

// Guards against pieces that wait for servers whose rests end after the pieces' deadlines, and
// against refusing those that can still be run in time.
func TestPoolThatRests(t *testing.T) {
	tb := newHarness(t, "a", "a")
	tb.handle(batch.ServerRests{Server: "s0", Left: 3 * time.Second})
	tb.handle(batch.ServerRests{Server: "s1", Left: 2 * time.Second})
	tb.addJob(1, 1, time.Second, func(p *shed.Piece) { p.Budget = 1900 * time.Millisecond })
	require.Equal(t, shed.PieceLate, tb.done[1][0].End)
	require.GreaterOrEqual(t, tb.b.PredictWait(tb.now, "p", limits).Timely, 2*time.Second)
	tb.addJob(2, 1, time.Second, nil)
	require.Empty(t, tb.sends)
	tb.now = tb.now.Add(2 * time.Second)
	tb.handle(batch.Tick{})
	require.Len(t, tb.sends, 1)
	require.Equal(t, shed.ServerID("s1"), tb.sends[0].Server.ID)
}
