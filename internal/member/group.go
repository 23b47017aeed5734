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

	// ProbeEvery is the length of a round.
	ProbeEvery time.Duration
	// AckAfter is how long an ack may take before others are asked to probe,
	// and then how long theirs may take.
	AckAfter time.Duration
	// SuspectFor is how long a suspect may deny its death.
	SuspectFor time.Duration
	// DeadEvery is how often one VM that is dead or unknown is tried.
	DeadEvery time.Duration
	// VMsEvery is how often the platform's list is read.
	VMsEvery time.Duration
	// FreezeAfter is the longest gap between two ticks that is no freeze.
	FreezeAfter time.Duration
	// LeaseFor is how long an answer of a peer confirms the view.
	LeaseFor time.Duration
	// KeepDead is how long the dead and the heirs of those that left are
	// remembered.
	KeepDead time.Duration
	// MaxAhead is how far an incarnation, which is a wall clock, may lie in
	// the future.
	MaxAhead time.Duration
	// JoinFor is how long a new process has rounds of JoinEvery, so that it knows
	// all others soon; 0 if it has none.
	JoinFor, JoinEvery time.Duration
	// SyncMost bounds the members in an answer to a peer whose view differs.
	SyncMost int
	// Power is how strong this VM is beside others, as it tells them.
	Power float64
}

// Defaults for what a Config leaves at 0.
const (
	DefaultProbeEvery  = time.Second
	DefaultAckAfter    = 500 * time.Millisecond
	DefaultSuspectFor  = 3 * time.Second
	DefaultDeadEvery   = 2 * time.Second
	DefaultVMsEvery    = 30 * time.Second
	DefaultFreezeAfter = time.Second
	DefaultLeaseFor    = 5 * time.Second
	DefaultKeepDead    = time.Hour
	DefaultMaxAhead    = time.Hour
	DefaultSyncMost    = 12
)

// How many are probed and told.
const (
	// ringProbes is how many successors on the zone's ring a process watches in
	// each round, so each is watched by as many.
	ringProbes = 2
	// randomProbes is how many others of the zone it probes, in random order.
	randomProbes = 1
	// remoteProbes is how many contacts in other zones it probes.
	remoteProbes = 2
	// unknownProbes is how many VMs of its zone that it never heard it tries.
	unknownProbes = 2
	// relayProbes is how many peers are asked to probe for it.
	relayProbes = 3
	// maxContacts is how many processes of each other zone it knows.
	maxContacts = 3
	// maxGossip bounds the members in a message, in the normal case.
	maxGossip = 5
	// spreadFactor times the binary logarithm of the zone's size is how often
	// one piece of news is sent on.
	spreadFactor = 3
	// maxDepartures bounds the memory of those that left.
	maxDepartures = 4096
	// minConfirmations is how many peers must answer for a view to be confirmed.
	minConfirmations = 2
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

	// unresponsive is when a VM that was never heard last failed to answer.
	unresponsive map[shed.VM]time.Time

	updates    []update
	departures map[shed.Peer]departure
	// departureOrder holds the keys of heirs, oldest first.
	departureOrder []shed.Peer

	pending      []pendingProbe // by sequence
	sequence     uint64
	randomOrder  []shed.VM // what is left of this turn's random order
	remoteIndex  int
	unknownIndex int
	syncIndex    int

	nextRound     time.Time
	nextDeadProbe time.Time
	nextVMList    time.Time

	clock clock
	// joinedAt is when the first round began.
	joinedAt         time.Time
	unconfirmedSince time.Time // since when the view is to be confirmed; zero: it is
	// unconfirmedUntil is the soonest end of the confirmation.
	unconfirmedUntil time.Time
	woke             bool
	// overruled: another process with a later incarnation runs on this VM.
	overruled bool

	// view and the contacts far are worked out anew if dirty.
	view   View
	remote []shed.VM
	dirty  bool
}

// record is what is known of a VM's present process.
type record struct {
	shed.Member
	// receivedAt is its last message to this process; acked its last answer.
	receivedAt, ackedAt time.Time
	// ackedProbeSentAt is when the probe that it last answered was sent.
	ackedProbeSentAt time.Time
	// suspectAt is when its death was first held possible; zero: it isn't.
	suspectAt time.Time
	deadAt    time.Time
	// upSince is when this process was first known to be there, or back.
	upSince time.Time
}

// update is a member still to be told to others.
type update struct {
	shed.Member
	sendsLeft int
}

// departure tells where the tickets of a process went.
type departure struct {
	successor shed.Peer
	at        time.Time
}

