package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	shed "jasmineshed"
)

const (
	// retention is how long a crash is remembered at least.
	retention = 10 * time.Minute
	// explanationWindow is how long the end of a server explains connections to it that break.
	explanationWindow = 2 * time.Second
	// trialTimeout bounds the time in which a VM awaits the end of a trial.
	trialTimeout = 5 * time.Second
	// trialStagger is how long the VMs before it in turn have for a trial.
	trialStagger = 2 * time.Second
	// Bounds on what is kept: requests, crashes of one request, and half of the requests
	// that ran well.
	maxSuspects, maxCrashes, maxRuns = 1024, 16, 4096
)

// Config sets up a Table.
type Config struct {
	// Self is this VM.
	Self shed.VM
	// Limit is how many servers may end under a request before it is refused.
	Limit int
	// Quarantine is how long it is refused then.
	Quarantine time.Duration
}

// Table is what one VM knows of requests that crash servers. It is not safe for
// concurrent use.
type Table struct {
	cfg      Config
	suspects map[shed.Fingerprint]*suspect
	// perWorkspace counts the suspects of each workspace; no entry is 0.
	perWorkspace map[shed.WorkspaceID]int
	// endedAt are the servers' starts that are known to have ended, with when.
	endedAt map[shed.ServerStart]time.Time
	// recentRuns and ranBefore are when requests last ran well here: the newest of them, and
	// those before.
	recentRuns, olderRuns map[shed.Fingerprint]time.Time
	// sweptAt is when what is too old was last looked for, toldAt when peers were last
	// told what they may have missed.
	sweptAt, remindedAt time.Time
	// lastReminded is the peer that was told last so; the next ones follow it in their order, so
	// that VMs don't all tell the same ones.
	lastReminded shed.VM
}

// suspect is a request under which servers ended.
type suspect struct {
	request   shed.Fingerprint
	workspace shed.WorkspaceID
	// crashes are the ends of servers under it. Only those after ran are held against it;
	// the others stay, so that it doesn't matter what is heard first.
	crashes map[shed.ServerStart]time.Time
	// lastRun is when a server last ran it and did not end; zero if never.
	lastRun time.Time
	// trialUntil is until when a trial is under way here.
	trialUntil time.Time
	// quarantined: it was found to be to blame.
	quarantined bool
	// pendingReports is how often peers are still to be told what is known here; wide: all of them
	// know of the request.
	pendingReports int
	knownToAll     bool
}

// New returns a Table that knows of no request.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg, suspects: map[shed.Fingerprint]*suspect{},
		perWorkspace: map[shed.WorkspaceID]int{}, endedAt: map[shed.ServerStart]time.Time{},
		recentRuns: map[shed.Fingerprint]time.Time{}, lastReminded: cfg.Self,
	}
}

// What a Change says.
const (
	Suspected   shed.Reason = "request_suspected"
	Quarantined shed.Reason = "request_quarantined"
	Cleared     shed.Reason = "request_cleared"
)

// Change is something that is believed anew of a request.
type Change struct {
	What      shed.Reason
	Request   shed.Fingerprint
	Workspace shed.WorkspaceID
	// Crashes is how many servers have ended under it.
	Crashes int
	// For is how long it is refused.
	For time.Duration
}

// Verdict is what may be done with a request.
type Verdict struct {
	// Refused: no server may get it; After is when one might.
	Refused bool
	After   time.Duration
	// Isolate: it may run, at the server where a crash harms least.
	Isolate bool
	// Trial: it may run once, to see whether it still crashes servers.
	Trial bool
}

// Empty tells whether no request is known.
func (t *Table) Empty() bool { return len(t.suspects) == 0 }

// Suspects tells whether servers ended under a request.
func (t *Table) Suspects(f shed.Fingerprint) bool { return t.suspects[f] != nil }

// Knows tells whether this start of a server is known to have ended just now.
func (t *Table) Knows(now time.Time, s shed.ServerStart) bool {
	return now.Sub(t.endedAt[s]) < explanationWindow
}

