package load

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// call is one of this daemon's calls in flight.
type call struct {
	server        shed.ServerID
	sentAt        time.Time
	answered      bool // the server has responded in any way
	acceptedAt    time.Time
	gotFirstToken bool
	countedSlow   bool // already counted as a symptom
}

// endedCall is a call that has ended.
type endedCall struct{ sentAt, endedAt time.Time }

// RecordSent records that this daemon sent the call to the server.
func (b *Tracker) RecordSent(now time.Time, server shed.ServerID, id shed.Call) {
	e := b.servers[server]
	if e == nil || b.calls[id] != nil {
		return
	}
	c := &call{server: server, sentAt: now}
	b.calls[id] = c
	e.inFlight = append(e.inFlight, c)
	e.unanswered++
}

// minRestartTime is the shortest time in which a server can go down and be up again. For this
// long, an answer proves that the server has not restarted since.
const minRestartTime = 250 * time.Millisecond

// MaySend reports whether one more call may be sent to a server that counts as warm.
//
// The server may have turned cold without any daemon knowing. So the calls in flight to which it
// has not responded yet are limited to share, this daemon's share of the server's cold capacity.
// A server that shows its boot only at the end of a call would then get its calls one after the
// other; such a server may get more while its last answer is less than minRestartTime old.
func (b *Tracker) MaySend(now time.Time, server shed.ServerID, share int) bool {
	e := b.servers[server]
	if e == nil {
		return false
	}
	return e.unanswered < share || e.acceptsLate && now.Sub(e.confirmedAt) < minRestartTime
}

// RecordAccepted records that the server has accepted the call, and its boot identity if it
// gave one. A new boot shows a restart of the server long before the next report does.
func (b *Tracker) RecordAccepted(now time.Time, id shed.Call, boot string) []shed.Action {
	c := b.calls[id]
	if c == nil {
		return nil
	}
	e := b.servers[c.server]
	if e == nil {
		return nil
	}
	e.markAnswered(c)
	c.acceptedAt = now
	if boot == "" || boot == e.report.Boot {
		// Without a boot identity, an answer can only show that the server responds.
		e.confirmedAt = now
	}
	if boot == "" || e.report.Boot == "" || boot == e.report.Boot || slices.Contains(e.formerBoots, boot) {
		return nil
	}
	return b.onRestart(now, e, boot)
}

// lateAcceptance: a call that was accepted less than this before its end counts as accepted late.
const lateAcceptance = time.Millisecond

// updateAcceptsLate learns from a call that was not very short whether the server reports early
// that it has accepted a call.
func (e *serverState) updateAcceptsLate(now time.Time, c *call) {
	if !c.acceptedAt.IsZero() && now.Sub(c.sentAt) > 3*lateAcceptance {
		e.acceptsLate = now.Sub(c.acceptedAt) < lateAcceptance
	}
}

func (e *serverState) markAnswered(c *call) {
	if !c.answered {
		c.answered = true
		e.unanswered--
	}
}

// onRestart handles a new boot that was seen before any report of it.
func (b *Tracker) onRestart(now time.Time, e *serverState, boot string) []shed.Action {
	e.retireBoot()
	e.report = shed.LoadReport{Boot: boot, Running: len(e.inFlight)}
	e.reportTime = now
	out := b.markCold(now, nil, e, 0)
	e.announced, e.announcedAt = e.report, now
	return b.broadcast(out, map[shed.ServerID]shed.LoadReport{e.server.ID: e.report})
}

// retireBoot adds the current boot to the former ones.
func (e *serverState) retireBoot() {
	e.formerBoots = append(e.formerBoots, e.report.Boot)
	e.formerBoots = e.formerBoots[max(0, len(e.formerBoots)-maxFormerBoots):]
}

// RecordFirstToken records that the call's first token was received.
func (b *Tracker) RecordFirstToken(now time.Time, id shed.Call) []shed.Action {
	c := b.calls[id]
	if c == nil || c.gotFirstToken {
		return nil
	}
	c.gotFirstToken = true
	e := b.servers[c.server]
	if e == nil {
		return nil
	}
	e.markAnswered(c)
	return b.checkFirstToken(now, e, c)
}

// RecordEnd records how the call ended.
func (b *Tracker) RecordEnd(now time.Time, id shed.Call, end shed.CallEnded) []shed.Action {
	c := b.calls[id]
	if c == nil {
		return nil
	}
	delete(b.calls, id)
	e := b.servers[c.server]
	if e == nil {
		return nil
	}
	e.markAnswered(c)
	e.inFlight = slices.DeleteFunc(e.inFlight, func(o *call) bool { return o == c })
	e.endedCalls = append(e.endedCalls, endedCall{sentAt: c.sentAt, endedAt: now})
	if len(e.endedCalls) > maxEndedCalls {
		e.endedCalls = e.endedCalls[1:]
	}
	switch end.End {
	case shed.EndComplete:
		e.callTimes.add(now.Sub(c.sentAt))
		e.cold.ownCompleted++
		e.updateAcceptsLate(now, c)
	case shed.EndOverloaded:
		if end.RetryAfter > 0 {
			e.restUntil = shed.Later(e.restUntil, now.Add(end.RetryAfter))
		}
		return b.onOverload(now, e)
	case shed.EndBroken:
		return b.suspect(now, e)
	}
	return nil
}

// maxEndedCalls bounds the ended calls that are kept per server between two reports.
const maxEndedCalls = 512
