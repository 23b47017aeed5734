// Package config decides which revision of the rules is in force on this
// daemon, and distributes revisions over the fleet.
//
// A few daemons of each zone watch the platform; the others learn of a revision
// from peers and pull it. The revision in force only ever grows, a revision is
// applied as a whole or not at all, and a daemon knows how long ago its own was
// last confirmed to be the newest.
package config

import (
	"math/rand/v2"
	"time"

	shed "jasmineshed"
)

// Defaults of Config.
const (
	defaultWatchers        = 3
	defaultFanout          = 4
	defaultConfirmationTTL = 3 * time.Second
	defaultWatchTimeout    = 500 * time.Millisecond
	defaultStartWait       = time.Second
	defaultColdReadSpread  = 150 * time.Millisecond
)

// Config builds a State.
type Config struct {
	Self shed.Peer
	Zone shed.ZoneID
	// Compile turns a text into rules. It must depend on nothing but its arguments.
	Compile func(text []byte, rev shed.Revision) (*shed.Rules, error)
	// Seed of the package's random choices.
	Seed uint64
	// SeedPeers is the number of peer addresses in the settings. If it is above 0, a daemon that
	// sees no peer yet waits longer before it reads the whole configuration itself.
	SeedPeers int
	// Watchers is how many daemons of a zone watch the platform.
	Watchers int
	// Fanout is the number of children of each daemon in its zone's tree.
	Fanout int
	// ConfirmationTTL is how long after a confirmation the revision counts as fresh.
	ConfirmationTTL time.Duration
	// WatchTimeout is the longest time that one watch of the platform waits for a change.
	WatchTimeout time.Duration
	// StartWait bounds how long a starting daemon waits for its peers' answers.
	StartWait time.Duration
	// ColdReadSpread, multiplied by the number of zones, is the time over which the zones'
	// first full reads spread when no daemon has a configuration.
	ColdReadSpread time.Duration
}

func (c Config) withDefaults() Config {
	if c.Watchers == 0 {
		c.Watchers = defaultWatchers
	}
	if c.Fanout == 0 {
		c.Fanout = defaultFanout
	}
	if c.ConfirmationTTL == 0 {
		c.ConfirmationTTL = defaultConfirmationTTL
	}
	if c.WatchTimeout == 0 {
		c.WatchTimeout = defaultWatchTimeout
	}
	if c.StartWait == 0 {
		c.StartWait = defaultStartWait
	}
	if c.ColdReadSpread == 0 {
		c.ColdReadSpread = defaultColdReadSpread
	}
	return c
}

// State is the state machine that decides on configurations. It is not safe for
// concurrent use.
type State struct {
	cfg      Config
	rng      *rand.Rand
	current  current
	topology topology
	clock    clock
	fresh    fresh
	reads    reads
	fetch    fetch
	start    start
	counts   Counts
}

// current is the revision in force.
type current struct {
	// rules is nil until the first revision was applied.
	rules *shed.Rules
	index shed.ConfigIndex
	// parts holds exactly the parts that index lists.
	parts map[shed.PartHash][]byte
	// hashes are the sorted hashes of parts. The slice is shared with reads and pulls and
	// never modified.
	hashes []shed.PartHash
}

// New returns a State without a configuration.
func New(cfg Config) *State {
	cfg = cfg.withDefaults()
	s := &State{
		cfg: cfg,
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
	}
	s.fresh.sequence = uint64(cfg.Self.Incarnation)
	s.SetPeers(nil, nil)
	return s
}

// Handle processes one event and returns the actions to perform.
func (s *State) Handle(now time.Time, ev shed.Event) []shed.Action {
	var out []shed.Action
	if s.clock.observe(now, ev) {
		out = s.resync(now)
	}
	switch ev := ev.(type) {
	case shed.Tick:
		return append(out, s.handleTick(now)...)
	case shed.ConfigRead:
		return append(out, s.handleRead(now, ev)...)
	case shed.PeerMessage:
		return append(out, s.handleMessage(now, ev)...)
	}
	return out
}

