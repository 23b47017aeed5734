package resv_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/chain"
	"jasmineshed/internal/resv"
	"jasmineshed/internal/vclock"
)

// The pool of the replays: 19 servers with 12 pieces per call, 808 pieces per second.
var (
	limits   = shed.BatchLimits{MaxPieces: 12, CallTime: 150 * ms, PieceTime: 11 * ms, ResultRetention: 4 * time.Second}
	poolRate = servers * 12 / 0.282
)

const (
	pool    = shed.PoolID("pool")
	servers = 19
	// perRequest is the number of pieces of a request, answerTime what its engine needs after them.
	perRequest = 2
	answerTime = 150 * ms
	// calm is how long the load before and after the burst lasts, in which callers ask for calmLoad of
	// the pool's rate; burst is how long the burst lasts, longBurst that in which the coordinator fails.
	calm, burst        = 2 * time.Second, 6 * time.Second
	longBurst          = 10 * time.Second
	calmLoad, peakLoad = 0.7, 2.5
	// absent is the share of refused callers that don't retry.
	absent = 0.04
)

// kind is a kind of request.
type kind struct {
	share            float64
	target, deadline time.Duration
}

// kinds are in the order of their ranks.
var kinds = []kind{{0.4, time.Second, 3 * time.Second}, {0.3, 2 * time.Second, 6 * time.Second}, {0.3, 2700 * ms, 8 * time.Second}}

// caller is one request of a caller, with up to two attempts.
type caller struct {
	f        shed.Fingerprint
	rank     int
	at       time.Time
	attempts int
	// reserved: its retry has a reservation.
	reserved bool
	// running counts its attempts that are at work, ran those that were completed.
	running, ran int
	piecesAt     time.Time
	doneAt       time.Time
	// refusedIn is the longest time in which an attempt was refused, at refusedAt.
	refusedIn time.Duration
	refusals  int
}

func (c *caller) inTime() bool { return c.ran > 0 && !c.doneAt.After(c.at.Add(kinds[c.rank].target)) }

// fault is what happens to the coordinator, in the middle of the burst.
type fault string

const (
	noFault     fault = ""
	killed      fault = "killed"
	restarted   fault = "restarted"
	partitioned fault = "partitioned"
	slow        fault = "slow"
	duplicated  fault = "duplicated"
)

const (
	faultAt  = calm + 1500*ms
	faultFor = 3 * time.Second
	// takeoverAfter is how long VMs take to turn to another coordinator for pieces.
	takeoverAfter = 600 * ms
)

// replay simulates a fleet in virtual time.
type replay struct {
	vclock.Clock
	on     bool
	fault  fault
	burst  time.Duration
	rng    *rand.Rand
	vms    []*vm
	coords [2]*coordinator
	// freeAt is when each server is idle.
	freeAt  map[shed.ServerID]time.Time
	callers []*caller
	twice   int
}

// vm is the state of one VM.
type vm struct {
	gate     *accept.Gate
	asker    *resv.Asker
	forecast batch.Forecast
	promised time.Duration
	at       time.Time
}

// coordinator is one process that coordinates the pool.
type coordinator struct {
	batcher *batch.Batcher
	ledger  *resv.Ledger
	jobs    map[batch.JobID]func([]shed.PieceResult)
	lastJob batch.JobID
}

// every runs do at a fixed interval until the end of the replay.
func (r *replay) every(d time.Duration, do func()) {
	do()
	if r.elapsed() < calm+r.burst+4*time.Second {
		r.After(d, func() { r.every(d, do) })
	}
}

func (r *replay) elapsed() time.Duration { return r.Now.Sub(start) }

// play runs a replay with a number of VMs.
func play(vms int, on bool, f fault, burst time.Duration, seed uint64) *replay {
	r := &replay{on: on, fault: f, burst: burst, Clock: vclock.Clock{Now: start}, rng: rand.New(rand.NewPCG(seed, 5)), freeAt: map[shed.ServerID]time.Time{}}
	for range vms {
		r.vms = append(r.vms, &vm{gate: accept.New(), asker: resv.NewAsker(), at: start})
	}
	r.startCoordinator(0)
	r.startCoordinator(1)
	r.After(0, r.nextCaller)
	r.every(100*ms, r.tick)
	r.every(300*ms, r.report)
	if f == killed || f == restarted {
		r.After(faultAt, func() { r.kill(0) })
	}
	r.Run(time.Minute)
	return r
}