// Decide tells whether a request may run now. turn is this VM's place among those that may try
// it after its quarantine, 0 for the first.
func (t *Table) Decide(now time.Time, f shed.Fingerprint, turn func() int) Verdict {
	s := t.suspects[f]
	if s == nil || s.crashCount() < suspectThreshold {
		return Verdict{}
	}
	quarantine := t.quarantineTime(now, s)
	if quarantine == 0 {
		return Verdict{Isolate: true}
	}
	trialAt := s.lastCrash().Add(quarantine + time.Duration(turn())*trialStagger)
	if left := shed.Later(trialAt, s.trialUntil).Sub(now); left > 0 {
		return Verdict{Refused: true, After: left}
	}
	s.trialUntil = now.Add(trialTimeout)
	return Verdict{Isolate: true, Trial: true}
}

// Crashed notes that a server ended while it ran a request of this VM.
func (t *Table) Crashed(now time.Time, f shed.Fingerprint, ws shed.WorkspaceID, server shed.ServerStart) []Change {
	return t.merge(now, shed.Suspect{Request: f, Workspace: ws, Crashes: []shed.ServerCrash{{Start: server}}}, fromLocal)
}

// Ran notes that a server ran a request and did not end.
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

// source is who else knows of something that is taken in.
type source uint8

const (
	// fromLocal: nobody else; fromPeer: some peers; fromAll: all peers.
	fromLocal source = iota + 1
	fromPeer
	fromAllPeers
)

// Heard takes in what a peer tells.
func (t *Table) Heard(now time.Time, m shed.CrashNews) []Change {
	from := fromPeer
	if m.All {
		from = fromAllPeers
	}
	for _, e := range m.Ended {
		t.recordEnd(e.Start, now.Add(-max(e.Age, 0)))
	}
	var out []Change
	for _, s := range m.Suspects {
		out = append(out, t.merge(now, s, from)...)
	}
	return out
}

// merge takes the union of what is known and heard.
func (t *Table) merge(now time.Time, in shed.Suspect, from source) []Change {
	s := t.suspects[in.Request]
	if s == nil {
		if len(in.Crashes) == 0 || !t.makeRoom(in.Workspace) {
			return nil
		}
		s = &suspect{request: in.Request, workspace: in.Workspace, crashes: map[shed.ServerStart]time.Time{}}
		t.suspects[in.Request] = s
		t.perWorkspace[in.Workspace]++
	}
	before := s.crashCount()
	changed := false
	for _, c := range in.Crashes {
		changed = t.recordCrash(s, c.Start, now.Add(-max(c.Age, 0))) || changed
	}
	if in.Ran != nil {
		changed = s.recordRun(now.Add(-max(*in.Ran, 0))) || changed
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

// localRun is when a request last ran well at this VM; zero if it isn't known to.
func (t *Table) localRun(f shed.Fingerprint) time.Time {
	if at, ok := t.recentRuns[f]; ok {
		return at
	}
	return t.olderRuns[f]
}

// recordRun notes that a request ran well: what ended before is no longer held against it.
// It tells whether something was, or it is not known to have run well before.
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

// crashCount is how many crashes are held against the request.
func (s *suspect) crashCount() int {
	n := 0
	for _, at := range s.crashes {
		if at.After(s.lastRun) {
			n++
		}
	}
	return n
}

// isAttributable tells whether a crash of a server may be held against the request.
func (s *suspect) isAttributable(start shed.ServerStart) bool {
	return s.crashes[start].After(s.lastRun)
}

// lastCrash is when a server last ended under the request.
func (s *suspect) lastCrash() time.Time {
	var out time.Time
	for _, at := range s.crashes {
		out = shed.Later(out, at)
	}
	return out
}

func (s *suspect) oldestCrash() shed.ServerStart {
	return slices.MinFunc(slices.Collect(maps.Keys(s.crashes)), func(a, b shed.ServerStart) int {
		return cmp.Or(s.crashes[a].Compare(s.crashes[b]), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Born, b.Born))
	})
}

// sweep forgets what is too old.
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

// makeRoom makes room for one more request of a workspace: a full table loses one of the
// workspace that has most, so that no workspace takes others' room.
func (t *Table) makeRoom(ws shed.WorkspaceID) bool {
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

// lessRelevant tells whether a request is to be forgotten before another one.
func (s *suspect) lessRelevant(other *suspect) bool {
	return cmp.Or(
		cmp.Compare(s.crashCount(), other.crashCount()), s.lastCrash().Compare(other.lastCrash()),
		slices.Compare(s.request[:], other.request[:]),
	) < 0
}
