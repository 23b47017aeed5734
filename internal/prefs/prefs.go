// Package prefs holds the settings of one daemon, which are written in INI.
//
// Each option is one field whose tags give the key, the unit, the check and the text for
// the docs, so the parser, the printed settings and docs/options.md can't differ.
package prefs

import (
	"slices"
	"time"

	"jasmineshed/internal/quota"
)

// Prefs are the settings of one daemon.
type Prefs struct {
	Node     Node     `ini:"node" doc:"Identity of this daemon."`
	Listen   Listen   `ini:"listen" doc:"Listeners for callers and operators."`
	Platform Platform `ini:"platform" doc:"The platform's configuration service and VM list."`
	Limits   Limits   `ini:"limits" doc:"Limits on the load of one daemon; they apply to each listener separately."`
	TLS      TLS      `ini:"tls" doc:"Keys and certificates; a listener without them uses plain TCP."`
	Trace    Trace    `ini:"trace" doc:"Export of trace spans."`
	Log      Log      `ini:"log" doc:"Logging, as JSON lines on standard error."`
	Stop     Stop     `ini:"stop" doc:"Graceful shutdown."`
	Relay    Relay    `ini:"relay" doc:"The daemon that forwards requests without interpreting them, by the routes in the platform's store (jasmineshed relay)."`
	Faults   Faults   `ini:"faults" doc:"Faults to inject in tests, never in a fleet that serves requests."`
}

// Node identifies the daemon.
type Node struct {
	Peer      string   `ini:"peer" unit:"ip:port" check:"listen" doc:"Address to listen on for peers."`
	Advertise string   `ini:"advertise" unit:"ip:port" check:"address,empty" doc:"Address that peers use to reach this daemon; if empty, the value of peer."`
	Zone      string   `ini:"zone" unit:"name" check:"name" doc:"Availability zone of this VM."`
	Seeds     []string `ini:"seeds" unit:"ip:port, ..." check:"address,empty" doc:"Peer addresses to contact first, inside and outside the zone."`
}

// Listen holds the addresses for callers and operators.
type Listen struct {
	Callers   string `ini:"callers" unit:"ip:port" check:"listen" doc:"HTTP listener for callers."`
	Operators string `ini:"operators" unit:"ip:port" check:"listen" doc:"HTTP listener for operators: status, metrics, explain."`
	Profile   bool   `ini:"profile" unit:"true or false" doc:"Serve runtime profiles at /debug/pprof on the operators' listener."`
}

// Platform configures reads from the platform.
type Platform struct {
	URL         string        `ini:"url" unit:"URL" check:"url" doc:"Base URL of the platform's configuration service."`
	Watch       time.Duration `ini:"watch" unit:"duration" min:"100ms" max:"2s" doc:"Longest time that one watch waits for a change. A response also confirms the configuration; a confirmation is valid for 3 s."`
	VMPoll      time.Duration `ini:"vm_poll" unit:"duration" min:"100ms" max:"10m" doc:"Interval between reads of the VM list."`
	ReadTimeout time.Duration `ini:"read_timeout" unit:"duration" min:"10ms" max:"1m" doc:"Timeout of one read; a watch has this in addition to its wait. In the relay it is an idle timeout: it bounds the time without data in a read, not the whole read."`
}

// Limits bound the load that one daemon accepts.
type Limits struct {
	HeaderBytes    int           `ini:"header_bytes" unit:"bytes" min:"1024" max:"1048576" doc:"Maximum size of a call's header."`
	BodyBytes      int64         `ini:"body_bytes" unit:"bytes" min:"1024" max:"1073741824" doc:"Maximum size of a call's body."`
	Connections    int           `ini:"connections" unit:"count" min:"1" max:"1000000" doc:"Maximum number of open connections on one listener; further ones wait to be accepted. Callers have fewer if memory or descriptors don't suffice: a connection that waits for its caller, who makes no progress, is then closed for a new one."`
	MemoryMB       int64         `ini:"memory_mb" unit:"MB" min:"0" max:"100000000" doc:"Memory of this process. Bodies and unread answers of callers take at most a sixth of it, as do connections; requests beyond that are refused as not run, and callers who make no progress first. 0 means the memory of the machine or of its control group, or GOMEMLIMIT if that is set."`
	HeldMB         int64         `ini:"held_mb" unit:"MB" min:"1" max:"100000000" doc:"Maximum size of all bodies and unread answers of callers together, where memory_mb allows more."`
	Descriptors    int           `ini:"descriptors" unit:"count" min:"0" max:"10000000" doc:"File descriptors that this process may open; callers' connections take less than half of them. 0 means the limit of the process."`
	Streams        int           `ini:"streams" unit:"count" min:"1" max:"1000000" doc:"Maximum number of callers' requests in flight; further ones are refused as not run."`
	HeaderTimeout  time.Duration `ini:"header_timeout" unit:"duration" min:"10ms" max:"10m" doc:"Timeout of reading a call's header."`
	BodyTimeout    time.Duration `ini:"body_timeout" unit:"duration" min:"10ms" max:"10m" doc:"Timeout of reading a call's body; below write_timeout, so that a caller that is too slow still receives the error."`
	WriteTimeout   time.Duration `ini:"write_timeout" unit:"duration" min:"10ms" max:"10m" doc:"Longest time that one write to a caller may block."`
	IdleTimeout    time.Duration `ini:"idle_timeout" unit:"duration" min:"10ms" max:"1h" doc:"How long an idle connection is kept open."`
	Beat           time.Duration `ini:"beat" unit:"duration" min:"10ms" max:"10m" doc:"Interval between beats on a stream that has no other event to send."`
	Queue          int           `ini:"queue" unit:"count" min:"1" max:"1000000" doc:"Maximum number of requests waiting for admission."`
	Tickets        int           `ini:"tickets" unit:"count" min:"1" max:"10000000" doc:"Maximum number of stored tickets and answers to requests with tickets."`
	TicketLifetime time.Duration `ini:"ticket_lifetime" unit:"duration" min:"1s" max:"24h" doc:"How long a ticket and the answer to its request are kept."`
}

