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

// poolConfig is a pool in a replay.
type poolConfig struct {
	limits  shed.BatchLimits
	servers int
}

// kind is a kind of request in a replay.
type kind struct {
	name   string
	perSec float64
	target time.Duration
	// answerTime is how long its remaining results are held once all steps are done.
	answerTime time.Duration
	steps      []chain.Step
	pools      []shed.PoolID
	bytes      []int64
}

// request is one request of a replay.
type request struct {
	kind      *kind
	arrivedAt time.Time
	// awaits are, for each step, the steps that have to be done before it starts.
	awaits        [][]int
	started, done []bool
	// abandoned is whether one of its pieces failed.
	abandoned bool
	// doneAt is when each step was done.
	doneAt  []time.Time
	results [][]shed.ResultRef
}

// stepRef is one step of a request.
type stepRef struct {
	request *request
	step    int
}

// tally counts the outcomes of requests of one kind.
type tally struct {
	timely, late, refused, abandoned int
	// idle is how long results of first steps were held unused, in total.
	idle time.Duration
}

// running is a call in flight at a server.
type running struct {
	send batch.Send
	ends time.Time
}

// replay simulates a load pattern with packages chain and batch in virtual time.
type replay struct {
	now   time.Time
	b     *batch.Batcher
	pools map[shed.PoolID]poolConfig
	// atOnce: each step starts as soon as its dependencies are done.
	atOnce bool
	steps  map[batch.JobID]stepRef
	calls  []running
	// admission: a request is admitted only if predicted to meet its target; ignoreExpected:
	// that forecast counts queued pieces alone, not expected ones.
	admission, ignoreExpected bool
	// expected counts the pieces that admitted requests will send to each pool.
	expected map[shed.PoolID]int
	// held are the results of finished steps that are still needed.
	held    []heldResults
	lastJob batch.JobID
	made    int
	tally   map[string]*tally
}

type heldResults struct {
	refs  []shed.ResultRef
	until time.Time
}

func newReplay(pools map[shed.PoolID]poolConfig) *replay {
	r := &replay{
		now: time.Unix(1_700_000_000, 0), pools: pools, steps: map[batch.JobID]stepRef{}, tally: map[string]*tally{},
		expected: map[shed.PoolID]int{},
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

// play generates requests of all kinds for a time, and runs until they have ended.
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
		r.releaseHeld()
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
		if !r.ignoreExpected {
			c[i].ExpectedPieces, c[i].ExpectedBytes = r.expected[k.pools[i]], int64(r.expected[k.pools[i]])*k.bytes[i]
		}
		c[i].ResultBytes = k.bytes[i]
	}
	return c
}

func (r *replay) arrive(k *kind) {
	n := len(k.steps)
	q := &request{
		kind: k, arrivedAt: r.now, started: make([]bool, n), done: make([]bool, n),
		doneAt: make([]time.Time, n), results: make([][]shed.ResultRef, n),
	}
	c := r.chain(k)
	if r.admission && c.Forecast().Timely+k.answerTime > k.target {
		r.tally[k.name].refused++
		return
	}
	for i := range c {
		r.expected[k.pools[i]] += k.steps[i].Pieces
		after := c[i].After
		if with := c.StartWith(i); with >= 0 && !r.atOnce {
			after = c[with].After
		}
		q.awaits = append(q.awaits, after)
	}
	r.startSteps(q)
}

// startSteps starts the steps that can be started.
func (r *replay) startSteps(q *request) {
	c := r.chain(q.kind)
	for i, awaits := range q.awaits {
		if q.started[i] || slices.ContainsFunc(awaits, func(at int) bool { return !q.done[at] }) {
			continue
		}
		q.started[i] = true
		r.expected[q.kind.pools[i]] -= q.kind.steps[i].Pieces
		r.lastJob++
		r.steps[r.lastJob] = stepRef{request: q, step: i}
		pieces := make([]shed.Piece, q.kind.steps[i].Pieces)
		for n := range pieces {
			pieces[n] = shed.Piece{
				Bytes: q.kind.bytes[i], Budget: 5 * time.Second, Target: q.arrivedAt.Add(q.kind.target - c.MinTimeAfter(i)).Sub(r.now),
				SameZone: q.kind.bytes[i] > 0,
			}
		}
		pool := q.kind.pools[i]
		r.perform(r.b.Handle(r.now, batch.JobAdded{Job: r.lastJob, Pool: pool, Limits: r.pools[pool].limits, Pieces: pieces}))
	}
}

