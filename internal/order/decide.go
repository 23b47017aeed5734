package order

import (
	"time"

	shed "jasmineshed"
)

// A fencing number is the revision, then a hash of what is wanted, then the
// attempt. Within one revision a server's wanted state is one, so two daemons
// with the same revision give the same number and order: whichever the engine
// takes, the result is the same. The hash lets any daemon see in a load report
// what was ordered last, adapters included, which reports don't name.
const (
	hashBits     = 16
	attemptBits  = 4
	revisionBits = hashBits + attemptBits
	attemptMax   = 1<<attemptBits - 1
)

func fence(rev shed.Revision, hash, attempt uint64) uint64 {
	return uint64(rev)<<revisionBits | hash<<attemptBits | min(attempt, attemptMax)
}

// fencedHash returns the hash in a fencing number.
func fencedHash(f uint64) uint64 { return f >> attemptBits & (1<<hashBits - 1) }

// met tells whether the server is as the rules want it, as far as it reports.
// Adapters show only in the hash of the last fencing number. An engine that
// ignores the number can't show them; there this daemon goes by its own last
// order, and a new holder of the slot orders once more.
func (e *entry) met() bool {
	if e.report.Model != e.want.name() || e.report.Role != e.want.role {
		return false
	}
	if len(e.want.adapters) == 0 {
		return true
	}
	if e.server.Fenced {
		return fencedHash(e.report.Fence) == e.want.hash
	}
	return e.done == e.want.hash && e.doneBoot == e.report.Boot
}

// loads tells whether the server has to load weights to be as wanted.
func (e *entry) loads() bool { return e.report.Model != e.want.name() }

// loading tells whether a load of the group is under way.
func (g *Reconciler) loading(group int) bool {
	for _, id := range g.order {
		e := g.servers[id]
		if e.sent.Fence != 0 && e.loads() && g.group(id) == group {
			return true
		}
	}
	return false
}

// idle tells whether an order can do no harm to running calls.
func (e *entry) idle() bool {
	return e.report.Running == 0 && e.report.Waiting == 0
}

// Draining tells whether the server must get no new work, so that its model or
// role can be changed. Every daemon works it out alike from the reports. Only a
// part of a pool drains at once; the others go on serving what they have.
func (g *Reconciler) Draining(server shed.ServerID) bool {
	e := g.servers[server]
	if e == nil || e.report.Boot == "" || e.met() {
		return false
	}
	return e.report.Model == "" || g.turn(e)
}

// turn tells whether it is the server's turn to change: the first of those of
// its pool that are not as wanted, by id.
func (g *Reconciler) turn(e *entry) bool {
	size, ahead := 0, 0
	for _, id := range g.order {
		o := g.servers[id]
		if o.server.Pool != e.server.Pool {
			continue
		}
		size++
		changing := o.report.Boot != "" && !o.met()
		if changing && id < e.server.ID {
			ahead++
		}
	}
	return ahead < max(1, size/drainShare)
}

func (g *Reconciler) tick(now time.Time) []shed.Action {
	var out []shed.Action
	for _, id := range g.order {
		e := g.servers[id]
		g.hold(now, e)
		if e.sent.Fence != 0 && now.Sub(e.sentAt) > g.cfg.MaxLoadTime {
			// The driver never told the end; it can't still load.
			e.sent = shed.SendOrder{}
		}
		if g.due(now, e) {
			out = g.send(now, out, e)
		}
	}
	return out
}

func (g *Reconciler) hold(now time.Time, e *entry) {
	switch {
	case !g.table.MayUseSlot(now, g.key, g.group(e.server.ID)):
		e.heldAt = time.Time{}
	case e.heldAt.IsZero():
		e.heldAt = now
	}
}

// due tells whether the server should be sent an order now.
//
// An engine that takes orders from anybody, or with any number, would take one
// that a former holder of its slot sent late, on older rules, after ours.
// So the first order waits out a quiet time in which a late one would have
// arrived, and is given only on a report made after that, which shows what the
// engine has then.
func (g *Reconciler) due(now time.Time, e *entry) bool {
	if e.heldAt.IsZero() || e.sent.Fence != 0 || now.Before(e.retryAt) {
		return false
	}
	quiet := g.cfg.QuietTime
	if !e.server.Fenced || !e.server.ChecksCaller {
		quiet = g.cfg.QuietTimeUnfenced
	}
	ready := e.heldAt.Add(quiet)
	if now.Before(ready) || e.at.Before(ready) || now.Sub(e.at) > g.cfg.MaxReportAge {
		return false
	}
	if e.met() || !e.idle() {
		return false
	}
	return g.Draining(e.server.ID)
}

func (g *Reconciler) send(now time.Time, out []shed.Action, e *entry) []shed.Action {
	attempt := min(e.attempt+1, attemptMax)
	f := fence(g.rules.Revision, e.want.hash, attempt)
	if e.loads() && (!g.loads || g.loading(g.group(e.server.ID))) {
		return out
	}
	e.attempt = attempt
	e.sentAt = now
	e.sent = shed.SendOrder{
		Server:   e.server.ID,
		URL:      e.server.URL,
		Fence:    f,
		Model:    e.want.model,
		Version:  e.want.version,
		Adapters: e.want.adapters,
		Role:     e.want.role,
	}
	return append(out, e.sent, shed.Note{
		Reason: ReasonOrdered,
		Server: e.server.ID,
		Rule:   e.server.Origin,
	})
}
