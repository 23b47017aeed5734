package accept_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	idle := accept.Request{
		Route: "draft", ToTarget: 2700 * ms, ToDeadline: 6 * time.Second, Answer: 200 * ms,
		MinTime: 900 * ms, Timely: time.Second, Last: time.Second,
	}
	cases := []struct {
		name     string
		change   func(*accept.Request)
		admitted bool
		// retryAfter is when the caller may retry, if it is refused.
		retryAfter time.Duration
	}{
		{"calm", func(*accept.Request) {}, true, 0},
		{"in time with what queues will grow by", func(a *accept.Request) { a.Timely = 2170 * ms }, true, 0},
		{"late by what queues will grow by", func(a *accept.Request) { a.Timely, a.Last = 2200*ms, 2200*ms }, false, 300 * ms},
		{"retry when it would be in time", func(a *accept.Request) { a.Timely, a.Last = 3*time.Second, 3*time.Second }, false, 950 * ms},
		{"retry time is capped for a long queue", func(a *accept.Request) { a.Timely, a.Last = 9*time.Second, 9*time.Second }, false, 1500 * ms},
		{"late, but queues nearly empty", func(a *accept.Request) { a.ToTarget, a.Timely, a.Last = 0, 1500*ms, 1500*ms }, true, 0},
		{"late, and after its caller has gone", func(a *accept.Request) { a.ToTarget, a.ToDeadline = 0, 1100*ms }, false, 1350 * ms},
		{"no server", func(a *accept.Request) { a.Timely, a.Last = time.Hour, time.Hour }, false, 1500 * ms},
		{"urgent ranks, empty queues", func(a *accept.Request) { a.UrgentRanks, a.Timely = 2, 900*ms }, true, 0},
		{"urgent ranks, full queues", func(a *accept.Request) { a.UrgentRanks, a.Timely, a.Last = 1, 2*time.Second, 2*time.Second }, false, 900 * ms},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := idle
			c.change(&a)
			v := accept.New().Decide(a)
			require.Equal(t, c.admitted, v.Admitted)
			require.Equal(t, c.retryAfter, v.RetryAfter.Round(ms))
		})
	}
}

// Callers ask for one and a half times a pool's throughput, half of it urgent. Without a
// reserve, urgent requests are refused as often as others or more, since their target is
// shorter; with it, the others are refused first and urgent ones hardly ever.
func TestUrgentCallersFirst(t *testing.T) {
	without, with := overload(9, 9, 0), overload(9, 9, 1)
	t.Logf("without a reserve: urgent %.2f other %.2f; with: urgent %.2f other %.2f",
		without.urgent, without.other, with.urgent, with.other)
	require.Less(t, without.urgent, 0.75)
	require.Greater(t, with.urgent, 0.9)
}

// Urgent requests alone exceed a pool's throughput for a long time. Guards against starving
// the others, whose admitted share has to be about two fifths of that of urgent ones.
func TestNobodyStarves(t *testing.T) {
	got := overload(20, 4, 1)
	t.Logf("urgent %.2f other %.2f", got.urgent, got.other)
	require.Greater(t, got.other, 0.35*got.urgent)
}

// admittedShares are the shares of admitted requests.
type admittedShares struct{ urgent, other float64 }

// overload sends requests of two routes to a pool that serves twelve a second in order of
// arrival.
func overload(urgentPerSec, otherPerSec float64, ranks int) admittedShares {
	const perSec, last = 12, 30 * time.Second
	rng := rand.New(rand.NewPCG(1, 1))
	g := accept.New()
	var queue time.Duration
	var requested, admitted [2]float64
	for now := time.Duration(0); now < last; {
		gap := time.Duration(rng.ExpFloat64() * float64(time.Second) / (urgentPerSec + otherPerSec))
		now, queue = now+gap, max(queue-gap, 0)
		a := accept.Request{
			Route: "urgent", ToTarget: 2700 * ms, ToDeadline: 6 * time.Second, Answer: 200 * ms,
			MinTime: 900 * ms, Timely: 900*ms + queue, Last: 900*ms + queue,
		}
		kind := 0
		if rng.Float64() < otherPerSec/(urgentPerSec+otherPerSec) {
			kind = 1
			a.Route, a.ToTarget, a.ToDeadline = "other", 3100*ms, 20*time.Second
			a.MoreUrgent, a.UrgentRanks = []shed.RouteID{"urgent"}, ranks
		}
		requested[kind]++
		if g.Decide(a).Admitted {
			admitted[kind]++
			queue += time.Second / perSec
		}
	}
	return admittedShares{urgent: admitted[0] / requested[0], other: admitted[1] / requested[1]}
}

// A route is removed from the configuration and added again under its old name. Its earlier
// refusals must not count any more.
func TestKeep(t *testing.T) {
	g := accept.New()
	late := accept.Request{Route: "other", ToDeadline: time.Second, Timely: time.Minute, Last: time.Minute}
	for range 100 {
		require.False(t, g.Decide(late).Admitted)
		require.True(t, g.Decide(accept.Request{Route: "urgent", ToTarget: time.Second}).Admitted)
	}
	other := accept.Request{
		Route: "other", MoreUrgent: []shed.RouteID{"urgent"}, UrgentRanks: 1,
		ToTarget: 2 * time.Second, ToDeadline: 2 * time.Second, Timely: 1200 * ms, Last: 1200 * ms,
	}
	require.True(t, g.Decide(other).Admitted, "the reserve doesn't apply after so many refusals")
	g.Prune(func(id shed.RouteID) bool { return id != "other" })
	require.False(t, g.Decide(other).Admitted)
}
