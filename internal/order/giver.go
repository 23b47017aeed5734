// Package order gives engines the orders that bring them to what the rules
// want: model, version, adapters and role.
//
// The zone may run so many loads of weights at once; that many slots are shared
// out as slots of cold servers are. Each server belongs to one of them by hash,
// and the daemon that holds it gives the server its orders, one load at a time:
// so one daemon orders a server, and the weight store's limit holds, without a
// message. The fencing number comes from the configuration's revision, so it never
// goes backwards, though nothing is shared or kept. docs/design/orders.md says
// what happens when two daemons give orders all the same.
package order

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
	"jasmineshed/internal/slots"
)

// Config sets up a Giver. Fields left at 0 get the Default of their name.
type Config struct {
	Self shed.VM
	Zone shed.ZoneID
	// QuietTime is how long the slot must have been held before an order to a
	// server that refuses old fencing numbers and foreign callers.
	QuietTime time.Duration
	// QuietTimeUnfenced is the same for a server that accepts any order from
	// anybody.
	QuietTimeUnfenced time.Duration
	// MaxReportAge is the greatest age of a report to act on.
	MaxReportAge time.Duration
	// RetryAfter is the wait after an order that failed.
	RetryAfter time.Duration
	// MaxLoadTime is the longest time that a load of weights can take.
	MaxLoadTime time.Duration
	// Settle as in slots.Config.
	Settle time.Duration
}

// Defaults for what a Config leaves at 0.
const (
	DefaultQuietTime         = 2 * time.Second
	DefaultQuietTimeUnfenced = 20 * time.Second
	DefaultMaxReportAge      = 5 * time.Second
	DefaultRetryAfter        = 10 * time.Second
	DefaultMaxLoadTime       = 2 * time.Minute
)

// The reasons of the notes that this package takes.
const (
	ReasonOrdered       shed.Reason = "order_sent"
	ReasonStaleFence    shed.Reason = "order_fence_stale"
	ReasonNoWeightLoads shed.Reason = "weight_loads_below_zones"
)

// weights opens the name under which the slots are held. No server can have it:
// ids in rules hold no "#". The number of slots is part of the name: when it
// changes, servers change slots, and all of them have to wait once more.
const weights = "#weights/"

// drainShare is the part of a pool in this zone, one in so many, that may be
// out of use at once to change its model or role.
const drainShare = 4

// Reconciler gives the orders of one daemon.
type Reconciler struct {
	cfg     Config
	rules   *shed.Rules
	servers map[shed.ServerID]*entry
	order   []shed.ServerID // sorted keys of servers
	// table shares out the slots, which go by the name of key.
	table *slots.Table
	key   shed.ServerID
	// groups is how many slots there are; loads is false if the rules leave
	// this zone no load of weights.
	groups uint64
	loads  bool
}

// entry is what is known of one engine.
type entry struct {
	server *shed.Server
	want   desired

	report shed.LoadReport
	at     time.Time
	heldAt time.Time // since when this daemon holds its slot; zero: it doesn't
	// retryAt is when the next order may be sent.
	retryAt time.Time
	attempt uint64
	// sent is the order that is out; Fence is 0 if there is none.
	sent   shed.SendOrder
	sentAt time.Time
	// done is the hash of the last order that ended well, and doneBoot the
	// server's boot then.
	done     uint64
	doneBoot string
}

// desired is what the rules want of a server.
type desired struct {
	model    shed.ModelID
	version  string
	adapters []string
	role     string
	// hash of all of it, hashBits long.
	hash uint64
}

// name is the model as load reports name it.
func (d desired) name() string { return string(d.model) + "@" + d.version }

// New returns a giver without rules.
func New(cfg Config) *Reconciler {
	orDefault(&cfg.QuietTime, DefaultQuietTime)
	orDefault(&cfg.QuietTimeUnfenced, DefaultQuietTimeUnfenced)
	orDefault(&cfg.MaxReportAge, DefaultMaxReportAge)
	orDefault(&cfg.RetryAfter, DefaultRetryAfter)
	orDefault(&cfg.MaxLoadTime, DefaultMaxLoadTime)
	return &Reconciler{
		cfg:     cfg,
		servers: map[shed.ServerID]*entry{},
		table: slots.New(slots.Config{
			Self:            cfg.Self,
			Settle:          cfg.Settle,
			MaxCallDuration: cfg.MaxLoadTime,
			MaxReleaseZone:  -1,
		}),
	}
}

func orDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// SetView passes the view on, as to slots.Table.SetView.
func (g *Reconciler) SetView(now time.Time, vms []shed.VM, hash uint64, unsure bool) {
	g.table.SetView(now, vms, hash, unsure)
}

// SetKnown passes the known VMs on, as to slots.Table.SetKnown.
func (g *Reconciler) SetKnown(now time.Time, vms []shed.VM) { g.table.SetKnown(now, vms) }

// SetRules takes the rules in force.
func (g *Reconciler) SetRules(now time.Time, rules *shed.Rules) []shed.Action {
	newer := g.rules == nil || g.rules.Revision != rules.Revision
	g.rules = rules
	g.order = g.order[:0]
	for id, s := range rules.Servers {
		want, engine := want(rules, s)
		if s.Zone != g.cfg.Zone || !engine {
			continue
		}
		g.order = append(g.order, id)
		e := g.servers[id]
		if e == nil {
			e = &entry{}
			g.servers[id] = e
		}
		if e.want.hash != want.hash {
			e.retryAt = time.Time{}
		}
		if newer {
			e.attempt = 0
		}
		e.server, e.want = s, want
	}
	slices.Sort(g.order)
	for id := range g.servers {
		if _, keep := slices.BinarySearch(g.order, id); !keep {
			delete(g.servers, id)
		}
	}
	return g.setLoads(now)
}

// setLoads works out the zone's share of weight loads. Zones times share never
// passes the limit, so no zone needs to ask another.
func (g *Reconciler) setLoads(now time.Time) []shed.Action {
	share := 0
	if n := len(g.rules.Zones); n > 0 {
		share = g.rules.MaxWeightLoads / n
	}
	g.loads = share > 0
	n := max(1, share)
	g.groups = uint64(n)
	g.key = shed.ServerID(weights + strconv.Itoa(n))
	g.table.SetServers(now, []*shed.Server{{ID: g.key, Capacity: n, ColdCapacity: n}})
	if !g.loads {
		return []shed.Action{shed.Note{Reason: ReasonNoWeightLoads, Zone: g.cfg.Zone}}
	}
	return nil
}

// group is the server's slot.
func (g *Reconciler) group(id shed.ServerID) int {
	return int(xxhash.Sum64String(string(id)) % g.groups)
}

// want returns what the rules want of the server; false if it is no engine.
func want(rules *shed.Rules, s *shed.Server) (desired, bool) {
	pool := rules.Pools[s.Pool]
	if pool == nil || pool.Model == "" {
		return desired{}, false
	}
	d := desired{model: pool.Model, role: s.Role}
	if m := rules.Models[pool.Model]; m != nil {
		d.version = m.Version
		d.adapters = m.Adapters
	}
	d.hash = d.digest()
	return d, true
}

func (d desired) digest() uint64 {
	var x xxhash.Digest
	x.Reset()
	for _, s := range append([]string{string(d.model), d.version, d.role}, d.adapters...) {
		// A write to a digest can't fail.
		_, _ = x.WriteString(s)
		_, _ = x.WriteString("\n")
	}
	return x.Sum64() & (1<<hashBits - 1)
}

// Handle takes Tick, LoadReported, OrderEnded and LoadDigest.
func (g *Reconciler) Handle(now time.Time, ev shed.Event) []shed.Action {
	switch ev := ev.(type) {
	case shed.Tick:
		g.table.Handle(now, ev)
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
		return g.ended(now, ev)
	}
	return nil
}

func (g *Reconciler) report(now time.Time, id shed.ServerID, r shed.LoadReport) {
	e := g.servers[id]
	if e == nil {
		return
	}
	if at := now.Add(-r.Age); !at.Before(e.at) {
		e.report, e.at = r, at
	}
}

func (g *Reconciler) ended(now time.Time, ev shed.OrderEnded) []shed.Action {
	e := g.servers[ev.Server]
	if e == nil || e.sent.Fence == 0 || e.sent.Fence != ev.Fence {
		return nil
	}
	e.sent = shed.SendOrder{}
	e.retryAt = now.Add(g.cfg.RetryAfter)
	if ev.Done {
		e.done, e.doneBoot = fencedHash(ev.Fence), e.report.Boot
	}
	if ev.StaleFence {
		return []shed.Action{shed.Note{Reason: ReasonStaleFence, Server: ev.Server}}
	}
	return nil
}