// Megabyte is the unit of settings in MB, in bytes.
const Megabyte = 1_000_000

// Held returns the most that callers may hold, whatever the machine has.
func (l *Limits) Held() quota.Config {
	return quota.Config{Bytes: l.HeldMB * Megabyte, Connections: l.Connections}
}

// TLS names the files with keys and certificates.
type TLS struct {
	CallerCert string        `ini:"caller_cert" unit:"file" check:"file,empty" doc:"Certificate chain of the callers' listener, PEM."`
	CallerKey  string        `ini:"caller_key" unit:"file" check:"file,empty" doc:"Its key, PEM."`
	PeerCert   string        `ini:"peer_cert" unit:"file" check:"file,empty" doc:"Certificate chain presented to peers, PEM."`
	PeerKey    string        `ini:"peer_key" unit:"file" check:"file,empty" doc:"Its key, PEM."`
	PeerCA     string        `ini:"peer_ca" unit:"file" check:"file,empty" doc:"CA certificates that peers' certificates are verified with, PEM."`
	PeerName   string        `ini:"peer_name" unit:"name" check:"name" doc:"DNS name in the certificate of every peer."`
	Reload     time.Duration `ini:"reload" unit:"duration" min:"1s" max:"24h" doc:"How often the files are checked for changes."`
}

// Trace configures the export of spans.
type Trace struct {
	Exporter string  `ini:"exporter" unit:"none, file or otlp" check:"one_of=none file otlp" doc:"Where spans are sent."`
	File     string  `ini:"file" unit:"file" check:"file,empty" doc:"Output of the exporter file, as JSON lines."`
	Endpoint string  `ini:"endpoint" unit:"URL" check:"url,empty" doc:"Collector of the exporter otlp, over HTTP."`
	Ratio    float64 `ini:"ratio" unit:"0 to 1" min:"0" max:"1" doc:"Sampling ratio of traces that start here."`
}

// Log configures logging.
type Log struct {
	Level string `ini:"level" unit:"debug, info, warning or error" check:"one_of=debug info warning error" doc:"Lowest severity that is logged."`
}

// Stop bounds a graceful shutdown.
type Stop struct {
	Notice time.Duration `ini:"notice" unit:"duration" min:"0s" max:"10m" doc:"How long to continue serving after SIGTERM, until the load balancer has noticed."`
	Drain  time.Duration `ini:"drain" unit:"duration" min:"1s" max:"1h" doc:"Longest time after that for requests in flight to complete."`
}

