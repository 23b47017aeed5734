// Package order sends engines the orders that bring them to the desired state of the rules: model,
// version, adapters and role.
//
// A zone has as many slots as it may run loads of weights at once; they are assigned to daemons
// like the slots of cold servers. A hash assigns each server to a slot, and the daemon that holds
// the slot sends the server's orders, one load at a time. So one daemon orders a server, and the
// weight store's limit holds, without messages. The fencing number is derived from the
// configuration's revision, so it never decreases, although it is neither shared nor stored.
// docs/design/orders.md describes what happens if two daemons send orders nevertheless.
package order

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
	"jasmineshed/internal/slots"
)

// Config configures a Reconciler. Zero durations take the defaults.
type Config struct {
	Self shed.VM
	Zone shed.ZoneID
	// QuietTime is how long the slot must be held before an order to a server that refuses old
	// fencing numbers and other callers.
	QuietTime time.Duration
	// QuietTimeUnfenced is the same for a server that accepts any fencing number or any caller.
	QuietTimeUnfenced time.Duration
	// MaxReportAge is the greatest age of a load report to act on.
	MaxReportAge time.Duration
	// RetryAfter is the delay between the end of an order and the next one to the server.
	RetryAfter time.Duration
	// MaxLoadTime is the longest time that loading weights can take.
	MaxLoadTime time.Duration
	// Settle is passed to slots.Config.
	Settle time.Duration
}

// Defaults for a zero Config.
const (
	DefaultQuietTime         = 2 * time.Second
	DefaultQuietTimeUnfenced = 20 * time.Second
	DefaultMaxReportAge      = 5 * time.Second
	DefaultRetryAfter        = 10 * time.Second
	DefaultMaxLoadTime       = 2 * time.Minute
)

// Reasons of the notes that this package returns.
const (
	ReasonOrdered       shed.Reason = "order_sent"
	ReasonStaleFence    shed.Reason = "order_fence_stale"
	ReasonNoWeightLoads shed.Reason = "weight_loads_below_zones"
)

// slotKeyPrefix begins the server id under which the slots are assigned. No server can have such an
// id, since ids in rules don't contain "#". The number of slots is part of the id: when it changes,
// servers change slots, and all slots have to be acquired and held for the quiet time again.
const slotKeyPrefix = "#weights/"

// drainDivisor limits the servers of a pool in this zone that drain at the same time, to change
// their model or role, to one in drainDivisor.
const drainDivisor = 4

// Reconciler decides the orders of one daemon.
type Reconciler struct {
	cfg     Config
	rules   *shed.Rules
	servers map[shed.ServerID]*entry
	ids     []shed.ServerID // sorted keys of servers
	// slotTable assigns the slots, under the server id slotKey.
	slotTable *slots.Table
	slotKey   shed.ServerID
	// slotCount is the number of slots; mayLoad is false if the rules allow this zone no loads of
	// weights.
	slotCount uint64
	mayLoad   bool
}

// entry holds what is known of one engine.
type entry struct {
	server *shed.Server
	want   desired

	report     shed.LoadReport
	reportedAt time.Time
	heldSince  time.Time // since when this daemon holds the slot; zero if it doesn't
	// retryAt is the earliest time of the next order.
	retryAt time.Time
	attempt uint64
	// pending is the order in progress; its Fence is 0 if there is none.
	pending shed.SendOrder
	sentAt  time.Time
	// doneHash is the hash of the last order that succeeded, doneBoot the server's boot at that
	// time.
	doneHash uint64
	doneBoot string
}

// desired is the state that the rules demand of a server.
type desired struct {
	model    shed.ModelID
	version  string
	adapters []string
	role     string
	// hash covers all other fields and has hashBits bits.
	hash uint64
}

// name returns the model's name as in load reports.
func (d desired) name() string { return string(d.model) + "@" + d.version }