func (r *replay) startCoordinator(n int) {
	r.coords[n] = &coordinator{
		ledger: resv.New(resv.Config{}), jobs: map[batch.JobID]func([]shed.PieceResult){},
		batcher: batch.New(func(shed.PoolID) []shed.ServerEntry {
			out := make([]shed.ServerEntry, servers)
			for i := range out {
				out[i] = shed.ServerEntry{ID: shed.ServerID(fmt.Sprint("s", i)), StartedMs: 1, Zone: "z"}
			}
			return out
		}),
	}
}

// kill ends a coordinator's process. Its VMs notice at once, since their connections break.
func (r *replay) kill(n int) {
	old := r.coords[n]
	r.startCoordinator(n)
	for id := batch.JobID(1); id <= old.lastJob; id++ {
		if done := old.jobs[id]; done != nil {
			done(nil)
		}
	}
	old.jobs = nil
}

// faulty reports whether the fault is present.
func (r *replay) faulty() bool {
	e := r.elapsed()
	return e >= faultAt && (e < faultAt+faultFor || r.fault == killed)
}

// coordinatorOf returns the coordinator in the view of a VM.
func (r *replay) coordinatorOf(v int) int {
	since := r.elapsed() - faultAt
	switch {
	case !r.faulty():
		return 0
	case r.fault == killed || r.fault == restarted:
		return 1
	case r.fault == duplicated, r.fault == partitioned && since >= takeoverAfter:
		return v % 2
	}
	return 0
}

// delay is the time of a message between a VM and a coordinator; lost if it never arrives.
func (r *replay) delay(v, c int) (d time.Duration, lost bool) {
	d = time.Duration(500+r.rng.IntN(1500)) * time.Microsecond
	switch {
	case r.faulty() && r.fault == slow && c == 0:
		return d + 150*ms, false
	case r.faulty() && r.fault == partitioned && c == 0:
		return d, v%2 == 1
	}
	return d, false
}

func (r *replay) tick() {
	for _, c := range r.coords {
		c.ledger.Expire(r.Now)
		r.perform(c, c.batcher.Handle(r.Now, batch.Tick{}))
	}
}

// report sends the coordinators' forecasts to the VMs.
func (r *replay) report() {
	for n, c := range r.coords {
		f, promised := r.forecast(c)
		for i, v := range r.vms {
			if d, lost := r.delay(i, n); !lost && r.coordinatorOf(i) == n {
				r.After(d+30*ms, func() { v.receive(r.Now.Add(-d-30*ms), f, promised) })
			}
		}
	}
}

func (v *vm) receive(at time.Time, f batch.Forecast, promised time.Duration) {
	if !v.at.After(at) {
		v.at, v.forecast, v.promised = at, f, promised
	}
}

// forecast is what a coordinator tells the VMs.
func (r *replay) forecast(c *coordinator) (batch.Forecast, time.Duration) {
	f := c.batcher.PredictWait(r.Now, pool, limits)
	return f, c.ledger.Ahead(r.Now, f.Rate, len(kinds))
}

func step(f batch.Forecast) chain.Chain {
	return chain.Chain{{Pieces: perRequest, Limits: limits, Servers: servers, Forecast: f}}
}

// nextCaller lets a caller make its first attempt, and the next one arrive.
func (r *replay) nextCaller() {
	load := calmLoad
	if e := r.elapsed(); e >= calm && e < calm+r.burst {
		load = peakLoad
	}
	c := &caller{at: r.Now}
	binary.BigEndian.PutUint64(c.f[:], uint64(len(r.callers)+1))
	for u := r.rng.Float64(); c.rank < len(kinds)-1 && u >= kinds[c.rank].share; c.rank++ {
		u -= kinds[c.rank].share
	}
	r.callers = append(r.callers, c)
	r.attempt(c)
	if r.elapsed() < 2*calm+r.burst {
		gap := r.rng.ExpFloat64() * perRequest / (load * poolRate)
		r.After(time.Duration(gap*float64(time.Second)), r.nextCaller)
	}
}

