// Package relay implements the daemon that forwards requests without interpreting their bodies:
// it finds the route, has the pieces run that the request needs, chooses a server, and returns
// the complete answer. The pure packages roster, picker, batch, member and retry take the
// decisions; this package performs them.
package relay

import (
	"context"
	"errors"
	"fmt"

	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
	"jasmineshed/internal/access"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/delta"
	"jasmineshed/internal/drain"
	"jasmineshed/internal/engine"
	"jasmineshed/internal/hedge"
	"jasmineshed/internal/httpd"
	"jasmineshed/internal/intake"
	"jasmineshed/internal/limit"
	"jasmineshed/internal/member"
	"jasmineshed/internal/oper"
	"jasmineshed/internal/origin"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/permit"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/poison"
	"jasmineshed/internal/prefs"
	"jasmineshed/internal/quota"
	"jasmineshed/internal/resv"
	"jasmineshed/internal/retry"
	"jasmineshed/internal/roster"
	"jasmineshed/internal/speed"
	"jasmineshed/internal/strain"
	"jasmineshed/internal/telem"
	"jasmineshed/internal/turns"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
)

// Config configures a Relay.
type Config struct {
	Prefs *prefs.Prefs
	// Reload rereads the settings; nil if they come from no file.
	Reload  func() (*prefs.Prefs, error)
	Store   shed.Store
	Dialect shed.Dialect
	// Log writes to Lines, whose buffer the relay drains.
	Log     *logrus.Logger
	Lines   *telem.AsyncWriter
	Metrics *telem.Metrics
	Tracing *telem.Tracing
	// Account accounts for what callers make the process hold; nil means one that is bounded by Prefs alone.
	Account *quota.Account
	// Listeners are opened by Listen.
	Listeners Listeners
	// ListenCallers opens the callers' listener at an address again, after it was closed for a pause; nil means TCP.
	ListenCallers func(ctx context.Context, addr string) (net.Listener, error)
	// Dial opens connections to backend servers; nil means TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// DialPeer opens connections to peers; nil means TCP.
	DialPeer func(ctx context.Context, to shed.VM) (net.Conn, error)
}

// Relay is a relay daemon.
type Relay struct {
	cfg    Config
	log    *logrus.Entry
	stats  stats
	tracer trace.Tracer
	front  *httpd.Server
	sender *engine.Sender
	// carriedSender sends over connections that peers carry.
	carriedSender *engine.Sender
	client        *peers.Client
	// base is the context of background work that belongs to no request.
	base       context.Context
	cancelBase context.CancelFunc
	// work tracks the goroutines that perform actions.
	work errgroup.Group

	// prefs are the settings in force.
	prefs    atomic.Pointer[prefs.Prefs]
	stopping atomic.Bool
	// cutAt is when a graceful stop gives up the requests that are still open; nil until there is one.
	cutAt atomic.Pointer[time.Time]
	// requests is cancelled when a stop gives up all requests.
	requests    context.Context
	cutRequests context.CancelFunc
	// forced is closed once a forced stop is requested.
	forced    chan struct{}
	forceOnce sync.Once
	// open counts requests being answered.
	open atomic.Int64

	// allowanceNanos is the allowance for others as of the last probe of the processor, in nanoseconds.
	allowanceNanos atomic.Int64

	// applyMu serializes applying data of the store. It is locked before mu.
	applyMu sync.Mutex

	// mu guards the fields below: all decisions are taken under it, and none of them blocks.
	mu      sync.Mutex
	roster  *roster.Roster
	picker  *picker.Picker
	batcher *batch.Batcher
	speeds  *speed.Table
	// speedsShownAt is when the metrics of speeds were last updated.
	speedsShownAt time.Time
	// entries are the open servers of each pool as of the roster's version entriesVersion.
	entries        map[shed.PoolID][]shed.ServerEntry
	entriesVersion uint64
	accept         *accept.Gate
	poison         *poison.Table
	origins        *origin.Table
	// check is the last check of the store.
	check *storeCheck
	// cacheLists are the lists of servers' cached parts that this VM read.
	cacheLists map[shed.ServerStart]*cacheList
	// usual is how long answers of routes take.
	usual *hedge.Usual
	// longest is how long the longest requests of routes take.
	longest *drain.Longest
	limits  *limit.Table
	// turnBook holds the turns that this VM grants, access when it may send to servers again.
	turnBook *turns.Ledger
	access   *access.Table
	// permits are those that this VM has granted, permitWaiters the requests that wait for one.
	permits       *permit.Ledger
	permitWaiters map[permit.ID]chan struct{}
	// ledgers are the reservations of the pools that this VM coordinates, asker decides which other
	// coordinators are asked for them.
	ledgers      map[shed.PoolID]reservations
	asker        *resv.Asker
	paths        paths
	meter        *strain.Meter
	valve        *intake.Valve
	retryBudgets map[shed.PoolID]*retry.Budget
	group        *member.Group
	mesh         mesh
	packer       delta.Packer
	jobs         map[batch.JobID]chan []shed.PieceResult
	lastJob      batch.JobID
	// expected is how many pieces the requests here will request from each pool once the
	// preceding steps are done, expectedBytes the size of their results; entries of 0 pieces are
	// deleted.
	expected      map[shed.PoolID]int
	expectedBytes map[shed.PoolID]int64
	// pendingFrees are results to be freed, by the address of their producer; activeFrees
	// counts the free calls in flight per address.
	pendingFrees map[string][]shed.ResultRef
	activeFrees  map[string]int
	// historyCompacted: the store no longer has the history, so a full read is needed. Used by
	// followStore only.
	historyCompacted bool
	// lastChange is when the store last answered with changes. Used by followStore only.
	lastChange time.Time
	// readings are the answers to a watch of the store that are not applied yet.
	readings readings
	// splitCounter counts requests, to distribute them over the split of a route.
	splitCounter uint64
}

