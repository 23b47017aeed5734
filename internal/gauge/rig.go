package gauge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/fleet"
	"jasmineshed/internal/node"
	"jasmineshed/internal/stand"
	"jasmineshed/pkg/client"
)

const (
	// vmLag is how late the platform's VM list is in experiments.
	vmLag = 2 * time.Second
	// healthEvery is how often the balancer asks the daemons for readiness.
	healthEvery = 100 * time.Millisecond
	// settle is the time between readiness and the start of a scenario, in
	// which load reports spread.
	settle = time.Second
	// slowness of a server that EventServerSlow slows down.
	slowness = 10
	// loadSlope of a drafter: at full capacity it takes twice as long.
	loadSlope = 1
	// loadLag of the engines' reports.
	loadLag = 200 * time.Millisecond
	// longRun is what a server has done that was up long before.
	longRun = 100_000
)

// errEvent means that an event's target does not exist.
var errEvent = errors.New("no such target")

// Rig is a fleet for a scenario, with the platform's balancer before it.
type Rig struct {
	scenario Scenario
	fleet    *fleet.Fleet
	cutter   *cutter

	mu sync.Mutex
	// text of the rules as last published.
	text []byte
	// ready are the daemons that the balancer knows as ready.
	ready   []*fleet.Member
	asked   time.Time
	next    int
	clients map[string]*client.Client
}

// NewRig starts the fleet and waits until it is ready. Logs of the daemons go
// to logTo.
func NewRig(ctx context.Context, s Scenario, logTo io.Writer) (*Rig, error) {
	r := &Rig{scenario: s, cutter: newCutter(), clients: map[string]*client.Client{}}
	f, err := fleet.Start(ctx, fleet.Config{
		Rules:          s.RulesText(),
		DaemonsPerZone: s.Fleet.Daemons,
		LogTo:          logTo,
		Policy:         s.Policy,
		Engine:         s.Fleet.engine,
		ServiceTime:    s.Fleet.CallTime,
		VMLag:          vmLag,
		TuneNode:       r.wire,
	})
	if err != nil {
		return nil, err
	}
	r.fleet = f
	r.text = f.RulesText()
	r.place()
	if err := f.WaitReady(ctx); err != nil {
		f.Close()
		return nil, err
	}
	time.Sleep(settle)
	return r, nil
}

func (s FleetSize) engine(server *shed.Server, kind shed.StageKind) stand.EngineConfig {
	cfg := stand.EngineConfig{
		ID:           server.ID,
		Capacity:     server.Capacity,
		ColdCapacity: server.ColdCapacity,
		CallTime:     s.CallTime,
		LoadLag:      loadLag,
		CacheEntries: 256,
		PriorCalls:   longRun,
	}
	if kind == shed.KindGenerate {
		cfg.WarmAfter = s.WarmAfter
		cfg.TokenTime = s.TokenTime
		cfg.PrefillTime = s.TokenTime / 10
		cfg.LoadSlope = loadSlope
	}
	return cfg
}

// wire makes a daemon dial through the cutter.
func (r *Rig) wire(cfg *node.Config) {
	zone := shed.ZoneID(cfg.Prefs.Node.Zone)
	cfg.DialPeer = r.cutter.peer(zone)
	cfg.DialPlatform = r.cutter.platform(zone)
}

// place tells the cutter where every daemon is.
func (r *Rig) place() {
	for _, m := range r.fleet.Members() {
		r.cutter.place(m.Self().VM, m.Zone)
	}
}

// Close ends the fleet.
func (r *Rig) Close() { r.fleet.Close() }

// Rules that the fleet was started with.
func (r *Rig) Rules() *shed.Rules { return r.fleet.Rules }

// Platform is the stand-in of the platform.
func (r *Rig) Platform() *stand.Platform { return r.fleet.Platform }

// Servers are the stand-ins of the backend servers.
func (r *Rig) Servers() []Server {
	var out []Server
	for id, e := range r.fleet.Engines {
		out = append(out, r.server(id, &e.Record))
	}
	for id, s := range r.fleet.Services {
		out = append(out, r.server(id, &s.Record))
	}
	return out
}

