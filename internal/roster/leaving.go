package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	shed "jasmineshed"
)

// departureRetention is how long the departure of an unlisted server is remembered. It exceeds the
// time for which a leaving server goes on answering, and its entry may lapse and return meanwhile.
const departureRetention = 10 * time.Minute

// MarkLeaving records that a server said in an answer that it leaves. This holds until that start
// of the server ends: an entry that says that it is ready may have been written before, and an
// answer without the statement may have been sent before. Taking a departure for withdrawn would
// send requests to a server that ends under them; the opposite mistake costs one server's capacity.
func (r *Roster) MarkLeaving(now time.Time, start shed.ServerStart) []Change {
	_, known := r.departures[start]
	r.departures[start] = now
	if known {
		return nil
	}
	s := r.servers[start.Server]
	if s == nil || s.Start() != start {
		return nil
	}
	r.reopen()
	if s.Leaving {
		return nil
	}
	return []Change{{Reason: ServerSaysLeaving, Server: start.Server, Zone: s.Zone}}
}

// departed reports whether the server said in an answer that it leaves.
func (r *Roster) departed(s *Server) bool {
	_, ok := r.departures[s.Start()]
	return ok
}

// IsLeaving reports whether this start of a server said that it leaves, in an answer or in its last entry.
func (r *Roster) IsLeaving(start shed.ServerStart) bool {
	if _, ok := r.departures[start]; ok {
		return true
	}
	if s := r.servers[start.Server]; s != nil && s.Start() == start {
		return s.Leaving
	}
	return r.gone[start].leaving
}

// IsReplaced reports whether another start than that of the entry is listed under its id, or open at its address.
func (r *Roster) IsReplaced(e shed.ServerEntry) bool {
	if s := r.servers[e.ID]; s != nil && s.Start() != e.Start() {
		return true
	}
	s := r.openAt[e.Addr]
	return s != nil && s.Start() != e.Start()
}

// UnlistedDepartures returns the servers that said that they leave while their entries say that
// they are ready, sorted. Peers can't learn of these departures from the store.
func (r *Roster) UnlistedDepartures() []shed.ServerStart {
	var out []shed.ServerStart
	for start := range r.departures {
		if s := r.servers[start.Server]; s != nil && s.Start() == start && !s.Leaving {
			out = append(out, start)
		}
	}
	slices.SortFunc(out, func(a, b shed.ServerStart) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedMs, b.StartedMs))
	})
	return out
}

// pruneDepartures forgets the departures of servers that are no longer listed.
func (r *Roster) pruneDepartures(now time.Time) {
	if len(r.departures) == 0 {
		return
	}
	maps.DeleteFunc(r.departures, func(start shed.ServerStart, at time.Time) bool {
		return r.servers[start.Server] == nil && now.Sub(at) > departureRetention
	})
}
