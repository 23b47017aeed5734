package batch

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/room"
)

// producer is the state of one server as seen by this VM.
type producer struct {
	startedMs int64
	// running is the call in flight; 0 if none.
	running CallID
	// slowness is the ratio of actual to expected call time.
	slowness float64
	// backoffUntil is when the server may get calls again after consecutiveFailures.
	backoffUntil        time.Time
	consecutiveFailures int
	// restUntil is until when the server wants no call.
	restUntil time.Time
	// unreached is set if the last call did not reach the server.
	unreached bool
	// capacity accounts for the results that it holds.
	capacity room.Server
	// silent is set while a call takes much longer than usual and the server has answered none since.
	// It may only be paused, so its calls are kept, but sound servers get the pieces.
	silent bool
	// unansweredSince is when the first call was sent that a silent server has not answered.
	unansweredSince time.Time
	// answeredAt is when it last answered a call.
	answeredAt time.Time
	// pausedAt is when it last answered a call so late that it may have been paused, with no timely
	// answer since; zero if there was one.
	pausedAt time.Time
	// extraCallAt is when a silent server may get another call beside those that it doesn't answer.
	extraCallAt time.Time
}

// isUnreachable reports whether the server could not be reached and its backoff has not ended.
// Requests must not wait for it: when all servers of a pool were partitioned off, pieces went
// from one to the next until their callers gave up.
func (m *producer) isUnreachable(now time.Time) bool {
	return m.unreached && now.Before(m.backoffUntil)
}

// availableAt is when the server may get calls again.
func (m *producer) availableAt() time.Time { return shed.Later(m.backoffUntil, m.restUntil) }

// server is a server of a pool with its state.
type server struct {
	entry    *shed.ServerEntry
	producer *producer
	// index is its place among the servers of the pool.
	index int
}

// poolServers returns the servers of a pool that may get new work; the slice is valid until the next
// call.
func (b *Batcher) poolServers(now time.Time, pool shed.PoolID) []server {
	entries := b.servers(pool)
	b.scratch = b.scratch[:0]
	for i := range entries {
		b.scratch = append(b.scratch, server{entry: &entries[i], producer: b.producer(now, &entries[i]), index: i})
	}
	return b.scratch
}

type heldResult struct {
	server shed.ServerID
	group  *group
	bytes  int64
	// since is when its call ended.
	since, expires time.Time
}

// learnSlowness updates the server's slowness after it answered a call. One answer that is far too late is
// more likely due to a pause: if it counted, requests were refused after all servers of a pool had been
// silent for a second. The next late answer, to a call that was sent after it, counts.
func (m *producer) learnSlowness(now time.Time, c *call) {
	switch {
	case now.Before(c.suspectAt):
		m.pausedAt = time.Time{}
	case m.pausedAt.IsZero():
		m.pausedAt = now
		return
	case c.sentAt.Before(m.pausedAt):
		return
	}
	ratio := float64(now.Sub(c.sentAt)) / float64(c.expected)
	m.slowness += slownessWeight * (min(max(ratio, minSlowness), maxSlowness) - m.slowness)
}

// recordFailure backs off from the server for a while, so that the other servers, or another
// zone, get the pieces. One that is just full is tried again when another VM's call may have
// ended.
func (b *Batcher) recordFailure(now time.Time, m *producer, c *call, ev CallEnded) {
	if ev.Busy {
		m.backoffUntil = now.Add(c.expected / 2)
		return
	}
	if !ev.NotRun {
		m.capacity.AddUnaccounted(now, c.bytes, c.group.limits.ResultRetention)
	}
	if ev.PathLost {
		// A peer carries the next call.
		m.silent = false
		return
	}
	if m.answeredAt.After(c.sentAt) || m.silent && now.Sub(c.sentAt) >= c.limit {
		// The server answered a later call, so it is alive and only this answer was lost; or the results
		// lost their value while it was silent, which other pieces may outlast.
		return
	}
	m.unreached = ev.NotRun
	m.backoffUntil = now.Add(min(initialBackoff<<min(m.consecutiveFailures, 6), maxBackoff))
	m.consecutiveFailures++
}

