package load

import (
	"maps"
	"slices"
	"time"

	shed "jasmineshed"
)

// announceChanges broadcasts the reports that differ significantly from the last broadcast.
//
// The first reader broadcasts at once. The others poll as well, but broadcast only if the zone's
// information stays wrong for longer: the first one may be dead or partitioned off from the
// server. So each change is sent through the zone once, not once per reader.
func (b *Tracker) announceChanges(now time.Time, out []shed.Action) []shed.Action {
	reports := map[shed.ServerID]shed.LoadReport{}
	for _, id := range b.serverIDs {
		e := b.servers[id]
		if e.readerRank < 0 || e.report.Boot == "" {
			continue
		}
		if !b.isSignificant(now, e) {
			e.divergedAt = time.Time{}
			continue
		}
		if e.divergedAt.IsZero() {
			e.divergedAt = now
		}
		if now.Sub(e.divergedAt) < time.Duration(2*e.readerRank)*b.cfg.PollInterval {
			continue
		}
		r := e.report
		r.Age = now.Sub(e.reportTime)
		reports[id] = r
		e.announced, e.announcedAt, e.divergedAt = r, now, time.Time{}
	}
	out = b.broadcast(out, reports)
	return b.announceToNewVMs(now, out)
}

// announceToNewVMs sends new VMs the reports of all servers whose first reader this daemon is.
// Otherwise they would count every server as cold until it changes or is broadcast again.
func (b *Tracker) announceToNewVMs(now time.Time, out []shed.Action) []shed.Action {
	if len(b.newVMs) == 0 {
		return out
	}
	reports := map[shed.ServerID]shed.LoadReport{}
	for _, id := range b.serverIDs {
		e := b.servers[id]
		if e.readerRank != 0 || e.report.Boot == "" {
			continue
		}
		r := e.report
		r.Age = now.Sub(e.reportTime)
		reports[id] = r
	}
	if len(reports) == 0 {
		return out
	}
	for _, vm := range b.newVMs {
		if slices.Contains(b.vms, vm) {
			out = append(out, shed.SendPeer{To: vm, Message: shed.LoadDigest{Reports: reports}})
		}
	}
	b.newVMs = nil
	return out
}

// isSignificant reports whether the current report could change a placement on another VM.
func (b *Tracker) isSignificant(now time.Time, e *serverState) bool {
	r, announced := e.report, e.announced
	if r.Boot != announced.Boot || r.Warm != announced.Warm || r.Model != announced.Model || r.Role != announced.Role || r.Fence != announced.Fence {
		return true
	}
	if now.Sub(e.announcedAt) >= b.cfg.RefreshInterval {
		return true
	}
	if e.cold.active && r.Done != announced.Done {
		// Completions end the cold start, so they are not delayed.
		return true
	}
	if e.cold.active && e.isSettledAt(e.reportTime) && !e.isSettledAt(e.announcedAt.Add(-announced.Age)) {
		// Until this is broadcast, no other daemon may use the server's cold capacity.
		return true
	}
	delta := r.Running + r.Waiting - announced.Running - announced.Waiting
	return max(delta, -delta) >= max(1, int(b.cfg.Threshold*float64(e.server.Capacity)))
}

func (b *Tracker) broadcast(out []shed.Action, reports map[shed.ServerID]shed.LoadReport) []shed.Action {
	if len(reports) == 0 {
		return out
	}
	for _, vm := range b.vms {
		if vm != b.cfg.Self {
			out = append(out, shed.SendPeer{To: vm, Message: shed.LoadDigest{Reports: reports}})
		}
	}
	return out
}

// onDigest applies the reports that another reader broadcast.
func (b *Tracker) onDigest(now time.Time, d shed.LoadDigest) []shed.Action {
	var out []shed.Action
	for _, id := range slices.Sorted(maps.Keys(d.Reports)) {
		e := b.servers[id]
		if e == nil {
			continue
		}
		r := d.Reports[id]
		if r.Boot != e.announced.Boot || r.Sequence >= e.announced.Sequence {
			e.announced, e.announcedAt = r, now
		}
		out = b.applyReport(now, out, e, r)
	}
	return out
}
