package relay

import (
	"context"
	"maps"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
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
	// loadEvery is how often a VM tells its load to each peer, in a fleet of up
	// to loadPeers; in a larger one less often, so that the messages a second
	// don't grow faster than the fleet.
	loadEvery = 100 * time.Millisecond
	loadPeers = 12
	// loadIdle is how often it tells it though nothing has changed.
	loadIdle = 300 * time.Millisecond
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
	// told its load.
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

	sequence uint64
	placed   []shed.PromptPlaced
	told     time.Time
	lastBusy bool
}

type peerWait struct {
	from shed.VM
	batch.Forecast
	at time.Time
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
	r.mesh.follow = follow.New(r.mesh.self.VM)
	r.joinMesh()
}

// joinMesh starts with an empty view under the present incarnation.
func (r *Relay) joinMesh() {
	r.client = peers.NewClient(peers.ClientConfig{Self: r.mesh.self, Dial: r.cfg.DialPeer})
	r.group = member.New(member.Config{
		Self: r.mesh.self, Zone: meshZone, Seeds: seedVMs(r.prefs.Load()),
		Seed:       xxhash.Sum64String(string(r.mesh.self.VM)) ^ uint64(r.mesh.self.Incarnation),
		ProbeEvery: probeEvery, AckAfter: ackAfter, SuspectFor: suspectFor,
		JoinFor: joinFor, JoinEvery: joinEvery, SyncMost: syncMost, Power: r.prefs.Load().Relay.Power,
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
				r.picker.PeerGone(a.Peer)
				r.heardComing(a.Peer, nil)
				r.follow(time.Now(), follow.Gone{VM: a.Peer})
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

// tellLoad tells peers what is under way here.
func (r *Relay) tellLoad(now time.Time) {
	if now.Sub(r.mesh.started) < settleFor {
		return
	}
	vms := r.alive()
	every := loadPeriod(len(vms))
	since := now.Sub(r.mesh.told)
	shares, waits := r.picker.Shares(), r.ownWaits(now)
	busy := len(shares)+len(waits)+len(r.mesh.placed)+len(r.coming) > 0
	if since < every || !busy && !r.mesh.lastBusy && since < max(loadIdle, every) {
		return
	}
	r.mesh.sequence++
	load := shed.RelayLoad{
		Sequence: r.mesh.sequence, Held: r.batcher.Held(), Servers: shares, Waits: waits, Placed: r.mesh.placed,
		// Messages are encoded later, in a goroutine of their own.
		Coming: maps.Clone(r.coming), AsOf: r.roster.AsOf(), Digest: r.roster.Digest(), Confirmed: now.Sub(r.roster.Contact()),
		Catalog: r.roster.CatalogRevision(),
	}
	r.mesh.told, r.mesh.placed, r.mesh.lastBusy = now, nil, busy
	for _, vm := range vms {
		r.client.Send(vm, load)
	}
}

// loadPeriod is how often a VM with so many peers tells its load.
func loadPeriod(peers int) time.Duration {
	return loadEvery * time.Duration(1+peers/loadPeers)
}

// ownWaits predicts the wait in the pools that this VM gathers pieces for.
func (r *Relay) ownWaits(now time.Time) []shed.PieceWait {
	var out []shed.PieceWait
	for _, id := range r.batcher.Busy() {
		if pool := r.pool(id); pool != nil && pool.Batch != nil {
			f := r.batcher.Wait(now, id, *pool.Batch)
			out = append(out, shed.PieceWait{Pool: id, Timely: f.Timely, Last: f.Last, Slow: f.Slow, Rate: f.Rate})
		}
	}
	return out
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
	case shed.StoreNews:
		r.heardNews(now, from.VM, m)
	case shed.ResultsFreed:
		r.perform(r.batcher.Handle(now, batch.Freed{Refs: m.Refs}))
	}
}

func (r *Relay) heardLoad(now time.Time, from shed.Peer, m shed.RelayLoad) {
	if m.Sequence <= r.mesh.seen[from] {
		return
	}
	r.mesh.seen[from], r.mesh.heard[from.VM] = m.Sequence, now
	r.heardStore(now, from.VM, m)
	delete(r.mesh.shunned, from.VM)
	r.picker.PeerShares(from.VM, m.Servers)
	r.heardHeld(now, from.VM, m.Held)
	r.heardComing(from.VM, m.Coming)
	for _, p := range m.Placed {
		r.picker.Seen(now, p.Server, p.Chain)
	}
	for pool, w := range r.mesh.waits {
		if w.from == from.VM {
			delete(r.mesh.waits, pool)
		}
	}
	for _, w := range m.Waits {
		r.mesh.waits[w.Pool] = peerWait{
			from: from.VM, at: now, Forecast: batch.Forecast{Timely: w.Timely, Last: w.Last, Slow: w.Slow, Rate: w.Rate},
		}
	}
}

func (r *Relay) heardHeld(now time.Time, from shed.VM, held map[shed.ServerID]int64) {
	if len(held) == 0 {
		return
	}
	keep := time.Duration(0)
	if c := r.roster.Catalog(); c != nil {
		for _, p := range c.Pools {
			if p.Batch != nil {
				keep = max(keep, p.Batch.KeepFor)
			}
		}
	}
	if keep > 0 {
		r.perform(r.batcher.Handle(now, batch.HeldElsewhere{From: from, Held: held, Keep: keep}))
	}
}

// Unwanted implements peers.RelayHandler. Else the results would take up room at
// their makers until they lapse there.
func (r *Relay) Unwanted(results []shed.PieceResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.batcher.Handle(time.Now(), batch.Freed{Refs: made(results)}))
}

// Pieces implements peers.RelayHandler.
func (r *Relay) Pieces(ctx context.Context, call peers.PieceCall) []shed.PieceResult {
	if r.stopping.Load() {
		return all(len(call.Pieces), shed.PieceMoved)
	}
	return r.gather(ctx, call.Pool, call.Pieces)
}
