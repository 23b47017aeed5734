// Package reach decides over which path requests go from this VM to backend servers: directly, or
// carried by a peer. It does no I/O and reads no clock.
//
// Load pattern: some VMs, or all of a zone, lose their path to the servers for seconds while callers
// and peers still reach them. Connections hang, are reset, or live on while new ones are refused.
// None of that alone tells a lost path from a server that crashed, is overloaded or is silent for a
// second: a path counts as lost only if a peer got further with the same server.
package reach

import (
	"maps"
	"slices"
	"time"

	shed "jasmineshed"
)

const (
	// isolationServers is how many servers a peer must have reached in place of this VM, without
	// one that answered this VM directly, until all paths of this VM count as lost; and how many
	// nobody must have reached until requests are hopeless.
	isolationServers = 3
	// doubtTime is how long a server is in doubt after its path failed without a verdict.
	doubtTime = time.Second
	// downTime is how long no peer is asked to carry requests to a server that none reached.
	downTime = time.Second
	// hopelessSilence is how long no server may have sent anything until requests are hopeless.
	hopelessSilence = time.Second
	// connectedSilence is how long servers that accept connections may then leave probes unanswered
	// until requests are hopeless: sound ones are silent for up to 1.9 s.
	connectedSilence = 2 * time.Second
	// hopelessTime is how long requests are then hopeless; after it one finds out, if no probe has.
	hopelessTime = 2 * time.Second
	// probeInterval is the time between two probes of a server whose path is lost, or of different
	// servers while all paths are.
	probeInterval = 500 * time.Millisecond
	// maxProbes is how many probes begin at once.
	maxProbes = 3
)

// Addr is the address of a backend server, "ip:port".
type Addr string

// Level is how far a try to reach a server got. A higher one is better.
type Level uint8

const (
	// Closed means that no connection was established, or it was closed without an answer.
	Closed Level = iota
	// Connected means that the connection stayed open without an answer.
	Connected
	// Answered means that an answer arrived.
	Answered
)

// Path is how a request gets to a server. The set is closed.
type Path uint8

const (
	// Direct means that the request is sent directly, and carried by a peer if no connection is established.
	Direct Path = iota
	// DirectOnly means that the request is sent directly or not at all.
	DirectOnly
	// Carried means that a peer carries the request, which is sent directly only if no peer can.
	Carried
)

// Table is what one VM knows about its paths to servers. It is not safe for concurrent use.
type Table struct {
	servers map[Addr]*server
	// answeredAt is when a server last answered over a new direct connection, heardAt when one sent
	// something over any.
	answeredAt, heardAt time.Time
	// carriedAt is when a server last answered through a peer.
	carriedAt time.Time
	// connectedAt is when a server last accepted a connection without an answer, unansweredSince when
	// one was first found to give none, unless one has sent something since.
	connectedAt, unansweredSince time.Time
	// evenAt is when a server last left both this VM and a peer without an answer on open connections.
	evenAt time.Time
	// doubtUntil is until when all paths are in doubt.
	doubtUntil time.Time
	// lostAt is when a path was last found to be lost.
	lostAt time.Time
	// isolated: all paths are lost.
	isolated bool
	// hopelessUntil is until when requests are hopeless, unless a server is reached before.
	hopelessUntil time.Time
	// lastProbed is the server that was probed last in turn, probedAt when.
	lastProbed Addr
	probedAt   time.Time
}

// server is the path to one server.
type server struct {
	// lostAt is when the path was lost; zero if it is not. lostLevel is how far this VM got then.
	lostAt    time.Time
	lostLevel Level
	// sampled: the probe that found out how far this VM gets was one of a sample of all servers.
	sampled bool
	// failedAt is the last failure of the path without a verdict; zero if there is none.
	failedAt time.Time
	// unreachedAt is when neither this VM nor a peer got an answer.
	unreachedAt time.Time
	// downUntil is until when no peer is asked to carry requests.
	downUntil time.Time
	// probing: a probe is in flight. probedAt is when the last one began.
	probing  bool
	probedAt time.Time
}

// New returns a Table in which all paths are good.
func New() *Table { return &Table{servers: map[Addr]*server{}} }

func (t *Table) server(a Addr) *server {
	s := t.servers[a]
	if s == nil {
		s = &server{}
		t.servers[a] = s
	}
	return s
}

// Isolated reports whether all paths of this VM are lost.
func (t *Table) Isolated() bool { return t.isolated }

// Hopeless reports whether neither this VM nor any peer that it asked reaches servers, so that requests
// are better refused than tried.
func (t *Table) Hopeless(now time.Time) bool { return now.Before(t.hopelessUntil) }

// Path returns the path of a request. One that may run only once isn't sent over a path in doubt:
// it would be lost.
func (t *Table) Path(now time.Time, a Addr, once bool) Path {
	if t.Isolated() || t.mayBeIsolated(now) || once && now.Before(t.doubtUntil) {
		return Carried
	}
	s := t.servers[a]
	switch {
	case s == nil:
		return Direct
	case !s.lostAt.IsZero(), once && s.inDoubt(now):
		return Carried
	case now.Before(s.downUntil):
		return DirectOnly
	}
	return Direct
}

// mayBeIsolated reports whether a path was lost and no server has answered directly since, while
// probes of other servers are in flight.
func (t *Table) mayBeIsolated(now time.Time) bool {
	return t.lostAt.After(t.answeredAt) && now.Sub(t.lostAt) < doubtTime
}

