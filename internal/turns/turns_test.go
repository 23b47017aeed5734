package turns_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
	"jasmineshed/internal/turns"
	"jasmineshed/internal/vclock"
)

var start = time.Unix(1_700_000_000, 0)

const (
	latency = 2 * time.Millisecond
	// An owner that doesn't answer within timeout is avoided for avoidFor. detectionDelay is
	// when all VMs know that a VM is gone, settleTime is when a new one starts to grant turns.
	timeout, avoidFor = 150 * time.Millisecond, 1500 * time.Millisecond
	detectionDelay    = 2200 * time.Millisecond
	settleTime        = 700 * time.Millisecond
	simTime           = 20 * time.Second
)

// sim simulates VMs that send requests to a rate-limited server, in virtual time.
type sim struct {
	vclock.Clock
	rnd   *rand.Rand
	vms   []*vm
	rate  shed.Rate
	burst float64
	// sentAt are the times at which the server received requests; requests counts the
	// requests of callers.
	sentAt   []time.Time
	requests int
}

type vm struct {
	id   shed.VM
	book *turns.Ledger
	// unreachable: it doesn't answer, since unreachableSince; joinedAt is when it started.
	unreachable, partitioned bool
	unreachableSince         time.Time
	joinedAt                 time.Time
	avoidUntil               map[shed.VM]time.Time
}

func newSim(seed uint64, vms int, rate shed.Rate, burst float64) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, uint64(vms))), Clock: vclock.Clock{Now: start}, rate: rate, burst: burst}
	for i := range vms {
		v := &vm{id: shed.VM(fmt.Sprintf("vm-%03d", i)), joinedAt: start.Add(-time.Minute)}
		v.restart()
		s.vms = append(s.vms, v)
	}
	return s
}

func (v *vm) restart() {
	v.book, v.avoidUntil = turns.NewLedger(), map[shed.VM]time.Time{}
}

// startLoad sends requests at random VMs, perSecond in total.
func (s *sim) startLoad(perSecond float64) {
	var again func()
	again = func() {
		s.requests++
		s.request(s.vms[s.rnd.IntN(len(s.vms))])
		s.After(time.Duration(s.rnd.ExpFloat64()/perSecond*float64(time.Second)), again)
	}
	s.After(0, again)
}

var server = shed.ServerStart{Server: "s", StartedMs: 1}

// owner returns the VM that v takes for the server's owner.
func (s *sim) owner(v *vm) *vm {
	var ids []shed.VM
	for _, other := range s.vms {
		seen := !other.unreachable && other.partitioned == v.partitioned || s.Now.Sub(other.unreachableSince) < detectionDelay
		grants := s.Now.Sub(other.joinedAt) >= settleTime && !s.Now.Before(v.avoidUntil[other.id])
		if (other == v || seen) && grants {
			ids = append(ids, other.id)
		}
	}
	id, ok := rank.Owner("turns s", ids)
	if !ok {
		return nil
	}
	return s.vms[slices.IndexFunc(s.vms, func(x *vm) bool { return x.id == id })]
}

// request is a request at a VM for which no other server is free: it waits for a turn until its
// caller's deadline.
func (s *sim) request(v *vm) {
	const patience = 400 * time.Millisecond
	if v.unreachable {
		return
	}
	owner := s.owner(v)
	if owner == nil {
		return
	}
	if owner != v && (owner.unreachable || owner.partitioned != v.partitioned) {
		s.After(timeout, func() { v.avoidUntil[owner.id] = s.Now.Add(avoidFor) })
		return
	}
	delay := latency
	if owner == v {
		delay = 0
	}
	s.After(delay, func() {
		turn := owner.book.Take(s.Now, turns.Request{Start: server, Rate: s.rate, Burst: s.burst, Patience: patience})
		if !turn.Granted {
			return
		}
		s.After(delay+turn.Wait, func() {
			if !v.unreachable {
				s.sentAt = append(s.sentAt, s.Now)
			}
		})
	})
}

// maxInSpan is the largest number of requests that the server received in any span.
func (s *sim) maxInSpan(span time.Duration) int {
	most := 0
	for i, from := range s.sentAt {
		end, _ := slices.BinarySearchFunc(s.sentAt[i:], from.Add(span), time.Time.Compare)
		most = max(most, end)
	}
	return most
}

