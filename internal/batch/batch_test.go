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

// table hosts a Batcher in virtual time.
type table struct {
	t       *testing.T
	b       *batch.Batcher
	now     time.Time
	servers []shed.ServerEntry
	sends   []batch.Send
	done    map[batch.JobID][]shed.PieceResult
	freed   []shed.ResultRef
	made    int
}

func newTable(t *testing.T, zones ...shed.ZoneID) *table {
	tb := &table{t: t, now: start, done: map[batch.JobID][]shed.PieceResult{}}
	for i, z := range zones {
		tb.servers = append(tb.servers, shed.ServerEntry{ID: shed.ServerID(fmt.Sprintf("s%d", i)), Pool: "p", Zone: z, StartedMs: 1})
	}
	tb.b = batch.New(func(shed.PoolID) []shed.ServerEntry { return tb.servers })
	return tb
}

func (tb *table) handle(ev batch.Event) {
	for _, act := range tb.b.Handle(tb.now, ev) {
		switch a := act.(type) {
		case batch.Send:
			tb.sends = append(tb.sends, a)
		case batch.Done:
			require.NotContains(tb.t, tb.done, a.Job, "a job is answered once")
			tb.done[a.Job] = a.Results
		case batch.Free:
			tb.freed = append(tb.freed, a.Refs...)
		}
	}
}

func (tb *table) ask(job batch.JobID, n int, aim time.Duration, change func(*shed.Piece)) {
	pieces := make([]shed.Piece, n)
	for i := range pieces {
		pieces[i] = shed.Piece{
			Request: shed.RequestID(fmt.Sprint("q", job)), Number: i, Bytes: 100, Budget: 5 * time.Second, Target: aim,
		}
		if change != nil {
			change(&pieces[i])
		}
	}
	tb.handle(batch.JobAdded{Job: job, Pool: "p", Limits: limits, Pieces: pieces})
}

// take returns the oldest call that was sent.
func (tb *table) take() batch.Send {
	require.NotEmpty(tb.t, tb.sends)
	s := tb.sends[0]
	tb.sends = tb.sends[1:]
	return s
}

