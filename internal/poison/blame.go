package poison

import (
	"slices"
	"time"

	shed "jasmineshed"
)

const (
	// suspectFrom is the number of crashes from which a request is a suspect: it runs
	// where it harms least, and all peers know of it.
	suspectFrom = 2
	// ranWellLimit is how many times as many servers have to end under a request that has
	// run well: in a storm, requests that come again and again are on many of them.
	ranWellLimit = 2
	// stormFor is the span in which servers that ended under none of the requests that are
	// beyond their limit speak for others: there, servers end by themselves.
	stormFor = 10 * time.Second
	// doubtBeyond is how many crashes beyond the limit need no other sign that the request
	// is to blame. It is then refused for a part of the quarantine, since others on the same
	// servers may be to blame.
	doubtBeyond, doubtShare = 2, 5
	// quarantineGrowth is how much longer each further crash keeps a request away, up to
	// quarantineMost.
	quarantineGrowth = 6
	quarantineMost   = time.Hour
)

// believe tells what is believed anew of a request that had so many crashes before.
func (t *Table) believe(now time.Time, s *suspect, before int) []Change {
	n := s.count()
	change := Change{Request: s.request, Workspace: s.workspace, Crashes: n}
	switch {
	case n < suspectFrom && s.quarantined:
		s.quarantined = false
		change.Reason = Cleared
	case n >= suspectFrom && n != before && t.quarantine(now, s) > 0:
		s.quarantined = true
		change.Reason, change.RefusedFor = Quarantined, t.quarantine(now, s)
	case n == suspectFrom && before < n:
		change.Reason = Suspected
	default:
		return nil
	}
	return []Change{change}
}

// quarantine is how long the request is refused after its last crash; 0 if it is not to
// blame.
func (t *Table) quarantine(now time.Time, s *suspect) time.Duration {
	beyond, d := s.count()-t.limit(s), t.cfg.Quarantine
	if beyond < 0 {
		return 0
	}
	if !t.toBlame(now, s) {
		if beyond < doubtBeyond {
			return 0
		}
		beyond, d = beyond-doubtBeyond, d/doubtShare
	}
	for range beyond {
		d = min(d*quarantineGrowth, quarantineMost)
	}
	return d
}

// toBlame tells whether the servers ended by this request. Others that ran on them were
// broken off as well, and come again: each crash is held against the request that most
// servers have ended under, and against nobody where that is not clear. While servers end
// by themselves, one after the other, nobody is to blame.
func (t *Table) toBlame(now time.Time, s *suspect) bool {
	n, blamed := s.count(), 0
	for start := range s.crashes {
		if s.blamable(start) && !t.othersLikely(s, start) {
			blamed++
		}
	}
	return blamed >= t.limit(s) && t.byThemselves(now) <= n
}

// byThemselves counts the servers that ended lately under no request that is beyond its
// limit.
func (t *Table) byThemselves(now time.Time) int {
	var culprits []*suspect
	for _, s := range t.suspects {
		if s.count() >= t.limit(s) {
			culprits = append(culprits, s)
		}
	}
	n := 0
	for start, at := range t.ended {
		under := slices.ContainsFunc(culprits, func(s *suspect) bool { return s.blamable(start) })
		if now.Sub(at) < stormFor && !under {
			n++
		}
	}
	return n
}

// limit is how many servers may end under the request.
func (t *Table) limit(s *suspect) int {
	if s.ran.IsZero() {
		return t.cfg.Limit
	}
	return ranWellLimit * t.cfg.Limit
}

// othersLikely tells whether another request is as likely to have ended a server.
func (t *Table) othersLikely(s *suspect, start shed.ServerStart) bool {
	for _, other := range t.suspects {
		if other != s && other.blamable(start) && other.count() >= s.count() {
			return true
		}
	}
	return false
}
