package load

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// call is one of this daemon's calls in flight.
type call struct {
	server shed.ServerID
	sent   time.Time
	seen   bool      // the server has answered in any way
	told   time.Time // when it accepted the call
	first  bool      // the first token has come
	leapt  bool      // already counted as a symptom
}

// span is a call that has ended.
type span struct{ sent, ended time.Time }

// RecordSent tells that this daemon sent the call to the server.
func (b *Tracker) RecordSent(now time.Time, server shed.ServerID, id shed.Call) {
	e := b.servers[server]
	if e == nil || b.calls[id] != nil {
		return
	}
	c := &call{server: server, sent: now}
	b.calls[id] = c
	e.flight = append(e.flight, c)
	e.unseen++
}

// provenFor is how long a server's answer proves that it has not restarted
// since: none is down and up again in less.
const provenFor = 250 * time.Millisecond

// MaySend tells whether one more call may go to a server that is held warm.
//
// It may have turned cold without anybody knowing. Of the calls of which it has
// given no sign yet, this daemon has no more under way than its share of what
// the server bears cold. A server that shows its boot only with the end of a
// call would then get one call after the other; to such a one, calls may go for
// as long as its last answer is fresh.
func (b *Tracker) MaySend(now time.Time, server shed.ServerID, share int) bool {
	e := b.servers[server]
	if e == nil {
		return false
	}
	return e.unseen < share || e.tellsLate && now.Sub(e.provenAt) < provenFor
}

// RecordAccepted tells that the server has accepted the call, and its boot identity if
// it gave one. A new boot means that the server restarted, long before the next
// report would tell.
func (b *Tracker) RecordAccepted(now time.Time, id shed.Call, boot string) []shed.Action {
	c := b.calls[id]
	if c == nil {
		return nil
	}
	e := b.servers[c.server]
	if e == nil {
		return nil
	}
	e.sight(c)
	c.told = now
	if boot == "" || boot == e.report.Boot {
		// A server that names no boot can show no more than that it answers.
		e.provenAt = now
	}
	if boot == "" || e.report.Boot == "" || boot == e.report.Boot || slices.Contains(e.former, boot) {
		return nil
	}
	return b.reborn(now, e, boot)
}

// lateTelling is within what time of its end a call's acceptance tells nothing.
const lateTelling = time.Millisecond

// noteTelling learns from a call of some length whether the server tells early
// that it has accepted one.
func (e *entry) noteTelling(now time.Time, c *call) {
	if !c.told.IsZero() && now.Sub(c.sent) > 3*lateTelling {
		e.tellsLate = now.Sub(c.told) < lateTelling
	}
}

func (e *entry) sight(c *call) {
	if !c.seen {
		c.seen = true
		e.unseen--
	}
}

// reborn takes in a boot that no report has told of yet.
func (b *Tracker) reborn(now time.Time, e *entry, boot string) []shed.Action {
	e.forgetBoot()
	e.report = shed.LoadReport{Boot: boot, Running: len(e.flight)}
	e.at = now
	out := b.turnCold(now, nil, e, 0)
	e.told, e.toldAt = e.report, now
	return b.send(out, map[shed.ServerID]shed.LoadReport{e.server.ID: e.report})
}

// forgetBoot remembers the present boot as a former one.
func (e *entry) forgetBoot() {
	e.former = append(e.former, e.report.Boot)
	e.former = e.former[max(0, len(e.former)-formerMax):]
}

// RecordFirstToken tells that the call's first token has come.
func (b *Tracker) RecordFirstToken(now time.Time, id shed.Call) []shed.Action {
	c := b.calls[id]
	if c == nil || c.first {
		return nil
	}
	c.first = true
	e := b.servers[c.server]
	if e == nil {
		return nil
	}
	e.sight(c)
	return b.firstToken(now, e, c)
}

// RecordEnd tells how the call ended.
func (b *Tracker) RecordEnd(now time.Time, id shed.Call, end shed.CallEnd) []shed.Action {
	c := b.calls[id]
	if c == nil {
		return nil
	}
	delete(b.calls, id)
	e := b.servers[c.server]
	if e == nil {
		return nil
	}
	e.sight(c)
	e.flight = slices.DeleteFunc(e.flight, func(o *call) bool { return o == c })
	e.ended = append(e.ended, span{sent: c.sent, ended: now})
	if len(e.ended) > endedMax {
		e.ended = e.ended[1:]
	}
	switch end {
	case shed.EndComplete:
		e.whole.add(now.Sub(c.sent))
		e.cold.completed++
		e.noteTelling(now, c)
	case shed.EndOverloaded:
		return b.overloaded(now, e)
	case shed.EndBroken:
		return b.suspect(now, e)
	}
	return nil
}

// endedMax bounds what is remembered between two reports.
const endedMax = 512
