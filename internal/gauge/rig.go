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
	// vmLag is the delay of the platform's VM list in experiments.
	vmLag = 2 * time.Second
	// healthInterval is how often the load balancer checks the readiness of the daemons.
	healthInterval = 100 * time.Millisecond
	// settleTime is the time between readiness and the start of a scenario, during
	// which load reports propagate.
	settleTime = time.Second
	// slowServerFactor multiplies the times of a server that EventServerSlow slows down.
	slowServerFactor = 10
	// drafterLoadSlope makes calls to a drafter take twice as long at full capacity.
	drafterLoadSlope = 1
	// loadLag is the age of the state in the engines' load reports.
	loadLag = 200 * time.Millisecond
	// priorCalls is the number of completed calls of a server that has been up for long.
	priorCalls = 100_000
)

// errUnknownTarget is returned if an event's target does not exist.
var errUnknownTarget = errors.New("unknown target of an event")

// Rig is a fleet for a scenario, with the platform's load balancer in front of it.
type Rig struct {
	scenario    Scenario
	fleet       *fleet.Fleet
	partitioner *partitioner

	mu sync.Mutex
	// rulesText is the text of the rules as last published.
	rulesText []byte
	// ready holds the daemons that were ready at the last health check.
	ready           []*fleet.Member
	lastHealthCheck time.Time
	next            int
	clients         map[string]*client.Client
}

// NewRig starts the fleet and waits until it is ready. The daemons log to
// logTo.
func NewRig(ctx context.Context, s Scenario, logTo io.Writer) (*Rig, error) {
	r := &Rig{scenario: s, partitioner: newPartitioner(), clients: map[string]*client.Client{}}
	f, err := fleet.Start(ctx, fleet.Config{
		Rules:          s.RulesText(),
		DaemonsPerZone: s.Fleet.Daemons,
		LogTo:          logTo,
		Policy:         s.Policy,
		Engine:         s.Fleet.engineConfig,
		ServiceTime:    s.Fleet.CallTime,
		VMLag:          vmLag,
		TuneNode:       r.setDialers,
	})
	if err != nil {
		return nil, err
	}
	r.fleet = f
	r.rulesText = f.RulesText()
	r.setZones()
	if err := f.WaitReady(ctx); err != nil {
		f.Close()
		return nil, err
	}
	time.Sleep(settleTime)
	return r, nil
}

func (s FleetSize) engineConfig(server *shed.Server, kind shed.StageKind) stand.EngineConfig {
	cfg := stand.EngineConfig{
		ID:           server.ID,
		Capacity:     server.Capacity,
		ColdCapacity: server.ColdCapacity,
		CallTime:     s.CallTime,
		LoadLag:      loadLag,
		CacheEntries: 256,
		PriorCalls:   priorCalls,
	}
	if kind == shed.KindGenerate {
		cfg.WarmAfter = s.WarmAfter
		cfg.TokenTime = s.TokenTime
		cfg.PrefillTime = s.TokenTime / 10
		cfg.LoadSlope = drafterLoadSlope
	}
	return cfg
}

// setDialers makes a daemon dial through the partitioner, which can drop its connections.
func (r *Rig) setDialers(cfg *node.Config) {
	zone := shed.ZoneID(cfg.Prefs.Node.Zone)
	cfg.DialPeer = r.partitioner.dialPeerFrom(zone)
	cfg.DialPlatform = r.partitioner.dialPlatformFrom(zone)
}

// setZones records the zone of every daemon in the partitioner.
func (r *Rig) setZones() {
	for _, m := range r.fleet.Members() {
		r.partitioner.setZone(m.Self().VM, m.Zone)
	}
}

// Close stops the fleet.
func (r *Rig) Close() { r.fleet.Close() }

// Rules returns the rules that the fleet was started with.
func (r *Rig) Rules() *shed.Rules { return r.fleet.Rules }

// Platform returns the stand-in of the platform.
func (r *Rig) Platform() *stand.Platform { return r.fleet.Platform }

