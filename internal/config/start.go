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

// start is the phase in which a daemon that has just started, or resumed after a pause,
// queries its peers for their revisions.
//
// VMs store nothing, so a restarted daemon knows no revision, and the platform may be
// stale: relying on it alone would bring back an old revision that the rest of the fleet
// has left, such as one from before a zone was taken out of service. So the daemon first
// queries peers in and out of its zone and takes the highest revision.
type start struct {
	startedAt time.Time
	done      bool
	// queried peers, and whether they have replied.
	queried map[shed.VM]bool
	// replies counts the peers that have replied.
	replies int
	// revisionKnown is true once one of them had a revision.
	revisionKnown bool
	nextQuery     time.Time
	// coldJitter spreads the first full reads; drawn once.
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
		st.coldJitter = time.Duration(s.rng.Int64N(int64(s.cfg.ColdReadSpread)))
	}
	out := s.startQueries(now)
	if s.startComplete(now) {
		st.done = true
	}
	return out
}

// startQueries queries a few peers of the zone and one in each other zone, and repeats
// the queries without a reply.
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

// addStartPeer adds a peer to query, up to three for each place: a peer that doesn't
// reply is replaced by another one.
func (s *State) addStartPeer(vm shed.VM) {
	limit := 3 * (startZonePeers + len(s.topology.otherZones))
	if _, known := s.start.queried[vm]; vm == "" || known || len(s.start.queried) >= limit {
		return
	}
	s.start.queried[vm] = false
}

func (s *State) recordStartReply(from shed.VM, m shed.ConfigDigest) {
	answered, queried := s.start.queried[from]
	if !queried || answered {
		return
	}
	s.start.queried[from] = true
	s.start.replies++
	s.start.revisionKnown = s.start.revisionKnown || m.Revision > 0
}

// startComplete reports whether enough peers have replied. Every wait is bounded: a zone
// that is partitioned off from all others still has to serve.
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

// coldReadAt is when a daemon without any configuration reads the whole of it from the
// platform. At the design size that is some three hundred reads, so after a restart of
// the fleet the daemons must not all do it at once: the zones start at random times, and
// within a zone one daemon after the other, as long as none has succeeded.
func (s *State) coldReadAt() time.Time {
	st := &s.start
	zones := time.Duration(len(s.topology.otherZones) + 1)
	wait := s.cfg.StartWait + st.coldJitter*zones
	if len(s.topology.otherZones) == 0 && len(s.topology.ranked) == 1 && s.cfg.SeedPeers > 0 {
		// Peers are expected but not seen yet. With a read now, each daemon of a restarted
		// fleet would act as if it were the first.
		wait = isolatedWaits * wait
	}
	stagger := s.cfg.ColdReadSpread*zones + coldStagger
	return st.startedAt.Add(wait + time.Duration(s.topology.rank)*stagger)
}
