package reach

import (
	"slices"
	"time"
)

// Probe is a probe that is due. If Compare is set, a peer probes the server too.
type Probe struct {
	Addr    Addr
	Compare bool
}

// NeedsProbes reports whether probes may be due: a path is lost or in doubt.
func (t *Table) NeedsProbes(now time.Time) bool {
	if t.Isolated() || t.Hopeless(now) {
		return true
	}
	for _, s := range t.servers {
		if t.needsProbe(now, s) {
			return true
		}
	}
	return false
}

// needsProbe reports whether the path to a server is lost or in doubt, or nobody reaches it.
func (t *Table) needsProbe(now time.Time, s *server) bool {
	return !s.lostAt.IsZero() || s.inDoubt(now) || t.isQuiet(now, s)
}

// isQuiet reports whether nobody reached a server lately and no other has sent this VM anything since.
func (t *Table) isQuiet(now time.Time, s *server) bool {
	return s.unreachedAt.After(t.lastSign()) && now.Sub(t.lastSign()) >= hopelessSilence/2
}

// DueProbes returns the probes to begin now; each must be ended by EndProbe. listed are the listed
// servers that may be probed, sorted.
func (t *Table) DueProbes(now time.Time, listed []Addr) []Probe {
	if len(listed) == 0 {
		return nil
	}
	if !t.Isolated() && !t.Hopeless(now) {
		return t.dueServers(now, listed)
	}
	if now.Sub(t.probedAt) < probeInterval {
		return nil
	}
	t.probedAt = now
	return t.nextProbes(now, listed, t.Hopeless(now))
}

// begin records that a probe begins.
func (s *server) begin(now time.Time, sampled bool) {
	s.probing, s.probedAt, s.sampled = true, now, sampled
}

// dueServers returns the servers in doubt, those whose path is lost and, if all paths are in doubt or
// none answered since a path was lost, further ones.
func (t *Table) dueServers(now time.Time, listed []Addr) []Probe {
	var out []Probe
	suspicious := now.Before(t.doubtUntil)
	for _, a := range listed {
		s := t.servers[a]
		if s == nil {
			continue
		}
		suspicious = suspicious || s.lostAt.After(t.answeredAt)
		due := !s.probing && now.Sub(s.probedAt) >= probeInterval && len(out) < maxProbes
		if due && t.needsProbe(now, s) {
			s.begin(now, s.sampled && !s.lostAt.IsZero())
			out = append(out, Probe{Addr: a, Compare: s.lostAt.IsZero()})
		}
	}
	others := t.undecided(listed)
	if len(others) == 0 && !t.evenAt.After(t.lastSign()) {
		t.isolated = len(t.Lost()) > 0
	}
	if suspicious && now.Sub(t.probedAt) >= probeInterval {
		t.probedAt = now
		others = slices.DeleteFunc(others, func(a Addr) bool { return t.server(a).probing })
		out = append(out, t.nextProbes(now, others, true)...)
	}
	return out
}

// undecided returns the servers of which it isn't known whether this VM's path to them is lost or nobody
// reaches them.
func (t *Table) undecided(listed []Addr) []Addr {
	return slices.DeleteFunc(slices.Clone(listed), func(a Addr) bool {
		s := t.servers[a]
		return s != nil && (!s.lostAt.IsZero() || s.unreachedAt.After(t.lastSign()))
	})
}

// nextProbes returns probes of the next servers in round-robin order, different ones each time.
func (t *Table) nextProbes(now time.Time, listed []Addr, compare bool) []Probe {
	if len(listed) == 0 {
		return nil
	}
	var out []Probe
	first, found := slices.BinarySearch(listed, t.lastProbed)
	if found {
		first++
	}
	// A stride spreads the probes over pools, whose servers often have adjacent addresses.
	stride := max(len(listed)/maxProbes, 1)
	for i := range min(maxProbes, len(listed)) {
		a := listed[(first+i*stride)%len(listed)]
		s := t.server(a)
		if s.probing || compare && !t.Hopeless(now) && (!s.lostAt.IsZero() || now.Sub(s.probedAt) < probeInterval) {
			continue
		}
		s.begin(now, true)
		out = append(out, Probe{Addr: a, Compare: compare})
	}
	t.lastProbed = listed[first%len(listed)]
	return out
}

// EndProbe records that a probe ended.
func (t *Table) EndProbe(a Addr) { t.server(a).probing = false }
