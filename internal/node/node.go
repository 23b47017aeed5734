// Package node builds one daemon from its settings: listeners, core, driver,
// logs, metrics and traces.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/admit"
	"jasmineshed/internal/certs"
	"jasmineshed/internal/config"
	"jasmineshed/internal/core"
	"jasmineshed/internal/daemon"
	"jasmineshed/internal/engine"
	"jasmineshed/internal/front"
	"jasmineshed/internal/httpd"
	"jasmineshed/internal/member"
	"jasmineshed/internal/oper"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/plat"
	"jasmineshed/internal/prefs"
	"jasmineshed/internal/quota"
	"jasmineshed/internal/rules"
	"jasmineshed/internal/telem"
	"jasmineshed/internal/ticket"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
)

// Config configures a Node.
type Config struct {
	Prefs *prefs.Prefs
	// LogTo receives the log as JSON lines.
	LogTo io.Writer
	// Policy names the policy that picks servers; empty means the default.
	Policy string
	// OrderToken is sent with each order to an engine.
	OrderToken string
	// Account accounts for what callers make the process hold; nil means one that is bounded by Prefs alone.
	Account *quota.Account
	// TuneCore, if not nil, changes the core's configuration before it is used; for
	// experiments and tests.
	TuneCore func(*core.Config)
	// DialPeer and DialPlatform open connections; nil means TCP. Experiments
	// simulate network partitions here.
	DialPeer     func(ctx context.Context, to shed.VM) (net.Conn, error)
	DialPlatform func(ctx context.Context, network, addr string) (net.Conn, error)
	// Callers, Peers and Operators are the listeners; New opens those that are nil.
	Callers, Peers, Operators net.Listener
}

// Node is one daemon with its listeners.
type Node struct {
	cfg     Config
	log     *logrus.Logger
	metrics *telem.Metrics
	tracing *telem.Tracing
	engine  *engine.Engine
	plat    *plat.Platform
	// callerCerts and peerCerts are nil without TLS.
	callerCerts, peerCerts *certs.Store
	daemon                 *daemon.Daemon
	self                   shed.Peer
}

// ErrStart is returned by New when the daemon can't be set up.
var ErrStart = errors.New("daemon can't start")

// New opens the listeners and builds the daemon; Run runs it.
func New(ctx context.Context, cfg Config) (*Node, error) {
	n := &Node{cfg: cfg}
	if err := n.open(ctx); err != nil {
		n.closeListeners()
		return nil, fmt.Errorf("%w: %w", ErrStart, err)
	}
	return n, nil
}

func (n *Node) open(ctx context.Context) error {
	p := n.cfg.Prefs
	var err error
	if n.log, err = telem.NewLogger(n.cfg.LogTo, p.Log.Level); err != nil {
		return err
	}
	n.metrics = telem.NewMetrics(n.log)
	if err := n.listen(ctx); err != nil {
		return err
	}
	n.tracing, err = telem.NewTracing(ctx, telem.TraceConfig{
		Exporter: p.Trace.Exporter, File: p.Trace.File, Endpoint: p.Trace.Endpoint,
		Ratio: p.Trace.Ratio, Zone: p.Node.Zone, VM: string(n.peerAddress()),
	})
	if err != nil {
		return err
	}
	if err := n.openCerts(); err != nil {
		return err
	}
	n.self = shed.Peer{VM: n.peerAddress(), Incarnation: shed.Incarnation(time.Now().UnixNano())}
	n.engine = engine.New(engine.Config{OrderToken: n.cfg.OrderToken})
	n.plat = plat.New(plat.Config{URL: p.Platform.URL, Timeout: p.Platform.ReadTimeout, Dial: n.cfg.DialPlatform})
	return n.assemble()
}

