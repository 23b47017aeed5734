package config

import (
	"time"

	shed "jasmineshed"
)

// Bounds on the start.
const (
	startAsksZone  = 3
	startAskAgain  = 300 * time.Millisecond
	startMostWaits = 5
	loneWaits      = 10
	coldStep       = time.Second
)

// start is the time in which a daemon that has just started, or woken, asks its
// peers what they have.
//
// VMs keep nothing, so a restarted daemon knows no revision, and the platform
// may be stale: taking the platform's word would bring back an old revision
// that the rest of the fleet has left, such as one from before a zone was taken
// out. So it asks in and out of its zone first and takes the highest.
type start struct {
	began time.Time
	done  bool
	// asked peers, and whether they have answered.
	asked map[shed.VM]bool
	// heard counts those that have.
	heard int
	// informed is set once one of them had a revision.
	informed bool
	nextAsk  time.Time
	// coldJitter spreads the first whole reads; drawn once.
	coldJitter time.Duration
}

func (s *State) startTick(now time.Time) []shed.Action {
	st := &s.start
	if st.done {
		return nil
	}
	if st.began.IsZero() {
		st.began = now
		st.nextAsk = now
		st.asked = map[shed.VM]bool{}
		st.coldJitter = time.Duration(s.rng.Int64N(int64(s.cfg.ColdReadSpread)))
	}
	out := s.startAsk(now)
	if s.started(now) {
		st.done = true
	}
	return out
}

// startAsk asks a few peers of the zone and one in each other zone, and those
// again that have not answered.
func (s *State) startAsk(now time.Time) []shed.Action {
	st := &s.start
	if now.Before(st.nextAsk) {
		return nil
	}
	st.nextAsk = now.Add(startAskAgain)
	for range startAsksZone {
		s.startAdd(s.pick(s.near.ring))
	}
	for _, vm := range s.farContacts(everyZone) {
		s.startAdd(vm)
	}
	var out []shed.Action
	for _, vm := range sortedVMs(st.asked) {
		if !st.asked[vm] {
			out = append(out, s.ask(now, vm))
		}
	}
	return out
}

// startAdd bounds whom to ask; a peer that does not answer is made up for by
// another one, up to three for each place.
func (s *State) startAdd(vm shed.VM) {
	most := 3 * (startAsksZone + len(s.near.zones))
	if _, known := s.start.asked[vm]; vm == "" || known || len(s.start.asked) >= most {
		return
	}
	s.start.asked[vm] = false
}

func (s *State) startHeard(from shed.VM, m shed.ConfigDigest) {
	answered, asked := s.start.asked[from]
	if !asked || answered {
		return
	}
	s.start.asked[from] = true
	s.start.heard++
	s.start.informed = s.start.informed || m.Revision > 0
}

// started tells whether enough was heard. Every wait is bounded: a zone that is
// cut off from everyone still has to serve.
func (s *State) started(now time.Time) bool {
	if s.held.rules == nil {
		return false
	}
	st := &s.start
	waited := now.Sub(st.began)
	all := st.informed && st.heard == len(st.asked)
	if !all && waited < s.cfg.StartWait {
		return false
	}
	return !s.behind() || waited >= startMostWaits*s.cfg.StartWait
}

// coldAt is when a daemon without any configuration reads the whole of it from
// the platform. At the design size that is some three hundred reads, so a restart
// of the fleet must not make every daemon do it at once: the zones start at
// random times, and within a zone one daemon after the other, as long as none
// has succeeded.
func (s *State) coldAt() time.Time {
	st := &s.start
	zones := time.Duration(len(s.near.zones) + 1)
	wait := s.cfg.StartWait + st.coldJitter*zones
	if len(s.near.zones) == 0 && len(s.near.ring) == 1 && s.cfg.SeedPeers > 0 {
		// Peers are expected but not seen yet. To read now would make each
		// daemon of a restarted fleet believe that it is the first.
		wait = loneWaits * wait
	}
	step := s.cfg.ColdReadSpread*zones + coldStep
	return st.began.Add(wait + time.Duration(s.near.at)*step)
}
