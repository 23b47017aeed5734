// Package batch groups pieces of many requests into calls to backend servers. It does no I/O
// and reads no clock: the caller passes events and times in and performs the returned actions.
//
// A call to a server costs a large fixed time whatever it holds, and a server runs one call at
// a time. If every VM sent its own small calls, the servers' queues would fill with nearly
// empty ones. So one VM coordinates the pieces for one pool: it keeps one call running on each
// server and fills the next one with the most urgent pieces.
package batch

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/room"
)

const (
	// slownessWeight is the weight of the newest call in the moving average of a server's
	// slowness.
	slownessWeight = 0.3
	// minSlowness and maxSlowness bound a server's slowness.
	minSlowness, maxSlowness = 0.5, 10.0
	// callLimitFactor and callLimitMargin give the longest time that a call usually takes.
	// Servers have been seen to become five times as slow and still answer.
	callLimitFactor = 6
	callLimitMargin = 300 * time.Millisecond
	// suspectFactor and suspectMargin give the time after which a call's pieces are hedged on
	// another server; the first server gets no other pieces, since it may be slow or
	// permanently unresponsive.
	suspectFactor = 2
	suspectMargin = 100 * time.Millisecond
	// sameZoneBonus is how much earlier a piece counts as due at a server of the zone where
	// its result is wanted.
	sameZoneBonus = 100 * time.Millisecond
	// initialBackoff is how long a server is avoided after a failed call; it doubles with each
	// further failure, up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// maxTries limits how often a piece is sent, also while it is hedged; if that was to servers that
	// fell silent, it is sent once more to one that answered since. Retries draw on the fleet's retry
	// budget.
	maxTries = 3
	// lastTryPause is how long a piece that servers failed to make waits for its last try: what it needs may
	// only be silent, such as the server that holds its inputs.
	lastTryPause = time.Second
	// extraCallInterval is how often a server that stays silent gets another call.
	extraCallInterval = 2 * time.Second
	// overloadWait is the predicted wait for all pending pieces, about two full calls, from
	// which pieces that would miss their target are rejected.
	overloadWait = 700 * time.Millisecond
	// silenceBacklogTime is how long after at least half of a pool's servers fell silent its backlog is not
	// taken for overload: a pause of 2 s, and as much to work it off.
	silenceBacklogTime = 4 * time.Second
	// lateMargin is how far beyond its target a piece must be predicted to end before it is
	// rejected: for most requests the prediction is that much too long.
	lateMargin = 200 * time.Millisecond
)

func (JobAdded) event()      {}
func (JobDropped) event()    {}
func (CallEnded) event()     {}
func (FreeRequested) event() {}
func (FreeEnded) event()     {}
func (HeldElsewhere) event() {}
func (SurveyEnded) event()   {}
func (ServerRests) event()   {}
func (Stopped) event()       {}
func (Tick) event()          {}

func (Send) action()   {}
func (Done) action()   {}
func (Free) action()   {}
func (Survey) action() {}

// Batcher batches pieces into calls. It is not safe for concurrent use.
type Batcher struct {
	servers      Servers
	groups       map[shed.PoolID]*group
	jobs         map[JobID]*job
	calls        map[CallID]*call
	held         map[shed.ResultRef]heldResult
	producers    map[shed.ServerID]*producer
	nextID       CallID
	lastSubgroup int
	scratch      []server
	// order holds the groups in the order of their first use.
	order []*group
}

// group holds the pending pieces of one pool.
type group struct {
	pool    shed.PoolID
	limits  shed.BatchLimits
	pending []*piece
	// slowness is the pool's slowness when it was last dispatched.
	slowness float64
	// stay is how long its results stay on their servers.
	stay room.Stay
	// lastJob is when the last job was added.
	lastJob time.Time
}

// job is one request for pieces by a daemon.
type job struct {
	id        JobID
	group     *group
	results   []shed.PieceResult
	unsettled int
	dropped   bool
	// target and deadline are the soft and the hard time limit of the results.
	target, deadline time.Time
	// preferredZone is the zone where all its results are wanted; set once a piece has been
	// sent to that zone.
	preferredZone shed.ZoneID
}

// preferredZone is the zone where the piece's result is wanted; empty if any will do.
func (p *piece) preferredZone() shed.ZoneID {
	if p.PreferredZone != "" {
		return p.PreferredZone
	}
	return p.job.preferredZone
}

// enqueue adds a piece to the pending ones unless it is already there: a piece queued twice
// would be sent twice in one call.
func (g *group) enqueue(p *piece) {
	if !p.queued {
		p.queued = true
		g.pending = append(g.pending, p)
	}
}