// faults are injected at the owner of the server, 5 s after the start.
var faults = []struct {
	name   string
	inject func(s *sim, owner *vm)
}{
	{"none", func(*sim, *vm) {}},
	{"restart", func(s *sim, v *vm) {
		v.unreachable, v.unreachableSince = true, s.Now
		s.After(time.Second, func() {
			v.restart()
			v.unreachable, v.joinedAt = false, s.Now
		})
	}},
	{"freeze", func(s *sim, v *vm) {
		v.unreachable, v.unreachableSince = true, s.Now
		s.After(3*time.Second, func() { v.unreachable = false })
	}},
	{"join", func(s *sim, _ *vm) {
		for i := range 3 {
			v := &vm{id: shed.VM(fmt.Sprint("vm-new-", i)), joinedAt: s.Now}
			v.restart()
			s.vms = append(s.vms, v)
		}
	}},
	{"cut", func(s *sim, owner *vm) {
		for i, v := range s.vms {
			v.partitioned = v == owner || i%3 == 0
			v.unreachableSince = s.Now
		}
	}},
}

// Guards against sending more than a rate-limited server allows in any 4 s, or using too
// little of its rate, by fleet size and fault of the owner.
func TestSumAndUse(t *testing.T) {
	var out bytes.Buffer
	fmt.Fprintln(&out, "rate vms trouble most_in_4s allowed used")
	for _, rate := range []shed.Rate{0.2, 1, 5} {
		for _, n := range []int{7, 24, 78, 195, 670} {
			for _, tr := range faults {
				s := newSim(1, n, rate, 1+float64(rate))
				s.startLoad(4 * float64(rate))
				s.After(5*time.Second, func() { tr.inject(s, s.owner(s.vms[0])) })
				s.Run(simTime)
				most, allowed := s.maxInSpan(4*time.Second), 6*float64(rate)+5
				used := float64(len(s.sentAt)) / (float64(rate) * simTime.Seconds())
				fmt.Fprintf(&out, "%3.1f %3d %-7s %2d %4.1f %.2f\n", rate, n, tr.name, most, allowed, used)
				// In a partition each side has its own owner, and the side cut off isn't bound by the limit.
				if tr.name == "cut" {
					allowed *= 2
				}
				require.LessOrEqual(t, float64(most), allowed, "rate %v, %d VMs, %s", rate, n, tr.name)
				if tr.name == "none" && rate >= 1 {
					require.Greater(t, used, 0.8, "rate %v, %d VMs", rate, n)
				}
			}
		}
	}
	goldie.New(t).Assert(t, "sum_and_use", out.Bytes())
}

// All VMs send to one cold server as fast as its owner allows. Guards against more requests in
// any second than it can handle.
func TestColdServerGetsItsRate(t *testing.T) {
	const rate, most = 8.8, 8.8*1.5 + 5
	for _, n := range []int{1, 5, 9, 78, 195} {
		for _, tr := range faults {
			if tr.name == "cut" {
				continue
			}
			s := newSim(1, n, 0.9*rate, 1)
			s.startLoad(100)
			s.After(5*time.Second, func() { tr.inject(s, s.owner(s.vms[0])) })
			s.Run(simTime)
			require.LessOrEqual(t, float64(s.maxInSpan(time.Second)), most, "%d VMs, %s", n, tr.name)
			if tr.name == "none" {
				require.Greater(t, len(s.sentAt), 30*4, "the rate is used")
			}
		}
	}
}

// A server turned cold unnoticed, or has just named its limit. The requests of the second before
// count, so no turn is saved up for it.
func TestTurnedColdUnseen(t *testing.T) {
	b := turns.NewLedger()
	request := turns.Request{Start: server, Rate: 2, Burst: 3}
	require.Equal(t, turns.Decision{Wait: 500 * time.Millisecond}, b.Take(start, request))
	require.True(t, b.Take(start.Add(500*time.Millisecond), request).Granted)
	require.False(t, b.Take(start.Add(501*time.Millisecond), request).Granted)
}

func TestTurnsAreLentInOrder(t *testing.T) {
	b := turns.NewLedger()
	request := turns.Request{Start: server, Rate: 1, Burst: 2, Patience: 1500 * time.Millisecond}
	require.Equal(t, turns.Decision{Granted: true, Wait: time.Second}, b.Take(start, request))
	require.Equal(t, turns.Decision{Wait: 2 * time.Second}, b.Take(start, request), "the second would wait longer than its patience")
	later := start.Add(time.Minute)
	require.Equal(t, turns.Decision{Granted: true}, b.Take(later, request))
	require.Equal(t, turns.Decision{Granted: true}, b.Take(later, request), "one turn was saved up")
	require.Equal(t, turns.Decision{Granted: true, Wait: time.Second}, b.Take(later, request))
}
