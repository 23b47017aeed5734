package config

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/vclock"
)

// sim is a handful of daemons' configurations, a platform and the network
// between them, in virtual time and with one source of chance.
type sim struct {
	rng   *rand.Rand
	now   time.Time
	queue vclock.Queue
	nodes []*node
	byVM  map[shed.VM]*node
	peers map[shed.ZoneID][]shed.Peer
	// zones counts the availability zones.
	zones int

	// published texts by revision; the last one is the newest.
	published []revision
	// stale makes the platform answer as before its newest revision.
	stale     bool
	lastStale time.Time

	// corrupt changes one byte of each part that travels.
	corrupt  bool
	loss     float64
	delay    time.Duration
	cut      map[[2]int]bool // zones that can't reach each other
	noPlat   map[int]bool    // zones that can't reach the platform
	atOnce   int             // how many parts the platform gives in one answer; 0 for all
	late     time.Duration   // how long the platform's answers are on their way
	reads    int
	readings map[int64]int // reads by second
	bytes    int
	weigh    bool // counts bytes
	// linkRate is how many bytes a second come to a node; 0 means no limit.
	linkRate float64
	// blind is how long a new process knows no peer.
	blind time.Duration
}

// revision is what was published, and when.
type revision struct {
	rev   shed.Revision
	index shed.ConfigIndex
	parts map[shed.PartHash][]byte
	good  bool
	at    time.Time
}

// node is one daemon, over its restarts.
type node struct {
	id     int
	zone   int
	vm     shed.VM
	state  *State
	boots  uint64
	paused bool
	// linkFree is when all that is on the way to it will have passed its link.
	linkFree time.Time
	// kept holds what came in during a pause.
	kept []shed.Event
	// highest revision in force within one process.
	highest shed.Revision
}

const simStart = 1_800_000_000

func newSim(seed uint64, zones, perZone int, tweak func(*sim)) *sim {
	s := &sim{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(simStart, 0),
		zones:    zones,
		delay:    2 * time.Millisecond,
		cut:      map[[2]int]bool{},
		noPlat:   map[int]bool{},
		readings: map[int64]int{},
		byVM:     map[shed.VM]*node{},
		peers:    map[shed.ZoneID][]shed.Peer{},
	}
	if tweak != nil {
		tweak(s)
	}
	for i := range zones * perZone {
		n := &node{id: i, zone: i % zones, vm: shed.VM(fmt.Sprintf("10.0.%d.%d:70", i%zones, i/zones))}
		s.nodes = append(s.nodes, n)
		s.byVM[n.vm] = n
		s.peers[zoneName(n.zone)] = append(s.peers[zoneName(n.zone)], shed.Peer{VM: n.vm})
		s.tickLater(n, time.Duration(s.rng.Int64N(int64(shed.TickEvery))))
	}
	for _, n := range s.nodes {
		s.boot(n)
	}
	return s
}

func zoneName(z int) shed.ZoneID { return shed.ZoneID(fmt.Sprintf("zone-%02d", z)) }

// boot starts a new process on the node's VM.
func (s *sim) boot(n *node) {
	n.boots++
	n.highest, n.kept, n.paused = 0, nil, false
	cfg := Config{
		Self:      shed.Peer{VM: n.vm, Incarnation: shed.Incarnation(n.boots << 40)},
		Zone:      zoneName(n.zone),
		Seed:      uint64(n.id),
		SeedPeers: 2,
		Compile:   simCompile,
	}
	n.state = New(cfg)
	if s.blind == 0 {
		n.state.SetPeers(s.view(n))
		return
	}
	state := n.state
	s.after(s.blind, func() { state.SetPeers(s.view(n)) })
}

// view is every VM, as a membership that has not noticed any death.
func (s *sim) view(n *node) ([]shed.Peer, map[shed.ZoneID][]shed.Peer) {
	return s.peers[zoneName(n.zone)], s.peers
}

var errBad = errors.New("bad rules")

func simCompile(text []byte, rev shed.Revision) (*shed.Rules, error) {
	if bytes.Contains(text, []byte("bad")) {
		return nil, errBad
	}
	return &shed.Rules{Revision: rev}, nil
}

func (s *sim) after(d time.Duration, do func()) {
	s.queue.Add(s.now.Add(d), do)
}

// run lets time pass.
func (s *sim) run(d time.Duration, each func()) {
	end := s.now.Add(d)
	for at, do := range s.queue.Until(end) {
		s.now = at
		do()
		if each != nil {
			each()
		}
	}
	s.now = end
}

func (s *sim) tickLater(n *node, d time.Duration) {
	s.after(d, func() {
		if !n.paused {
			s.give(n, shed.Tick{Wall: s.now, Mono: s.now.Sub(time.Unix(simStart, 0))})
		}
		s.tickLater(n, shed.TickEvery)
	})
}

// give hands the event to the node, or keeps it while the node is paused.
func (s *sim) give(n *node, ev shed.Event) {
	if n.paused {
		n.kept = append(n.kept, ev)
		return
	}
	s.perform(n, n.state.Handle(s.now, ev))
}

func (s *sim) perform(n *node, actions []shed.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case shed.SendPeer:
			s.deliver(n, a)
		case shed.ReadConfig:
			s.platform(n, a)
		}
	}
}

// wakeUp ends a pause; what waited in the sockets comes before the first tick.
func (s *sim) wakeUp(n *node) {
	n.paused = false
	kept := n.kept
	n.kept = nil
	for _, ev := range kept {
		s.give(n, ev)
	}
}

func (s *sim) apart(a, b int) bool { return s.cut[[2]int{min(a, b), max(a, b)}] }

func (s *sim) latency() time.Duration {
	return s.delay/2 + time.Duration(s.rng.Int64N(int64(s.delay)))
}

