package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	shed "jasmineshed"
)

const (
	// retention is the minimum time for which a crash is remembered.
	retention = 10 * time.Minute
	// explanationWindow is how long after a server's crash broken connections to it are
	// ascribed to that crash.
	explanationWindow = 2 * time.Second
	// trialTimeout is how long a VM waits for the result of a trial.
	trialTimeout = 5 * time.Second
	// trialStagger is the delay of a trial for each VM that comes before this one in order.
	trialStagger = 2 * time.Second
	// Bounds on the suspects, on the crashes kept per suspect, and on each of the two
	// generations of requests that ran without a crash.
	maxSuspects, maxCrashes, maxRuns = 1024, 16, 16384
)

// Config configures a Table.
type Config struct {
	// Self is this VM.
	Self shed.VM
	// Limit is the number of crashes under a request from which it is refused.
	Limit int
	// Quarantine is how long a request is refused after reaching the limit.
	Quarantine time.Duration
}

// Table holds what one VM knows of requests that crash servers. It is not safe for
// concurrent use.
type Table struct {
	cfg      Config
	suspects map[shed.Fingerprint]*suspect
	// perWorkspace counts the suspects of each workspace; entries are never 0.
	perWorkspace map[shed.WorkspaceID]int
	// endedAt holds the server starts known to have crashed, with the time of the crash.
	endedAt map[shed.ServerStart]time.Time
	// recentRuns and olderRuns are two generations of the times at which requests last ran
	// here without a crash.
	recentRuns, olderRuns map[shed.Fingerprint]time.Time
	// sweptAt is when expired entries were last removed, remindedAt when the last reminder
	// was sent to peers.
	sweptAt, remindedAt time.Time
	// lastReminded is the last peer of the latest reminder. The next reminder goes to the
	// peers after it in order; it starts at this VM, so that VMs don't all remind the same peers.
	lastReminded shed.VM
}

// suspect is a request under which servers crashed.
type suspect struct {
	request   shed.Fingerprint
	kind      shed.SuspectKind
	workspace shed.WorkspaceID
	// crashes are the server crashes under it. Only those after lastRun count; the others
	// are kept so that the order in which updates are received doesn't matter.
	crashes map[shed.ServerStart]time.Time
	// lastRun is when a server last ran it without crashing; zero if never.
	lastRun time.Time
	// trialUntil is when the current trial on this VM times out.
	trialUntil time.Time
	// quarantined is whether it was quarantined since it was last cleared.
	quarantined bool
	// pendingReports is how many more times to report it to peers; knownToAll is whether
	// it is reported to all of them.
	pendingReports int
	knownToAll     bool
}

// New returns a Table without suspects.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg, suspects: map[shed.Fingerprint]*suspect{},
		perWorkspace: map[shed.WorkspaceID]int{}, endedAt: map[shed.ServerStart]time.Time{},
		recentRuns: map[shed.Fingerprint]time.Time{}, lastReminded: cfg.Self,
	}
}

// Kinds of Change.
const (
	Suspected   shed.Reason = "request_suspected"
	Quarantined shed.Reason = "request_quarantined"
	Cleared     shed.Reason = "request_cleared"
)

// Change is a change in the state of a suspect.
type Change struct {
	Reason    shed.Reason
	Request   shed.Fingerprint
	Kind      shed.SuspectKind
	Workspace shed.WorkspaceID
	// Crashes is the number of crashes counted against it.
	Crashes int
	// RefusedFor is how long it is refused, if quarantined.
	RefusedFor time.Duration
}

// Verdict says whether and how a request may run.
type Verdict struct {
	// Refused: it may not be sent to any server; RetryAfter is when to retry.
	Refused    bool
	RetryAfter time.Duration
	// Isolate: it may run, on the server where a crash does least harm.
	Isolate bool
	// Trial: it may run once, as a probe of whether it still crashes servers.
	Trial bool
}

// Empty reports whether there are no suspects.
func (t *Table) Empty() bool { return len(t.suspects) == 0 }

// IsSuspect reports whether crashes under a request are recorded.
func (t *Table) IsSuspect(f shed.Fingerprint) bool { return t.suspects[f] != nil }

// RecentlyCrashed reports whether this start of a server is known to have crashed within the
// explanation window.
func (t *Table) RecentlyCrashed(now time.Time, s shed.ServerStart) bool {
	return now.Sub(t.endedAt[s]) < explanationWindow
}

// HasCrashes reports whether any start of a server is known to have crashed.
func (t *Table) HasCrashes() bool { return len(t.endedAt) > 0 }

// CrashedAt returns when this start of a server crashed; ok is false if it isn't known to have.
func (t *Table) CrashedAt(s shed.ServerStart) (at time.Time, ok bool) {
	at, ok = t.endedAt[s]
	return at, ok
}

