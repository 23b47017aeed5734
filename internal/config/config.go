// Package config decides which revision of the rules is in force on this
// daemon, and how revisions spread over the fleet.
//
// Few daemons of each zone watch the platform; the rest hear of a revision from
// peers and pull it. The revision in force only ever grows, a revision is taken
// whole or not at all, and a daemon knows how long ago its own was the newest.
package config

import (
	"math/rand/v2"
	"time"

	shed "jasmineshed"
)

// Defaults of Config.
const (
	defaultWatchers  = 3
	defaultFanout    = 4
	defaultFreshFor  = 3 * time.Second
	defaultWatchFor  = 500 * time.Millisecond
	defaultStartWait = time.Second
	defaultColdSpan  = 150 * time.Millisecond
)

// Config builds a State.
type Config struct {
	Self shed.Peer
	Zone shed.ZoneID
	// Compile turns a text into rules. It depends on nothing but its arguments.
	Compile func(text []byte, rev shed.Revision) (*shed.Rules, error)
	// Seed of the package's random choices.
	Seed uint64
	// SeedPeers is how many peers the settings name. With some, a daemon that sees
	// no peer yet waits longer before it reads the whole configuration itself.
	SeedPeers int
	// Watchers is how many daemons of a zone watch the platform.
	Watchers int
	// Fanout is how many daemons ask one daemon of the level above.
	Fanout int
	// ConfirmationTTL is how long a confirmation counts.
	ConfirmationTTL time.Duration
	// WatchTimeout is how long one watch of the platform waits.
	WatchTimeout time.Duration
	// StartWait bounds how long a starting daemon waits for its peers' answers.
	StartWait time.Duration
	// ColdReadSpread, times the number of zones, is the time over which the zones'
	// first whole reads spread when nobody has a configuration.
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
		c.ConfirmationTTL = defaultFreshFor
	}
	if c.WatchTimeout == 0 {
		c.WatchTimeout = defaultWatchFor
	}
	if c.StartWait == 0 {
		c.StartWait = defaultStartWait
	}
	if c.ColdReadSpread == 0 {
		c.ColdReadSpread = defaultColdSpan
	}
	return c
}

// State is the one decision on configurations. It is not safe for use by many
// goroutines.
type State struct {
	cfg    Config
	rng    *rand.Rand
	held   held
	near   near
	clock  clock
	fresh  fresh
	reads  reads
	fetch  fetch
	start  start
	counts Counts
}

// held is the revision in force.
type held struct {
	// rules is nil until the first revision was taken.
	rules *shed.Rules
	index shed.ConfigIndex
	// parts are exactly those of index.
	parts map[shed.PartHash][]byte
	// list are the hashes of parts, sorted. It goes along with reads and pulls
	// and is never changed.
	list []shed.PartHash
}

// New makes a State that holds no configuration.
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

// Handle takes in one event and says what to do.
func (s *State) Handle(now time.Time, ev shed.Event) []shed.Action {
	var out []shed.Action
	if s.clock.woke(now, ev) {
		out = s.wake(now)
	}
	switch ev := ev.(type) {
	case shed.Tick:
		return append(out, s.tick(now)...)
	case shed.ConfigRead:
		return append(out, s.read(now, ev)...)
	case shed.PeerMessage:
		return append(out, s.message(now, ev)...)
	}
	return out
}

func (s *State) tick(now time.Time) []shed.Action {
	out := s.startTick(now)
	out = append(out, s.readDue(now)...)
	out = append(out, s.askDue(now)...)
	return append(out, s.pullDue(now)...)
}

func (s *State) message(now time.Time, ev shed.PeerMessage) []shed.Action {
	switch m := ev.Message.(type) {
	case shed.ConfigDigest:
		return s.digest(now, ev.From.VM, m)
	case shed.ConfigPull:
		return s.serve(now, ev.From.VM, m)
	case shed.ConfigPush:
		return s.pushed(now, ev.From.VM, m)
	}
	return nil
}

// Rules is the configuration in force; nil if there is none yet.
func (s *State) Rules() *shed.Rules { return s.held.rules }

// Fresh tells whether the revision in force was the newest within ConfirmationTTL. A
// daemon that is not fresh hands no new work to other zones.
func (s *State) Fresh(now time.Time) bool {
	if s.clock.leapt(now) {
		return false
	}
	age, known := s.fresh.age(now)
	return s.held.rules != nil && known && age <= s.cfg.ConfirmationTTL
}

// Ready tells whether there is a configuration in force that was held against
// what the peers have, since the start and since the last pause.
func (s *State) Ready() bool { return s.held.rules != nil && s.start.done }

// Digest says what is in force here, for sending along with other messages.
func (s *State) Digest(now time.Time) shed.ConfigDigest {
	age, known := s.fresh.age(now)
	return shed.ConfigDigest{
		Revision:       s.held.index.Revision,
		ConfirmedAgo:   age,
		NeverConfirmed: !known,
	}
}

// Counts of what happened since the start.
type Counts struct {
	// Reads of the platform, ReadErrors among them.
	Reads, ReadErrors int
	// StaleReads gave an older revision than was seen before.
	StaleReads int
	// PartialReads lacked a part.
	PartialReads int
	// Invalid revisions that the platform gave.
	Invalid int
	// Applied revisions.
	Applied int
	// Pulls sent, and served to others.
	Pulls, Served int
	// BadPushes were refused: not asked for, a part not what its hash says, or
	// rules with faults.
	BadPushes int
	// Queries sent for a digest.
	Queries int
	// Pauses counts pauses of the process.
	Pauses int
}

// Status is what the daemon believes of its configuration.
type Status struct {
	Revision shed.Revision
	Ready    bool
	Fresh    bool
	// ConfirmedAgo is how long ago the revision was known to be the newest; void
	// if Never.
	ConfirmedAgo   time.Duration
	NeverConfirmed bool
	// Watching: this daemon is one of its zone's readers.
	Watching bool
	// PeersAsked and PeersReplied count peers at the last start or wake.
	PeersAsked, PeersReplied int
	// Invalid is the platform's newest revision if it has faults, else 0.
	Invalid shed.Revision
	// Faults of the invalid revision.
	Faults string
	Counts Counts
}

// Status for operators.
func (s *State) Status(now time.Time) Status {
	digest := s.Digest(now)
	return Status{
		Revision:       digest.Revision,
		Ready:          s.Ready(),
		Fresh:          s.Fresh(now),
		ConfirmedAgo:   digest.ConfirmedAgo,
		NeverConfirmed: digest.NeverConfirmed,
		Watching:       s.near.level == 0,
		PeersAsked:     len(s.start.asked),
		PeersReplied:   s.start.heard,
		Invalid:        s.reads.invalid,
		Faults:         s.reads.faults,
		Counts:         s.counts,
	}
}
