package flow

import (
	"slices"
	"time"

	"jasmineshed/internal/admit"
	"jasmineshed/internal/flow/trail"

	shed "jasmineshed"
)

// silenceValid is how long a report of silence is valid: the next one follows after
// shed.SilenceEvery, and may be late by some ticks.
const silenceValid = shed.SilenceEvery + 2*shed.TickEvery

// handleSilent replaces a silent call, if everything that its replacement needs is granted. If
// anything is missing, the request stays with the silent call, whose server may be sound and go
// on, and asks again at the next report. If others wait for the same servers, it queues up with
// them, but keeps its call meanwhile.
func (f *Flow) handleSilent(now time.Time, e shed.CallSilent) {
	r := f.runningRequest(e.Call, e.Server)
	if r == nil {
		return
	}
	if r.silence.Call != e.Call {
		f.emit(shed.Note{Reason: shed.ReasonSilent, Request: r.arrived.Request, Server: e.Server, Zone: e.Zone})
	}
	r.silence, r.silentUntil = e, now.Add(silenceValid)
	r.trail.RecordProgress(shed.CallProgress{Call: e.Call, Server: e.Server, Zone: e.Zone})
	if !f.mayReplace(now, r) {
		return
	}
	key := admit.StageQueue(r.currentStage())
	if f.cfg.Admit.Len(key) > 0 {
		f.push(now, r, key, f.latestStart(now, r))
		return
	}
	f.replace(now, r)
}

// replaceFromQueue tries to replace the call of a silent request whose turn has come. It returns
// false if the request keeps its place because all servers are full.
func (f *Flow) replaceFromQueue(now time.Time, r *request) bool {
	silent := r.silence.Call == r.call && !now.After(r.silentUntil)
	if silent && f.mayReplace(now, r) {
		if f.replace(now, r) {
			return true
		}
		if f.cfg.Placer.Place(now, f.placeRequest(now, r)).Kind == shed.PlaceWait {
			return false
		}
	}
	// Others may use the server that this one avoids, so it must not hold them up.
	f.cfg.Admit.Remove(r.arrived.Request)
	return true
}

// replace starts the replacement of a silent call, if there is a place for it and the retry budget
// allows it, and cancels the call.
func (f *Flow) replace(now time.Time, r *request) bool {
	avoid := r.avoid
	r.avoid = f.avoidSilent(r)
	p := f.cfg.Placer.Place(now, f.placeRequest(now, r))
	found := p.Kind == shed.PlaceLocal || p.Kind == shed.PlacePeer
	// The budget comes last, because a token that is taken is not given back.
	if !f.disabled.secureFirst && (!found || !f.cfg.Budget.Take(now)) {
		r.avoid = avoid
		return false
	}
	f.cancelSilent(r)
	switch p.Kind {
	case shed.PlaceLocal:
		f.start(now, r, p.Server)
	case shed.PlacePeer:
		f.forward(now, r, p.Peer)
	}
	return true
}

// mayReplace reports whether the stage may be sent again while its call is silent, and whether
// enough time is left for that. A stage that must run at most once is never given up for silence.
func (f *Flow) mayReplace(now time.Time, r *request) bool {
	if !r.trail.MayRetry(r.stage) && !f.disabled.mayRetry {
		return false
	}
	if r.trail.Reached(r.stage) >= f.cfg.MaxAttempts || r.trail.Attempts(r.stage) >= f.cfg.MaxSends {
		return false
	}
	return !f.cannotMeetDeadline(now, r) && f.latestStart(now, r).After(now)
}

// avoidSilent returns the servers that the replacement avoids. The silent server is among them
// at first, unless only the link to the peer before it is silent. After silentServerFactor times the idle timeout it may get the replacement if it
// still reports free capacity: the connection is then more likely to be lost than the server.
func (f *Flow) avoidSilent(r *request) []shed.ServerID {
	e := r.silence
	if e.Link || e.Server == "" || slices.Contains(r.avoid, e.Server) {
		return r.avoid
	}
	if e.For >= silentServerFactor*f.cfg.IdleTimeout || len(r.avoid) >= maxAvoid {
		return r.avoid
	}
	return append(slices.Clip(r.avoid), e.Server)
}

// silentServerFactor is by how much longer than the idle timeout a call must be silent before
// its own server may replace it.
const silentServerFactor = 2

// cancelSilent cancels the call that the next one replaces.
func (f *Flow) cancelSilent(r *request) {
	f.emit(shed.CancelCall{Call: r.call, Reason: shed.ReasonSilent})
	r.trail.Replace(r.call)
	f.recordCapacity(r.trail, r.call, r.silence.Server)
	f.setState(r, stateNew, time.Time{})
}

// recordCapacity records the capacity of the server that ran a forwarded call, for its cost.
func (f *Flow) recordCapacity(t *trail.Trail, call shed.Call, server shed.ServerID) {
	if f.rules == nil {
		return
	}
	if s := f.rules.Servers[server]; s != nil {
		t.SetCapacity(call, s.Capacity)
	}
}
