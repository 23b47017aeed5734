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

// Message sizes and link rates of the simulated fleet, as in the relay and its users'
// deployments.
const (
	largeLink, smallLink = 200e6 / 8, 10e6 / 8 // bytes a second
	latency              = time.Millisecond
	loadBytes            = 330
	callBytes            = 60
	entryBytes           = 300      // an update of one server entry
	hashedBytes          = 45       // the hash of one
	maxPush              = 32 << 10 // a larger change is only announced, and pulled by peers
	pullTimeout          = time.Second
	watcherCount         = 3
	tick                 = 100 * time.Millisecond
)

// sim is a fleet of VMs that follow each other, in virtual time. Three VMs with large links
// watch the store, and each pushes updates to its share of the others.
type sim struct {
	vclock.Clock
	rnd      *rand.Rand
	vms      []*simVM
	byID     map[shed.VM]*simVM
	watchers []shed.VM
	// sizes holds the bytes on the wire of the change at each revision.
	sizes map[shed.Revision]int
	// wholeBytes is the size on the wire of all items.
	wholeBytes int
	// pullTimeout ends a pull, however much has arrived.
	pullTimeout time.Duration
	// lossRate is the fraction of messages that are lost.
	lossRate float64
}

type simVM struct {
	id                       shed.VM
	rate                     float64
	follow                   *follow.Follower
	asOf                     shed.Revision
	contact                  time.Time
	uplinkFree, downlinkFree time.Time
	// knownAt is when the VM reached each revision; sentBytes counts bytes of changes it sent.
	knownAt   map[shed.Revision]time.Time
	sentBytes int
}

func newSim(n int, lossRate float64) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(1, uint64(n))), Clock: vclock.Clock{Now: start}, byID: map[shed.VM]*simVM{}, sizes: map[shed.Revision]int{}, lossRate: lossRate, pullTimeout: pullTimeout}
	highCapacity := max(watcherCount, n/13)
	for i := range n {
		vm := &simVM{id: shed.VM(fmt.Sprint("vm-", i)), rate: smallLink, asOf: 1, contact: start, knownAt: map[shed.Revision]time.Time{}}
		if i < highCapacity {
			vm.rate = largeLink
		}
		vm.follow = follow.New(vm.id)
		s.vms, s.byID[vm.id] = append(s.vms, vm), vm
		s.every(tick, func() { s.handle(vm, follow.Tick{}) })
		s.every(tick*time.Duration(1+(n-1)/12), func() { s.broadcastLoad(vm) })
	}
	for _, vm := range s.vms[:highCapacity] {
		s.watchers = append(s.watchers, vm.id)
	}
	s.watchers = rank.Owners("store", s.watchers, watcherCount)
	return s
}

// every runs do periodically, with a random phase.
func (s *sim) every(period time.Duration, do func()) {
	s.Every(time.Duration(s.rnd.Int64N(int64(period))), period, do)
}

// send queues a message on the sender's uplink and the receiver's downlink.
func (s *sim) send(from, to *simVM, size int, deliver func()) {
	begin := shed.Later(s.Now, from.uplinkFree)
	from.uplinkFree = begin.Add(time.Duration(float64(size) / from.rate * float64(time.Second)))
	done := shed.Later(from.uplinkFree, shed.Later(begin, to.downlinkFree).Add(time.Duration(float64(size)/to.rate*float64(time.Second))))
	to.downlinkFree = done
	if s.rnd.Float64() >= s.lossRate {
		s.After(done.Sub(s.Now)+latency, deliver)
	}
}