func (s *State) handleTick(now time.Time) []shed.Action {
	out := s.startTick(now)
	out = append(out, s.readIfDue(now)...)
	out = append(out, s.queryIfDue(now)...)
	return append(out, s.pullIfDue(now)...)
}

func (s *State) handleMessage(now time.Time, ev shed.PeerMessage) []shed.Action {
	switch m := ev.Message.(type) {
	case shed.ConfigDigest:
		return s.handleDigest(now, ev.From.VM, m)
	case shed.ConfigPull:
		return s.handlePull(now, ev.From.VM, m)
	case shed.ConfigPush:
		return s.handlePush(now, ev.From.VM, m)
	}
	return nil
}

// Rules returns the configuration in force; nil if there is none yet.
func (s *State) Rules() *shed.Rules { return s.current.rules }

// Fresh reports whether the revision in force was confirmed to be the newest within
// ConfirmationTTL. A daemon that is not fresh assigns no new work to other zones.
func (s *State) Fresh(now time.Time) bool {
	if s.clock.jumped(now) {
		return false
	}
	age, known := s.fresh.age(now)
	return s.current.rules != nil && known && age <= s.cfg.ConfirmationTTL
}

// Ready reports whether there is a configuration in force that was compared with those
// of the peers since the start and since the last pause.
func (s *State) Ready() bool { return s.current.rules != nil && s.start.done }

// Digest describes the revision in force, to be sent along with other messages.
func (s *State) Digest(now time.Time) shed.ConfigDigest {
	age, known := s.fresh.age(now)
	return shed.ConfigDigest{
		Revision:       s.current.index.Revision,
		ConfirmedAgo:   age,
		NeverConfirmed: !known,
	}
}

// Counts counts events since the start.
type Counts struct {
	// Reads of the platform, including ReadErrors.
	Reads, ReadErrors int
	// StaleReads returned an older revision than was seen before.
	StaleReads int
	// PartialReads lacked a part.
	PartialReads int
	// Invalid revisions received from the platform.
	Invalid int
	// Applied counts the revisions put in force.
	Applied int
	// Pulls sent to peers, and Served pulls of peers.
	Pulls, Served int
	// BadPushes were refused: not requested, with a part that doesn't match its hash, or
	// with rules that have faults.
	BadPushes int
	// Queries counts sent digests that request one back.
	Queries int
	// Pauses counts pauses of the process.
	Pauses int
}

// Status describes the daemon's configuration.
type Status struct {
	Revision shed.Revision
	Ready    bool
	Fresh    bool
	// ConfirmedAgo is how long ago the revision was known to be the newest; undefined if
	// NeverConfirmed.
	ConfirmedAgo   time.Duration
	NeverConfirmed bool
	// Watching is true if this daemon is one of its zone's watchers.
	Watching bool
	// PeersAsked and PeersReplied count the peers queried, and those that replied, since the
	// last start or pause.
	PeersAsked, PeersReplied int
	// Invalid is the platform's newest revision if it has faults, else 0.
	Invalid shed.Revision
	// Faults of the invalid revision.
	Faults string
	Counts Counts
}

// Status returns the state for operators.
func (s *State) Status(now time.Time) Status {
	digest := s.Digest(now)
	return Status{
		Revision:       digest.Revision,
		Ready:          s.Ready(),
		Fresh:          s.Fresh(now),
		ConfirmedAgo:   digest.ConfirmedAgo,
		NeverConfirmed: digest.NeverConfirmed,
		Watching:       s.topology.level == 0,
		PeersAsked:     len(s.start.queried),
		PeersReplied:   s.start.replies,
		Invalid:        s.reads.invalid,
		Faults:         s.reads.faults,
		Counts:         s.counts,
	}
}
