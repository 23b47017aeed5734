// Package member keeps one daemon's view of the other processes: who is alive,
// who left and to whom its tickets went, and whether this process may trust
// what it last knew.
//
// Within a zone every process is known and watched. Of each other zone a few
// contacts are. A round of probes costs the same whatever the size of the zone;
// what changed travels along with the probes. docs/design/membership.md weighs
// this against a full mesh.
package member

import (
	"math/rand/v2"
	"slices"
	"time"

	shed "jasmineshed"
)

// Config sets up a Group. Fields left at 0 get the Default of their name.
type Config struct {
	Self shed.Peer
	Zone shed.ZoneID
	// Seeds are VMs to try first, before the platform's list is known.
	Seeds []shed.VM
	// Seed of the random source.
	Seed uint64

	// ProbeInterval is the length of a round.
	ProbeInterval time.Duration
	// AckTimeout is how long an ack may take before others are asked to probe,
	// and then how long theirs may take.
	AckTimeout time.Duration
	// SuspectTimeout is how long a suspect may deny its death.
	SuspectTimeout time.Duration
	// DeadProbeInterval is how often one VM that is dead or unknown is tried.
	DeadProbeInterval time.Duration
	// VMListInterval is how often the platform's list is read.
	VMListInterval time.Duration
	// MaxTickGap is the longest gap between two ticks that is no freeze.
	MaxTickGap time.Duration
	// LeaseDuration is how long an answer of a peer confirms the view.
	LeaseDuration time.Duration
	// DeadRetention is how long the dead and the heirs of those that left are
	// remembered.
	DeadRetention time.Duration
	// MaxClockAhead is how far an incarnation, which is a wall clock, may lie in
	// the future.
	MaxClockAhead time.Duration
	// JoinDuration is how long a new process has rounds of JoinInterval, so that it knows
	// all others soon; 0 if it has none.
	JoinDuration, JoinInterval time.Duration
	// MaxSyncMembers bounds the members in an answer to a peer whose view differs.
	MaxSyncMembers int
	// Power is how strong this VM is beside others, as it tells them.
	Power float64
}

// Defaults for what a Config leaves at 0.
const (
	DefaultProbeInterval     = time.Second
	DefaultAckTimeout        = 500 * time.Millisecond
	DefaultSuspectTimeout    = 3 * time.Second
	DefaultDeadProbeInterval = 2 * time.Second
	DefaultVMListInterval    = 30 * time.Second
	DefaultMaxTickGap        = time.Second
	DefaultLeaseDuration     = 5 * time.Second
	DefaultDeadRetention     = time.Hour
	DefaultMaxClockAhead     = time.Hour
	DefaultMaxSyncMembers    = 12
)

// How many are probed and told.
const (
	// ringWatch is how many successors on the zone's ring a process watches in
	// each round, so each is watched by as many.
	ringWatch = 2
	// roundRandom is how many others of the zone it probes, in random order.
	roundRandom = 1
	// roundFar is how many contacts in other zones it probes.
	roundFar = 2
	// roundUnknown is how many VMs of its zone that it never heard it tries.
	roundUnknown = 2
	// relays is how many peers are asked to probe for it.
	relays = 3
	// contactsMax is how many processes of each other zone it knows.
	contactsMax = 3
	// gossipMax bounds the members in a message, in the normal case.
	gossipMax = 5
	// spreadFactor times the binary logarithm of the zone's size is how often
	// one piece of news is sent on.
	spreadFactor = 3
	// heirsMax bounds the memory of those that left.
	heirsMax = 4096
	// confirmers is how many peers must answer for a view to be confirmed.
	confirmers = 2
)

// The reasons of the notes that this package takes.
const (
	ReasonStaleIncarnation  shed.Reason = "stale_incarnation"
	ReasonForgedIncarnation shed.Reason = "forged_incarnation"
	ReasonOverruled         shed.Reason = "incarnation_overruled"
	ReasonPeerSuspect       shed.Reason = "peer_suspect"
	ReasonPeerDead          shed.Reason = "peer_dead"
	ReasonPeerBack          shed.Reason = "peer_back"
)

// Group is the view of the processes.
type Group struct {
	cfg Config
	rng *rand.Rand

	// self is what this process tells of itself.
	self    shed.Member
	members map[shed.VM]*record
	order   []shed.VM // sorted keys of members
	listed  map[shed.VM]shed.VMEntry
	// listedAt is when the platform last gave its list.
	listedAt time.Time

	// mute is when a VM that was never heard last failed to answer.
	mute map[shed.VM]time.Time

	news  []news
	heirs map[shed.Peer]left
	// heirOrder holds the keys of heirs, oldest first.
	heirOrder []shed.Peer

	pending  []pending // by sequence
	sequence uint64
	shuffled []shed.VM // what is left of this turn's random order
	farAt    int
	lostAt   int
	syncAt   int

	nextRound time.Time
	nextDead  time.Time
	nextVMs   time.Time

	clock clock
	// joined is when the first round began.
	joined time.Time
	unsure time.Time // since when the view is to be confirmed; zero: it is
	// doubtUntil is the soonest end of the confirmation.
	doubtUntil time.Time
	woke       bool
	// overruled: another process with a later incarnation runs on this VM.
	overruled bool

	// view and the contacts far are worked out anew if dirty.
	view  View
	far   []shed.VM
	dirty bool
}

// record is what is known of a VM's present process.
type record struct {
	shed.Member
	// heard is its last message to this process; acked its last answer.
	heard, acked time.Time
	// asked is when the probe that it last answered was sent.
	asked time.Time
	// suspectAt is when its death was first held possible; zero: it isn't.
	suspectAt time.Time
	deadAt    time.Time
	// since is when this process was first known to be there, or back.
	since time.Time
}

