package config

import (
	"time"

	shed "jasmineshed"
)

// Periods of reading from the platform.
const (
	readTimeout  = 1500 * time.Millisecond
	wholeTimeout = 10 * time.Second
	readForget   = 20 * time.Second
	readRetry    = 250 * time.Millisecond
	readMostWait = 4 * time.Second
	readMinGap   = 50 * time.Millisecond
	maxReads     = 4
	maxBackoff   = 4
	// settleFor is how long after an invalid revision the platform's answers
	// confirm nothing.
	settleFor = 2 * time.Second
)

// reads is what the daemon knows of its reads of the platform.
type reads struct {
	// sent are the reads since there was last none without an answer, oldest
	// first; at most maxReads. Answered counts the answers to them.
	sent     []sentRead
	answered int
	// next is the earliest time of the next read.
	next time.Time
	// fails counts errors in a row.
	fails int
	// seen is the highest revision that the platform has shown.
	seen shed.Revision
	// invalid is the platform's newest revision if it has faults.
	invalid shed.Revision
	faults  string
	settled time.Time
	// stale is set while the platform answers with an older revision.
	stale bool
	// alone is set while this daemon, though no watcher, reads for itself
	// because no peer confirmed anything.
	alone bool
}

// sentRead is a read that left.
type sentRead struct {
	at time.Time
	// since is at, or zero if there was a pause after it: such a read confirms
	// nothing, since clocks may have stood still.
	since time.Time
}

// wake takes the worth from the reads sent before a pause.
func (r *reads) wake(now time.Time) {
	for i := range r.sent {
		r.sent[i].since = time.Time{}
	}
	r.next = now
}

// answer gives a time since which the answer may have been on its way.
//
// Answers carry no number, and a late one may come after that of a later read.
// Were it taken for the later read's, an old revision would count as confirmed
// just now. So every answer counts from the oldest read, until there were as
// many answers as reads. Usually there is one read at a time, and nothing is
// lost by it.
func (r *reads) answer(now time.Time) (since time.Time, expected bool) {
	r.forget(now)
	if len(r.sent) == 0 {
		return time.Time{}, false
	}
	since = r.sent[0].since
	r.answered++
	if r.answered == len(r.sent) {
		r.sent, r.answered = nil, 0
	}
	return since, true
}

// forget gives up on the answers once nothing was sent for so long that no
// driver can still be waiting for one.
func (r *reads) forget(now time.Time) {
	if n := len(r.sent); n > 0 && now.Sub(r.sent[n-1].at) > readForget {
		r.sent, r.answered = nil, 0
	}
}

// readDue reads from the platform if it is this daemon's turn.
func (s *State) readDue(now time.Time) []shed.Action {
	r := &s.reads
	r.forget(now)
	if now.Before(r.next) || s.reading(now) || len(r.sent) >= maxReads {
		return nil
	}
	if s.held.rules == nil {
		return s.readCold(now)
	}
	if s.near.level == 0 {
		return s.send(now, s.cfg.WatchTimeout)
	}
	// Neither platform nor a fresh peer was heard: read for oneself, and keep
	// at it until a peer confirms again, so as to stay fresh.
	age, known := s.fresh.age(now)
	bound := s.cfg.ConfirmationTTL
	if r.alone {
		bound /= 2
	}
	if known && age < bound {
		return nil
	}
	if !r.alone {
		// The first such read waits a random time, since a whole zone may have
		// lost its watchers in the same moment.
		r.alone = true
		r.next = now.Add(time.Duration(s.rng.Int64N(int64(s.cfg.ConfirmationTTL))))
		return nil
	}
	r.next = now.Add(s.jitter(s.cfg.ConfirmationTTL / 2))
	return s.send(now, 0)
}

func (s *State) readCold(now time.Time) []shed.Action {
	if s.behind() || s.start.began.IsZero() || now.Before(s.coldAt()) {
		return nil
	}
	return s.send(now, 0)
}

