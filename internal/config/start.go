package config

import (
	"time"

	shed "jasmineshed"
)

// Bounds on the start.
const (
	startZonePeers     = 3
	startQueryInterval = 300 * time.Millisecond
	startMaxWaits      = 5
	isolatedWaits      = 10
	coldStagger        = time.Second
)

// start is the time in which a daemon that has just started, or woken, asks its
// peers what they have.
//
// VMs keep nothing, so a restarted daemon knows no revision, and the platform
// may be stale: taking the platform's word would bring back an old revision
// that the rest of the fleet has left, such as one from before a zone was taken
// out. So it asks in and out of its zone first and takes the highest.
type start struct {
	startedAt time.Time
	done      bool
	// queried peers, and whether they have answered.
	queried map[shed.VM]bool
	// replies counts those that have.
	replies int
	// revisionKnown is set once one of them had a revision.
	revisionKnown bool
	nextQuery     time.Time
	// coldJitter spreads the first whole reads; drawn once.
	coldJitter time.Duration
}

func (s *State) startTick(now time.Time) []shed.Action {
	st := &s.start
	if st.done {
		return nil
	}
	if st.startedAt.IsZero() {
		st.startedAt = now
		st.nextQuery = now
		st.queried = map[shed.VM]bool{}
		st.coldJitter = time.Duration(s.rng.Int64N(int64(s.cfg.ColdSpan)))
	}
	out := s.startQueries(now)
	if s.startComplete(now) {
		st.done = true
	}
	return out
}

// startQueries asks a few peers of the zone and one in each other zone, and those
// again that have not answered.
func (s *State) startQueries(now time.Time) []shed.Action {
	st := &s.start
	if now.Before(st.nextQuery) {
		return nil
	}
	st.nextQuery = now.Add(startQueryInterval)
	for range startZonePeers {
		s.addStartPeer(s.pickPeer(s.topology.ranked))
	}
	for _, vm := range s.remoteContacts(allZones) {
		s.addStartPeer(vm)
	}
	var out []shed.Action
	for _, vm := range sortedVMs(st.queried) {
		if !st.queried[vm] {
			out = append(out, s.sendQuery(now, vm))
		}
	}
	return out
}

// addStartPeer bounds whom to ask; a peer that does not answer is made up for by
// another one, up to three for each place.
func (s *State) addStartPeer(vm shed.VM) {
	limit := 3 * (startZonePeers + len(s.topology.otherZones))
	if _, known := s.start.queried[vm]; vm == "" || known || len(s.start.queried) >= limit {
		return
	}
	s.start.queried[vm] = false
}

func (s *State) recordStartReply(from shed.VM, m shed.ConfigDigest) {
	answered, asked := s.start.queried[from]
	if !asked || answered {
		return
	}
	s.start.queried[from] = true
	s.start.replies++
	s.start.revisionKnown = s.start.revisionKnown || m.Revision > 0
}

// startComplete tells whether enough was heard. Every wait is bounded: a zone that is
// cut off from everyone still has to serve.
func (s *State) startComplete(now time.Time) bool {
	if s.current.rules == nil {
		return false
	}
	st := &s.start
	elapsed := now.Sub(st.startedAt)
	allReplied := st.revisionKnown && st.replies == len(st.queried)
	if !allReplied && elapsed < s.cfg.StartWait {
		return false
	}
	return !s.isStale() || elapsed >= startMaxWaits*s.cfg.StartWait
}

// coldReadAt is when a daemon without any configuration reads the whole of it from
// the platform. At the design size that is some three hundred reads, so a restart
// of the fleet must not make every daemon do it at once: the zones start at
// random times, and within a zone one daemon after the other, as long as none
// has succeeded.
func (s *State) coldReadAt() time.Time {
	st := &s.start
	zones := time.Duration(len(s.topology.otherZones) + 1)
	wait := s.cfg.StartWait + st.coldJitter*zones
	if len(s.topology.otherZones) == 0 && len(s.topology.ranked) == 1 && s.cfg.Seeds > 0 {
		// Peers are expected but not seen yet. To read now would make each
		// daemon of a restarted fleet believe that it is the first.
		wait = isolatedWaits * wait
	}
	stagger := s.cfg.ColdSpan*zones + coldStagger
	return st.startedAt.Add(wait + time.Duration(s.topology.rank)*stagger)
}
