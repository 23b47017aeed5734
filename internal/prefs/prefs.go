// Package prefs holds the settings of one daemon, which are written in INI.
//
// Each option is one field: its tags give the key, the unit, the check and the
// text for the docs, so the parser, the printed settings and docs/options.md
// can't drift apart.
package prefs

import (
	"slices"
	"time"
)

// Prefs are the settings of one daemon.
type Prefs struct {
	Node     Node     `ini:"node" doc:"Who this daemon is."`
	Listen   Listen   `ini:"listen" doc:"Where callers and operators reach it."`
	Platform Platform `ini:"platform" doc:"The platform's configuration service and VM list."`
	Limits   Limits   `ini:"limits" doc:"What one daemon bears; each listener has these limits by itself."`
	TLS      TLS      `ini:"tls" doc:"Keys and certificates; a listener without them speaks plain TCP."`
	Trace    Trace    `ini:"trace" doc:"Where spans go."`
	Log      Log      `ini:"log" doc:"JSON lines on standard error."`
	Stop     Stop     `ini:"stop" doc:"Graceful shutdown."`
	Relay    Relay    `ini:"relay" doc:"The daemon that passes requests on unread, by the routes that lie in the platform's store (jasmineshed relay)."`
	Faults   Faults   `ini:"faults" doc:"Faults for tests, never for a fleet that serves."`
}

// Node says who the daemon is.
type Node struct {
	Peer      string   `ini:"peer" unit:"ip:port" check:"listen" doc:"Address to listen on for peers."`
	Advertise string   `ini:"advertise" unit:"ip:port" check:"address,empty" doc:"Address that peers use to reach this daemon; empty takes that of peer."`
	Zone      string   `ini:"zone" unit:"name" check:"name" doc:"Availability zone of this VM."`
	Seeds     []string `ini:"seeds" unit:"ip:port, ..." check:"address,empty" doc:"Peer addresses to ask first, in and out of the zone."`
}

// Listen says where callers and operators reach the daemon.
type Listen struct {
	Callers   string `ini:"callers" unit:"ip:port" check:"listen" doc:"Callers' HTTP listener."`
	Operators string `ini:"operators" unit:"ip:port" check:"listen" doc:"Operators' HTTP listener: status, metrics, explain."`
	Profile   bool   `ini:"profile" unit:"true or false" doc:"Serve runtime profiles at /debug/pprof on the operators' listener."`
}

// Platform says how to read from the platform.
type Platform struct {
	URL         string        `ini:"url" unit:"URL" check:"url" doc:"Base URL of the platform's configuration service."`
	Watch       time.Duration `ini:"watch" unit:"duration" min:"100ms" max:"2s" doc:"Longest time that one watch waits for a change. An answer also confirms the configuration, which counts for 3 s."`
	VMPoll      time.Duration `ini:"vm_poll" unit:"duration" min:"100ms" max:"10m" doc:"Period of reading the VM list."`
	ReadTimeout time.Duration `ini:"read_timeout" unit:"duration" min:"10ms" max:"1m" doc:"Longest time for one read; a watch has this beyond its wait. In the relay it bounds the silence in a read, not the whole."`
}

// Limits bound what one daemon takes in.
type Limits struct {
	HeaderBytes    int           `ini:"header_bytes" unit:"bytes" min:"1024" max:"1048576" doc:"Largest header of a call."`
	BodyBytes      int64         `ini:"body_bytes" unit:"bytes" min:"1024" max:"1073741824" doc:"Largest body of a call."`
	Connections    int           `ini:"connections" unit:"count" min:"1" max:"1000000" doc:"Most connections open at once on one listener; more wait to be accepted."`
	Streams        int           `ini:"streams" unit:"count" min:"1" max:"1000000" doc:"Most callers' requests in flight at once; more are refused as not run."`
	HeaderTimeout  time.Duration `ini:"header_timeout" unit:"duration" min:"10ms" max:"10m" doc:"Longest time for reading a call's header."`
	BodyTimeout    time.Duration `ini:"body_timeout" unit:"duration" min:"10ms" max:"10m" doc:"Longest time for reading a call's body; below write_timeout, so that a caller that is too slow is still told."`
	WriteTimeout   time.Duration `ini:"write_timeout" unit:"duration" min:"10ms" max:"10m" doc:"Longest time that one write to a caller may block."`
	IdleTimeout    time.Duration `ini:"idle_timeout" unit:"duration" min:"10ms" max:"1h" doc:"How long an unused connection is kept."`
	Beat           time.Duration `ini:"beat" unit:"duration" min:"10ms" max:"10m" doc:"A stream that has nothing to say sends a beat this often."`
	Queue          int           `ini:"queue" unit:"count" min:"1" max:"1000000" doc:"Most requests that wait for admission."`
	Tickets        int           `ini:"tickets" unit:"count" min:"1" max:"10000000" doc:"Most tickets and answers to ticketed requests kept."`
	TicketLifetime time.Duration `ini:"ticket_lifetime" unit:"duration" min:"1s" max:"24h" doc:"How long a ticket, and the answer to its request, is kept."`
}

