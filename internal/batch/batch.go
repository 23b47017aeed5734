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
	// slowShare is the weight of the newest call in a server's slowness.
	slowShare = 0.3
	// slowLeast and slowMost bound a server's slowness.
	slowLeast, slowMost = 0.5, 10.0
	// limitTimes and limitExtra give the time after which a call is given up:
	// servers are seen to turn five times as slow and go on.
	limitTimes = 6
	limitExtra = 300 * time.Millisecond
	// doubtTimes and doubtExtra give the time after which a call's pieces are
	// sent to another server too, and the first server gets no others: it may
	// be slow, or silent for good.
	doubtTimes = 2
	doubtExtra = 100 * time.Millisecond
	// nearBonus is how much sooner a piece counts as due at a server of the zone
	// where its result is wanted.
	nearBonus = 100 * time.Millisecond
	// shunFirst is how long a server is left alone after a call that failed; it
	// doubles with each further one, up to shunMost.
	shunFirst = 500 * time.Millisecond
	shunMost  = 2 * time.Second
	// tries is how often a piece is sent at the most; a repeat draws on the
	// fleet's budget of repeats.
	tries = 3
	// crowdedFrom is the wait for all pieces from which those that would be late
	// anyway are given up: about two full calls.
	crowdedFrom = 700 * time.Millisecond
	// doubtfulFor is how much too late a piece must be foreseen to be given up: what
	// is foreseen has that much to spare for most requests.
	doubtfulFor = 200 * time.Millisecond
	// roomShare of a server's room is used: sizes are approximate.
	roomShare = 0.92
)

func (JobAdded) event()      {}
func (JobDropped) event()    {}
func (CallEnded) event()     {}
func (FreeRequested) event() {}
func (FreeEnded) event()     {}
func (HeldElsewhere) event() {}
func (Stopped) event()       {}
func (Tick) event()          {}

func (Send) action() {}
func (Done) action() {}
func (Free) action() {}

// Batcher gathers pieces. It is not safe for concurrent use.
type Batcher struct {
	servers Servers
	groups  map[shed.PoolID]*group
	jobs    map[JobID]*job
	calls   map[CallID]*call
	held    map[shed.ResultRef]heldResult
	makers  map[shed.ServerID]*maker
	nextID  CallID
	lastLot int
	// order holds the groups in the order of their first use.
	order []*group
}

// group is what is gathered for one pool.
type group struct {
	pool    shed.PoolID
	limits  shed.BatchLimits
	waiting []*piece
	// slow is the pool's slowness when it was last dispatched.
	slow float64
}

// job is what one daemon asked for at once.
type job struct {
	id      JobID
	group   *group
	results []shed.PieceResult
	left    int
	dropped bool
	// aim and deadline are when the results should and must be there.
	aim, deadline time.Time
	// near is the zone where all its results are wanted, once one piece has
	// been sent there.
	near shed.ZoneID
}

// wanted is the zone where the piece's result is wanted; empty if in any.
func (p *piece) wanted() shed.ZoneID {
	if p.PreferredZone != "" {
		return p.PreferredZone
	}
	return p.job.near
}

// piece is one piece of a job until it is settled.
type piece struct {
	shed.Piece
	job   *job
	at    int // in job.results
	tries int
	// out is how many calls have it; above 1 once one of them is in doubt.
	out     int
	settled bool
	// crashes counts the calls with it under which servers ended. After one, it only goes
	// along with pieces of its lot; 0 is no lot.
	crashes, lot int
	// queued: it is among the group's waiting pieces, also if a call has it.
	queued bool
}

// enqueue lets a piece wait, once: one that was queued twice went out twice in one
// call.
func (g *group) enqueue(p *piece) {
	if !p.queued {
		p.queued = true
		g.waiting = append(g.waiting, p)
	}
}

// failed counts a try that failed, unless the piece waits for another server anyway.
func (p *piece) failed() {
	if !p.queued {
		p.tries++
	}
}

// call is one call that a server runs.
type call struct {
	server   shed.ServerEntry
	group    *group
	pieces   []*piece
	began    time.Time
	expected time.Duration
	bytes    int64
	// doubt is when its pieces go to another server too; doubted: they have.
	doubt   time.Time
	doubted bool
}

// New returns a Batcher without pieces.
func New(servers Servers) *Batcher {
	return &Batcher{
		servers: servers,
		groups:  map[shed.PoolID]*group{},
		jobs:    map[JobID]*job{},
		calls:   map[CallID]*call{},
		held:    map[shed.ResultRef]heldResult{},
		makers:  map[shed.ServerID]*maker{},
	}
}

// Handle takes one event and returns what to do.
func (b *Batcher) Handle(now time.Time, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case JobAdded:
		b.ask(now, ev)
	case JobDropped:
		b.drop(ev.Job)
	case CallEnded:
		out = b.ended(now, out, ev)
	case FreeRequested:
		out = b.free(out, ev.Refs)
	case Stopped:
		out = b.moveAll(out)
	case HeldElsewhere:
		b.heldElsewhere(now, ev)
	case FreeEnded:
		for _, ref := range ev.Refs {
			b.forget(ref)
		}
	case Tick:
		b.expire(now)
		b.doubt(now)
	}
	for _, g := range b.order {
		out = b.dispatch(now, out, g)
	}
	return out
}

