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
	// ownRunning are this daemon's requests on it; reading are the prompt tokens of
	// those whose first event is still out.
	ownRunning int
	ownReading shed.Tokens
	// peers is the sum of what the other daemons last said that they have on it.
	peers shed.ServerShare
	// meanCallTime is the mean time of a plain call.
	meanCallTime time.Duration
	failures     failureRate
	// failedConnections counts the connections in a row that did not come about; away is until
	// when none is tried.
	failedConnections int
	backoffUntil      time.Time
	// prefixes are the parts that it has read, by the hash of the chain up to
	// them, with the time of the last use.
	prefixes map[uint64]time.Time
}

func (p *Picker) state(s *roster.Server) *state {
	st := p.servers[s.ID]
	if st == nil || st.born != s.Born {
		// A new start holds and knows nothing of before.
		next := &state{born: s.Born, prefixes: map[uint64]time.Time{}}
		if st != nil {
			next.ownRunning, next.peers = st.ownRunning, st.peers
		}
		st = next
		p.servers[s.ID] = st
	}
	return st
}

// missingTokens is how many tokens the server would have to read, and how many of
// them belong to parts that requests share.
func (st *state) missingTokens(now time.Time, w *Want, chain []uint64) (left, reread shed.Tokens) {
	var all, shared shed.Tokens
	for i, part := range w.Prompt {
		all += part.Tokens
		if i < len(chain) {
			shared += part.Tokens
		}
	}
	keeps := st.cachedTokens(now, w, chain)
	return max(w.Input, all) - keeps, shared - keeps
}

// Placed notes that a request goes to the server.
func (p *Picker) Placed(now time.Time, w Want, c Choice) {
	st := p.state(c.Server)
	st.ownRunning++
	if !w.Engine {
		return
	}
	st.ownReading += c.Missing
	for _, h := range prefixChains(w.Prompt) {
		st.prefixes[h] = now
	}
	st.prunePrefixes(now)
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
	st.prunePrefixes(now)
}

// prunePrefixes forgets prefixes that are surely out of memory.
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

// Began notes that a request's first event has come: its prompt is read.
func (p *Picker) Began(c Choice) {
	if st := p.servers[c.Server.ID]; st != nil {
		st.ownReading -= min(st.ownReading, c.Missing)
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
	st.ownRunning = max(st.ownRunning-1, 0)
	if end.Forgotten {
		return
	}
	p.recordOutcome(now, st, c.Server.Zone, end)
	if end.Took <= 0 {
		return
	}
	if st.meanCallTime == 0 {
		st.meanCallTime = end.Took
		return
	}
	st.meanCallTime += time.Duration(callTimeWeight * float64(end.Took-st.meanCallTime))
}

// recordOutcome takes the end of a call in for the server and its zone.
func (p *Picker) recordOutcome(now time.Time, st *state, zone shed.ZoneID, end End) {
	weight := failureWeight
	if end.Unreached {
		weight = unreachedWeight
	}
	st.failures.record(now, end.Failed, weight)
	st.recordReachability(now, end)
	if end.Unreached || !end.Failed {
		// One that was reached and failed says nothing of its zone.
		p.zoneFailureRate(zone).record(now, end.Unreached, zoneFailureWeight)
	}
}

// Shares is what this daemon has on each server that has any.
func (p *Picker) Shares() map[shed.ServerID]shed.ServerShare {
	out := map[shed.ServerID]shed.ServerShare{}
	for id, st := range p.servers {
		if st.ownRunning > 0 {
			out[id] = shed.ServerShare{Running: st.ownRunning, Reading: st.ownReading}
		}
	}
	return out
}

// PeerShares takes in what a peer has on the servers; it replaces what the peer
// said before.
func (p *Picker) PeerShares(from shed.VM, shares map[shed.ServerID]shed.ServerShare) {
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

// PeerGone forgets what a peer said.
func (p *Picker) PeerGone(vm shed.VM) {
	p.PeerShares(vm, nil)
	delete(p.peerShares, vm)
}

// Keep forgets servers that are no longer listed and have nothing of this
// daemon's.
func (p *Picker) Keep(listed func(shed.ServerID) bool) {
	for id, st := range p.servers {
		if st.ownRunning == 0 && !listed(id) {
			delete(p.servers, id)
			for _, shares := range p.peerShares {
				delete(shares, id)
			}
		}
	}
}
