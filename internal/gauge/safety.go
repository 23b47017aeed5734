package gauge

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/stand"
)

// Safety is what the stand-ins saw, against what must always hold.
type Safety struct {
	// Overshoots counts how often a cold server got more than it bears, and
	// MaxOvershoot is by how many calls.
	Overshoots, MaxOvershoot int
	// DuplicateRequests are requests that a plain service ran more than once.
	DuplicateRequests int
	// Closures tell how long new work still came after a zone or a supplier
	// was told to get no more.
	Closures []Closure
}

// Closure is one event after which some servers get no new work.
type Closure struct {
	Event string
	// LastCallAfter is the time from the event to the last call begun there, before
	// they were opened again; 0 if none began.
	LastCallAfter time.Duration
	Calls         int
}

// safety reads the records of the stand-ins.
func (r *Result) safety(once func(shed.ServerID) bool) Safety {
	var out Safety
	for _, server := range r.Servers {
		for _, o := range server.Record.Overshoots() {
			out.Overshoots++
			out.MaxOvershoot = max(out.MaxOvershoot, o.Running-o.ColdCapacity)
		}
		if once(server.ID) {
			out.DuplicateRequests += len(server.Record.DuplicateRequests())
		}
	}
	for _, ev := range r.Events {
		if ev.Kind == EventZoneClosed || ev.Kind == EventSupplierLeaving {
			out.Closures = append(out.Closures, r.closing(ev))
		}
	}
	return out
}

// closing looks for calls that began after ev on the servers that it closed.
func (r *Result) closing(ev PerformedEvent) Closure {
	from := r.StartTime.Add(ev.StartedAfter)
	until := r.reopened(ev)
	out := Closure{Event: ev.Name}
	for _, run := range r.closedRuns(ev.Event) {
		if run.Start.Before(from) || (!until.IsZero() && run.Start.After(until)) {
			continue
		}
		out.Calls++
		out.LastCallAfter = max(out.LastCallAfter, run.Start.Sub(from))
	}
	return out
}

func (r *Result) closedRuns(ev Event) []stand.Run {
	var runs []stand.Run
	for _, server := range r.Servers {
		if string(server.Zone) == ev.Target || string(server.Supplier) == ev.Target {
			runs = append(runs, server.Record.Runs()...)
		}
	}
	slices.SortFunc(runs, func(a, b stand.Run) int { return cmp.Compare(a.Start.UnixNano(), b.Start.UnixNano()) })
	return runs
}

// reopened is when the zone of ev came back; zero if it did not.
func (r *Result) reopened(ev PerformedEvent) time.Time {
	for _, later := range r.Events {
		if later.Kind == EventZoneReopened && later.Target == ev.Target && later.StartedAfter > ev.StartedAfter {
			return r.StartTime.Add(later.StartedAfter)
		}
	}
	return time.Time{}
}
