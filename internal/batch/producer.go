package batch

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// producer is one server as this daemon has seen it work.
type producer struct {
	born int64
	// running is the call under way; 0 if none.
	running CallID
	// slowness is how much longer its calls take than expected.
	slowness float64
	// backoffUntil until then, after so many failures in a row.
	backoffUntil        time.Time
	consecutiveFailures int
	// unreached: the last call did not reach it.
	unreached bool
	// heldBytes of results that it holds, or will once its call is done.
	heldBytes int64
	// unaccounted are results that it may hold though nobody here knows them: of
	// calls whose answer was lost, or made through another VM.
	unaccounted []unaccountedBytes
	// suspectedCalls calls are out while the server got another one.
	suspectedCalls int
	// heldForOthers is what it holds for other VMs that gather or did so lately.
	heldForOthers map[shed.VM]heldElsewhere
}

// isUnreachable tells whether the server could not be reached and is not tried again yet.
// Requests must not wait for it: if all servers of a pool are beyond a cut, pieces
// went from one to the next until their callers gave up.
func (m *producer) isUnreachable(now time.Time) bool {
	return m.unreached && now.Before(m.backoffUntil)
}

type heldElsewhere struct {
	bytes      int64
	reportedAt time.Time
	retention  time.Duration
}

type unaccountedBytes struct {
	bytes   int64
	expires time.Time
}

// usedBytes is how much of the server's room is taken.
func (m *producer) usedBytes(now time.Time) int64 {
	m.unaccounted = slices.DeleteFunc(m.unaccounted, func(u unaccountedBytes) bool { return now.After(u.expires) })
	used := m.heldBytes
	for _, u := range m.unaccounted {
		used += u.bytes
	}
	for _, o := range m.heldForOthers {
		// What was held then lapses, or is given up, within keep.
		left := 1 - float64(now.Sub(o.reportedAt))/float64(o.retention)
		used += int64(float64(o.bytes) * max(left, 0))
	}
	return used
}

// freeBytes is how many bytes of results it has room for.
func (m *producer) freeBytes(now time.Time, l shed.BatchLimits) int64 {
	return int64(float64(l.Room)*usableCapacityShare) - m.usedBytes(now)
}

// canHold tells whether it has room for one more result.
func (m *producer) canHold(now time.Time, l shed.BatchLimits, bytes int64) bool {
	return l.Room == 0 || bytes <= m.freeBytes(now, l)
}

type heldResult struct {
	server  shed.ServerID
	bytes   int64
	expires time.Time
}

// recordFailure leaves the server alone for a while, so that the other servers,
// or another zone, get the pieces. One that is just full is tried again when a
// call of somebody else may have ended.
func (b *Batcher) recordFailure(now time.Time, m *producer, c *call, ev CallEnded) {
	if ev.Busy {
		m.backoffUntil = now.Add(c.expected / 2)
		return
	}
	if !ev.NotRun {
		m.unaccounted = append(m.unaccounted, unaccountedBytes{bytes: c.bytes, expires: now.Add(c.group.limits.KeepFor)})
	}
	if c.suspected && m.consecutiveFailures == 0 {
		// The server answered a later call: it lives, only this answer was lost.
		return
	}
	m.unreached = ev.NotRun
	m.backoffUntil = now.Add(min(initialBackoff<<min(m.consecutiveFailures, 6), maxBackoff))
	m.consecutiveFailures++
}

// freeResults gives results up; those that this daemon doesn't know may have been
// made through another one. Their room counts as taken until the server was
// told.
func (b *Batcher) freeResults(out []Action, refs []shed.ResultRef) []Action {
	if len(refs) == 0 {
		return out
	}
	return append(out, Free{Refs: refs})
}

func (b *Batcher) forgetResult(ref shed.ResultRef) {
	h, ok := b.held[ref]
	if !ok {
		return
	}
	delete(b.held, ref)
	if m := b.producers[h.server]; m != nil {
		m.heldBytes -= h.bytes
	}
}

func (b *Batcher) recordHeldElsewhere(now time.Time, ev HeldElsewhere) {
	for id, bytes := range ev.Held {
		m := b.producers[id]
		if m == nil {
			m = &producer{slowness: 1}
			b.producers[id] = m
		}
		if m.heldForOthers == nil {
			m.heldForOthers = map[shed.VM]heldElsewhere{}
		}
		m.heldForOthers[ev.From] = heldElsewhere{bytes: bytes, reportedAt: now, retention: ev.Keep}
	}
}

// Held are the bytes that servers hold for this VM.
func (b *Batcher) Held() map[shed.ServerID]int64 {
	out := map[shed.ServerID]int64{}
	for id, m := range b.producers {
		if m.heldBytes > 0 {
			out[id] = m.heldBytes
		}
	}
	return out
}

// expireResults forgets results that their servers have dropped by now.
func (b *Batcher) expireResults(now time.Time) {
	for ref, h := range b.held {
		if now.After(h.expires) {
			b.forgetResult(ref)
		}
	}
}

func (b *Batcher) producer(s shed.Listing) *producer {
	m := b.producers[s.ID]
	if m == nil {
		m = &producer{born: s.Born, slowness: 1}
		b.producers[s.ID] = m
	}
	if m.born == 0 {
		m.born = s.Born
	}
	if m.born != s.Born {
		// A new start holds nothing of before.
		*m = producer{born: s.Born, slowness: 1, running: m.running, heldBytes: b.runningBytes(m.running)}
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

// allowParallelCall lets a server have a call beside the one in doubt.
func (b *Batcher) allowParallelCall(s shed.Listing) {
	m := b.producers[s.ID]
	if m.suspectedCalls++; m.suspectedCalls == 1 {
		m.running = 0
	}
}

// countRetryableSoon is 1 if the server is left alone for a moment only, since it was full.
func (b *Batcher) countRetryableSoon(now time.Time, m *producer) int {
	if m.consecutiveFailures == 0 || m.backoffUntil.Sub(now) < initialBackoff/2 {
		return 1
	}
	return 0
}
