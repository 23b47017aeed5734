package resv_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
	"jasmineshed/internal/resv"
)

const ms = time.Millisecond

var start = time.Unix(1_700_000_000, 0)

// busy is the load of a pool that makes 100 pieces a second and has 600 ms of them queued.
var busy = resv.Load{Rate: 100, Queue: 600 * ms}

// late is a request that is in time if it queues for at most 575 ms, since it leaves much to more urgent ranks.
func late(n int) resv.Request {
	return resv.Request{
		Fingerprint: fingerprint(n), Pieces: 4, ToTarget: 2700 * ms, ToDeadline: 3 * time.Second,
		Needed: 400*ms + 8*time.Second, Queue: 2 * time.Second, Least: 400 * ms,
	}
}

func fingerprint(n int) shed.Fingerprint {
	return shed.Fingerprint{byte(n), byte(n >> 8), byte(n >> 16)}
}

func TestReserve(t *testing.T) {
	idle := resv.Load{Rate: 100}
	cases := []struct {
		name    string
		load    resv.Load
		change  func(*resv.Request)
		granted bool
		wait    time.Duration
	}{
		{"the coordinator knows that it is in time", resv.Load{Rate: 100, Queue: 450 * ms}, func(*resv.Request) {}, true, 0},
		{"late by its forecast, too", resv.Load{Rate: 100, Queue: 590 * ms}, func(*resv.Request) {}, false, 150 * ms},
		{"no forecast at the VM, empty queues", idle, func(a *resv.Request) { a.Needed, a.Queue = 400*ms, 0 }, true, 0},
		{"no forecast at the VM, full queues", busy, func(a *resv.Request) { a.Needed, a.Queue, a.ToTarget = 400*ms, 0, time.Second }, false, 150 * ms},
		{"first the pool works off a long queue", resv.Load{Rate: 100, Queue: 900 * ms}, func(a *resv.Request) { a.ToTarget = 2 * time.Second; a.Least = time.Second }, false, 400 * ms},
		{"late in any case, short queue", idle, func(a *resv.Request) { a.ToTarget = 300 * ms }, true, 0},
		{"no servers", resv.Load{}, func(*resv.Request) {}, false, 0},
		{"later than a third of the time to the deadline", busy, func(a *resv.Request) { a.ToDeadline = 430 * ms }, false, 0},
		{"deadline can't be met from it", busy, func(a *resv.Request) { a.Least, a.ToDeadline = 2950*ms, 3*time.Second }, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := late(1)
			c.change(&a)
			got := resv.New(resv.Config{}).Reserve(start, c.load, a)
			require.Equal(t, c.granted, got.Granted)
			require.Equal(t, c.wait, got.Wait.Round(ms))
		})
	}
}

// Requests that are refused together get the same time, and are all refused again when they retry.
func TestReservationsAreSpread(t *testing.T) {
	l := resv.New(resv.Config{})
	var last time.Duration
	for i := range 17 {
		got := l.Reserve(start, busy, late(i))
		require.True(t, got.Promised, "%d", i)
		require.InDelta(t, 150+float64(i)*50, got.Wait.Seconds()*1000, 51, "4 pieces at 80 a second")
		require.GreaterOrEqual(t, got.Wait, last)
		last = got.Wait
	}
	require.Less(t, last, time.Second)
}

// A retry that comes a moment too early or too late is refused a second time, or a promise is used twice.
func TestDue(t *testing.T) {
	for _, c := range []struct {
		after        time.Duration
		granted, old bool
	}{{-150 * ms, false, true}, {-90 * ms, true, false}, {390 * ms, true, false}, {410 * ms, false, false}} {
		l := resv.New(resv.Config{})
		for i := range 10 {
			l.Reserve(start, busy, late(i))
		}
		wait := l.Reserve(start, busy, late(10)).Wait
		at := start.Add(wait + c.after)
		got := l.Reserve(at, busy, late(10))
		require.Equal(t, c.granted, got.Granted, "%s", c.after)
		require.Equal(t, c.granted, got.Taken)
		require.Equal(t, c.old, !got.Granted && !got.Promised, "it keeps its time")
		require.False(t, l.Reserve(at, busy, late(10)).Granted, "a reservation is used once")
	}
}

// Less urgent requests have taken all early times when urgent ones come, or promises are postponed for them.
func TestUrgentRequestsGetEarlierTimes(t *testing.T) {
	l := resv.New(resv.Config{})
	other := late(0)
	other.Rank, other.UrgentRanks = 1, 1
	first := l.Reserve(start, busy, other)
	var last resv.Decision
	for i := 1; i < 12; i++ {
		other.Fingerprint = fingerprint(i)
		last = l.Reserve(start, busy, other)
	}
	urgent := l.Reserve(start, busy, late(100))
	require.Less(t, urgent.Wait, last.Wait/2)
	other.Fingerprint = fingerprint(0)
	require.True(t, l.Reserve(start.Add(first.Wait), busy, other).Taken)
}

// Promised pieces keep out new requests of the same or a less urgent rank only.
func TestPromisedPiecesCountAsPending(t *testing.T) {
	l := resv.New(resv.Config{})
	for i := range 10 {
		a := late(i)
		a.Rank = 1
		l.Reserve(start, busy, a)
	}
	require.Zero(t, l.Ahead(start, busy.Rate, 0))
	require.Equal(t, 400*ms, l.Ahead(start, busy.Rate, 1))
	require.Equal(t, 400*ms, l.Ahead(start, busy.Rate, 2))
	_, taken := l.Arrived(fingerprint(0))
	require.True(t, taken, "a VM admitted it without asking")
	require.Equal(t, 360*ms, l.Ahead(start, busy.Rate, 1))
}

