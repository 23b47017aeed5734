package poison

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

const (
	// firstCrashPeers is the number of peers that receive a request's first crash. When many
	// servers crash at once, as in a power cut, thousands of requests of a VM may be interrupted;
	// only those that are retried, at any VM, matter to all peers.
	firstCrashPeers = 2
	// maxSuspectsPerMessage and maxEndsPerMessage bound the suspects and the crashed servers in
	// one message.
	maxSuspectsPerMessage, maxEndsPerMessage = 32, 16
	// reportRepeats is how many times each change is sent, since messages get lost.
	reportRepeats = 2
	// All suspects are sent to peersPerReminder peers every reminderInterval, for peers that have
	// restarted or missed a message.
	reminderInterval = time.Second
	peersPerReminder = 2
	// sweepInterval is the interval at which expired entries are removed.
	sweepInterval = time.Second
)

// Report is an update and its receivers.
type Report struct {
	To     []shed.VM
	Update shed.CrashUpdate
}

// DueReports returns the updates to send now to peers, which must be sorted. It is called at
// each tick.
func (t *Table) DueReports(now time.Time, peers []shed.VM) []Report {
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
	var out []Report
	if len(forAll) > 0 {
		out = append(out, Report{To: peers, Update: t.message(now, forAll, true)})
	}
	for _, vm := range peers {
		if suspects := byPeer[vm]; len(suspects) > 0 {
			out = append(out, Report{To: []shed.VM{vm}, Update: t.message(now, suspects, false)})
		}
	}
	return append(out, t.remind(now, peers)...)
}

// remind sends all suspects to a few peers, in round-robin order.
func (t *Table) remind(now time.Time, peers []shed.VM) []Report {
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
	return []Report{{To: to, Update: t.message(now, known, false)}}
}

// Correction returns what the sender of an update has missed: runs without a crash after crashes that count
// for it. Only reminders are answered, which go to few peers: each of the receivers of another update would
// send the same. ok is false if there is nothing to correct.
func (t *Table) Correction(now time.Time, m shed.CrashUpdate) (out shed.CrashUpdate, ok bool) {
	if m.All {
		return out, false
	}
	var missed []*suspect
	for _, in := range m.Suspects {
		if s := t.suspects[in.Request]; s != nil && s.isClearedSince(now, in) {
			missed = append(missed, s)
		}
	}
	return t.message(now, missed, false), len(missed) > 0
}

// mostRelevant returns the most relevant of the matching suspects, as many as fit in a message.
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

func (t *Table) message(now time.Time, suspects []*suspect, all bool) shed.CrashUpdate {
	m := shed.CrashUpdate{All: all}
	if all {
		m.RecentCrashes = crashesByAge(now, t.endedAt)
		m.RecentCrashes = m.RecentCrashes[:min(len(m.RecentCrashes), maxEndsPerMessage)]
	}
	for _, s := range suspects {
		out := shed.Suspect{Request: s.request, Kind: s.kind, Workspace: s.workspace}
		out.Crashes = crashesByAge(now, s.crashes)
		if !s.lastRun.IsZero() {
			age := now.Sub(s.lastRun)
			out.SurvivedAgo = &age
		}
		m.Suspects = append(m.Suspects, out)
	}
	return m
}

// crashesByAge returns crashes, the newest first.
func crashesByAge(now time.Time, endedAt map[shed.ServerStart]time.Time) []shed.ServerCrash {
	var out []shed.ServerCrash
	for start, at := range endedAt {
		out = append(out, shed.ServerCrash{Start: start, Age: now.Sub(at)})
	}
	slices.SortFunc(out, func(a, b shed.ServerCrash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Start.Server, b.Start.Server), cmp.Compare(a.Start.StartedMs, b.Start.StartedMs))
	})
	return out
}
