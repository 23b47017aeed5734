package gauge

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/stand"
)

// Safety compares the records of the stand-ins with the invariants that must always hold.
type Safety struct {
	// Overshoots counts how often a cold server received a call above its cold capacity,
	// and MaxOvershoot is the largest excess in calls.
	Overshoots, MaxOvershoot int
	// DuplicateRequests counts the requests that a plain service ran more than once.
	DuplicateRequests int
	// Closures holds how long new calls still began after the rules closed a zone or a
	// supplier.
	Closures []Closure
}

// Closure is one event after which some servers must get no new work.
type Closure struct {
	Event string
	// LastCallAfter is the time from the event to the last call that began there before they
	// were reopened; 0 if none began.
	LastCallAfter time.Duration
	Calls         int
}

// safety evaluates the records of the stand-ins.
func (r *Result) safety(mustRunOnce func(shed.ServerID) bool) Safety {
	var out Safety
	for _, server := range r.Servers {
		for _, o := range server.Record.Overshoots() {
			out.Overshoots++
			out.MaxOvershoot = max(out.MaxOvershoot, o.Running-o.ColdCapacity)
		}
		if mustRunOnce(server.ID) {
			out.DuplicateRequests += len(server.Record.DuplicateRequests())
		}
	}
	for _, ev := range r.Events {
		if ev.Kind == EventZoneClosed || ev.Kind == EventSupplierLeaving {
			out.Closures = append(out.Closures, r.newClosing(ev))
		}
	}
	return out
}

// newClosing counts the calls that began after ev on the servers that it closed.
func (r *Result) newClosing(ev PerformedEvent) Closure {
	from := r.StartTime.Add(ev.StartedAfter)
	until := r.reopenedAt(ev)
	out := Closure{Event: ev.Name}
	for _, run := range r.runsOnClosed(ev.Event) {
		if run.Start.Before(from) || (!until.IsZero() && run.Start.After(until)) {
			continue
		}
		out.Calls++
		out.LastCallAfter = max(out.LastCallAfter, run.Start.Sub(from))
	}
	return out
}

func (r *Result) runsOnClosed(ev Event) []stand.Run {
	var runs []stand.Run
	for _, server := range r.Servers {
		if string(server.Zone) == ev.Target || string(server.Supplier) == ev.Target {
			runs = append(runs, server.Record.Runs()...)
		}
	}
	slices.SortFunc(runs, func(a, b stand.Run) int { return cmp.Compare(a.Start.UnixNano(), b.Start.UnixNano()) })
	return runs
}

// reopenedAt returns when the zone of ev was reopened; zero if it was not.
func (r *Result) reopenedAt(ev PerformedEvent) time.Time {
	for _, later := range r.Events {
		if later.Kind == EventZoneReopened && later.Target == ev.Target && later.StartedAfter > ev.StartedAfter {
			return r.StartTime.Add(later.StartedAfter)
		}
	}
	return time.Time{}
}