// New returns a Reconciler without rules.
func New(cfg Config) *Reconciler {
	setDefault(&cfg.QuietTime, DefaultQuietTime)
	setDefault(&cfg.QuietTimeUnfenced, DefaultQuietTimeUnfenced)
	setDefault(&cfg.MaxReportAge, DefaultMaxReportAge)
	setDefault(&cfg.RetryAfter, DefaultRetryAfter)
	setDefault(&cfg.MaxLoadTime, DefaultMaxLoadTime)
	return &Reconciler{
		cfg:     cfg,
		servers: map[shed.ServerID]*entry{},
		slotTable: slots.New(slots.Config{
			Self:            cfg.Self,
			Settle:          cfg.Settle,
			MaxCallDuration: cfg.MaxLoadTime,
			MaxReleaseZone:  -1,
		}),
	}
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// SetView passes the view to slots.Table.SetView.
func (g *Reconciler) SetView(now time.Time, vms []shed.VM, hash uint64, unconfirmed bool) {
	g.slotTable.SetView(now, vms, hash, unconfirmed)
}

// SetKnown passes the known VMs to slots.Table.SetKnown.
func (g *Reconciler) SetKnown(now time.Time, vms []shed.VM) { g.slotTable.SetKnown(now, vms) }

// SetRules applies the rules in force.
func (g *Reconciler) SetRules(now time.Time, rules *shed.Rules) []shed.Action {
	revisionChanged := g.rules == nil || g.rules.Revision != rules.Revision
	g.rules = rules
	g.ids = g.ids[:0]
	for id, s := range rules.Servers {
		want, engine := desiredState(rules, s)
		if s.Zone != g.cfg.Zone || !engine {
			continue
		}
		g.ids = append(g.ids, id)
		e := g.servers[id]
		if e == nil {
			e = &entry{}
			g.servers[id] = e
		}
		if e.want.hash != want.hash {
			e.retryAt = time.Time{}
		}
		if revisionChanged {
			e.attempt = 0
		}
		e.server, e.want = s, want
	}
	slices.Sort(g.ids)
	for id := range g.servers {
		if _, keep := slices.BinarySearch(g.ids, id); !keep {
			delete(g.servers, id)
		}
	}
	return g.updateSlots(now)
}

// updateSlots computes the zone's share of weight loads. The shares of all zones never add up to
// more than the limit, so zones don't need to coordinate.
func (g *Reconciler) updateSlots(now time.Time) []shed.Action {
	share := 0
	if n := len(g.rules.Zones); n > 0 {
		share = g.rules.MaxWeightLoads / n
	}
	g.mayLoad = share > 0
	n := max(1, share)
	g.slotCount = uint64(n)
	g.slotKey = shed.ServerID(slotKeyPrefix + strconv.Itoa(n))
	g.slotTable.SetServers(now, []*shed.Server{{ID: g.slotKey, Capacity: n, ColdCapacity: n}})
	if !g.mayLoad {
		return []shed.Action{shed.Note{Reason: ReasonNoWeightLoads, Zone: g.cfg.Zone}}
	}
	return nil
}

// slotOf returns the server's slot.
func (g *Reconciler) slotOf(id shed.ServerID) int {
	return int(xxhash.Sum64String(string(id)) % g.slotCount)
}

// desiredState returns the server's desired state, or false if the server isn't an engine.
func desiredState(rules *shed.Rules, s *shed.Server) (desired, bool) {
	pool := rules.Pools[s.Pool]
	if pool == nil || pool.Model == "" {
		return desired{}, false
	}
	d := desired{model: pool.Model, role: s.Role}
	if m := rules.Models[pool.Model]; m != nil {
		d.version = m.Version
		d.adapters = m.Adapters
	}
	d.hash = d.computeHash()
	return d, true
}

func (d desired) computeHash() uint64 {
	var x xxhash.Digest
	x.Reset()
	for _, s := range append([]string{string(d.model), d.version, d.role}, d.adapters...) {
		// Writing to a digest can't fail.
		_, _ = x.WriteString(s)
		_, _ = x.WriteString("\n")
	}
	return x.Sum64() & (1<<hashBits - 1)
}

// Handle handles Tick, LoadReported and OrderEnded events and LoadDigest messages.
func (g *Reconciler) Handle(now time.Time, ev shed.Event) []shed.Action {
	switch ev := ev.(type) {
	case shed.Tick:
		g.slotTable.Handle(now, ev)
		return g.tick(now)
	case shed.LoadReported:
		g.report(now, ev.Server, ev.Report)
	case shed.PeerMessage:
		if digest, ok := ev.Message.(shed.LoadDigest); ok {
			for id, r := range digest.Reports {
				g.report(now, id, r)
			}
		}
	case shed.OrderEnded:
		return g.orderEnded(now, ev)
	}
	return nil
}

func (g *Reconciler) report(now time.Time, id shed.ServerID, r shed.LoadReport) {
	e := g.servers[id]
	if e == nil {
		return
	}
	if at := now.Add(-r.Age); !at.Before(e.reportedAt) {
		e.report, e.reportedAt = r, at
	}
}

func (g *Reconciler) orderEnded(now time.Time, ev shed.OrderEnded) []shed.Action {
	e := g.servers[ev.Server]
	if e == nil || e.pending.Fence == 0 || e.pending.Fence != ev.Fence {
		return nil
	}
	e.pending = shed.SendOrder{}
	e.retryAt = now.Add(g.cfg.RetryAfter)
	if ev.Done {
		e.doneHash, e.doneBoot = fenceHash(ev.Fence), e.report.Boot
	}
	if ev.StaleFence {
		return []shed.Action{shed.Note{Reason: ReasonStaleFence, Server: ev.Server}}
	}
	return nil
}
