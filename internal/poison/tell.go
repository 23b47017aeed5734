package poison

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

const (
	// keepers is how many VMs are told of a request's first crash. When many servers end
	// at once, as in a power cut, a VM may have thousands of requests that came to nothing
	// with them; only those that come again, at any VM, matter to all.
	keepers = 2
	// mostTold bounds the requests in one message, mostEnded the servers that have ended.
	mostTold, mostEnded = 32, 16
	// tellTimes is how often peers are told the same, since messages get lost.
	tellTimes = 2
	// remindEvery is how often remindPeers peers are told of all suspects, for those that
	// have started or missed a message.
	remindEvery = time.Second
	remindPeers = 2
	// sweepEvery is how often what is too old is forgotten.
	sweepEvery = time.Second
)

// Report is a message and who gets it.
type Report struct {
	To     []shed.VM
	Update shed.CrashUpdate
}

// DueReports is what peers, sorted, are to be told now. It is asked at each tick.
func (t *Table) DueReports(now time.Time, peers []shed.VM) []Report {
	if now.Sub(t.sweptAt) >= sweepEvery {
		t.sweptAt = now
		t.sweep(now)
	}
	if len(t.suspects) == 0 || len(peers) == 0 {
		return nil
	}
	news := t.pick(func(s *suspect) bool { return s.tell > 0 })
	var forAll []*suspect
	byKeeper := map[shed.VM][]*suspect{}
	for _, s := range news {
		s.tell--
		if s.wide {
			forAll = append(forAll, s)
			continue
		}
		for _, vm := range rank.Owners(s.request.String(), peers, keepers) {
			byKeeper[vm] = append(byKeeper[vm], s)
		}
	}
	var out []Report
	if len(forAll) > 0 {
		out = append(out, Report{To: peers, Update: t.message(now, forAll, true)})
	}
	for _, vm := range peers {
		if its := byKeeper[vm]; len(its) > 0 {
			out = append(out, Report{To: []shed.VM{vm}, Update: t.message(now, its, false)})
		}
	}
	return append(out, t.remind(now, peers)...)
}

// remind tells a few peers, in turn, of all suspects.
func (t *Table) remind(now time.Time, peers []shed.VM) []Report {
	if now.Sub(t.toldAt) < remindEvery {
		return nil
	}
	t.toldAt = now
	known := t.pick(func(s *suspect) bool { return s.count() >= suspectFrom })
	if len(known) == 0 {
		return nil
	}
	var to []shed.VM
	at, found := slices.BinarySearch(peers, t.last)
	if found {
		at++
	}
	for i := range min(remindPeers, len(peers)) {
		to = append(to, peers[(at+i)%len(peers)])
	}
	t.last = to[len(to)-1]
	return []Report{{To: to, Update: t.message(now, known, false)}}
}

// pick returns the requests that matter most of those wanted, as many as go in a message.
func (t *Table) pick(wanted func(*suspect) bool) []*suspect {
	var out []*suspect
	for _, s := range t.suspects {
		if wanted(s) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *suspect) int {
		if a.lesser(b) {
			return 1
		}
		return -1
	})
	return out[:min(len(out), mostTold)]
}

func (t *Table) message(now time.Time, suspects []*suspect, all bool) shed.CrashUpdate {
	m := shed.CrashUpdate{All: all}
	if all {
		m.RecentCrashes = ends(now, t.ended)
		m.RecentCrashes = m.RecentCrashes[:min(len(m.RecentCrashes), mostEnded)]
	}
	for _, s := range suspects {
		out := shed.Suspect{Request: s.request, Workspace: s.workspace}
		out.Crashes = ends(now, s.crashes)
		if !s.ran.IsZero() {
			age := now.Sub(s.ran)
			out.SurvivedAgo = &age
		}
		m.Suspects = append(m.Suspects, out)
	}
	return m
}

// ends are ends of servers, the newest first.
func ends(now time.Time, of map[shed.ServerStart]time.Time) []shed.ServerCrash {
	var out []shed.ServerCrash
	for start, at := range of {
		out = append(out, shed.ServerCrash{Start: start, Age: now.Sub(at)})
	}
	slices.SortFunc(out, func(a, b shed.ServerCrash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Start.Server, b.Start.Server), cmp.Compare(a.Start.StartedMs, b.Start.StartedMs))
	})
	return out
}
