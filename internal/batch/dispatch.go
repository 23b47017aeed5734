package batch

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
)

// candidates are the servers of a pool that may get calls.
type candidates struct {
	// idle servers have no call. usable counts them and those that have one, reachable the servers whose
	// last call reached them, sound the usable ones that aren't silent.
	idle                     []server
	usable, reachable, sound int
	// firstRestEnd is when the first server ends its rest; zero if none rests.
	firstRestEnd time.Time
	// lastSilence is when the last silence of a server began; zero if none is silent.
	lastSilence time.Time
	// fastestBusy is the lowest slowness of the sound servers that have a call.
	fastestBusy float64
}

// findCandidates assesses the servers of a group's pool, and has those surveyed that need it.
func (b *Batcher) findCandidates(now time.Time, out []Action, g *group, servers []server) (candidates, []Action) {
	f := candidates{fastestBusy: maxSlowness}
	for _, s := range servers {
		m := s.producer
		if !m.unreached {
			f.reachable++
		}
		if m.isUnreachable(now) {
			continue
		}
		if now.Before(m.restUntil) {
			if f.firstRestEnd.IsZero() || m.restUntil.Before(f.firstRestEnd) {
				f.firstRestEnd = m.restUntil
			}
			continue
		}
		if now.Before(m.backoffUntil) {
			f.usable += b.countRetryableSoon(now, m)
			continue
		}
		f.usable++
		if out = b.survey(now, out, g, s); m.capacity.AwaitsSurvey(now) {
			continue
		}
		if m.silent {
			f.lastSilence = shed.Later(f.lastSilence, m.unansweredSince)
		} else {
			f.sound++
		}
		switch {
		case m.running == 0:
			f.idle = append(f.idle, s)
		case !m.silent:
			f.fastestBusy = min(f.fastestBusy, m.slowness)
		}
	}
	slices.SortFunc(f.idle, func(x, y server) int { return x.compare(y, f.lastSilence) })
	return f, out
}

// dispatch assigns the group's pending pieces to servers that have no call.
func (b *Batcher) dispatch(now time.Time, out []Action, g *group) []Action {
	if len(g.pending) == 0 {
		return out
	}
	servers := b.poolServers(now, g.pool)
	g.slowness = slowness(now, servers)
	out = b.rejectLate(now, out, g, servers)
	f, out := b.findCandidates(now, out, g, servers)
	switch {
	case f.usable > 0:
	case f.firstRestEnd.IsZero():
		return b.failPending(out, g)
	default:
		return b.rejectEndingAfter(out, g, g.earliestCompletion(f.firstRestEnd))
	}
	for _, s := range f.idle {
		if len(g.pending) == 0 {
			break
		}
		b.sortPending(now, g, s.entry.Zone)
		if f.reachable > 0 && s.producer.unreached || f.sound > 0 && s.producer.silent {
			out = b.probe(now, out, g, s)
			continue
		}
		if s.producer.slowness > f.fastestBusy && b.busyServerIsFaster(now, g, servers, s) {
			continue
		}
		out = b.fillCall(now, out, g, servers, s)
		f.fastestBusy = min(f.fastestBusy, s.producer.slowness)
	}
	return out
}

// compare orders idle servers by who gets a call first. Servers often fall silent together, so those that
// answered since the last silence began go before others; lastSilence is zero if no server is silent.
func (s server) compare(o server, lastSilence time.Time) int {
	return cmp.Or(
		// Probes go first: a probed piece stays pending for the other servers.
		compareBools(o.producer.unreached, s.producer.unreached),
		compareBools(s.producer.silent, o.producer.silent),
		compareBools(s.mayBeSilent(lastSilence), o.mayBeSilent(lastSilence)),
		cmp.Compare(s.producer.slowness, o.producer.slowness),
		cmp.Compare(s.index, o.index),
	)
}

// mayBeSilent reports whether another server has been silent since a time, and this one hasn't answered.
func (s server) mayBeSilent(lastSilence time.Time) bool {
	return !lastSilence.IsZero() && !s.producer.answeredAt.After(lastSilence)
}

// compareBools orders false before true.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// rejectLate answers pieces whose deadline would pass before a call ends, so that no server
// works on them.
func (b *Batcher) rejectLate(now time.Time, out []Action, g *group, servers []server) []Action {
	var kept []*piece
	f := b.predictWait(now, g.pool, g.limits, servers)
	overloaded := max(f.Last, f.Room.Wait(g.limits, 1, g.limits.LargestResult, 0)) > overloadWait && !wereSilent(now, servers)
	for _, p := range g.pending {
		if p.settled || p.job.dropped {
			continue
		}
		if p.inFlight == 0 && b.isTooLate(now, g, p, overloaded) {
			out = b.settle(out, p, shed.PieceResult{End: shed.PieceLate})
			continue
		}
		kept = append(kept, p)
	}
	g.pending = kept
	return out
}