// Decide returns whether and how a request may run now. turn is this VM's position in the order
// of VMs that may try it after its quarantine, 0 for the first.
func (t *Table) Decide(now time.Time, f shed.Fingerprint, turn func() int) Verdict {
	s := t.suspects[f]
	if s == nil || s.crashCount() < suspectThreshold {
		return Verdict{}
	}
	quarantine := t.quarantineTime(now, s)
	if quarantine == 0 {
		// Many sound requests share a part until it is known which one crashes servers.
		return Verdict{Isolate: s.kind == shed.SuspectRequest}
	}
	trialAt := s.lastCrash().Add(quarantine + time.Duration(turn())*trialStagger)
	if left := shed.Later(trialAt, s.trialUntil).Sub(now); left > 0 {
		return Verdict{Refused: true, RetryAfter: left}
	}
	s.trialUntil = now.Add(trialTimeout)
	return Verdict{Isolate: true, Trial: true}
}

// Crashed records that a server crashed while it ran a request of this VM.
func (t *Table) Crashed(now time.Time, f shed.Fingerprint, ws shed.WorkspaceID, server shed.ServerStart) []Change {
	return t.merge(now, shed.Suspect{Request: f, Workspace: ws, Crashes: []shed.ServerCrash{{Start: server}}}, fromLocal)
}

// CrashedParts records that a server crashed before it began to answer a request of this VM, whose
// prompt has these parts.
func (t *Table) CrashedParts(now time.Time, parts []shed.Fingerprint, ws shed.WorkspaceID, server shed.ServerStart) []Change {
	var out []Change
	for _, f := range parts {
		in := shed.Suspect{Request: f, Kind: shed.SuspectPart, Workspace: ws, Crashes: []shed.ServerCrash{{Start: server}}}
		out = append(out, t.merge(now, in, fromLocal)...)
	}
	return out
}

// RanParts records that a server began to answer a request of this VM, whose prompt has these parts: none
// of them crashed it.
func (t *Table) RanParts(now time.Time, parts []shed.Fingerprint) []Change {
	var out []Change
	for _, f := range parts {
		out = append(out, t.Ran(now, f)...)
	}
	return out
}

// Ran records that a server ran a request of this VM without crashing.
func (t *Table) Ran(now time.Time, f shed.Fingerprint) []Change {
	if len(t.recentRuns) >= maxRuns {
		t.recentRuns, t.olderRuns = map[shed.Fingerprint]time.Time{}, t.recentRuns
	}
	t.recentRuns[f] = now
	if t.suspects[f] == nil {
		return nil
	}
	return t.merge(now, shed.Suspect{Request: f}, fromLocal)
}

// source says which other VMs already have an update.
type source uint8

const (
	// fromLocal: none; fromPeer: some peers; fromAllPeers: all peers.
	fromLocal source = iota + 1
	fromPeer
	fromAllPeers
)

// Receive merges an update received from a peer.
func (t *Table) Receive(now time.Time, m shed.CrashUpdate) []Change {
	from := fromPeer
	if m.All {
		from = fromAllPeers
	}
	for _, e := range m.RecentCrashes {
		t.recordEnd(e.Start, now.Add(-max(e.Age, 0)))
	}
	var out []Change
	for _, s := range m.Suspects {
		out = append(out, t.merge(now, s, from)...)
	}
	return out
}

// merge adds the crashes and the run of an update to what is known. The result doesn't depend
// on the order of updates.
func (t *Table) merge(now time.Time, in shed.Suspect, from source) []Change {
	s := t.suspects[in.Request]
	if s == nil {
		if len(in.Crashes) == 0 || !t.ensureCapacity(in.Workspace) {
			return nil
		}
		s = &suspect{request: in.Request, kind: in.Kind, workspace: in.Workspace, crashes: map[shed.ServerStart]time.Time{}}
		t.suspects[in.Request] = s
		t.perWorkspace[in.Workspace]++
	}
	before := s.crashCount()
	changed := false
	for _, c := range in.Crashes {
		changed = t.recordCrash(s, c.Start, now.Add(-max(c.Age, 0))) || changed
	}
	if in.SurvivedAgo != nil {
		changed = s.recordRun(now.Add(-max(*in.SurvivedAgo, 0))) || changed
	}
	if s.recordRun(t.localRun(in.Request)) {
		changed, from = true, fromLocal
	}
	s.knownToAll = s.knownToAll || s.crashCount() >= suspectThreshold
	if !changed {
		return nil
	}
	if from == fromLocal || from == fromPeer && s.knownToAll {
		s.pendingReports = reportRepeats
	}
	return t.reassess(now, s, before)
}