// call is one call that a server runs.
type call struct {
	server   shed.ServerEntry
	group    *group
	pieces   []*piece
	sentAt   time.Time
	expected time.Duration
	bytes    int64
	// limit is the time after which it is abandoned.
	limit time.Duration
	// suspectAt is when its pieces are hedged on another server; suspected is set once they
	// are.
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

// Handle processes one event and returns the actions to perform.
func (b *Batcher) Handle(now time.Time, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case JobAdded:
		b.addJob(now, ev)
	case JobDropped:
		b.dropJob(ev.Job)
	case CallEnded:
		out = b.finishCall(now, out, ev)
	case FreeRequested:
		out = b.freeResults(out, ev.Refs)
	case Stopped:
		out = b.movePending(out)
	case HeldElsewhere:
		b.recordHeldElsewhere(now, ev)
	case SurveyEnded:
		b.recordSurvey(now, ev)
	case ServerRests:
		b.recordRest(now, ev)
	case FreeEnded:
		b.releaseUnknown(now, ev)
		for _, ref := range ev.Refs {
			b.forgetResult(now, ref)
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

func (b *Batcher) addJob(now time.Time, ev JobAdded) {
	g := b.groups[ev.Pool]
	if g == nil {
		g = &group{pool: ev.Pool, slowness: 1}
		b.groups[ev.Pool] = g
		b.order = append(b.order, g)
	}
	b.beginCoordination(now, g, ev.Limits)
	j := &job{id: ev.Job, group: g, results: make([]shed.PieceResult, len(ev.Pieces)), unsettled: len(ev.Pieces)}
	b.jobs[ev.Job] = j
	for i, p := range ev.Pieces {
		j.target, j.deadline = now.Add(p.Target), now.Add(p.Budget)
		g.enqueue(&piece{Piece: p, job: j, index: i})
	}
}

// dropJob removes the job's pending pieces. Results of those in flight are released when their
// call ends.
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
		for _, p := range c.pieces {
			p.overdue--
		}
	}
	m.capacity.Release(c.bytes)
	if len(ev.Results) != len(c.pieces) {
		b.recordFailure(now, m, c, ev)
		if ev.Crashed {
			b.splitRequests(c)
		}
		for _, p := range c.pieces {
			p.inFlight--
			if !ev.NotRun && !ev.Crashed && !ev.PathLost {
				p.tries++
			}
			out = b.requeue(out, p)
		}
		return out
	}
	m.consecutiveFailures, m.unreached, m.silent, m.answeredAt = 0, false, false, now
	m.learnSlowness(now, c)
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
	case shed.PieceComplete:
		m.capacity.Reserve(p.Bytes)
		b.held[r.Ref] = heldResult{
			server: c.server.ID, group: c.group, bytes: p.Bytes, since: now, expires: now.Add(c.group.limits.ResultRetention),
		}
		if p.settled || p.job.dropped {
			return append(out, Free{Refs: []shed.ResultRef{r.Ref}})
		}
		return b.settle(out, p, r)
	case shed.PieceNoCapacity:
		// The server holds more than this VM has accounted for, so it gets less for a while.
		m.capacity.AddUnaccounted(now, p.Bytes, c.group.limits.ResultRetention/2)
		return b.requeue(out, p)
	case shed.PieceFailed:
		p.tries++
		p.awaitLastTry(now)
		return b.requeue(out, p)
	}
	if p.inFlight > 0 || p.queued {
		return out
	}
	return b.settle(out, p, r)
}

// requeue makes a piece pending again, unless it has used up its tries or another call, which is not
// suspect, still has it.
func (b *Batcher) requeue(out []Action, p *piece) []Action {
	if p.job.dropped || p.settled || p.queued || p.inFlight > p.overdue || p.inFlight > 0 && !p.mayHedge() {
		return out
	}
	if p.inFlight == 0 && p.tries >= maxTries {
		return b.settle(out, p, shed.PieceResult{End: shed.PieceFailed})
	}
	p.job.group.enqueue(p)
	return out
}

// hedgeSuspectCalls finds calls that take much longer than usual for their server and hedges
// their pieces: they are sent to another server too, the first result counts and the other one
// is released. Otherwise an unresponsive server would delay requests until the call's limit.
func (b *Batcher) hedgeSuspectCalls(now time.Time) {
	for _, g := range b.order {
		for _, s := range b.poolServers(now, g.pool) {
			m := s.producer
			c := b.calls[m.running]
			if c == nil || now.Before(c.suspectAt) {
				continue
			}
			if !m.silent {
				m.silent, m.unansweredSince = true, c.sentAt
				m.allowExtraCall(now)
			} else if !now.Before(m.extraCallAt) {
				m.allowExtraCall(now)
			}
			if c.suspected {
				continue
			}
			c.suspected = true
			for _, p := range c.pieces {
				p.overdue++
				if p.mayHedge() {
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

// movePending answers all pending pieces with PieceMoved.
func (b *Batcher) movePending(out []Action) []Action {
	for _, g := range b.order {
		waiting := g.pending
		g.pending = nil
		for _, p := range waiting {
			p.queued = false
			if p.inFlight == 0 {
				out = b.settle(out, p, shed.PieceResult{End: shed.PieceMoved})
			}
		}
	}
	return out
}
