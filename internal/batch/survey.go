package batch

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/room"
)

// beginCoordination applies the limits of a job's pool and, if this VM begins to coordinate the pool
// with it, has the servers asked for their free capacity. It also begins if there was no job for the
// retention time while another VM's results were reported.
func (b *Batcher) beginCoordination(now time.Time, g *group, limits shed.BatchLimits) {
	last := g.lastJob
	g.limits, g.lastJob = limits, now
	if last.IsZero() || now.Sub(last) <= limits.ResultRetention || !room.CanBind(limits) {
		return
	}
	servers := b.poolServers(now, g.pool)
	for _, s := range servers {
		if s.producer.capacity.HeldForOthersSince(last) {
			resetSurveys(servers)
			return
		}
	}
}

func resetSurveys(servers []server) {
	for _, s := range servers {
		s.producer.capacity.ResetSurvey()
	}
}

// survey has a server asked for its free capacity, unless it was or the capacity can't bind.
func (b *Batcher) survey(now time.Time, out []Action, g *group, s server) []Action {
	if !room.CanBind(g.limits) || !s.producer.capacity.NeedsSurvey() {
		return out
	}
	s.producer.capacity.BeginSurvey(now)
	return append(out, Survey{Pool: g.pool, Server: *s.entry})
}

// recordSurvey counts what a server reported. An answer of an earlier start of the server says
// nothing about this one.
func (b *Batcher) recordSurvey(now time.Time, ev SurveyEnded) {
	g, m := b.groups[ev.Pool], b.producers[ev.Server.ID]
	if g == nil || m == nil || m.startedMs != ev.Server.StartedMs {
		return
	}
	if !ev.Answered {
		m.capacity.EndSurvey()
		return
	}
	m.capacity.RecordSurvey(now, g.limits, ev.FreeBytes)
}

// releaseUnknown counts results of an earlier process of this VM as freed. Their size isn't known; each
// counts as the largest one, since a server that is taken for full is idle.
func (b *Batcher) releaseUnknown(now time.Time, ev FreeEnded) {
	g, m := b.groups[ev.Server.Pool], b.producers[ev.Server.ID]
	if g == nil || m == nil {
		return
	}
	for _, ref := range ev.Refs {
		if _, known := b.held[ref]; !known {
			m.capacity.ReleaseUnknown(now, g.limits.LargestResult)
		}
	}
}

// UnknownBytes returns the size of the results on a server that no VM knows, according to its report.
func (b *Batcher) UnknownBytes(now time.Time, id shed.ServerID) int64 {
	if m := b.producers[id]; m != nil {
		return m.capacity.Unknown(now)
	}
	return 0
}
