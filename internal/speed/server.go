package speed

import (
	"slices"
	"time"

	shed "jasmineshed"
)

const (
	// maxSamples is how many samples count: their median ignores readings that are raised for some
	// 600 ms, and follows a slow-down of some seconds.
	maxSamples = 5
	// minSpacing is the least time between two samples that count. Closer readings are raised by the
	// same cause, or are the same one received again.
	minSpacing = 100 * time.Millisecond
	// repeatSpacing is the least time between two samples with the same figure: a report that is
	// received again was delayed by up to that much more than the first time.
	repeatSpacing = 500 * time.Millisecond
	// minRetention is the least age up to which a sample counts.
	minRetention = 30 * time.Second
)

// server holds the samples of one start of a server.
type server struct {
	startedMs int64
	// retention is the age up to which a sample counts.
	retention time.Duration
	// samples are at most maxSamples, sorted by time.
	samples []sample
	// estimate is valid until validUntil, when the oldest sample no longer counts.
	estimate   float64
	validUntil time.Time
	// reported is the estimate that the last Change reported.
	reported float64
	// sharedAt is the time of the latest sample that any VM shared.
	sharedAt time.Time
}

type sample struct {
	percent int
	readAt  time.Time
}

// add adds a sample unless it is too old, or too close to another one to count.
func (s *server) add(now time.Time, w shed.WorkTime) bool {
	next := sample{percent: w.Percent, readAt: now.Add(-max(w.Age, 0))}
	if w.Percent <= 0 || now.Sub(next.readAt) > s.retention || slices.ContainsFunc(s.samples, next.repeats) {
		return false
	}
	at, _ := slices.BinarySearchFunc(s.samples, next, func(a, b sample) int { return a.readAt.Compare(b.readAt) })
	if at == 0 && len(s.samples) == maxSamples {
		return false
	}
	s.samples = slices.Insert(s.samples, at, next)
	s.samples = s.samples[max(len(s.samples)-maxSamples, 0):]
	s.update(now)
	return true
}

// repeats reports whether the samples are too close for both to count.
func (a sample) repeats(b sample) bool {
	apart := a.readAt.Sub(b.readAt).Abs()
	return apart < minSpacing || a.percent == b.percent && apart < repeatSpacing
}

// slowness returns the current estimate.
func (s *server) slowness(now time.Time) float64 {
	if len(s.samples) > 0 && now.After(s.validUntil) {
		s.update(now)
	}
	return s.estimate
}

// update drops samples that no longer count, and computes the estimate from the others.
func (s *server) update(now time.Time) {
	s.samples = slices.DeleteFunc(s.samples, func(a sample) bool { return now.Sub(a.readAt) > s.retention })
	s.estimate = 1
	if len(s.samples) == 0 {
		return
	}
	s.validUntil = s.samples[0].readAt.Add(s.retention)
	var percents [maxSamples]int
	for i, a := range s.samples {
		percents[i] = a.percent
	}
	known := percents[:len(s.samples)]
	slices.Sort(known)
	// Of two in the middle the lower one counts, since single readings err upwards.
	s.estimate = min(max(float64(known[(len(known)-1)/2])/100, minSlowness), maxSlowness)
}

// worthSharing reports whether peers should know a sample that was just added, given the estimate
// before it. While a sample that counts differs from the estimate, so that readings vary, all are
// shared: if only those that differ were, raised ones would be most of what peers know.
func (s *server) worthSharing(now time.Time, before float64, percent int) bool {
	return deviates(percent, before) || now.Sub(s.sharedAt) >= shareInterval ||
		slices.ContainsFunc(s.samples, func(a sample) bool { return deviates(a.percent, s.estimate) })
}

// deviates reports whether a sample differs by over maxDeviation from an estimate.
func deviates(percent int, estimate float64) bool {
	return max(float64(percent)/100-estimate, estimate-float64(percent)/100) > maxDeviation*estimate
}

// change appends the change of the estimate since the last one that was reported, if it is large.
func (s *server) change(now time.Time, start shed.ServerStart, changes []Change) []Change {
	after := s.slowness(now)
	if after <= s.reported*logRatio && s.reported <= after*logRatio {
		return changes
	}
	changes = append(changes, Change{Start: start, Before: s.reported, After: after})
	s.reported = after
	return changes
}
