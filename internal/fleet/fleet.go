// Package fleet runs a whole fleet in one process on loopback: real daemons in
// every zone of a rules file, with stand-ins for the platform, the engines and
// the plain services. The demo and the load tool use it.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/core"
	"jasmineshed/internal/node"
	"jasmineshed/internal/prefs"
	"jasmineshed/internal/rules"
	"jasmineshed/internal/stand"
	"jasmineshed/internal/wire"

	"golang.org/x/sync/errgroup"
)

// anyPort lets the system choose a port on loopback.
const anyPort = "127.0.0.1:0"

// Config is what a Fleet needs. Zero values take the defaults.
type Config struct {
	// Rules is the text of the operators' rules file. The URLs of its servers
	// are replaced by those of stand-ins.
	Rules []byte
	// DaemonsPerZone is how many daemons run in each zone; default 2.
	DaemonsPerZone int
	// LogTo takes the daemons' logs; default none.
	LogTo io.Writer
	// Policy of the daemons; empty takes the default.
	Policy string
	// Engine configures the stand-in of a server that is no plain service.
	Engine func(s *shed.Server, kind shed.StageKind) stand.EngineConfig
	// ServiceTime is the time of one call of a plain service.
	ServiceTime time.Duration
	// VMLag is how late the platform's VM list is.
	VMLag time.Duration
	// TunePrefs and Tune change each daemon's settings and core.
	TunePrefs func(*prefs.Prefs)
	TuneCore  func(*core.Config)
	// TuneNode changes how each daemon is put together, for instance how it dials.
	TuneNode func(*node.Config)
}

// Fleet is a fleet that runs.
type Fleet struct {
	Platform *stand.Platform
	Engines  map[shed.ServerID]*stand.Engine
	Services map[shed.ServerID]*stand.Service
	// Rules are those of the first text, with the stand-ins' URLs.
	Rules *shed.Rules

	cfg         Config
	text        []byte
	platformURL string
	servers     []*stand.Server
	work        errgroup.Group

	mu      sync.Mutex
	members []*Member
}

// Member is one daemon of a fleet.
type Member struct {
	*node.Node
	Zone shed.ZoneID
	kill context.CancelFunc
	done chan struct{}
}

// Start starts the stand-ins and the daemons; it does not wait for them to be
// ready.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	if cfg.DaemonsPerZone == 0 {
		cfg.DaemonsPerZone = 2
	}
	if cfg.LogTo == nil {
		cfg.LogTo = io.Discard
	}
	if cfg.Engine == nil {
		cfg.Engine = DefaultEngine
	}
	f := &Fleet{
		cfg:      cfg,
		Engines:  make(map[shed.ServerID]*stand.Engine),
		Services: make(map[shed.ServerID]*stand.Service),
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	return f, nil
}

// longRun is what a server has completed that was up long before the fleet.
const longRun = 100_000

// DefaultEngine is a quick engine that has long been warm.
func DefaultEngine(s *shed.Server, _ shed.StageKind) stand.EngineConfig {
	return stand.EngineConfig{
		ID: s.ID, Capacity: s.Capacity, ColdCapacity: s.ColdCapacity,
		TokenTime: 2 * time.Millisecond, PrefillTime: 50 * time.Microsecond, CallTime: 5 * time.Millisecond,
		ChecksFence: s.Fenced, CacheEntries: 256, PriorCalls: longRun,
	}
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startServers(); err != nil {
		return err
	}
	f.Platform = stand.NewPlatform(stand.PlatformConfig{VMLag: f.cfg.VMLag})
	srv, err := stand.Listen(anyPort, f.Platform)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, srv)
	f.platformURL = srv.URL()
	f.Publish(f.text)
	for _, z := range f.Zones() {
		for range f.cfg.DaemonsPerZone {
			if _, err := f.AddDaemon(ctx, z); err != nil {
				return err
			}
		}
	}
	return nil
}

// startServers runs a stand-in for each server of the rules and puts its URL
// into the text.
func (f *Fleet) startServers() error {
	first, err := rules.Compile(f.cfg.Rules, 1)
	if err != nil {
		return err
	}
	var urls []string
	for _, id := range sortedServers(first) {
		s := first.Servers[id]
		srv, err := f.startServer(first, s)
		if err != nil {
			return err
		}
		f.servers = append(f.servers, srv)
		urls = append(urls, s.URL, srv.URL())
	}
	f.text = []byte(strings.NewReplacer(urls...).Replace(string(f.cfg.Rules)))
	f.Rules, err = rules.Compile(f.text, 1)
	return err
}

