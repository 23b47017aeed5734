package batch

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/room"
)

// Forecast predicts, from now, how long one more piece of the pool would take.
type Forecast struct {
	// Timely is the time if the piece goes before those that can no longer meet their target,
	// Last the time if it goes after all others.
	Timely, Last time.Duration
	// Slow is the ratio of actual to configured call time; 0 if unknown.
	Slow float64
	// Rate is how many pieces the pool makes per second in full calls; 0 if unknown.
	Rate float64
	// Room predicts the capacity for results. Timely and Last don't include the wait for it, which
	// depends on the size of the results.
	Room room.Forecast
}

// NewForecast returns the forecast that a coordinator sent.
func NewForecast(w shed.PieceWait) Forecast {
	return Forecast{
		Timely: w.Timely, Last: w.Last, Slow: w.Slow, Rate: w.Rate,
		Room: room.Forecast{FreeBytes: w.FreeBytes, PendingBytes: w.PendingBytes, ByteRate: w.ByteRate},
	}
}

// Wait returns the forecast in the form in which it is sent.
func (f Forecast) Wait(pool shed.PoolID) shed.PieceWait {
	return shed.PieceWait{
		Pool: pool, Timely: f.Timely, Last: f.Last, Slow: f.Slow, Rate: f.Rate,
		FreeBytes: f.Room.FreeBytes, PendingBytes: f.Room.PendingBytes, ByteRate: f.Room.ByteRate,
	}
}

// After returns the forecast at a later time if no further pieces arrive.
func (f Forecast) After(d time.Duration) Forecast {
	f.Timely, f.Last, f.Room = f.Timely-d, f.Last-d, f.Room.After(d)
	return f
}

const (
	// minPoolSlowness and maxPoolSlowness bound a pool's slowness.
	minPoolSlowness, maxPoolSlowness = 0.8, 3.0
	// networkTime approximates what a call takes beside the server's work: the round trip to
	// the server and the transfer of results to the requesting VM.
	networkTime = 20 * time.Millisecond
)

// slowness is the ratio of actual to configured call time of the pool: the harmonic mean over
// its servers, since fast ones get more calls. Without it, pieces of an overloaded pool were
// sent just in time by the configuration, and most answers just missed their target.
func slowness(now time.Time, servers []server) float64 {
	n, totalSpeed := 0, 0.0
	for _, s := range servers {
		if m := s.producer; !now.Before(m.availableAt()) {
			n++
			totalSpeed += 1 / m.slowness
		}
	}
	if n == 0 {
		return 1
	}
	return min(max(float64(n)/totalSpeed, minPoolSlowness), maxPoolSlowness)
}

// PredictWait predicts how long one more piece of the pool would take.
func (b *Batcher) PredictWait(now time.Time, pool shed.PoolID, limits shed.BatchLimits) Forecast {
	return b.predictWait(now, pool, limits, b.poolServers(now, pool))
}

func (b *Batcher) predictWait(now time.Time, pool shed.PoolID, limits shed.BatchLimits, servers []server) Forecast {
	var rate float64
	earliestFree := time.Duration(-1)
	for _, s := range servers {
		m := s.producer
		if m.isUnreachable(now) {
			continue
		}
		rate += float64(limits.MaxPieces) / (float64(expectedTime(limits, limits.MaxPieces)) * m.slowness)
		left := time.Duration(0)
		if c := b.calls[m.running]; c != nil {
			left = max(c.sentAt.Add(shed.Scale(c.expected, m.slowness)).Sub(now), 0)
		}
		left = max(left, m.availableAt().Sub(now))
		if earliestFree < 0 || left < earliestFree {
			earliestFree = left
		}
	}
	if rate == 0 {
		return Forecast{Timely: NoServers, Last: NoServers}
	}
	slow := slowness(now, servers)
	timely, all, pendingBytes := b.backlog(now, pool)
	wait := func(n int) time.Duration {
		queue := time.Duration(0)
		if n >= limits.MaxPieces {
			queue = time.Duration(float64(n) / rate)
		}
		return earliestFree + queue + shed.Scale(expectedTime(limits, min(n+1, limits.MaxPieces)), slow) + networkTime
	}
	return Forecast{
		Timely: wait(timely), Last: wait(all), Slow: slow, Rate: rate * float64(time.Second),
		Room: b.predictRoom(now, pool, limits, servers, pendingBytes),
	}
}

// predictRoom predicts the capacity for results if it can bind. A result occupies capacity from the
// start of its call until it has been released.
func (b *Batcher) predictRoom(now time.Time, pool shed.PoolID, limits shed.BatchLimits, servers []server, pendingBytes int64) room.Forecast {
	if !room.CanBind(limits) {
		return room.Forecast{}
	}
	f := room.Forecast{PendingBytes: pendingBytes}
	stay := b.MeanStay(pool)
	for _, s := range servers {
		if m := s.producer; !m.isUnreachable(now) {
			f.Add(now, &m.capacity, limits, shed.Scale(expectedTime(limits, limits.MaxPieces), m.slowness), stay, m.running != 0)
		}
	}
	return f
}

// MeanStay returns how long results of the pool stay on their servers after their call.
func (b *Batcher) MeanStay(pool shed.PoolID) time.Duration {
	if g := b.groups[pool]; g != nil {
		return g.stay.Mean()
	}
	return 0
}

// backlog counts the pending pieces: those that can meet their target, with the size of their results,
// and all.
func (b *Batcher) backlog(now time.Time, pool shed.PoolID) (timely, all int, timelyBytes int64) {
	g := b.groups[pool]
	if g == nil {
		return 0, 0, 0
	}
	soonest := g.earliestCompletion(now)
	for _, p := range g.pending {
		if p.settled {
			continue
		}
		all++
		if !p.job.target.Before(soonest) {
			timely++
			timelyBytes += p.Bytes
		}
	}
	return timely, all, timelyBytes
}

// NoServers is what PredictWait predicts for a pool without servers.
const NoServers = time.Hour

// ActivePools returns the pools with pieces pending or in flight, in the order of their first use.
func (b *Batcher) ActivePools() []shed.PoolID {
	running := map[*group]bool{}
	for _, c := range b.calls {
		running[c.group] = true
	}
	var out []shed.PoolID
	for _, g := range b.order {
		if running[g] || len(g.pending) > 0 {
			out = append(out, g.pool)
		}
	}
	return out
}

// PendingCount returns the number of pending pieces of a pool.
func (b *Batcher) PendingCount(pool shed.PoolID) int {
	if g := b.groups[pool]; g != nil {
		return len(g.pending)
	}
	return 0
}
