package load

import (
	"maps"
	"slices"
	"time"

	shed "jasmineshed"
)

// tell sends the zone what changed enough since it was last told.
//
// The first reader tells at once. The others poll, too, but tell only when the
// zone has stayed in the wrong for longer: the first one may be dead or cut off
// from the server. So each change crosses the zone once, not once per reader.
func (b *Tracker) tell(now time.Time, out []shed.Action) []shed.Action {
	reports := map[shed.ServerID]shed.LoadReport{}
	for _, id := range b.order {
		e := b.servers[id]
		if e.rank < 0 || e.report.Boot == "" {
			continue
		}
		if !b.alters(now, e) {
			e.unlike = time.Time{}
			continue
		}
		if e.unlike.IsZero() {
			e.unlike = now
		}
		if now.Sub(e.unlike) < time.Duration(2*e.rank)*b.cfg.PollInterval {
			continue
		}
		r := e.report
		r.Age = now.Sub(e.at)
		reports[id] = r
		e.told, e.toldAt, e.unlike = r, now, time.Time{}
	}
	out = b.send(out, reports)
	return b.welcome(now, out)
}

// welcome tells newcomers all that this daemon is the first to read; else they
// would hold every server cold until it changes or is told again.
func (b *Tracker) welcome(now time.Time, out []shed.Action) []shed.Action {
	if len(b.newcomers) == 0 {
		return out
	}
	reports := map[shed.ServerID]shed.LoadReport{}
	for _, id := range b.order {
		e := b.servers[id]
		if e.rank != 0 || e.report.Boot == "" {
			continue
		}
		r := e.report
		r.Age = now.Sub(e.at)
		reports[id] = r
	}
	if len(reports) == 0 {
		return out
	}
	for _, vm := range b.newcomers {
		if slices.Contains(b.vms, vm) {
			out = append(out, shed.SendPeer{To: vm, Message: shed.LoadDigest{Reports: reports}})
		}
	}
	b.newcomers = nil
	return out
}

// alters tells whether the present report would alter a choice elsewhere.
func (b *Tracker) alters(now time.Time, e *entry) bool {
	r, t := e.report, e.told
	if r.Boot != t.Boot || r.Warm != t.Warm || r.Model != t.Model || r.Role != t.Role || r.Fence != t.Fence {
		return true
	}
	if now.Sub(e.toldAt) >= b.cfg.RefreshInterval {
		return true
	}
	if e.cold.on && r.Done != t.Done {
		// Completions end the cold start; they can't wait.
		return true
	}
	if e.cold.on && e.settled(e.at) && !e.settled(e.toldAt.Add(-t.Age)) {
		// Until it is told, no other daemon may use what the server bears.
		return true
	}
	change := r.Running + r.Waiting - t.Running - t.Waiting
	return max(change, -change) >= max(1, int(b.cfg.Threshold*float64(e.server.Capacity)))
}

func (b *Tracker) send(out []shed.Action, reports map[shed.ServerID]shed.LoadReport) []shed.Action {
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

// digest takes in what a reader tells.
func (b *Tracker) digest(now time.Time, d shed.LoadDigest) []shed.Action {
	var out []shed.Action
	for _, id := range slices.Sorted(maps.Keys(d.Reports)) {
		e := b.servers[id]
		if e == nil {
			continue
		}
		r := d.Reports[id]
		if r.Boot != e.told.Boot || r.Sequence >= e.told.Sequence {
			e.told, e.toldAt = r, now
		}
		out = b.take(now, out, e, r)
	}
	return out
}