// wereSilent reports whether at least half of the servers fell silent lately, so that pieces wait though
// the pool has the capacity for them.
func wereSilent(now time.Time, servers []server) bool {
	silent := 0
	for _, s := range servers {
		if m := s.producer; !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) < silenceBacklogTime {
			silent++
		}
	}
	return silent > 0 && 2*silent >= len(servers)
}

// isTooLate reports whether a call that is sent now would end after the piece's deadline or,
// under overload, too far after its target while other pieces could still meet theirs. The
// piece is then better rejected at once.
func (b *Batcher) isTooLate(now time.Time, g *group, p *piece, overloaded bool) bool {
	soonest := g.earliestCompletion(now)
	return soonest.After(p.job.deadline) || overloaded && soonest.After(p.job.target.Add(lateMargin))
}

// failPending fails the pending pieces when no server can run them, so that the caller can try
// another zone at once. Those in flight stay pending: their servers may only be silent.
func (b *Batcher) failPending(out []Action, g *group) []Action {
	var kept []*piece
	for _, p := range g.pending {
		if p.inFlight > 0 {
			kept = append(kept, p)
			continue
		}
		p.queued = false
		out = b.settle(out, p, shed.PieceResult{End: shed.PieceFailed})
	}
	g.pending = kept
	return out
}

// rejectEndingAfter answers pieces whose deadline is before a time, which is when the first call
// after the servers' rests could end. The others wait for it.
func (b *Batcher) rejectEndingAfter(out []Action, g *group, soonest time.Time) []Action {
	var kept []*piece
	for _, p := range g.pending {
		if p.inFlight == 0 && soonest.After(p.job.deadline) {
			out = b.settle(out, p, shed.PieceResult{End: shed.PieceLate})
			continue
		}
		kept = append(kept, p)
	}
	g.pending = kept
	return out
}

// sortPending orders pieces by target. Those that can no longer meet their target come after
// the others, by deadline: if they went first, all pieces would be late under overload. Pieces
// count as due sooner in the zone of the server that will fetch their results.
func (b *Batcher) sortPending(now time.Time, g *group, zone shed.ZoneID) {
	soonest := g.earliestCompletion(now)
	key := func(p *piece) time.Time {
		due := p.job.target
		if due.Before(soonest) {
			due = p.job.deadline
		}
		if p.preferredZone() == zone {
			due = due.Add(-sameZoneBonus)
		}
		return due
	}
	slices.SortStableFunc(g.pending, func(x, y *piece) int {
		if c := key(x).Compare(key(y)); c != 0 {
			return c
		}
		return cmp.Compare(x.job.id, y.job.id)
	})
}

// earliestCompletion is when a call that is sent now could end.
func (g *group) earliestCompletion(now time.Time) time.Time {
	return now.Add(shed.Scale(expectedTime(g.limits, min(len(g.pending), g.limits.MaxPieces)), g.slowness) + networkTime)
}

func expectedTime(l shed.BatchLimits, pieces int) time.Duration {
	return l.CallTime + time.Duration(pieces)*l.PieceTime
}

// busyServerIsFaster reports whether a busy server would finish the pieces before the idle,
// slow server s.
func (b *Batcher) busyServerIsFaster(now time.Time, g *group, servers []server, s server) bool {
	n := min(len(g.pending), g.limits.MaxPieces)
	own := shed.Scale(expectedTime(g.limits, n), s.producer.slowness)
	for _, other := range servers {
		m := other.producer
		if m.running == 0 || m.silent || now.Before(m.availableAt()) || len(g.pending) > g.limits.MaxPieces {
			continue
		}
		c := b.calls[m.running]
		left := max(c.sentAt.Add(shed.Scale(c.expected, m.slowness)).Sub(now), 0)
		if left+shed.Scale(expectedTime(g.limits, n), m.slowness) < own {
			return true
		}
	}
	return false
}

// probe sends one piece, the least urgent one, to a server that the last call did not reach or
// that is silent, to see whether it answers again. The piece stays pending for a healthy server: in a
// zone that was partitioned from the others, pieces went from one unreachable server to the
// next, 0.2 s each, for up to 1.3 s.
func (b *Batcher) probe(now time.Time, out []Action, g *group, s server) []Action {
	at := len(g.pending) - 1
	for at >= 0 && (g.pending[at].settled || g.pending[at].inFlight > 0 || now.Before(g.pending[at].notBefore)) {
		at--
	}
	if at < 0 || !s.producer.capacity.CanHold(now, g.limits, g.pending[at].Bytes) {
		return out
	}
	return b.startCall(now, out, g, s, []*piece{g.pending[at]})
}

