package picker

import (
	"math"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
	"jasmineshed/internal/subset"
)

// search is one search for a server.
type search struct {
	picker  *Picker
	now     time.Time
	request *Request
	chain   []uint64
	// servers are the candidates, states their states.
	servers []*roster.Server
	states  []*state
	// sharedTokens are the tokens of the prompt's shared parts, allTokens those of the prompt.
	sharedTokens, allTokens shed.Tokens
	// fastest is the shortest mean call time of the pool.
	fastest time.Duration
	// cached is how many tokens of the shared parts each server has cached, if any.
	cached  map[*state]shed.Tokens
	sources cacheSources
	// slowness is how long work takes on each engine, relative to the usual time.
	slowness []float64
	// subset are the engines that the prompt's prefix is kept on, if the request asks for it.
	subset subset.Subset
	// measureUpTo is the maximum cost of a server to be measured; 0 if none is.
	measureUpTo time.Duration
	// noTurn: a server was skipped for lack of a turn. restingFor is the time until the first of
	// the resting servers, unreachableFor that until the first of the unreachable ones may be tried
	// again; 0 if there is none.
	noTurn                     bool
	restingFor, unreachableFor time.Duration
}

// run returns the best choice; its Server is nil if there is none.
func (s *search) run() Choice {
	var best Choice
	var bestState *state
	for i, server := range s.servers {
		if avoided(s.request.Avoid, server.ID) {
			continue
		}
		st := s.states[i]
		access, ok := s.access(server, st)
		if !ok {
			continue
		}
		c := s.evaluate(i)
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
		s.unreachableFor = shorterWait(s.unreachableFor, left)
		return Free, false
	}
	var left time.Duration
	if s.request.Access != nil {
		access, left = s.request.Access(server)
	}
	if access == Resting {
		s.restingFor = shorterWait(s.restingFor, left)
	}
	s.noTurn = s.noTurn || access == NoTurn
	return access, access != NoTurn && access != Resting
}

// shorterWait returns the shorter of two waits; a is 0 if there is none yet.
func shorterWait(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
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
func (s *search) fastestCallTime() time.Duration {
	fastest := time.Duration(0)
	for _, st := range s.states {
		if took := st.callTime.mean; took > 0 && (fastest == 0 || took < fastest) {
			fastest = took
		}
	}
	if fastest == 0 {
		return defaultCallTime
	}
	return fastest
}

// findSlowness finds out how long work takes on each engine, relative to the usual time: a choice uses it
// twice.
func (s *search) findSlowness() {
	s.slowness = s.picker.slownessBuffer[:0]
	for _, server := range s.servers {
		slowness := 1.0
		if s.request.Slowness != nil {
			slowness = s.request.Slowness(server)
		}
		s.slowness = append(s.slowness, slowness)
	}
	s.picker.slownessBuffer = s.slowness
}

// chooseSubset chooses the engines that the prompt's prefix is kept on.
func (s *search) chooseSubset() {
	if !s.keepsSubset() {
		return
	}
	s.subset = subset.Choose(s.chain[len(s.chain)-1], len(s.servers), func(i int) subset.Engine {
		e := subset.Engine{ID: s.servers[i].ID, Slowness: s.slowness[i]}
		if _, ok := s.access(s.servers[i], s.states[i]); !ok || avoided(s.request.Avoid, e.ID) {
			e.Slowness = math.Inf(1)
		}
		return e
	})
}

// affinityCost is the cost of reading the request's prompt at an engine, which takes so long at the usual
// speed, and of an engine that should not get its prefix.
func (s *search) affinityCost(at int, c *Choice, reading time.Duration) time.Duration {
	if s.keepsSubset() {
		return shed.Scale(reading, c.Slowness) + s.subset.Cost(at, s.cached[s.states[at]] >= s.sharedTokens)
	}
	// Without a subset, all VMs would prefer the fast engines until they hear of the load there, 0.4 s
	// later, which is then above their rate. So the reading counts at the usual speed.
	return reading + shed.Scale(rendezvousCost(s.servers[at], s.chain, reading), c.Slowness)
}

// keepsSubset reports whether the prompt's prefix is kept on a subset of the engines.
func (s *search) keepsSubset() bool { return s.request.Subset && len(s.chain) > 0 }

func avoided(avoid []shed.ServerID, id shed.ServerID) bool {
	for _, a := range avoid {
		if a == id {
			return true
		}
	}
	return false
}

func (s *search) evaluate(at int) Choice {
	server, st := s.servers[at], s.states[at]
	p, w, now := s.picker, s.request, s.now
	running, reading := st.ownRunning+st.peers.Running, st.ownReading+st.peers.Reading
	c := Choice{Server: server}
	if w.Engine {
		var reread shed.Tokens
		c.Missing, reread = s.missingTokens(st)
		reread -= s.sources.planFetch(&c, server, reread)
		c.Slowness = s.slowness[at]
		own, others := p.readTime(c.Missing), p.readTime(reading)+time.Duration(running)*runningRequestCost
		c.Time = shed.Scale(own+others, c.Slowness) + c.fetchTime(w.FetchRate)
		c.Cost = shed.Scale(others, c.Slowness) + c.fetchTime(w.FetchRate) + c.extraFetchCost(w)
		c.Cost += s.affinityCost(at, &c, own) + min(time.Duration(reread)*rereadCost, maxRereadCost)
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
