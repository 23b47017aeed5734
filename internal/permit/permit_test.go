package permit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
	"jasmineshed/internal/permit"
)

var (
	start = time.Unix(1_700_000_000, 0)
	one   = shed.ServerStart{Server: "s1", StartedMs: 1}
)

const lease = time.Second

func request(rank int, patience time.Duration) permit.Request {
	return permit.Request{Start: one, Slots: 3, Rank: rank, Patience: patience, Lease: lease}
}

// Guards against a server that comes back to all that waited for it: its first request goes alone.
func TestFirstRequestGoesAlone(t *testing.T) {
	l := permit.NewLedger()
	first := l.Take(start, request(0, 0))
	require.True(t, first.Granted)
	require.False(t, l.Take(start, request(0, 0)).Granted)
	l.Return(start, one, first.ID, false)
	a, b, c := l.Take(start, request(0, 0)), l.Take(start, request(0, 0)), l.Take(start, request(0, 0))
	require.Equal(t, []bool{true, true, false}, []bool{a.Granted, b.Granted, c.Granted})
	require.Positive(t, c.Wait)
}

// Guards against urgent requests behind others in the queue.
func TestUrgentRequestsFirst(t *testing.T) {
	l := permit.NewLedger()
	held := l.Take(start, request(0, 0))
	var ids []permit.ID
	for _, rank := range []int{2, 1, 0, 1} {
		ids = append(ids, l.Take(start, request(rank, lease)).ID)
	}
	require.Equal(t, []permit.ID{ids[2], ids[1]}, l.Return(start, one, held.ID, false))
}

// Guards against permits that are lost with their VM.
func TestLeaseEnds(t *testing.T) {
	l := permit.NewLedger()
	require.True(t, l.Take(start, request(0, 0)).Granted)
	waiting := l.Take(start, request(0, 2*lease))
	require.Empty(t, l.Tick(start.Add(lease)))
	require.Equal(t, []permit.ID{waiting.ID}, l.Tick(start.Add(lease+time.Millisecond)))
}

// Guards against a permit that is held until its lease ends although its requester gave up: the return
// arrives before the request, twice, or while the request waits.
func TestReturnWithoutAnAnswer(t *testing.T) {
	l := permit.NewLedger()
	ask := func(random uint64, patience time.Duration) permit.Decision {
		a := request(0, patience)
		a.ID = permit.ChosenID(random)
		return l.Take(start, a)
	}
	l.Return(start, one, permit.ChosenID(1), false)
	require.False(t, ask(1, lease).Granted, "returned before it arrived")
	held := ask(2, 0)
	require.Equal(t, permit.Decision{ID: permit.ChosenID(2), Granted: true}, held)
	require.True(t, ask(3, lease).Queued)
	require.True(t, ask(4, lease).Queued)
	require.Empty(t, l.Return(start, one, permit.ChosenID(3), false))
	require.Equal(t, []permit.ID{permit.ChosenID(4)}, l.Return(start, one, held.ID, true))
	require.Empty(t, l.Return(start, one, held.ID, true), "a second return")
	require.False(t, ask(5, 0).Granted, "the limit is 1")
}

// Guards against returns that are forgotten because many requests waited in vain.
func TestRequestsThatWaitInVain(t *testing.T) {
	l := permit.NewLedger()
	now := start
	l.Take(now, request(0, 0))
	for i := range 2000 {
		a := request(0, time.Microsecond)
		a.ID = permit.ChosenID(uint64(i))
		require.True(t, l.Take(now, a).Queued)
		now = now.Add(2 * time.Microsecond)
		l.Tick(now)
		l.Leave(now, one, a.ID)
	}
	l.Return(now, one, permit.ChosenID(5000), false)
	late := request(0, lease)
	late.ID = permit.ChosenID(5000)
	got := l.Take(now, late)
	require.False(t, got.Granted || got.Queued)
}

// Guards against requests with ids of their own that overtake those that wait, and against the ids of
// requesters that choose none.
func TestFirstComeFirstServed(t *testing.T) {
	l := permit.NewLedger()
	held := l.Take(start, request(0, 0))
	require.Equal(t, permit.ID(1), held.ID)
	var ids []permit.ID
	for _, random := range []uint64{9, 3, 6} {
		a := request(0, lease)
		a.ID = permit.ChosenID(random)
		ids = append(ids, l.Take(start, a).ID)
	}
	require.Equal(t, ids[:2], l.Return(start, one, held.ID, false))
}