// TLS names the files with keys and certificates.
type TLS struct {
	CallerCert string        `ini:"caller_cert" unit:"file" check:"file,empty" doc:"Certificate chain of the callers' listener, PEM."`
	CallerKey  string        `ini:"caller_key" unit:"file" check:"file,empty" doc:"Its key, PEM."`
	PeerCert   string        `ini:"peer_cert" unit:"file" check:"file,empty" doc:"Certificate chain towards peers, PEM."`
	PeerKey    string        `ini:"peer_key" unit:"file" check:"file,empty" doc:"Its key, PEM."`
	PeerCA     string        `ini:"peer_ca" unit:"file" check:"file,empty" doc:"Certificates that sign peers' certificates, PEM."`
	PeerName   string        `ini:"peer_name" unit:"name" check:"name" doc:"DNS name that the certificate of every peer carries."`
	Reload     time.Duration `ini:"reload" unit:"duration" min:"1s" max:"24h" doc:"How often the files are looked at for a change."`
}

// Trace says where spans go.
type Trace struct {
	Exporter string  `ini:"exporter" unit:"none, file or otlp" check:"one_of=none file otlp" doc:"Where spans are sent."`
	File     string  `ini:"file" unit:"file" check:"file,empty" doc:"File for the exporter file; JSON lines."`
	Endpoint string  `ini:"endpoint" unit:"URL" check:"url,empty" doc:"Collector for the exporter otlp, over HTTP."`
	Ratio    float64 `ini:"ratio" unit:"0 to 1" min:"0" max:"1" doc:"Share of traces kept that start here."`
}

// Log says what is logged.
type Log struct {
	Level string `ini:"level" unit:"debug, info, warning or error" check:"one_of=debug info warning error" doc:"Least severity that is written."`
}

// Stop bounds a graceful shutdown.
type Stop struct {
	Notice time.Duration `ini:"notice" unit:"duration" min:"0s" max:"10m" doc:"How long to go on serving after SIGTERM while the balancer notices."`
	Drain  time.Duration `ini:"drain" unit:"duration" min:"1s" max:"1h" doc:"Longest time for requests in flight to end after that."`
}

// Relay sets up a daemon that passes requests on unread.
type Relay struct {
	Ready        string        `ini:"ready" unit:"ip:port" check:"listen" doc:"Listener for the balancer's question whether this VM takes requests: 200 or 503 on any path."`
	Watch        time.Duration `ini:"watch" unit:"duration" min:"100ms" max:"30s" doc:"Longest time that one watch of the store waits for a change. A connection that went silent is noticed after this and read_timeout of [platform]."`
	Connect      time.Duration `ini:"connect" unit:"duration" min:"10ms" max:"1m" doc:"Longest time for opening a connection to a backend server or to the store."`
	Silence      time.Duration `ini:"silence" unit:"duration" min:"100ms" max:"10m" doc:"How long bytes may stay unacknowledged on a connection before it is closed."`
	RepeatRatio  float64       `ini:"repeat_ratio" unit:"0 to 1" min:"0" max:"1" doc:"Repeats that the fleet may send to a pool, as a share of the requests for it."`
	RepeatSlack  float64       `ini:"repeat_slack" unit:"count" min:"0" max:"1000000" doc:"Repeats that the fleet may send beyond that share within repeat_window."`
	RepeatWindow time.Duration `ini:"repeat_window" unit:"duration" min:"1s" max:"10m" doc:"The span in which repeats are counted."`
	CrashLimit   int           `ini:"crash_limit" unit:"count" min:"1" max:"100" doc:"Backend servers that may end under one request, as its caller sends it again, until it is refused."`
	Quarantine   time.Duration `ini:"quarantine" unit:"duration" min:"1s" max:"1h" doc:"How long such a request is refused; six times as long after each further server, an hour at the most. Then one VM tries it once."`
	Fleet        int           `ini:"fleet" unit:"count" min:"1" max:"10000" doc:"VMs that the fleet has at least; shares of rates are cut for as many until more are seen."`
	Heartbeat    time.Duration `ini:"heartbeat" unit:"duration" min:"100ms" max:"1m" doc:"How often a backend server renews its entry in the store, which lapses after three of them."`
	Power        float64       `ini:"power" unit:"number" min:"0" max:"1000000000" doc:"How strong this VM is beside the others, say its link in Mbit/s. Those with at least half of the most gather pieces and watch the store for all."`
	Reload       time.Duration `ini:"reload" unit:"duration" min:"100ms" max:"1h" doc:"How often the settings file is looked at for a change; SIGHUP does so at once."`
	Without      []string      `ini:"without" unit:"names" check:"one_of=late_start kv_fetch urgent_reserve,empty" doc:"Decisions to leave out, for experiments: late_start makes results that nothing but the request needs when its longest path is nearly done; kv_fetch lets engines fetch shared parts of prompts from each other; urgent_reserve keeps room in queues for more urgent routes."`
}

// What Relay.Without may name.
const (
	LateStart     = "late_start"
	KVFetch       = "kv_fetch"
	UrgentReserve = "urgent_reserve"
)

// Enabled tells whether a decision is taken: whether Without doesn't name it.
func (r *Relay) Enabled(decision string) bool { return !slices.Contains(r.Without, decision) }

// Faults are for tests. There are none to set: the section is known, so that a
// key in it is refused by name rather than as a wrong section.
type Faults struct{}

// Defaults are the settings of an option that the file leaves out.
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

// PeerAddress is the address at which peers reach this daemon.
func (n *Node) PeerAddress() string {
	if n.Advertise != "" {
		return n.Advertise
	}
	return n.Peer
}
