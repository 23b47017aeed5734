package load

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// coldState says whether a server is held cold, and what it has shown since.
type coldState struct {
	active bool
	since  time.Time
	// doneBefore is the server's count of completed calls when it turned cold; 0 for
	// a new boot.
	doneBefore uint64
	// ownCompleted counts this daemon's own calls that the server completed since.
	ownCompleted uint64
	// spikes counts the latest symptoms in a row; two make it cold.
	spikes int
}

// leapsMax is how many slow first tokens in a row turn a server cold. One may
// be a long prompt.
const maxSpikes = 2

// warmAge is the greatest age of a report that can show a server warm.
const maxWarmReportAge = 10 * time.Second

// updateCold works out from a new report whether the server is cold.
//
// A new boot, and any server that this daemon knows nothing of, is cold until a
// report says warm and the server has completed some calls: a server may call
// itself warm too soon. Completions are counted by the server since its boot,
// so a daemon that has just started takes a server that was long warm as warm
// with the first report, and a restart of the whole fleet leaves none cold.
func (b *Book) updateCold(now time.Time, out []shed.Action, e *serverState, r shed.LoadReport) []shed.Action {
	switch {
	case r.Boot != e.report.Boot && e.report.Boot != "":
		out = b.markCold(now, out, e, 0)
	case !r.Warm && !e.cold.active:
		out = b.markCold(now, out, e, r.Done)
	}
	if !e.cold.active || !r.Warm || r.Age > maxWarmReportAge || now.Add(-r.Age).Before(e.cold.since) {
		return out
	}
	if r.Done < e.cold.doneBefore+b.completionsToWarm(e) {
		return out
	}
	e.cold.active = false
	e.cold.spikes = 0
	return append(out, shed.Note{Reason: ReasonTurnedWarm, Server: e.server.ID})
}

// coldGrace is how long calls that were sent before a server was known to be
// cold may take to show in its report.
const coldGrace = 300 * time.Millisecond

// Settled tells whether a report of the server was made since it turned cold
// and all calls sent to it as a warm one had arrived. Before that nobody knows
// how much of what it bears is taken: other daemons' calls were sent without a
// slot, and the first few may already be all it bears.
func (b *Book) Settled(server shed.ServerID) bool {
	e := b.servers[server]
	return e != nil && e.isSettledAt(e.reportTime)
}

func (e *serverState) isSettledAt(at time.Time) bool {
	return e.report.Boot != "" && !at.Before(e.cold.since.Add(coldGrace))
}

// completionsToWarm is how many calls a cold server has to complete.
func (b *Book) completionsToWarm(e *serverState) uint64 {
	return uint64(b.cfg.WarmCalls * e.server.ColdCapacity)
}

func (b *Book) markCold(now time.Time, out []shed.Action, e *serverState, done uint64) []shed.Action {
	wasCold := e.cold.active
	e.cold = coldState{active: true, since: now, doneBefore: done}
	e.pollAfterGrace(now)
	if wasCold {
		return out
	}
	return append(out, shed.Note{Reason: ReasonTurnedCold, Server: e.server.ID})
}

// Doubt holds every server cold until a report made from now on, and asks for
// one. A daemon that slept knows its servers as they were: one that turned cold
// meanwhile would get this daemon's calls on top of those that others send by
// the slots.
func (b *Book) Doubt(now time.Time) []shed.Action {
	var out []shed.Action
	for _, id := range b.serverIDs {
		out = append(out, b.suspect(now, b.servers[id])...)
	}
	return out
}

// pollAfterGrace has the server's readers poll it as soon as that settles it.
func (e *serverState) pollAfterGrace(now time.Time) {
	if soon := now.Add(coldGrace); soon.Before(e.nextPoll) {
		e.nextPoll = soon
	}
}

// usableCapacity is how many calls the server can carry by now.
func (e *serverState) usableCapacity() int {
	if e.cold.active {
		return e.server.ColdCapacity
	}
	completed := e.cold.ownCompleted
	if e.report.Done > e.cold.doneBefore {
		completed = max(completed, e.report.Done-e.cold.doneBefore)
	}
	return e.server.ColdCapacity + int(min(completed, uint64(e.server.Capacity-e.server.ColdCapacity)))
}

// onSymptom turns the server cold by what this daemon itself saw of it, and lets
// the zone know: the server may not have noticed.
func (b *Book) onSymptom(now time.Time, out []shed.Action, e *serverState) []shed.Action {
	if e.cold.active {
		return out
	}
	out = b.markCold(now, out, e, e.report.Done)
	if e.report.Boot == "" {
		return out
	}
	e.report.Warm = false
	announced := e.report
	announced.Age = now.Sub(e.reportTime)
	e.announced, e.announcedAt = announced, now
	return b.broadcast(out, map[shed.ServerID]shed.LoadReport{e.server.ID: announced})
}

// suspect holds the server cold after a broken connection, since a restart
// breaks them all, until a report made after that shows the same boot. It asks
// for one at once: waiting for the next would leave a good server unused.
func (b *Book) suspect(now time.Time, e *serverState) []shed.Action {
	if e.cold.active {
		return nil
	}
	e.cold.active, e.cold.since = true, now
	e.pollAfterGrace(now)
	return []shed.Action{
		shed.Note{Reason: ReasonTurnedCold, Server: e.server.ID},
		shed.PollServer{Server: e.server.ID, URL: e.server.URL},
	}
}

// onSilent: the server gave this reader no report. If no other reader had one
// lately either, the server may have restarted, so it counts as cold.
func (b *Book) onSilent(now time.Time, e *serverState) []shed.Action {
	if e.cold.active || now.Sub(e.reportTime) < b.cfg.SilentAfter {
		return nil
	}
	return b.onSymptom(now, nil, e)
}

// checkFirstToken looks for a leap of the time to the first token against the
// server's own median: a server that turned cold is slow before it fails.
func (b *Book) checkFirstToken(now time.Time, e *serverState, c *call) []shed.Action {
	took := now.Sub(c.sentAt)
	if c.countedSlow {
		return nil
	}
	if !b.isSpike(e, took) {
		e.firstTokenTimes.add(took)
		e.cold.spikes = 0
		return nil
	}
	c.countedSlow = true
	return b.countSpike(now, nil, e)
}

func (b *Book) isSpike(e *serverState, took time.Duration) bool {
	median := e.firstTokenTimes.median()
	return median > 0 && took >= b.cfg.LeapLeast && took >= time.Duration(b.cfg.LeapFactor)*median
}

func (b *Book) countSpike(now time.Time, out []shed.Action, e *serverState) []shed.Action {
	e.cold.spikes++
	if e.cold.spikes < maxSpikes {
		return out
	}
	return b.onSymptom(now, out, e)
}

// countOverdue counts calls that already wait longer than a leap: a server that
// hangs would show no slow first token, since it gives none.
func (b *Book) countOverdue(now time.Time, out []shed.Action) []shed.Action {
	var late []shed.Call
	for id, c := range b.calls {
		e := b.servers[c.server]
		if e == nil || c.gotFirstToken || c.countedSlow || !b.isSpike(e, now.Sub(c.sentAt)) {
			continue
		}
		late = append(late, id)
	}
	slices.SortFunc(late, compareCalls)
	for _, id := range late {
		c := b.calls[id]
		c.countedSlow = true
		out = b.countSpike(now, out, b.servers[c.server])
	}
	return out
}