// news is a member still to be told to others.
type news struct {
	shed.Member
	left int
}

// left tells where the tickets of a process went.
type left struct {
	heir shed.Peer
	at   time.Time
}

// New returns a group that knows only itself.
func New(cfg Config) *Group {
	orDefault(&cfg.ProbeInterval, DefaultProbeInterval)
	orDefault(&cfg.AckTimeout, DefaultAckTimeout)
	orDefault(&cfg.SuspectTimeout, DefaultSuspectTimeout)
	orDefault(&cfg.DeadProbeInterval, DefaultDeadProbeInterval)
	orDefault(&cfg.VMListInterval, DefaultVMListInterval)
	orDefault(&cfg.MaxTickGap, DefaultMaxTickGap)
	orDefault(&cfg.LeaseDuration, DefaultLeaseDuration)
	orDefault(&cfg.DeadRetention, DefaultDeadRetention)
	orDefault(&cfg.MaxClockAhead, DefaultMaxClockAhead)
	if cfg.MaxSyncMembers == 0 {
		cfg.MaxSyncMembers = DefaultMaxSyncMembers
	}
	return &Group{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
		self:    shed.Member{Peer: cfg.Self, Zone: cfg.Zone, Status: shed.StatusAlive, Power: cfg.Power},
		members: map[shed.VM]*record{},
		listed:  map[shed.VM]shed.VMEntry{},
		heirs:   map[shed.Peer]left{},
		mute:    map[shed.VM]time.Time{},
		dirty:   true,
	}
}

func orDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// DetectBound is the longest time from the death of a process to the moment
// when its watchers call it dead.
func (c Config) DetectBound() time.Duration {
	return c.ProbeInterval + 2*c.AckTimeout + c.SuspectTimeout + shed.TickEvery
}

// Handle takes Tick, VMsRead, PeerMessage, PeerLost and StopRequested.
func (g *Group) Handle(now time.Time, ev shed.Event) []shed.Action {
	switch ev := ev.(type) {
	case shed.Tick:
		return g.tick(now, ev)
	case shed.VMsRead:
		g.vmsRead(now, ev)
	case shed.PeerMessage:
		return g.message(now, ev)
	case shed.PeerLost:
		return g.peerLost(now, ev.Peer)
	case shed.StopRequested:
		return g.Leave(shed.Peer{})
	}
	return nil
}

// Leave tells the zone that this process leaves, and who has its tickets; heir
// may be zero as long as that is open.
func (g *Group) Leave(heir shed.Peer) []shed.Action {
	g.self.Status = shed.StatusLeaving
	if heir != (shed.Peer{}) {
		g.self.Successor = heir
	}
	g.dirty = true
	var out []shed.Action
	for _, vm := range g.zonePeers() {
		out = g.probe(g.clock.now, out, vm)
	}
	for _, vm := range g.farContacts() {
		out = g.probe(g.clock.now, out, vm)
	}
	return out
}

func (g *Group) tick(now time.Time, tick shed.Tick) []shed.Action {
	g.woke = g.clock.tick(now, tick, g.cfg.MaxTickGap)
	if g.woke || g.unsure.IsZero() && g.nextRound.IsZero() {
		g.doubt(now)
	}
	if g.woke {
		g.afterFreeze(now)
	}
	out := g.expire(now)
	if !now.Before(g.nextRound) {
		g.nextRound = now.Add(g.roundLength(now))
		out = g.round(now, out)
	}
	if !now.Before(g.nextVMs) {
		// Jitter, so that a fleet that starts at once doesn't read at once.
		jitter := time.Duration(g.rng.Int64N(int64(g.cfg.VMListInterval/2) + 1))
		g.nextVMs = now.Add(g.cfg.VMListInterval*3/4 + jitter)
		out = append(out, shed.ReadVMs{})
	}
	return out
}

// roundLength is shorter while this process is new: else VMs that start at once know
// each other only after many rounds.
func (g *Group) roundLength(now time.Time) time.Duration {
	if g.joined.IsZero() {
		g.joined = now
	}
	if now.Sub(g.joined) < g.cfg.JoinDuration {
		return g.cfg.JoinInterval
	}
	return g.cfg.ProbeInterval
}

// afterFreeze forgets what the pause has made void. Acks that came in meanwhile
// wait unread, so silence proves nobody's death; without this the process would
// call the whole zone dead the moment it woke.
func (g *Group) afterFreeze(now time.Time) {
	g.pending = g.pending[:0]
	for _, vm := range g.order {
		r := g.members[vm]
		if !r.suspectAt.IsZero() {
			r.suspectAt = now
		}
	}
}

// vmsRead takes in the platform's list. It lags, so it only adds VMs to try and
// takes away those that are dead anyway.
func (g *Group) vmsRead(now time.Time, ev shed.VMsRead) {
	if ev.Failed {
		return
	}
	clear(g.listed)
	for vm, at := range g.mute {
		if now.Sub(at) > muteFor {
			delete(g.mute, vm)
		}
	}
	for _, e := range ev.VMs {
		if e.VM != "" && e.VM != g.self.Peer.VM {
			g.listed[e.VM] = e
		}
	}
	g.listedAt = now
	g.dirty = true
}

func (g *Group) zoneOf(vm shed.VM) shed.ZoneID {
	if r := g.members[vm]; r != nil {
		return r.Zone
	}
	return g.listed[vm].Zone
}

func (g *Group) add(vm shed.VM) *record {
	r := &record{}
	g.members[vm] = r
	at, _ := slices.BinarySearch(g.order, vm)
	g.order = slices.Insert(g.order, at, vm)
	return r
}
