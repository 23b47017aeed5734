// Package batch decides in which calls the pieces of many requests run. It is
// pure.
//
// A call to a server costs a large fixed time whatever it holds, and a server
// runs one call at a time. If every VM sent its own small calls, the servers'
// queues would fill with nearly empty ones. So the pieces for one pool meet at
// one VM, which keeps one call running on each server and fills the next one
// with the most urgent pieces.
package batch

import (
	"slices"
	"time"

	shed "jasmineshed"
)

const (
	// slownessWeight is the weight of the newest call in a server's slowness.
	slownessWeight = 0.3
	// minSlowness and slowMost bound a server's slowness.
	minSlowness, maxSlowness = 0.5, 10.0
	// callLimitFactor and limitExtra give the time after which a call is given up:
	// servers are seen to turn five times as slow and go on.
	callLimitFactor = 6
	callLimitMargin = 300 * time.Millisecond
	// suspectFactor and doubtExtra give the time after which a call's pieces are
	// sent to another server too, and the first server gets no others: it may
	// be slow, or silent for good.
	suspectFactor = 2
	suspectMargin = 100 * time.Millisecond
	// sameZoneBonus is how much sooner a piece counts as due at a server of the zone
	// where its result is wanted.
	sameZoneBonus = 100 * time.Millisecond
	// initialBackoff is how long a server is left alone after a call that failed; it
	// doubles with each further one, up to shunMost.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// maxTries is how often a piece is sent at the most; a repeat draws on the
	// fleet's budget of repeats.
	maxTries = 3
	// overloadWait is the wait for all pieces from which those that would be late
	// anyway are given up: about two full calls.
	overloadWait = 700 * time.Millisecond
	// lateMargin is how much too late a piece must be foreseen to be given up: what
	// is foreseen has that much to spare for most requests.
	lateMargin = 200 * time.Millisecond
	// usableCapacityShare of a server's room is used: sizes are approximate.
	usableCapacityShare = 0.92
)

func (Asked) event()         {}
func (Dropped) event()       {}
func (CallEnded) event()     {}
func (Freed) event()         {}
func (FreeEnded) event()     {}
func (HeldElsewhere) event() {}
func (Stopped) event()       {}
func (Tick) event()          {}

func (Send) action() {}
func (Done) action() {}
func (Free) action() {}

// Batcher gathers pieces. It is not safe for concurrent use.
type Batcher struct {
	servers      Servers
	groups       map[shed.PoolID]*group
	jobs         map[JobID]*job
	calls        map[CallID]*call
	held         map[shed.ResultRef]heldResult
	producers    map[shed.ServerID]*producer
	nextID       CallID
	lastSubgroup int
	// order holds the groups in the order of their first use.
	order []*group
}

// group is what is gathered for one pool.
type group struct {
	pool    shed.PoolID
	limits  shed.BatchLimits
	pending []*piece
	// slowness is the pool's slowness when it was last dispatched.
	slowness float64
}

// job is what one daemon asked for at once.
type job struct {
	id        JobID
	group     *group
	results   []shed.PieceResult
	unsettled int
	dropped   bool
	// target and deadline are when the results should and must be there.
	target, deadline time.Time
	// preferredZone is the zone where all its results are wanted, once one piece has
	// been sent there.
	preferredZone shed.ZoneID
}

// preferredZone is the zone where the piece's result is wanted; empty if in any.
func (p *piece) preferredZone() shed.ZoneID {
	if p.Near != "" {
		return p.Near
	}
	return p.job.preferredZone
}

// piece is one piece of a job until it is settled.
type piece struct {
	shed.Piece
	job   *job
	index int // in job.results
	tries int
	// inFlight is how many calls have it; above 1 once one of them is in doubt.
	inFlight int
	settled  bool
	// crashes counts the calls with it under which servers ended. After one, it only goes
	// along with pieces of its lot; 0 is no lot.
	crashes, subgroup int
	// queued: it is among the group's waiting pieces, also if a call has it.
	queued bool
}

// enqueue lets a piece wait, once: one that was queued twice went out twice in one
// call.
func (g *group) enqueue(p *piece) {
	if !p.queued {
		p.queued = true
		g.pending = append(g.pending, p)
	}
}

// countFailure counts a try that failed, unless the piece waits for another server anyway.
func (p *piece) countFailure() {
	if !p.queued {
		p.tries++
	}
}

// call is one call that a server runs.
type call struct {
	server   shed.Listing
	group    *group
	pieces   []*piece
	sentAt   time.Time
	expected time.Duration
	bytes    int64
	// suspectAt is when its pieces go to another server too; doubted: they have.
	suspectAt time.Time
	suspected bool
}

// New returns a Batcher without pieces.
func New(servers Servers) *Batcher {
	return &Batcher{
		servers:   servers,
		groups:    map[shed.PoolID]*group{},
		jobs:      map[JobID]*job{},
		calls:     map[CallID]*call{},
		held:      map[shed.ResultRef]heldResult{},
		producers: map[shed.ServerID]*producer{},
	}
}

// Handle takes one event and returns what to do.
func (b *Batcher) Handle(now time.Time, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case Asked:
		b.addJob(now, ev)
	case Dropped:
		b.dropJob(ev.Job)
	case CallEnded:
		out = b.finishCall(now, out, ev)
	case Freed:
		out = b.freeResults(out, ev.Refs)
	case Stopped:
		out = b.movePending(out)
	case HeldElsewhere:
		b.recordHeldElsewhere(now, ev)
	case FreeEnded:
		for _, ref := range ev.Refs {
			b.forgetResult(ref)
		}
	case Tick:
		b.expireResults(now)
		b.hedgeSuspectCalls(now)
	}
	for _, g := range b.order {
		out = b.dispatch(now, out, g)
	}
	return out
}

