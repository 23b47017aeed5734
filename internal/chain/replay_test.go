package chain_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/chain"
)

// makers is a pool in a replay.
type makers struct {
	limits  shed.BatchLimits
	servers int
}

// kind is a kind of request in a replay.
type kind struct {
	name   string
	perSec float64
	aim    time.Duration
	// answer is how long its last results are needed once all steps are done.
	answer time.Duration
	steps  []chain.Step
	pools  []shed.PoolID
	bytes  []int64
}

// asked is one request of a replay.
type asked struct {
	kind  *kind
	began time.Time
	// awaits are the steps to be done before each step begins.
	awaits      [][]int
	begun, over []bool
	// given: it was given up.
	given bool
	// madeAt is when each step was done.
	madeAt []time.Time
	made   [][]shed.ResultRef
}

// part is one step of a request.
type part struct {
	of *asked
	at int
}

// tally is what became of the requests of one kind.
type tally struct {
	timely, late, door, given int
	// idle is how long results of first steps lay unused, in all.
	idle time.Duration
}

// running is a call that a server works on.
type running struct {
	send batch.Send
	ends time.Time
}

// replay plays a load pattern against chain and batch in virtual time.
type replay struct {
	now   time.Time
	b     *batch.Batcher
	pools map[shed.PoolID]makers
	// atOnce: each step begins as soon as those that it needs are done.
	atOnce bool
	parts  map[batch.JobID]part
	calls  []running
	// door: a request is let in if it would be in time; blind: by what waits alone,
	// not by what will come.
	door, blind bool
	// coming are the pieces that requests let in will ask of each pool.
	coming map[shed.PoolID]int
	// lying are results that servers still need, until then.
	lying []lying
	last  batch.JobID
	made  int
	tally map[string]*tally
}

type lying struct {
	refs  []shed.ResultRef
	until time.Time
}

func newReplay(pools map[shed.PoolID]makers) *replay {
	r := &replay{
		now: time.Unix(1_700_000_000, 0), pools: pools, parts: map[batch.JobID]part{}, tally: map[string]*tally{},
		coming: map[shed.PoolID]int{},
	}
	r.b = batch.New(func(pool shed.PoolID) []shed.ServerEntry {
		var out []shed.ServerEntry
		for i := range pools[pool].servers {
			out = append(out, shed.ServerEntry{ID: shed.ServerID(fmt.Sprint(pool, i)), StartedMs: 1, Zone: shed.ZoneID(fmt.Sprint("z", i))})
		}
		return out
	})
	return r
}

// play lets requests of all kinds come for a while, and waits for their ends.
func (r *replay) play(kinds []kind, span time.Duration) {
	rng := rand.New(rand.NewPCG(3, 3))
	end := r.now.Add(span)
	next := make([]time.Time, len(kinds))
	for i := range next {
		next[i] = r.now
		r.tally[kinds[i].name] = &tally{}
	}
	for ; r.now.Before(end.Add(5 * time.Second)); r.now = r.now.Add(ms) {
		r.endCalls()
		r.endLying()
		if r.now.UnixMilli()%100 == 0 {
			r.perform(r.b.Handle(r.now, batch.Tick{}))
		}
		for i := range kinds {
			if r.now.Before(next[i]) || r.now.After(end) {
				continue
			}
			next[i] = next[i].Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / kinds[i].perSec))
			r.arrive(&kinds[i])
		}
	}
}

func (r *replay) chain(k *kind) chain.Chain {
	c := slices.Clone(chain.Chain(k.steps))
	for i := range c {
		p := r.pools[k.pools[i]]
		c[i].Limits, c[i].Servers, c[i].Forecast = p.limits, p.servers, r.b.PredictWait(r.now, k.pools[i], p.limits)
		if !r.blind {
			c[i].ExpectedPieces = r.coming[k.pools[i]]
		}
	}
	return c
}

func (r *replay) arrive(k *kind) {
	n := len(k.steps)
	q := &asked{
		kind: k, began: r.now, begun: make([]bool, n), over: make([]bool, n),
		madeAt: make([]time.Time, n), made: make([][]shed.ResultRef, n),
	}
	c := r.chain(k)
	if r.door && c.Forecast().Timely > k.aim {
		r.tally[k.name].door++
		return
	}
	for i := range c {
		r.coming[k.pools[i]] += k.steps[i].Pieces
		after := c[i].After
		if with := c.StartWith(i); with >= 0 && !r.atOnce {
			after = c[with].After
		}
		q.awaits = append(q.awaits, after)
	}
	r.begin(q)
}

