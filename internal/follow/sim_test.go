package follow_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/delta"
	"jasmineshed/internal/follow"
	"jasmineshed/internal/rank"
	"jasmineshed/internal/vclock"
)

// Sizes on the wire and rates of the simulated fleet, as the relay and its users'
// deployments have them.
const (
	largeLink, smallLink = 200e6 / 8, 10e6 / 8 // bytes a second
	latency              = time.Millisecond
	loadBytes            = 330
	callBytes            = 60
	entryBytes           = 300      // a change of one server's entry
	pushMost             = 32 << 10 // above it, peers are told to read the change
	pullLimit            = time.Second
	watching             = 3
	tick                 = 100 * time.Millisecond
)

// sim is a fleet of VMs that follow each other, in virtual time. Three of those with
// large links hear the store and tell the others, each one its share.
type sim struct {
	vclock.Clock
	rnd  *rand.Rand
	vms  []*simVM
	byID map[shed.VM]*simVM
	tell []shed.VM
	// size is how many bytes it takes to pass on the change at a revision.
	size map[shed.Revision]int
	// loss is the share of messages that don't arrive.
	loss float64
}

type simVM struct {
	id           shed.VM
	rate         float64
	follow       *follow.Follower
	asOf         shed.Revision
	contact      time.Time
	upFree, down time.Time
	// since is when each revision was known; sent are the bytes of changes.
	since map[shed.Revision]time.Time
	sent  int
}

func newSim(n int, loss float64) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(1, uint64(n))), Clock: vclock.Clock{Now: start}, byID: map[shed.VM]*simVM{}, size: map[shed.Revision]int{}, loss: loss}
	strong := max(watching, n/13)
	for i := range n {
		vm := &simVM{id: shed.VM(fmt.Sprint("vm-", i)), rate: smallLink, asOf: 1, contact: start, since: map[shed.Revision]time.Time{}}
		if i < strong {
			vm.rate = largeLink
		}
		vm.follow = follow.New(vm.id)
		s.vms, s.byID[vm.id] = append(s.vms, vm), vm
		s.every(tick, func() { s.handle(vm, follow.Tick{}) })
		s.every(tick*time.Duration(1+(n-1)/12), func() { s.load(vm) })
	}
	for _, vm := range s.vms[:strong] {
		s.tell = append(s.tell, vm.id)
	}
	s.tell = rank.Owners("store", s.tell, watching)
	return s
}

// every repeats something from a random time on.
func (s *sim) every(period time.Duration, do func()) {
	s.Every(time.Duration(s.rnd.Int64N(int64(period))), period, do)
}

// send takes a message over both links, behind what is on them.
func (s *sim) send(from, to *simVM, size int, arrived func()) {
	begin := shed.Later(s.Now, from.upFree)
	from.upFree = begin.Add(time.Duration(float64(size) / from.rate * float64(time.Second)))
	done := shed.Later(from.upFree, shed.Later(begin, to.down).Add(time.Duration(float64(size)/to.rate*float64(time.Second))))
	to.down = done
	if s.rnd.Float64() >= s.loss {
		s.After(done.Sub(s.Now)+latency, arrived)
	}
}

func (s *sim) load(vm *simVM) {
	word := follow.PeerState{AsOf: vm.asOf, Digest: uint64(vm.asOf), LastContact: vm.contact, Power: vm.rate}
	for _, to := range s.vms {
		if to != vm {
			s.send(vm, to, loadBytes, func() { s.handle(to, follow.PeerReported{From: vm.id, State: word}) })
		}
	}
}

func (s *sim) handle(vm *simVM, ev follow.Event) {
	own := follow.LocalState{AsOf: vm.asOf, Digest: uint64(vm.asOf), LastContact: vm.contact}
	for _, act := range vm.follow.Handle(s.Now, own, ev) {
		switch a := act.(type) {
		case follow.Confirm:
			vm.contact = shed.Later(vm.contact, a.At)
		case follow.Pull:
			s.pull(vm, a)
		}
	}
}

func (s *sim) pull(vm *simVM, p follow.Pull) {
	peer, ended := s.byID[p.From], false
	end := func(failed bool) {
		if !ended {
			ended = true
			s.handle(vm, follow.PullEnded{Pull: p.ID, Failed: failed})
		}
	}
	s.After(pullLimit, func() { end(true) })
	s.send(vm, peer, callBytes, func() {
		asOf, size := peer.asOf, s.bytes(p.After, peer.asOf)
		peer.sent += size
		s.send(peer, vm, size, func() {
			s.learn(vm, asOf)
			end(false)
		})
	})
}

