package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	shed "jasmineshed"
)

const (
	// keepFor is how long a crash is remembered at least.
	keepFor = 10 * time.Minute
	// knowsFor is how long the end of a server explains connections to it that break.
	knowsFor = 2 * time.Second
	// trialFor bounds the time in which a VM awaits the end of a trial.
	trialFor = 5 * time.Second
	// turnEvery is how long the VMs before it in turn have for a trial.
	turnEvery = 2 * time.Second
	// Bounds on what is kept: requests, crashes of one request, and half of the requests
	// that ran well.
	mostSuspects, mostCrashes, mostRan = 1024, 16, 4096
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
	// ended are the servers' starts that are known to have ended, with when.
	ended map[shed.ServerStart]time.Time
	// ran and ranBefore are when requests last ran well here: the newest of them, and
	// those before.
	ran, ranBefore map[shed.Fingerprint]time.Time
	// sweptAt is when what is too old was last looked for, toldAt when peers were last
	// told what they may have missed.
	sweptAt, toldAt time.Time
	// last is the peer that was told last so; the next ones follow it in their order, so
	// that VMs don't all tell the same ones.
	last shed.VM
}

// suspect is a request under which servers ended.
type suspect struct {
	request   shed.Fingerprint
	workspace shed.WorkspaceID
	// crashes are the ends of servers under it. Only those after ran are held against it;
	// the others stay, so that it doesn't matter what is heard first.
	crashes map[shed.ServerStart]time.Time
	// ran is when a server last ran it and did not end; zero if never.
	ran time.Time
	// trial is until when a trial is under way here.
	trial time.Time
	// quarantined: it was found to be to blame.
	quarantined bool
	// tell is how often peers are still to be told what is known here; wide: all of them
	// know of the request.
	tell int
	wide bool
}

// New returns a Table that knows of no request.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg, suspects: map[shed.Fingerprint]*suspect{},
		perWorkspace: map[shed.WorkspaceID]int{}, ended: map[shed.ServerStart]time.Time{},
		ran: map[shed.Fingerprint]time.Time{}, last: cfg.Self,
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
	Reason    shed.Reason
	Request   shed.Fingerprint
	Workspace shed.WorkspaceID
	// Crashes is how many servers have ended under it.
	Crashes int
	// RefusedFor is how long it is refused.
	RefusedFor time.Duration
}

// Verdict is what may be done with a request.
type Verdict struct {
	// Refused: no server may get it; After is when one might.
	Refused    bool
	RetryAfter time.Duration
	// Isolate: it may run, at the server where a crash harms least.
	Isolate bool
	// Trial: it may run once, to see whether it still crashes servers.
	Trial bool
}

// Empty tells whether no request is known.
func (t *Table) Empty() bool { return len(t.suspects) == 0 }

// IsSuspect tells whether servers ended under a request.
func (t *Table) IsSuspect(f shed.Fingerprint) bool { return t.suspects[f] != nil }

// RecentlyCrashed tells whether this start of a server is known to have ended just now.
func (t *Table) RecentlyCrashed(now time.Time, s shed.ServerStart) bool {
	return now.Sub(t.ended[s]) < knowsFor
}

// Decide tells whether a request may run now. turn is this VM's place among those that may try
// it after its quarantine, 0 for the first.
func (t *Table) Decide(now time.Time, f shed.Fingerprint, turn func() int) Verdict {
	s := t.suspects[f]
	if s == nil || s.count() < suspectFrom {
		return Verdict{}
	}
	quarantine := t.quarantine(now, s)
	if quarantine == 0 {
		return Verdict{Isolate: true}
	}
	free := s.last().Add(quarantine + time.Duration(turn())*turnEvery)
	if left := shed.Later(free, s.trial).Sub(now); left > 0 {
		return Verdict{Refused: true, RetryAfter: left}
	}
	s.trial = now.Add(trialFor)
	return Verdict{Isolate: true, Trial: true}
}

// Crashed notes that a server ended while it ran a request of this VM.
func (t *Table) Crashed(now time.Time, f shed.Fingerprint, ws shed.WorkspaceID, server shed.ServerStart) []Change {
	return t.merge(now, shed.Suspect{Request: f, Workspace: ws, Crashes: []shed.ServerCrash{{Start: server}}}, fromHere)
}

// Ran notes that a server ran a request and did not end.
func (t *Table) Ran(now time.Time, f shed.Fingerprint) []Change {
	if len(t.ran) >= mostRan {
		t.ran, t.ranBefore = map[shed.Fingerprint]time.Time{}, t.ran
	}
	t.ran[f] = now
	if t.suspects[f] == nil {
		return nil
	}
	return t.merge(now, shed.Suspect{Request: f}, fromHere)
}

