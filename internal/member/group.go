// Package member maintains one daemon's view of the other processes: which are alive, which left
// and which successor got their tickets, and whether this process may trust its view.
//
// A process knows and monitors all other processes of its zone, and a few contacts in each other
// zone. The cost of a round of probes does not depend on the size of the zone; changes are gossiped
// with the probes. docs/design/membership.md compares this with a full mesh.
package member

import (
	"math/rand/v2"
	"slices"
	"time"

	shed "jasmineshed"
)

// Config configures a Group. Fields that are 0 get the Default of their name.
type Config struct {
	Self shed.Peer
	Zone shed.ZoneID
	// Seeds are the VMs to try first, before the platform's list is known.
	Seeds []shed.VM
	// Seed is the seed of the random source.
	Seed uint64

	// ProbeInterval is the interval between rounds of probes.
	ProbeInterval time.Duration
	// AckTimeout is the time-out of a direct probe, after which other peers are asked to probe, and
	// then the time-out of their probes.
	AckTimeout time.Duration
	// SuspectTimeout is how long a suspect has to refute its death.
	SuspectTimeout time.Duration
	// DeadProbeInterval is the interval between probes of dead VMs, one at a time.
	DeadProbeInterval time.Duration
	// VMListInterval is the interval at which the platform's list of VMs is read.
	VMListInterval time.Duration
	// MaxTickGap is the longest gap between two ticks that is not taken for a pause.
	MaxTickGap time.Duration
	// LeaseDuration is how long an answer of a peer confirms the view.
	LeaseDuration time.Duration
	// DeadRetention is how long dead processes, and the successors of those that left, are remembered.
	DeadRetention time.Duration
	// MaxClockAhead is how far in the future an incarnation, which is a wall-clock time, may lie.
	MaxClockAhead time.Duration
	// JoinDuration is how long a new process probes at intervals of JoinInterval, so that it soon
	// knows all others; 0 for no such phase.
	JoinDuration, JoinInterval time.Duration
	// MaxSyncMembers limits the number of members in an answer to a peer whose view differs.
	MaxSyncMembers int
	// Power is this VM's capacity relative to others, as announced to them.
	Power float64
}

// Defaults of the Config fields that are 0.
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

// Numbers of probes per round, and limits of gossip and memory.
const (
	// ringProbes is the number of next VMs on the zone's ring that a process probes in each round;
	// each process is probed by as many.
	ringProbes = 2
	// randomProbes is the number of other VMs of the zone that it probes, in random order.
	randomProbes = 1
	// remoteProbes is the number of contacts in other zones that it probes.
	remoteProbes = 2
	// unknownProbes is the number of VMs of its zone that it probes among those that never
	// answered.
	unknownProbes = 2
	// relayProbes is the number of peers that are asked to probe on its behalf.
	relayProbes = 3
	// maxContacts is the number of processes it knows in each other zone.
	maxContacts = 3
	// maxGossip limits the members in a message while the views agree.
	maxGossip = 5
	// spreadFactor times the binary logarithm of the zone's size is the number of times that an
	// update is sent.
	spreadFactor = 3
	// maxDepartures limits the number of departed processes that are remembered.
	maxDepartures = 4096
	// minConfirmations is the number of peers that must answer to confirm the view.
	minConfirmations = 2
)

// Reasons of the notes that this package emits.
const (
	ReasonStaleIncarnation  shed.Reason = "stale_incarnation"
	ReasonForgedIncarnation shed.Reason = "forged_incarnation"
	ReasonOverruled         shed.Reason = "incarnation_overruled"
	ReasonPeerSuspect       shed.Reason = "peer_suspect"
	ReasonPeerDead          shed.Reason = "peer_dead"
	ReasonPeerBack          shed.Reason = "peer_back"
)

