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

// Decider makes the decisions. It does no I/O and is not safe for concurrent use.
type Decider interface {
	// Handle processes one event and returns the actions to perform, in order.
	Handle(now time.Time, ev shed.Event) []shed.Action
	// Issue issues a ticket whose id embeds random, or returns a refusal.
	Issue(now time.Time, ws shed.WorkspaceID, pipeline shed.PipelineID, random [16]byte) (shed.Ticket, *shed.Finish)
	// Lookup returns the stored answer to a ticketed request, or an empty one
	// while it runs; false if this workspace has no such request here.
	Lookup(now time.Time, id shed.RequestID, ws shed.WorkspaceID) (shed.Finish, bool)
	// Locate returns the process at which a ticket's requests run.
	Locate(id shed.RequestID) shed.Home
	// Status returns the daemon's current view, for operators.
	Status(now time.Time) any
}

// Config configures a Daemon.
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
	// PeerListener accepts the calls of peers; PeerServer configures their server.
	PeerListener net.Listener
	PeerServer   peers.ServerConfig
	// Services, such as listeners, run beside the daemon's own.
	Services []suture.Service
	// DrainTimeout is how long the services may take to end after a stop.
	DrainTimeout time.Duration
	// AnswerRetention is how long the answer to a ticketed request is kept.
	AnswerRetention time.Duration
}

// Daemon is one process of the system. It keeps no global state, so one program
// may run several.
type Daemon struct {
	cfg   Config
	start time.Time
	stats stats
	notes noteRing

	// rules are the rules in force; nil until the first are applied.
	rules atomic.Pointer[shed.Rules]
	ready atomic.Bool
	// exit is closed once the core has nothing left to do.
	exit     chan struct{}
	exitOnce sync.Once
	// work is the group of all goroutines that perform actions.
	work errgroup.Group

	// mu serializes the decisions and guards the fields below.
	mu sync.Mutex
	// runs are the requests accepted here: those in flight, and for AnswerRetention
	// the ticketed ones that have ended.
	runs map[shed.RequestID]*run
	// forwarded are the stage calls that peers forwarded to this daemon.
	forwarded map[shed.Call]*forwardedCall
	// calls are the calls in flight, of runs and of forwarded calls.
	calls map[shed.Call]*call
	// base is the parent context of all calls; it is cancelled when the daemon
	// ends.
	base       context.Context
	cancelBase context.CancelFunc
}

// New returns a Daemon that Run starts.
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
		cfg:        cfg,
		start:      time.Now(),
		stats:      newStats(cfg.Scope),
		exit:       make(chan struct{}),
		runs:       make(map[shed.RequestID]*run),
		forwarded:  make(map[shed.Call]*forwardedCall),
		calls:      make(map[shed.Call]*call),
		base:       base,
		cancelBase: halt,
	}
}

// ErrFailed is returned by Run when a service failed permanently.
var ErrFailed = errors.New("daemon failed")

// Add adds services that run beside the daemon's own. It must be called before
// Run.
func (d *Daemon) Add(services ...suture.Service) {
	d.cfg.Services = append(d.cfg.Services, services...)
}

// Run runs the daemon until a graceful stop has completed; if ctx ends, it stops
// at once. The supervisor restarts a service that fails.
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
	d.cancelBase()
	d.abortRuns()
	if err == nil {
		// The listeners are still writing the last answers; without this wait the
		// end of the process would truncate them.
		err = <-ended
	}
	_ = d.work.Wait()
	_ = d.cfg.Peers.Close()
	if err != nil && !errors.Is(err, context.Canceled) {
		return errors.Join(ErrFailed, err)
	}
	return nil
}

// Stop starts a graceful stop; skipNotice skips the notice period before it.
func (d *Daemon) Stop(skipNotice bool) {
	d.handle(shed.StopRequested{SkipNotice: skipNotice})
}

// Ready implements shed.Serving.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// Rules returns the rules in force, or nil if there are none yet.
func (d *Daemon) Rules() *shed.Rules { return d.rules.Load() }

// Status returns the daemon's current view, for operators.
func (d *Daemon) Status() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg.Core.Status(time.Now())
}

// Explain returns the notes about a request, oldest first; with an empty id, the
// newest notes of all requests.
func (d *Daemon) Explain(id shed.RequestID) []Entry { return d.notes.find(id) }

func (d *Daemon) logSupervisor(e suture.Event) {
	d.cfg.Log.WithFields(e.Map()).Warn(e.String())
}

// ticker sends the core a Tick event every shed.TickEvery.
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
	// Round strips the monotonic reading, so that Wall is wall time only.
	d.handle(shed.Tick{Wall: now.Round(0), Mono: now.Sub(d.start)})
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.runs {
		if r.isExpired(now) {
			delete(d.runs, id)
		}
	}
}
