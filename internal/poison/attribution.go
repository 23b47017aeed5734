package poison

import (
	"slices"
	"time"

	shed "jasmineshed"
)

const (
	// suspectThreshold is the number of crashes from which a request is a suspect: it runs
	// where it harms least, and all peers know of it.
	suspectThreshold = 2
	// ranWellFactor is how many times as many servers have to end under a request that has
	// run well: in a storm, requests that come again and again are on many of them.
	ranWellFactor = 2
	// stormWindow is the span in which servers that ended under none of the requests that are
	// beyond their limit speak for others: there, servers end by themselves.
	stormWindow = 10 * time.Second
	// ambiguousMargin is how many crashes beyond the limit need no other sign that the request
	// is to blame. It is then refused for a part of the quarantine, since others on the same
	// servers may be to blame.
	ambiguousMargin, ambiguousDivisor = 2, 5
	// quarantineGrowth is how much longer each further crash keeps a request away, up to
	// quarantineMost.
	quarantineGrowth = 6
	maxQuarantine    = time.Hour
)

// reassess tells what is believed anew of a request that had so many crashes before.
func (t *Table) reassess(now time.Time, s *suspect, before int) []Change {
	n := s.crashCount()
	change := Change{Request: s.request, Workspace: s.workspace, Crashes: n}
	switch {
	case n < suspectThreshold && s.quarantined:
		s.quarantined = false
		change.What = Cleared
	case n >= suspectThreshold && n != before && t.quarantineTime(now, s) > 0:
		s.quarantined = true
		change.What, change.For = Quarantined, t.quarantineTime(now, s)
	case n == suspectThreshold && before < n:
		change.What = Suspected
	default:
		return nil
	}
	return []Change{change}
}

// quarantineTime is how long the request is refused after its last crash; 0 if it is not to
// blame.
func (t *Table) quarantineTime(now time.Time, s *suspect) time.Duration {
	beyond, d := s.crashCount()-t.crashLimit(s), t.cfg.Quarantine
	if beyond < 0 {
		return 0
	}
	if !t.isCulprit(now, s) {
		if beyond < ambiguousMargin {
			return 0
		}
		beyond, d = beyond-ambiguousMargin, d/ambiguousDivisor
	}
	for range beyond {
		d = min(d*quarantineGrowth, maxQuarantine)
	}
	return d
}

// isCulprit tells whether the servers ended by this request. Others that ran on them were
// broken off as well, and come again: each crash is held against the request that most
// servers have ended under, and against nobody where that is not clear. While servers end
// by themselves, one after the other, nobody is to blame.
func (t *Table) isCulprit(now time.Time, s *suspect) bool {
	n, attributed := s.crashCount(), 0
	for start := range s.crashes {
		if s.isAttributable(start) && !t.isAmbiguous(s, start) {
			attributed++
		}
	}
	return attributed >= t.crashLimit(s) && t.unexplainedCrashes(now) <= n
}

// unexplainedCrashes counts the servers that ended lately under no request that is beyond its
// limit.
func (t *Table) unexplainedCrashes(now time.Time) int {
	var culprits []*suspect
	for _, s := range t.suspects {
		if s.crashCount() >= t.crashLimit(s) {
			culprits = append(culprits, s)
		}
	}
	n := 0
	for start, at := range t.endedAt {
		explained := slices.ContainsFunc(culprits, func(s *suspect) bool { return s.isAttributable(start) })
		if now.Sub(at) < stormWindow && !explained {
			n++
		}
	}
	return n
}

// crashLimit is how many servers may end under the request.
func (t *Table) crashLimit(s *suspect) int {
	if s.lastRun.IsZero() {
		return t.cfg.Limit
	}
	return ranWellFactor * t.cfg.Limit
}

// isAmbiguous tells whether another request is as likely to have ended a server.
func (t *Table) isAmbiguous(s *suspect, start shed.ServerStart) bool {
	for _, other := range t.suspects {
		if other != s && other.isAttributable(start) && other.crashCount() >= s.crashCount() {
			return true
		}
	}
	return false
}
