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
	// and WorstOvershoot is the largest excess in calls.
	Overshoots, WorstOvershoot int
	// Doubled counts the requests that a plain service ran more than once.
	Doubled int
	// Closings holds how long new calls still began after the rules closed a zone or a
	// supplier.
	Closings []Closing
}

// Closing is one event after which some servers must get no new work.
type Closing struct {
	Event string
	// Last is the time from the event to the last call that began there before they were
	// reopened; 0 if none began.
	Last  time.Duration
	Calls int
}

// safety evaluates the records of the stand-ins.
func (r *Result) safety(mustRunOnce func(shed.ServerID) bool) Safety {
	var out Safety
	for _, server := range r.Servers {
		for _, o := range server.Record.Overshoots() {
			out.Overshoots++
			out.WorstOvershoot = max(out.WorstOvershoot, o.Running-o.Bears)
		}
		if mustRunOnce(server.ID) {
			out.Doubled += len(server.Record.Doubled())
		}
	}
	for _, ev := range r.Done {
		if ev.Kind == EventZoneOut || ev.Kind == EventSupplierLeaving {
			out.Closings = append(out.Closings, r.newClosing(ev))
		}
	}
	return out
}

// newClosing counts the calls that began after ev on the servers that it closed.
func (r *Result) newClosing(ev Happened) Closing {
	from := r.Began.Add(ev.Began)
	until := r.reopenedAt(ev)
	out := Closing{Event: ev.Name}
	for _, run := range r.runsOnClosed(ev.Event) {
		if run.Start.Before(from) || (!until.IsZero() && run.Start.After(until)) {
			continue
		}
		out.Calls++
		out.Last = max(out.Last, run.Start.Sub(from))
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
func (r *Result) reopenedAt(ev Happened) time.Time {
	for _, later := range r.Done {
		if later.Kind == EventZoneBack && later.Target == ev.Target && later.Began > ev.Began {
			return r.Began.Add(later.Began)
		}
	}
	return time.Time{}
}
