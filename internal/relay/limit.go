package relay

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/limit"
	"jasmineshed/internal/roster"

	"github.com/sirupsen/logrus"
)

// receiveAnswerLimit applies the rate limit that an answer states for its server.
func (r *Relay) receiveAnswerLimit(s shed.ServerEntry, reply shed.ReplyHead) {
	if reply.BadLimit != "" {
		r.log.WithFields(logrus.Fields{"server": s.ID, "limit": reply.BadLimit}).Warn("limit of a server can't be read")
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.limits.Answered(now, s.Start(), reply.Limit, reply.Brittle)
	if len(changes) == 0 {
		return
	}
	r.logLimits(changes, "answer")
	update := shed.LimitUpdate{}
	for _, c := range changes {
		update.Limits = append(update.Limits, shed.ServerLimit{Start: c.Start, Rate: c.Rate, Brittle: c.Brittle, Lifted: c.Rate == 0 && !c.Brittle})
	}
	r.client.SendAll(r.alivePeers(), update)
}

// isLimited reports whether the server has stated a rate limit. The caller holds mu.
func (r *Relay) isLimited(s *roster.Server) bool { return r.limits.Rate(s.Start()) > 0 }

// logLimits logs changed limits and their source.
func (r *Relay) logLimits(changes []limit.Change, by string) {
	for _, c := range changes {
		r.stats.stateChanges.Inc(1)
		r.log.WithFields(logrus.Fields{
			"server": c.Start.Server, "born": c.Start.StartedMs, "per_second": c.Rate, "brittle": c.Brittle, "ended": c.Rate == 0 && !c.Brittle, "by": by,
		}).Info("server limit")
	}
}

// receivePeerLimits applies the limits that a peer reported at reportedAt. The caller holds mu.
func (r *Relay) receivePeerLimits(now, reportedAt time.Time, from shed.VM, limits []shed.ServerLimit) {
	for _, l := range limits {
		l.Age += now.Sub(reportedAt)
		r.logLimits(r.limits.Receive(now, []shed.ServerLimit{l}), string(from))
	}
}
