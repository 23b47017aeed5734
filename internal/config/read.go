package config

import (
	"time"

	shed "jasmineshed"
)

// Periods of reading from the platform.
const (
	readTimeout         = 1500 * time.Millisecond
	fullReadTimeout     = 10 * time.Second
	readTTL             = 20 * time.Second
	readRetry           = 250 * time.Millisecond
	maxReadRetry        = 4 * time.Second
	minReadGap          = 50 * time.Millisecond
	maxReads            = 4
	maxReadBackoffShift = 4
	// settleTime is how long after an invalid revision the platform's answers confirm
	// nothing.
	settleTime = 2 * time.Second
)

// reads is the state of the daemon's reads of the platform.
type reads struct {
	// sent holds the reads since all were last answered, oldest first; at most maxReads.
	// Answered counts the answers to them.
	sent     []sentRead
	answered int
	// nextRead is the earliest time of the next read.
	nextRead time.Time
	// fails counts consecutive errors.
	fails int
	// highestSeen is the highest revision that the platform has returned.
	highestSeen shed.Revision
	// invalid is the platform's newest revision if it has faults.
	invalid   shed.Revision
	faults    string
	settledAt time.Time
	// stale is true while the platform returns an older revision.
	stale bool
	// selfReading is true while this daemon, though not a watcher, reads from the platform
	// because no peer confirmed its revision.
	selfReading bool
}

// sentRead is a read that was sent.
type sentRead struct {
	at time.Time
	// validSince is at, or zero if there was a pause after it: such a read confirms nothing,
	// since clocks may have stood still.
	validSince time.Time
}

// invalidate marks the reads sent before a pause as confirming nothing.
func (r *reads) invalidate(now time.Time) {
	for i := range r.sent {
		r.sent[i].validSince = time.Time{}
	}
	r.nextRead = now
}

// recordAnswer returns the time since which the answer may have been in flight.
//
// Answers carry no number, and a late one may arrive after that of a later read. If it
// were matched with the later read, an old revision would count as confirmed just now. So
// every answer counts from the oldest read until there were as many answers as reads.
// Usually there is one read at a time, and nothing is lost by it.
func (r *reads) recordAnswer(now time.Time) (since time.Time, expected bool) {
	r.dropExpired(now)
	if len(r.sent) == 0 {
		return time.Time{}, false
	}
	since = r.sent[0].validSince
	r.answered++
	if r.answered == len(r.sent) {
		r.sent, r.answered = nil, 0
	}
	return since, true
}

// dropExpired discards unanswered reads once the last one was sent so long ago that no
// driver can still be waiting for an answer.
func (r *reads) dropExpired(now time.Time) {
	if n := len(r.sent); n > 0 && now.Sub(r.sent[n-1].at) > readTTL {
		r.sent, r.answered = nil, 0
	}
}

// readIfDue reads from the platform if this daemon has to do so now.
func (s *State) readIfDue(now time.Time) []shed.Action {
	r := &s.reads
	r.dropExpired(now)
	if now.Before(r.nextRead) || s.readInFlight(now) || len(r.sent) >= maxReads {
		return nil
	}
	if s.current.rules == nil {
		return s.readCold(now)
	}
	if s.topology.level == 0 {
		return s.sendRead(now, s.cfg.WatchTimeout)
	}
	// No recent confirmation, neither from the platform nor from a peer: read from the
	// platform until a peer confirms again, so as to stay fresh.
	age, known := s.fresh.age(now)
	bound := s.cfg.ConfirmationTTL
	if r.selfReading {
		bound /= 2
	}
	if known && age < bound {
		return nil
	}
	if !r.selfReading {
		// The first such read waits a random time, since a whole zone may have lost its
		// watchers at the same moment.
		r.selfReading = true
		r.nextRead = now.Add(time.Duration(s.rng.Int64N(int64(s.cfg.ConfirmationTTL))))
		return nil
	}
	r.nextRead = now.Add(s.jitter(s.cfg.ConfirmationTTL / 2))
	return s.sendRead(now, 0)
}

func (s *State) readCold(now time.Time) []shed.Action {
	if s.isStale() || s.start.startedAt.IsZero() || now.Before(s.coldReadAt()) {
		return nil
	}
	return s.sendRead(now, 0)
}