func (b *Batcher) addJob(now time.Time, ev Asked) {
	g := b.groups[ev.Pool]
	if g == nil {
		g = &group{pool: ev.Pool, slowness: 1}
		b.groups[ev.Pool] = g
		b.order = append(b.order, g)
	}
	g.limits = ev.Limits
	j := &job{id: ev.Job, group: g, results: make([]shed.PieceResult, len(ev.Pieces)), unsettled: len(ev.Pieces)}
	b.jobs[ev.Job] = j
	for i, p := range ev.Pieces {
		j.target, j.deadline = now.Add(p.Aim), now.Add(p.Left)
		g.enqueue(&piece{Piece: p, job: j, index: i})
	}
}

// dropJob forgets the job's pieces that wait; results of those that run are given
// up when their call ends.
func (b *Batcher) dropJob(id JobID) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	j.dropped = true
	delete(b.jobs, id)
	j.group.pending = slices.DeleteFunc(j.group.pending, func(p *piece) bool { return p.job == j })
}

func (b *Batcher) finishCall(now time.Time, out []Action, ev CallEnded) []Action {
	c := b.calls[ev.Call]
	if c == nil {
		return out
	}
	delete(b.calls, ev.Call)
	m := b.producers[c.server.ID]
	if m.running == ev.Call {
		m.running = 0
	}
	if c.suspected {
		m.suspectedCalls--
	}
	m.heldBytes -= c.bytes
	if len(ev.Results) != len(c.pieces) {
		b.recordFailure(now, m, c, ev)
		if ev.Crashed {
			b.splitRequests(c)
		}
		for _, p := range c.pieces {
			p.inFlight--
			if !ev.NotRun && !ev.Crashed {
				p.countFailure()
			}
			out = b.requeue(out, p)
		}
		return out
	}
	m.consecutiveFailures, m.unreached = 0, false
	ratio := float64(now.Sub(c.sentAt)) / float64(c.expected)
	m.slowness += slownessWeight * (min(max(ratio, minSlowness), maxSlowness) - m.slowness)
	for i, p := range c.pieces {
		out = b.finishPiece(now, out, m, c, p, ev.Results[i])
	}
	return out
}

func (b *Batcher) finishPiece(
	now time.Time, out []Action, m *producer, c *call, p *piece, r shed.PieceResult,
) []Action {
	p.inFlight--
	switch r.End {
	case shed.PieceMade:
		m.heldBytes += p.Bytes
		b.held[r.Ref] = heldResult{server: c.server.ID, bytes: p.Bytes, expires: now.Add(c.group.limits.KeepFor)}
		if p.settled || p.job.dropped {
			return append(out, Free{Refs: []shed.ResultRef{r.Ref}})
		}
		return b.settle(out, p, r)
	case shed.PieceNoRoom:
		// The server holds more than is known here, so it gets less for a while.
		m.unaccounted = append(m.unaccounted, unaccountedBytes{bytes: p.Bytes, expires: now.Add(c.group.limits.KeepFor / 2)})
		return b.requeue(out, p)
	case shed.PieceFailed:
		p.countFailure()
		return b.requeue(out, p)
	}
	if p.inFlight > 0 || p.queued {
		return out
	}
	return b.settle(out, p, r)
}

// requeue puts a piece back to be sent once more, unless that was often enough or
// another call still has it.
func (b *Batcher) requeue(out []Action, p *piece) []Action {
	if p.job.dropped || p.settled || p.queued || p.inFlight > 0 {
		return out
	}
	if p.tries >= maxTries {
		return b.settle(out, p, shed.PieceResult{End: shed.PieceFailed})
	}
	p.job.group.enqueue(p)
	return out
}

// hedgeSuspectCalls looks for calls that take much longer than their server usually does.
// Their pieces go to another server too, the result that comes first counts,
// and the other one is given up: a server that fell silent would else hold up
// requests until the call's limit.
// The server gets one more call on another connection: if only the answer was
// lost, it has long been idle.
func (b *Batcher) hedgeSuspectCalls(now time.Time) {
	for _, g := range b.order {
		for _, s := range b.servers(g.pool) {
			c := b.calls[b.producer(s).running]
			if c == nil || c.suspected || now.Before(c.suspectAt) {
				continue
			}
			c.suspected = true
			b.allowParallelCall(s)
			for _, p := range c.pieces {
				if !p.settled && !p.job.dropped {
					g.enqueue(p)
				}
			}
		}
	}
}

func (b *Batcher) settle(out []Action, p *piece, r shed.PieceResult) []Action {
	j := p.job
	if j.dropped || p.settled {
		return out
	}
	p.settled = true
	j.results[p.index] = r
	j.unsettled--
	if j.unsettled > 0 {
		return out
	}
	delete(b.jobs, j.id)
	return append(out, Done{Job: j.id, Results: j.results})
}

// movePending answers all pieces that wait.
func (b *Batcher) movePending(out []Action) []Action {
	for _, g := range b.order {
		waiting := g.pending
		g.pending = nil
		for _, p := range waiting {
			if p.inFlight == 0 {
				out = b.settle(out, p, shed.PieceResult{End: shed.PieceMoved})
			}
		}
	}
	return out
}
