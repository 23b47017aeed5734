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
	// timeout is when an owner that gives no answer is passed over, for shunFor; noticed is
	// when all know that a VM is there no more, settled when a new one lends turns.
	timeout, shunFor = 150 * time.Millisecond, 1500 * time.Millisecond
	noticed          = 2200 * time.Millisecond
	settled          = 700 * time.Millisecond
	playFor          = 20 * time.Second
)

// sim is a fleet of VMs before servers that take so many, in virtual time.
type sim struct {
	vclock.Clock
	rnd   *rand.Rand
	vms   []*vm
	rate  shed.Rate
	burst float64
	// sent are the times at which the one server got requests; asked counts the requests.
	sent  []time.Time
	asked int
}

type vm struct {
	id    shed.VM
	book  *turns.Ledger
	waits *turns.Backoff
	// away: it answers nobody, since gone; here is since when it lends.
	away, cut bool
	gone      time.Time
	here      time.Time
	shunned   map[shed.VM]time.Time
}

func newSim(seed uint64, vms int, rate shed.Rate, burst float64) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, uint64(vms))), Clock: vclock.Clock{Now: start}, rate: rate, burst: burst}
	for i := range vms {
		v := &vm{id: shed.VM(fmt.Sprintf("vm-%03d", i)), here: start.Add(-time.Minute)}
		v.restart()
		s.vms = append(s.vms, v)
	}
	return s
}

func (v *vm) restart() {
	v.book, v.waits, v.shunned = turns.NewLedger(), turns.NewBackoff(), map[shed.VM]time.Time{}
}

// load sends requests at random VMs, so many a second in all.
func (s *sim) load(perSecond float64) {
	var again func()
	again = func() {
		s.asked++
		s.ask(s.vms[s.rnd.IntN(len(s.vms))])
		s.After(time.Duration(s.rnd.ExpFloat64()/perSecond*float64(time.Second)), again)
	}
	s.After(0, again)
}

var server = shed.ServerStart{Server: "s", StartedMs: 1}

// owner is whom a VM takes for the server's owner.
func (s *sim) owner(v *vm) *vm {
	var ids []shed.VM
	for _, other := range s.vms {
		seen := !other.away && other.cut == v.cut || s.Now.Sub(other.gone) < noticed
		lends := s.Now.Sub(other.here) >= settled && !s.Now.Before(v.shunned[other.id])
		if (other == v || seen) && lends {
			ids = append(ids, other.id)
		}
	}
	id, ok := rank.Owner("turns s", ids)
	if !ok {
		return nil
	}
	return s.vms[slices.IndexFunc(s.vms, func(x *vm) bool { return x.id == id })]
}

// ask is a request at a VM for which no server is free: it waits for a turn, up to the
// time that a caller has.
func (s *sim) ask(v *vm) {
	const patience = 400 * time.Millisecond
	if v.away {
		return
	}
	owner := s.owner(v)
	if owner == nil {
		return
	}
	if owner != v && (owner.away || owner.cut != v.cut) {
		s.After(timeout, func() { v.shunned[owner.id] = s.Now.Add(shunFor) })
		return
	}
	way := latency
	if owner == v {
		way = 0
	}
	s.After(way, func() {
		got := owner.book.Take(s.Now, turns.Request{Start: server, Rate: s.rate, Burst: s.burst, Patience: patience})
		if !got.Granted {
			return
		}
		s.After(way+got.Wait, func() {
			if !v.away {
				s.sent = append(s.sent, s.Now)
			}
		})
	})
}

// most is the most that the server got in any span.
func (s *sim) most(span time.Duration) int {
	most := 0
	for i, from := range s.sent {
		end, _ := slices.BinarySearchFunc(s.sent[i:], from.Add(span), time.Time.Compare)
		most = max(most, end)
	}
	return most
}

