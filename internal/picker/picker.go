// Package picker chooses the backend server for one relayed request. It is
// pure: it knows what this daemon has placed, what peers said that they have
// placed, and what servers said with their answers.
package picker

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

// Config sets up a Picker. Fields left at 0 get the Default of their name.
type Config struct {
	// Zone of this VM.
	Zone shed.ZoneID
	// ReadRate is how many prompt tokens an engine reads in a millisecond.
	ReadRate float64
}

const (
	// DefaultReadRate is in tokens a millisecond; it only weighs waiting against
	// reading a shared prefix again.
	DefaultReadRate = 50.0
	// farCost is what a hop to another zone costs in the choice: the round trip, and
	// the bytes between zones, which users pay for.
	farCost = 6 * time.Millisecond
	// againCost is what each token of a shared part that the server would have
	// to read adds in the choice, up to againMost, beside the time: users pay
	// for parts that are read again, and the reading delays all others there.
	againCost = 30 * time.Microsecond
	againMost = 80 * time.Millisecond
	// runCost is what each request that runs on an engine adds to the first
	// token's delay: its share of the batch step and of prompts being read.
	runCost = 4 * time.Millisecond
	// isolateCost is what each request on a server adds in the choice for one under which
	// the server may end.
	isolateCost = time.Second
	// usualTime is taken for a plain call while no server was called yet.
	usualTime = 30 * time.Millisecond
	// timeShare is the weight of the newest sample in a server's mean time.
	timeShare = 0.2
	// keepPrefix is how long a prefix is taken to stay in a server's memory.
	keepPrefix = 30 * time.Second
	// maxPrefixes bounds what is remembered of one server's memory.
	maxPrefixes = 2048
)

// Picker is what is known of the servers' load. It is not safe for concurrent
// use.
type Picker struct {
	cfg     Config
	servers map[shed.ServerID]*state
	// zones holds how often servers of a zone could not be reached lately.
	zones   map[shed.ZoneID]*faults
	overrun overrun
	// told is what each peer last said, so that a choice need not look at each
	// peer for each server.
	told map[shed.VM]map[shed.ServerID]shed.ServerShare
}

// New returns a Picker that knows of no load.
func New(cfg Config) *Picker {
	if cfg.ReadRate == 0 {
		cfg.ReadRate = DefaultReadRate
	}
	return &Picker{
		cfg: cfg, servers: map[shed.ServerID]*state{}, zones: map[shed.ZoneID]*faults{},
		told:    map[shed.VM]map[shed.ServerID]shed.ServerShare{},
		overrun: overrun{mean: DefaultOverrun},
	}
}

// Request is what is to be placed.
type Request struct {
	Prompt []shed.PromptPart
	Input  shed.Tokens
	// Engine: the pool's servers are model engines.
	Engine bool
	// FetchRate is how many tokens of KV cache they fetch from each other in a
	// millisecond; 0 if they don't.
	FetchRate float64
	// Zone is where the request's inputs lie; empty if it has none or they are
	// light.
	Zone shed.ZoneID
	// ZoneCost is what it costs to choose another zone than Zone.
	ZoneCost time.Duration
	// Avoid are servers that failed this request before.
	Avoid []shed.ServerID
	// Isolate: the server may end under the request, so it goes where few others run.
	Isolate bool
	// Access tells whether a server takes requests; nil if all do.
	Access func(*roster.Server) Access
}

// Access is whether a server takes one more request. The set is closed.
type Access uint8

const (
	// Free means that it takes any number.
	Free Access = iota
	// ByTurn means that it takes so many from all daemons together, so a turn is needed.
	ByTurn
	// NoTurn means that it has no turn for this daemon yet.
	NoTurn
)