// isClearedSince reports whether a run without a crash, which the sender of an update doesn't know of, came
// after crashes that count for the sender.
func (s *suspect) isClearedSince(now time.Time, in shed.Suspect) bool {
	var senderRun time.Time
	if in.SurvivedAgo != nil {
		senderRun = now.Add(-*in.SurvivedAgo)
	}
	return slices.ContainsFunc(in.Crashes, func(c shed.ServerCrash) bool {
		at := now.Add(-c.Age)
		return at.After(senderRun) && s.lastRun.After(at)
	})
}

// localRun is when a request of this VM last ran without a crash; zero if unknown.
func (t *Table) localRun(f shed.Fingerprint) time.Time {
	if at, ok := t.recentRuns[f]; ok {
		return at
	}
	return t.olderRuns[f]
}

// recordRun records a run without a crash; earlier crashes no longer count. It reports whether
// some did count until now, or whether this is the first such run.
func (s *suspect) recordRun(at time.Time) bool {
	if !at.After(s.lastRun) {
		return false
	}
	before, first := s.crashCount(), s.lastRun.IsZero()
	s.lastRun, s.trialUntil = at, time.Time{}
	return first || s.crashCount() < before
}

func (t *Table) recordCrash(s *suspect, start shed.ServerStart, at time.Time) bool {
	t.recordEnd(start, at)
	old, known := s.crashes[start]
	if known && !at.Before(old) {
		return false
	}
	s.crashes[start] = at
	if known {
		return false
	}
	s.trialUntil = time.Time{}
	if len(s.crashes) > maxCrashes {
		delete(s.crashes, s.oldestCrash())
	}
	return at.After(s.lastRun)
}

func (t *Table) recordEnd(start shed.ServerStart, at time.Time) {
	if old, known := t.endedAt[start]; !known || at.Before(old) {
		t.endedAt[start] = at
	}
}

// crashCount is the number of crashes since the request's last run without a crash.
func (s *suspect) crashCount() int {
	n := 0
	for _, at := range s.crashes {
		if at.After(s.lastRun) {
			n++
		}
	}
	return n
}

// isAttributable reports whether a server's crash counts against the request.
func (s *suspect) isAttributable(start shed.ServerStart) bool {
	return s.crashes[start].After(s.lastRun)
}

// lastCrash is the time of the latest crash under the request.
func (s *suspect) lastCrash() time.Time {
	var out time.Time
	for _, at := range s.crashes {
		out = shed.Later(out, at)
	}
	return out
}

func (s *suspect) oldestCrash() shed.ServerStart {
	return slices.MinFunc(slices.Collect(maps.Keys(s.crashes)), func(a, b shed.ServerStart) int {
		return cmp.Or(s.crashes[a].Compare(s.crashes[b]), cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedMs, b.StartedMs))
	})
}

// sweep removes expired suspects and crashes.
func (t *Table) sweep(now time.Time) {
	for f, s := range t.suspects {
		keep := max(retention, 2*t.quarantineTime(now, s))
		if now.Sub(shed.Later(s.lastCrash(), s.lastRun)) > keep {
			t.forget(f)
		}
	}
	maps.DeleteFunc(t.endedAt, func(_ shed.ServerStart, at time.Time) bool { return now.Sub(at) > retention })
}

func (t *Table) forget(f shed.Fingerprint) {
	ws := t.suspects[f].workspace
	delete(t.suspects, f)
	if t.perWorkspace[ws]--; t.perWorkspace[ws] == 0 {
		delete(t.perWorkspace, ws)
	}
}

// ensureCapacity reports whether one more suspect of a workspace fits. A full table evicts a
// suspect of the workspace that has most of them, so that no workspace displaces the suspects
// of others.
func (t *Table) ensureCapacity(ws shed.WorkspaceID) bool {
	if len(t.suspects) < maxSuspects {
		return true
	}
	largest := ws
	for other, n := range t.perWorkspace {
		if top := t.perWorkspace[largest]; n > top || n == top && other < largest {
			largest = other
		}
	}
	var victim *suspect
	for _, s := range t.suspects {
		if s.workspace == largest && (victim == nil || s.lessRelevant(victim)) {
			victim = s
		}
	}
	if victim == nil || victim.crashCount() >= t.crashLimit(victim) && largest != ws {
		return false
	}
	t.forget(victim.request)
	return true
}

// lessRelevant reports whether a suspect is evicted before another one.
func (s *suspect) lessRelevant(other *suspect) bool {
	return cmp.Or(
		cmp.Compare(s.crashCount(), other.crashCount()), s.lastCrash().Compare(other.lastCrash()),
		slices.Compare(s.request[:], other.request[:]),
	) < 0
}
