package picker

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

// state is one server's load.
type state struct {
	// born is the server start that the state belongs to.
	born int64
	// ownRunning counts this daemon's requests on the server; ownReading counts the prompt
	// tokens of those that await their first event.
	ownRunning int
	ownReading shed.Tokens
	// peers is the sum of the latest load reports of the other daemons.
	peers    shed.ServerShare
	callTime callTime
	failures failureRate
	// failedConnections counts consecutive failed connections; no connection is tried before
	// backoffUntil.
	failedConnections int
	backoffUntil      time.Time
	// prefixes holds the prompt parts that the server has read, by the hash of the chain up to
	// them, with the time of the last use.
	prefixes map[uint64]time.Time
}

func (p *Picker) state(s *roster.Server) *state {
	st := p.servers[s.ID]
	if st == nil || st.born != s.StartedMs {
		// A restarted server has nothing cached.
		next := &state{born: s.StartedMs, prefixes: map[uint64]time.Time{}}
		if st != nil {
			next.ownRunning, next.peers = st.ownRunning, st.peers
		}
		st = next
		p.servers[s.ID] = st
	}
	return st
}

// missingTokens is how many tokens the server would have to read, and how many of them belong
// to parts that requests share.
func (st *state) missingTokens(now time.Time, w *Request, chain []uint64) (left, reread shed.Tokens) {
	var all, shared shed.Tokens
	for i, part := range w.Prompt {
		all += part.Tokens
		if i < len(chain) {
			shared += part.Tokens
		}
	}
	cached := st.cachedTokens(now, w, chain)
	return max(w.Input, all) - cached, shared - cached
}

// RecordPlacement records that a request goes to the server.
func (p *Picker) RecordPlacement(now time.Time, w Request, c Choice) {
	st := p.state(c.Server)
	st.ownRunning++
	if !w.Engine {
		p.plainCalls++
		return
	}
	st.ownReading += c.Missing
	for _, h := range prefixChains(w.Prompt) {
		st.prefixes[h] = now
	}
	st.prunePrefixes(now)
}

// RecordPeerPrefix records that a peer placed a request with this prefix.
func (p *Picker) RecordPeerPrefix(now time.Time, id shed.ServerID, chain []uint64) {
	st := p.servers[id]
	if st == nil {
		return
	}
	for _, h := range chain {
		st.prefixes[h] = now
	}
	st.prunePrefixes(now)
}

// prunePrefixes forgets prefixes that have surely been evicted from the server's memory.
func (st *state) prunePrefixes(now time.Time) {
	if len(st.prefixes) <= maxPrefixes {
		return
	}
	for h, at := range st.prefixes {
		if now.Sub(at) > prefixRetention {
			delete(st.prefixes, h)
		}
	}
	if len(st.prefixes) > maxPrefixes {
		clear(st.prefixes)
	}
}

// RecordPromptRead records that a request's first event has arrived, so its prompt has been read.
func (p *Picker) RecordPromptRead(c Choice) {
	if st := p.servers[c.Server.ID]; st != nil {
		st.ownReading -= min(st.ownReading, c.Missing)
	}
}

// End is how a request ended at a server.
type End struct {
	// Took is the duration of a plain call that succeeded.
	Took time.Duration
	// Failed is set if the server broke off, did not answer, or its answer was another
	// server's.
	Failed bool
	// Unreached is set if no connection was established in time; Failed is set too.
	Unreached bool
	// Inconclusive is set if the request ended for reasons unrelated to the server.
	Inconclusive bool
}

// RecordEnd records that the request is no longer on the server. RecordPromptRead was called
// before if its first event arrived.
func (p *Picker) RecordEnd(now time.Time, c Choice, end End) {
	st := p.servers[c.Server.ID]
	if st == nil {
		return
	}
	st.ownRunning = max(st.ownRunning-1, 0)
	if end.Inconclusive {
		return
	}
	p.recordOutcome(now, st, c.Server.Zone, end)
	if end.Took > 0 {
		st.callTime.add(now, end.Took)
	}
}

// recordOutcome records the end of a call for the server and its zone.
func (p *Picker) recordOutcome(now time.Time, st *state, zone shed.ZoneID, end End) {
	weight := failureWeight
	if end.Unreached {
		weight = unreachedWeight
	}
	st.failures.record(now, end.Failed, weight)
	st.recordReachability(now, end)
	if end.Unreached || !end.Failed {
		// A failure of a server that was reached says nothing about its zone.
		p.zoneFailureRate(zone).record(now, end.Unreached, zoneFailureWeight)
	}
}

// Shares returns this daemon's load on each server where it has any.
func (p *Picker) Shares() map[shed.ServerID]shed.ServerShare {
	out := map[shed.ServerID]shed.ServerShare{}
	for id, st := range p.servers {
		if st.ownRunning > 0 {
			out[id] = shed.ServerShare{Running: st.ownRunning, Reading: st.ownReading}
		}
	}
	return out
}

// SetPeerShares replaces the load that a peer reported on the servers.
func (p *Picker) SetPeerShares(from shed.VM, shares map[shed.ServerID]shed.ServerShare) {
	for id, old := range p.peerShares[from] {
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
	p.peerShares[from] = kept
}

// RemovePeer forgets the load of a peer.
func (p *Picker) RemovePeer(vm shed.VM) {
	p.SetPeerShares(vm, nil)
	delete(p.peerShares, vm)
}

// RetainServers forgets servers that are no longer listed and have no requests of this daemon.
func (p *Picker) RetainServers(listed func(shed.ServerID) bool) {
	for id, st := range p.servers {
		if st.ownRunning == 0 && !listed(id) {
			delete(p.servers, id)
			for _, shares := range p.peerShares {
				delete(shares, id)
			}
		}
	}
}