// begin asks for the steps that may begin.
func (r *replay) begin(q *asked) {
	c := r.chain(q.kind)
	for i, awaits := range q.awaits {
		if q.begun[i] || slices.ContainsFunc(awaits, func(at int) bool { return !q.over[at] }) {
			continue
		}
		q.begun[i] = true
		r.coming[q.kind.pools[i]] -= q.kind.steps[i].Pieces
		r.last++
		r.parts[r.last] = part{of: q, at: i}
		pieces := make([]shed.Piece, q.kind.steps[i].Pieces)
		for n := range pieces {
			pieces[n] = shed.Piece{
				Bytes: q.kind.bytes[i], Budget: 5 * time.Second, Target: q.began.Add(q.kind.aim - c.MinTimeAfter(i)).Sub(r.now),
				SameZone: q.kind.bytes[i] > 0,
			}
		}
		pool := q.kind.pools[i]
		r.perform(r.b.Handle(r.now, batch.JobAdded{Job: r.last, Pool: pool, Limits: r.pools[pool].limits, Pieces: pieces}))
	}
}

func (r *replay) perform(acts []batch.Action) {
	for _, act := range acts {
		switch a := act.(type) {
		case batch.Send:
			l := r.limitsOf(a)
			r.calls = append(r.calls, running{send: a, ends: r.now.Add(l.CallTime + time.Duration(len(a.Pieces))*l.PieceTime)})
		case batch.Done:
			r.done(a)
		case batch.Free:
			r.perform(r.b.Handle(r.now, batch.FreeEnded(a)))
		}
	}
}

func (r *replay) limitsOf(a batch.Send) shed.BatchLimits {
	return r.pools[shed.PoolID(a.Server.ID[:len(a.Server.ID)-1])].limits
}

func (r *replay) done(a batch.Done) {
	p := r.parts[a.Job]
	delete(r.parts, a.Job)
	q := p.of
	for _, res := range a.Results {
		if q.given {
			r.free([]shed.ResultRef{res.Ref})
			continue
		}
		if res.End != shed.PieceComplete {
			r.tally[q.kind.name].given++
			r.giveUp(q)
			return
		}
		q.made[p.at] = append(q.made[p.at], res.Ref)
	}
	if q.given {
		return
	}
	q.over[p.at], q.madeAt[p.at] = true, r.now
	for _, before := range q.kind.steps[p.at].After {
		r.free(q.made[before])
		q.made[before] = nil
	}
	r.begin(q)
	if slices.Contains(q.over, false) {
		return
	}
	r.tally[q.kind.name].idle += r.now.Sub(q.madeAt[0])
	r.lying = append(r.lying, lying{refs: slices.Concat(q.made...), until: r.now.Add(q.kind.answer)})
	if r.now.Add(q.kind.answer).After(q.began.Add(q.kind.aim)) {
		r.tally[q.kind.name].late++
		return
	}
	r.tally[q.kind.name].timely++
}

// giveUp ends a request whose pieces were not made. Steps that have begun go on, for
// nothing.
func (r *replay) giveUp(q *asked) {
	q.given = true
	for i, begun := range q.begun {
		if !begun {
			r.coming[q.kind.pools[i]] -= q.kind.steps[i].Pieces
			q.begun[i] = true
		}
	}
	r.free(slices.Concat(q.made...))
}

func (r *replay) free(refs []shed.ResultRef) {
	r.perform(r.b.Handle(r.now, batch.FreeRequested{Refs: refs}))
}

func (r *replay) endLying() {
	var over []shed.ResultRef
	r.lying = slices.DeleteFunc(r.lying, func(l lying) bool {
		if r.now.Before(l.until) {
			return false
		}
		over = append(over, l.refs...)
		return true
	})
	if len(over) > 0 {
		r.free(over)
	}
}

func (r *replay) endCalls() {
	calls := r.calls
	r.calls = nil
	for _, c := range calls {
		if r.now.Before(c.ends) {
			r.calls = append(r.calls, c)
			continue
		}
		results := make([]shed.PieceResult, len(c.send.Pieces))
		for i := range results {
			r.made++
			results[i] = shed.PieceResult{End: shed.PieceComplete, Ref: shed.ResultRef(fmt.Sprint(r.made))}
		}
		r.perform(r.b.Handle(r.now, batch.CallEnded{Call: c.send.Call, Results: results}))
	}
}

