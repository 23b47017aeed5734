// Package core combines all decisions of a daemon: it dispatches each event to the
// packages that handle it, decides where a stage call may run, and reports the start
// and end of each call to the packages that track calls.
package core

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/admit"
	"jasmineshed/internal/config"
	"jasmineshed/internal/cost"
	"jasmineshed/internal/flow"
	"jasmineshed/internal/load"
	"jasmineshed/internal/member"
	"jasmineshed/internal/order"
	"jasmineshed/internal/retry"
	"jasmineshed/internal/route"
	"jasmineshed/internal/slots"
	"jasmineshed/internal/ticket"
)

// Defaults of Config.
const (
	defaultPolicy   = "affinity"
	defaultNotice   = 2 * time.Second
	defaultMaxDrain = 30 * time.Second
	// defaultContactTTL is how long a daemon without any contact continues with its last known
	// state. New work at a closed zone or server ends within this time plus the send lease
	// (500 ms).
	defaultContactTTL = 2400 * time.Millisecond
)

// Config sets up a Core. Zero values take the defaults.
type Config struct {
	Self  shed.Peer
	Zone  shed.ZoneID
	Seeds []shed.VM
	// Seed of all random choices.
	Seed uint64
	// Compile parses the text of a configuration into rules.
	Compile func(text []byte, rev shed.Revision) (*shed.Rules, error)
	// Policy names the policy that picks servers; see route.NewPolicy.
	Policy string
	// Notice is how long a stopping daemon still serves, so that the load balancer can
	// notice that it is not ready.
	Notice time.Duration
	// MaxDrain bounds the duration of a graceful stop.
	MaxDrain time.Duration

	Config config.Config
	Member member.Config
	Slots  slots.Config
	Load   load.Config
	Order  order.Config
	Flow   flow.Config
	Admit  admit.Config
	Retry  retry.Config
	Ticket ticket.Config
}

// Core makes one daemon's decisions. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	config  *config.State
	member  *member.Group
	slots   *slots.Table
	load    *load.Tracker
	orders  *order.Reconciler
	flow    *flow.Flow
	gate    *admit.Gate
	ledger  *cost.Ledger
	tickets *ticket.Table
	policy  shed.Policy

	// rules are the rules in force; nil until the first.
	rules *shed.Rules
	// pools are the pools of rules, split into this zone and others.
	pools map[shed.PoolID]*pool
	// firstRulesAt is when the first rules came into force.
	firstRulesAt time.Time
	// viewHash is the hash of the view that notifyViewChange passed on last.
	viewHash uint64
	// isolated: this daemon has no contact to peers or platform, see blockedReason.
	isolated bool
	// serversKnown: every server of the zone has reported its load, or the wait timed out.
	serversKnown bool
	// ready is the readiness that the driver was last notified of.
	ready bool
	stop  stop

	// forwardedIn are the calls that a peer forwarded here.
	forwardedIn map[shed.Call]bool
	// queued are the calls of forwardedIn that wait for a server, oldest first.
	queued []queuedCall
	// localCalls are the calls in flight on servers of this zone.
	localCalls map[shed.Call]shed.ServerID
	// forwardedOut are the calls in flight at peers, with their destination.
	forwardedOut map[shed.Call]destination
	// forwardedRequests are the requests in flight at the home of their ticket.
	forwardedRequests map[shed.RequestID]bool
	// backoffUntil is until when peers and zones that refused work or were lost get none.
	backoffUntil map[string]time.Time
	// forwardedByZone counts forwardedOut by zone.
	forwardedByZone map[shed.ZoneID]int
	// refusals counts consecutive refusals by each other zone, up to maxRefusals.
	refusals map[shed.ZoneID]int
	// scratch is reused for the candidates of each placement.
	scratch []shed.Candidate

	// out collects the actions of one event.
	out []shed.Action
}

// destination is the peer that a call was forwarded to.
type destination struct {
	vm   shed.VM
	zone shed.ZoneID
}

// New returns a Core. It fails only for an unknown policy.
func New(cfg Config) (*Core, error) {
	if cfg.Policy == "" {
		cfg.Policy = defaultPolicy
	}
	if cfg.Notice == 0 {
		cfg.Notice = defaultNotice
	}
	if cfg.MaxDrain == 0 {
		cfg.MaxDrain = defaultMaxDrain
	}
	if cfg.Config.ConfirmationTTL == 0 {
		cfg.Config.ConfirmationTTL = defaultContactTTL
	}
	if cfg.Member.LeaseDuration == 0 {
		cfg.Member.LeaseDuration = defaultContactTTL
	}
	policy, err := route.NewPolicy(cfg.Policy, cfg.Seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		cfg:               cfg,
		policy:            policy,
		gate:              admit.New(cfg.Admit),
		ledger:            cost.New(cost.Config{}),
		forwardedIn:       make(map[shed.Call]bool),
		localCalls:        make(map[shed.Call]shed.ServerID),
		forwardedOut:      make(map[shed.Call]destination),
		forwardedRequests: make(map[shed.RequestID]bool),
		backoffUntil:      make(map[string]time.Time),
		forwardedByZone:   make(map[shed.ZoneID]int),
		refusals:          make(map[shed.ZoneID]int),
	}
	c.build()
	return c, nil
}

