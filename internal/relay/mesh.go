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
	"jasmineshed/internal/pulse"
	"jasmineshed/internal/roster"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

const (
	// meshZone is the only zone in the membership protocol: any VM may call any server, so each
	// VM has to know all others, in all zones.
	meshZone shed.ZoneID = "fleet"
	// The relay holds no state that a false death verdict could duplicate, so it declares a
	// peer dead sooner than with member's defaults: after 2.2 s instead of 5.1 s.
	probeInterval  = 500 * time.Millisecond
	ackTimeout     = 300 * time.Millisecond
	suspectTimeout = time.Second
	// joinDuration and joinInterval: a new process starts with short probe rounds. With
	// maxSyncMembers members per answer, it knows a fleet of 78 VMs after two of them.
	joinDuration   = 1500 * time.Millisecond
	joinInterval   = 200 * time.Millisecond
	maxSyncMembers = 100
	// peerBackoff is how long this VM sends no work to a peer that gave no answer.
	peerBackoff = 1500 * time.Millisecond
	// maxMissedLoads is how many load reports may be missing before a peer coordinates nothing
	// for this VM. By membership alone, the VMs disagreed for two to four seconds after several
	// had died at once; up to eight then coordinated calls to the same servers and found them
	// full.
	maxMissedLoads = 3
	// settleTime is how long a new process coordinates nothing and reports no load, so that it
	// knows its peers first: a second coordinator of a pool knows nothing of the first one's
	// calls and result capacity.
	settleTime = 700 * time.Millisecond
	// freshLoadPeriods is how old a peer's last load report may be, in reporting periods, once
	// another peer has given no answer. All peers in a partitioned zone stop answering at once:
	// without this check, a VM tried them one after the other, each for half a second or more.
	freshLoadPeriods = 1.4
	// settlePoll is how often a request checks whether a coordinator is known.
	settlePoll = 50 * time.Millisecond
	// incarnationBump is added to the incarnation of a process that was overruled: the VM's
	// clock was set back after an earlier process had started.
	incarnationBump = 30 * time.Second
)

// mesh is the relay's state about its peers.
type mesh struct {
	self      shed.Peer
	startedAt time.Time
	// lastSequence is the last load report sequence of each process, lastLoad when a VM last
	// reported its load, to this VM or to one that forwarded it.
	lastSequence map[shed.Peer]uint64
	lastLoad     map[shed.VM]time.Time
	// forecasts are the coordinators' latest forecasts by pool.
	forecasts map[shed.PoolID]peerForecast
	// backoffUntil is until when a peer gets no work from this VM.
	backoffUntil map[shed.VM]time.Time
	// active is the cached list of active VMs, computed at activeAt.
	active   []shed.VM
	activeAt time.Time
	// owners is the cached list of VMs that do tasks for all, computed at ownersAt; nil if it is
	// out of date.
	owners   []shed.VM
	ownersAt time.Time
	// known is the number of VMs that may be alive, with this one, as of knownAt.
	known   int
	knownAt time.Time
	// follower decides when newer state of the store is pulled from peers.
	follower *follow.Follower
	// updates is the queue of received updates; the first one is being applied.
	updates []storeUpdate
	// applying: data from the store or a peer is being applied.
	applying bool
	// expected is what each peer reported as its expected pieces, expectedSum the sum; expectedBytes
	// and expectedBytesSum are the size of their results.
	expected         map[shed.VM]map[shed.PoolID]int
	expectedSum      map[shed.PoolID]int
	expectedBytes    map[shed.VM]map[shed.PoolID]int64
	expectedBytesSum map[shed.PoolID]int64
	// strained are the peers whose processor or link makes their work late.
	strained map[shed.VM]bool
	// pieceCalls are the piece calls in flight at each peer, by call number.
	pieceCalls    map[shed.VM]map[uint64]peerCall
	lastPieceCall uint64

	// pulse finds peers that have fallen silent.
	pulse *pulse.Monitor
	// fanout decides which peers get load reports, and when.
	fanout   *fanout.Fanout
	sequence uint64
}

func (r *Relay) startMesh() {
	r.mesh = mesh{
		self:         shed.Peer{VM: shed.VM(r.prefs.Load().Node.PeerAddress()), Incarnation: shed.Incarnation(time.Now().UnixNano())},
		startedAt:    time.Now(),
		lastSequence: map[shed.Peer]uint64{},
		lastLoad:     map[shed.VM]time.Time{},
		forecasts:    map[shed.PoolID]peerForecast{},
		backoffUntil: map[shed.VM]time.Time{},
		pieceCalls:   map[shed.VM]map[uint64]peerCall{},
		pulse:        pulse.New(),
		expected:     map[shed.VM]map[shed.PoolID]int{}, expectedSum: map[shed.PoolID]int{},
		expectedBytes: map[shed.VM]map[shed.PoolID]int64{}, expectedBytesSum: map[shed.PoolID]int64{},
		strained: map[shed.VM]bool{},
	}
	r.mesh.follower, r.mesh.fanout = follow.New(r.mesh.self.VM), fanout.New(r.mesh.self.VM)
	r.joinMesh()
}