// Choice is a chosen server and why.
type Choice struct {
	Server *roster.Server
	// Cost is the predicted time to the first token or the answer, and what else
	// speaks against the server as a time.
	Cost time.Duration
	// Time is the same without what is added for what users pay.
	Time time.Duration
	// Missing are the tokens of the prompt that the server has to read, Fetched
	// those that it fetches from Donor instead; Donor is nil if none.
	Missing, Fetched shed.Tokens
	Donor            *roster.Server
	// ByTurn: the server may be sent the request in its turn.
	ByTurn bool
	// NoTurn: all servers that could serve have no turn for this daemon.
	NoTurn bool
	// UnreachableFor: no server that could serve can be reached; one may be tried again after
	// that time. 0 if that is not the reason.
	UnreachableFor time.Duration
}

// Pick returns the server with the least cost among from, which is sorted by
// id; Server is nil if there is none.
func (p *Picker) Pick(now time.Time, w Request, from []*roster.Server) Choice {
	var best Choice
	chain := chains(w.Prompt)
	usual := p.usual(from)
	donors := p.donors(now, &w, from, chain)
	held, away := false, time.Duration(0)
	for _, s := range from {
		if avoided(w.Avoid, s.ID) {
			continue
		}
		st := p.state(s)
		if left := st.away.Sub(now); left > 0 {
			if away == 0 || left < away {
				away = left
			}
			continue
		}
		access := Free
		if w.Access != nil {
			access = w.Access(s)
		}
		if access == NoTurn {
			held = true
			continue
		}
		c := p.cost(now, &w, s, st, chain, usual, donors)
		c.ByTurn = access == ByTurn
		if best.Server == nil || c.Cost < best.Cost {
			best = c
		}
	}
	if best.Server == nil {
		best.NoTurn, best.UnreachableFor = held, away
	}
	return best
}

// usual is the time taken for a server not called yet: that of the fastest one,
// so that a new or reopened server is tried.
func (p *Picker) usual(from []*roster.Server) time.Duration {
	least := time.Duration(0)
	for _, s := range from {
		if took := p.state(s).took; took > 0 && (least == 0 || took < least) {
			least = took
		}
	}
	if least == 0 {
		return usualTime
	}
	return least
}

func avoided(avoid []shed.ServerID, id shed.ServerID) bool {
	for _, a := range avoid {
		if a == id {
			return true
		}
	}
	return false
}

func (p *Picker) cost(
	now time.Time, w *Request, s *roster.Server, st *state, chain []uint64, usual time.Duration, donors donors,
) Choice {
	running, reading := st.own+st.peers.Running, st.reading+st.peers.Reading
	c := Choice{Server: s}
	if w.Engine {
		var again shed.Tokens
		c.Missing, again = st.missing(now, w, chain)
		again -= donors.fetch(&c, s, again)
		c.Time = p.readTime(c.Missing) + c.fetchTime(w.FetchRate) + p.readTime(reading) + time.Duration(running)*runCost
		c.Cost = c.Time
		c.Cost += min(time.Duration(again)*againCost, againMost)
		c.Cost += homeCost(s, chain, p.readTime(c.Missing))
	} else {
		took := st.took
		if took == 0 {
			took = usual
		}
		c.Cost = took + took*time.Duration(running)/time.Duration(max(s.Slots, 1))
		if running >= s.Slots && s.Slots > 0 {
			c.Cost += took
		}
	}
	if s.Zone != p.cfg.Zone {
		c.Cost += farCost
	}
	if w.Isolate {
		c.Cost += time.Duration(running) * isolateCost
	}
	if w.Zone != "" && s.Zone != w.Zone {
		c.Cost += w.ZoneCost
	}
	c.Cost += st.faults.cost(now, faultCost) + p.zone(s.Zone).cost(now, zoneCost)
	return c
}

func (p *Picker) zone(id shed.ZoneID) *faults {
	f := p.zones[id]
	if f == nil {
		f = &faults{}
		p.zones[id] = f
	}
	return f
}

func (p *Picker) readTime(t shed.Tokens) time.Duration {
	return time.Duration(float64(t) / p.cfg.ReadRate * float64(time.Millisecond))
}
