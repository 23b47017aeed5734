package load

import (
	"maps"
	"slices"
	"time"

	shed "jasmineshed"
)

// announceChanges sends the zone what changed enough since it was last told.
//
// The first reader tells at once. The others poll, too, but tell only when the
// zone has stayed in the wrong for longer: the first one may be dead or cut off
// from the server. So each change crosses the zone once, not once per reader.
func (b *Book) announceChanges(now time.Time, out []shed.Action) []shed.Action {
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
		if now.Sub(e.divergedAt) < time.Duration(2*e.readerRank)*b.cfg.PollEvery {
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

// announceToNewVMs tells newcomers all that this daemon is the first to read; else they
// would hold every server cold until it changes or is told again.
func (b *Book) announceToNewVMs(now time.Time, out []shed.Action) []shed.Action {
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

// isSignificant tells whether the present report would alter a choice elsewhere.
func (b *Book) isSignificant(now time.Time, e *serverState) bool {
	r, announced := e.report, e.announced
	if r.Boot != announced.Boot || r.Warm != announced.Warm || r.Model != announced.Model || r.Role != announced.Role || r.Fence != announced.Fence {
		return true
	}
	if now.Sub(e.announcedAt) >= b.cfg.RefreshEvery {
		return true
	}
	if e.cold.active && r.Done != announced.Done {
		// Completions end the cold start; they can't wait.
		return true
	}
	if e.cold.active && e.isSettledAt(e.reportTime) && !e.isSettledAt(e.announcedAt.Add(-announced.Age)) {
		// Until it is told, no other daemon may use what the server bears.
		return true
	}
	delta := r.Running + r.Waiting - announced.Running - announced.Waiting
	return max(delta, -delta) >= max(1, int(b.cfg.Threshold*float64(e.server.Capacity)))
}

func (b *Book) broadcast(out []shed.Action, reports map[shed.ServerID]shed.LoadReport) []shed.Action {
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

// onDigest takes in what a reader tells.
func (b *Book) onDigest(now time.Time, d shed.LoadDigest) []shed.Action {
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
