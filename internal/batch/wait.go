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
	// Slow is how much longer calls take than the configuration says; 0 if it isn't
	// known.
	Slow float64
	// Rate is how many pieces the pool makes in a second in full calls; 0 if it
	// isn't known.
	Rate float64
}

const (
	// slowLow and slowHigh bound a pool's slowness.
	slowLow, slowHigh = 0.8, 3.0
	// wayTime is about what a call takes beside the server's work: the ways to the
	// server and back, and of the results to who asked.
	wayTime = 20 * time.Millisecond
)

// slowness is how much longer the pool's calls take than the configuration says:
// the harmonic mean over its servers, since fast ones get more calls. Without it,
// the pieces of an overloaded pool were sent just in time by the configuration, and
// most answers came just after their target.
func (b *Batcher) slowness(now time.Time, pool shed.PoolID) float64 {
	n, speed := 0, 0.0
	for _, s := range b.servers(pool) {
		if m := b.maker(s); !now.Before(m.shunned) {
			n++
			speed += 1 / m.slow
		}
	}
	if n == 0 {
		return 1
	}
	return min(max(float64(n)/speed, slowLow), slowHigh)
}

// PredictWait predicts how long one more piece of the pool would take.
func (b *Batcher) PredictWait(now time.Time, pool shed.PoolID, limits shed.BatchLimits) Forecast {
	var rate float64
	soonest := time.Duration(-1)
	for _, s := range b.servers(pool) {
		m := b.maker(s)
		if m.away(now) {
			continue
		}
		rate += float64(limits.MaxPieces) / (float64(expected(limits, limits.MaxPieces)) * m.slow)
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
	slow := b.slowness(now, pool)
	timely, all := b.backlog(now, pool)
	wait := func(n int) time.Duration {
		queue := time.Duration(0)
		if n >= limits.MaxPieces {
			queue = time.Duration(float64(n) / rate)
		}
		return soonest + queue + scale(expected(limits, min(n+1, limits.MaxPieces)), slow) + wayTime
	}
	return Forecast{Timely: wait(timely), Last: wait(all), Slow: slow, Rate: rate * float64(time.Second)}
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

// ActivePools are the pools with pieces that wait or run, in the order of their first
// use.
func (b *Batcher) ActivePools() []shed.PoolID {
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

// PendingCount is how many pieces of a pool wait here.
func (b *Batcher) PendingCount(pool shed.PoolID) int {
	if g := b.groups[pool]; g != nil {
		return len(g.waiting)
	}
	return 0
}