func (r *replay) perform(actions []batch.Action) {
	for _, act := range actions {
		switch a := act.(type) {
		case batch.Send:
			l := r.limitsOf(a.Server)
			r.calls = append(r.calls, running{send: a, ends: r.now.Add(l.CallTime + time.Duration(len(a.Pieces))*l.PieceTime)})
		case batch.Done:
			r.stepDone(a)
		case batch.Survey:
			free := r.limitsOf(a.Server).ResultCapacity
			r.perform(r.b.Handle(r.now, batch.SurveyEnded{Survey: a, Answered: true, FreeBytes: free}))
		case batch.Free:
			r.perform(r.b.Handle(r.now, batch.FreeEnded{Refs: a.Refs}))
		}
	}
}

func (r *replay) limitsOf(s shed.ServerEntry) shed.BatchLimits {
	return r.pools[shed.PoolID(s.ID[:len(s.ID)-1])].limits
}

func (r *replay) stepDone(a batch.Done) {
	p := r.steps[a.Job]
	delete(r.steps, a.Job)
	q := p.request
	for _, res := range a.Results {
		if q.abandoned {
			r.free([]shed.ResultRef{res.Ref})
			continue
		}
		if res.End != shed.PieceComplete {
			r.tally[q.kind.name].abandoned++
			r.giveUp(q)
			return
		}
		q.results[p.step] = append(q.results[p.step], res.Ref)
	}
	if q.abandoned {
		return
	}
	q.done[p.step], q.doneAt[p.step] = true, r.now
	for _, before := range q.kind.steps[p.step].After {
		r.free(q.results[before])
		q.results[before] = nil
	}
	r.startSteps(q)
	if slices.Contains(q.done, false) {
		return
	}
	r.tally[q.kind.name].idle += r.now.Sub(q.doneAt[0])
	r.held = append(r.held, heldResults{refs: slices.Concat(q.results...), until: r.now.Add(q.kind.answerTime)})
	if r.now.Add(q.kind.answerTime).After(q.arrivedAt.Add(q.kind.target)) {
		r.tally[q.kind.name].late++
		return
	}
	r.tally[q.kind.name].timely++
}

// giveUp ends a request with a failed piece. Its steps in progress run on, for nothing.
func (r *replay) giveUp(q *request) {
	q.abandoned = true
	for i, started := range q.started {
		if !started {
			r.expected[q.kind.pools[i]] -= q.kind.steps[i].Pieces
			q.started[i] = true
		}
	}
	r.free(slices.Concat(q.results...))
}

func (r *replay) free(refs []shed.ResultRef) {
	r.perform(r.b.Handle(r.now, batch.FreeRequested{Refs: refs}))
}