func (s *sim) broadcastLoad(vm *simVM) {
	state := follow.PeerState{AsOf: vm.asOf, Digest: uint64(vm.asOf), LastContact: vm.contact, Power: vm.rate}
	for _, to := range s.vms {
		if to != vm {
			s.send(vm, to, loadBytes, func() { s.handle(to, follow.PeerReported{From: vm.id, State: state}) })
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
	s.After(s.pullTimeout, func() { end(true) })
	s.send(vm, peer, callBytes, func() {
		asOf, size := peer.asOf, s.changeBytes(p.After, peer.asOf)
		peer.sentBytes += size
		s.send(peer, vm, size, func() {
			s.advance(vm, asOf)
			end(false)
		})
	})
}

// changeBytes is the size on the wire of the changes between two revisions.
func (s *sim) changeBytes(after, asOf shed.Revision) int {
	if after == 0 || after.Era() != asOf.Era() {
		return callBytes + s.wholeBytes
	}
	total := callBytes
	for rev := after + 1; rev <= asOf; rev++ {
		total += s.sizes[rev]
	}
	return total
}

func (s *sim) advance(vm *simVM, asOf shed.Revision) {
	if asOf.Era() > vm.asOf.Era() {
		vm.asOf = asOf
		vm.knownAt[asOf] = s.Now
	}
	for vm.asOf < asOf {
		vm.asOf++
		vm.knownAt[vm.asOf] = s.Now
	}
}

// write changes the store; the watchers receive the change and push it to the others.
func (s *sim) write(size int) shed.Revision {
	rev := shed.Revision(len(s.sizes) + 2)
	s.sizes[rev] = size
	s.tell(rev-1, rev)
	return rev
}

// tell has the watchers read the store as of a revision and tell the others what changed.
func (s *sim) tell(after, rev shed.Revision) {
	for _, id := range s.watchers {
		vm := s.byID[id]
		s.After(5*time.Millisecond, func() {
			s.advance(vm, rev)
			vm.contact = s.Now
			for _, to := range s.vms {
				if watcher, _ := rank.Owner(string(to.id), s.watchers); watcher == id && to != vm {
					s.sendUpdate(vm, to, after, rev)
				}
			}
		})
	}
}

func (s *sim) sendUpdate(from, to *simVM, after, asOf shed.Revision) {
	size := s.changeBytes(after, asOf)
	tooLarge := size > maxPush
	if tooLarge {
		size = callBytes
	}
	from.sentBytes += size
	s.send(from, to, size, func() {
		switch {
		case asOf <= to.asOf:
		case tooLarge || after > to.asOf:
			s.handle(to, follow.UpdateMissed{From: from.id, AsOf: asOf})
		default:
			s.advance(to, asOf)
		}
	})
}

// propagationDelay is the time from the write until the last VM has the revision.
func (s *sim) propagationDelay(rev shed.Revision, written time.Time) time.Duration {
	last := time.Duration(0)
	for _, vm := range s.vms {
		at, ok := vm.knownAt[rev]
		if !ok {
			return time.Hour
		}
		last = max(last, at.Sub(written))
	}
	return last
}

// routes returns the text of n routes with random names.
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

// sizeCase is one row of TestChangesAtSize: the fleet size, the number of routes added to its
// configuration, and the fraction of messages lost.
type sizeCase struct {
	vms, added int
	lossRate   float64
}

// Routes are added to a configuration of 2,800 while servers are replaced, with four entry
// updates a second. Most VMs have links of 10 Mbit/s. Every VM must have the change within three
// seconds, also if one message in twenty is lost; the bytes to send grow with the change.
func TestChangesAtSize(t *testing.T) {
	for _, c := range []sizeCase{
		{20, 100, 0}, {20, 1500, 0}, {20, 3000, 0},
		{78, 100, 0}, {78, 1500, 0}, {78, 3000, 0}, {78, 1500, 0.05}, {78, 3000, 0.05},
		{195, 100, 0}, {195, 1500, 0}, {195, 3000, 0}, {195, 1500, 0.05},
	} {
		packed, err := delta.Pack(routes(2800+c.added), routes(2800))
		require.NoError(t, err)
		s := newSim(c.vms, c.lossRate)
		s.Run(time.Second)
		for range 4 {
			s.write(entryBytes)
			s.Run(250 * time.Millisecond)
		}
		for _, vm := range s.vms {
			vm.sentBytes = 0
		}
		written := s.Now
		rev := s.write(len(packed))
		for range 10 {
			s.Run(250 * time.Millisecond)
			s.write(entryBytes)
		}
		s.Run(500 * time.Millisecond)
		took := s.propagationDelay(rev, written)
		require.Less(t, took, 3*time.Second, "%+v", c)
		mean, most := s.sentPerVM()
		t.Logf("%+v: %d bytes (%d whole); last VM after %v; sent in 3 s: mean %d bytes, most %d",
			c, len(packed), len(routes(2800+c.added)), took.Round(time.Millisecond), mean, most)
	}
}

// sentPerVM returns the mean and the peak of the bytes of changes that a VM sent.
func (s *sim) sentPerVM() (mean, peak int) {
	total := 0
	for _, vm := range s.vms {
		peak, total = max(peak, vm.sentBytes), total+vm.sentBytes
	}
	return total / len(s.vms), peak
}

// The store comes back from a copy, and all VMs read everything once: the watchers from the store,
// the others from peers with large links. Every VM must live in the new era within three seconds, so
// that what is written then is in force in time.
func TestRestoreAtSize(t *testing.T) {
	for _, c := range []struct{ vms, servers int }{{20, 80}, {78, 300}, {195, 730}, {670, 2500}} {
		s := newSim(c.vms, 0)
		// What has not changed is sent as a hash, the configuration as its difference, a few KB.
		s.wholeBytes = c.servers*hashedBytes + 4<<10
		// A pull has an idle timeout only.
		s.pullTimeout = 5 * time.Second
		s.Run(500 * time.Millisecond)
		before := s.write(entryBytes)
		s.Run(300 * time.Millisecond)
		for _, vm := range s.vms {
			vm.sentBytes = 0
		}
		restored, at := rev(2, 1), s.Now
		s.tell(before, restored)
		took := time.Hour
		for s.Now.Sub(at) < 3*time.Second && took == time.Hour {
			s.Run(100 * time.Millisecond)
			took = s.propagationDelay(restored, at)
		}
		mean, most := s.sentPerVM()
		t.Logf("%+v: %d bytes each; last VM after %v; sent: mean %d bytes, most %d", c, s.wholeBytes, took.Round(time.Millisecond), mean, most)
		require.Less(t, took, 3*time.Second, "%+v", c)
	}
}

func rev(era shed.Era, number uint64) shed.Revision {
	r, err := shed.NewRevision(era, number)
	if err != nil {
		panic(err) // The test's own numbers are in range.
	}
	return r
}