// freeResults releases results; those that this VM doesn't know may be of calls by another
// one. Their capacity counts as used until the server has been notified.
func (b *Batcher) freeResults(out []Action, refs []shed.ResultRef) []Action {
	if len(refs) == 0 {
		return out
	}
	return append(out, Free{Refs: refs})
}

func (b *Batcher) forgetResult(now time.Time, ref shed.ResultRef) {
	h, ok := b.held[ref]
	if !ok {
		return
	}
	delete(b.held, ref)
	if now.Before(h.expires) {
		// Others were never freed, as at a server that closes, and say nothing about how long results stay.
		h.group.stay.Add(now.Sub(h.since))
	}
	if m := b.producers[h.server]; m != nil {
		m.capacity.Release(h.bytes)
	}
}

func (b *Batcher) recordRest(now time.Time, ev ServerRests) {
	m := b.producerByID(ev.Server)
	m.restUntil = shed.Later(m.restUntil, now.Add(ev.Left))
}

// producerByID returns the state of a server that may not be listed yet.
func (b *Batcher) producerByID(id shed.ServerID) *producer {
	m := b.producers[id]
	if m == nil {
		m = &producer{slowness: 1}
		b.producers[id] = m
	}
	return m
}

func (b *Batcher) recordHeldElsewhere(now time.Time, ev HeldElsewhere) {
	for id, bytes := range ev.Held {
		b.producerByID(id).capacity.SetOther(now, ev.From, bytes, ev.Retention)
	}
}

// HeldBytes returns the bytes that servers hold for this VM.
func (b *Batcher) HeldBytes() map[shed.ServerID]int64 {
	out := map[shed.ServerID]int64{}
	for id, m := range b.producers {
		if bytes := m.capacity.Known(); bytes > 0 {
			out[id] = bytes
		}
	}
	return out
}

// expireResults forgets results whose retention period at their server is over.
func (b *Batcher) expireResults(now time.Time) {
	for ref, h := range b.held {
		if now.After(h.expires) {
			b.forgetResult(now, ref)
		}
	}
}

func (b *Batcher) producer(now time.Time, s *shed.ServerEntry) *producer {
	m := b.producers[s.ID]
	if m == nil {
		m = &producer{startedMs: s.StartedMs, slowness: 1}
		b.producers[s.ID] = m
	}
	if m.startedMs == 0 {
		m.startedMs = s.StartedMs
	}
	if m.startedMs != s.StartedMs {
		// A restarted server holds no earlier results, and doesn't know the calls in flight.
		*m = producer{startedMs: s.StartedMs, slowness: 1}
		m.capacity.Reserve(b.bytesInFlight(s.ID))
		m.capacity.SkipSurvey(now)
		for ref, h := range b.held {
			if h.server == s.ID {
				delete(b.held, ref)
			}
		}
	}
	return m
}

// bytesInFlight is the size of the results of all calls in flight to a server.
func (b *Batcher) bytesInFlight(id shed.ServerID) int64 {
	var bytes int64
	for _, c := range b.calls {
		if c.server.ID == id {
			bytes += c.bytes
		}
	}
	return bytes
}

// allowExtraCall lets a silent server have one more call, on another connection: if only an answer was
// lost, it has long been idle.
func (m *producer) allowExtraCall(now time.Time) {
	m.running, m.extraCallAt = 0, now.Add(extraCallInterval)
}

// countRetryableSoon is 1 if the server is only avoided briefly because it was full, else 0.
func (b *Batcher) countRetryableSoon(now time.Time, m *producer) int {
	if m.consecutiveFailures == 0 || m.backoffUntil.Sub(now) < initialBackoff/2 {
		return 1
	}
	return 0
}
