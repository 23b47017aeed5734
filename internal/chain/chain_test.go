package chain_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/chain"
)

const ms = time.Millisecond

var limits = shed.BatchLimits{Most: 10, CallTime: 150 * ms, PieceTime: 10 * ms, KeepFor: 4 * time.Second}

func TestLongestPath(t *testing.T) {
	c := chain.Chain{
		{Pieces: 1, Limits: limits, Servers: 2},
		{Pieces: 5, Limits: limits, Servers: 2, After: []int{0}},
		{Pieces: 2, Limits: limits, Servers: 2},
		{Pieces: 30, Limits: limits, Servers: 2, After: []int{1, 2}},
	}
	require.Equal(t, 250*ms, c.Rest(1))
	require.Equal(t, 450*ms, c.Rest(0))
	require.Equal(t, 250*ms, c.Rest(2))
	require.Equal(t, 610*ms, c.Least())
	c[1].Wait = batch.Forecast{Slow: 2}
	require.Equal(t, 810*ms, c.Least(), "a slow pool")
	c[2].Wait = batch.Forecast{Timely: 2 * time.Second, Last: 3 * time.Second}
	require.Equal(t, 2260*ms, c.Wait().Timely)
	require.Equal(t, 3260*ms, c.Wait().Last)
	c[2].Coming = 80
	require.Equal(t, 3260*ms, c.Wait().Timely, "80 pieces at 80 a second")
	c[3].Servers = 0
	require.Equal(t, batch.NoServers, c.Wait().Timely)
}

// A burst of twice what the second pool of a chain makes, as when many callers ask
// for the same kind of draft. Nothing waits there at first, so all were let in, and
// most were given up after their first step had been made: work for nothing, and
// callers that waited for their refusal. By what will come, they are refused at the
// door.
func TestBurstIsRefusedAtTheDoor(t *testing.T) {
	blind, seeing := burst(false), burst(true)
	t.Logf("by what waits: %+v; by what will come, too: %+v", blind, seeing)
	require.Greater(t, blind.given, 3*seeing.given)
	require.GreaterOrEqual(t, seeing.timely, blind.timely*9/10)
}

// tally is what became of the requests of a burst.
type tally struct {
	timely, late, door, given int
	// idle is how long results of first steps lay unused, in all.
	idle time.Duration
}

const (
	aim = 1500 * ms
	// perSec requests have one piece in the first pool, then second pieces in the
	// other one, which makes 80 pieces a second.
	perSec = 27
	second = 6
	// rest is the least time of the second step.
	rest     = 210 * ms
	burstFor = 6 * time.Second
)

var pools = []shed.PoolID{"one", "two"}

// request is a request that was let in.
type request struct {
	began time.Time
	step  int
}

// running is a call that a server works on.
type running struct {
	send batch.Send
	ends time.Time
}

// site is a chain of two pools in virtual time.
type site struct {
	now      time.Time
	b        *batch.Batcher
	requests map[batch.JobID]*request
	calls    []running
	lastJob  batch.JobID
	// coming are the pieces that requests will ask of the second pool.
	coming int
	tally  tally
}

// burst plays a burst. With seeing, requests are let in by what will come, too.
func burst(seeing bool) tally {
	s := &site{now: time.Unix(1_700_000_000, 0), requests: map[batch.JobID]*request{}}
	s.b = batch.New(func(pool shed.PoolID) []shed.Listing {
		return []shed.Listing{{ID: shed.ServerID(pool) + "1", Born: 1}, {ID: shed.ServerID(pool) + "2", Born: 1}}
	})
	rng := rand.New(rand.NewPCG(1, 1))
	end := s.now.Add(burstFor)
	for next := s.now; s.now.Before(end.Add(2 * aim)); s.now = s.now.Add(ms) {
		s.endCalls()
		s.perform(s.b.Handle(s.now, batch.Tick{}))
		if s.now.Before(next) || s.now.After(end) {
			continue
		}
		next = next.Add(time.Duration(rng.ExpFloat64() * float64(time.Second/perSec)))
		s.arrive(seeing)
	}
	return s.tally
}

// arrive lets a request in, or refuses it at the door.
func (s *site) arrive(seeing bool) {
	c := chain.Chain{
		{Pieces: 1, Limits: limits, Servers: 2, Wait: s.b.Wait(s.now, pools[0], limits)},
		{Pieces: second, Limits: limits, Servers: 2, Wait: s.b.Wait(s.now, pools[1], limits), After: []int{0}},
	}
	if seeing {
		c[1].Coming = s.coming
	}
	if c.Wait().Timely > aim {
		s.tally.door++
		return
	}
	s.coming += second
	s.ask(&request{began: s.now})
}

func (s *site) ask(r *request) {
	s.lastJob++
	s.requests[s.lastJob] = r
	pieces, after := make([]shed.Piece, 1), rest
	if r.step > 0 {
		pieces, after = make([]shed.Piece, second), 0
	}
	for i := range pieces {
		pieces[i].Aim, pieces[i].Left = r.began.Add(aim-after).Sub(s.now), 5*time.Second
	}
	s.perform(s.b.Handle(s.now, batch.Asked{Job: s.lastJob, Pool: pools[r.step], Limits: limits, Pieces: pieces}))
}

func (s *site) perform(acts []batch.Action) {
	for _, act := range acts {
		switch a := act.(type) {
		case batch.Send:
			took := limits.CallTime + time.Duration(len(a.Pieces))*limits.PieceTime
			s.calls = append(s.calls, running{send: a, ends: s.now.Add(took)})
		case batch.Done:
			s.done(a)
		}
	}
}

func (s *site) done(a batch.Done) {
	r := s.requests[a.Job]
	delete(s.requests, a.Job)
	if r.step == 0 {
		s.coming -= second
	}
	switch {
	case a.Results[0].End != shed.PieceMade:
		s.tally.given++
	case r.step == 0:
		r.step++
		s.ask(r)
	case s.now.Sub(r.began) > aim:
		s.tally.late++
	default:
		s.tally.timely++
	}
}

// endCalls answers the calls whose time is over.
func (s *site) endCalls() {
	calls := s.calls
	s.calls = nil
	for _, c := range calls {
		if s.now.Before(c.ends) {
			s.calls = append(s.calls, c)
			continue
		}
		results := make([]shed.PieceResult, len(c.send.Pieces))
		for i := range results {
			results[i].End = shed.PieceMade
		}
		s.perform(s.b.Handle(s.now, batch.CallEnded{Call: c.send.Call, Results: results}))
	}
}
