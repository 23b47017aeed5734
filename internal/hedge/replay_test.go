package hedge

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/retry"
)

// The replay runs streams of a fleet in virtual time: servers that fall silent and go on, some that die,
// and VMs that decide on second attempts by this package and a shared budget.

const (
	replayEvents  = 20
	replayPause   = 50 * time.Millisecond
	replayTarget  = time.Second
	replayTimeout = 8 * time.Second
	replayAnswer  = 300 * time.Millisecond
	replaySpan    = 12 * time.Second
	// replayRatio and replaySlack are the rule for repeats, over windows of replayWindow.
	replayRatio, replaySlack = 0.2, 54.0
	replayWindow             = 10 * time.Second
)

type replayServer struct {
	// silences are times of silence, deadAt when the server dies without a sign; zero if it doesn't.
	silences [][2]time.Duration
	deadAt   time.Duration
}

// goesOn returns when the server works on what is due at a time; false if it is dead by then.
func (s *replayServer) goesOn(at time.Duration) (time.Duration, bool) {
	for _, p := range s.silences {
		if at >= p[0] && at < p[1] {
			at = p[1]
		}
	}
	return at, s.deadAt == 0 || at < s.deadAt
}

type replayAttempt struct {
	runner   Runner
	server   *replayServer
	next     int
	lastSign time.Duration
	sent     bool
}

type replayStream struct {
	race             Race
	attempts         map[Runner]*replayAttempt
	began, lastEvent time.Duration
	events           []int
	sends            int
	ended            bool
	longestGap       time.Duration
}

// isWhole reports whether the caller got all events, once each and in order.
func (s *replayStream) isWhole() bool {
	for i, n := range s.events {
		if n != i+1 {
			return false
		}
	}
	return s.ended && len(s.events) == replayEvents
}

type replayStep struct {
	at  time.Duration
	seq int
	run func()
}

type replayQueue []replayStep

func (q replayQueue) Len() int { return len(q) }
func (q replayQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q replayQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *replayQueue) Push(x any)   { *q = append(*q, x.(replayStep)) }
func (q *replayQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// replay is a fleet in virtual time.
type replay struct {
	rng     *rand.Rand
	now     time.Duration
	queue   replayQueue
	seq     int
	servers []*replayServer
	streams []*replayStream
	// repeats are the times of second attempts.
	repeats []time.Duration
}

func (w *replay) at(t time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, replayStep{max(t, w.now), w.seq, run})
}

// begin starts an attempt of a stream and has its server send the events that the caller doesn't have.
func (w *replay) begin(s *replayStream, server *replayServer) {
	runner, ok := s.race.Start()
	if !ok {
		return
	}
	a := &replayAttempt{runner: runner, server: server, next: len(s.events) + 1, lastSign: w.now}
	s.attempts[runner] = a
	s.sends++
	w.send(s, a, w.now+replayAnswer)
}

// send has the server send the next event of an attempt when it is due.
func (w *replay) send(s *replayStream, a *replayAttempt, due time.Duration) {
	due, alive := a.server.goesOn(due)
	if !alive {
		return
	}
	w.at(due, func() {
		if s.ended || !s.race.Deliver(a.runner) {
			return
		}
		s.longestGap = max(s.longestGap, w.now-s.lastEvent)
		s.events, s.lastEvent, a.lastSign, a.sent = append(s.events, a.next), w.now, w.now, true
		if a.next++; a.next > replayEvents {
			s.ended = true
			return
		}
		w.send(s, a, w.now+replayPause)
	})
}

// check decides on a second attempt for the attempt in flight.
func (w *replay) check(s *replayStream, budget *retry.Budget) {
	if s.ended || w.now-s.began >= replayTimeout {
		return
	}
	next := RecheckInterval
	if !s.race.Contested() {
		for _, a := range s.attempts {
			if s.race.IsInFlight(a.runner) {
				next = w.decide(s, a, budget)
			}
		}
	}
	if next > 0 {
		w.at(w.now+next, func() { w.check(s, budget) })
	}
}

