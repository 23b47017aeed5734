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
}

// states returns the states of servers; the slice is valid until the next call.
func (p *Picker) states(servers []*roster.Server) []*state {
	p.statesBuffer = p.statesBuffer[:0]
	for _, s := range servers {
		p.statesBuffer = append(p.statesBuffer, p.state(s))
	}
	return p.statesBuffer
}

func (p *Picker) state(s *roster.Server) *state {
	st := p.servers[s.ID]
	if st == nil || st.born != s.StartedMs {
		// A restarted server has nothing cached.
		next := &state{born: s.StartedMs}
		if st != nil {
			next.ownRunning, next.peers = st.ownRunning, st.peers
			if st.ownRunning > 0 {
				p.loaded[s.ID] = next
			}
		}
		st = next
		p.servers[s.ID] = st
	}
	return st
}

// countTokens counts the tokens of the prompt.
func (s *search) countTokens() {
	for i, part := range s.request.Prompt {
		s.allTokens += part.Tokens
		if i < len(s.chain) {
			s.sharedTokens += part.Tokens
		}
	}
	s.allTokens = max(s.request.Input, s.allTokens)
}

// missingTokens is how many tokens the server would have to read, and how many of them belong
// to parts that requests share.
func (s *search) missingTokens(st *state) (left, reread shed.Tokens) {
	cached := s.cached[st]
	return s.allTokens - cached, s.sharedTokens - cached
}

// RecordPlacement records that a request goes to the server, and returns whether peers are to be
// told which prefix it uses.
func (p *Picker) RecordPlacement(now time.Time, w Request, c Choice) (report bool) {
	st := p.state(c.Server)
	st.ownRunning++
	p.loaded[c.Server.ID] = st
	if !w.Engine {
		p.plainCalls++
		return false
	}
	st.ownReading += c.Missing
	return p.prefixes.place(now, st, prefixChains(w.Prompt))
}

// RecordPeerPrefix records that a peer placed a request with this prefix.
func (p *Picker) RecordPeerPrefix(now time.Time, id shed.ServerID, chain []uint64) {
	if st := p.servers[id]; st != nil {
		p.prefixes.receive(now, st, chain)
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
	if st.ownRunning = max(st.ownRunning-1, 0); st.ownRunning == 0 {
		delete(p.loaded, c.Server.ID)
	}
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
	out := make(map[shed.ServerID]shed.ServerShare, len(p.loaded))
	for id, st := range p.loaded {
		out[id] = shed.ServerShare{Running: st.ownRunning, Reading: st.ownReading}
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
