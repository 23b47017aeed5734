package daemon

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/peers"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"
)

// Decider takes the decisions; it is pure and not safe for concurrent use.
type Decider interface {
	// Handle takes one event and returns what to do, in order.
	Handle(now time.Time, ev shed.Event) []shed.Action
	// Issue gives out a ticket whose id embeds random; else it is refused.
	Issue(now time.Time, ws shed.WorkspaceID, pipeline shed.PipelineID, random [16]byte) (shed.Ticket, *shed.Finish)
	// Lookup gives the stored answer to a ticketed request, or an empty one if
	// it runs; false if it is not known here for this workspace.
	Lookup(now time.Time, id shed.RequestID, ws shed.WorkspaceID) (shed.Finish, bool)
	// Locate tells which process a ticket's requests run at.
	Locate(id shed.RequestID) shed.Home
	// Status is what the daemon believes, for operators.
	Status(now time.Time) any
}

// Config is what a Daemon needs.
type Config struct {
	Self     shed.Peer
	Zone     shed.ZoneID
	Core     Decider
	Backend  shed.Backend
	Platform shed.Platform
	Peers    *peers.Client
	Log      *logrus.Logger
	Scope    tally.Scope
	Tracer   trace.Tracer
	// Listener takes the calls of peers; PeerServer overrides its settings.
	PeerListener net.Listener
	PeerServer   peers.ServerConfig
	// Services are run beside the daemon's own: listeners and the like.
	Services []suture.Service
	// DrainTimeout is how long the services may take to end after the stop.
	DrainTimeout time.Duration
	// AnswerRetention is how long the answer to a ticketed request is kept.
	AnswerRetention time.Duration
}

// Daemon is one process of the system, as a value.
type Daemon struct {
	cfg   Config
	start time.Time
	stats stats
	notes ring

	// rules in force; nil until the first.
	rules atomic.Pointer[shed.Rules]
	ready atomic.Bool
	// exit is closed once the core has nothing left to do.
	exit     chan struct{}
	exitOnce sync.Once
	// work holds every goroutine that performs an action.
	work errgroup.Group

	// mu orders the decisions and guards what follows.
	mu sync.Mutex
	// runs are the requests accepted here: those under way, and the ticketed
	// ones that have ended, for AnswerRetention.
	runs map[shed.RequestID]*run
	// guests are stage calls that peers handed over.
	guests map[shed.Call]*guest
	// calls are the calls under way, of runs and guests.
	calls map[shed.Call]*call
	// base is the context of all calls; it ends when the daemon does.
	base context.Context
	halt context.CancelFunc
}

// New makes a Daemon; Run runs it.
func New(cfg Config) *Daemon {
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.AnswerRetention == 0 {
		cfg.AnswerRetention = 10 * time.Minute
	}
	if cfg.DrainTimeout == 0 {
		cfg.DrainTimeout = 10 * time.Second
	}
	base, halt := context.WithCancel(context.Background())
	return &Daemon{
		cfg:    cfg,
		start:  time.Now(),
		stats:  newStats(cfg.Scope),
		exit:   make(chan struct{}),
		runs:   make(map[shed.RequestID]*run),
		guests: make(map[shed.Call]*guest),
		calls:  make(map[shed.Call]*call),
		base:   base,
		halt:   halt,
	}
}

// ErrFailed is returned by Run when a service failed for good.
var ErrFailed = errors.New("daemon failed")

// Add adds services that are run beside the daemon's own. It is called before
// Run.
func (d *Daemon) Add(services ...suture.Service) {
	d.cfg.Services = append(d.cfg.Services, services...)
}

// Run runs the daemon until a graceful stop is done, or ctx ends at once.
// The supervisor restarts a service that fails.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	top := suture.New("daemon", suture.Spec{EventHook: d.logSupervisor, Timeout: d.cfg.DrainTimeout + time.Second})
	srv := d.cfg.PeerServer
	srv.Listener, srv.Handler = d.cfg.PeerListener, d
	if srv.Log == nil {
		srv.Log = func(err error) { d.cfg.Log.WithError(err).Debug("peer connection") }
	}
	top.Add(peers.NewServer(srv))
	for _, s := range d.cfg.Services {
		top.Add(s)
	}
	top.Add(&ticker{daemon: d})
	ended := top.ServeBackground(ctx)
	var err error
	select {
	case <-d.exit:
	case err = <-ended:
	}
	cancel()
	d.halt()
	d.abandon()
	if err == nil {
		// The listeners still write the last answers; a process that ended here
		// would cut them off.
		err = <-ended
	}
	_ = d.work.Wait()
	_ = d.cfg.Peers.Close()
	if err != nil && !errors.Is(err, context.Canceled) {
		return errors.Join(ErrFailed, err)
	}
	return nil
}

// Stop asks for a graceful stop; asked twice, it hurries.
func (d *Daemon) Stop(hurry bool) {
	d.handle(shed.StopRequested{SkipNotice: hurry})
}

// Ready implements shed.Serving.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// Rules in force, or nil.
func (d *Daemon) Rules() *shed.Rules { return d.rules.Load() }

// Status is what the daemon believes.
func (d *Daemon) Status() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg.Core.Status(time.Now())
}

// Explain is what was noted about a request, oldest first; with an empty id,
// the newest notes of all.
func (d *Daemon) Explain(id shed.RequestID) []Entry { return d.notes.of(id) }

func (d *Daemon) logSupervisor(e suture.Event) {
	d.cfg.Log.WithFields(e.Map()).Warn(e.String())
}

// ticker gives the core its sense of time.
type ticker struct{ daemon *Daemon }

// String names the service in the supervisor's log.
func (t *ticker) String() string { return "ticker" }

// Serve ticks until ctx ends.
func (t *ticker) Serve(ctx context.Context) error {
	tick := time.NewTicker(shed.TickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			t.daemon.tick()
		}
	}
}

func (d *Daemon) tick() {
	now := time.Now()
	// Round strips the monotonic reading, so that Wall is wall time alone.
	d.handle(shed.Tick{Wall: now.Round(0), Mono: now.Sub(d.start)})
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.runs {
		if r.expired(now) {
			delete(d.runs, id)
		}
	}
}
