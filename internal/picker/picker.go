// Package picker chooses the backend server for one relayed request. It is
// pure: it knows what this daemon has placed, what peers said that they have
// placed, and what servers said with their answers.
package picker

import (
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// DefaultReadRate is on the low side of what engines of this class reach
	// (50 to 62 on the users' sheets); it only weighs waiting against reading
	// a shared prefix again.
	DefaultReadRate = 50.0
	// farCost is what a hop to another zone costs in the choice: the round trip
	// of 2 to 3 ms, and the bytes between zones, which users pay for.
	farCost = 6 * time.Millisecond
	// againCost is what each token of a shared part that the server would have
	// to read adds in the choice, up to againMost, beside the time: users pay
	// for parts that are read again, and the reading delays all others there.
	againCost = 30 * time.Microsecond
	againMost = 80 * time.Millisecond
	// runCost is what each request that runs on an engine adds to the first
	// token's delay: its share of the batch step and of prompts being read.
	runCost = 4 * time.Millisecond
	// usualTime is taken for a plain call while no server was called yet.
	usualTime = 30 * time.Millisecond
	// timeShare is the weight of the newest sample in a server's mean time.
	timeShare = 0.2
	// faultCost times the share of recent failures is added to a server's cost.
	faultCost = 400 * time.Millisecond
	// faultShare is the weight of the newest sample in the share of failures.
	faultShare = 0.25
	// faultHalf is the time in which a share of failures halves by itself, so
	// that a server that healed is tried again.
	faultHalf = 2 * time.Second
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
	pace    map[shed.ServerID]*pace
}

// state is one server's load.
type state struct {
	// born is the start that the state is about.
	born int64
	// own are this daemon's requests on it; reading are the prompt tokens of
	// those whose first event is still out.
	own     int
	reading shed.Tokens
	// peers is the same of the other daemons, as they last said.
	peers map[shed.VM]shed.ServerShare
	// took is the mean time of a plain call.
	took time.Duration
	// faults is the share of recent calls that failed, as of faultAt.
	faults  float64
	faultAt time.Time
	// prefixes are the parts that it has read, by the hash of the chain up to
	// them, with the time of the last use.
	prefixes map[uint64]time.Time
}

// New returns a Picker that knows of no load.
func New(cfg Config) *Picker {
	if cfg.ReadRate == 0 {
		cfg.ReadRate = DefaultReadRate
	}
	return &Picker{cfg: cfg, servers: map[shed.ServerID]*state{}, pace: map[shed.ServerID]*pace{}}
}

func (p *Picker) state(s *roster.Server) *state {
	st := p.servers[s.ID]
	if st == nil || st.born != s.Born {
		// A new start holds and knows nothing of before.
		own := 0
		if st != nil {
			own = st.own
		}
		st = &state{born: s.Born, own: own, peers: map[shed.VM]shed.ServerShare{}, prefixes: map[uint64]time.Time{}}
		p.servers[s.ID] = st
	}
	return st
}

// Want is what is to be placed.
type Want struct {
	Prompt []shed.PromptPart
	Input  shed.Tokens
	// Engine: the pool's servers are model engines.
	Engine bool
	// Zone is where the request's inputs lie; empty if it has none or they are
	// light.
	Zone shed.ZoneID
	// ZoneCost is what it costs to choose another zone than Zone.
	ZoneCost time.Duration
	// Avoid are servers that failed this request before.
	Avoid []shed.ServerID
	// ColdRate is how many requests a second a cold server may get from this
	// daemon; 0 if the pool's servers are never cold.
	ColdRate float64
}

// Choice is a chosen server and why.
type Choice struct {
	Server *roster.Server
	// Cost is the predicted time to the first token or the answer.
	Cost time.Duration
	// Missing are the tokens of the prompt that the server has to read.
	Missing shed.Tokens
	// Cold: all servers that could serve are cold and have had their share.
	Cold bool
}

