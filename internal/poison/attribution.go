package poison

import (
	"slices"
	"time"

	shed "jasmineshed"
)

const (
	// suspectThreshold is the number of crashes from which a request is a suspect: it is
	// isolated on the server where a crash does least harm, and is reported to all peers.
	suspectThreshold = 2
	// ranWellFactor multiplies the crash limit of a request that has run without a crash:
	// in a crash storm, frequently retried requests run on many of the crashing servers.
	ranWellFactor = 2
	// stormWindow is the period in which crashes under none of the requests at their limit
	// count as evidence that servers crash for another reason.
	stormWindow = 10 * time.Second
	// With ambiguousMargin crashes beyond the limit, a request is refused without further
	// evidence. Since another request on the same servers may be the cause, its quarantine
	// is then divided by ambiguousDivisor.
	ambiguousMargin, ambiguousDivisor = 2, 5
	// quarantineGrowth multiplies the quarantine with each further crash, up to maxQuarantine.
	quarantineGrowth = 6
	maxQuarantine    = time.Hour
)

// reassess returns the change in a request's state, if any, given its previous crash count.
func (t *Table) reassess(now time.Time, s *suspect, before int) []Change {
	n := s.crashCount()
	if s.kind == shed.SuspectPart {
		// The state is logged as of when the evidence has settled.
		now = now.Add(settleTime)
	}
	change := Change{Request: s.request, Kind: s.kind, Workspace: s.workspace, Crashes: n}
	switch {
	case n < suspectThreshold && s.quarantined:
		s.quarantined = false
		change.Reason = Cleared
	case n >= suspectThreshold && n != before && t.quarantineTime(now, s) > 0:
		s.quarantined = true
		change.Reason, change.RefusedFor = Quarantined, t.quarantineTime(now, s)
	case n == suspectThreshold && before < n && s.kind == shed.SuspectRequest:
		change.Reason = Suspected
	default:
		return nil
	}
	return []Change{change}
}

// quarantineTime is how long the request is refused after its last crash; 0 if the crashes
// are not attributed to it.
func (t *Table) quarantineTime(now time.Time, s *suspect) time.Duration {
	beyond, d := s.crashCount()-t.crashLimit(s), t.cfg.Quarantine
	if beyond < 0 {
		return 0
	}
	if s.kind == shed.SuspectPart {
		return t.partQuarantine(now, s)
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

// isCulprit reports whether this request caused its crashes. Other requests on the same
// servers are interrupted as well and are retried, so each crash is attributed to the request
// with the most crashes, and to none in case of a tie. While servers crash one after the other
// for another reason, no request is a culprit.
func (t *Table) isCulprit(now time.Time, s *suspect) bool {
	n, attributed := s.crashCount(), 0
	for start := range s.crashes {
		if s.isAttributable(start) && !t.isAmbiguous(s, start) {
			attributed++
		}
	}
	return attributed >= t.crashLimit(s) && t.unexplainedCrashes(now) <= n
}

// unexplainedCrashes counts the recent crashes under no request that has reached its limit.
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

// crashLimit is the number of crashes from which the request can be a culprit.
func (t *Table) crashLimit(s *suspect) int {
	if s.lastRun.IsZero() || s.kind == shed.SuspectPart {
		return t.cfg.Limit
	}
	return ranWellFactor * t.cfg.Limit
}

// isAmbiguous reports whether another request is at least as likely to have crashed a server.
func (t *Table) isAmbiguous(s *suspect, start shed.ServerStart) bool {
	for _, other := range t.suspects {
		if other == s || !other.isAttributable(start) {
			continue
		}
		// A part that only this request has shares all of its crashes.
		n := other.crashCount()
		if n > s.crashCount() || n == s.crashCount() && other.kind == s.kind {
			return true
		}
	}
	return false
}