func (b *Batcher) ask(now time.Time, ev JobAdded) {
	g := b.groups[ev.Pool]
	if g == nil {
		g = &group{pool: ev.Pool, slow: 1}
		b.groups[ev.Pool] = g
		b.order = append(b.order, g)
	}
	g.limits = ev.Limits
	j := &job{id: ev.Job, group: g, results: make([]shed.PieceResult, len(ev.Pieces)), left: len(ev.Pieces)}
	b.jobs[ev.Job] = j
	for i, p := range ev.Pieces {
		j.aim, j.deadline = now.Add(p.Target), now.Add(p.Budget)
		g.enqueue(&piece{Piece: p, job: j, at: i})
	}
}

// drop forgets the job's pieces that wait; results of those that run are given
// up when their call ends.
func (b *Batcher) drop(id JobID) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	j.dropped = true
	delete(b.jobs, id)
	j.group.waiting = slices.DeleteFunc(j.group.waiting, func(p *piece) bool { return p.job == j })
}

func (b *Batcher) ended(now time.Time, out []Action, ev CallEnded) []Action {
	c := b.calls[ev.Call]
	if c == nil {
		return out
	}
	delete(b.calls, ev.Call)
	m := b.makers[c.server.ID]
	if m.running == ev.Call {
		m.running = 0
	}
	if c.doubted {
		m.doubted--
	}
	m.bytes -= c.bytes
	if len(ev.Results) != len(c.pieces) {
		b.callFailed(now, m, c, ev)
		if ev.Crashed {
			b.split(c)
		}
		for _, p := range c.pieces {
			p.out--
			if !ev.NotRun && !ev.Crashed {
				p.failed()
			}
			out = b.again(out, p)
		}
		return out
	}
	m.fails, m.unreached = 0, false
	took := float64(now.Sub(c.began)) / float64(c.expected)
	m.slow += slowShare * (min(max(took, slowLeast), slowMost) - m.slow)
	for i, p := range c.pieces {
		out = b.pieceEnded(now, out, m, c, p, ev.Results[i])
	}
	return out
}

func (b *Batcher) pieceEnded(
	now time.Time, out []Action, m *maker, c *call, p *piece, r shed.PieceResult,
) []Action {
	p.out--
	switch r.End {
	case shed.PieceComplete:
		m.bytes += p.Bytes
		b.held[r.Ref] = heldResult{server: c.server.ID, bytes: p.Bytes, until: now.Add(c.group.limits.ResultRetention)}
		if p.settled || p.job.dropped {
			return append(out, Free{Refs: []shed.ResultRef{r.Ref}})
		}
		return b.settle(out, p, r)
	case shed.PieceNoCapacity:
		// The server holds more than is known here, so it gets less for a while.
		m.unseen = append(m.unseen, unseenBytes{bytes: p.Bytes, until: now.Add(c.group.limits.ResultRetention / 2)})
		return b.again(out, p)
	case shed.PieceFailed:
		p.failed()
		return b.again(out, p)
	}
	if p.out > 0 || p.queued {
		return out
	}
	return b.settle(out, p, r)
}

// again puts a piece back to be sent once more, unless that was often enough or
// another call still has it.
func (b *Batcher) again(out []Action, p *piece) []Action {
	if p.job.dropped || p.settled || p.queued || p.out > 0 {
		return out
	}
	if p.tries >= tries {
		return b.settle(out, p, shed.PieceResult{End: shed.PieceFailed})
	}
	p.job.group.enqueue(p)
	return out
}

// doubt looks for calls that take much longer than their server usually does.
// Their pieces go to another server too, the result that comes first counts,
// and the other one is given up: a server that fell silent would else hold up
// requests until the call's limit.
// The server gets one more call on another connection: if only the answer was
// lost, it has long been idle.
func (b *Batcher) doubt(now time.Time) {
	for _, g := range b.order {
		for _, s := range b.servers(g.pool) {
			c := b.calls[b.maker(s).running]
			if c == nil || c.doubted || now.Before(c.doubt) {
				continue
			}
			c.doubted = true
			b.mayLive(s)
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
	j.results[p.at] = r
	j.left--
	if j.left > 0 {
		return out
	}
	delete(b.jobs, j.id)
	return append(out, Done{Job: j.id, Results: j.results})
}

// moveAll answers all pieces that wait.
func (b *Batcher) moveAll(out []Action) []Action {
	for _, g := range b.order {
		waiting := g.waiting
		g.waiting = nil
		for _, p := range waiting {
			if p.out == 0 {
				out = b.settle(out, p, shed.PieceResult{End: shed.PieceMoved})
			}
		}
	}
	return out
}