// joinMesh starts with an empty membership view under the current incarnation.
func (r *Relay) joinMesh() {
	r.client = peers.NewClient(peers.ClientConfig{Self: r.mesh.self, Dial: r.cfg.DialPeer, OnHeard: r.peerHeard, OnAnswered: r.recordAnswer, Extend: r.extend, OnDropped: func() { r.stats.controlsDropped.Inc(1) }})
	r.group = member.New(member.Config{
		Self: r.mesh.self, Zone: meshZone, Seeds: seedVMs(r.prefs.Load()),
		Seed:          xxhash.Sum64String(string(r.mesh.self.VM)) ^ uint64(r.mesh.self.Incarnation),
		ProbeInterval: probeInterval, AckTimeout: ackTimeout, SuspectTimeout: suspectTimeout,
		JoinDuration: joinDuration, JoinInterval: joinInterval, MaxSyncMembers: maxSyncMembers, Power: r.prefs.Load().Relay.Power,
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
	r.group.SetAllowance(r.allowance())
	r.performMesh(r.group.Handle(now, shed.Tick{Wall: now, Mono: now.Sub(start)}))
	if r.group.Overruled() {
		r.mesh.self.Incarnation = shed.Incarnation(now.Add(incarnationBump).UnixNano())
		r.log.WithField("incarnation", r.mesh.self.Incarnation).
			Warn("an earlier process of this VM had a later clock; rejoining with a new incarnation")
		old := r.client
		r.joinMesh()
		r.work.Go(old.Close)
	}
	r.handleFollowEvent(now, follow.Tick{})
	r.abandonSilentPeers(now)
	r.notifyCrashes(now)
	r.reportLoad(now)
}

// performMesh performs the membership protocol's actions. The caller holds mu.
func (r *Relay) performMesh(acts []shed.Action) {
	for _, act := range acts {
		switch a := act.(type) {
		case shed.SendPeer:
			r.client.Send(a.To, a.Message)
		case shed.Note:
			r.log.WithFields(logrus.Fields{"reason": a.Reason, "peer": a.Peer}).Info("peer")
			if a.Reason == member.ReasonPeerDead {
				// A dead process has no requests on servers any more.
				r.picker.RemovePeer(a.Peer)
				r.setPeerExpected(a.Peer, nil, nil)
				r.mesh.pulse.Forget(a.Peer)
				r.asker.Forget(a.Peer)
				delete(r.paths.carriers.isolated, a.Peer)
				delete(r.mesh.strained, a.Peer)
				delete(r.paths.carriers.backoffUntil, a.Peer)
				r.handleFollowEvent(time.Now(), follow.PeerDied{VM: a.Peer})
			}
			r.stats.stateChanges.Inc(1)
		}
	}
}

// alivePeers returns the live peers by the membership protocol, without this VM.
func (r *Relay) alivePeers() []shed.VM {
	vms := r.group.View().VMs(meshZone)
	return slices.DeleteFunc(vms, func(vm shed.VM) bool { return vm == r.mesh.self.VM })
}

// fleetSize returns how many VMs share the budgets of the fleet: the number in the settings, or
// the number of VMs ever seen if that is larger.
func (r *Relay) fleetSize(now time.Time) int {
	if now.Sub(r.mesh.knownAt) > activeCacheTime {
		r.mesh.known, r.mesh.knownAt = len(r.group.Known())+1, now
	}
	return max(r.prefs.Load().Relay.Fleet, r.mesh.known)
}

// Control implements peers.RelayHandler.
func (r *Relay) Control(from shed.Peer, msg shed.Message) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mesh.pulse.Heard(now, from.VM)
	switch m := msg.(type) {
	case shed.Probe, shed.ProbeAck:
		r.performMesh(r.group.Handle(now, shed.PeerMessage{From: from, Message: msg}))
	case shed.RelayLoad:
		r.receiveLoad(now, from, m)
	case shed.StoreUpdate:
		r.receiveUpdate(now, from.VM, m)
	case shed.UrgentUpdate:
		r.work.Go(func() error {
			r.applyAhead(storeReading{from: roster.FromPeer, entries: r.entriesOf(m.Items)})
			return nil
		})
	case shed.LimitUpdate:
		r.logLimits(r.limits.Receive(now, m.Limits), string(from.VM))
	case shed.PermitReturned:
		r.receivePermit(now, m)
	case shed.RestUpdate:
		r.receivePeerRest(now, m)
	case shed.LeavingUpdate:
		r.receivePeerDepartures(now, m.Starts)
	case shed.CrashUpdate:
		r.reportSuspects(r.poison.Receive(now, m))
		if c, ok := r.poison.Correction(now, m); ok {
			r.client.Send(from.VM, c)
		}
	case shed.StreamBegan:
		r.origins.Record(now, m.Key, m.Origin)
	case shed.ResultsFreed:
		r.performBatch(r.batcher.Handle(now, batch.FreeRequested{Refs: m.Refs}))
	}
}

// DiscardResults implements peers.RelayHandler. It frees the results, which would otherwise take up
// capacity at their producers until they expire.
func (r *Relay) DiscardResults(results []shed.PieceResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.performBatch(r.batcher.Handle(time.Now(), batch.FreeRequested{Refs: completeRefs(results)}))
}

// Pieces implements peers.RelayHandler.
func (r *Relay) Pieces(ctx context.Context, call peers.PieceCall) peers.PieceAnswer {
	if r.stopping.Load() || r.isReplaced() {
		return peers.PieceAnswer{Results: uniformResults(len(call.Pieces), shed.PieceMoved)}
	}
	results := r.coordinatePieces(ctx, call.Pool, call.Pieces)
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := peers.PieceAnswer{Results: results}
	if pool := r.pool(call.Pool); pool.RunsPieces() {
		wait := r.ownForecast(time.Now(), pool)
		answer.Wait = &wait
	}
	return answer
}