// reading tells whether a read is on its way that may still be answered.
func (s *State) reading(now time.Time) bool {
	if len(s.reads.sent) == 0 {
		return false
	}
	timeout := s.cfg.WatchTimeout + readTimeout
	if s.held.rules == nil {
		timeout = wholeTimeout
	}
	return now.Sub(s.reads.sent[len(s.reads.sent)-1].at) < timeout
}

func (s *State) send(now time.Time, wait time.Duration) []shed.Action {
	s.reads.sent = append(s.reads.sent, sentRead{now, now})
	s.counts.Reads++
	return []shed.Action{shed.ReadConfig{
		After: max(s.held.index.Revision, s.reads.invalid),
		Wait:  wait,
		Have:  s.have(),
	}}
}

// read takes in the platform's answer.
func (s *State) read(now time.Time, ev shed.ConfigRead) []shed.Action {
	sent, expected := s.reads.answer(now)
	if ev.Failed {
		return s.readFailed(now)
	}
	s.reads.fails = 0
	if s.near.level == 0 {
		s.reads.next = now.Add(readMinGap)
	}
	out := s.judge(now, ev)
	if expected && ev.Index.Revision == s.newest() && !sent.Before(s.reads.settled) {
		s.confirm(s.held.index.Revision, sent)
	}
	return append(out, s.readDue(now)...)
}

// newest is the highest revision that this daemon has judged.
func (s *State) newest() shed.Revision {
	return max(s.held.index.Revision, s.reads.invalid)
}

func (s *State) readFailed(now time.Time) []shed.Action {
	s.counts.ReadErrors++
	wait := readRetry << min(s.reads.fails, maxBackoff)
	s.reads.fails++
	s.reads.next = now.Add(s.jitter(min(wait, readMostWait)))
	return nil
}

// judge decides on the revision that the platform gave.
func (s *State) judge(now time.Time, ev shed.ConfigRead) []shed.Action {
	rev := ev.Index.Revision
	if rev < s.newest() || rev < s.reads.seen {
		return s.stalePlatform(now)
	}
	s.reads.stale = false
	s.reads.seen = rev
	if rev == s.newest() {
		return nil
	}
	parts, whole := s.collect(ev.Index, ev.Parts)
	if !whole {
		// What came is kept, so that a slow platform that gives a few parts
		// before each timeout still gives all of them in the end.
		s.fetch.parts = s.apart(parts)
		s.counts.PartialReads++
		s.reads.next = now.Add(s.jitter(readRetry))
		return nil
	}
	rules, err := s.compile(ev.Index, parts)
	if err != nil {
		return s.invalidRevision(now, rev, err)
	}
	return s.take(now, ev.Index, parts, rules, "")
}

// stalePlatform ignores an answer from before what is known already.
func (s *State) stalePlatform(now time.Time) []shed.Action {
	s.counts.StaleReads++
	s.reads.next = now.Add(s.jitter(readRetry))
	if s.reads.stale {
		return nil
	}
	s.reads.stale = true
	return []shed.Action{shed.Note{Reason: shed.ReasonConfigStale}}
}

// invalidRevision keeps the last good revision in force, loudly.
//
// This daemon may have missed a good revision between the one it holds and the
// invalid one, and the platform no longer gives it. Were the platform's answer
// to confirm the older one at once, a zone taken out by the missed revision
// would go on getting work from here. So the platform confirms nothing until
// peers that saw the missed one had time to spread it.
func (s *State) invalidRevision(now time.Time, rev shed.Revision, err error) []shed.Action {
	s.counts.Invalid++
	s.reads.invalid = rev
	s.reads.faults = bounded(err.Error())
	s.reads.settled = now.Add(settleFor)
	out := []shed.Action{shed.Note{Reason: shed.ReasonConfigInvalid}}
	to := append(s.farContacts(everyZone), s.near.watchers(s.cfg.Watchers)...)
	return append(out, s.askAll(now, to)...)
}

// maxFaults bounds the text of faults that is kept for the status.
const maxFaults = 64 << 10

func bounded(text string) string {
	if len(text) > maxFaults {
		return text[:maxFaults]
	}
	return text
}
