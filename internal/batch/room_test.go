package batch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/room"
)

// largeResults are the limits of a pool whose servers have capacity for 22 results of 3 MB, of which
// 20 are used, and make 12 of them in 282 ms.
var largeResults = shed.BatchLimits{
	MaxPieces: 12, CallTime: 150 * time.Millisecond, PieceTime: 11 * time.Millisecond,
	ResultCapacity: 67_000_000, LargestResult: resultBytes, ResultRetention: 4 * time.Second,
}

const (
	poolServers, resultBytes = 19, 3_000_000
	// heldFor is how long callers hold results after their call, freeRoundTrip how long freeing takes.
	heldFor, freeRoundTrip = 440 * time.Millisecond, 10 * time.Millisecond
	// reportTime is how long a server takes to report its free capacity.
	reportTime = 5 * time.Millisecond
)

// stock is what one server really holds.
type stock struct {
	// reserved is the size of the results of its call in flight, held of those produced for this VM.
	reserved, held int64
	// foreign are results of processes that are gone, each until a time.
	foreign []time.Time
}

func (s *stock) used(now time.Time) int64 {
	used := s.reserved + s.held
	for _, until := range s.foreign {
		if now.Before(until) {
			used += resultBytes
		}
	}
	return used
}

// roomReplay replays a pool under a load beyond its result capacity in virtual time.
type roomReplay struct {
	t      *testing.T
	b      *batch.Batcher
	now    time.Time
	limits shed.BatchLimits
	stocks map[shed.ServerID]*stock
	// timers are the events of the future, in steps of a millisecond.
	timers map[time.Time][]func()
	owners map[shed.ResultRef]shed.ServerID
	// refused counts pieces refused for lack of capacity, surveys calls that ask servers.
	made, refused, surveys int
	// starts are the calls that were not full while pieces were left pending, usedAtStart the capacity
	// that was used when these began.
	starts, usedAtStart int64
	// silent: servers don't answer surveys.
	silent bool
}

func newRoomReplay(t *testing.T, l shed.BatchLimits) *roomReplay {
	r := &roomReplay{
		t: t, now: start, limits: l, stocks: map[shed.ServerID]*stock{}, timers: map[time.Time][]func(){},
		owners: map[shed.ResultRef]shed.ServerID{},
	}
	var servers []shed.ServerEntry
	for i := range poolServers {
		id := shed.ServerID(fmt.Sprintf("s%02d", i))
		servers = append(servers, shed.ServerEntry{ID: id, Pool: "p", StartedMs: 1, Zone: shed.ZoneID(fmt.Sprint("z", i%4))})
		r.stocks[id] = &stock{}
	}
	r.b = batch.New(func(shed.PoolID) []shed.ServerEntry { return servers })
	return r
}

func (r *roomReplay) after(d time.Duration, f func()) {
	at := r.now.Add(d)
	r.timers[at] = append(r.timers[at], f)
}

func (r *roomReplay) handle(ev batch.Event) {
	for _, act := range r.b.Handle(r.now, ev) {
		switch a := act.(type) {
		case batch.Survey:
			r.surveys++
			if !r.silent {
				r.after(reportTime, func() {
					free := max(r.limits.ResultCapacity-r.stocks[a.Server.ID].used(r.now), 0)
					r.handle(batch.SurveyEnded{Survey: a, Answered: true, FreeBytes: free})
				})
			}
		case batch.Send:
			r.run(a)
		case batch.Done:
			var refs []shed.ResultRef
			for _, res := range a.Results {
				if res.End == shed.PieceComplete {
					refs = append(refs, res.Ref)
				}
			}
			r.after(heldFor, func() { r.handle(batch.FreeRequested{Refs: refs}) })
		case batch.Free:
			r.after(freeRoundTrip, func() { r.free(a.Refs) })
		}
	}
}

func (r *roomReplay) free(refs []shed.ResultRef) {
	for _, ref := range refs {
		r.stocks[r.owners[ref]].held -= resultBytes
	}
	r.handle(batch.FreeEnded{Refs: refs})
}

// run runs a call. A server refuses the pieces that it has no capacity for.
func (r *roomReplay) run(a batch.Send) {
	s := r.stocks[a.Server.ID]
	results := make([]shed.PieceResult, len(a.Pieces))
	for i := range results {
		if s.used(r.now)+resultBytes > r.limits.ResultCapacity {
			results[i].End = shed.PieceNoCapacity
			r.refused++
			continue
		}
		s.reserved += resultBytes
		r.made++
		results[i] = shed.PieceResult{End: shed.PieceComplete, Ref: shed.ResultRef(fmt.Sprint(r.made))}
		r.owners[results[i].Ref] = a.Server.ID
	}
	if len(a.Pieces) < r.limits.MaxPieces && a.Pending > 0 {
		r.starts++
		r.usedAtStart += s.used(r.now)
	}
	took := r.limits.CallTime + time.Duration(len(a.Pieces))*r.limits.PieceTime
	r.after(took, func() {
		s.held, s.reserved = s.held+s.reserved, 0
		r.handle(batch.CallEnded{Call: a.Call, Results: results})
	})
}

