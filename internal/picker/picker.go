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
	// prefixRetention is how long a prefix is assumed to stay in a server's memory.
	prefixRetention = 30 * time.Second
	// maxPrefixes bounds the number of prefixes remembered per server.
	maxPrefixes = 2048
)

// Picker tracks the servers' load and failures. It is not safe for concurrent use.
type Picker struct {
	cfg     Config
	servers map[shed.ServerID]*state
	// zoneFailures holds, per zone, the share of recent connections to servers that failed.
	zoneFailures map[shed.ZoneID]*failureRate
	overrun      overrun
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
		cfg: cfg, servers: map[shed.ServerID]*state{}, zoneFailures: map[shed.ZoneID]*failureRate{},
		peerShares: map[shed.VM]map[shed.ServerID]shed.ServerShare{},
		overrun:    overrun{mean: DefaultOverrun},
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
	// Access returns whether a server accepts requests; nil if all do.
	Access func(*roster.Server) Access
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
)

// Choice is the chosen server, or the reason why there is none.
type Choice struct {
	Server *roster.Server
	// Cost is the predicted time to the first token or the answer, plus penalties expressed as
	// a time.
	Cost time.Duration
	// Time is the predicted time without the penalties.
	Time time.Duration
	// Missing counts the prompt tokens that the server has to read, Fetched those that it
	// fetches from CacheSource instead, which is nil if there is none.
	Missing, Fetched shed.Tokens
	CacheSource      *roster.Server
	// ByTurn is set if sending the request to the server needs a turn.
	ByTurn bool
	// NoTurn is set if this daemon has no turn for any of the servers that could serve.
	NoTurn bool
	// UnreachableFor is the time until a server may be tried again if none that could serve is
	// reachable; 0 if that is not the reason.
	UnreachableFor time.Duration
}

// Pick returns the server with the least cost among servers, which are sorted by id; Server is
// nil if there is none.
func (p *Picker) Pick(now time.Time, w Request, servers []*roster.Server) Choice {
	chain := prefixChains(w.Prompt)
	s := search{
		picker: p, now: now, request: &w, chain: chain,
		fastest: p.fastestCallTime(servers), sources: p.findCacheSources(now, &w, servers, chain),
	}
	best := s.run(servers)
	if best.Server != nil && p.isMeasurement(&w) {
		s.measureUpTo = best.Cost + measureCost
		best = s.run(servers)
	}
	if best.Server == nil {
		best.NoTurn, best.UnreachableFor = s.noTurn, s.unreachableFor
	}
	return best
}

// search is one search for a server.
type search struct {
	picker  *Picker
	now     time.Time
	request *Request
	chain   []uint64
	fastest time.Duration
	sources cacheSources
	// measureUpTo is the maximum cost of a server to be measured; 0 if none is.
	measureUpTo time.Duration
	// noTurn: a server was skipped for lack of a turn. unreachableFor is the time until the first
	// of the unreachable servers may be tried again; 0 if there is none.
	noTurn         bool
	unreachableFor time.Duration
}

// run returns the best choice; its Server is nil if there is none.
func (s *search) run(servers []*roster.Server) Choice {
	var best Choice
	var bestState *state
	for _, server := range servers {
		if avoided(s.request.Avoid, server.ID) {
			continue
		}
		st := s.picker.state(server)
		access, ok := s.access(server, st)
		if !ok {
			continue
		}
		c := s.evaluate(server, st)
		c.ByTurn = access == ByTurn
		if bestState == nil || s.better(&c, st, &best, bestState) {
			best, bestState = c, st
		}
	}
	return best
}

// access returns whether the server accepts the request; ok is false if it can't be chosen.
func (s *search) access(server *roster.Server, st *state) (access Access, ok bool) {
	if left := st.backoffUntil.Sub(s.now); left > 0 {
		if s.unreachableFor == 0 || left < s.unreachableFor {
			s.unreachableFor = left
		}
		return Free, false
	}
	if s.request.Access != nil {
		access = s.request.Access(server)
	}
	s.noTurn = s.noTurn || access == NoTurn
	return access, access != NoTurn
}

// better reports whether c is a better choice than best. Of plain calls at the same cost, the
// one whose server has the older sample is better.
func (s *search) better(c *Choice, st *state, best *Choice, bestState *state) bool {
	older := st.callTime.measuredAt.Before(bestState.callTime.measuredAt)
	if s.measureUpTo > 0 && c.Cost <= s.measureUpTo {
		return best.Cost > s.measureUpTo || older
	}
	return c.Cost < best.Cost || c.Cost == best.Cost && older
}

// fastestCallTime is the shortest mean call time of any server.
func (p *Picker) fastestCallTime(servers []*roster.Server) time.Duration {
	fastest := time.Duration(0)
	for _, s := range servers {
		if took := p.state(s).callTime.mean; took > 0 && (fastest == 0 || took < fastest) {
			fastest = took
		}
	}
	if fastest == 0 {
		return defaultCallTime
	}
	return fastest
}

func avoided(avoid []shed.ServerID, id shed.ServerID) bool {
	for _, a := range avoid {
		if a == id {
			return true
		}
	}
	return false
}

func (s *search) evaluate(server *roster.Server, st *state) Choice {
	p, w, now := s.picker, s.request, s.now
	running, reading := st.ownRunning+st.peers.Running, st.ownReading+st.peers.Reading
	c := Choice{Server: server}
	if w.Engine {
		var reread shed.Tokens
		c.Missing, reread = st.missingTokens(now, w, s.chain)
		reread -= s.sources.planFetch(&c, server, reread)
		c.Time = p.readTime(c.Missing) + c.fetchTime(w.FetchRate) + p.readTime(reading) + time.Duration(running)*runningRequestCost
		c.Cost = c.Time
		c.Cost += min(time.Duration(reread)*rereadCost, maxRereadCost)
		c.Cost += rendezvousCost(server, s.chain, p.readTime(c.Missing))
	} else {
		took := st.callTime.predict(now, s.fastest)
		c.Cost = took + took*time.Duration(running)/time.Duration(max(server.Slots, 1))
		if running >= server.Slots && server.Slots > 0 {
			c.Cost += took
		}
	}
	if server.Zone != p.cfg.Zone {
		c.Cost += crossZoneCost
	}
	if w.Isolate {
		c.Cost += time.Duration(running) * isolationCost
	}
	if w.Zone != "" && server.Zone != w.Zone {
		c.Cost += w.ZoneCost
	}
	c.Cost += st.failures.cost(now, failureCost) + p.zoneFailureRate(server.Zone).cost(now, zoneFailureCost)
	return c
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