// New returns a group that knows only itself.
func New(cfg Config) *Group {
	orDefault(&cfg.ProbeEvery, DefaultProbeEvery)
	orDefault(&cfg.AckAfter, DefaultAckAfter)
	orDefault(&cfg.SuspectFor, DefaultSuspectFor)
	orDefault(&cfg.DeadEvery, DefaultDeadEvery)
	orDefault(&cfg.VMsEvery, DefaultVMsEvery)
	orDefault(&cfg.FreezeAfter, DefaultFreezeAfter)
	orDefault(&cfg.LeaseFor, DefaultLeaseFor)
	orDefault(&cfg.KeepDead, DefaultKeepDead)
	orDefault(&cfg.MaxAhead, DefaultMaxAhead)
	if cfg.SyncMost == 0 {
		cfg.SyncMost = DefaultSyncMost
	}
	return &Group{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
		self:         shed.Member{Peer: cfg.Self, Zone: cfg.Zone, Status: shed.StatusAlive, Power: cfg.Power},
		members:      map[shed.VM]*record{},
		listed:       map[shed.VM]shed.VMEntry{},
		departures:   map[shed.Peer]departure{},
		unresponsive: map[shed.VM]time.Time{},
		dirty:        true,
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
	return c.ProbeEvery + 2*c.AckAfter + c.SuspectFor + shed.TickEvery
}

// Handle takes Tick, VMsRead, PeerMessage, PeerLost and StopRequested.
func (g *Group) Handle(now time.Time, ev shed.Event) []shed.Action {
	switch ev := ev.(type) {
	case shed.Tick:
		return g.handleTick(now, ev)
	case shed.VMsRead:
		g.updateList(now, ev)
	case shed.PeerMessage:
		return g.handleMessage(now, ev)
	case shed.PeerLost:
		return g.handlePeerLost(now, ev.Peer)
	case shed.StopRequested:
		return g.Leave(shed.Peer{})
	}
	return nil
}

// Leave tells the zone that this process leaves, and who has its tickets; heir
// may be zero as long as that is open.
func (g *Group) Leave(successor shed.Peer) []shed.Action {
	g.self.Status = shed.StatusLeaving
	if successor != (shed.Peer{}) {
		g.self.Successor = successor
	}
	g.dirty = true
	var out []shed.Action
	for _, vm := range g.zonePeers() {
		out = g.probe(g.clock.now, out, vm)
	}
	for _, vm := range g.remoteContacts() {
		out = g.probe(g.clock.now, out, vm)
	}
	return out
}

func (g *Group) handleTick(now time.Time, handleTick shed.Tick) []shed.Action {
	g.woke = g.clock.tick(now, handleTick, g.cfg.FreezeAfter)
	if g.woke || g.unconfirmedSince.IsZero() && g.nextRound.IsZero() {
		g.requireConfirmation(now)
	}
	if g.woke {
		g.resetAfterFreeze(now)
	}
	out := g.expireProbes(now)
	if !now.Before(g.nextRound) {
		g.nextRound = now.Add(g.roundInterval(now))
		out = g.probeRound(now, out)
	}
	if !now.Before(g.nextVMList) {
		// Jitter, so that a fleet that starts at once doesn't read at once.
		jitter := time.Duration(g.rng.Int64N(int64(g.cfg.VMsEvery/2) + 1))
		g.nextVMList = now.Add(g.cfg.VMsEvery*3/4 + jitter)
		out = append(out, shed.ReadVMs{})
	}
	return out
}

// roundInterval is shorter while this process is new: else VMs that start at once know
// each other only after many rounds.
func (g *Group) roundInterval(now time.Time) time.Duration {
	if g.joinedAt.IsZero() {
		g.joinedAt = now
	}
	if now.Sub(g.joinedAt) < g.cfg.JoinFor {
		return g.cfg.JoinEvery
	}
	return g.cfg.ProbeEvery
}

// resetAfterFreeze forgets what the pause has made void. Acks that came in meanwhile
// wait unread, so silence proves nobody's death; without this the process would
// call the whole zone dead the moment it woke.
func (g *Group) resetAfterFreeze(now time.Time) {
	g.pending = g.pending[:0]
	for _, vm := range g.order {
		r := g.members[vm]
		if !r.suspectAt.IsZero() {
			r.suspectAt = now
		}
	}
}

// updateList takes in the platform's list. It lags, so it only adds VMs to try and
// takes away those that are dead anyway.
func (g *Group) updateList(now time.Time, ev shed.VMsRead) {
	if ev.Failed {
		return
	}
	clear(g.listed)
	for vm, at := range g.unresponsive {
		if now.Sub(at) > unresponsivePeriod {
			delete(g.unresponsive, vm)
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

func (g *Group) addMember(vm shed.VM) *record {
	r := &record{}
	g.members[vm] = r
	at, _ := slices.BinarySearch(g.order, vm)
	g.order = slices.Insert(g.order, at, vm)
	return r
}
