package order

import (
	"time"

	shed "jasmineshed"
)

// A fencing number consists of the revision, a hash of the desired state and the attempt. Within
// one revision a server has one desired state, so two daemons with the same revision send the same
// number and order, and it doesn't matter which one the engine accepts. The hash shows any daemon
// in a load report what was ordered last, including adapters, which reports don't name.
const (
	hashBits     = 16
	attemptBits  = 4
	revisionBits = hashBits + attemptBits
	attemptMax   = 1<<attemptBits - 1
)

func fence(rev shed.Revision, hash, attempt uint64) uint64 {
	return uint64(rev)<<revisionBits | hash<<attemptBits | min(attempt, attemptMax)
}

// fenceHash extracts the hash from a fencing number.
func fenceHash(f uint64) uint64 { return f >> attemptBits & (1<<hashBits - 1) }

// isAsDesired reports whether the server's report matches the desired state. Adapters are visible
// only through the hash of the last fencing number. An engine that ignores the number doesn't show
// them: there this daemon relies on its own last order, and a new holder of the slot sends another.
func (e *entry) isAsDesired() bool {
	if e.report.Model != e.want.name() || e.report.Role != e.want.role {
		return false
	}
	if len(e.want.adapters) == 0 {
		return true
	}
	if e.server.Fenced {
		return fenceHash(e.report.Fence) == e.want.hash
	}
	return e.doneHash == e.want.hash && e.doneBoot == e.report.Boot
}

// needsLoad reports whether the server has to load weights to reach the desired state.
func (e *entry) needsLoad() bool { return e.report.Model != e.want.name() }

// isLoading reports whether a load of weights in the slot is in progress.
func (g *Reconciler) isLoading(slot int) bool {
	for _, id := range g.ids {
		e := g.servers[id]
		if e.pending.Fence != 0 && e.needsLoad() && g.slotOf(id) == slot {
			return true
		}
	}
	return false
}

// isIdle reports whether the server has no calls that an order could break.
func (e *entry) isIdle() bool {
	return e.report.Running == 0 && e.report.Waiting == 0
}

// Draining reports whether the server must get no new calls, so that its model or role can be
// changed. Every daemon derives the same from the load reports. Only a part of a pool drains at the
// same time; the other servers keep serving with their present model and role.
func (g *Reconciler) Draining(server shed.ServerID) bool {
	e := g.servers[server]
	if e == nil || e.report.Boot == "" || e.isAsDesired() {
		return false
	}
	return e.report.Model == "" || g.mayChange(e)
}

// mayChange reports whether the server may be changed now: it is among the first, by id, of the
// servers of its pool that are not in the desired state.
func (g *Reconciler) mayChange(e *entry) bool {
	size, ahead := 0, 0
	for _, id := range g.ids {
		o := g.servers[id]
		if o.server.Pool != e.server.Pool {
			continue
		}
		size++
		changing := o.report.Boot != "" && !o.isAsDesired()
		if changing && id < e.server.ID {
			ahead++
		}
	}
	return ahead < max(1, size/drainDivisor)
}

func (g *Reconciler) tick(now time.Time) []shed.Action {
	var out []shed.Action
	for _, id := range g.ids {
		e := g.servers[id]
		g.updateHeldSince(now, e)
		if e.pending.Fence != 0 && now.Sub(e.sentAt) > g.cfg.MaxLoadTime {
			// The driver never reported the end of the order; the load must have ended by now.
			e.pending = shed.SendOrder{}
		}
		if g.isDue(now, e) {
			out = g.sendOrder(now, out, e)
		}
	}
	return out
}

func (g *Reconciler) updateHeldSince(now time.Time, e *entry) {
	switch {
	case !g.slotTable.MayUseSlot(now, g.slotKey, g.slotOf(e.server.ID)):
		e.heldSince = time.Time{}
	case e.heldSince.IsZero():
		e.heldSince = now
	}
}

// isDue reports whether an order should be sent to the server now.
//
// An engine that accepts orders from any caller, or with any fencing number, would accept a delayed
// order of a former holder of the slot, based on older rules, after ours. So the first order is
// sent after a quiet time in which a delayed one would have arrived, and only on a report made
// after that, which shows the engine's state at that time.
func (g *Reconciler) isDue(now time.Time, e *entry) bool {
	if e.heldSince.IsZero() || e.pending.Fence != 0 || now.Before(e.retryAt) {
		return false
	}
	quiet := g.cfg.QuietTime
	if !e.server.Fenced || !e.server.ChecksCaller {
		quiet = g.cfg.QuietTimeUnfenced
	}
	ready := e.heldSince.Add(quiet)
	if now.Before(ready) || e.reportedAt.Before(ready) || now.Sub(e.reportedAt) > g.cfg.MaxReportAge {
		return false
	}
	if e.isAsDesired() || !e.isIdle() {
		return false
	}
	return g.Draining(e.server.ID)
}

func (g *Reconciler) sendOrder(now time.Time, out []shed.Action, e *entry) []shed.Action {
	attempt := min(e.attempt+1, attemptMax)
	f := fence(g.rules.Revision, e.want.hash, attempt)
	if e.needsLoad() && (!g.mayLoad || g.isLoading(g.slotOf(e.server.ID))) {
		return out
	}
	e.attempt = attempt
	e.sentAt = now
	e.pending = shed.SendOrder{
		Server:   e.server.ID,
		URL:      e.server.URL,
		Fence:    f,
		Model:    e.want.model,
		Version:  e.want.version,
		Adapters: e.want.adapters,
		Role:     e.want.role,
	}
	return append(out, e.pending, shed.Note{
		Reason: ReasonOrdered,
		Server: e.server.ID,
		Rule:   e.server.Origin,
	})
}