// Callers of short drafts are turned away or late though no server is at its limit.
// Long drafts need one large result beside a path of three steps. It was made at
// once and lay there for the whole path, in the room that short drafts need for
// theirs. Made when the path is nearly done, it leaves that room to them, and the
// long drafts are in time as before.
func TestLargeResultBesideALongPath(t *testing.T) {
	atOnce, later := largeBesidePath(true), largeBesidePath(false)
	t.Logf("at once: short %+v long %+v; later: short %+v long %+v",
		*atOnce["short"], *atOnce["long"], *later["short"], *later["long"])
	require.Less(t, later["long"].idle*2, atOnce["long"].idle, "the large result lies unused for less than half the time")
	require.Less(t, (later["short"].late+later["short"].given)*3, (atOnce["short"].late+atOnce["short"].given)*2)
	require.GreaterOrEqual(t, later["long"].timely, atOnce["long"].timely)
}

// A burst of twice what the second pool of a chain makes, as when many callers ask
// for the same kind of draft. Nothing waits there at first, so all were let in, and
// most were given up after their first step had been made: work for nothing, and
// callers that waited for their refusal. By what will come, they are refused at the
// door.
func TestBurstIsRefusedAtTheDoor(t *testing.T) {
	blind, seeing := burst(true), burst(false)
	t.Logf("by what waits: %+v; by what will come, too: %+v", blind, seeing)
	require.Greater(t, blind.given, 3*seeing.given)
	require.GreaterOrEqual(t, seeing.timely, blind.timely*9/10)
}

func burst(blind bool) tally {
	r := newReplay(map[shed.PoolID]makers{"one": {limits: limits, servers: 2}, "two": {limits: limits, servers: 2}})
	r.door, r.blind = true, blind
	r.play([]kind{{
		name: "draft", perSec: 27, aim: 1500 * ms, steps: []chain.Step{{Pieces: 1}, {Pieces: 6, After: []int{0}}},
		pools: []shed.PoolID{"one", "two"}, bytes: []int64{0, 0},
	}}, 6*time.Second)
	return *r.tally["draft"]
}

// A step that others need, or that needs others, begins as soon as it can; so does one
// that takes as long as the path beside it.
func TestBegin(t *testing.T) {
	c := chain.Chain{
		{Pieces: 1, Limits: limits, Servers: 2},
		{Pieces: 1, Limits: limits, Servers: 2},
		{Pieces: 5, Limits: limits, Servers: 2, After: []int{1}},
		{Pieces: 5, Limits: limits, Servers: 2, After: []int{2}},
	}
	require.Equal(t, 2, c.StartWith(0), "the last step alone is shorter than the step and its margin")
	for _, at := range []int{1, 2, 3} {
		require.Equal(t, -1, c.StartWith(at))
	}
	c[0].Forecast = batch.Forecast{Timely: 450 * ms}
	require.Equal(t, 1, c.StartWith(0), "its own pool is crowded")
	c[0].Forecast.Timely = 2 * time.Second
	require.Equal(t, -1, c.StartWith(0))
	require.Equal(t, -1, chain.Chain{{Pieces: 1, Limits: limits, Servers: 2}}.StartWith(0))
}

func largeBesidePath(atOnce bool) map[string]*tally {
	r := newReplay(map[shed.PoolID]makers{
		"large": {limits: shed.BatchLimits{MaxPieces: 8, CallTime: 200 * ms, PieceTime: 20 * ms, ResultCapacity: 18_000_000, ResultRetention: 4 * time.Second}, servers: 2},
		"small": {limits: shed.BatchLimits{MaxPieces: 16, CallTime: 200 * ms, PieceTime: 11 * ms, ResultRetention: 4 * time.Second}, servers: 2},
	})
	r.atOnce = atOnce
	r.play([]kind{
		{
			name: "short", perSec: 12, aim: 1400 * ms, answer: 250 * ms,
			steps: []chain.Step{{Pieces: 2}}, pools: []shed.PoolID{"large"}, bytes: []int64{1_500_000},
		},
		{
			name: "long", perSec: 6, aim: 3 * time.Second, answer: 150 * ms,
			steps: []chain.Step{{Pieces: 1}, {Pieces: 1}, {Pieces: 6, After: []int{1}}, {Pieces: 6, After: []int{2}}},
			pools: []shed.PoolID{"large", "large", "small", "small"},
			bytes: []int64{1_500_000, 8000, 60_000, 6000},
		},
	}, 40*time.Second)
	return r.tally
}
