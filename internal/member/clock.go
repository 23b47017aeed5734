package member

import (
	"time"

	shed "jasmineshed"
)

// clock notices that the process slept, by the gap between ticks. It compares
// both clocks: the monotonic one may stand still while a VM is suspended, and
// then only the wall clock shows the gap.
type clock struct {
	now  time.Time
	wall time.Time
	mono time.Duration
}

// tick returns true if the gap since the last tick was longer than limit.
func (c *clock) tick(now time.Time, tick shed.Tick, limit time.Duration) bool {
	first := c.wall.IsZero()
	gap := max(tick.Wall.Round(0).Sub(c.wall.Round(0)), tick.Mono-c.mono)
	c.now, c.wall, c.mono = now, tick.Wall, tick.Mono
	return !first && gap > limit
}

// WasPaused tells whether the last Tick showed that the process had been paused.
func (g *Group) WasPaused() bool { return g.woke }

// Overruled tells that a process with a later incarnation claims this VM's
// address. This one should stop: peers drop all that it says.
func (g *Group) Overruled() bool { return g.overruled }

// doubt opens a new confirmation of the view.
func (g *Group) doubt(now time.Time) { g.unsure = now }

// toldDead opens a new confirmation that can't end before the next such word
// would have come: a process that hears its peers, but that they don't hear, is
// told again and again, and must not pass as confirmed in between by the word
// of the few that share its fate.
func (g *Group) toldDead(now time.Time) {
	g.doubt(now)
	g.doubtUntil = now.Add(g.cfg.DeadProbeInterval + g.cfg.ProbeInterval)
}

// Confirmed tells whether what this process believes can be relied on now. It
// is false from the start, after a pause, and after word that others hold this
// process dead, until peers have answered probes that were sent since. It is
// false, too, while no Tick has come for so long that the process may just have
// woken up, and once no peer has answered for LeaseDuration: then this process may
// be cut off without having noticed it.
func (g *Group) Confirmed(now time.Time) bool {
	if g.clock.wall.IsZero() || now.Sub(g.clock.now) > g.cfg.MaxTickGap {
		return false
	}
	if now.Before(g.doubtUntil) {
		return false
	}
	peers, answered, lease := 0, 0, false
	for _, vm := range g.order {
		r := g.members[vm]
		if r.Zone != g.cfg.Zone || r.Status == shed.StatusDead {
			continue
		}
		peers++
		if r.asked.After(g.unsure) {
			answered++
		}
		lease = lease || now.Sub(r.acked) <= g.cfg.LeaseDuration
	}
	if peers == 0 {
		// Nobody to ask. All that could be alive had the time to show it.
		return now.Sub(g.unsure) > g.cfg.DetectBound()
	}
	return lease && answered >= min(peers, confirmers)
}