// readInFlight reports whether a read may still be answered.
func (s *State) readInFlight(now time.Time) bool {
	if len(s.reads.sent) == 0 {
		return false
	}
	timeout := s.cfg.WatchTimeout + readTimeout
	if s.current.rules == nil {
		timeout = fullReadTimeout
	}
	return now.Sub(s.reads.sent[len(s.reads.sent)-1].at) < timeout
}

func (s *State) sendRead(now time.Time, wait time.Duration) []shed.Action {
	s.reads.sent = append(s.reads.sent, sentRead{now, now})
	s.counts.Reads++
	return []shed.Action{shed.ReadConfig{
		After: max(s.current.index.Revision, s.reads.invalid),
		Wait:  wait,
		Have:  s.have(),
	}}
}

// handleRead processes the platform's answer.
func (s *State) handleRead(now time.Time, ev shed.ConfigRead) []shed.Action {
	sent, expected := s.reads.recordAnswer(now)
	if ev.Failed {
		return s.readFailed(now)
	}
	s.reads.fails = 0
	if s.topology.level == 0 {
		s.reads.nextRead = now.Add(minReadGap)
	}
	out := s.evaluate(now, ev)
	if expected && ev.Index.Revision == s.newest() && !sent.Before(s.reads.settledAt) {
		s.confirm(s.current.index.Revision, sent)
	}
	return append(out, s.readIfDue(now)...)
}

// newest is the highest revision that this daemon has evaluated.
func (s *State) newest() shed.Revision {
	return max(s.current.index.Revision, s.reads.invalid)
}

func (s *State) readFailed(now time.Time) []shed.Action {
	s.counts.ReadErrors++
	wait := readRetry << min(s.reads.fails, maxReadBackoffShift)
	s.reads.fails++
	s.reads.nextRead = now.Add(s.jitter(min(wait, maxReadRetry)))
	return nil
}

// evaluate decides on the revision that the platform returned.
func (s *State) evaluate(now time.Time, ev shed.ConfigRead) []shed.Action {
	rev := ev.Index.Revision
	if rev < s.newest() || rev < s.reads.highestSeen {
		return s.ignoreStale(now)
	}
	s.reads.stale = false
	s.reads.highestSeen = rev
	if rev == s.newest() {
		return nil
	}
	parts, complete := s.collectParts(ev.Index, ev.Parts)
	if !complete {
		// Received parts are kept, so that a slow platform that returns a few parts before
		// each timeout still delivers all of them in the end.
		s.fetch.parts = s.missingParts(parts)
		s.counts.PartialReads++
		s.reads.nextRead = now.Add(s.jitter(readRetry))
		return nil
	}
	rules, err := s.compile(ev.Index, parts)
	if err != nil {
		return s.rejectInvalid(now, rev, err)
	}
	return s.apply(now, ev.Index, parts, rules, "")
}

// ignoreStale ignores an answer that is older than what is known already.
func (s *State) ignoreStale(now time.Time) []shed.Action {
	s.counts.StaleReads++
	s.reads.nextRead = now.Add(s.jitter(readRetry))
	if s.reads.stale {
		return nil
	}
	s.reads.stale = true
	return []shed.Action{shed.Note{Reason: shed.ReasonConfigStale}}
}

// rejectInvalid keeps the last valid revision in force and reports the invalid one.
//
// This daemon may have missed a valid revision between its own and the invalid one, and
// the platform no longer returns it. If the platform's answer confirmed the older one at
// once, a zone taken out of service by the missed revision would still get work from
// here. So the platform confirms nothing until peers that received the missed one had
// time to send it.
func (s *State) rejectInvalid(now time.Time, rev shed.Revision, err error) []shed.Action {
	s.counts.Invalid++
	s.reads.invalid = rev
	s.reads.faults = truncate(err.Error())
	s.reads.settledAt = now.Add(settleTime)
	out := []shed.Action{shed.Note{Reason: shed.ReasonConfigInvalid}}
	to := append(s.remoteContacts(allZones), s.topology.watchers(s.cfg.Watchers)...)
	return append(out, s.queryAll(now, to)...)
}

// maxFaults bounds the text of faults that is kept for the status.
const maxFaults = 64 << 10

func truncate(text string) string {
	if len(text) > maxFaults {
		return text[:maxFaults]
	}
	return text
}
