package load

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// coldState says whether a server counts as cold, and what was observed since it turned cold.
type coldState struct {
	active bool
	since  time.Time
	// doneBefore is the server's count of completed calls when it turned cold; 0 for a new boot.
	doneBefore uint64
	// ownCompleted counts this daemon's own calls that the server has completed since.
	ownCompleted uint64
	// spikes counts consecutive slow first tokens; maxSpikes of them turn the server cold.
	spikes int
}

// maxSpikes is how many consecutive slow first tokens turn a server cold. A single one may be
// due to a long prompt.
const maxSpikes = 2

// maxWarmReportAge is the maximum age of a report that can show a server warm.
const maxWarmReportAge = 10 * time.Second

// updateCold determines from a new report whether the server is cold.
//
// A server that this daemon has no data of, or that has a new boot, is cold until a report says
// that it is warm and it has completed some calls, since a server may report itself warm too
// soon. The server counts completions since its boot, so a daemon that has just started accepts
// a server that was warm for long as warm with the first report, and a restart of the whole
// fleet leaves no server cold.
func (b *Tracker) updateCold(now time.Time, out []shed.Action, e *serverState, r shed.LoadReport) []shed.Action {
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

// coldGrace is how long calls that were sent before a server was known to be cold may take to
// appear in its report.
const coldGrace = 300 * time.Millisecond

// IsSettled reports whether the last report was made after the server turned cold and the calls
// that were sent to it as a warm one had arrived. Before that, the used part of its cold
// capacity is unknown: calls of other daemons were sent without a slot, and the first few may
// already use all of it.
func (b *Tracker) IsSettled(server shed.ServerID) bool {
	e := b.servers[server]
	return e != nil && e.isSettledAt(e.reportTime)
}

func (e *serverState) isSettledAt(at time.Time) bool {
	return e.report.Boot != "" && !at.Before(e.cold.since.Add(coldGrace))
}

// completionsToWarm returns how many calls a cold server has to complete to count as warm.
func (b *Tracker) completionsToWarm(e *serverState) uint64 {
	return uint64(b.cfg.WarmCalls * e.server.ColdCapacity)
}

func (b *Tracker) markCold(now time.Time, out []shed.Action, e *serverState, done uint64) []shed.Action {
	wasCold := e.cold.active
	e.cold = coldState{active: true, since: now, doneBefore: done}
	e.pollAfterGrace(now)
	if wasCold {
		return out
	}
	return append(out, shed.Note{Reason: ReasonTurnedCold, Server: e.server.ID})
}

// SuspectAll marks every server cold until a report made from now on, and polls each. The state
// of a daemon that was suspended is outdated: a server that turned cold meanwhile would get
// this daemon's calls in addition to those that others send within the slots.
func (b *Tracker) SuspectAll(now time.Time) []shed.Action {
	var out []shed.Action
	for _, id := range b.serverIDs {
		out = append(out, b.suspect(now, b.servers[id])...)
	}
	return out
}

// pollAfterGrace moves the next poll forward to the end of coldGrace, when a report settles the
// cold server's load.
func (e *serverState) pollAfterGrace(now time.Time) {
	if soon := now.Add(coldGrace); soon.Before(e.nextPoll) {
		e.nextPoll = soon
	}
}

// usableCapacity returns how many concurrent calls the server may get at present.
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

// onSymptom marks the server cold because of what this daemon itself observed, and notifies the
// zone: the server may not have noticed that it is cold.
func (b *Tracker) onSymptom(now time.Time, out []shed.Action, e *serverState) []shed.Action {
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

// suspect marks the server cold after a broken connection, since a restart breaks all
// connections, until a later report shows the same boot. It polls the server at once: waiting
// for the next regular report would leave a healthy server unused.
func (b *Tracker) suspect(now time.Time, e *serverState) []shed.Action {
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

// onSilent handles a poll that the server did not answer. If no other reader had a report lately
// either, the server may have restarted, so it is marked cold.
func (b *Tracker) onSilent(now time.Time, e *serverState) []shed.Action {
	if e.cold.active || now.Sub(e.reportTime) < b.cfg.SilentAfter {
		return nil
	}
	return b.onSymptom(now, nil, e)
}

// checkFirstToken compares the time to the first token with the server's own median: a server
// that turned cold is slow before it fails.
func (b *Tracker) checkFirstToken(now time.Time, e *serverState, c *call) []shed.Action {
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

func (b *Tracker) isSpike(e *serverState, took time.Duration) bool {
	median := e.firstTokenTimes.median()
	return median > 0 && took >= b.cfg.MinSpike && took >= time.Duration(b.cfg.SpikeFactor)*median
}

func (b *Tracker) countSpike(now time.Time, out []shed.Action, e *serverState) []shed.Action {
	e.cold.spikes++
	if e.cold.spikes < maxSpikes {
		return out
	}
	return b.onSymptom(now, out, e)
}

// countOverdue counts calls whose first token is already overdue: a server that hangs would
// show no slow first token, since it gives none.
func (b *Tracker) countOverdue(now time.Time, out []shed.Action) []shed.Action {
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