// Random orders of requests, returns, rejections and lost messages. Guards against more permits than a
// server has slots and one spare, and against requests that are granted two.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := permit.NewLedger(), start
		held, queued := map[permit.ID]time.Time{}, []permit.ID{}
		grant := func(ids []permit.ID) {
			for _, id := range ids {
				require.Contains(t, queued, id)
				queued = slices.DeleteFunc(queued, func(q permit.ID) bool { return q == id })
				held[id] = now.Add(lease)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			for id, until := range held {
				if now.After(until) {
					delete(held, id)
				}
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				d := l.Take(now, request(rapid.IntRange(0, 2).Draw(t, "rank"), time.Duration(rapid.IntRange(0, 1).Draw(t, "patience"))*lease))
				if d.Granted {
					held[d.ID] = now.Add(lease)
				} else if d.Queued {
					queued = append(queued, d.ID)
				}
			case 2:
				ids := append(slices.Clone(queued), 0)
				for id := range held {
					ids = append(ids, id)
				}
				slices.Sort(ids)
				id := rapid.SampledFrom(ids).Draw(t, "id")
				delete(held, id)
				queued = slices.DeleteFunc(queued, func(q permit.ID) bool { return q == id })
				grant(l.Return(now, one, id, rapid.Bool().Draw(t, "rejected")))
			case 3:
				grant(l.Tick(now))
			}
			require.LessOrEqual(t, len(held), 4)
		}
	})
}

// delivery is something that happens at a time of a simulation.
type delivery struct {
	at time.Duration
	do func(now time.Duration)
}

// Virtual time: servers that run 6 requests of 30 ms at once and let one wait, callers that ask for 1.4
// times what they can run at any of many VMs, and messages between VMs that take up to 4 ms. Guards
// against servers that turn away more than they bear, and against servers that are left idle.
func TestBrittlePoolAtSize(t *testing.T) {
	const slots, room, work, most = 6, 7, 30 * time.Millisecond, 5
	for _, servers := range []int{3, 4, 20} {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(servers)))
			l := permit.NewLedger()
			var events []delivery
			after := func(now, d time.Duration, do func(time.Duration)) {
				e := delivery{now + d, do}
				at, _ := slices.BinarySearchFunc(events, e, func(x, y delivery) int { return int(x.at - y.at) })
				events = slices.Insert(events, at, e)
			}
			hop := func() time.Duration { return time.Duration(rng.Int64N(int64(4 * time.Millisecond))) }
			running, rejections, ran := make([]int, servers), make([]int, servers), 0
			waiting := map[permit.ID]func(time.Duration){}
			var send func(s int, id permit.ID) func(time.Duration)
			giveBack := func(now time.Duration, s int, id permit.ID, rejected bool) {
				after(now, hop(), func(now time.Duration) {
					for _, next := range l.Return(start.Add(now), serverStart(s), id, rejected) {
						after(now, hop(), waiting[next])
						delete(waiting, next)
					}
				})
			}
			send = func(s int, id permit.ID) func(time.Duration) {
				return func(now time.Duration) {
					if running[s] >= room {
						rejections[s]++
						giveBack(now, s, id, true)
						return
					}
					running[s]++
					wait := time.Duration(max(running[s]-slots, 0)) * work / slots
					after(now, wait+time.Duration(rng.ExpFloat64()*float64(work)), func(now time.Duration) {
						running[s]--
						ran++
						giveBack(now, s, id, false)
					})
				}
			}
			capacity := float64(servers*slots) / work.Seconds()
			const span = 6 * time.Second
			for at := time.Duration(0); at < span; at += time.Duration(rng.ExpFloat64() * float64(time.Second) / (1.4 * capacity)) {
				s := rng.IntN(servers)
				after(at, hop(), func(now time.Duration) {
					d := l.Take(start.Add(now), permit.Request{Start: serverStart(s), Slots: slots, Patience: 400 * time.Millisecond, Lease: time.Second})
					switch {
					case d.Granted:
						after(now, hop(), send(s, d.ID))
					case d.Queued:
						waiting[d.ID] = send(s, d.ID)
					}
				})
			}
			for len(events) > 0 && events[0].at < span {
				e := events[0]
				events = events[1:]
				e.do(e.at)
			}
			worst := slices.Max(rejections)
			share := float64(ran) / (capacity * span.Seconds())
			t.Logf("%d rejections at one server in %v, %.2f of what the servers can run", worst, span, share)
			require.LessOrEqual(t, worst, most)
			require.GreaterOrEqual(t, share, 0.9)
		})
	}
}

func serverStart(i int) shed.ServerStart {
	return shed.ServerStart{Server: shed.ServerID(fmt.Sprint("s", i)), StartedMs: 1}
}
