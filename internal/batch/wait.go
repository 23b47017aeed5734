package batch

import (
	"time"

	shed "jasmineshed"
)

// Forecast predicts, from now, how long one more piece of the pool would take.
type Forecast struct {
	// Timely is the time if it goes before those that can't be in time any
	// more, Last if it goes after all others.
	Timely, Last time.Duration
}

// Wait predicts how long one more piece of the pool would take.
func (b *Batcher) Wait(now time.Time, pool shed.PoolID, limits shed.BatchLimits) Forecast {
	var rate float64
	soonest := time.Duration(-1)
	for _, s := range b.servers(pool) {
		m := b.maker(s)
		rate += float64(limits.Most) / (float64(expected(limits, limits.Most)) * m.slow)
		left := time.Duration(0)
		if c := b.calls[m.running]; c != nil {
			left = max(c.began.Add(scale(c.expected, m.slow)).Sub(now), 0)
		}
		left = max(left, m.shunned.Sub(now))
		if soonest < 0 || left < soonest {
			soonest = left
		}
	}
	if rate == 0 {
		return Forecast{Timely: NoServers, Last: NoServers}
	}
	timely, all := b.backlog(now, pool)
	wait := func(n int) time.Duration {
		queue := time.Duration(0)
		if n >= limits.Most {
			queue = time.Duration(float64(n) / rate)
		}
		return soonest + queue + expected(limits, min(n+1, limits.Most))
	}
	return Forecast{Timely: wait(timely), Last: wait(all)}
}

// backlog counts the pieces that wait: those that can be in time, and all.
func (b *Batcher) backlog(now time.Time, pool shed.PoolID) (timely, all int) {
	g := b.groups[pool]
	if g == nil {
		return 0, 0
	}
	soonest := g.soonest(now)
	for _, p := range g.waiting {
		if p.settled {
			continue
		}
		all++
		if !p.job.aim.Before(soonest) {
			timely++
		}
	}
	return timely, all
}

// NoServers is what Wait predicts for a pool without servers.
const NoServers = time.Hour

// Busy are the pools with pieces that wait or run, in the order of their first
// use.
func (b *Batcher) Busy() []shed.PoolID {
	running := map[*group]bool{}
	for _, c := range b.calls {
		running[c.group] = true
	}
	var out []shed.PoolID
	for _, g := range b.order {
		if running[g] || len(g.waiting) > 0 {
			out = append(out, g.pool)
		}
	}
	return out
}

// Waiting is how many pieces of a pool wait here.
func (b *Batcher) Waiting(pool shed.PoolID) int {
	if g := b.groups[pool]; g != nil {
		return len(g.waiting)
	}
	return 0
}