func (tb *table) answer(s batch.Send, end shed.PieceEnd) {
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

func (tb *table) pass(d time.Duration) {
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

// Many small requests meet in full calls: one call runs on the server, the rest
// waits and fills the next one, the most urgent first.
func TestPiecesMeetInFullCalls(t *testing.T) {
	tb := newTable(t, "a")
	tb.ask(1, 1, time.Second, nil)
	require.Len(t, tb.take().Pieces, 1)
	tb.ask(2, 2, 3*time.Second, nil)
	tb.ask(3, 1, 2*time.Second, nil)
	tb.ask(4, 2, time.Second, nil)
	require.Empty(t, tb.sends, "one call at a time")
	tb.now = tb.now.Add(160 * time.Millisecond)
	tb.answer(batch.Send{Call: 1, Pieces: make([]shed.Piece, 1)}, shed.PieceComplete)
	require.Equal(t, []shed.RequestID{"q4", "q4", "q3", "q2"}, requests(tb.take()))
}

// Load beyond what a server can do: each 0.1 s a request comes that should be
// done within half a second, though a full call of four takes 0.19 s. The
// servers' time goes to requests that can be in time; the others are told at
// once and hold up nobody.
func TestOverloadServesInTimeWhatItServes(t *testing.T) {
	tb := newTable(t, "a")
	var running *batch.Send
	var ends time.Time
	job := batch.JobID(0)
	late := 0
	asked := map[batch.JobID]time.Time{}
	for step := range 600 {
		tb.now = tb.now.Add(10 * time.Millisecond)
		if step%10 == 0 {
			job++
			asked[job] = tb.now
			tb.ask(job, 4, 500*time.Millisecond, func(p *shed.Piece) { p.Bytes = 0 })
		}
		if running != nil && !tb.now.Before(ends) {
			tb.answer(*running, shed.PieceComplete)
			running = nil
		}
		if running == nil && len(tb.sends) > 0 {
			s := tb.take()
			running, ends = &s, tb.now.Add(190*time.Millisecond)
		}
		tb.handle(batch.Tick{})
		for id, results := range tb.done {
			if results[0].End == shed.PieceComplete && tb.now.Sub(asked[id]) > 500*time.Millisecond {
				late++
			}
			if results[0].End == shed.PieceLate {
				require.LessOrEqual(t, tb.now.Sub(asked[id]), 600*time.Millisecond, "told as soon as it can't be in time")
			}
			delete(tb.done, id)
		}
	}
	require.LessOrEqual(t, tb.made, 600*10/190*4+4)
	require.GreaterOrEqual(t, tb.made, 100, "the server is kept busy")
	require.LessOrEqual(t, late, 3)
}

// A server has room for ten results. No call asks for more than fit beside those
// that it holds, until it was told that some are given up.
func TestRoomIsCounted(t *testing.T) {
	tb := newTable(t, "a")
	tb.ask(1, 9, 20*time.Second, func(p *shed.Piece) { p.Budget = 30 * time.Second })
	tb.answer(tb.take(), shed.PieceComplete)
	tb.answer(tb.take(), shed.PieceComplete)
	// 920 bytes are used at the most: one more piece fits.
	s := tb.take()
	require.Len(t, s.Pieces, 1)
	tb.answer(s, shed.PieceComplete)
	refs := []shed.ResultRef{tb.done[1][0].Ref, tb.done[1][1].Ref}
	tb.ask(2, 2, 20*time.Second, func(p *shed.Piece) { p.Budget = 30 * time.Second })
	require.Empty(t, tb.sends)
	tb.handle(batch.FreeRequested{Refs: refs})
	require.Equal(t, refs, tb.freed)
	require.Empty(t, tb.sends, "the server has not been told yet")
	tb.handle(batch.FreeEnded{Refs: refs})
	require.Len(t, tb.take().Pieces, 2)
}

// Results that nobody frees are dropped by the server after a while; their room
// must come back here, too.
func TestRoomComesBack(t *testing.T) {
	tb := newTable(t, "a")
	tb.ask(1, 4, time.Second, func(p *shed.Piece) { p.Bytes = 230 })
	tb.answer(tb.take(), shed.PieceComplete)
	tb.ask(2, 4, 5*time.Second, func(p *shed.Piece) { p.Bytes, p.Budget = 230, 10*time.Second })
	require.Empty(t, tb.sends)
	tb.pass(4200 * time.Millisecond)
	require.Len(t, tb.take().Pieces, 4)
}

// The caller waits for a server that fell silent. After twice the usual time the
// pieces go to another server too, and the first result counts; the other one
// is given up.
func TestSilentServer(t *testing.T) {
	tb := newTable(t, "a", "b")
	tb.ask(1, 2, 2*time.Second, nil)
	silent := tb.take()
	tb.pass(700 * time.Millisecond)
	second := tb.take()
	require.NotEqual(t, silent.Server.ID, second.Server.ID)
	tb.answer(second, shed.PieceComplete)
	require.Len(t, tb.done[1], 2)
	tb.answer(silent, shed.PieceComplete)
	require.Len(t, tb.freed, 2)
}

// A call's answer is lost, but the server lives: it gets one more call at once,
// not only after the first one's limit.
func TestLostAnswerDoesNotIdleTheServer(t *testing.T) {
	tb := newTable(t, "a")
	tb.ask(1, 1, 2*time.Second, nil)
	tb.take()
	tb.pass(600 * time.Millisecond)
	again := tb.take()
	require.Equal(t, shed.RequestID("q1"), again.Pieces[0].Request)
	tb.answer(again, shed.PieceComplete)
	require.Equal(t, shed.PieceComplete, tb.done[1][0].End)
}

// A refusal by a full server is no try: some other VM's calls are in its queue.
func TestFullServerIsNoTry(t *testing.T) {
	tb := newTable(t, "a")
	tb.ask(1, 1, 4*time.Second, nil)
	for range 5 {
		s := tb.take()
		tb.handle(batch.CallEnded{Call: s.Call, NotRun: true, Busy: true})
		tb.pass(200 * time.Millisecond)
	}
	tb.answer(tb.take(), shed.PieceComplete)
	require.Equal(t, shed.PieceComplete, tb.done[1][0].End)
}

// A server breaks off again and again. The piece isn't sent for ever: its
// request is told that it can't be made.
func TestBrokenCallsEnd(t *testing.T) {
	tb := newTable(t, "a", "a")
	tb.ask(1, 1, 4*time.Second, nil)
	for i := 0; len(tb.done) == 0; i++ {
		require.Less(t, i, 4)
		tb.handle(batch.CallEnded{Call: tb.take().Call})
	}
	require.Equal(t, shed.PieceFailed, tb.done[1][0].End)
}

// No server may have work, as when operators took all zones out: the request is
// told at once.
func TestNoServer(t *testing.T) {
	tb := newTable(t)
	tb.ask(1, 2, time.Second, nil)
	require.Equal(t, shed.PieceFailed, tb.done[1][0].End)
	require.Equal(t, batch.NoServers, tb.b.PredictWait(tb.now, "p", limits).Timely)
}

// The caller has gone: its pieces are not sent any more, and what was made for
// it is given up.
func TestDropped(t *testing.T) {
	tb := newTable(t, "a")
	tb.ask(1, 1, time.Second, nil)
	running := tb.take()
	tb.ask(2, 1, time.Second, nil)
	tb.handle(batch.JobDropped{Job: 1})
	tb.handle(batch.JobDropped{Job: 2})
	tb.answer(running, shed.PieceComplete)
	require.Empty(t, tb.sends)
	require.Empty(t, tb.done)
	require.Len(t, tb.freed, 1)
}

// The VM stops: what waits goes back to those who asked, who ask the next VM;
// what runs is ended.
func TestStoppedHandsBack(t *testing.T) {
	tb := newTable(t, "a")
	tb.ask(1, 1, time.Second, nil)
	running := tb.take()
	tb.ask(2, 2, time.Second, nil)
	tb.handle(batch.Stopped{})
	require.Equal(t, shed.PieceMoved, tb.done[2][1].End)
	tb.answer(running, shed.PieceComplete)
	require.Equal(t, shed.PieceComplete, tb.done[1][0].End)
}

// Each piece of the next step fetches all results of this one, so a step's
// pieces stay in one zone though a server of another one is idle.
func TestTogether(t *testing.T) {
	tb := newTable(t, "a", "b")
	together := func(p *shed.Piece) { p.SameZone, p.Bytes = true, 0 }
	tb.ask(1, 6, 3*time.Second, together)
	first := tb.take()
	require.Equal(t, shed.ZoneID("a"), first.Server.Zone)
	require.Empty(t, tb.sends, "zone b gets none of them")
	tb.answer(first, shed.PieceComplete)
	require.Equal(t, shed.ZoneID("a"), tb.take().Server.Zone)
}

// Large results are wanted in zone b, whose server is busy. As long as it will
// be in time, the idle one in zone a gets none of them.
func TestNearUnlessLate(t *testing.T) {
	tb := newTable(t, "a", "b")
	near := func(p *shed.Piece) { p.PreferredZone, p.Bytes = "b", 0 }
	tb.ask(1, 1, 3*time.Second, near)
	require.Equal(t, shed.ZoneID("b"), tb.take().Server.Zone)
	tb.ask(2, 1, 3*time.Second, near)
	require.Empty(t, tb.sends)
	tb.ask(3, 1, 250*time.Millisecond, near)
	s := tb.take()
	require.Equal(t, shed.ZoneID("a"), s.Server.Zone)
	require.Equal(t, []shed.RequestID{"q3"}, requests(s))
}

// Another VM gathered before this one and told what servers hold for it. That
// room counts as taken, and comes back as those results lapse.
func TestRoomHeldForAnotherVM(t *testing.T) {
	tb := newTable(t, "a")
	tb.handle(batch.HeldElsewhere{From: "vm2", Held: map[shed.ServerID]int64{"s0": 920}, Retention: limits.ResultRetention})
	tb.ask(1, 4, 5*time.Second, func(p *shed.Piece) { p.Budget = 10 * time.Second })
	require.Empty(t, tb.sends)
	tb.pass(2 * time.Second)
	require.Len(t, tb.take().Pieces, 1)
}

// What is foreseen of an idle pool is what its configuration says: two servers make
// four pieces each in 0.19 s.
func TestForecastOfAnIdlePool(t *testing.T) {
	tb := newTable(t, "a", "b")
	f := tb.b.PredictWait(tb.now, "p", limits)
	require.InDelta(t, 8/0.19, f.Rate, 0.1)
	require.InDelta(t, 1, f.Slow, 0.01)
	require.InDelta(t, 0.18, f.Timely.Seconds(), 0.001, "a call with one piece, and its way")
}

// All calls of a pool take twice as long as its configuration says. Its pieces were
// sent just in time by the configuration, and came late. Now the calls that were
// seen count: what can't be in time that way makes room for what can.
func TestSlowPoolIsForeseenSlow(t *testing.T) {
	tb := newTable(t, "a")
	for job := range batch.JobID(20) {
		tb.ask(job+1, 1, 5*time.Second, nil)
		s := tb.take()
		tb.pass(320 * time.Millisecond)
		tb.answer(s, shed.PieceComplete)
		tb.handle(batch.FreeRequested{Refs: []shed.ResultRef{tb.done[job+1][0].Ref}})
		tb.handle(batch.FreeEnded{Refs: tb.freed})
	}
	f := tb.b.PredictWait(tb.now, "p", limits)
	require.InDelta(t, 2, f.Slow, 0.1)
	require.InDelta(t, 0.34, f.Timely.Seconds(), 0.02)
	require.InDelta(t, 4/0.38, f.Rate, 1)
}