// Group is the view of the processes. It is not safe for concurrent use.
type Group struct {
	cfg Config
	// allowance is how much longer others may take to answer because this VM itself is late.
	allowance time.Duration
	rng       *rand.Rand

	// self is what this process announces about itself.
	self    shed.Member
	members map[shed.VM]*record
	order   []shed.VM // sorted keys of members
	listed  map[shed.VM]shed.VMEntry
	// listedAt is when the platform's list was last read.
	listedAt time.Time

	// unresponsive is when a VM of which no process is known last failed to answer.
	unresponsive map[shed.VM]time.Time

	updates    []update
	departures map[shed.Peer]departure
	// departureOrder holds the keys of departures, oldest first.
	departureOrder []shed.Peer

	pending      []pendingProbe // by sequence
	sequence     uint64
	randomOrder  []shed.VM // peers not yet probed in the current random order
	remoteIndex  int
	unknownIndex int
	syncIndex    int

	nextRound     time.Time
	nextDeadProbe time.Time
	nextVMList    time.Time

	clock clock
	// joinedAt is when the first round began.
	joinedAt         time.Time
	unconfirmedSince time.Time // acks of probes sent after it confirm the view
	// unconfirmedUntil is the earliest time at which the view can be confirmed.
	unconfirmedUntil time.Time
	paused           bool
	// overruled: another process with a later incarnation runs on this VM.
	overruled bool

	// view and the contacts in remote are recomputed if dirty.
	view   View
	remote []shed.VM
	dirty  bool
}

// record is what is known of a VM's current process.
type record struct {
	shed.Member
	// receivedAt is when its last message was received, or when a relayed probe reached it; ackedAt
	// when it last answered directly.
	receivedAt, ackedAt time.Time
	// ackedProbeSentAt is when the probe that it last answered was sent.
	ackedProbeSentAt time.Time
	// suspectAt is when it was first suspected dead; zero if it isn't.
	suspectAt time.Time
	deadAt    time.Time
	// upSince is when this process was first known to be up, or up again.
	upSince time.Time
}

// update is a change of a member that is still to be gossiped.
type update struct {
	shed.Member
	sendsLeft int
}

// departure records which process got the tickets of one that left.
type departure struct {
	successor shed.Peer
	at        time.Time
}

// New returns a group that knows only its own process.
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

// DetectBound is the longest time from the death of a process until the processes that probe it
// declare it dead.
func (c Config) DetectBound() time.Duration {
	return c.ProbeInterval + 2*c.AckTimeout + c.SuspectTimeout + shed.TickEvery
}

// Handle processes Tick, VMsRead, PeerMessage, PeerLost and StopRequested.
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

// Leave announces that this process leaves, and which successor has its tickets; successor may be
// zero while that is open.
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

func (g *Group) handleTick(now time.Time, tick shed.Tick) []shed.Action {
	g.paused = g.clock.tick(now, tick, g.cfg.MaxTickGap)
	if g.paused || g.unconfirmedSince.IsZero() && g.nextRound.IsZero() {
		g.requireConfirmation(now)
	}
	if g.paused {
		g.resetAfterFreeze(now)
	}
	out := g.expireProbes(now)
	if !now.Before(g.nextRound) {
		g.nextRound = now.Add(g.roundInterval(now))
		out = g.probeRound(now, out)
	}
	if !now.Before(g.nextVMList) {
		// Jitter, so that VMs that start at once don't read at once.
		jitter := time.Duration(g.rng.Int64N(int64(g.cfg.VMListInterval/2) + 1))
		g.nextVMList = now.Add(g.cfg.VMListInterval*3/4 + jitter)
		out = append(out, shed.ReadVMs{})
	}
	return out
}

// roundInterval is shorter while this process is new; otherwise VMs that start at once would need
// many rounds to know each other.
func (g *Group) roundInterval(now time.Time) time.Duration {
	if g.joinedAt.IsZero() {
		g.joinedAt = now
	}
	if now.Sub(g.joinedAt) < g.cfg.JoinDuration {
		return g.cfg.JoinInterval
	}
	return g.cfg.ProbeInterval
}

// resetAfterFreeze discards the probes sent before the pause. Acks that arrived meanwhile are still
// unread, so a missing ack doesn't prove a death; otherwise the process would declare the whole
// zone dead the moment it resumed.
func (g *Group) resetAfterFreeze(now time.Time) {
	g.pending = g.pending[:0]
	for _, vm := range g.order {
		r := g.members[vm]
		if !r.suspectAt.IsZero() {
			r.suspectAt = now
		}
	}
}

// updateList applies the platform's list. The list lags, so it only adds VMs to probe, and removes
// VMs that are dead anyway.
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