func (s *sim) deliver(from *node, a shed.SendPeer) {
	if s.weigh {
		s.bytes += messageBytes(a.Message)
	}
	boots := from.boots
	if push, ok := a.Message.(shed.ConfigPush); ok && s.corrupt {
		push.Parts = spoilt(push.Parts)
		a.Message = push
	}
	to := s.byVM[a.To]
	if to == nil || s.apart(from.zone, to.zone) || s.rng.Float64() < s.loss {
		return
	}
	wait, ok := s.pass(to, a.Message)
	if !ok {
		return
	}
	s.after(s.latency()+wait, func() {
		s.give(to, shed.PeerMessage{From: shed.Peer{VM: from.vm, Incarnation: shed.Incarnation(boots << 40)}, Message: a.Message})
	})
}

// platform answers a read, at once or when a watch ends.
func (s *sim) platform(n *node, a shed.ReadConfig) {
	boots := n.boots
	reply := func(ev shed.ConfigRead) {
		s.after(s.latency()+s.late, func() {
			if n.boots == boots {
				s.give(n, ev)
			}
		})
	}
	s.count(1)
	var poll func(end time.Time)
	poll = func(end time.Time) {
		if s.noPlat[n.zone] {
			reply(shed.ConfigRead{Failed: true})
			return
		}
		shown, any := s.shown()
		if any && (shown.rev > a.After || !s.now.Before(end)) {
			reply(s.contents(shown, a))
			return
		}
		if !any && !s.now.Before(end) {
			reply(shed.ConfigRead{})
			return
		}
		s.after(10*time.Millisecond, func() { poll(end) })
	}
	end := s.now.Add(a.Wait)
	s.after(s.latency(), func() { poll(end) })
}

func (s *sim) count(n int) {
	s.reads += n
	s.readings[s.now.Unix()] += n
}

// contents counts a read for each part that the reader lacks.
func (s *sim) contents(r revision, a shed.ReadConfig) shed.ConfigRead {
	ev := shed.ConfigRead{Index: r.index, Parts: map[shed.PartHash][]byte{}}
	if r.rev == a.After {
		return ev
	}
	have := map[shed.PartHash]bool{}
	for _, hash := range a.Have {
		have[hash] = true
	}
	for _, hash := range r.index.Parts {
		part := r.parts[hash]
		if !have[hash] && (s.atOnce == 0 || len(ev.Parts) < s.atOnce) {
			s.count(1)
			ev.Parts[hash] = part
		}
	}
	return ev
}

func spoilt(parts map[shed.PartHash][]byte) map[shed.PartHash][]byte {
	list := map[shed.PartHash][]byte{}
	for hash, part := range parts {
		list[hash] = append([]byte("x"), part...)
	}
	return list
}

func (s *sim) shown() (revision, bool) {
	last := len(s.published) - 1
	if s.stale {
		last--
	}
	if last < 0 {
		return revision{}, false
	}
	return s.published[last], true
}

// publish makes a revision of some parts, of which one differs from the last.
func (s *sim) publish(good bool, parts int) shed.Revision {
	rev := shed.Revision(len(s.published) + 1)
	r := revision{rev: rev, good: good, at: s.now, parts: map[shed.PartHash][]byte{}}
	r.index.Revision = rev
	for i := range parts {
		text := fmt.Appendf(nil, "part %d\n", i)
		if i == int(rev)%parts {
			text = fmt.Appendf(nil, "part %d of revision %d\n", i, rev)
		}
		if !good && i == 0 {
			text = fmt.Appendf(nil, "bad revision %d\n", rev)
		}
		r.add(text)
	}
	s.published = append(s.published, r)
	return rev
}

// publishText makes a revision of parts of some bytes each.
func (s *sim) publishText(parts, size int) {
	rev := shed.Revision(len(s.published) + 1)
	r := revision{rev: rev, good: true, at: s.now, parts: map[shed.PartHash][]byte{}}
	r.index.Revision = rev
	for i := range parts {
		r.add(bytes.Repeat([]byte{'a' + byte(i)}, size))
	}
	s.published = append(s.published, r)
}

func (r *revision) add(text []byte) {
	hash := shed.PartHash(sha256.Sum256(text))
	r.parts[hash] = text
	r.index.Parts = append(r.index.Parts, hash)
}

// newest is the last revision published at or before t.
func (s *sim) newest(t time.Time) (rev shed.Revision, good bool) {
	for i := len(s.published) - 1; i >= 0; i-- {
		if r := s.published[i]; !r.at.After(t) {
			return r.rev, r.good
		}
	}
	return 0, false
}

// shortLived tells whether an invalid revision took the place of rev before
// rev had time to spread: then it may never have reached any daemon.
func (s *sim) shortLived(rev shed.Revision) bool {
	if int(rev) == 0 || int(rev) >= len(s.published) {
		return false
	}
	next := s.published[rev]
	return !next.good && next.at.Sub(s.published[rev-1].at) < settleFor
}

// inForce is the node's revision; 0 if it has none.
func (n *node) inForce() shed.Revision {
	if r := n.state.Rules(); r != nil {
		return r.Revision
	}
	return 0
}

// everywhere tells whether all running nodes follow the revision.
func (s *sim) everywhere(rev shed.Revision) bool {
	for _, n := range s.nodes {
		if !n.paused && n.inForce() != rev {
			return false
		}
	}
	return true
}

// until runs until done holds, and gives the time that it took.
func (s *sim) until(most time.Duration, done func() bool) (time.Duration, bool) {
	began := s.now
	for s.now.Sub(began) < most {
		if done() {
			return s.now.Sub(began), true
		}
		s.run(10*time.Millisecond, nil)
	}
	return most, done()
}
