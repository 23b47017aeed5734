package flow

import (
	"maps"
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
	if r := f.requests[e.Call.Request]; r != nil {
		if i := r.keptIndex(e.Call); i >= 0 {
			r.kept[i].silence = e
			f.recordSilence(now, e)
			return
		}
	}
	r := f.runningRequest(e.Call, e.Server)
	if r == nil {
		return
	}
	if r.silence.Call != e.Call {
		f.emit(shed.Note{Reason: shed.ReasonSilent, Request: r.arrived.Request, Server: e.Server, Zone: e.Zone})
	}
	r.silence, r.silentUntil = e, now.Add(silenceValid)
	f.recordSilence(now, e)
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
// allows it. The call is kept until the replacement is accepted, since that may still fail. If the
// call is itself an unaccepted replacement, the older ones are kept, too: any of them may go on.
// MaxAttempts bounds the calls in flight, as it counts them.
func (f *Flow) replace(now time.Time, r *request) bool {
	avoid, next := r.avoid, f.avoidSilent(r)
	r.avoid = f.appendSilentServers(next, now, r)
	p := f.cfg.Placer.Place(now, f.placeRequest(now, r))
	found := p.Kind == shed.PlaceLocal || p.Kind == shed.PlacePeer
	// The budget comes last, because a token that is taken is not given back.
	if !f.disabled.secureFirst && (!found || !f.cfg.Budget.Take(now)) {
		r.avoid = avoid
		return false
	}
	r.kept = append(r.kept, keptCall{
		call:         r.call,
		silence:      r.silence,
		localServer:  r.localServer,
		tokensBefore: r.tokensBefore,
		avoid:        avoid,
	})
	if f.disabled.secureFirst {
		f.cancelKept(r)
	}
	switch p.Kind {
	case shed.PlaceLocal:
		f.start(now, r, p.Server)
	case shed.PlacePeer:
		f.forward(now, r, p.Peer)
	}
	// The other silent servers may have gone on when the stage is sent again.
	r.avoid = next
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
// at first, unless only the link to the peer before it is silent. After silentServerFactor times the
// idle timeout it may get the replacement if it still reports free capacity: the connection is then
// more likely to be lost than the server.
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

// recordSilence records that the server of a call is silent. A silent link says nothing of it.
func (f *Flow) recordSilence(now time.Time, e shed.CallSilent) {
	if e.Server != "" && !e.Link {
		f.silentServers[e.Server] = now.Add(silenceValid)
	}
}

func (f *Flow) expireSilence(now time.Time) {
	maps.DeleteFunc(f.silentServers, func(_ shed.ServerID, until time.Time) bool { return now.After(until) })
}

// appendSilentServers adds the other silent servers of the stage's pool: a replacement there would
// wait as long as the call that it replaces. While the whole pool is silent, there is none then.
// The request's own server is left to avoidSilent.
func (f *Flow) appendSilentServers(avoid []shed.ServerID, now time.Time, r *request) []shed.ServerID {
	if f.rules == nil {
		return avoid
	}
	out := slices.Clip(avoid)
	for _, id := range slices.Sorted(maps.Keys(f.silentServers)) {
		s := f.rules.Servers[id]
		if s == nil || s.Pool != r.currentStage().Pool || now.After(f.silentServers[id]) {
			continue
		}
		if id != r.silence.Server && !slices.Contains(out, id) && len(out) < maxAvoid {
			out = append(out, id)
		}
	}
	return out
}

// keptCall is a silent call beside its replacement, with what is needed to make it the current one
// again.
type keptCall struct {
	call         shed.Call
	silence      shed.CallSilent
	localServer  *shed.Server
	tokensBefore shed.Tokens
	avoid        []shed.ServerID
}

func (r *request) hasKept() bool { return len(r.kept) > 0 }

// keptIndex returns the index of a kept call, or -1.
func (r *request) keptIndex(call shed.Call) int {
	return slices.IndexFunc(r.kept, func(k keptCall) bool { return k.call == call })
}

// cancelKept cancels the kept calls, if there are any, in favour of the current one.
func (f *Flow) cancelKept(r *request) {
	for _, k := range r.kept {
		f.emit(shed.CancelCall{Call: k.call, Reason: shed.ReasonSilent})
		r.trail.Replace(k.call)
		f.recordCapacity(r.trail, k.call, k.silence.Server)
	}
	r.kept = nil
}

// cancelReplacement cancels the current call, which replaces a kept one, and makes that the current
// one again.
func (f *Flow) cancelReplacement(r *request) {
	f.emit(shed.CancelCall{Call: r.call, Reason: shed.ReasonStaleAttempt})
	r.trail.Replace(r.call)
	r.restoreKept()
}

// restoreKept makes the newest kept call the current one again.
func (r *request) restoreKept() {
	last := len(r.kept) - 1
	k := r.kept[last]
	r.kept = r.kept[:last]
	r.call = k.call
	r.silence, r.silentUntil = k.silence, time.Time{}
	r.localServer = k.localServer
	r.tokensBefore = k.tokensBefore
	r.avoid = k.avoid
}

// decideProgress decides between kept calls and their replacements: the first that makes progress
// stays.
func (f *Flow) decideProgress(r *request, call shed.Call) {
	if call != r.call && r.keptIndex(call) < 0 {
		return
	}
	for r.call != call {
		f.cancelReplacement(r)
	}
	f.cancelKept(r)
}

// decideEnd decides between kept calls and their replacements when one of them ends. A result is
// taken as that of the current call. After a failure the others go on, and decideEnd returns true:
// nothing is sent again, so the retry budget is not asked.
func (f *Flow) decideEnd(now time.Time, r *request, e shed.CallEnded) bool {
	i := r.keptIndex(e.Call)
	if !r.hasKept() || i < 0 && e.Call != r.call {
		return false
	}
	if e.End == shed.EndComplete {
		f.decideProgress(r, e.Call)
		return false
	}
	r.trail.RecordEnd(now, e)
	f.recordCapacity(r.trail, e.Call, e.Server)
	f.emit(shed.Note{Reason: e.Reason, Request: r.arrived.Request, Server: e.Server, Zone: e.Zone})
	older := r.kept
	if i >= 0 {
		older = r.kept[:i]
	}
	for k := range older {
		older[k].avoid = avoidFailed(older[k].avoid, e)
	}
	if i >= 0 {
		r.kept = slices.Delete(r.kept, i, i+1)
	} else {
		r.restoreKept()
	}
	return true
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