func (w *replay) decide(s *replayStream, a *replayAttempt, budget *retry.Budget) time.Duration {
	silence := w.now - a.lastSign
	verdict, next := Wait{
		Streaming: true, Begun: a.sent, Silence: silence, ServerSilence: silence, PoolSilent: w.isPoolSilent(),
		Target: replayTarget, Left: replayTimeout - (w.now - s.began), Answer: replayAnswer,
	}.Decide()
	switch verdict {
	case Stay:
		return next
	case TooLate:
		return 0
	}
	second := w.servers[w.rng.IntN(len(w.servers))]
	if _, alive := second.goesOn(w.now); !alive || second == a.server || !budget.Take(time.Unix(0, 0).Add(w.now)) {
		return RecheckInterval
	}
	w.repeats = append(w.repeats, w.now)
	w.begin(s, second)
	return RecheckInterval
}

func (w *replay) isPoolSilent() bool {
	for _, s := range w.servers {
		if at, alive := s.goesOn(w.now); alive && at == w.now {
			return false
		}
	}
	return true
}

// newReplay draws a fleet: servers silent once or twice, all, most or one of them, with or without deaths.
func newReplay(seed uint64, vms int) *replay {
	w := &replay{rng: rand.New(rand.NewPCG(seed, 7))}
	share := []float64{1, 0.6, 0.1}[w.rng.IntN(3)]
	for range vms * 2 {
		w.servers = append(w.servers, &replayServer{})
	}
	for at := 2 * time.Second; at < replaySpan; at += 5 * time.Second {
		d := 500*time.Millisecond + time.Duration(w.rng.Int64N(int64(1400*time.Millisecond)))
		for _, s := range w.servers[:max(int(share*float64(len(w.servers))), 1)] {
			s.silences = append(s.silences, [2]time.Duration{at, at + d})
		}
	}
	slack := replaySlack * 0.6 / float64(vms)
	for range vms {
		budget := retry.New(retry.Config{Share: 0.6 * replayRatio, Burst: max(slack/2, 1), Floor: slack / 2 / replayWindow.Seconds()})
		for at := time.Duration(0); at < replaySpan; at += time.Duration(50+w.rng.IntN(100)) * time.Millisecond {
			w.at(at, func() {
				budget.Succeeded(time.Unix(0, 0).Add(w.now))
				s := &replayStream{attempts: map[Runner]*replayAttempt{}, began: w.now, lastEvent: w.now}
				w.streams = append(w.streams, s)
				w.begin(s, w.servers[w.rng.IntN(len(w.servers))])
				w.at(w.now+FirstCheck(true), func() { w.check(s, budget) })
			})
		}
	}
	return w
}

func (w *replay) run() {
	for len(w.queue) > 0 {
		step := heap.Pop(&w.queue).(replayStep)
		w.now = step.at
		step.run()
	}
}

// mostRepeats returns the most second attempts within a window.
func (w *replay) mostRepeats() int {
	most := 0
	for i, from := range w.repeats {
		n := i
		for n < len(w.repeats) && w.repeats[n] < from+replayWindow {
			n++
		}
		most = max(most, n-i)
	}
	return most
}

// Guards against streams that are cut, skip or repeat an event, or wait longer than their server was silent
// because of second attempts, and against more of these than the fleet's retry budget allows.
func TestStreamsOfSilentServersInAnyFleet(t *testing.T) {
	for _, vms := range []int{7, 24, 84, 195} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%d VMs, seed %d", vms, seed), func(t *testing.T) {
				w := newReplay(seed, vms)
				w.run()
				for _, s := range w.streams {
					if !s.isWhole() || s.longestGap >= 1900*time.Millisecond+replayAnswer+100*time.Millisecond {
						t.Fatalf("began at %v: ended %v, events %v, longest silence %v", s.began, s.ended, s.events, s.longestGap)
					}
				}
				bound := replayRatio*float64(len(w.streams))*replayWindow.Seconds()/replaySpan.Seconds() + replaySlack
				require.LessOrEqual(t, float64(w.mostRepeats()), bound)
			})
		}
	}
}

// Guards against streams that stay with a dead server although another one could go on in time.
func TestStreamsLeaveServersThatDieSilently(t *testing.T) {
	w := newReplay(3, 24)
	w.servers[0].deadAt = 4 * time.Second
	w.run()
	checked := 0
	for _, s := range w.streams {
		// Later ones may find the budget spent, which requests fill.
		if s.began > replaySpan-replayTimeout/2 {
			continue
		}
		checked++
		require.True(t, s.ended, "began at %v, %d events, %d sends", s.began, len(s.events), s.sends)
	}
	require.NotZero(t, checked)
}
