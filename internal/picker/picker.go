// Package picker chooses the backend server for one relayed request. It does no I/O and reads
// no clock. It knows the requests that this VM has placed, the load that peers reported, and
// what servers reported with their answers.
package picker

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

// Config configures a Picker. Fields left at 0 get the default constant of their name.
type Config struct {
	// Zone is the zone of this VM.
	Zone shed.ZoneID
	// ReadRate is how many prompt tokens an engine reads per millisecond.
	ReadRate float64
}

const (
	// DefaultReadRate is in tokens per millisecond; it is only used to weigh queueing against
	// reading a shared prefix again.
	DefaultReadRate = 50.0
	// crossZoneCost is the cost of a hop to another zone: the round trip, and the bytes
	// between zones, which users pay for.
	crossZoneCost = 6 * time.Millisecond
	// rereadCost is added for each token of a shared part that the server would have to read,
	// up to maxRereadCost, in addition to the time: users pay for parts that are read again,
	// and the reading delays all other requests there.
	rereadCost    = 30 * time.Microsecond
	maxRereadCost = 80 * time.Millisecond
	// runningRequestCost is what each request running on an engine adds to the delay of the
	// first token: its share of the batch step and of prompts being read.
	runningRequestCost = 4 * time.Millisecond
	// isolationCost is added for each request running on a server when a request is placed
	// that may crash its server.
	isolationCost = time.Second
)

// Picker tracks the servers' load and failures. It is not safe for concurrent use.
type Picker struct {
	cfg     Config
	servers map[shed.ServerID]*state
	// loaded are the servers with requests of this daemon.
	loaded   map[shed.ServerID]*state
	prefixes prefixIndex
	// zoneFailures holds, per zone, the share of recent connections to servers that failed.
	zoneFailures map[shed.ZoneID]*failureRate
	overrun      overrun
	statesBuffer []*state
	// slownessBuffer is reused by searches.
	slownessBuffer []float64
	// plainCalls counts the plain calls placed.
	plainCalls uint
	// peerShares holds the last load report of each peer; the sums are kept in servers, so
	// that a choice need not look at each peer for each server.
	peerShares map[shed.VM]map[shed.ServerID]shed.ServerShare
}

// New returns a Picker without any load.
func New(cfg Config) *Picker {
	if cfg.ReadRate == 0 {
		cfg.ReadRate = DefaultReadRate
	}
	return &Picker{
		cfg: cfg, servers: map[shed.ServerID]*state{}, loaded: map[shed.ServerID]*state{}, prefixes: newPrefixIndex(),
		zoneFailures: map[shed.ZoneID]*failureRate{},
		peerShares:   map[shed.VM]map[shed.ServerID]shed.ServerShare{},
		overrun:      overrun{mean: DefaultOverrun},
	}
}

// Request describes the request to be placed.
type Request struct {
	Prompt []shed.PromptPart
	Input  shed.Tokens
	// Engine is set if the pool's servers are model engines.
	Engine bool
	// FetchRate is how many tokens of KV cache engines fetch from each other per millisecond;
	// 0 if they don't.
	FetchRate float64
	// Zone is where the request's inputs are held; empty if it has none or they are small.
	Zone shed.ZoneID
	// ZoneCost is the cost of choosing another zone than Zone.
	ZoneCost time.Duration
	// Avoid lists servers that failed this request before.
	Avoid []shed.ServerID
	// Isolate is set if the request may crash its server, so it goes where few others run.
	Isolate bool
	// Access returns whether a server accepts requests, and for Resting how much longer it
	// doesn't; nil if all do.
	Access func(*roster.Server) (Access, time.Duration)
	// Slowness returns how long work takes on an engine, relative to the usual time; nil if it is the
	// usual time on all.
	Slowness func(*roster.Server) float64
	// Subset keeps the prompt's prefix on a small subset of the engines.
	Subset bool
	// MinFetchCost is the least cost of fetching a token of KV cache; 0 for none beyond the time.
	MinFetchCost time.Duration
}

// Access is whether a server accepts one more request. The set is closed.
type Access uint8

const (
	// Free means that the server accepts any number of requests.
	Free Access = iota
	// ByTurn means that the server limits the requests of all daemons together, so a turn is
	// needed.
	ByTurn
	// NoTurn means that this daemon has no turn for the server yet.
	NoTurn
	// Resting means that the server wants no request from this daemon for a while.
	Resting
)

// Choice is the chosen server, or the reason why there is none.
type Choice struct {
	Server *roster.Server
	// Cost is the predicted time to the first token or the answer, plus penalties expressed as
	// a time.
	Cost time.Duration
	// Time is the predicted time without the penalties.
	Time time.Duration
	// Slowness is how long work takes on the engine, relative to the usual time; 0 for plain calls.
	Slowness float64
	// Missing counts the prompt tokens that the server has to read, Fetched those that it
	// fetches from CacheSource instead, which is nil if there is none.
	Missing, Fetched shed.Tokens
	CacheSource      *roster.Server
	// ByTurn is set if sending the request to the server needs a turn.
	ByTurn bool
	// NoTurn is set if this daemon has no turn for any of the servers that could serve.
	NoTurn bool
	// RestingFor is the time until the first server's rest ends, if servers that could serve
	// rest; 0 if none does.
	RestingFor time.Duration
	// UnreachableFor is the time until a server may be tried again if none that could serve is
	// reachable; 0 if that is not the reason.
	UnreachableFor time.Duration
}

// Pick returns the server with the least cost among servers, which are sorted by id; Server is
// nil if there is none.
func (p *Picker) Pick(now time.Time, w Request, servers []*roster.Server) Choice {
	chain := prefixChains(w.Prompt)
	s := search{picker: p, now: now, request: &w, chain: chain, servers: servers, states: p.states(servers)}
	if w.Engine {
		s.countTokens()
		s.cached = p.prefixes.cached(now, w.Prompt, chain)
		s.sources = s.findCacheSources()
		s.findSlowness()
		s.chooseSubset()
	} else {
		s.fastest = s.fastestCallTime()
	}
	best := s.run()
	if best.Server != nil && p.isMeasurement(&w) {
		s.measureUpTo = best.Cost + measureCost
		best = s.run()
	}
	if best.Server == nil {
		best.NoTurn, best.RestingFor, best.UnreachableFor = s.noTurn, s.restingFor, s.unreachableFor
	}
	return best
}

func (p *Picker) zoneFailureRate(id shed.ZoneID) *failureRate {
	f := p.zoneFailures[id]
	if f == nil {
		f = &failureRate{}
		p.zoneFailures[id] = f
	}
	return f
}

func (p *Picker) readTime(t shed.Tokens) time.Duration {
	return time.Duration(float64(t) / p.cfg.ReadRate * float64(time.Millisecond))
}