// bytes is what it takes to pass on the changes between two revisions.
func (s *sim) bytes(after, asOf shed.Revision) int {
	all := callBytes
	for rev := after + 1; rev <= asOf; rev++ {
		all += s.size[rev]
	}
	return all
}

func (s *sim) learn(vm *simVM, asOf shed.Revision) {
	for vm.asOf < asOf {
		vm.asOf++
		vm.since[vm.asOf] = s.Now
	}
}

// write changes the store; those that watch hear it and tell the others.
func (s *sim) write(size int) shed.Revision {
	rev := shed.Revision(len(s.size) + 2)
	s.size[rev] = size
	for _, id := range s.tell {
		vm := s.byID[id]
		s.After(5*time.Millisecond, func() {
			after := rev - 1
			s.learn(vm, rev)
			vm.contact = s.Now
			for _, to := range s.vms {
				if teller, _ := rank.Owner(string(to.id), s.tell); teller == id && to != vm {
					s.news(vm, to, after, rev)
				}
			}
		})
	}
	return rev
}

func (s *sim) news(from, to *simVM, after, asOf shed.Revision) {
	size := s.bytes(after, asOf)
	unsent := size > pushMost
	if unsent {
		size = callBytes
	}
	from.sent += size
	s.send(from, to, size, func() {
		switch {
		case asOf <= to.asOf:
		case unsent || after > to.asOf:
			s.handle(to, follow.UpdateMissed{From: from.id, AsOf: asOf})
		default:
			s.learn(to, asOf)
		}
	})
}

// applied is when the last VM knew the revision, after the change was written.
func (s *sim) applied(rev shed.Revision, written time.Time) time.Duration {
	last := time.Duration(0)
	for _, vm := range s.vms {
		at, ok := vm.since[rev]
		if !ok {
			return time.Hour
		}
		last = max(last, at.Sub(written))
	}
	return last
}

// routes is the text of n routes whose names can't be guessed.
func routes(n int) []byte {
	rnd := rand.New(rand.NewPCG(2, 2))
	var out []byte
	for i := range n {
		out = fmt.Appendf(out, `{"name":"%08x","host":"%06x.example","path_prefix":"/%08x/","kind":"idempotent","timeout_ms":1200,`+
			`"target_latency_ms":150,"priority":2,"service":"svc-%d","max_attempts":2,"gap_aim_ms":500},`,
			rnd.Uint32(), rnd.Uint32()>>8, rnd.Uint32(), i%5)
	}
	return out
}

// grown is one row of TestChangesAtSize: a fleet, how many routes its configuration
// gets, and the share of messages that are lost.
type grown struct {
	vms, more int
	loss      float64
}

// A configuration of 2,800 routes gets more, while servers are replaced: four changes of
// entries a second. Most VMs have links of 10 Mbit/s. Each VM has to have it in force
// within three seconds, also if one message in twenty is lost; what has to be sent
// grows with the change.
func TestChangesAtSize(t *testing.T) {
	for _, c := range []grown{
		{20, 100, 0}, {20, 1500, 0}, {20, 3000, 0},
		{78, 100, 0}, {78, 1500, 0}, {78, 3000, 0}, {78, 1500, 0.05}, {78, 3000, 0.05},
		{195, 100, 0}, {195, 1500, 0}, {195, 3000, 0}, {195, 1500, 0.05},
	} {
		packed, err := delta.Pack(routes(2800+c.more), routes(2800))
		require.NoError(t, err)
		s := newSim(c.vms, c.loss)
		s.Run(time.Second)
		for range 4 {
			s.write(entryBytes)
			s.Run(250 * time.Millisecond)
		}
		for _, vm := range s.vms {
			vm.sent = 0
		}
		written := s.Now
		rev := s.write(len(packed))
		for range 10 {
			s.Run(250 * time.Millisecond)
			s.write(entryBytes)
		}
		s.Run(500 * time.Millisecond)
		took := s.applied(rev, written)
		require.Less(t, took, 3*time.Second, "%+v", c)
		mean, most := s.sent()
		t.Logf("%+v: %d bytes (%d whole); last VM after %v; sent in 3 s: mean %d bytes, most %d",
			c, len(packed), len(routes(2800+c.more)), took.Round(time.Millisecond), mean, most)
	}
}

// sent are the bytes that VMs sent for changes.
func (s *sim) sent() (mean, most int) {
	all := 0
	for _, vm := range s.vms {
		most, all = max(most, vm.sent), all+vm.sent
	}
	return all / len(s.vms), most
}
