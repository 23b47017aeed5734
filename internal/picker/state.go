package picker

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

// state is one server's load.
type state struct {
	// born is the start that the state is about.
	born int64
	// own are this daemon's requests on it; reading are the prompt tokens of
	// those whose first event is still out.
	own     int
	reading shed.Tokens
	// peers is the sum of what the other daemons last said that they have on it.
	peers shed.ServerShare
	// took is the mean time of a plain call.
	took   time.Duration
	faults faults
	// lost counts the connections in a row that did not come about; away is until
	// when none is tried.
	lost int
	away time.Time
	// prefixes are the parts that it has read, by the hash of the chain up to
	// them, with the time of the last use.
	prefixes map[uint64]time.Time
}

func (p *Picker) state(s *roster.Server) *state {
	st := p.servers[s.ID]
	if st == nil || st.born != s.StartedMs {
		// A new start holds and knows nothing of before.
		next := &state{born: s.StartedMs, prefixes: map[uint64]time.Time{}}
		if st != nil {
			next.own, next.peers = st.own, st.peers
		}
		st = next
		p.servers[s.ID] = st
	}
	return st
}

// missing is how many tokens the server would have to read, and how many of
// them belong to parts that requests share.
func (st *state) missing(now time.Time, w *Request, chain []uint64) (left, again shed.Tokens) {
	var all, shared shed.Tokens
	for i, part := range w.Prompt {
		all += part.Tokens
		if i < len(chain) {
			shared += part.Tokens
		}
	}
	keeps := st.keeps(now, w, chain)
	return max(w.Input, all) - keeps, shared - keeps
}

// RecordPlacement notes that a request goes to the server.
func (p *Picker) RecordPlacement(now time.Time, w Request, c Choice) {
	st := p.state(c.Server)
	st.own++
	if !w.Engine {
		return
	}
	st.reading += c.Missing
	for _, h := range chains(w.Prompt) {
		st.prefixes[h] = now
	}
	st.bound(now)
}

// RecordPeerPrefix notes that a peer placed a request with this prefix.
func (p *Picker) RecordPeerPrefix(now time.Time, id shed.ServerID, chain []uint64) {
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

// RecordPromptRead notes that a request's first event has come: its prompt is read.
func (p *Picker) RecordPromptRead(c Choice) {
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
	// Unreached: no connection to it came about in time; Failed is set too.
	Unreached bool
	// Inconclusive: the request ended for reasons that say nothing of the server.
	Inconclusive bool
}

// RecordEnd notes that the request is no longer on the server. Began was called
// before if its first event came.
func (p *Picker) RecordEnd(now time.Time, c Choice, end End) {
	st := p.servers[c.Server.ID]
	if st == nil {
		return
	}
	st.own = max(st.own-1, 0)
	if end.Inconclusive {
		return
	}
	p.judge(now, st, c.Server.Zone, end)
	if end.Took <= 0 {
		return
	}
	if st.took == 0 {
		st.took = end.Took
		return
	}
	st.took += time.Duration(timeShare * float64(end.Took-st.took))
}

// judge takes the end of a call in for the server and its zone.
func (p *Picker) judge(now time.Time, st *state, zone shed.ZoneID, end End) {
	weight := faultShare
	if end.Unreached {
		weight = unreachedShare
	}
	st.faults.add(now, end.Failed, weight)
	st.reached(now, end)
	if end.Unreached || !end.Failed {
		// One that was reached and failed says nothing of its zone.
		p.zone(zone).add(now, end.Unreached, zoneShare)
	}
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

// SetPeerShares takes in what a peer has on the servers; it replaces what the peer
// said before.
func (p *Picker) SetPeerShares(from shed.VM, shares map[shed.ServerID]shed.ServerShare) {
	for id, old := range p.told[from] {
		if st := p.servers[id]; st != nil {
			st.peers.Running -= old.Running
			st.peers.Reading -= min(st.peers.Reading, old.Reading)
		}
	}
	kept := make(map[shed.ServerID]shed.ServerShare, len(shares))
	for id, share := range shares {
		if st := p.servers[id]; st != nil {
			st.peers.Running += share.Running
			st.peers.Reading += share.Reading
			kept[id] = share
		}
	}
	p.told[from] = kept
}

// RemovePeer forgets what a peer said.
func (p *Picker) RemovePeer(vm shed.VM) {
	p.SetPeerShares(vm, nil)
	delete(p.told, vm)
}

// RetainServers forgets servers that are no longer listed and have nothing of this
// daemon's.
func (p *Picker) RetainServers(listed func(shed.ServerID) bool) {
	for id, st := range p.servers {
		if st.own == 0 && !listed(id) {
			delete(p.servers, id)
			for _, shares := range p.told {
				delete(shares, id)
			}
		}
	}
}