// source is who else knows of something that is taken in.
type source uint8

const (
	// fromHere: nobody else; fromPeer: some peers; fromAll: all peers.
	fromHere source = iota + 1
	fromPeer
	fromAll
)

// Receive takes in what a peer tells.
func (t *Table) Receive(now time.Time, m shed.CrashUpdate) []Change {
	from := fromPeer
	if m.All {
		from = fromAll
	}
	for _, e := range m.RecentCrashes {
		t.noteEnd(e.Start, now.Add(-max(e.Age, 0)))
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
	before := s.count()
	changed := false
	for _, c := range in.Crashes {
		changed = t.takeCrash(s, c.Start, now.Add(-max(c.Age, 0))) || changed
	}
	if in.SurvivedAgo != nil {
		changed = s.takeRan(now.Add(-max(*in.SurvivedAgo, 0))) || changed
	}
	if s.takeRan(t.ranHere(in.Request)) {
		changed, from = true, fromHere
	}
	s.wide = s.wide || s.count() >= suspectFrom
	if !changed {
		return nil
	}
	if from == fromHere || from == fromPeer && s.wide {
		s.tell = tellTimes
	}
	return t.believe(now, s, before)
}

// ranHere is when a request last ran well at this VM; zero if it isn't known to.
func (t *Table) ranHere(f shed.Fingerprint) time.Time {
	if at, ok := t.ran[f]; ok {
		return at
	}
	return t.ranBefore[f]
}

// takeRan notes that a request ran well: what ended before is no longer held against it.
// It tells whether something was, or it is not known to have run well before.
func (s *suspect) takeRan(at time.Time) bool {
	if !at.After(s.ran) {
		return false
	}
	before, first := s.count(), s.ran.IsZero()
	s.ran, s.trial = at, time.Time{}
	return first || s.count() < before
}

func (t *Table) takeCrash(s *suspect, start shed.ServerStart, at time.Time) bool {
	t.noteEnd(start, at)
	old, known := s.crashes[start]
	if known && !at.Before(old) {
		return false
	}
	s.crashes[start] = at
	if known {
		return false
	}
	s.trial = time.Time{}
	if len(s.crashes) > mostCrashes {
		delete(s.crashes, s.oldest())
	}
	return at.After(s.ran)
}

func (t *Table) noteEnd(start shed.ServerStart, at time.Time) {
	if old, known := t.ended[start]; !known || at.Before(old) {
		t.ended[start] = at
	}
}

// count is how many crashes are held against the request.
func (s *suspect) count() int {
	n := 0
	for _, at := range s.crashes {
		if at.After(s.ran) {
			n++
		}
	}
	return n
}

// blamable tells whether a crash of a server may be held against the request.
func (s *suspect) blamable(start shed.ServerStart) bool { return s.crashes[start].After(s.ran) }

// last is when a server last ended under the request.
func (s *suspect) last() time.Time {
	var out time.Time
	for _, at := range s.crashes {
		out = shed.Later(out, at)
	}
	return out
}

func (s *suspect) oldest() shed.ServerStart {
	return slices.MinFunc(slices.Collect(maps.Keys(s.crashes)), func(a, b shed.ServerStart) int {
		return cmp.Or(s.crashes[a].Compare(s.crashes[b]), cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedMs, b.StartedMs))
	})
}

// sweep forgets what is too old.
func (t *Table) sweep(now time.Time) {
	for f, s := range t.suspects {
		keep := max(keepFor, 2*t.quarantine(now, s))
		if now.Sub(shed.Later(s.last(), s.ran)) > keep {
			t.forget(f)
		}
	}
	maps.DeleteFunc(t.ended, func(_ shed.ServerStart, at time.Time) bool { return now.Sub(at) > keepFor })
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
	if len(t.suspects) < mostSuspects {
		return true
	}
	from := ws
	for other, n := range t.perWorkspace {
		if top := t.perWorkspace[from]; n > top || n == top && other < from {
			from = other
		}
	}
	var least *suspect
	for _, s := range t.suspects {
		if s.workspace == from && (least == nil || s.lesser(least)) {
			least = s
		}
	}
	if least == nil || least.count() >= t.limit(least) && from != ws {
		return false
	}
	t.forget(least.request)
	return true
}

// lesser tells whether a request is to be forgotten before another one.
func (s *suspect) lesser(other *suspect) bool {
	return cmp.Or(
		cmp.Compare(s.count(), other.count()), s.last().Compare(other.last()),
		slices.Compare(s.request[:], other.request[:]),
	) < 0
}