// Relay configures a daemon that forwards requests without interpreting them.
type Relay struct {
	Ready        string        `ini:"ready" unit:"ip:port" check:"listen" doc:"Listener for the load balancer's readiness probe: 200 if this VM accepts requests, else 503, on any path."`
	Watch        time.Duration `ini:"watch" unit:"duration" min:"100ms" max:"30s" doc:"Longest time that one watch of the store waits for a change. A dead connection is detected after this plus read_timeout of [platform]."`
	Connect      time.Duration `ini:"connect" unit:"duration" min:"10ms" max:"1m" doc:"Timeout of opening a connection to a backend server or to the store."`
	Source       string        `ini:"source" unit:"ip" check:"ip,empty" doc:"Local address of connections to backend servers; empty lets the system choose."`
	Silence      time.Duration `ini:"silence" unit:"duration" min:"100ms" max:"10m" doc:"How long sent bytes may stay unacknowledged on a connection before it is closed."`
	RepeatRatio  float64       `ini:"repeat_ratio" unit:"0 to 1" min:"0" max:"1" doc:"Retry budget of the fleet for a pool, as a fraction of the pool's requests."`
	RepeatSlack  float64       `ini:"repeat_slack" unit:"count" min:"0" max:"1000000" doc:"Retries that the fleet may send beyond that fraction within repeat_window."`
	RepeatWindow time.Duration `ini:"repeat_window" unit:"duration" min:"1s" max:"10m" doc:"Time window in which retries are counted."`
	CrashLimit   int           `ini:"crash_limit" unit:"count" min:"1" max:"100" doc:"A request is refused once this many backend servers have crashed while running it, counted over its caller's retries."`
	Quarantine   time.Duration `ini:"quarantine" unit:"duration" min:"1s" max:"1h" doc:"How long such a request is refused; six times as long after each further crash, up to one hour. After that, one VM runs it once as a trial."`
	Fleet        int           `ini:"fleet" unit:"count" min:"1" max:"10000" doc:"Minimum number of VMs in the fleet; rates are divided by this number until more VMs are seen."`
	Heartbeat    time.Duration `ini:"heartbeat" unit:"duration" min:"100ms" max:"1m" doc:"How often a backend server renews its entry in the store; the entry expires after three missed heartbeats."`
	Power        float64       `ini:"power" unit:"number" min:"0" max:"1000000000" doc:"Capacity of this VM relative to the others, for example its link in Mbit/s. The VMs with at least half of the highest value coordinate batches of pieces and watch the store for all."`
	Reload       time.Duration `ini:"reload" unit:"duration" min:"100ms" max:"1h" doc:"How often the settings file is checked for changes; SIGHUP triggers a check at once."`
	Reservations bool          `ini:"reservations" unit:"true or false" doc:"Give refused callers of routes with steps a time from which their pieces are kept for them, and workspaces fair shares of a pool while demand exceeds its rate. Set it on all VMs."`
	Without      []string      `ini:"without" unit:"names" check:"one_of=late_start kv_fetch urgent_reserve server_speed prefix_subset result_capacity intake_limit,empty" doc:"Optional decisions to disable, for experiments: late_start delays results that only the request itself needs until its longest path is nearly done; kv_fetch lets engines fetch shared parts of prompts from each other; urgent_reserve reserves queue capacity for more urgent routes; server_speed weighs engines by the work time that they state; prefix_subset keeps each prefix of prompts on a few engines; result_capacity includes the capacity for results in forecasts; intake_limit turns new connections away while the processor or link of the VM delays its work."`
}

// Values of Relay.Without.
const (
	LateStart      = "late_start"
	KVFetch        = "kv_fetch"
	UrgentReserve  = "urgent_reserve"
	ServerSpeed    = "server_speed"
	PrefixSubset   = "prefix_subset"
	ResultCapacity = "result_capacity"
	IntakeLimit    = "intake_limit"
)

// Enabled reports whether an optional decision is made: whether Without doesn't name it.
func (r *Relay) Enabled(decision string) bool { return !slices.Contains(r.Without, decision) }

// Faults are for tests. The section has no options: it is known only so that a key in it is
// rejected by name rather than as part of an unknown section.
type Faults struct{}

// Defaults returns the settings of an empty file.
func Defaults() *Prefs {
	return &Prefs{
		Node:   Node{Peer: "127.0.0.1:7401", Zone: "local"},
		Listen: Listen{Callers: "127.0.0.1:7400", Operators: "127.0.0.1:7402"},
		Platform: Platform{
			URL:         "http://127.0.0.1:7500",
			Watch:       500 * time.Millisecond,
			VMPoll:      5 * time.Second,
			ReadTimeout: 2 * time.Second,
		},
		Limits: Limits{
			HeaderBytes:    16 << 10,
			BodyBytes:      1 << 20,
			Connections:    10000,
			HeldMB:         256,
			Streams:        8000,
			HeaderTimeout:  5 * time.Second,
			BodyTimeout:    5 * time.Second,
			WriteTimeout:   10 * time.Second,
			IdleTimeout:    2 * time.Minute,
			Beat:           time.Second,
			Queue:          4000,
			Tickets:        100000,
			TicketLifetime: 10 * time.Minute,
		},
		TLS:   TLS{PeerName: "peer.jasmineshed", Reload: 30 * time.Second},
		Trace: Trace{Exporter: "none", Ratio: 0.01},
		Log:   Log{Level: "info"},
		Relay: Relay{
			Ready: "127.0.0.1:7403", Watch: 1200 * time.Millisecond,
			Connect: 200 * time.Millisecond, Silence: 1500 * time.Millisecond,
			RepeatRatio: 0.2, RepeatSlack: 50, RepeatWindow: 10 * time.Second,
			CrashLimit: 3, Quarantine: 15 * time.Second, Fleet: 9, Power: 1, Heartbeat: 1200 * time.Millisecond, Reload: time.Second,
		},
		Stop: Stop{Notice: 5 * time.Second, Drain: 30 * time.Second},
	}
}

// PeerAddress returns the address at which peers reach this daemon.
func (n *Node) PeerAddress() string {
	if n.Advertise != "" {
		return n.Advertise
	}
	return n.Peer
}
