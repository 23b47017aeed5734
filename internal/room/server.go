package room

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// Server accounts for the result capacity of one server. Its zero value is an empty server.
type Server struct {
	// known is the size of the results that it holds, or will hold once its calls end.
	known int64
	// unaccounted are results that it may hold without this VM knowing them, of calls whose answer
	// was lost or of calls by another VM; each claim has the same size until it expires.
	unaccounted []claim
	// others is what it holds for other VMs that coordinate the pool or did so recently.
	others map[shed.VM]claim
	// othersAt is when another VM last reported to hold results.
	othersAt time.Time
	// unknown is the size of results that the server reported and that no VM knows.
	unknown claim
	survey  survey
}

// claim is capacity that is used until a time.
type claim struct {
	bytes       int64
	from, until time.Time
}

// left is the size of a claim that decreases linearly, since results expire one after the other.
func (c claim) left(now time.Time) int64 {
	if c.bytes == 0 || !now.Before(c.until) {
		return 0
	}
	share := 1 - float64(now.Sub(c.from))/float64(c.until.Sub(c.from))
	return int64(float64(c.bytes) * max(share, 0))
}

// released is how many bytes per second the claim decreases by.
func (c claim) released(now time.Time) float64 {
	if c.bytes == 0 || !now.Before(c.until) {
		return 0
	}
	return float64(c.bytes) / c.until.Sub(c.from).Seconds()
}

// survey is the state of the question how much capacity the server has free.
type survey struct {
	// askedAt is when the server was asked; zero if it wasn't.
	askedAt time.Time
	// ended is set once it answered or the call failed.
	ended bool
	// used is what was known to be in use when it was asked.
	used int64
}

// Reserve counts the results of a call that begins, or of one that has ended.
func (s *Server) Reserve(bytes int64) { s.known += bytes }

// Release ends the effect of Reserve.
func (s *Server) Release(bytes int64) { s.known -= bytes }

// Known is the size of the results that the server holds for this VM.
func (s *Server) Known() int64 { return s.known }

// AddUnaccounted counts results that the server may hold for a time without this VM knowing them.
func (s *Server) AddUnaccounted(now time.Time, bytes int64, lifetime time.Duration) {
	s.unaccounted = append(s.unaccounted, claim{bytes: bytes, from: now, until: now.Add(lifetime)})
}

// SetOther replaces what the server holds for another VM. Results held at the time of the report
// expire or are freed within the retention time. The first report of a VM may be of results that the
// server reported as well.
func (s *Server) SetOther(now time.Time, vm shed.VM, bytes int64, retention time.Duration) {
	if s.others == nil {
		s.others = map[shed.VM]claim{}
	}
	if s.others[vm].left(now) == 0 {
		s.ReleaseUnknown(now, bytes)
	}
	s.others[vm] = claim{bytes: bytes, from: now, until: now.Add(retention)}
	s.othersAt = now
}

// HeldForOthersSince reports whether another VM has reported to hold results after a time.
func (s *Server) HeldForOthersSince(t time.Time) bool { return s.othersAt.After(t) }

// Used is how much of the server's capacity is used.
func (s *Server) Used(now time.Time) int64 {
	s.unaccounted = slices.DeleteFunc(s.unaccounted, func(c claim) bool { return now.After(c.until) })
	used := s.known
	for _, c := range s.unaccounted {
		used += c.bytes
	}
	foreign, _ := s.foreign(now)
	return used + foreign
}

// foreign is how much is used by results of other VMs, and how many bytes per second of it are
// released. The rate depends on the order of a sum of few terms only by rounding.
func (s *Server) foreign(now time.Time) (bytes int64, released float64) {
	bytes, released = s.unknown.left(now), s.unknown.released(now)
	for _, c := range s.others {
		bytes += c.left(now)
		released += c.released(now)
	}
	return bytes, released
}

// Free is the server's free capacity; below 0 if more is used than should be.
func (s *Server) Free(now time.Time, l shed.BatchLimits) int64 { return Usable(l) - s.Used(now) }

// CanHold reports whether the server has capacity for one more result.
func (s *Server) CanHold(now time.Time, l shed.BatchLimits, bytes int64) bool {
	return l.ResultCapacity == 0 || bytes <= s.Free(now, l)
}

// SurveyWait is how long calls for pieces wait at most for a server's answer about its free capacity.
const SurveyWait = 100 * time.Millisecond

// NeedsSurvey reports whether the server has not been asked since it was last reset.
func (s *Server) NeedsSurvey() bool { return s.survey.askedAt.IsZero() }

// ResetSurvey has the server asked again.
func (s *Server) ResetSurvey() { s.survey = survey{} }

// BeginSurvey records that the server is asked now.
func (s *Server) BeginSurvey(now time.Time) {
	s.survey = survey{askedAt: now, used: s.Used(now)}
}

// SkipSurvey records that the server need not be asked.
func (s *Server) SkipSurvey(now time.Time) { s.survey = survey{askedAt: now, ended: true} }

// AwaitsSurvey reports whether calls wait for the server's answer.
func (s *Server) AwaitsSurvey(now time.Time) bool {
	return !s.NeedsSurvey() && !s.survey.ended && now.Sub(s.survey.askedAt) < SurveyWait
}

// EndSurvey ends the survey without an answer: the server is assumed to hold nothing unknown.
func (s *Server) EndSurvey() { s.survey.ended = true }

// RecordSurvey counts capacity that the server says is in use and that isn't known here. The results
// expire within their retention time. Results of calls that began or ended during the survey may or
// may not be in the answer; they count as if they were, so that no server is idle because it is taken
// for full.
func (s *Server) RecordSurvey(now time.Time, l shed.BatchLimits, free int64) {
	if s.survey.ended {
		return
	}
	s.survey.ended = true
	unknown := max(l.ResultCapacity-free-max(s.survey.used, s.Used(now)), 0)
	s.unknown = claim{bytes: unknown, from: now, until: now.Add(l.ResultRetention)}
}

// Unknown is how much is used by results that the server reported and that no VM knows.
func (s *Server) Unknown(now time.Time) int64 { return s.unknown.left(now) }

// ReleaseUnknown counts unknown results as freed, or as known from elsewhere.
func (s *Server) ReleaseUnknown(now time.Time, bytes int64) {
	if left := s.unknown.left(now); left > 0 {
		s.unknown = claim{bytes: max(left-bytes, 0), from: now, until: s.unknown.until}
	}
}
