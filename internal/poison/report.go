package poison

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

const (
	// firstCrashPeers is how many VMs are told of a request's first crash. When many servers end
	// at once, as in a power cut, a VM may have thousands of requests that came to nothing
	// with them; only those that come again, at any VM, matter to all.
	firstCrashPeers = 2
	// maxSuspectsPerMessage bounds the requests in one message, mostEnded the servers that have ended.
	maxSuspectsPerMessage, maxEndsPerMessage = 32, 16
	// reportRepeats is how often peers are told the same, since messages get lost.
	reportRepeats = 2
	// reminderInterval is how often remindPeers peers are told of all suspects, for those that
	// have started or missed a message.
	reminderInterval = time.Second
	peersPerReminder = 2
	// sweepInterval is how often what is too old is forgotten.
	sweepInterval = time.Second
)

// Tell is a message and who gets it.
type Tell struct {
	To   []shed.VM
	News shed.CrashNews
}

// Due is what peers, sorted, are to be told now. It is asked at each tick.
func (t *Table) Due(now time.Time, peers []shed.VM) []Tell {
	if now.Sub(t.sweptAt) >= sweepInterval {
		t.sweptAt = now
		t.sweep(now)
	}
	if len(t.suspects) == 0 || len(peers) == 0 {
		return nil
	}
	due := t.mostRelevant(func(s *suspect) bool { return s.pendingReports > 0 })
	var forAll []*suspect
	byPeer := map[shed.VM][]*suspect{}
	for _, s := range due {
		s.pendingReports--
		if s.knownToAll {
			forAll = append(forAll, s)
			continue
		}
		for _, vm := range rank.Owners(s.request.String(), peers, firstCrashPeers) {
			byPeer[vm] = append(byPeer[vm], s)
		}
	}
	var out []Tell
	if len(forAll) > 0 {
		out = append(out, Tell{To: peers, News: t.message(now, forAll, true)})
	}
	for _, vm := range peers {
		if suspects := byPeer[vm]; len(suspects) > 0 {
			out = append(out, Tell{To: []shed.VM{vm}, News: t.message(now, suspects, false)})
		}
	}
	return append(out, t.remind(now, peers)...)
}

// remind tells a few peers, in turn, of all suspects.
func (t *Table) remind(now time.Time, peers []shed.VM) []Tell {
	if now.Sub(t.remindedAt) < reminderInterval {
		return nil
	}
	t.remindedAt = now
	known := t.mostRelevant(func(s *suspect) bool { return s.crashCount() >= suspectThreshold })
	if len(known) == 0 {
		return nil
	}
	var to []shed.VM
	at, found := slices.BinarySearch(peers, t.lastReminded)
	if found {
		at++
	}
	for i := range min(peersPerReminder, len(peers)) {
		to = append(to, peers[(at+i)%len(peers)])
	}
	t.lastReminded = to[len(to)-1]
	return []Tell{{To: to, News: t.message(now, known, false)}}
}

// mostRelevant returns the requests that matter most of those wanted, as many as go in a message.
func (t *Table) mostRelevant(match func(*suspect) bool) []*suspect {
	var out []*suspect
	for _, s := range t.suspects {
		if match(s) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *suspect) int {
		if a.lessRelevant(b) {
			return 1
		}
		return -1
	})
	return out[:min(len(out), maxSuspectsPerMessage)]
}

func (t *Table) message(now time.Time, suspects []*suspect, all bool) shed.CrashNews {
	m := shed.CrashNews{All: all}
	if all {
		m.Ended = crashesByAge(now, t.endedAt)
		m.Ended = m.Ended[:min(len(m.Ended), maxEndsPerMessage)]
	}
	for _, s := range suspects {
		out := shed.Suspect{Request: s.request, Workspace: s.workspace}
		out.Crashes = crashesByAge(now, s.crashes)
		if !s.lastRun.IsZero() {
			age := now.Sub(s.lastRun)
			out.Ran = &age
		}
		m.Suspects = append(m.Suspects, out)
	}
	return m
}

// crashesByAge are ends of servers, the newest first.
func crashesByAge(now time.Time, endedAt map[shed.ServerStart]time.Time) []shed.ServerCrash {
	var out []shed.ServerCrash
	for start, at := range endedAt {
		out = append(out, shed.ServerCrash{Start: start, Age: now.Sub(at)})
	}
	slices.SortFunc(out, func(a, b shed.ServerCrash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Start.Server, b.Start.Server), cmp.Compare(a.Start.Born, b.Start.Born))
	})
	return out
}