func (r *Rig) server(id shed.ServerID, record *stand.Record) Server {
	s := r.fleet.Rules.Servers[id]
	return Server{ID: id, Zone: s.Zone, Supplier: s.Supplier, Record: record}
}

// Call sends one request through the balancer, which knows by a poll which
// daemons are ready. Nothing is repeated.
func (r *Rig) Call(ctx context.Context, a Arrival, tokens int, text func()) (*client.Answer, error) {
	c, err := r.balance(string(a.Workspace))
	if err != nil {
		return nil, err
	}
	work := client.Request{Pipeline: string(a.Pipeline), Input: a.Input, MaxTokens: uint32(tokens)}
	if !r.fleet.Rules.Pipelines[a.Pipeline].Idempotent() {
		return c.RunOnce(ctx, work)
	}
	return c.Stream(ctx, work, client.Events{Text: func(string, string) { text() }})
}

// balance picks the next ready daemon.
func (r *Rig) balance(workspace string) (*client.Client, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.asked) >= healthEvery {
		r.asked = now
		r.ready = r.ready[:0]
		for _, m := range r.fleet.Members() {
			if m.Daemon().Ready() {
				r.ready = append(r.ready, m)
			}
		}
	}
	members := r.ready
	if len(members) == 0 {
		members = r.fleet.Members()
	}
	r.next++
	return r.client(members[r.next%len(members)].CallerURL(), workspace)
}

func (r *Rig) client(url, workspace string) (*client.Client, error) {
	key := url + " " + workspace
	if c := r.clients[key]; c != nil {
		return c, nil
	}
	c, err := client.New(client.Config{
		URLs:       []string{url},
		Workspace:  workspace,
		Token:      tokenOf(workspace),
		MaxRetries: -1,
	})
	r.clients[key] = c
	return c, err
}

// ApplyEvent makes an event happen.
func (r *Rig) ApplyEvent(ctx context.Context, ev Event) error {
	switch ev.Kind {
	case EventZoneClosed:
		return r.edit(zoneLine(ev.Target, false), zoneLine(ev.Target, true))
	case EventZoneReopened:
		return r.edit(zoneLine(ev.Target, true), zoneLine(ev.Target, false))
	case EventSupplierLeaving:
		return r.edit(supplierLine(ev.Target, false), supplierLine(ev.Target, true))
	case EventZonePartitioned:
		r.cutter.set(shed.ZoneID(ev.Target), true)
	case EventZoneHealed:
		r.cutter.set(shed.ZoneID(ev.Target), false)
	case EventPlatformDown:
		r.fleet.Platform.SetDown(true)
	case EventPlatformUp:
		r.fleet.Platform.SetDown(false)
	case EventRollingRestart:
		return r.restart(ctx)
	default:
		return r.turn(ev)
	}
	return nil
}

// turn changes one engine.
func (r *Rig) turn(ev Event) error {
	e := r.fleet.Engines[shed.ServerID(ev.Target)]
	if e == nil {
		return fmt.Errorf("%w: server %s", errEvent, ev.Target)
	}
	switch ev.Kind {
	case EventServerCold:
		e.TurnCold()
	case EventServerSlow:
		e.SetSlowness(slowness)
	case EventServerNormal:
		e.SetSlowness(1)
	}
	return nil
}

// edit changes one line of the rules and publishes them.
func (r *Rig) edit(from, to string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytes.Count(r.text, []byte(from)) != 1 {
		return fmt.Errorf("%w: line %q", errEvent, from)
	}
	r.text = bytes.Replace(r.text, []byte(from), []byte(to), 1)
	r.fleet.Publish(r.text)
	return nil
}

// restart replaces every daemon in turn: the new one first, then a graceful
// stop of the old one.
func (r *Rig) restart(ctx context.Context) error {
	for _, old := range r.fleet.Members() {
		if _, err := r.fleet.AddDaemon(ctx, old.Zone); err != nil {
			return err
		}
		r.place()
		if err := r.fleet.WaitReady(ctx); err != nil {
			return err
		}
		r.fleet.Stop(old)
	}
	return nil
}