// New creates a Relay; Run runs it.
func New(cfg Config) *Relay {
	if cfg.Dial == nil {
		cfg.Dial = newServerDialer(cfg.Prefs).DialContext
	}
	if cfg.ListenCallers == nil {
		cfg.ListenCallers = func(ctx context.Context, addr string) (net.Listener, error) {
			return httpd.Listen(ctx, addr, cfg.Prefs.Limits.WriteTimeout)
		}
	}
	if cfg.Account == nil {
		cfg.Account = quota.New(cfg.Prefs.Limits.Held())
	}
	base, halt := context.WithCancel(context.Background())
	requests, cutRequests := context.WithCancel(base)
	r := &Relay{
		cfg:           cfg,
		log:           logrus.NewEntry(cfg.Log),
		stats:         newStats(cfg.Metrics.Scope),
		tracer:        cfg.Tracing.Tracer("jasmineshed/relay"),
		base:          base,
		forced:        make(chan struct{}),
		cancelBase:    halt,
		requests:      requests,
		cutRequests:   cutRequests,
		roster:        roster.New(roster.Config{Heartbeat: cfg.Prefs.Relay.Heartbeat}),
		accept:        accept.New(),
		origins:       origin.New(),
		cacheLists:    map[shed.ServerStart]*cacheList{},
		usual:         hedge.NewUsual(),
		longest:       drain.NewLongest(),
		limits:        limit.New(),
		turnBook:      turns.NewLedger(),
		access:        access.New(),
		paths:         newPaths(),
		meter:         strain.New(),
		valve:         intake.New(),
		permits:       permit.NewLedger(),
		picker:        picker.New(picker.Config{Zone: shed.ZoneID(cfg.Prefs.Node.Zone)}),
		speeds:        speed.New(),
		retryBudgets:  map[shed.PoolID]*retry.Budget{},
		entries:       map[shed.PoolID][]shed.ServerEntry{},
		ledgers:       map[shed.PoolID]reservations{},
		asker:         resv.NewAsker(),
		jobs:          map[batch.JobID]chan []shed.PieceResult{},
		permitWaiters: map[permit.ID]chan struct{}{},
		expected:      map[shed.PoolID]int{},
		expectedBytes: map[shed.PoolID]int64{},
		pendingFrees:  map[string][]shed.ResultRef{},
		activeFrees:   map[string]int{},
	}
	r.prefs.Store(cfg.Prefs)
	r.sender = engine.NewSender(engine.Config{Dial: r.dialServer, ConnectTimeout: cfg.Prefs.Relay.Connect + strain.MaxAllowance})
	r.carriedSender = engine.NewSender(engine.Config{Dial: r.dialCarried, ConnectTimeout: carryTimeout + strain.MaxAllowance})
	r.front = httpd.New(httpd.Config{
		Name: "callers", Listener: cfg.Listeners.Callers, Handler: http.HandlerFunc(r.serve),
		Limits: cfg.Prefs.Limits, DrainTimeout: stopSlack, Intake: callerIntake{r}, Reopen: r.reopenCallers,
		Account: cfg.Account, Scope: cfg.Metrics.Scope, Log: r.log,
	})
	r.batcher = batch.New(r.serverEntries)
	r.startMesh()
	r.poison = poison.New(poison.Config{
		Self: r.mesh.self.VM, Limit: cfg.Prefs.Relay.CrashLimit, Quarantine: cfg.Prefs.Relay.Quarantine,
	})
	return r
}

// newServerDialer returns the dialer of connections to backend servers.
func newServerDialer(p *prefs.Prefs) *net.Dialer {
	d := httpd.Dialer(p.Relay.Connect+strain.MaxAllowance, p.Relay.Silence)
	if p.Relay.Source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(p.Relay.Source)}
	}
	return d
}

