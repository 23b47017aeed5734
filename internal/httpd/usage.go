package httpd

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"jasmineshed/internal/quota"
)

// usageInterval is how often the usage of the account is reported.
const usageInterval = time.Second

// usageMetrics are the metrics of an account.
type usageMetrics struct {
	bytes, connections tally.Gauge
	refused, givenUp   tally.Counter
	last               quota.Usage
}

func newUsageMetrics(scope tally.Scope) *usageMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	s := scope.SubScope("callers")
	return &usageMetrics{
		bytes: s.Gauge("held_bytes"), connections: s.Gauge("connections"),
		refused: s.Counter("requests_without_room"), givenUp: s.Counter("given_up"),
	}
}

// reportUsage reports the usage of the account until done is closed, and logs when callers were refused or given up.
func (s *Server) reportUsage(done <-chan struct{}) {
	m := newUsageMetrics(s.cfg.Scope)
	t := time.NewTicker(usageInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			u := s.cfg.Account.Usage()
			s.cfg.Log.WithField("most_connections", u.MostConnections).Info("listener ends")
			return
		case <-t.C:
			s.report(m)
		}
	}
}

func (s *Server) report(m *usageMetrics) {
	u, last := s.cfg.Account.Usage(), m.last
	m.last = u
	m.bytes.Update(float64(u.Bytes))
	m.connections.Update(float64(u.Connections))
	m.refused.Inc(u.Refused - last.Refused)
	m.givenUp.Inc(u.GivenUp - last.GivenUp)
	if u.Refused == last.Refused && u.GivenUp == last.GivenUp {
		return
	}
	s.cfg.Log.WithFields(logrus.Fields{
		"listener": s.cfg.Name, "refused": u.Refused - last.Refused, "given_up": u.GivenUp - last.GivenUp,
		"held_bytes": u.Bytes, "connections": u.Connections,
	}).Warn("no room for what callers send")
}