// Pick returns the server with the least cost among from, which is sorted by
// id; Server is nil if there is none.
func (p *Picker) Pick(now time.Time, w Want, from []*roster.Server) Choice {
	var best Choice
	chain := chains(w.Prompt)
	usual := p.usual(from)
	held := false
	for _, s := range from {
		if avoided(w.Avoid, s.ID) {
			continue
		}
		if s.Cold(now) && w.ColdRate > 0 && !p.coldRoom(now, s, w.ColdRate) {
			held = true
			continue
		}
		c := p.cost(now, &w, s, chain, usual)
		if best.Server == nil || c.Cost < best.Cost {
			best = c
		}
	}
	best.Cold = best.Server == nil && held
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

func (p *Picker) cost(now time.Time, w *Want, s *roster.Server, chain []uint64, usual time.Duration) Choice {
	st := p.state(s)
	running, reading := st.own, st.reading
	for _, share := range st.peers {
		running += share.Running
		reading += share.Reading
	}
	c := Choice{Server: s}
	if w.Engine {
		var again shed.Tokens
		c.Missing, again = st.missing(now, w, chain)
		c.Cost = p.readTime(c.Missing) + p.readTime(reading) + time.Duration(running)*runCost
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
	if w.Zone != "" && s.Zone != w.Zone {
		c.Cost += w.ZoneCost
	}
	c.Cost += time.Duration(st.faultsNow(now) * float64(faultCost))
	return c
}

// homeCost orders servers that would all have to read the prompt: the same
// daemonless hash on every VM lets requests with a common prefix meet on one
// server though none of the VMs has told the others of it. It is a share of the
// reading time, so that load outweighs it.
func homeCost(s *roster.Server, chain []uint64, reading time.Duration) time.Duration {
	if len(chain) == 0 || reading == 0 {
		return 0
	}
	h := xxhash.Sum64String(string(s.ID)) ^ chain[len(chain)-1]
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return time.Duration(float64(reading) * float64(h>>11) / (1 << 53))
}

func (p *Picker) readTime(t shed.Tokens) time.Duration {
	return time.Duration(float64(t) / p.cfg.ReadRate * float64(time.Millisecond))
}

// chains hashes the prompt's shared parts, each together with those before it:
// a part is only kept in memory for the parts that it follows. The last part is
// the request's own.
func chains(prompt []shed.PromptPart) []uint64 {
	if len(prompt) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(prompt)-1)
	var d xxhash.Digest
	d.Reset()
	for _, part := range prompt[:len(prompt)-1] {
		// A write to a digest can't fail.
		_, _ = d.WriteString(part.ID)
		_, _ = d.WriteString(",")
		out = append(out, d.Sum64())
	}
	return out
}

// missing is how many tokens the server would have to read, and how many of
// them belong to parts that requests share.
func (st *state) missing(now time.Time, w *Want, chain []uint64) (left, again shed.Tokens) {
	left = w.Input
	var all shed.Tokens
	for _, part := range w.Prompt {
		all += part.Tokens
	}
	left = max(left, all)
	known := true
	for i, h := range chain {
		at, ok := st.prefixes[h]
		known = known && ok && now.Sub(at) <= keepPrefix
		if known {
			left -= min(left, w.Prompt[i].Tokens)
		} else {
			again += w.Prompt[i].Tokens
		}
	}
	return left, again
}

func (st *state) faultsNow(now time.Time) float64 {
	if st.faults == 0 {
		return 0
	}
	return st.faults * math.Exp2(-float64(now.Sub(st.faultAt))/float64(faultHalf))
}

// Placed notes that a request goes to the server. A cold server's share is
// used up by it.
func (p *Picker) Placed(now time.Time, w Want, c Choice) {
	st := p.state(c.Server)
	st.own++
	if w.ColdRate > 0 {
		p.coldTake(now, c.Server, w.ColdRate)
	}
	if !w.Engine {
		return
	}
	st.reading += c.Missing
	for _, h := range chains(w.Prompt) {
		st.prefixes[h] = now
	}
	st.bound(now)
}

// Seen notes that a peer placed a request with this prefix.
func (p *Picker) Seen(now time.Time, id shed.ServerID, chain []uint64) {
	st := p.servers[id]
	if st == nil {
		return
	}
	for _, h := range chain {
		st.prefixes[h] = now
	}
	st.bound(now)
}

// bound forgets prefixes that are surely out of memory.
func (st *state) bound(now time.Time) {
	if len(st.prefixes) <= maxPrefixes {
		return
	}
	for h, at := range st.prefixes {
		if now.Sub(at) > keepPrefix {
			delete(st.prefixes, h)
		}
	}
	if len(st.prefixes) > maxPrefixes {
		clear(st.prefixes)
	}
}

// Began notes that a request's first event has come: its prompt is read.
func (p *Picker) Began(c Choice) {
	if st := p.servers[c.Server.ID]; st != nil {
		st.reading -= min(st.reading, c.Missing)
	}
}

// End is how a request ended at a server.
type End struct {
	// Took is how long it took; for plain calls that ended well.
	Took time.Duration
	// Failed: the server broke off, gave no answer or one that is not its own.
	Failed bool
	// Forgotten: the request ended for reasons that say nothing of the server.
	Forgotten bool
}

// Ended notes that the request is no longer on the server. Began was called
// before if its first event came.
func (p *Picker) Ended(now time.Time, c Choice, end End) {
	st := p.servers[c.Server.ID]
	if st == nil {
		return
	}
	st.own = max(st.own-1, 0)
	if end.Forgotten {
		return
	}
	sample := 0.0
	if end.Failed {
		sample = 1
	}
	st.faults = st.faultsNow(now)*(1-faultShare) + sample*faultShare
	st.faultAt = now
	if end.Took <= 0 {
		return
	}
	if st.took == 0 {
		st.took = end.Took
		return
	}
	st.took += time.Duration(timeShare * float64(end.Took-st.took))
}

// Shares is what this daemon has on each server that has any.
func (p *Picker) Shares() map[shed.ServerID]shed.ServerShare {
	out := map[shed.ServerID]shed.ServerShare{}
	for id, st := range p.servers {
		if st.own > 0 {
			out[id] = shed.ServerShare{Running: st.own, Reading: st.reading}
		}
	}
	return out
}

// PeerShares takes in what a peer has on the servers; it replaces what the peer
// said before.
func (p *Picker) PeerShares(from shed.VM, shares map[shed.ServerID]shed.ServerShare) {
	for id, st := range p.servers {
		share, ok := shares[id]
		if ok {
			st.peers[from] = share
		} else {
			delete(st.peers, from)
		}
	}
}

// Keep forgets servers that are no longer listed and have nothing of this
// daemon's.
func (p *Picker) Keep(listed func(shed.ServerID) bool) {
	for id, st := range p.servers {
		if st.own == 0 && !listed(id) {
			delete(p.servers, id)
			delete(p.pace, id)
		}
	}
}

// PrefixOf names the request's shared prefix, for logs.
func PrefixOf(prompt []shed.PromptPart) string {
	ids := make([]string, 0, len(prompt))
	for _, part := range prompt[:max(len(prompt)-1, 0)] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, "+")
}

// Chains are the hashes by which peers tell each other of prefixes.
func Chains(prompt []shed.PromptPart) []uint64 { return chains(prompt) }
