package member

import (
	"time"

	shed "jasmineshed"
)

// clock detects that the process was paused, by the gap between ticks. It compares both clocks: the
// monotonic one may stand still while a VM is suspended, and then only the wall clock shows the
// gap.
type clock struct {
	now  time.Time
	wall time.Time
	mono time.Duration
}

// tick records a Tick and reports whether the gap since the last one exceeded limit.
func (c *clock) tick(now time.Time, tick shed.Tick, limit time.Duration) bool {
	first := c.wall.IsZero()
	gap := max(tick.Wall.Round(0).Sub(c.wall.Round(0)), tick.Mono-c.mono)
	c.now, c.wall, c.mono = now, tick.Wall, tick.Mono
	return !first && gap > limit
}

// WasPaused reports whether the last Tick showed that the process had been paused.
func (g *Group) WasPaused() bool { return g.paused }

// Overruled reports whether a process with a later incarnation claims this VM's address. This
// process should stop then: peers ignore all its messages.
func (g *Group) Overruled() bool { return g.overruled }

// requireConfirmation makes the view unconfirmed until peers have answered new probes.
func (g *Group) requireConfirmation(now time.Time) { g.unconfirmedSince = now }

// noteReportedDead makes the view unconfirmed at least until the next report that this process is
// dead would have arrived. A process that receives its peers' messages, but whose own messages are
// lost, gets such reports repeatedly; between two of them it must not be confirmed by the few peers
// that are affected in the same way.
func (g *Group) noteReportedDead(now time.Time) {
	g.requireConfirmation(now)
	g.unconfirmedUntil = now.Add(g.cfg.DeadProbeInterval + g.cfg.ProbeInterval)
}

// Confirmed reports whether the view can be trusted now. It is false from the start, after a pause,
// and after a report that others consider this process dead, until peers have answered probes sent
// since then. It is also false while there has been no Tick for so long that the process may just
// have resumed, and once no peer has answered for LeaseDuration: then this process may be
// partitioned off without having detected it.
func (g *Group) Confirmed(now time.Time) bool {
	if g.clock.wall.IsZero() || now.Sub(g.clock.now) > g.cfg.MaxTickGap {
		return false
	}
	if now.Before(g.unconfirmedUntil) {
		return false
	}
	peers, answered, lease := 0, 0, false
	for _, vm := range g.order {
		r := g.members[vm]
		if r.Zone != g.cfg.Zone || r.Status == shed.StatusDead {
			continue
		}
		peers++
		if r.ackedProbeSentAt.After(g.unconfirmedSince) {
			answered++
		}
		lease = lease || now.Sub(r.ackedAt) <= g.cfg.LeaseDuration
	}
	if peers == 0 {
		// No peer can confirm the view. Any live process has had the time to show itself.
		return now.Sub(g.unconfirmedSince) > g.cfg.DetectBound()
	}
	return lease && answered >= min(peers, minConfirmations)
}

// SetAllowance sets how much longer others may take to answer because this VM itself is late.
func (g *Group) SetAllowance(d time.Duration) { g.allowance = d }