// attempt is an attempt of a caller at any VM.
func (r *replay) attempt(c *caller) {
	c.attempts++
	if c.running+c.ran > 0 {
		r.twice++
	}
	began, v := r.Now, r.rng.IntN(len(r.vms))
	left := kinds[c.rank].deadline - r.Now.Sub(c.at)
	target := min(kinds[c.rank].target, left)
	w := r.vms[v]
	f, age := w.forecast, r.Now.Sub(w.at)
	vmName := shed.VM(fmt.Sprint(r.coordinatorOf(v)))
	counted := time.Duration(0)
	if r.on && w.asker.Answers(vmName) {
		counted = w.promised
	}
	f.Timely, f.Last = f.Timely-age+counted, f.Last-age+counted
	s := step(f)
	a := accept.Request{
		Route: route(c.rank), UrgentRanks: c.rank, ToTarget: target, ToDeadline: left, Answer: answerTime,
		MinTime: s.MinTime(), Timely: s.Forecast().Timely, Last: s.Forecast().Last,
	}
	for i := range c.rank {
		a.MoreUrgent = append(a.MoreUrgent, route(i))
	}
	own := w.gate.Decide(a)
	end := func(answer resv.Answer) {
		if !answer.Answered && counted > 0 {
			a.Timely, a.Last = a.Timely-counted, a.Last-counted
			own = w.gate.Decide(a)
		}
		verdict, outcome := resv.Combine(own, answer)
		if !verdict.Admitted {
			r.refuse(c, began, verdict.RetryAfter, outcome == resv.OutcomeReserved)
			return
		}
		if !own.Admitted {
			w.gate.Granted(a.Route)
		}
		c.running++
		if answer.ToTarget > 0 {
			target = r.Now.Sub(began) + answer.ToTarget
		}
		r.runPieces(c, v, began.Add(target-answerTime), began.Add(left-answerTime))
	}
	way := resv.WayNone
	if r.on && (!own.Admitted || age >= resv.MaxForecastAge) {
		way = w.asker.Decide(r.Now, vmName)
	}
	if way == resv.WayProbe {
		r.probe(v, vmName)
	}
	if way != resv.WayAsk {
		end(resv.Answer{})
		return
	}
	r.ask(v, vmName, resv.Request{
		Fingerprint: c.f, Pieces: perRequest, Rank: c.rank, UrgentRanks: c.rank, ToTarget: target, ToDeadline: left,
		Needed: own.NeededTime, Queue: s.QueueTime(0), Least: a.LeastTime(s.QueueTime(0)),
	}, end)
}

func route(rank int) shed.RouteID { return shed.RouteID(fmt.Sprint("r", rank)) }

// probe finds out whether a coordinator answers in time.
func (r *replay) probe(v int, name shed.VM) {
	to, lost := r.delay(v, r.coordinatorOf(v))
	back, lostBack := r.delay(v, r.coordinatorOf(v))
	if !lost && !lostBack && to+back < resv.Timeout {
		r.After(to+back, func() { r.vms[v].asker.Record(r.Now, name, true) })
	}
}

// ask asks the coordinator, and passes its answer on, or none after the timeout.
func (r *replay) ask(v int, name shed.VM, a resv.Request, end func(resv.Answer)) {
	n, over := r.coordinatorOf(v), false
	finish := func(answer resv.Answer) {
		if !over {
			over = true
			r.vms[v].asker.Record(r.Now, name, answer.Answered)
			end(answer)
		}
	}
	r.After(resv.Timeout, func() { finish(resv.Answer{}) })
	to, lost := r.delay(v, n)
	if lost {
		return
	}
	r.After(to, func() {
		co := r.coords[n]
		f := co.batcher.PredictWait(r.Now, pool, limits)
		d := co.ledger.Reserve(r.Now, resv.Load{Rate: f.Rate, Queue: step(f).QueueTime(0)}, a)
		if back, lost := r.delay(v, n); !lost {
			r.After(back, func() { finish(resv.Answer{Answered: true, Granted: d.Granted, Wait: d.Wait, ToTarget: d.ToTarget}) })
		}
	})
}

// refuse ends an attempt. The caller retries once if the time is within a third of what it has left.
func (r *replay) refuse(c *caller, began time.Time, wait time.Duration, reserved bool) {
	c.refusals++
	c.refusedIn = max(c.refusedIn, r.Now.Sub(began))
	left := c.at.Add(kinds[c.rank].deadline).Sub(r.Now)
	if c.attempts > 1 || wait > left/3 || r.rng.Float64() < absent {
		return
	}
	c.reserved = reserved
	r.After(wait+time.Duration(r.rng.IntN(20))*ms, func() { r.attempt(c) })
}
