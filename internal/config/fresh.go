package config

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// wakeAfter is how long a gap between events tells that the process slept: ten
// ticks, so that a busy machine alone hardly makes one.
const wakeAfter = 10 * shed.TickEvery

// Bounds on what is remembered of asks.
const (
	askEvery   = 400 * time.Millisecond
	askForget  = 5 * time.Second
	maxAsks    = 64
	farAsks    = 2
	maxClaimed = 24 * time.Hour
)

// clock notices that the process was paused.
//
// A paused process wakes with the beliefs of long ago and acts on them; a zone
// that was taken out meanwhile would get work from it. Every event, not only a
// tick, is held against the one before, since the first event after a pause may
// be a message that waited in a socket. Wall and monotonic time are both
// compared: the monotonic clock may stand still while a VM is suspended.
type clock struct {
	last time.Time
	tick shed.Tick
}

// woke tells whether there was a pause before ev.
func (c *clock) woke(now time.Time, ev shed.Event) bool {
	woke := c.leapt(now)
	if now.After(c.last) || woke {
		c.last = now
	}
	tick, ok := ev.(shed.Tick)
	if !ok {
		return woke
	}
	if !c.tick.Wall.IsZero() {
		wall := tick.Wall.Round(0).Sub(c.tick.Wall.Round(0))
		woke = woke || wall > wakeAfter || tick.Mono-c.tick.Mono > wakeAfter
	}
	c.tick = tick
	return woke
}

// leapt tells whether now is long after the last event.
func (c *clock) leapt(now time.Time) bool {
	if c.last.IsZero() {
		return false
	}
	return now.Sub(c.last) > wakeAfter || now.Round(0).Sub(c.last.Round(0)) > wakeAfter
}

// fresh is what the daemon knows of the age of its revision.
type fresh struct {
	// confirmed is a time at which the platform had no revision above the one
	// held here; zero if there was none. It stays true when the revision grows.
	confirmed time.Time
	// promise is a confirmation for a revision not yet held.
	promise promise
	// asks without an answer yet, oldest first; at most maxAsks.
	asks     []ask
	sequence uint64
	nextAsk  time.Time
}

// promise becomes a confirmation once the revision is held.
type promise struct {
	revision shed.Revision
	at       time.Time
}

// ask is a digest that was asked for.
type ask struct {
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

// confirm notes that at time at the platform had nothing above rev.
func (s *State) confirm(rev shed.Revision, at time.Time) {
	if rev > s.held.index.Revision {
		s.fresh.promise = promise{rev, at}
		return
	}
	if s.held.rules == nil {
		return
	}
	if at.After(s.fresh.confirmed) {
		s.fresh.confirmed = at
	}
}

// askAt is the age from which a daemon asks for a newer confirmation. Each
// level leaves the one above time to get its own.
func (s *State) askAt() time.Duration {
	switch s.near.level {
	case 0:
		return s.cfg.ConfirmationTTL * 2 / 5
	case 1:
		return s.cfg.ConfirmationTTL / 2
	}
	return s.cfg.ConfirmationTTL * 7 / 10
}

// askDue asks for digests if the confirmation grows old.
func (s *State) askDue(now time.Time) []shed.Action {
	age, known := s.fresh.age(now)
	if known && age < s.askAt() || now.Before(s.fresh.nextAsk) {
		return nil
	}
	s.fresh.nextAsk = now.Add(s.jitter(askEvery))
	var to []shed.VM
	if s.near.level == 0 {
		to = append(s.farContacts(farAsks), s.pick(s.near.watchers(s.cfg.Watchers)))
	} else {
		to = append(to, s.pick(s.near.above))
	}
	if s.near.level > 0 && (!known || age > s.cfg.ConfirmationTTL) {
		to = append(to, s.farContacts(1)...)
	}
	return s.askAll(now, to)
}

func (s *State) askAll(now time.Time, to []shed.VM) []shed.Action {
	var out []shed.Action
	for _, vm := range to {
		if vm != "" && vm != s.cfg.Self.VM {
			out = append(out, s.ask(now, vm))
		}
	}
	return out
}

// ask sends a digest that wants an answer.
func (s *State) ask(now time.Time, to shed.VM) shed.Action {
	f := &s.fresh
	for len(f.asks) > 0 && (len(f.asks) >= maxAsks || now.Sub(f.asks[0].at) > askForget) {
		f.asks = f.asks[1:]
	}
	f.sequence++
	f.asks = append(f.asks, ask{to, now, f.sequence})
	s.counts.Queries++
	m := s.Digest(now)
	m.WantReply = true
	m.Sequence = f.sequence
	return shed.SendPeer{To: to, Message: m}
}

// answered finds the ask that a digest answers.
func (s *State) answered(from shed.VM, m shed.ConfigDigest) (ask, bool) {
	if m.WantReply || m.Sequence == 0 {
		return ask{}, false
	}
	for i, a := range s.fresh.asks {
		if a.sequence == m.Sequence && a.to == from {
			s.fresh.asks = slices.Delete(s.fresh.asks, i, i+1)
			return a, true
		}
	}
	return ask{}, false
}

// digest takes in what a peer says of its revision.
func (s *State) digest(now time.Time, from shed.VM, m shed.ConfigDigest) []shed.Action {
	s.claim(now, from, m.Revision)
	var out []shed.Action
	a, answer := s.answered(from, m)
	if answer {
		s.startHeard(from, m)
		// The peer worked out its age after the ask had left, so counting back
		// from the ask is safe however late the answer is. A digest that was
		// not asked for confirms nothing: it may have waited in a socket.
		if !m.NeverConfirmed && m.ConfirmedAgo >= 0 && m.ConfirmedAgo < maxClaimed {
			s.confirm(m.Revision, a.at.Add(-m.ConfirmedAgo))
			s.reads.alone = s.reads.alone && m.ConfirmedAgo > s.cfg.ConfirmationTTL
		}
	}
	switch {
	case m.WantReply:
		back := s.Digest(now)
		back.Sequence = m.Sequence
		out = append(out, shed.SendPeer{To: from, Message: back})
	case answer && m.Revision < s.held.index.Revision:
		out = append(out, shed.SendPeer{To: from, Message: s.Digest(now)})
	}
	return append(out, s.pullDue(now)...)
}

// wake forgets what a pause may have made untrue and asks anew, as at a start.
func (s *State) wake(now time.Time) []shed.Action {
	s.counts.Pauses++
	s.fresh.confirmed = time.Time{}
	s.fresh.promise = promise{}
	s.fresh.asks = nil
	s.fresh.nextAsk = now
	s.reads.wake(now)
	s.start = start{}
	return []shed.Action{shed.Note{Reason: shed.ReasonWoke}}
}

// Resync makes the daemon ask anew what its peers have, as after a pause. Core
// calls it when a daemon that heard nobody hears somebody again.
func (s *State) Resync(now time.Time) []shed.Action { return s.wake(now) }

// jitter draws a time within a quarter of d, to either side.
func (s *State) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}