// listen opens the listeners that are not in the configuration.
func (n *Node) listen(ctx context.Context) error {
	return httpd.ListenAll(ctx, n.cfg.Prefs.Limits.WriteTimeout, []httpd.ListenSpec{
		{Listener: &n.cfg.Callers, Addr: n.cfg.Prefs.Listen.Callers},
		{Listener: &n.cfg.Peers, Addr: n.cfg.Prefs.Node.Peer},
		{Listener: &n.cfg.Operators, Addr: n.cfg.Prefs.Listen.Operators},
	})
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.cfg.Callers, n.cfg.Peers, n.cfg.Operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// openCerts loads the keys and certificates that the settings name.
func (n *Node) openCerts() error {
	t := n.cfg.Prefs.TLS
	var err error
	if t.CallerCert != "" {
		n.callerCerts, err = certs.Open(certs.Config{Cert: t.CallerCert, Key: t.CallerKey, CheckInterval: t.Reload, Log: n.log})
		if err != nil {
			return err
		}
	}
	if t.PeerCert == "" {
		return nil
	}
	n.peerCerts, err = certs.Open(certs.Config{
		Cert: t.PeerCert, Key: t.PeerKey, CA: t.PeerCA, Name: t.PeerName, CheckInterval: t.Reload, Log: n.log,
	})
	return err
}

// peerAddress is the address at which peers reach this daemon. A listener on port
// 0 gets its port from the system.
func (n *Node) peerAddress() shed.VM {
	if p := n.cfg.Prefs.Node; p.Advertise != "" {
		return shed.VM(p.Advertise)
	}
	return shed.VM(n.cfg.Peers.Addr().String())
}

func (n *Node) assemble() error {
	c, err := core.New(n.coreConfig())
	if err != nil {
		return err
	}
	// The client reports lost peers to the daemon, and the daemon needs the client
	// to be built; lost is set afterwards and breaks this cycle.
	var lost func(shed.VM)
	clientCfg := peers.ClientConfig{Self: n.self, Dial: n.cfg.DialPeer, OnPeerLost: func(vm shed.VM) { lost(vm) }}
	var serverCfg peers.ServerConfig
	if n.peerCerts != nil {
		clientCfg.TLS = n.peerCerts.PeerClient
		serverCfg.TLS = n.peerCerts.PeerServer()
	}
	dcfg := daemon.Config{
		Self: n.self, Zone: shed.ZoneID(n.cfg.Prefs.Node.Zone), Core: c,
		Backend: n.engine, Platform: n.plat, Peers: peers.NewClient(clientCfg),
		Log: n.log, Scope: n.metrics.Scope, Tracer: n.tracing.Tracer("jasmineshed"),
		PeerListener: n.cfg.Peers, PeerServer: serverCfg,
		DrainTimeout:    n.cfg.Prefs.Stop.Drain,
		AnswerRetention: 2 * n.cfg.Prefs.Limits.TicketLifetime,
	}
	n.daemon = daemon.New(dcfg)
	lost = n.daemon.PeerLost
	n.daemon.Add(n.services()...)
	return nil
}

func (n *Node) coreConfig() core.Config {
	p := n.cfg.Prefs
	seeds := make([]shed.VM, len(p.Node.Seeds))
	for i, s := range p.Node.Seeds {
		seeds[i] = shed.VM(s)
	}
	cfg := core.Config{
		Self:     n.self,
		Zone:     shed.ZoneID(p.Node.Zone),
		Seeds:    seeds,
		Seed:     xxhash.Sum64String(string(n.self.VM)) ^ uint64(n.self.Incarnation),
		Compile:  rules.NewCompiler().Compile,
		Policy:   n.cfg.Policy,
		Notice:   p.Stop.Notice,
		MaxDrain: p.Stop.Notice + p.Stop.Drain,
		Config:   config.Config{WatchTimeout: p.Platform.Watch},
		Member:   member.Config{VMListInterval: p.Platform.VMPoll},
		Admit:    admit.Config{MaxQueued: p.Limits.Queue},
		Ticket:   ticket.Config{MaxEntries: p.Limits.Tickets, Lifetime: p.Limits.TicketLifetime, Retention: p.Limits.TicketLifetime},
	}
	if n.cfg.TuneCore != nil {
		n.cfg.TuneCore(&cfg)
	}
	return cfg
}

// services returns the servers for callers and operators.
func (n *Node) services() []suture.Service {
	p := n.cfg.Prefs
	caller := front.Config{
		Listener: n.cfg.Callers, Serving: n.daemon, Limits: p.Limits, DrainTimeout: p.Stop.Drain,
		Account: n.cfg.Account, Log: n.log, Scope: n.metrics.Scope, Tracer: n.tracing,
	}
	if n.callerCerts != nil {
		caller.TLS = n.callerCerts.CallerServer()
	}
	return []suture.Service{
		front.New(caller),
		oper.New(oper.Config{
			Listener: n.cfg.Operators, Status: n.daemon, Explainer: explainer{n.daemon},
			Metrics: n.metrics.Handler, Limits: p.Limits, Profile: p.Listen.Profile, Log: n.log,
		}),
	}
}

// Run runs the daemon until a graceful stop has completed or ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.log.WithFields(logrus.Fields{
		"vm": n.self.VM, "zone": n.cfg.Prefs.Node.Zone, "incarnation": n.self.Incarnation,
		"callers": n.CallerURL(), "operators": n.OperatorURL(),
	}).Info("daemon starts")
	err := n.daemon.Run(ctx)
	n.plat.Close()
	shut, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if terr := n.tracing.Shutdown(shut); terr != nil {
		n.log.WithError(terr).Warn("flushing traces failed: the last spans are lost")
	}
	_ = n.metrics.Close()
	n.log.Info("daemon ends")
	return err
}

// Stop starts a graceful stop; skipNotice skips the notice period before it.
func (n *Node) Stop(skipNotice bool) { n.daemon.Stop(skipNotice) }

// Daemon returns the driver, for status and for tests.
func (n *Node) Daemon() *daemon.Daemon { return n.daemon }

// Self returns the identity of this process among its peers.
func (n *Node) Self() shed.Peer { return n.self }

// CallerURL returns the base URL for callers.
func (n *Node) CallerURL() string {
	scheme := "http"
	if n.callerCerts != nil {
		scheme = "https"
	}
	return scheme + "://" + n.cfg.Callers.Addr().String()
}

// OperatorURL returns the base URL for operators.
func (n *Node) OperatorURL() string { return "http://" + n.cfg.Operators.Addr().String() }

// explainer adapts the daemon's notes to oper.Explainer.
type explainer struct{ d *daemon.Daemon }

// Explain implements oper.Explainer.
func (e explainer) Explain(id shed.RequestID) (any, bool) {
	entries := e.d.Explain(id)
	return entries, len(entries) > 0
}