// dialServer opens a connection to a backend server.
func (r *Relay) dialServer(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := r.withTimeout(ctx, r.cfg.Prefs.Relay.Connect)
	defer cancel()
	began := time.Now()
	c, err := r.cfg.Dial(ctx, network, addr)
	r.stats.recordDial(err)
	r.recordConnect(addr, time.Since(began), err)
	return c, err
}

// serverEntries returns the open servers of a pool, for the batcher, which doesn't modify them.
// The caller holds mu.
func (r *Relay) serverEntries(pool shed.PoolID) []shed.ServerEntry {
	if v := r.roster.Version(); v != r.entriesVersion {
		clear(r.entries)
		r.entriesVersion = v
	}
	entries, ok := r.entries[pool]
	if !ok {
		for _, s := range r.roster.OpenServers(pool) {
			entries = append(entries, s.ServerEntry)
		}
		r.entries[pool] = entries
	}
	return entries
}

// ErrFailed is returned by Run when the daemon ended without a request to stop.
var ErrFailed = errors.New("relay failed")

// stopSlack is the part of the stop time that is reserved for the process to exit.
const stopSlack = time.Second

// Run serves until ctx is done or a graceful stop is complete.
func (r *Relay) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	top := suture.New("relay", suture.Spec{
		EventHook: telem.SupervisorHook(r.log), Timeout: r.prefs.Load().Stop.Drain,
	})
	for _, s := range r.services() {
		top.Add(s)
	}
	top.Add(service{"stop", func(ctx context.Context) error { return r.awaitStop(ctx, cancel) }})
	r.log.WithFields(logrus.Fields{
		"vm": r.mesh.self.VM, "zone": r.prefs.Load().Node.Zone, "incarnation": r.mesh.self.Incarnation,
		"seeds": r.prefs.Load().Node.Seeds,
	}).Info("relay starts")
	err := top.Serve(ctx)
	r.cancelBase()
	_ = r.work.Wait()
	_ = r.client.Close()
	r.sender.Close()
	r.carriedSender.Close()
	r.log.WithField("dropped_lines", r.cfg.Lines.Dropped()).Info("relay ends")
	r.cfg.Lines.Flush()
	if r.stopping.Load() || errors.Is(err, context.Canceled) {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrFailed, err)
}

// service adapts a function to a service of the supervisor tree.
type service struct {
	name string
	run  func(context.Context) error
}

// String names the service in the supervisor's log.
func (s service) String() string { return s.name }

// Serve runs the function.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

func (r *Relay) services() []suture.Service {
	p, l := r.prefs.Load(), r.cfg.Listeners
	return []suture.Service{
		r.cfg.Lines,
		r.front,
		httpd.New(httpd.Config{
			Name: "ready", Listener: l.Ready, Handler: http.HandlerFunc(r.serveReady),
			Limits: p.Limits, CallTimeout: p.Limits.WriteTimeout, DrainTimeout: stopSlack, Log: r.log,
		}),
		peers.NewServer(peers.ServerConfig{
			Listener: l.Peers, Relay: r,
			Log: func(err error) { r.log.WithError(err).Debug("peer connection ended") },
		}),
		oper.New(oper.Config{
			Listener: l.Operators, Status: r, Explainer: noExplainer{},
			Metrics: r.cfg.Metrics.Handler, Limits: p.Limits, Profile: p.Listen.Profile, Log: r.log,
		}),
		service{"store", r.followStore},
		service{"tick", r.runTicks},
		service{"probes", r.runProbes},
		service{"settings", r.followSettings},
	}
}

// noExplainer answers operators' queries for single requests with nothing: the relay keeps no
// history but its log.
type noExplainer struct{}

// Explain implements oper.Explainer.
func (noExplainer) Explain(shed.RequestID) (any, bool) { return nil, false }

// serveReady answers the load balancer's readiness checks.
func (r *Relay) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Relay) ready() bool {
	if r.stopping.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return r.isUsable(now) && !r.valve.Saturated(now)
}

// isUsable reports whether requests can be judged by the configuration in force. One that needs no keys may be
// truncated, which peers that know an earlier one report. The caller holds mu.
func (r *Relay) isUsable(now time.Time) bool {
	if !r.roster.Usable() {
		return false
	}
	return r.roster.NeedsKey() || len(r.mesh.lastLoad) > 0 || now.Sub(r.mesh.startedAt) > joinDuration
}

// tickEvery is the tick period of the pure packages.
const tickEvery = shed.TickEvery

func (r *Relay) runTicks(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	start := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			r.tick(time.Now(), start)
		}
	}
}

func (r *Relay) tick(now, start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	dropped := r.roster.Tick(now)
	r.logRosterChanges(dropped)
	r.forwardRemovals(now, dropped)
	r.performBatch(r.batcher.Handle(now, batch.Tick{}))
	r.notifyPermits(r.permits.Tick(now))
	r.tickReservations(now)
	r.tickPaths(now)
	r.showSpeeds(now)
	r.tickMesh(now, start)
}