func sortedServers(r *shed.Rules) []shed.ServerID {
	ids := make([]shed.ServerID, 0, len(r.Servers))
	for id := range r.Servers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (f *Fleet) startServer(r *shed.Rules, s *shed.Server) (*stand.Server, error) {
	pool := r.Pools[s.Pool]
	if pool.Kind == shed.KindService {
		svc := stand.NewService(stand.ServiceConfig{ID: s.ID, Capacity: s.Capacity, CallTime: f.cfg.ServiceTime, PriorCalls: longRun})
		f.Services[s.ID] = svc
		return stand.Listen(anyPort, svc)
	}
	cfg := f.cfg.Engine(s, pool.Kind)
	if m := r.Models[pool.Model]; m != nil && cfg.Model == "" {
		cfg.Model, cfg.Role = string(m.ID)+"@"+m.Version, s.Role
	}
	e := stand.NewEngine(cfg)
	f.Engines[s.ID] = e
	return stand.Listen(anyPort, e)
}

// RulesText is the rules file as it was first published.
func (f *Fleet) RulesText() []byte { return f.text }

// Zones of the rules, sorted.
func (f *Fleet) Zones() []shed.ZoneID {
	var out []shed.ZoneID
	for z := range f.Rules.Zones {
		out = append(out, z)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Publish puts a rules file on the platform, as an operator does.
func (f *Fleet) Publish(text []byte) shed.Revision {
	return f.Platform.PublishRules(text)
}

// AddDaemon starts one more daemon in the zone.
func (f *Fleet) AddDaemon(ctx context.Context, z shed.ZoneID) (*Member, error) {
	p := prefs.Defaults()
	p.Node.Peer, p.Listen.Callers, p.Listen.Operators = anyPort, anyPort, anyPort
	p.Node.Zone = string(z)
	p.Platform.URL = f.platformURL
	p.Stop.Notice = 200 * time.Millisecond
	for _, m := range f.Members() {
		p.Node.Seeds = append(p.Node.Seeds, string(m.Self().VM))
	}
	if f.cfg.TunePrefs != nil {
		f.cfg.TunePrefs(p)
	}
	cfg := node.Config{Prefs: p, LogTo: f.cfg.LogTo, Policy: f.cfg.Policy, TuneCore: f.cfg.TuneCore}
	if f.cfg.TuneNode != nil {
		f.cfg.TuneNode(&cfg)
	}
	n, err := node.New(ctx, cfg)
	if err != nil {
		return nil, err
	}
	run, kill := context.WithCancel(context.WithoutCancel(ctx))
	m := &Member{Node: n, Zone: z, kill: kill, done: make(chan struct{})}
	f.mu.Lock()
	f.members = append(f.members, m)
	f.mu.Unlock()
	f.listVMs()
	f.work.Go(func() error {
		defer close(m.done)
		return n.Run(run)
	})
	return m, nil
}

// Members are the daemons that run.
func (f *Fleet) Members() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Member{}, f.members...)
}

// listVMs tells the platform which VMs there are.
func (f *Fleet) listVMs() {
	var vms []wire.VM
	for _, m := range f.Members() {
		vms = append(vms, wire.VM{VM: m.Self().VM, Zone: m.Zone})
	}
	f.Platform.SetVMs(vms)
}

func (f *Fleet) remove(gone *Member) {
	f.mu.Lock()
	kept := f.members[:0]
	for _, m := range f.members {
		if m != gone {
			kept = append(kept, m)
		}
	}
	f.members = kept
	f.mu.Unlock()
	f.listVMs()
}

// Stop stops a daemon gracefully and waits for its end.
func (f *Fleet) Stop(m *Member) {
	m.Stop(false)
	<-m.done
	f.remove(m)
}

// Kill ends a daemon at once.
func (f *Fleet) Kill(m *Member) {
	m.kill()
	<-m.done
	f.remove(m)
}

// ErrNotReady is returned by WaitReady when ctx ends first.
var ErrNotReady = errors.New("fleet is not ready")

// WaitReady waits until every daemon takes requests.
func (f *Fleet) WaitReady(ctx context.Context) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		if f.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotReady, ctx.Err())
		case <-tick.C:
		}
	}
}

func (f *Fleet) ready() bool {
	for _, m := range f.Members() {
		if !m.Daemon().Ready() {
			return false
		}
	}
	return true
}

// CallerURLs are the daemons' base URLs for callers.
func (f *Fleet) CallerURLs() []string {
	var out []string
	for _, m := range f.Members() {
		out = append(out, m.CallerURL())
	}
	return out
}

// Close ends everything at once.
func (f *Fleet) Close() {
	for _, m := range f.Members() {
		m.kill()
	}
	_ = f.work.Wait()
	for _, s := range f.servers {
		_ = s.Close()
	}
}