func (s *server) inDoubt(now time.Time) bool {
	return !s.failedAt.IsZero() && now.Sub(s.failedAt) < doubtTime
}

// IsLost reports whether the path to a server is lost: a failure then says nothing of the server.
func (t *Table) IsLost(a Addr) bool {
	s := t.servers[a]
	return t.Isolated() || s != nil && !s.lostAt.IsZero()
}

// lastSign returns when a server last showed that this VM has a path to it.
func (t *Table) lastSign() time.Time { return shed.Later(t.answeredAt, t.heardAt) }

// Suspect throws doubt on the path to a server that is silent, and on all paths if all servers are,
// unless the server was probed lately.
func (t *Table) Suspect(now time.Time, a Addr, allSilent bool) {
	s := t.server(a)
	if s.probing || now.Sub(s.probedAt) < probeInterval {
		return
	}
	s.failedAt = now
	if allSilent {
		t.doubtUntil = now.Add(doubtTime)
	}
}

// AnsweredDirectly records an answer over a new direct connection.
func (t *Table) AnsweredDirectly(now time.Time, a Addr) {
	t.answeredAt, t.doubtUntil, t.hopelessUntil = now, time.Time{}, time.Time{}
	t.restore(a)
}

// restore ends the loss of the path to a server. If all paths were lost, the others are in doubt for
// a moment: they may have come back too.
func (t *Table) restore(a Addr) {
	if t.Isolated() {
		for _, s := range t.servers {
			if !s.lostAt.IsZero() {
				s.lostAt, s.failedAt = time.Time{}, t.answeredAt
			}
		}
		t.isolated = false
	}
	if s := t.servers[a]; s != nil {
		s.lostAt, s.failedAt, s.downUntil, s.unreachedAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	}
}

// Heard records that a server sent something over a direct connection at a time.
func (t *Table) Heard(at time.Time) {
	if at.After(t.heardAt) {
		t.heardAt, t.hopelessUntil = at, time.Time{}
	}
}

// AnsweredCarried records an answer over a connection that a peer carries.
func (t *Table) AnsweredCarried(now time.Time) { t.carriedAt, t.hopelessUntil = now, time.Time{} }

// Silence returns how long no server has sent this VM anything.
func (t *Table) Silence(now time.Time) time.Duration { return now.Sub(t.heardAt) }

// Unreached records that this VM got no answer from a server and no peer got further. listed is as in
// Compared.
func (t *Table) Unreached(now time.Time, a Addr, listed int) {
	t.server(a).unreachedAt = now
	// The peers that this VM asked may have lost their paths too: while another one reaches servers, there is hope.
	sign := shed.Later(t.lastSign(), t.carriedAt)
	if !t.unansweredSince.After(sign) {
		t.unansweredSince = now
	}
	connected := t.connectedAt.After(sign)
	if now.Sub(sign) < hopelessSilence || connected && now.Sub(t.unansweredSince) < connectedSilence {
		return
	}
	unreached := 0
	for _, s := range t.servers {
		if s.unreachedAt.After(sign) {
			unreached++
		}
	}
	if unreached >= min(isolationServers, listed) {
		t.hopelessUntil = now.Add(hopelessTime)
	}
}

// Failed records that a direct connection failed, broke or fell silent.
func (t *Table) Failed(now time.Time, a Addr) { t.server(a).failedAt = now }

// Compared records how far this VM and a peer got with the same server at the same time. listed is
// the number of servers that are listed.
func (t *Table) Compared(now time.Time, a Addr, direct, carried Level, listed int) {
	s := t.server(a)
	switch {
	case carried > direct:
		s.lostAt, s.lostLevel, s.failedAt, s.downUntil = now, direct, time.Time{}, time.Time{}
		t.lostAt, t.hopelessUntil = now, time.Time{}
		if carried == Answered {
			t.AnsweredCarried(now)
		}
		// A request that could not connect is compared outside a probe.
		s.sampled = s.sampled && s.probing
		t.judge(listed)
	case direct == Answered:
		t.AnsweredDirectly(now, a)
	default:
		s.failedAt, s.downUntil = time.Time{}, now.Add(downTime)
		if direct == Connected {
			t.connectedAt = now
		}
		if carried == Connected {
			t.evenAt, t.isolated = now, false
		}
		t.Unreached(now, a, listed)
	}
}

// judge decides whether all paths are lost. Servers in doubt are often of one pool or zone, whose path
// alone may be lost while others are silent, so one of a sample of all has to be among the lost ones.
func (t *Table) judge(listed int) {
	lost, sampled := 0, false
	for _, s := range t.servers {
		if s.lostAt.After(shed.Later(t.answeredAt, t.evenAt)) {
			lost++
			sampled = sampled || s.sampled
		}
	}
	t.isolated = t.isolated || lost >= min(isolationServers, listed) && (sampled || lost >= listed)
}

// ProbedDirectly records how far a probe of a server whose path is lost got.
func (t *Table) ProbedDirectly(now time.Time, a Addr, level Level) {
	s := t.server(a)
	if level == Answered || !s.lostAt.IsZero() && level > s.lostLevel {
		t.AnsweredDirectly(now, a)
	}
}

// Lost returns the servers whose path is lost, sorted.
func (t *Table) Lost() []Addr {
	var out []Addr
	for a, s := range t.servers {
		if !s.lostAt.IsZero() {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// Retain forgets servers that are no longer listed.
func (t *Table) Retain(listed func(Addr) bool) {
	maps.DeleteFunc(t.servers, func(a Addr, _ *server) bool { return !listed(a) })
}