// build creates the components that depend on the identity of this process.
func (c *Core) build() {
	cfg := c.cfg
	cfg.Config.Self, cfg.Config.Zone = cfg.Self, cfg.Zone
	cfg.Config.Compile, cfg.Config.Seed = cfg.Compile, cfg.Seed
	cfg.Config.SeedPeers = len(cfg.Seeds)
	c.config = config.New(cfg.Config)
	cfg.Member.Self, cfg.Member.Zone = cfg.Self, cfg.Zone
	cfg.Member.Seeds, cfg.Member.Seed = cfg.Seeds, cfg.Seed
	c.member = member.New(cfg.Member)
	cfg.Slots.Self = cfg.Self.VM
	c.slots = slots.New(cfg.Slots)
	cfg.Load.Self = cfg.Self.VM
	c.load = load.New(cfg.Load)
	cfg.Order.Self, cfg.Order.Zone = cfg.Self.VM, cfg.Zone
	c.orders = order.New(cfg.Order)
	cfg.Ticket.Self = cfg.Self
	c.tickets = ticket.New(cfg.Ticket)
	cfg.Flow.Placer, cfg.Flow.Admit, cfg.Flow.Ledger = c, c.gate, c.ledger
	cfg.Flow.Budget = retry.New(cfg.Retry)
	c.flow = flow.New(cfg.Flow)
}

// Handle processes one event and returns the resulting actions in order. The caller owns
// the slice.
func (c *Core) Handle(now time.Time, ev shed.Event) []shed.Action {
	c.out = nil
	// The configuration state gets every event first: it detects from the time since the
	// last tick that the process was paused. A request that is handled between the end of
	// the pause and the next tick must already find the daemon not ready.
	wasReady := c.config.Ready()
	c.emit(c.config.Handle(now, ev))
	if wasReady && !c.config.Ready() {
		c.emit(c.load.SuspectAll(now))
	}
	c.adoptRules(now)
	c.dispatch(now, ev)
	c.startQueuedCalls(now)
	c.startWaitingRequests(now)
	return c.out
}

func (c *Core) dispatch(now time.Time, ev shed.Event) {
	switch e := ev.(type) {
	case shed.Tick:
		c.tick(now, e)
	case shed.RequestArrived:
		c.handleRequest(now, e)
	case shed.StageRequested:
		c.handleStageRequest(now, e)
	case shed.CallProgress:
		c.handleCallProgress(now, e)
	case shed.CallSilent:
		c.handleCallSilent(now, e)
	case shed.CallEnded:
		c.handleCallEnded(now, e)
	case shed.ForwardEnded:
		delete(c.forwardedRequests, e.Request)
	case shed.CallerGone:
		c.recordActions(now, c.flow.Handle(now, e))
	case shed.PeerMessage:
		c.handlePeerMessage(now, e)
	case shed.PeerLost:
		c.backOff(now, peerKey(e.Peer), lostPeerBackoff)
		c.emit(c.member.Handle(now, e))
		c.updateView(now)
	case shed.VMsRead:
		c.emit(c.member.Handle(now, e))
		c.updateView(now)
	case shed.LoadReported, shed.ServerSilent:
		c.emit(c.load.Handle(now, ev))
		c.emit(c.slots.Handle(now, ev))
		c.emit(c.orders.Handle(now, ev))
	case shed.OrderEnded:
		c.emit(c.orders.Handle(now, e))
	case shed.StopRequested:
		c.handleStopRequest(now, e)
	}
}

// emit appends actions that other components need not know of.
func (c *Core) emit(acts []shed.Action) {
	c.out = append(c.out, acts...)
}

func (c *Core) tick(now time.Time, t shed.Tick) {
	c.emit(c.member.Handle(now, t))
	c.updateView(now)
	c.emit(c.load.Handle(now, t))
	c.emit(c.slots.Handle(now, t))
	c.emit(c.orders.Handle(now, t))
	c.tickets.Expire(now)
	c.recordActions(now, c.flow.Handle(now, t))
	c.pruneBackoffs(now)
	c.checkStop(now)
	c.updateReady(now)
}

func (c *Core) handlePeerMessage(now time.Time, m shed.PeerMessage) {
	c.emit(c.member.Handle(now, m))
	c.emit(c.load.Handle(now, m))
	c.emit(c.slots.Handle(now, m))
	c.emit(c.orders.Handle(now, m))
	if move, ok := m.Message.(shed.TicketMove); ok && move.From == m.From {
		c.tickets.Adopt(now, move)
	}
	c.updateView(now)
}

// startWaitingRequests offers free servers to waiting requests until no more call starts.
// Flow starts one call per step, so that each is recorded before the next is placed.
func (c *Core) startWaitingRequests(now time.Time) {
	for {
		acts := c.flow.StartNext(now)
		if !c.recordActions(now, acts) {
			return
		}
	}
}

// recordActions emits the actions of flow and reports them to the components that track
// calls and tickets. It returns whether a call was started.
func (c *Core) recordActions(now time.Time, acts []shed.Action) bool {
	started := false
	for _, act := range acts {
		switch a := act.(type) {
		case shed.StartCall:
			c.recordStart(now, a)
			started = true
		case shed.ForwardStage:
			c.recordForward(a.Request.Call, a.To)
			started = true
		case shed.Finish:
			c.tickets.RecordFinish(now, a.Request, a)
		}
		c.out = append(c.out, act)
	}
	return started
}

func (c *Core) recordStart(now time.Time, a shed.StartCall) {
	c.localCalls[a.Call] = a.Server
	cand, _ := c.load.Candidate(now, a.Server)
	c.load.RecordSent(now, a.Server, a.Call)
	if cand.Cold {
		c.slots.Take(now, a.Server, a.Call)
		return
	}
	c.slots.Occupy(now, a.Server, a.Call)
}

func (c *Core) zoneOf(vm shed.VM) shed.ZoneID {
	m, _ := c.member.Lookup(vm)
	return m.Zone
}
