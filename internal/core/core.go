// Package core is all of a daemon's decisions as one: it hands each event to
// the packages that it concerns, answers where a stage call may run, and books
// every start and end with those who must know of it.
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
	// defaultSureFor is how long a daemon that hears from nobody goes on with
	// what it knows. New work at a closed zone or server ends within this and
	// the lease of a send, half a second.
	defaultSureFor = 2400 * time.Millisecond
)

// Config sets up a Core. Zero values take the defaults.
type Config struct {
	Self  shed.Peer
	Zone  shed.ZoneID
	Seeds []shed.VM
	// Seed of all random choices.
	Seed uint64
	// Compile turns the text of a configuration into rules.
	Compile func(text []byte, rev shed.Revision) (*shed.Rules, error)
	// Policy picks servers; see route.NewPolicy.
	Policy string
	// Notice is how long a stopping daemon still serves while the balancer
	// notices that it is not ready.
	Notice time.Duration
	// MaxDrain bounds a graceful stop.
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

// Core is one daemon's decisions. It is not safe for concurrent use.
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

	// rules in force; nil until the first.
	rules *shed.Rules
	// pools are those of rules as seen from this zone.
	pools map[shed.PoolID]*pool
	// rulesAt is when the first rules came into force.
	rulesAt time.Time
	// viewSum is a hash of the view that viewChanged has told.
	viewSum uint64
	// alone: this daemon hears nobody, see unsure.
	alone bool
	// surveyed: every server of the zone has been heard of, or had its time.
	surveyed bool
	// ready is what the driver was last told.
	ready bool
	stop  stop

	// guests are the calls that run here for a peer.
	guests map[shed.Call]bool
	// waiting are those among them that wait for a place, oldest first.
	waiting []waitingGuest
	// local are the calls under way on servers of this zone.
	local map[shed.Call]shed.ServerID
	// handed are the calls under way at peers, with where.
	handed map[shed.Call]target
	// away are the requests that were handed to their ticket's home and have
	// not come back.
	away map[shed.RequestID]bool
	// shunned are peers and zones that refused work or were lost, until when.
	shunned map[string]time.Time
	// handedTo counts them by zone.
	handedTo map[shed.ZoneID]int
	// refusals counts those in a row by each other zone.
	refusals map[shed.ZoneID]int
	// scratch for the candidates of one placement.
	scratch []shed.Candidate

	// out gathers the actions of one event.
	out []shed.Action
}

// target is where a call was handed.
type target struct {
	vm   shed.VM
	zone shed.ZoneID
}

// New makes a Core. It fails only on an unknown policy.
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
		cfg.Config.ConfirmationTTL = defaultSureFor
	}
	if cfg.Member.LeaseDuration == 0 {
		cfg.Member.LeaseDuration = defaultSureFor
	}
	policy, err := route.NewPolicy(cfg.Policy, cfg.Seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		cfg:      cfg,
		policy:   policy,
		gate:     admit.New(cfg.Admit),
		ledger:   cost.New(cost.Config{}),
		guests:   make(map[shed.Call]bool),
		local:    make(map[shed.Call]shed.ServerID),
		handed:   make(map[shed.Call]target),
		away:     make(map[shed.RequestID]bool),
		shunned:  make(map[string]time.Time),
		handedTo: make(map[shed.ZoneID]int),
		refusals: make(map[shed.ZoneID]int),
	}
	c.build()
	return c, nil
}

// build makes the parts that need to know who this process is.
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

// Handle takes one event and returns what to do, in order. The slice is the
// caller's.
func (c *Core) Handle(now time.Time, ev shed.Event) []shed.Action {
	c.out = nil
	// Configuration sees every event first: it is the one that notices, by the
	// time since the last tick, that the process was paused. A request that is
	// handled between waking up and the next tick must already find it unready.
	awake := c.config.Ready()
	c.take(c.config.Handle(now, ev))
	if awake && !c.config.Ready() {
		c.take(c.load.SuspectAll(now))
	}
	c.adopt(now)
	c.dispatch(now, ev)
	c.guestsOn(now)
	c.flowOn(now)
	return c.out
}

func (c *Core) dispatch(now time.Time, ev shed.Event) {
	switch e := ev.(type) {
	case shed.Tick:
		c.tick(now, e)
	case shed.RequestArrived:
		c.arrived(now, e)
	case shed.StageRequested:
		c.stageAsked(now, e)
	case shed.CallProgress:
		c.callProgress(now, e)
	case shed.CallEnded:
		c.callEnded(now, e)
	case shed.ForwardEnded:
		delete(c.away, e.Request)
	case shed.CallerGone:
		c.book(now, c.flow.Handle(now, e))
	case shed.PeerMessage:
		c.message(now, e)
	case shed.PeerLost:
		c.shun(now, peerKey(e.Peer), shunLost)
		c.take(c.member.Handle(now, e))
		c.view(now)
	case shed.VMsRead:
		c.take(c.member.Handle(now, e))
		c.view(now)
	case shed.LoadReported, shed.ServerSilent:
		c.take(c.load.Handle(now, ev))
		c.take(c.slots.Handle(now, ev))
		c.take(c.orders.Handle(now, ev))
	case shed.OrderEnded:
		c.take(c.orders.Handle(now, e))
	case shed.StopRequested:
		c.stopAsked(now, e)
	}
}

// take passes actions on that need no booking, and puts new rules in force.
func (c *Core) take(acts []shed.Action) {
	c.out = append(c.out, acts...)
}

func (c *Core) tick(now time.Time, t shed.Tick) {
	c.take(c.member.Handle(now, t))
	c.view(now)
	c.take(c.load.Handle(now, t))
	c.take(c.slots.Handle(now, t))
	c.take(c.orders.Handle(now, t))
	c.tickets.Expire(now)
	c.book(now, c.flow.Handle(now, t))
	c.forgetShunned(now)
	c.stopTick(now)
	c.tellReady(now)
}

func (c *Core) message(now time.Time, m shed.PeerMessage) {
	c.take(c.member.Handle(now, m))
	c.take(c.load.Handle(now, m))
	c.take(c.slots.Handle(now, m))
	c.take(c.orders.Handle(now, m))
	if move, ok := m.Message.(shed.TicketMove); ok && move.From == m.From {
		c.tickets.Adopt(now, move)
	}
	c.view(now)
}

// flowOn offers places that may have freed until nobody takes one more. Flow
// starts one call a step, so that each is booked before the next is placed.
func (c *Core) flowOn(now time.Time) {
	for {
		acts := c.flow.StartNext(now)
		if !c.book(now, acts) {
			return
		}
	}
}

// book passes on what flow decided, and tells those who must know of it. It
// returns whether a call was started.
func (c *Core) book(now time.Time, acts []shed.Action) bool {
	started := false
	for _, act := range acts {
		switch a := act.(type) {
		case shed.StartCall:
			c.bookStart(now, a)
			started = true
		case shed.ForwardStage:
			c.hand(a.Request.Call, a.To)
			started = true
		case shed.Finish:
			c.tickets.RecordFinish(now, a.Request, a)
		}
		c.out = append(c.out, act)
	}
	return started
}

func (c *Core) bookStart(now time.Time, a shed.StartCall) {
	c.local[a.Call] = a.Server
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