// fillCall fills a call with the most urgent pieces whose results fit the server's free
// capacity.
func (b *Batcher) fillCall(now time.Time, out []Action, g *group, servers []server, s server) []Action {
	freeBytes := s.producer.capacity.Free(now, g.limits)
	schedule := b.zoneSchedule(now, g, servers)
	var chosen, rest []*piece
	var bytes int64
	for _, p := range g.pending {
		if p.settled {
			continue
		}
		otherSubgroup := len(chosen) > 0 && p.subgroup != chosen[0].subgroup
		if otherSubgroup || !p.mayRunAt(now, s.producer) || len(chosen) == g.limits.MaxPieces || !schedule.mayRunOn(p, s.entry.Zone) || p.Bytes > freeBytes-bytes && g.limits.ResultCapacity > 0 {
			rest = append(rest, p)
			continue
		}
		p.queued = false
		chosen = append(chosen, p)
		bytes += p.Bytes
		if p.SameZone && p.PreferredZone == "" {
			p.job.preferredZone = s.entry.Zone
		}
	}
	if len(chosen) == 0 {
		return out
	}
	g.pending = rest
	return b.startCall(now, out, g, s, chosen)
}

// startCall sends pieces to a server.
func (b *Batcher) startCall(now time.Time, out []Action, g *group, s server, pieces []*piece) []Action {
	m := s.producer
	c := &call{server: *s.entry, group: g, sentAt: now, pieces: pieces, expected: expectedTime(g.limits, len(pieces))}
	for _, p := range pieces {
		c.bytes += p.Bytes
	}
	m.capacity.Reserve(c.bytes)
	b.nextID++
	m.running = b.nextID
	b.calls[b.nextID] = c
	c.suspectAt = now.Add(suspectFactor*shed.Scale(c.expected, max(m.slowness, 1)) + suspectMargin)
	usual := callLimitFactor*c.expected + callLimitMargin
	send := Send{Call: b.nextID, Server: *s.entry, UsualLimit: usual, Limit: usual, Pending: len(g.pending)}
	for _, p := range c.pieces {
		p.inFlight++
		p.sentAt = now
		send.Limit = max(send.Limit, p.job.deadline.Sub(now))
		piece := p.Piece
		piece.Budget = p.job.deadline.Sub(now)
		send.Pieces = append(send.Pieces, piece)
	}
	c.limit = send.Limit
	return append(out, send)
}

// zoneSchedule tracks, while one call is filled, whether the servers of a zone can take the
// pieces whose results are wanted there.
type zoneSchedule struct {
	// completion is when a call that is not sent yet could end in a zone; freeSlots is how
	// many more pieces fit the zone's next calls.
	completion map[shed.ZoneID]time.Time
	freeSlots  map[shed.ZoneID]int
}

func (b *Batcher) zoneSchedule(now time.Time, g *group, servers []server) zoneSchedule {
	n := zoneSchedule{completion: map[shed.ZoneID]time.Time{}, freeSlots: map[shed.ZoneID]int{}}
	for _, s := range servers {
		m, zone := s.producer, s.entry.Zone
		if m.silent || now.Before(m.availableAt()) {
			continue
		}
		done := now
		if c := b.calls[m.running]; c != nil {
			done = shed.Later(now, c.sentAt.Add(shed.Scale(c.expected, m.slowness)))
		}
		done = done.Add(shed.Scale(expectedTime(g.limits, g.limits.MaxPieces), m.slowness))
		if old, ok := n.completion[zone]; !ok || done.Before(old) {
			n.completion[zone] = done
		}
		n.freeSlots[zone] += g.limits.MaxPieces
	}
	return n
}

// mayRunOn keeps pieces whose results are wanted in one zone off servers of other zones, as
// long as the next calls of that zone have free slots and meet the target: fetching large
// results from another zone is what users pay most for. A piece that is held back uses up a
// slot of those calls.
func (n zoneSchedule) mayRunOn(p *piece, at shed.ZoneID) bool {
	zone := p.preferredZone()
	if zone == "" || zone == at {
		return true
	}
	done, ok := n.completion[zone]
	if !ok || done.After(p.job.target) || n.freeSlots[zone] <= 0 {
		return true
	}
	n.freeSlots[zone]--
	return false
}
