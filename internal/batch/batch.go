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
	"cmp"
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
	// roomShare of a server's room is used: sizes are approximate.
	roomShare = 0.92
)

// JobID names what one daemon asked for at once.
type JobID uint64

// CallID names one call.
type CallID uint64

// Event is what the driver tells.
type Event interface{ event() }

// Asked means that pieces are wanted. The driver answers the job with Done.
type Asked struct {
	Job    JobID
	Pool   shed.PoolID
	Limits shed.BatchLimits
	Pieces []shed.Piece
}

// Dropped means that nobody wants the job any more.
type Dropped struct{ Job JobID }

// CallEnded means that a call is over. Results is nil if it gave none.
type CallEnded struct {
	Call    CallID
	Results []shed.PieceResult
	// NotRun: the server said that it has not run the call, or nothing can
	// have reached it.
	NotRun bool
	// Busy: the server refused since it is full.
	Busy bool
}

// Freed means that results are given up.
type Freed struct{ Refs []shed.ResultRef }

// FreeEnded means that the servers have been told, and have room again.
type FreeEnded struct{ Refs []shed.ResultRef }

// HeldElsewhere means that another VM told what servers hold for it. A VM that
// begins to gather knows by it which room is taken: without it, a third of the
// pieces found none for the seconds after a gatherer was stopped.
type HeldElsewhere struct {
	From shed.VM
	Held map[shed.ServerID]int64
	// Keep is how long servers keep results.
	Keep time.Duration
}

// Stopped means that this VM gathers no more: what waits goes back to those who
// asked, what runs is ended. Else two VMs would gather for the same servers
// until the last piece that waits is made, with twice the calls.
type Stopped struct{}

// Tick lets time pass.
type Tick struct{}

func (Asked) event()         {}
func (Dropped) event()       {}
func (CallEnded) event()     {}
func (Freed) event()         {}
func (FreeEnded) event()     {}
func (HeldElsewhere) event() {}
func (Stopped) event()       {}
func (Tick) event()          {}

// Action is what the driver is to do.
type Action interface{ action() }

// Send asks to run a call. The driver ends it with one CallEnded.
type Send struct {
	Call   CallID
	Server shed.Listing
	Pieces []shed.Piece
	// Limit is the time after which the call is given up.
	Limit time.Duration
	// Left is how many pieces go on waiting.
	Left int
}

// Done answers a job, with a result for each piece.
type Done struct {
	Job     JobID
	Results []shed.PieceResult
}

// Free asks to give results up at the server that holds them.
type Free struct{ Refs []shed.ResultRef }

func (Send) action() {}
func (Done) action() {}
func (Free) action() {}

// Servers gives the servers of a pool that may have new work, sorted by id.
type Servers func(shed.PoolID) []shed.Listing

// Batcher gathers pieces. It is not safe for concurrent use.
type Batcher struct {
	servers Servers
	groups  map[shed.PoolID]*group
	jobs    map[JobID]*job
	calls   map[CallID]*call
	held    map[shed.ResultRef]heldResult
	makers  map[shed.ServerID]*maker
	nextID  CallID
	// order holds the groups in the order of their first use.
	order []*group
}

// group is what is gathered for one pool.
type group struct {
	pool    shed.PoolID
	limits  shed.BatchLimits
	waiting []*piece
}

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
	if p.Near != "" {
		return p.Near
	}
	return p.job.near
}

type piece struct {
	shed.Piece
	job   *job
	at    int // in job.results
	tries int
	// out is how many calls have it; above 1 once one of them is in doubt.
	out     int
	settled bool
}

type call struct {
	server   shed.Listing
	group    *group
	pieces   []*piece
	began    time.Time
	expected time.Duration
	bytes    int64
	// limit and doubt are when it is given up, and when its pieces go to another
	// server too.
	doubt   time.Time
	doubted bool
}

// maker is one server as this daemon has seen it work.
type maker struct {
	born int64
	// running is the call under way; 0 if none.
	running CallID
	// slow is how much longer its calls take than expected.
	slow float64
	// shunned until then, after so many failures in a row.
	shunned time.Time
	fails   int
	// bytes of results that it holds, or will once its call is done.
	bytes int64
	// unseen are results that it may hold though nobody here knows them: of
	// calls whose answer was lost, or made through another VM.
	unseen []unseenBytes
	// doubted calls are out while the server got another one.
	doubted int
	// others is what it holds for other VMs that gather or did so lately.
	others map[shed.VM]heldElsewhere
}