func (r *replay) releaseHeld() {
	var released []shed.ResultRef
	r.held = slices.DeleteFunc(r.held, func(l heldResults) bool {
		if r.now.Before(l.until) {
			return false
		}
		released = append(released, l.refs...)
		return true
	})
	if len(released) > 0 {
		r.free(released)
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

// Long drafts need one large result in parallel with a path of three steps. If it is processed
// at once, it occupies the result capacity that short drafts need until the path is done, and
// short drafts are refused or late though no server is at its limit. Processed when the path
// is nearly done, it leaves that capacity to them, and no more long drafts are late.
func TestLargeResultBesideALongPath(t *testing.T) {
	atOnce, later := largeBesidePath(true), largeBesidePath(false)
	t.Logf("started at once: short %+v long %+v; started later: short %+v long %+v",
		*atOnce["short"], *atOnce["long"], *later["short"], *later["long"])
	require.Less(t, later["long"].idle*2, atOnce["long"].idle, "the large result is held unused for less than half the time")
	require.Less(t, (later["short"].late+later["short"].abandoned)*3, (atOnce["short"].late+atOnce["short"].abandoned)*2)
	require.GreaterOrEqual(t, later["long"].timely, atOnce["long"].timely)
}

// A burst of twice the throughput of the second pool of a chain, as when many callers ask for
// the same kind of draft. Its queue is empty at first; if only queued pieces count, all requests
// are admitted and most are abandoned after their first step, which wastes work and lets callers
// wait for a refusal. With expected pieces counted, they are refused on admission.
func TestBurstIsRefusedAtTheDoor(t *testing.T) {
	waitingOnly, withExpected := burst(true), burst(false)
	t.Logf("queued pieces only: %+v; with expected pieces: %+v", waitingOnly, withExpected)
	require.Greater(t, waitingOnly.abandoned, 3*withExpected.abandoned)
	require.GreaterOrEqual(t, withExpected.timely, waitingOnly.timely*9/10)
}

// A burst of 1.4 times the requests for whose results the servers have capacity, while they could make
// all of them, of the most urgent kind of customer A: results have to be ready 0.8 s after the request
// and are held for 0.45 s. If only calls count in the forecast, requests are admitted that come late.
func TestCapacityForResultsIsForeseen(t *testing.T) {
	callsOnly, withCapacity := burstOfResults(0), burstOfResults(3_000_000)
	t.Logf("calls only: %+v; with capacity: %+v", callsOnly, withCapacity)
	require.Greater(t, callsOnly.late+callsOnly.abandoned, 4*(withCapacity.late+withCapacity.abandoned))
	require.Greater(t, withCapacity.timely, 2*callsOnly.timely)
}

func burstOfResults(largest int64) tally {
	r := newReplay(map[shed.PoolID]poolConfig{"large": {servers: 6, limits: shed.BatchLimits{
		MaxPieces: 12, CallTime: 150 * ms, PieceTime: 11 * ms, ResultCapacity: 67_000_000, ResultRetention: 4 * time.Second, LargestResult: largest,
	}}})
	r.admission = true
	r.play([]kind{{
		name: "urgent", perSec: 115, target: 1250 * ms, answerTime: 450 * ms,
		steps: []chain.Step{{Pieces: 2}}, pools: []shed.PoolID{"large"}, bytes: []int64{3_000_000},
	}}, 6*time.Second)
	return *r.tally["urgent"]
}

func burst(ignoreExpected bool) tally {
	r := newReplay(map[shed.PoolID]poolConfig{"one": {limits: limits, servers: 2}, "two": {limits: limits, servers: 2}})
	r.admission, r.ignoreExpected = true, ignoreExpected
	r.play([]kind{{
		name: "draft", perSec: 27, target: 1500 * ms, steps: []chain.Step{{Pieces: 1}, {Pieces: 6, After: []int{0}}},
		pools: []shed.PoolID{"one", "two"}, bytes: []int64{0, 0},
	}}, 6*time.Second)
	return *r.tally["draft"]
}

// A step with dependents or dependencies starts as soon as it can; so does one that takes as
// long as the parallel path.
func TestBegin(t *testing.T) {
	c := chain.Chain{
		{Pieces: 1, Limits: limits, Servers: 2},
		{Pieces: 1, Limits: limits, Servers: 2},
		{Pieces: 5, Limits: limits, Servers: 2, After: []int{1}},
		{Pieces: 5, Limits: limits, Servers: 2, After: []int{2}},
	}
	require.Equal(t, 2, c.StartWith(0), "the last step alone is shorter than step 0 plus the margin")
	for _, at := range []int{1, 2, 3} {
		require.Equal(t, -1, c.StartWith(at))
	}
	c[0].Forecast = batch.Forecast{Timely: 450 * ms}
	require.Equal(t, 1, c.StartWith(0), "its own pool has a queue")
	c[0].Forecast.Timely = 2 * time.Second
	require.Equal(t, -1, c.StartWith(0))
	require.Equal(t, -1, chain.Chain{{Pieces: 1, Limits: limits, Servers: 2}}.StartWith(0))
}

func largeBesidePath(atOnce bool) map[string]*tally {
	r := newReplay(map[shed.PoolID]poolConfig{
		"large": {limits: shed.BatchLimits{MaxPieces: 8, CallTime: 200 * ms, PieceTime: 20 * ms, ResultCapacity: 18_000_000, ResultRetention: 4 * time.Second}, servers: 2},
		"small": {limits: shed.BatchLimits{MaxPieces: 16, CallTime: 200 * ms, PieceTime: 11 * ms, ResultRetention: 4 * time.Second}, servers: 2},
	})
	r.atOnce = atOnce
	r.play([]kind{
		{
			name: "short", perSec: 12, target: 1400 * ms, answerTime: 250 * ms,
			steps: []chain.Step{{Pieces: 2}}, pools: []shed.PoolID{"large"}, bytes: []int64{1_500_000},
		},
		{
			name: "long", perSec: 6, target: 3 * time.Second, answerTime: 150 * ms,
			steps: []chain.Step{{Pieces: 1}, {Pieces: 1}, {Pieces: 6, After: []int{1}}, {Pieces: 6, After: []int{2}}},
			pools: []shed.PoolID{"large", "large", "small", "small"},
			bytes: []int64{1_500_000, 8000, 60_000, 6000},
		},
	}, 40*time.Second)
	return r.tally
}
