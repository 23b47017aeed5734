package relay

import (
	"context"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/fanout"
	"jasmineshed/internal/follow"
	"jasmineshed/internal/member"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/prefs"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

const (
	// meshZone is the one zone that member sees: any VM may reach any server
	// here, so each VM has to know all others, in all zones.
	meshZone shed.ZoneID = "fleet"
	// The relay holds no state that a wrong verdict of death could double, so it
	// takes a peer for dead sooner than member's defaults: 2.2 s instead of 5.1.
	probeEvery = 500 * time.Millisecond
	ackAfter   = 300 * time.Millisecond
	suspectFor = time.Second
	// joinFor and joinEvery: a new process has short rounds at first. With syncMost
	// members in an answer, it knows a fleet of 78 VMs after two of them.
	joinFor   = 1500 * time.Millisecond
	joinEvery = 200 * time.Millisecond
	syncMost  = 100
	// shunPeerFor is how long a peer that gave no answer gathers no pieces for this
	// VM.
	shunPeerFor = 1500 * time.Millisecond
	// loadMissed is how many of these may be missing before a peer gathers no
	// pieces for this VM. By member alone, the VMs disagreed for two to four
	// seconds after several had died at once; up to eight then gathered for the
	// same servers and found them full.
	loadMissed = 3
	// settleFor is how long a new process gathers nothing and tells no load, so
	// that it knows its peers first: a second gatherer for a pool knows nothing
	// of the calls and the room of the first one.
	settleFor = 700 * time.Millisecond
	// freshMissed is how many load messages a peer may be behind, as a factor of
	// their period, once another peer has given no answer. A zone that is cut off
	// falls silent at once: without it, a VM tried the peers there one after the
	// other, each for half a second or more.
	freshMissed = 1.4
	// settlePoll is how often a request looks whether somebody gathers by now.
	settlePoll = 50 * time.Millisecond
	// renewedBy is added to the incarnation of a process that was overruled: its
	// VM's clock was set back after an earlier process had started.
	renewedBy = 30 * time.Second
)

// mesh is what the relay knows of its peers.
type mesh struct {
	self shed.Peer
	// started is when this process started.
	started time.Time
	// seen is the last sequence of each process's load, heard is when a VM last
	// told its load, to this VM or one that passed it on.
	seen  map[shed.Peer]uint64
	heard map[shed.VM]time.Time
	// waits are what peers said of the pieces that they gather.
	waits map[shed.PoolID]peerWait
	// shunned peers gather nothing for this VM until then.
	shunned map[shed.VM]time.Time
	// present are the VMs that are there, as of presentAt.
	present   []shed.VM
	presentAt time.Time
	// follow decides when what peers know more of the store is read from them.
	follow *follow.Follower
	// news wait to be taken in, the first one is being taken in.
	news []news
	// taking: something of the store is being taken in.
	taking bool
	// coming is what each peer said of the pieces that its requests will ask for,
	// comingSum their sum.
	coming    map[shed.VM]map[shed.PoolID]int
	comingSum map[shed.PoolID]int
	// asks end the calls for pieces that are under way at each peer, by a number.
	asks    map[shed.VM]map[uint64]context.CancelFunc
	lastAsk uint64

	// fanout decides whom this VM tells its load.
	fanout   *fanout.Fanout
	sequence uint64
}

func (r *Relay) startMesh() {
	r.mesh = mesh{
		self:    shed.Peer{VM: shed.VM(r.prefs.Load().Node.Reach()), Incarnation: shed.Incarnation(time.Now().UnixNano())},
		started: time.Now(),
		seen:    map[shed.Peer]uint64{},
		heard:   map[shed.VM]time.Time{},
		waits:   map[shed.PoolID]peerWait{},
		shunned: map[shed.VM]time.Time{},
		asks:    map[shed.VM]map[uint64]context.CancelFunc{},
		coming:  map[shed.VM]map[shed.PoolID]int{}, comingSum: map[shed.PoolID]int{},
	}
	r.mesh.follow, r.mesh.fanout = follow.New(r.mesh.self.VM), fanout.New(r.mesh.self.VM)
	r.joinMesh()
}

// joinMesh starts with an empty view under the present incarnation.
func (r *Relay) joinMesh() {
	r.client = peers.NewClient(peers.ClientConfig{Self: r.mesh.self, Dial: r.cfg.DialPeer})
	r.group = member.New(member.Config{
		Self: r.mesh.self, Zone: meshZone, Seeds: seedVMs(r.prefs.Load()),
		Seed:          xxhash.Sum64String(string(r.mesh.self.VM)) ^ uint64(r.mesh.self.Incarnation),
		ProbeInterval: probeEvery, AckTimeout: ackAfter, SuspectTimeout: suspectFor,
		JoinDuration: joinFor, JoinInterval: joinEvery, MaxSyncMembers: syncMost, Power: r.prefs.Load().Relay.Power,
	})
}

func seedVMs(p *prefs.Prefs) []shed.VM {
	seeds := make([]shed.VM, 0, len(p.Node.Seeds))
	for _, s := range p.Node.Seeds {
		seeds = append(seeds, shed.VM(s))
	}
	return seeds
}

func (r *Relay) tickMesh(now, start time.Time) {
	if r.stopping.Load() {
		return
	}
	r.performMesh(r.group.Handle(now, shed.Tick{Wall: now, Mono: now.Sub(start)}))
	if r.group.Overruled() {
		r.mesh.self.Incarnation = shed.Incarnation(now.Add(renewedBy).UnixNano())
		r.log.WithField("incarnation", r.mesh.self.Incarnation).
			Warn("an earlier process of this VM had a later clock; joining the peers anew")
		old := r.client
		r.joinMesh()
		r.work.Go(old.Close)
	}
	r.follow(now, follow.Tick{})
	r.tellCrashes(now)
	r.tellLoad(now)
}

// performMesh does what member asks. The caller holds mu.
func (r *Relay) performMesh(acts []shed.Action) {
	for _, act := range acts {
		switch a := act.(type) {
		case shed.SendPeer:
			r.client.Send(a.To, a.Message)
		case shed.Note:
			r.log.WithFields(logrus.Fields{"reason": a.Reason, "peer": a.Peer}).Info("peer")
			if a.Reason == member.ReasonPeerDead {
				// What a dead process had on servers is over.
				r.picker.RemovePeer(a.Peer)
				r.heardComing(a.Peer, nil)
				r.follow(time.Now(), follow.PeerDied{VM: a.Peer})
			}
			r.stats.beliefs.Inc(1)
		}
	}
}

// alive are the peers that are alive, without this one.
func (r *Relay) alive() []shed.VM {
	vms := r.group.View().VMs(meshZone)
	return slices.DeleteFunc(vms, func(vm shed.VM) bool { return vm == r.mesh.self.VM })
}

// fleetSize is how many VMs share what only the whole fleet may use up: those
// that the settings name, or more if more were ever seen.
func (r *Relay) fleetSize() int {
	return max(r.prefs.Load().Relay.Fleet, len(r.group.Known())+1)
}

// Control implements peers.RelayHandler.
func (r *Relay) Control(from shed.Peer, msg shed.Message) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m := msg.(type) {
	case shed.Probe, shed.ProbeAck:
		r.performMesh(r.group.Handle(now, shed.PeerMessage{From: from, Message: msg}))
	case shed.RelayLoad:
		r.heardLoad(now, from, m)
	case shed.StoreUpdate:
		r.heardNews(now, from.VM, m)
	case shed.LimitUpdate:
		r.tellLimits(r.limits.Receive(now, m.Limits), string(from.VM))
	case shed.CrashUpdate:
		r.tellSuspects(r.poison.Receive(now, m))
	case shed.ResultsFreed:
		r.perform(r.batcher.Handle(now, batch.FreeRequested{Refs: m.Refs}))
	}
}

// DiscardResults implements peers.RelayHandler. Else the results would take up room at
// their makers until they lapse there.
func (r *Relay) DiscardResults(results []shed.PieceResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.batcher.Handle(time.Now(), batch.FreeRequested{Refs: made(results)}))
}

// Pieces implements peers.RelayHandler.
func (r *Relay) Pieces(ctx context.Context, call peers.PieceCall) peers.PieceAnswer {
	if r.stopping.Load() {
		return peers.PieceAnswer{Results: all(len(call.Pieces), shed.PieceMoved)}
	}
	results := r.gather(ctx, call.Pool, call.Pieces)
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := peers.PieceAnswer{Results: results}
	if pool := r.pool(call.Pool); pool.RunsPieces() {
		wait := r.ownWait(time.Now(), pool)
		answer.Wait = &wait
	}
	return answer
}