type heldElsewhere struct {
	bytes int64
	at    time.Time
	keep  time.Duration
}

type unseenBytes struct {
	bytes int64
	until time.Time
}

// taken is how much of the server's room is taken.
func (m *maker) taken(now time.Time) int64 {
	m.unseen = slices.DeleteFunc(m.unseen, func(u unseenBytes) bool { return now.After(u.until) })
	all := m.bytes
	for _, u := range m.unseen {
		all += u.bytes
	}
	for _, o := range m.others {
		// What was held then lapses, or is given up, within keep.
		left := 1 - float64(now.Sub(o.at))/float64(o.keep)
		all += int64(float64(o.bytes) * max(left, 0))
	}
	return all
}

type heldResult struct {
	server shed.ServerID
	bytes  int64
	until  time.Time
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
	case Asked:
		b.ask(now, ev)
	case Dropped:
		b.drop(ev.Job)
	case CallEnded:
		out = b.ended(now, out, ev)
	case Freed:
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

func (b *Batcher) ask(now time.Time, ev Asked) {
	g := b.groups[ev.Pool]
	if g == nil {
		g = &group{pool: ev.Pool}
		b.groups[ev.Pool] = g
		b.order = append(b.order, g)
	}
	g.limits = ev.Limits
	j := &job{id: ev.Job, group: g, results: make([]shed.PieceResult, len(ev.Pieces)), left: len(ev.Pieces)}
	b.jobs[ev.Job] = j
	for i, p := range ev.Pieces {
		j.aim, j.deadline = now.Add(p.Aim), now.Add(p.Left)
		g.waiting = append(g.waiting, &piece{Piece: p, job: j, at: i})
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
		for _, p := range c.pieces {
			p.out--
			if !ev.NotRun {
				p.tries++
			}
			out = b.again(out, p)
		}
		return out
	}
	m.fails = 0
	took := float64(now.Sub(c.began)) / float64(c.expected)
	m.slow += slowShare * (min(max(took, slowLeast), slowMost) - m.slow)
	for i, p := range c.pieces {
		out = b.pieceEnded(now, out, m, c, p, ev.Results[i])
	}
	return out
}

// callFailed leaves the server alone for a while, so that the other servers,
// or another zone, get the pieces. One that is just full is tried again when a
// call of somebody else may have ended.
func (b *Batcher) callFailed(now time.Time, m *maker, c *call, ev CallEnded) {
	if ev.Busy {
		m.shunned = now.Add(c.expected / 2)
		return
	}
	if !ev.NotRun {
		m.unseen = append(m.unseen, unseenBytes{bytes: c.bytes, until: now.Add(c.group.limits.KeepFor)})
	}
	if c.doubted && m.fails == 0 {
		// The server answered a later call: it lives, only this answer was lost.
		return
	}
	m.shunned = now.Add(min(shunFirst<<min(m.fails, 6), shunMost))
	m.fails++
}

func (b *Batcher) pieceEnded(
	now time.Time, out []Action, m *maker, c *call, p *piece, r shed.PieceResult,
) []Action {
	p.out--
	switch r.End {
	case shed.PieceMade:
		m.bytes += p.Bytes
		b.held[r.Ref] = heldResult{server: c.server.ID, bytes: p.Bytes, until: now.Add(c.group.limits.KeepFor)}
		if p.settled || p.job.dropped {
			return append(out, Free{Refs: []shed.ResultRef{r.Ref}})
		}
		return b.settle(out, p, r)
	case shed.PieceNoRoom:
		// The server holds more than is known here, so it gets less for a while.
		m.unseen = append(m.unseen, unseenBytes{bytes: p.Bytes, until: now.Add(c.group.limits.KeepFor / 2)})
		return b.again(out, p)
	case shed.PieceFailed:
		p.tries++
		return b.again(out, p)
	}
	if p.out > 0 {
		return out
	}
	return b.settle(out, p, r)
}

// again puts a piece back to be sent once more, unless that was often enough or
// another call still has it.
func (b *Batcher) again(out []Action, p *piece) []Action {
	if p.job.dropped || p.settled || p.out > 0 {
		return out
	}
	if p.tries >= tries {
		return b.settle(out, p, shed.PieceResult{End: shed.PieceFailed})
	}
	p.job.group.waiting = append(p.job.group.waiting, p)
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
					g.waiting = append(g.waiting, p)
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

// free gives results up; those that this daemon doesn't know may have been
// made through another one. Their room counts as taken until the server was
// told.
func (b *Batcher) free(out []Action, refs []shed.ResultRef) []Action {
	if len(refs) == 0 {
		return out
	}
	return append(out, Free{Refs: refs})
}

func (b *Batcher) forget(ref shed.ResultRef) {
	h, ok := b.held[ref]
	if !ok {
		return
	}
	delete(b.held, ref)
	if m := b.makers[h.server]; m != nil {
		m.bytes -= h.bytes
	}
}

func (b *Batcher) heldElsewhere(now time.Time, ev HeldElsewhere) {
	for id, bytes := range ev.Held {
		m := b.makers[id]
		if m == nil {
			m = &maker{slow: 1}
			b.makers[id] = m
		}
		if m.others == nil {
			m.others = map[shed.VM]heldElsewhere{}
		}
		m.others[ev.From] = heldElsewhere{bytes: bytes, at: now, keep: ev.Keep}
	}
}

// Held are the bytes that servers hold for this VM.
func (b *Batcher) Held() map[shed.ServerID]int64 {
	out := map[shed.ServerID]int64{}
	for id, m := range b.makers {
		if m.bytes > 0 {
			out[id] = m.bytes
		}
	}
	return out
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

// expire forgets results that their servers have dropped by now.
func (b *Batcher) expire(now time.Time) {
	for ref, h := range b.held {
		if now.After(h.until) {
			b.forget(ref)
		}
	}
}

func (b *Batcher) maker(s shed.Listing) *maker {
	m := b.makers[s.ID]
	if m == nil {
		m = &maker{born: s.Born, slow: 1}
		b.makers[s.ID] = m
	}
	if m.born == 0 {
		m.born = s.Born
	}
	if m.born != s.Born {
		// A new start holds nothing of before.
		*m = maker{born: s.Born, slow: 1, running: m.running, bytes: b.runningBytes(m.running)}
		for ref, h := range b.held {
			if h.server == s.ID {
				delete(b.held, ref)
			}
		}
	}
	return m
}

func (b *Batcher) runningBytes(id CallID) int64 {
	if c := b.calls[id]; c != nil {
		return c.bytes
	}
	return 0
}

// dispatch gives the group's waiting pieces to servers that have no call.
func (b *Batcher) dispatch(now time.Time, out []Action, g *group) []Action {
	if len(g.waiting) == 0 {
		return out
	}
	out = b.giveUpLate(now, out, g)
	servers := b.servers(g.pool)
	usable := 0
	var idle []shed.Listing
	for _, s := range servers {
		m := b.maker(s)
		if now.Before(m.shunned) {
			usable += b.soon(now, m)
			continue
		}
		usable++
		if m.running == 0 {
			idle = append(idle, s)
		}
	}
	if usable == 0 {
		return b.failAll(out, g)
	}
	slices.SortStableFunc(idle, func(x, y shed.Listing) int {
		mx, my := b.makers[x.ID], b.makers[y.ID]
		if c := cmp.Compare(mx.doubted, my.doubted); c != 0 {
			return c
		}
		return cmp.Compare(mx.slow, my.slow)
	})
	for _, s := range idle {
		if len(g.waiting) == 0 {
			break
		}
		b.sortWaiting(now, g, s.Zone)
		if b.worthWaiting(now, g, servers, s) {
			continue
		}
		out = b.send(now, out, g, servers, s)
	}
	return out
}

// mayLive lets a server have a call beside the one in doubt.
func (b *Batcher) mayLive(s shed.Listing) {
	m := b.makers[s.ID]
	if m.doubted++; m.doubted == 1 {
		m.running = 0
	}
}

// soon is 1 if the server is left alone for a moment only, since it was full.
func (b *Batcher) soon(now time.Time, m *maker) int {
	if m.fails == 0 || m.shunned.Sub(now) < shunFirst/2 {
		return 1
	}
	return 0
}

// giveUpLate answers pieces whose time would be over before a call ends: no
// server need work on them.
func (b *Batcher) giveUpLate(now time.Time, out []Action, g *group) []Action {
	var keep []*piece
	crowded := b.Wait(now, g.pool, g.limits).Last > crowdedFrom
	for _, p := range g.waiting {
		if p.settled || p.job.dropped {
			continue
		}
		if p.out == 0 && b.hopeless(now, g, p, crowded) {
			out = b.settle(out, p, shed.PieceResult{End: shed.PieceLate})
			continue
		}
		keep = append(keep, p)
	}
	g.waiting = keep
	return out
}

// hopeless tells whether the piece is not worth waiting for any more: its time
// would be over before a call ends, or it would be late while others wait that
// need not be. Then its caller is better told at once.
func (b *Batcher) hopeless(now time.Time, g *group, p *piece, crowded bool) bool {
	soonest := g.soonest(now)
	return soonest.After(p.job.deadline) || crowded && soonest.After(p.job.aim)
}

// failAll answers all pieces when no server can make them, so that the asker
// may try another zone at once.
func (b *Batcher) failAll(out []Action, g *group) []Action {
	waiting := g.waiting
	g.waiting = nil
	for _, p := range waiting {
		out = b.settle(out, p, shed.PieceResult{End: shed.PieceFailed})
	}
	return out
}

// sortWaiting orders pieces by the time at which their results should be there.
// Those that can't make it any more come after the others by their deadline: if
// they went first, all would be late once there is more than can be served.
// Results are wanted near the server that will fetch them.
func (b *Batcher) sortWaiting(now time.Time, g *group, zone shed.ZoneID) {
	soonest := g.soonest(now)
	key := func(p *piece) time.Time {
		due := p.job.aim
		if due.Before(soonest) {
			due = p.job.deadline
		}
		if p.wanted() == zone {
			due = due.Add(-nearBonus)
		}
		return due
	}
	slices.SortStableFunc(g.waiting, func(x, y *piece) int {
		if c := key(x).Compare(key(y)); c != 0 {
			return c
		}
		return cmp.Compare(x.job.id, y.job.id)
	})
}

// soonest is when a call that is sent now could be done.
func (g *group) soonest(now time.Time) time.Time {
	return now.Add(expected(g.limits, min(len(g.waiting), g.limits.Most)))
}

func expected(l shed.BatchLimits, pieces int) time.Duration {
	return l.CallTime + time.Duration(pieces)*l.PieceTime
}

// worthWaiting tells whether a busy server would be done with the pieces before
// the idle, slow server s.
func (b *Batcher) worthWaiting(now time.Time, g *group, servers []shed.Listing, s shed.Listing) bool {
	n := min(len(g.waiting), g.limits.Most)
	own := scale(expected(g.limits, n), b.makers[s.ID].slow)
	for _, other := range servers {
		m := b.makers[other.ID]
		if m.running == 0 || now.Before(m.shunned) || len(g.waiting) > g.limits.Most {
			continue
		}
		c := b.calls[m.running]
		left := max(c.began.Add(scale(c.expected, m.slow)).Sub(now), 0)
		if left+scale(expected(g.limits, n), m.slow) < own {
			return true
		}
	}
	return false
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}

// send fills a call for the server with the most urgent pieces that it has room
// for.
func (b *Batcher) send(now time.Time, out []Action, g *group, servers []shed.Listing, s shed.Listing) []Action {
	m := b.makers[s.ID]
	room := int64(float64(g.limits.Room)*roomShare) - m.taken(now)
	c := &call{server: s, group: g, began: now}
	near := b.nearness(now, g, servers)
	var rest []*piece
	for _, p := range g.waiting {
		if p.settled {
			continue
		}
		if len(c.pieces) == g.limits.Most || !near.mayMake(p, s) || p.Bytes > room-c.bytes && g.limits.Room > 0 {
			rest = append(rest, p)
			continue
		}
		c.pieces = append(c.pieces, p)
		c.bytes += p.Bytes
		if p.Together && p.Near == "" {
			p.job.near = s.Zone
		}
	}
	if len(c.pieces) == 0 {
		return out
	}
	g.waiting = rest
	c.expected = expected(g.limits, len(c.pieces))
	m.bytes += c.bytes
	b.nextID++
	m.running = b.nextID
	b.calls[b.nextID] = c
	c.doubt = now.Add(doubtTimes*scale(c.expected, max(m.slow, 1)) + doubtExtra)
	send := Send{Call: b.nextID, Server: s, Limit: limitTimes*c.expected + limitExtra, Left: len(rest)}
	for _, p := range c.pieces {
		p.out++
		piece := p.Piece
		piece.Left = p.job.deadline.Sub(now)
		send.Pieces = append(send.Pieces, piece)
	}
	return append(out, send)
}

// nearness tells, while one call is filled, whether the servers of a zone will
// take the pieces that are wanted there.
type nearness struct {
	// done is when a call that is not sent yet could be done in a zone, room
	// is how many more pieces the zone's next calls have room for.
	done map[shed.ZoneID]time.Time
	room map[shed.ZoneID]int
}

func (b *Batcher) nearness(now time.Time, g *group, servers []shed.Listing) nearness {
	n := nearness{done: map[shed.ZoneID]time.Time{}, room: map[shed.ZoneID]int{}}
	for _, s := range servers {
		m := b.maker(s)
		if now.Before(m.shunned) {
			continue
		}
		done := now
		if c := b.calls[m.running]; c != nil {
			done = later(now, c.began.Add(scale(c.expected, m.slow)))
		}
		done = done.Add(scale(expected(g.limits, g.limits.Most), m.slow))
		if old, ok := n.done[s.Zone]; !ok || done.Before(old) {
			n.done[s.Zone] = done
		}
		n.room[s.Zone] += g.limits.Most
	}
	return n
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mayMake keeps pieces whose results are wanted in one zone from servers of the
// others, as long as the next calls there have room for them and will be in
// time: fetching large results from another zone is what users pay most for. A
// piece that is kept back takes its place in those calls.
func (n nearness) mayMake(p *piece, s shed.Listing) bool {
	zone := p.wanted()
	if zone == "" || zone == s.Zone {
		return true
	}
	done, ok := n.done[zone]
	if !ok || done.After(p.job.aim) || n.room[zone] <= 0 {
		return true
	}
	n.room[zone]--
	return false
}

// Forecast predicts, from now, how long one more piece of the pool would take.
type Forecast struct {
	// Timely is the time if it goes before those that can't be in time any
	// more, Last if it goes after all others.
	Timely, Last time.Duration
}

// Wait predicts how long one more piece of the pool would take.
func (b *Batcher) Wait(now time.Time, pool shed.PoolID, limits shed.BatchLimits) Forecast {
	var rate float64
	soonest := time.Duration(-1)
	for _, s := range b.servers(pool) {
		m := b.maker(s)
		rate += float64(limits.Most) / (float64(expected(limits, limits.Most)) * m.slow)
		left := time.Duration(0)
		if c := b.calls[m.running]; c != nil {
			left = max(c.began.Add(scale(c.expected, m.slow)).Sub(now), 0)
		}
		left = max(left, m.shunned.Sub(now))
		if soonest < 0 || left < soonest {
			soonest = left
		}
	}
	if rate == 0 {
		return Forecast{Timely: NoServers, Last: NoServers}
	}
	timely, all := b.backlog(now, pool)
	wait := func(n int) time.Duration {
		queue := time.Duration(0)
		if n >= limits.Most {
			queue = time.Duration(float64(n) / rate)
		}
		return soonest + queue + expected(limits, min(n+1, limits.Most))
	}
	return Forecast{Timely: wait(timely), Last: wait(all)}
}

// backlog counts the pieces that wait: those that can be in time, and all.
func (b *Batcher) backlog(now time.Time, pool shed.PoolID) (timely, all int) {
	g := b.groups[pool]
	if g == nil {
		return 0, 0
	}
	soonest := g.soonest(now)
	for _, p := range g.waiting {
		if p.settled {
			continue
		}
		all++
		if !p.job.aim.Before(soonest) {
			timely++
		}
	}
	return timely, all
}

// NoServers is what Wait predicts for a pool without servers.
const NoServers = time.Hour

// Busy are the pools with pieces that wait or run, in the order of their first
// use.
func (b *Batcher) Busy() []shed.PoolID {
	running := map[*group]bool{}
	for _, c := range b.calls {
		running[c.group] = true
	}
	var out []shed.PoolID
	for _, g := range b.order {
		if running[g] || len(g.waiting) > 0 {
			out = append(out, g.pool)
		}
	}
	return out
}

// Waiting is how many pieces of a pool wait here.
func (b *Batcher) Waiting(pool shed.PoolID) int {
	if g := b.groups[pool]; g != nil {
		return len(g.waiting)
	}
	return 0
}