// troubles strike the owner of the server, 5 s after the start.
var troubles = []struct {
	name   string
	strike func(s *sim, owner *vm)
}{
	{"none", func(*sim, *vm) {}},
	{"restart", func(s *sim, v *vm) {
		v.away, v.gone = true, s.Now
		s.After(time.Second, func() {
			v.restart()
			v.away, v.here = false, s.Now
		})
	}},
	{"freeze", func(s *sim, v *vm) {
		v.away, v.gone = true, s.Now
		s.After(3*time.Second, func() { v.away = false })
	}},
	{"join", func(s *sim, _ *vm) {
		for i := range 3 {
			v := &vm{id: shed.VM(fmt.Sprint("vm-new-", i)), here: s.Now}
			v.restart()
			s.vms = append(s.vms, v)
		}
	}},
	{"cut", func(s *sim, owner *vm) {
		for i, v := range s.vms {
			v.cut = v == owner || i%3 == 0
			v.gone = s.Now
		}
	}},
}

// One server takes so many from all VMs. What it gets in the worst 4 s, and the share of
// what it takes that is used, by the size of the fleet and the trouble of its owner.
func TestSumAndUse(t *testing.T) {
	var out bytes.Buffer
	fmt.Fprintln(&out, "rate vms trouble most_in_4s allowed used")
	for _, rate := range []shed.Rate{0.2, 1, 5} {
		for _, n := range []int{7, 24, 78, 195, 670} {
			for _, tr := range troubles {
				s := newSim(1, n, rate, 1+float64(rate))
				s.load(4 * float64(rate))
				s.After(5*time.Second, func() { tr.strike(s, s.owner(s.vms[0])) })
				s.Run(playFor)
				most, allowed := s.most(4*time.Second), 6*float64(rate)+5
				used := float64(len(s.sent)) / (float64(rate) * playFor.Seconds())
				fmt.Fprintf(&out, "%3.1f %3d %-7s %2d %4.1f %.2f\n", rate, n, tr.name, most, allowed, used)
				// In a cut each side has an owner, and the VMs that are cut off don't count.
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

// All VMs send to one cold server as fast as its owner lets them. In any second it gets no
// more than it bears.
func TestColdServerGetsItsRate(t *testing.T) {
	const rate, most = 8.8, 8.8*1.5 + 5
	for _, n := range []int{1, 5, 9, 78, 195} {
		for _, tr := range troubles {
			if tr.name == "cut" {
				continue
			}
			s := newSim(1, n, 0.9*rate, 1)
			s.load(100)
			s.After(5*time.Second, func() { tr.strike(s, s.owner(s.vms[0])) })
			s.Run(playFor)
			require.LessOrEqual(t, float64(s.most(time.Second)), most, "%d VMs, %s", n, tr.name)
			if tr.name == "none" {
				require.Greater(t, len(s.sent), 30*4, "and it is used")
			}
		}
	}
}

// A server turned cold unseen, or named its limit just now: what it got in the second
// before counts, so nothing is saved up for it.
func TestTurnedColdUnseen(t *testing.T) {
	b := turns.NewLedger()
	ask := turns.Request{Start: server, Rate: 2, Burst: 3}
	require.Equal(t, turns.Decision{Wait: 500 * time.Millisecond}, b.Take(start, ask))
	require.True(t, b.Take(start.Add(500*time.Millisecond), ask).Granted)
	require.False(t, b.Take(start.Add(501*time.Millisecond), ask).Granted)
}

func TestTurnsAreLentInOrder(t *testing.T) {
	b := turns.NewLedger()
	ask := turns.Request{Start: server, Rate: 1, Burst: 2, Patience: 1500 * time.Millisecond}
	require.Equal(t, turns.Decision{Granted: true, Wait: time.Second}, b.Take(start, ask))
	require.Equal(t, turns.Decision{Wait: 2 * time.Second}, b.Take(start, ask), "two would wait longer than they may")
	later := start.Add(time.Minute)
	require.Equal(t, turns.Decision{Granted: true}, b.Take(later, ask))
	require.Equal(t, turns.Decision{Granted: true}, b.Take(later, ask), "one was saved up")
	require.Equal(t, turns.Decision{Granted: true, Wait: time.Second}, b.Take(later, ask))
}

func TestDeniedServersAreLeftAlone(t *testing.T) {
	w := turns.NewBackoff()
	require.False(t, w.Active(start, server))
	w.Denied(start, server, time.Hour)
	require.True(t, w.Active(start.Add(900*time.Millisecond), server))
	require.False(t, w.Active(start.Add(time.Second), server), "a limit may have ended")
	w.Denied(start, server, 0)
	require.True(t, w.Active(start.Add(time.Millisecond), server))
}