// Servers returns the stand-ins of the backend servers.
func (r *Rig) Servers() []Server {
	var out []Server
	for id, e := range r.fleet.Engines {
		out = append(out, r.newServer(id, &e.Record))
	}
	for id, s := range r.fleet.Services {
		out = append(out, r.newServer(id, &s.Record))
	}
	return out
}

func (r *Rig) newServer(id shed.ServerID, record *stand.Record) Server {
	s := r.fleet.Rules.Servers[id]
	return Server{ID: id, Zone: s.Zone, Supplier: s.Supplier, Record: record}
}

// Call sends one request through the load balancer, which polls the daemons for
// readiness. Failed requests are not retried.
func (r *Rig) Call(ctx context.Context, a Arrival, tokens int, text func()) (*client.Answer, error) {
	c, err := r.pickClient(string(a.Workspace))
	if err != nil {
		return nil, err
	}
	work := client.Request{Pipeline: string(a.Pipeline), Input: a.Input, MaxTokens: uint32(tokens)}
	if !r.fleet.Rules.Pipelines[a.Pipeline].Idempotent() {
		return c.RunOnce(ctx, work)
	}
	return c.Stream(ctx, work, client.Events{Text: func(string, string) { text() }})
}

// pickClient returns a client of the next ready daemon, round robin. If none is ready it
// picks among all.
func (r *Rig) pickClient(workspace string) (*client.Client, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.lastHealthCheck) >= healthInterval {
		r.lastHealthCheck = now
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
		Token:      workspaceToken(workspace),
		MaxRetries: -1,
	})
	r.clients[key] = c
	return c, err
}

// ApplyEvent performs an event.
func (r *Rig) ApplyEvent(ctx context.Context, ev Event) error {
	switch ev.Kind {
	case EventZoneClosed:
		return r.replaceLine(zoneLine(ev.Target, false), zoneLine(ev.Target, true))
	case EventZoneReopened:
		return r.replaceLine(zoneLine(ev.Target, true), zoneLine(ev.Target, false))
	case EventSupplierLeaving:
		return r.replaceLine(supplierLine(ev.Target, false), supplierLine(ev.Target, true))
	case EventZonePartitioned:
		r.partitioner.setPartitioned(shed.ZoneID(ev.Target), true)
	case EventZoneHealed:
		r.partitioner.setPartitioned(shed.ZoneID(ev.Target), false)
	case EventPlatformDown:
		r.fleet.Platform.SetDown(true)
	case EventPlatformUp:
		r.fleet.Platform.SetDown(false)
	case EventRollingRestart:
		return r.restartAll(ctx)
	default:
		return r.changeEngine(ev)
	}
	return nil
}

// changeEngine performs an event that concerns one engine.
func (r *Rig) changeEngine(ev Event) error {
	e := r.fleet.Engines[shed.ServerID(ev.Target)]
	if e == nil {
		return fmt.Errorf("%w: server %s", errUnknownTarget, ev.Target)
	}
	switch ev.Kind {
	case EventServerCold:
		e.TurnCold()
	case EventServerSlow:
		e.SetSlowness(slowServerFactor)
	case EventServerNormal:
		e.SetSlowness(1)
	}
	return nil
}

// replaceLine replaces one line of the rules and publishes them.
func (r *Rig) replaceLine(from, to string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytes.Count(r.rulesText, []byte(from)) != 1 {
		return fmt.Errorf("%w: line %q", errUnknownTarget, from)
	}
	r.rulesText = bytes.Replace(r.rulesText, []byte(from), []byte(to), 1)
	r.fleet.Publish(r.rulesText)
	return nil
}

// restartAll replaces the daemons one by one: it starts a new one, then stops the old one
// gracefully.
func (r *Rig) restartAll(ctx context.Context) error {
	for _, old := range r.fleet.Members() {
		if _, err := r.fleet.AddDaemon(ctx, old.Zone); err != nil {
			return err
		}
		r.setZones()
		if err := r.fleet.WaitReady(ctx); err != nil {
			return err
		}
		r.fleet.Stop(old)
	}
	return nil
}
