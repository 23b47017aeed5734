package relay

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/prefs"
	"jasmineshed/internal/roster"
	"jasmineshed/internal/speed"

	"github.com/sirupsen/logrus"
)

// speedMetricsInterval is how often the metrics of estimated speeds are updated.
const speedMetricsInterval = time.Second

// receiveWorkTime records how long work takes on an engine by its own statement; 0 if it made none.
func (r *Relay) receiveWorkTime(s shed.ServerEntry, workTime float64) {
	if workTime <= 0 || !r.prefs.Load().Relay.Enabled(prefs.ServerSpeed) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pool(s.Pool); p == nil || p.Engine == nil || !r.roster.IsOpen(s.Start()) {
		return
	}
	now := time.Now()
	w := shed.WorkTime{Start: s.Start(), Percent: speed.Percent(workTime)}
	share, changes := r.speeds.Read(now, r.fleetSize(now), w)
	if share {
		r.mesh.fanout.RecordWorkTime(now, w)
		r.stats.workTimesShared.Inc(1)
	}
	r.logSpeeds(changes)
}

// receivePeerWorkTimes records work times that peers read. The changes aren't logged: the VM that read the
// work time logs them, and each VM would repeat that. The caller holds mu.
func (r *Relay) receivePeerWorkTimes(now time.Time, samples []shed.WorkTime) {
	if !r.prefs.Load().Relay.Enabled(prefs.ServerSpeed) {
		return
	}
	open := make([]shed.WorkTime, 0, len(samples))
	for _, w := range samples {
		// A start that the roster doesn't list has ended, or isn't known here yet.
		if r.roster.IsOpen(w.Start) {
			open = append(open, w)
		}
	}
	r.speeds.Receive(now, open)
}

func (r *Relay) logSpeeds(changes []speed.Change) {
	for _, c := range changes {
		r.log.WithFields(logrus.Fields{
			"server": c.Start.Server, "born": c.Start.StartedMs, "before": c.Before, "slowness": c.After,
		}).Info("speed of a server has changed")
	}
}

// weighSpeed makes the request's choice depend on how long work takes on each engine. The caller
// holds mu.
func (r *Relay) weighSpeed(pool *shed.RelayPool, w *picker.Request) {
	if pool.Engine == nil || !r.prefs.Load().Relay.Enabled(prefs.ServerSpeed) {
		return
	}
	now := time.Now()
	w.Slowness = func(s *roster.Server) float64 { return r.speeds.Slowness(now, s.Start()) }
}

// showSpeeds updates the metrics of the fastest and the slowest engine of each pool. The caller holds
// mu.
func (r *Relay) showSpeeds(now time.Time) {
	c := r.roster.Catalog()
	if c == nil || now.Sub(r.speedsShownAt) < speedMetricsInterval {
		return
	}
	r.speedsShownAt = now
	for id, pool := range c.Pools {
		servers := r.roster.OpenServers(id)
		if pool.Engine == nil || len(servers) == 0 {
			continue
		}
		fastest, slowest := r.speeds.Slowness(now, servers[0].Start()), 0.0
		for _, s := range servers {
			slowness := r.speeds.Slowness(now, s.Start())
			fastest, slowest = min(fastest, slowness), max(slowest, slowness)
		}
		r.stats.recordSpeeds(id, fastest, slowest)
	}
}
