package poison

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// Load pattern: one part of prompts crashes each server that begins to answer a request with it, and no
// two of these requests are alike. Sound requests on the same servers share their caller and all of their
// other parts, and are interrupted as well. What tells the parts apart is that answers to requests with
// the others begin, anywhere in the fleet, and that no other part has as many crashes without an answer.

const (
	// settleTime is how long a crash doesn't count against a part: other VMs report it, too, and only
	// all reports together tell which part had the most.
	settleTime = 100 * time.Millisecond
	// partQuarantineFactor multiplies the quarantine for parts.
	partQuarantineFactor = 4
)

// partQuarantine is how long requests with a part are refused after its last crash; 0 if the crashes are
// not attributed to it.
func (t *Table) partQuarantine(now time.Time, s *suspect) time.Duration {
	own, tied := t.attributedCrashes(now, s)
	// Requests with a part that ran well may be on several crashing servers before another VM's answer
	// clears it.
	isCulprit := own >= t.cfg.Limit && s.lastRun.IsZero() && t.unexplainedCrashes(now) <= s.crashCount()
	// Neither that, nor a storm, nor another part that comes with it explains so many crashes.
	if !isCulprit && own+tied < t.cfg.Limit+ambiguousMargin {
		return 0
	}
	d := partQuarantineFactor * t.cfg.Quarantine
	for range t.failedTrials(s) {
		d = min(d*quarantineGrowth, maxQuarantine)
	}
	return d
}

// attributedCrashes counts the settled crashes under a part for which no other suspect is as likely the
// cause (own), and those for which another one is just as likely (tied).
func (t *Table) attributedCrashes(now time.Time, s *suspect) (own, tied int) {
	n := s.crashCount()
	for start, at := range s.crashes {
		if !s.isAttributable(start) || now.Sub(at) < settleTime {
			continue
		}
		switch most := t.mostCrashes(s, start); {
		case most < n:
			own++
		case most == n:
			tied++
		}
	}
	return own, tied
}

// mostCrashes is the highest crash count of the other suspects that were on a server as it crashed. One
// that explains the crash better counts as having more crashes than s.
func (t *Table) mostCrashes(s *suspect, start shed.ServerStart) int {
	most := 0
	for _, other := range t.suspects {
		if other == s || !other.isAttributable(start) {
			continue
		}
		most = max(most, other.crashCount())
		if other.explainsBetter(s) {
			most = max(most, s.crashCount()+1)
		}
	}
	return most
}

// explainsBetter reports whether a crash is ascribed to a suspect rather than to another one on the same
// server, whatever their counts: it was never answered and the other one was. A sound part that most prompts
// share has the crashes of all culprits, so it has more than any of them until an answer clears it.
func (s *suspect) explainsBetter(other *suspect) bool {
	return s.lastRun.IsZero() && !other.lastRun.IsZero() && s.crashCount() >= suspectThreshold
}

// failedTrials counts the crashes since the part was found out, without those of requests that were under
// way at that time.
func (t *Table) failedTrials(s *suspect) int {
	var times []time.Time
	for start, at := range s.crashes {
		if s.isAttributable(start) {
			times = append(times, at)
		}
	}
	if len(times) < t.cfg.Limit {
		return 0
	}
	slices.SortFunc(times, time.Time.Compare)
	foundOut := times[t.cfg.Limit-1]
	return len(times) - indexAfter(times, foundOut.Add(trialTimeout))
}

// indexAfter returns the index of the first time after end.
func indexAfter(times []time.Time, end time.Time) int {
	for i, at := range times {
		if at.After(end) {
			return i
		}
	}
	return len(times)
}