// Many requests ask within the moment in which the pieces of those granted are on their way: all are
// granted, as if the pool were idle.
func TestGrantedRequestsCountUntilTheyArrive(t *testing.T) {
	l := resv.New(resv.Config{})
	ask := func(now time.Time, i int) bool {
		a := late(i)
		a.ToDeadline = 400 * ms // too short for a reservation
		return l.Reserve(now, resv.Load{Rate: 100}, a).Granted
	}
	n := 0
	for i := range 100 {
		if ask(start, i) {
			n++
		}
	}
	require.Equal(t, 15, n, "575 ms of 4 pieces at 100 a second")
	known, taken := l.Arrived(fingerprint(0))
	require.True(t, known)
	require.False(t, taken, "it had no reservation")
	require.Equal(t, 560*ms, l.Ahead(start, 100, 0))
	require.True(t, ask(start.Add(600*ms), 100), "grants whose pieces never arrive expire")
	require.Equal(t, 40*ms, l.Ahead(start.Add(600*ms), 100, 0))
}

// Reservations that nobody takes block the pool for ever, or are not replaced by further promises.
func TestNoShows(t *testing.T) {
	l := resv.New(resv.Config{})
	now, promised := start, 0
	for i := range 2000 {
		now = now.Add(10 * ms)
		if l.Reserve(now, busy, late(i)).Promised {
			promised++
		}
		l.Expire(now)
	}
	require.InDelta(t, 1, l.Summary(now).NoShows, 0.1)
	require.InDelta(t, 20*80*4/3/4, promised, 25, "a third more than 80 pieces a second")
	require.Equal(t, 0, resv.New(resv.Config{}).Expire(now))
	now = now.Add(2 * time.Second)
	l.Expire(now)
	require.Zero(t, l.Summary(now).Reservations)
	require.Zero(t, l.Ahead(now, busy.Rate, 0))
}

func TestBound(t *testing.T) {
	l := resv.New(resv.Config{})
	for i := range resv.MaxReservations + 5 {
		a := late(i)
		a.ToDeadline = time.Minute
		require.Equal(t, i < resv.MaxReservations, l.Reserve(start, resv.Load{Rate: 2e5, Queue: 600 * ms}, a).Promised)
	}
}

// greedy is the workspace that asks for more than its share.
type greedy shed.WorkspaceID

func (g greedy) OverAt(_ time.Time, ws shed.WorkspaceID, _ int) bool {
	return ws == shed.WorkspaceID(g)
}

// A workspace above its share takes the early times of the others, or new requests of it are admitted while
// others wait.
func TestWorkspaceAboveItsShare(t *testing.T) {
	l := resv.New(resv.Config{Shares: greedy("large")})
	var last time.Duration
	for i := range 6 {
		last = l.Reserve(start, busy, late(i)).Wait
	}
	a := late(100)
	a.Workspace = "large"
	require.Greater(t, l.Reserve(start, busy, a).Wait, last)
	idle := resv.Load{Rate: 100}
	a.Fingerprint = fingerprint(101)
	require.False(t, l.Reserve(start, idle, a).Granted)
	require.True(t, l.Reserve(start, idle, late(102)).Granted)
}

func TestCombine(t *testing.T) {
	refused, admitted := accept.Verdict{RetryAfter: 900 * ms}, accept.Verdict{Admitted: true}
	for _, c := range []struct {
		own    accept.Verdict
		answer resv.Answer
		want   accept.Verdict
		out    resv.Outcome
	}{
		{refused, resv.Answer{}, refused, resv.OutcomeLocal},
		{admitted, resv.Answer{}, admitted, resv.OutcomeLocal},
		{refused, resv.Answer{Answered: true, Granted: true}, admitted, resv.OutcomeGranted},
		{admitted, resv.Answer{Answered: true, Wait: 150 * ms}, accept.Verdict{RetryAfter: 150 * ms}, resv.OutcomeReserved},
		{refused, resv.Answer{Answered: true}, refused, resv.OutcomeNone},
		{admitted, resv.Answer{Answered: true}, accept.Verdict{RetryAfter: 300 * ms}, resv.OutcomeNone},
	} {
		got, out := resv.Combine(c.own, c.answer)
		require.Equal(t, c.want, got, fmt.Sprint(c))
		require.Equal(t, c.out, out)
	}
}

// A coordinator hangs: each refusal takes as long as the timeout, or it is never asked again.
func TestAsker(t *testing.T) {
	a := resv.NewAsker()
	require.Equal(t, resv.WayAsk, a.Decide(start, "a"))
	a.Record(start, "a", false)
	for _, c := range []struct {
		after time.Duration
		vm    shed.VM
		want  resv.Way
	}{
		{200 * ms, "a", resv.WayNone}, {200 * ms, "b", resv.WayAsk}, {250 * ms, "a", resv.WayProbe},
		{251 * ms, "a", resv.WayNone}, {499 * ms, "a", resv.WayNone}, {500 * ms, "a", resv.WayProbe},
	} {
		require.Equal(t, c.want, a.Decide(start.Add(c.after), c.vm), "%s %s", c.vm, c.after)
	}
	a.Record(start.Add(600*ms), "a", true)
	require.Equal(t, resv.WayAsk, a.Decide(start.Add(600*ms), "a"))
}
