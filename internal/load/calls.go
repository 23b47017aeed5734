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
	answered      bool      // the server has answered in any way
	acceptedAt    time.Time // when it accepted the call
	gotFirstToken bool      // the first token has come
	countedSlow   bool      // already counted as a symptom
}

// endedCall is a call that has ended.
type endedCall struct{ sentAt, endedAt time.Time }

// Sent tells that this daemon sent the call to the server.
func (b *Book) Sent(now time.Time, server shed.ServerID, id shed.Call) {
	e := b.servers[server]
	if e == nil || b.calls[id] != nil {
		return
	}
	c := &call{server: server, sentAt: now}
	b.calls[id] = c
	e.inFlight = append(e.inFlight, c)
	e.unanswered++
}

// provenFor is how long a server's answer proves that it has not restarted
// since: none is down and up again in less.
const minRestartTime = 250 * time.Millisecond

// MaySend tells whether one more call may go to a server that is held warm.
//
// It may have turned cold without anybody knowing. Of the calls of which it has
// given no sign yet, this daemon has no more under way than its share of what
// the server bears cold. A server that shows its boot only with the end of a
// call would then get one call after the other; to such a one, calls may go for
// as long as its last answer is fresh.
func (b *Book) MaySend(now time.Time, server shed.ServerID, share int) bool {
	e := b.servers[server]
	if e == nil {
		return false
	}
	return e.unanswered < share || e.acceptsLate && now.Sub(e.confirmedAt) < minRestartTime
}

// Seen tells that the server has accepted the call, and its boot identity if
// it gave one. A new boot means that the server restarted, long before the next
// report would tell.
func (b *Book) Seen(now time.Time, id shed.Call, boot string) []shed.Action {
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
		// A server that names no boot can show no more than that it answers.
		e.confirmedAt = now
	}
	if boot == "" || e.report.Boot == "" || boot == e.report.Boot || slices.Contains(e.formerBoots, boot) {
		return nil
	}
	return b.onRestart(now, e, boot)
}

// lateTelling is within what time of its end a call's acceptance tells nothing.
const lateAcceptance = time.Millisecond

// updateAcceptsLate learns from a call of some length whether the server tells early
// that it has accepted one.
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

// onRestart takes in a boot that no report has told of yet.
func (b *Book) onRestart(now time.Time, e *serverState, boot string) []shed.Action {
	e.retireBoot()
	e.report = shed.LoadReport{Boot: boot, Running: len(e.inFlight)}
	e.reportTime = now
	out := b.markCold(now, nil, e, 0)
	e.announced, e.announcedAt = e.report, now
	return b.broadcast(out, map[shed.ServerID]shed.LoadReport{e.server.ID: e.report})
}

// retireBoot remembers the present boot as a former one.
func (e *serverState) retireBoot() {
	e.formerBoots = append(e.formerBoots, e.report.Boot)
	e.formerBoots = e.formerBoots[max(0, len(e.formerBoots)-maxFormerBoots):]
}

// FirstToken tells that the call's first token has come.
func (b *Book) FirstToken(now time.Time, id shed.Call) []shed.Action {
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

// Ended tells how the call ended.
func (b *Book) Ended(now time.Time, id shed.Call, end shed.CallEnd) []shed.Action {
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
	switch end {
	case shed.EndComplete:
		e.callTimes.add(now.Sub(c.sentAt))
		e.cold.ownCompleted++
		e.updateAcceptsLate(now, c)
	case shed.EndOverloaded:
		return b.onOverload(now, e)
	case shed.EndBroken:
		return b.suspect(now, e)
	}
	return nil
}

// endedMax bounds what is remembered between two reports.
const maxEndedCalls = 512