// play adds perSec pieces a second for a time. It returns the share of the usable capacity that is in
// use once a call has begun that could not be full, and the share that is in use on average: a server
// runs one call at a time, so capacity that becomes free during a call is unused until its end.
func (r *roomReplay) play(perSec int, span time.Duration) (atStart, mean float64) {
	const usable = 20 * resultBytes
	var used, samples int64
	added, from := 0, r.now
	for ; r.now.Before(from.Add(span)); r.now = r.now.Add(time.Millisecond) {
		for _, f := range r.timers[r.now] {
			f()
		}
		delete(r.timers, r.now)
		elapsed := r.now.Sub(from)
		for ; added < int(elapsed.Seconds()*float64(perSec)); added++ {
			p := shed.Piece{Bytes: resultBytes, Budget: 2 * time.Second, Target: 700 * time.Millisecond}
			r.handle(batch.JobAdded{Job: batch.JobID(added + 1), Pool: "p", Limits: r.limits, Pieces: []shed.Piece{p}})
		}
		if elapsed%(100*time.Millisecond) == 0 {
			r.handle(batch.Tick{})
		}
		for _, s := range r.stocks {
			samples++
			used += s.used(r.now)
		}
	}
	return float64(r.usedAtStart) / float64(r.starts*usable), float64(used) / float64(samples*usable)
}

// holdUnknown fills half of each server with results of processes that are gone, made at a constant
// rate and retained to their end.
func (r *roomReplay) holdUnknown() {
	for _, s := range r.stocks {
		for i := range 10 {
			s.foreign = append(s.foreign, r.now.Add(time.Duration(i+1)*r.limits.ResultRetention/10))
		}
	}
}

// Results of 3 MB are requested at 1.4 times what the result capacity allows, also while servers still
// hold results that this VM doesn't know, as after a restart of the whole fleet. No server may refuse
// a piece, and calls must use the capacity. Without the survey, servers refuse pieces until the unknown
// results have expired.
func TestResultCapacityIsUsedAndNotExceeded(t *testing.T) {
	for _, c := range []struct {
		name              string
		unknown, disabled bool
	}{
		{"known results", false, false},
		{"unknown results", true, false},
		{"unknown results, disabled", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := largeResults
			if c.disabled {
				l.LargestResult = 0
			}
			r := newRoomReplay(t, l)
			if c.unknown {
				r.holdUnknown()
			}
			atStart, mean := r.play(730, 6*time.Second)
			t.Logf("%.3f of the usable capacity used at the start of calls, %.3f on average, %d results, %d refused", atStart, mean, r.made, r.refused)
			if c.disabled {
				require.Zero(t, r.surveys)
				require.Greater(t, r.refused, 100)
				return
			}
			require.Equal(t, poolServers, r.surveys, "each server is asked once")
			require.Zero(t, r.refused)
			require.GreaterOrEqual(t, atStart, 0.95)
		})
	}
}

// Servers that don't answer surveys must get calls after the longest wait, and as if they were empty.
func TestSurveyWithoutAnswer(t *testing.T) {
	r := newRoomReplay(t, largeResults)
	r.silent = true
	r.play(100, room.SurveyWait+10*time.Millisecond)
	require.Zero(t, r.made)
	r.handle(batch.Tick{})
	require.Equal(t, 10, r.made)
}

// A VM must ask again once another VM has coordinated the pool, but not merely after a pause.
func TestSurveyAfterAnotherCoordinator(t *testing.T) {
	r := newRoomReplay(t, largeResults)
	r.play(100, time.Second)
	r.now = r.now.Add(2 * largeResults.ResultRetention)
	r.play(100, time.Second)
	require.Equal(t, poolServers, r.surveys)
	r.now = r.now.Add(largeResults.ResultRetention)
	r.handle(batch.HeldElsewhere{From: "vm2", Held: map[shed.ServerID]int64{"s00": 1}, Retention: largeResults.ResultRetention})
	r.now = r.now.Add(largeResults.ResultRetention)
	r.play(100, time.Second)
	require.Equal(t, 2*poolServers, r.surveys)
}

// The forecast must show that the capacity for results is used up, and none of it where the capacity
// can't bind.
func TestForecastOfCapacity(t *testing.T) {
	r := newRoomReplay(t, largeResults)
	r.play(730, 3*time.Second)
	f := r.b.PredictWait(r.now, "p", largeResults)
	t.Logf("%+v, stay %v", f, r.b.MeanStay("p"))
	require.InDelta(t, heldFor+freeRoundTrip, r.b.MeanStay("p"), float64(time.Millisecond))
	require.InDelta(t, poolServers*61.64e6/0.732, f.Room.ByteRate, 0.1*poolServers*61.64e6/0.732)
	require.Greater(t, f.Room.PendingBytes, int64(100*resultBytes))
	require.Less(t, f.Room.FreeBytes, int64(0.2*poolServers*61.64e6), "most of it is in use or released during calls")
	require.Equal(t, f, batch.NewForecast(f.Wait("p")), "peers get all of it")
	unlimited := largeResults
	unlimited.LargestResult = 0
	require.Zero(t, r.b.PredictWait(r.now, "p", unlimited).Room)
}

// This VM was restarted while it coordinated the pool. Other VMs still free their results through it, so
// the capacity of those must not count as used until the retention time is over.
func TestUnknownResultsThatAreFreed(t *testing.T) {
	tb := newHarness(t, "a")
	l := limits
	l.LargestResult = 200
	pieces := []shed.Piece{{Bytes: 200, Budget: 5 * time.Second, Target: time.Second}}
	tb.handle(batch.JobAdded{Job: 1, Pool: "p", Limits: l, Pieces: pieces})
	survey := batch.Survey{Pool: "p", Server: tb.servers[0]}
	require.Equal(t, []batch.Survey{survey}, tb.surveys)
	tb.handle(batch.SurveyEnded{Survey: survey, Answered: true})
	require.Empty(t, tb.sends, "the server is full")
	tb.handle(batch.FreeEnded{Refs: []shed.ResultRef{"s0/1", "s0/2"}, Server: tb.servers[0]})
	require.Equal(t, int64(600), tb.b.UnknownBytes(tb.now, "s0"))
	require.Len(t, tb.sends, 1)
}
