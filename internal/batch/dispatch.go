package batch

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
)

// dispatch gives the group's waiting pieces to servers that have no call.
func (b *Batcher) dispatch(now time.Time, out []Action, g *group) []Action {
	if len(g.waiting) == 0 {
		return out
	}
	g.slow = b.slowness(now, g.pool)
	out = b.giveUpLate(now, out, g)
	servers := b.servers(g.pool)
	usable, sound := 0, 0
	var idle []shed.ServerEntry
	for _, s := range servers {
		m := b.maker(s)
		if !m.unreached {
			sound++
		}
		if m.away(now) {
			continue
		}
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
	slices.SortStableFunc(idle, func(x, y shed.ServerEntry) int {
		mx, my := b.makers[x.ID], b.makers[y.ID]
		if mx.unreached != my.unreached {
			// Tries come first: they leave the pieces to the others.
			if mx.unreached {
				return -1
			}
			return 1
		}
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
		if sound > 0 && b.makers[s.ID].unreached {
			out = b.try(now, out, g, s)
			continue
		}
		if b.worthWaiting(now, g, servers, s) {
			continue
		}
		out = b.send(now, out, g, servers, s)
	}
	return out
}

// giveUpLate answers pieces whose time would be over before a call ends: no
// server need work on them.
func (b *Batcher) giveUpLate(now time.Time, out []Action, g *group) []Action {
	var keep []*piece
	crowded := b.PredictWait(now, g.pool, g.limits).Last > crowdedFrom
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
	return soonest.After(p.job.deadline) || crowded && soonest.After(p.job.aim.Add(doubtfulFor))
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
	return now.Add(scale(expected(g.limits, min(len(g.waiting), g.limits.MaxPieces)), g.slow) + wayTime)
}

func expected(l shed.BatchLimits, pieces int) time.Duration {
	return l.CallTime + time.Duration(pieces)*l.PieceTime
}

// worthWaiting tells whether a busy server would be done with the pieces before
// the idle, slow server s.
func (b *Batcher) worthWaiting(now time.Time, g *group, servers []shed.ServerEntry, s shed.ServerEntry) bool {
	n := min(len(g.waiting), g.limits.MaxPieces)
	own := scale(expected(g.limits, n), b.makers[s.ID].slow)
	for _, other := range servers {
		m := b.makers[other.ID]
		if m.running == 0 || now.Before(m.shunned) || len(g.waiting) > g.limits.MaxPieces {
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

// try sends one piece, the least urgent one, to a server that the last call did not
// reach, to see whether it can be reached again. The piece goes on waiting for a
// sound server: in a zone that was cut off from the others, pieces went from one
// server beyond the cut to the next, 0.2 s each, for up to 1.3 s.
func (b *Batcher) try(now time.Time, out []Action, g *group, s shed.ServerEntry) []Action {
	at := len(g.waiting) - 1
	for at >= 0 && (g.waiting[at].settled || g.waiting[at].out > 0) {
		at--
	}
	m := b.makers[s.ID]
	if at < 0 || !m.mayHold(now, g.limits, g.waiting[at].Bytes) {
		return out
	}
	return b.call(now, out, g, s, []*piece{g.waiting[at]})
}

// send fills a call for the server with the most urgent pieces that it has room
// for.
func (b *Batcher) send(now time.Time, out []Action, g *group, servers []shed.ServerEntry, s shed.ServerEntry) []Action {
	room := b.makers[s.ID].room(now, g.limits)
	near := b.nearness(now, g, servers)
	var taken, rest []*piece
	var bytes int64
	for _, p := range g.waiting {
		if p.settled {
			continue
		}
		apart := len(taken) > 0 && p.lot != taken[0].lot
		if apart || len(taken) == g.limits.MaxPieces || !near.mayMake(p, s) || p.Bytes > room-bytes && g.limits.ResultCapacity > 0 {
			rest = append(rest, p)
			continue
		}
		p.queued = false
		taken = append(taken, p)
		bytes += p.Bytes
		if p.SameZone && p.PreferredZone == "" {
			p.job.near = s.Zone
		}
	}
	if len(taken) == 0 {
		return out
	}
	g.waiting = rest
	return b.call(now, out, g, s, taken)
}

// call sends pieces to a server.
func (b *Batcher) call(now time.Time, out []Action, g *group, s shed.ServerEntry, pieces []*piece) []Action {
	m := b.makers[s.ID]
	c := &call{server: s, group: g, began: now, pieces: pieces, expected: expected(g.limits, len(pieces))}
	for _, p := range pieces {
		c.bytes += p.Bytes
	}
	m.bytes += c.bytes
	b.nextID++
	m.running = b.nextID
	b.calls[b.nextID] = c
	c.doubt = now.Add(doubtTimes*scale(c.expected, max(m.slow, 1)) + doubtExtra)
	send := Send{Call: b.nextID, Server: s, Limit: limitTimes*c.expected + limitExtra, Pending: len(g.waiting)}
	for _, p := range c.pieces {
		p.out++
		piece := p.Piece
		piece.Budget = p.job.deadline.Sub(now)
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

func (b *Batcher) nearness(now time.Time, g *group, servers []shed.ServerEntry) nearness {
	n := nearness{done: map[shed.ZoneID]time.Time{}, room: map[shed.ZoneID]int{}}
	for _, s := range servers {
		m := b.maker(s)
		if now.Before(m.shunned) {
			continue
		}
		done := now
		if c := b.calls[m.running]; c != nil {
			done = shed.Later(now, c.began.Add(scale(c.expected, m.slow)))
		}
		done = done.Add(scale(expected(g.limits, g.limits.MaxPieces), m.slow))
		if old, ok := n.done[s.Zone]; !ok || done.Before(old) {
			n.done[s.Zone] = done
		}
		n.room[s.Zone] += g.limits.MaxPieces
	}
	return n
}

// mayMake keeps pieces whose results are wanted in one zone from servers of the
// others, as long as the next calls there have room for them and will be in
// time: fetching large results from another zone is what users pay most for. A
// piece that is kept back takes its place in those calls.
func (n nearness) mayMake(p *piece, s shed.ServerEntry) bool {
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
