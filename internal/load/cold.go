package load

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// cold says whether a server is held cold, and what it has shown since.
type cold struct {
	on    bool
	since time.Time
	// done is the server's count of completed calls when it turned cold; 0 for
	// a new boot.
	done uint64
	// completed counts this daemon's own calls that the server completed since.
	completed uint64
	// leaps counts the latest symptoms in a row; two make it cold.
	leaps int
}

// leapsMax is how many slow first tokens in a row turn a server cold. One may
// be a long prompt.
const leapsMax = 2

// warmAge is the greatest age of a report that can show a server warm.
const warmAge = 10 * time.Second

// judge works out from a new report whether the server is cold.
//
// A new boot, and any server that this daemon knows nothing of, is cold until a
// report says warm and the server has completed some calls: a server may call
// itself warm too soon. Completions are counted by the server since its boot,
// so a daemon that has just started takes a server that was long warm as warm
// with the first report, and a restart of the whole fleet leaves none cold.
func (b *Tracker) judge(now time.Time, out []shed.Action, e *entry, r shed.LoadReport) []shed.Action {
	switch {
	case r.Boot != e.report.Boot && e.report.Boot != "":
		out = b.turnCold(now, out, e, 0)
	case !r.Warm && !e.cold.on:
		out = b.turnCold(now, out, e, r.Done)
	}
	if !e.cold.on || !r.Warm || r.Age > warmAge || now.Add(-r.Age).Before(e.cold.since) {
		return out
	}
	if r.Done < e.cold.done+b.need(e) {
		return out
	}
	e.cold.on = false
	e.cold.leaps = 0
	return append(out, shed.Note{Reason: ReasonTurnedWarm, Server: e.server.ID})
}

// coldGrace is how long calls that were sent before a server was known to be
// cold may take to show in its report.
const coldGrace = 300 * time.Millisecond

// IsSettled tells whether a report of the server was made since it turned cold
// and all calls sent to it as a warm one had arrived. Before that nobody knows
// how much of what it bears is taken: other daemons' calls were sent without a
// slot, and the first few may already be all it bears.
func (b *Tracker) IsSettled(server shed.ServerID) bool {
	e := b.servers[server]
	return e != nil && e.settled(e.at)
}

func (e *entry) settled(at time.Time) bool {
	return e.report.Boot != "" && !at.Before(e.cold.since.Add(coldGrace))
}

// need is how many calls a cold server has to complete.
func (b *Tracker) need(e *entry) uint64 {
	return uint64(b.cfg.WarmCalls * e.server.ColdCapacity)
}

func (b *Tracker) turnCold(now time.Time, out []shed.Action, e *entry, done uint64) []shed.Action {
	was := e.cold.on
	e.cold = cold{on: true, since: now, done: done}
	e.pollSoon(now)
	if was {
		return out
	}
	return append(out, shed.Note{Reason: ReasonTurnedCold, Server: e.server.ID})
}

// SuspectAll holds every server cold until a report made from now on, and asks for
// one. A daemon that slept knows its servers as they were: one that turned cold
// meanwhile would get this daemon's calls on top of those that others send by
// the slots.
func (b *Tracker) SuspectAll(now time.Time) []shed.Action {
	var out []shed.Action
	for _, id := range b.order {
		out = append(out, b.suspect(now, b.servers[id])...)
	}
	return out
}

// pollSoon has the server's readers poll it as soon as that settles it.
func (e *entry) pollSoon(now time.Time) {
	if soon := now.Add(coldGrace); soon.Before(e.nextPoll) {
		e.nextPoll = soon
	}
}

// level is how many calls the server can carry by now.
func (e *entry) level() int {
	if e.cold.on {
		return e.server.ColdCapacity
	}
	shown := e.cold.completed
	if e.report.Done > e.cold.done {
		shown = max(shown, e.report.Done-e.cold.done)
	}
	return e.server.ColdCapacity + int(min(shown, uint64(e.server.Capacity-e.server.ColdCapacity)))
}

// symptom turns the server cold by what this daemon itself saw of it, and lets
// the zone know: the server may not have noticed.
func (b *Tracker) symptom(now time.Time, out []shed.Action, e *entry) []shed.Action {
	if e.cold.on {
		return out
	}
	out = b.turnCold(now, out, e, e.report.Done)
	if e.report.Boot == "" {
		return out
	}
	e.report.Warm = false
	word := e.report
	word.Age = now.Sub(e.at)
	e.told, e.toldAt = word, now
	return b.send(out, map[shed.ServerID]shed.LoadReport{e.server.ID: word})
}

// suspect holds the server cold after a broken connection, since a restart
// breaks them all, until a report made after that shows the same boot. It asks
// for one at once: waiting for the next would leave a good server unused.
func (b *Tracker) suspect(now time.Time, e *entry) []shed.Action {
	if e.cold.on {
		return nil
	}
	e.cold.on, e.cold.since = true, now
	e.pollSoon(now)
	return []shed.Action{
		shed.Note{Reason: ReasonTurnedCold, Server: e.server.ID},
		shed.PollServer{Server: e.server.ID, URL: e.server.URL},
	}
}

// silent: the server gave this reader no report. If no other reader had one
// lately either, the server may have restarted, so it counts as cold.
func (b *Tracker) silent(now time.Time, e *entry) []shed.Action {
	if e.cold.on || now.Sub(e.at) < b.cfg.SilentAfter {
		return nil
	}
	return b.symptom(now, nil, e)
}

// firstToken looks for a leap of the time to the first token against the
// server's own median: a server that turned cold is slow before it fails.
func (b *Tracker) firstToken(now time.Time, e *entry, c *call) []shed.Action {
	took := now.Sub(c.sent)
	if c.leapt {
		return nil
	}
	if !b.leap(e, took) {
		e.first.add(took)
		e.cold.leaps = 0
		return nil
	}
	c.leapt = true
	return b.countLeap(now, nil, e)
}

func (b *Tracker) leap(e *entry, took time.Duration) bool {
	usual := e.first.median()
	return usual > 0 && took >= b.cfg.MinSpike && took >= time.Duration(b.cfg.SpikeFactor)*usual
}

func (b *Tracker) countLeap(now time.Time, out []shed.Action, e *entry) []shed.Action {
	e.cold.leaps++
	if e.cold.leaps < leapsMax {
		return out
	}
	return b.symptom(now, out, e)
}

// overdue counts calls that already wait longer than a leap: a server that
// hangs would show no slow first token, since it gives none.
func (b *Tracker) overdue(now time.Time, out []shed.Action) []shed.Action {
	var late []shed.Call
	for id, c := range b.calls {
		e := b.servers[c.server]
		if e == nil || c.first || c.leapt || !b.leap(e, now.Sub(c.sent)) {
			continue
		}
		late = append(late, id)
	}
	slices.SortFunc(late, compareCalls)
	for _, id := range late {
		c := b.calls[id]
		c.leapt = true
		out = b.countLeap(now, out, b.servers[c.server])
	}
	return out
}
