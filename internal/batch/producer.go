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
	// suspectedCalls counts suspect calls in flight beside which the server may get another
	// one.
	suspectedCalls int
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
	if c.suspected && m.consecutiveFailures == 0 {
		// The server answered a later call, so it is alive and only this answer was lost.
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
		// A restarted server holds no earlier results.
		*m = producer{startedMs: s.StartedMs, slowness: 1, running: m.running}
		m.capacity.Reserve(b.runningBytes(m.running))
		m.capacity.SkipSurvey(now)
		for ref, h := range b.held {
			if h.server == s.ID {
				delete(b.held, ref)
			}
		}
	}
	return m
}

func (b *Batcher) runningBytes(id CallID) int64 {
	if c := b.calls[id]; c != nil {
		return c.bytes
	}
	return 0
}

// allowParallelCall lets a server have one call beside the suspect one.
func (m *producer) allowParallelCall() {
	if m.suspectedCalls++; m.suspectedCalls == 1 {
		m.running = 0
	}
}

// countRetryableSoon is 1 if the server is only avoided briefly because it was full, else 0.
func (b *Batcher) countRetryableSoon(now time.Time, m *producer) int {
	if m.consecutiveFailures == 0 || m.backoffUntil.Sub(now) < initialBackoff/2 {
		return 1
	}
	return 0
}
