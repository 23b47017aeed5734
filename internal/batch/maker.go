package batch

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// maker is one server as this daemon has seen it work.
type maker struct {
	born int64
	// running is the call under way; 0 if none.
	running CallID
	// slow is how much longer its calls take than expected.
	slow float64
	// shunned until then, after so many failures in a row.
	shunned time.Time
	fails   int
	// unreached: the last call did not reach it.
	unreached bool
	// bytes of results that it holds, or will once its call is done.
	bytes int64
	// unseen are results that it may hold though nobody here knows them: of
	// calls whose answer was lost, or made through another VM.
	unseen []unseenBytes
	// doubted calls are out while the server got another one.
	doubted int
	// others is what it holds for other VMs that gather or did so lately.
	others map[shed.VM]heldElsewhere
}

// away tells whether the server could not be reached and is not tried again yet.
// Requests must not wait for it: if all servers of a pool are beyond a cut, pieces
// went from one to the next until their callers gave up.
func (m *maker) away(now time.Time) bool { return m.unreached && now.Before(m.shunned) }

type heldElsewhere struct {
	bytes int64
	at    time.Time
	keep  time.Duration
}

type unseenBytes struct {
	bytes int64
	until time.Time
}

// taken is how much of the server's room is taken.
func (m *maker) taken(now time.Time) int64 {
	m.unseen = slices.DeleteFunc(m.unseen, func(u unseenBytes) bool { return now.After(u.until) })
	all := m.bytes
	for _, u := range m.unseen {
		all += u.bytes
	}
	for _, o := range m.others {
		// What was held then lapses, or is given up, within keep.
		left := 1 - float64(now.Sub(o.at))/float64(o.keep)
		all += int64(float64(o.bytes) * max(left, 0))
	}
	return all
}

// room is how many bytes of results it has room for.
func (m *maker) room(now time.Time, l shed.BatchLimits) int64 {
	return int64(float64(l.ResultCapacity)*roomShare) - m.taken(now)
}

// mayHold tells whether it has room for one more result.
func (m *maker) mayHold(now time.Time, l shed.BatchLimits, bytes int64) bool {
	return l.ResultCapacity == 0 || bytes <= m.room(now, l)
}

type heldResult struct {
	server shed.ServerID
	bytes  int64
	until  time.Time
}

// callFailed leaves the server alone for a while, so that the other servers,
// or another zone, get the pieces. One that is just full is tried again when a
// call of somebody else may have ended.
func (b *Batcher) callFailed(now time.Time, m *maker, c *call, ev CallEnded) {
	if ev.Busy {
		m.shunned = now.Add(c.expected / 2)
		return
	}
	if !ev.NotRun {
		m.unseen = append(m.unseen, unseenBytes{bytes: c.bytes, until: now.Add(c.group.limits.ResultRetention)})
	}
	if c.doubted && m.fails == 0 {
		// The server answered a later call: it lives, only this answer was lost.
		return
	}
	m.unreached = ev.NotRun
	m.shunned = now.Add(min(shunFirst<<min(m.fails, 6), shunMost))
	m.fails++
}

// free gives results up; those that this daemon doesn't know may have been
// made through another one. Their room counts as taken until the server was
// told.
func (b *Batcher) free(out []Action, refs []shed.ResultRef) []Action {
	if len(refs) == 0 {
		return out
	}
	return append(out, Free{Refs: refs})
}

func (b *Batcher) forget(ref shed.ResultRef) {
	h, ok := b.held[ref]
	if !ok {
		return
	}
	delete(b.held, ref)
	if m := b.makers[h.server]; m != nil {
		m.bytes -= h.bytes
	}
}

func (b *Batcher) heldElsewhere(now time.Time, ev HeldElsewhere) {
	for id, bytes := range ev.Held {
		m := b.makers[id]
		if m == nil {
			m = &maker{slow: 1}
			b.makers[id] = m
		}
		if m.others == nil {
			m.others = map[shed.VM]heldElsewhere{}
		}
		m.others[ev.From] = heldElsewhere{bytes: bytes, at: now, keep: ev.Retention}
	}
}

// HeldBytes are the bytes that servers hold for this VM.
func (b *Batcher) HeldBytes() map[shed.ServerID]int64 {
	out := map[shed.ServerID]int64{}
	for id, m := range b.makers {
		if m.bytes > 0 {
			out[id] = m.bytes
		}
	}
	return out
}

// expire forgets results that their servers have dropped by now.
func (b *Batcher) expire(now time.Time) {
	for ref, h := range b.held {
		if now.After(h.until) {
			b.forget(ref)
		}
	}
}

func (b *Batcher) maker(s shed.ServerEntry) *maker {
	m := b.makers[s.ID]
	if m == nil {
		m = &maker{born: s.StartedMs, slow: 1}
		b.makers[s.ID] = m
	}
	if m.born == 0 {
		m.born = s.StartedMs
	}
	if m.born != s.StartedMs {
		// A new start holds nothing of before.
		*m = maker{born: s.StartedMs, slow: 1, running: m.running, bytes: b.runningBytes(m.running)}
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

// mayLive lets a server have a call beside the one in doubt.
func (b *Batcher) mayLive(s shed.ServerEntry) {
	m := b.makers[s.ID]
	if m.doubted++; m.doubted == 1 {
		m.running = 0
	}
}

// soon is 1 if the server is left alone for a moment only, since it was full.
func (b *Batcher) soon(now time.Time, m *maker) int {
	if m.fails == 0 || m.shunned.Sub(now) < shunFirst/2 {
		return 1
	}
	return 0
}
