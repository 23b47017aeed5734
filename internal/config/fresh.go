package config

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// pauseThreshold is the gap between events above which the process counts as paused: ten
// ticks, so that a busy machine alone rarely causes one.
const pauseThreshold = 10 * shed.TickEvery

// Bounds on queries.
const (
	queryInterval   = 400 * time.Millisecond
	queryTTL        = 5 * time.Second
	maxQueries      = 64
	remoteQueries   = 2
	maxConfirmedAge = 24 * time.Hour
)

// clock detects that the process was paused.
//
// A paused process resumes with outdated state and acts on it: it would send work to a
// zone that was taken out of service meanwhile. Every event, not only a tick, is compared
// with the previous one, since the first event after a pause may be a message that waited
// in a socket. Both wall and monotonic time are compared: the monotonic clock may stand
// still while a VM is suspended.
type clock struct {
	last time.Time
	tick shed.Tick
}

// observe records the time of ev and reports whether there was a pause before it.
func (c *clock) observe(now time.Time, ev shed.Event) bool {
	paused := c.jumped(now)
	if now.After(c.last) || paused {
		c.last = now
	}
	tick, ok := ev.(shed.Tick)
	if !ok {
		return paused
	}
	if !c.tick.Wall.IsZero() {
		wall := tick.Wall.Round(0).Sub(c.tick.Wall.Round(0))
		paused = paused || wall > pauseThreshold || tick.Mono-c.tick.Mono > pauseThreshold
	}
	c.tick = tick
	return paused
}

// jumped reports whether now is more than pauseThreshold after the last event.
func (c *clock) jumped(now time.Time) bool {
	if c.last.IsZero() {
		return false
	}
	return now.Sub(c.last) > pauseThreshold || now.Round(0).Sub(c.last.Round(0)) > pauseThreshold
}

// fresh is what the daemon knows of the age of its revision.
type fresh struct {
	// confirmed is a time at which the platform had no revision above the current one; zero
	// if unknown. It stays true when the revision grows.
	confirmed time.Time
	// pending is a confirmation for a revision not yet in force.
	pending pendingConfirmation
	// queries without an answer yet, oldest first; at most maxQueries.
	queries   []query
	sequence  uint64
	nextQuery time.Time
}

// pendingConfirmation becomes a confirmation once the revision is in force.
type pendingConfirmation struct {
	revision shed.Revision
	at       time.Time
}

// query is a request for a peer's digest.
type query struct {
	to       shed.VM
	at       time.Time
	sequence uint64
}

func (f *fresh) age(now time.Time) (age time.Duration, known bool) {
	if f.confirmed.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(f.confirmed)), true
}

// confirm records that the platform had nothing above rev at the given time.
func (s *State) confirm(rev shed.Revision, at time.Time) {
	if rev > s.current.index.Revision {
		s.fresh.pending = pendingConfirmation{rev, at}
		return
	}
	if s.current.rules == nil {
		return
	}
	if at.After(s.fresh.confirmed) {
		s.fresh.confirmed = at
	}
}

// queryAge is the age from which a daemon requests a newer confirmation. Each level
// leaves the one above time to get its own.
func (s *State) queryAge() time.Duration {
	switch s.topology.level {
	case 0:
		return s.cfg.ConfirmationTTL * 2 / 5
	case 1:
		return s.cfg.ConfirmationTTL / 2
	}
	return s.cfg.ConfirmationTTL * 7 / 10
}

// queryIfDue requests digests if the confirmation grows old.
func (s *State) queryIfDue(now time.Time) []shed.Action {
	age, known := s.fresh.age(now)
	if known && age < s.queryAge() || now.Before(s.fresh.nextQuery) {
		return nil
	}
	s.fresh.nextQuery = now.Add(s.jitter(queryInterval))
	var to []shed.VM
	if s.topology.level == 0 {
		to = append(s.remoteContacts(remoteQueries), s.pickPeer(s.topology.watchers(s.cfg.Watchers)))
	} else {
		to = append(to, s.pickPeer(s.topology.parents))
	}
	if s.topology.level > 0 && (!known || age > s.cfg.ConfirmationTTL) {
		to = append(to, s.remoteContacts(1)...)
	}
	return s.queryAll(now, to)
}

func (s *State) queryAll(now time.Time, to []shed.VM) []shed.Action {
	var out []shed.Action
	for _, vm := range to {
		if vm != "" && vm != s.cfg.Self.VM {
			out = append(out, s.sendQuery(now, vm))
		}
	}
	return out
}

// sendQuery sends a digest that requests a reply.
func (s *State) sendQuery(now time.Time, to shed.VM) shed.Action {
	f := &s.fresh
	for len(f.queries) > 0 && (len(f.queries) >= maxQueries || now.Sub(f.queries[0].at) > queryTTL) {
		f.queries = f.queries[1:]
	}
	f.sequence++
	f.queries = append(f.queries, query{to, now, f.sequence})
	s.counts.Queries++
	m := s.Digest(now)
	m.WantReply = true
	m.Sequence = f.sequence
	return shed.SendPeer{To: to, Message: m}
}

// matchQuery finds and removes the query that a digest answers.
func (s *State) matchQuery(from shed.VM, m shed.ConfigDigest) (query, bool) {
	if m.WantReply || m.Sequence == 0 {
		return query{}, false
	}
	for i, q := range s.fresh.queries {
		if q.sequence == m.Sequence && q.to == from {
			s.fresh.queries = slices.Delete(s.fresh.queries, i, i+1)
			return q, true
		}
	}
	return query{}, false
}

// handleDigest processes a peer's statement of its revision.
func (s *State) handleDigest(now time.Time, from shed.VM, m shed.ConfigDigest) []shed.Action {
	s.addClaim(now, from, m.Revision)
	var out []shed.Action
	q, isReply := s.matchQuery(from, m)
	if isReply {
		s.recordStartReply(from, m)
		// The peer computed its age after the query was sent, so subtracting the age from the
		// time of the query is safe however late the answer is. An unsolicited digest confirms
		// nothing: it may have waited in a socket.
		if !m.NeverConfirmed && m.ConfirmedAgo >= 0 && m.ConfirmedAgo < maxConfirmedAge {
			s.confirm(m.Revision, q.at.Add(-m.ConfirmedAgo))
			s.reads.selfReading = s.reads.selfReading && m.ConfirmedAgo > s.cfg.ConfirmationTTL
		}
	}
	switch {
	case m.WantReply:
		reply := s.Digest(now)
		reply.Sequence = m.Sequence
		out = append(out, shed.SendPeer{To: from, Message: reply})
	case isReply && m.Revision < s.current.index.Revision:
		out = append(out, shed.SendPeer{To: from, Message: s.Digest(now)})
	}
	return append(out, s.pullIfDue(now)...)
}

// resync discards what a pause may have made outdated and queries peers as at a start.
func (s *State) resync(now time.Time) []shed.Action {
	s.counts.Pauses++
	s.fresh.confirmed = time.Time{}
	s.fresh.pending = pendingConfirmation{}
	s.fresh.queries = nil
	s.fresh.nextQuery = now
	s.reads.invalidate(now)
	s.start = start{}
	return []shed.Action{shed.Note{Reason: shed.ReasonPaused}}
}

// Resync queries the peers again, as after a pause. Core calls it when a daemon that was
// isolated has contact again.
func (s *State) Resync(now time.Time) []shed.Action { return s.resync(now) }

// jitter returns a random time within a quarter of d, to either side.
func (s *State) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}
