package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	shed "jasmineshed"
)

// The trial's sizes: one zone at the design size, its calls of one second, and
// caches that hold a few of the prefixes.
const (
	trialDaemons  = 52
	trialServers  = 192
	trialCapacity = 8
	trialStep     = 10 * time.Millisecond
	trialSteps    = 2000
	trialCall     = 100 // steps
	trialPrefixes = 4000
	trialCache    = 40
)

// trial runs daemons, each with its own policy and its own lagging view, before
// the same servers.
type trial struct {
	rng     *rand.Rand
	actual  []int
	seen    [][]shed.Candidate
	ends    [][]int // per step: daemon*trialServers+server
	cache   [][]uint64
	starts  int
	hits    int
	overran int
	turned  int
}

func newTrial(b *testing.B, name string) (*trial, []shed.Policy) {
	t := &trial{
		rng:    rand.New(rand.NewPCG(1, 2)),
		actual: make([]int, trialServers),
		ends:   make([][]int, trialSteps+trialCall*2),
		cache:  make([][]uint64, trialServers),
	}
	policies := make([]shed.Policy, trialDaemons)
	servers := candidates(trialServers, trialCapacity)
	for d := range policies {
		p, err := NewPolicy(name, uint64(d))
		if err != nil {
			b.Fatal(err)
		}
		policies[d] = p
		t.seen = append(t.seen, append([]shed.Candidate(nil), servers...))
	}
	return t, policies
}

// lookup tells whether the server's cache holds the prefix, and renews it.
func (t *trial) lookup(server int, prefix uint64) bool {
	c := t.cache[server]
	for i, p := range c {
		if p == prefix {
			copy(c[i:], c[i+1:])
			c[len(c)-1] = prefix
			return true
		}
	}
	if len(c) >= trialCache {
		c = c[1:]
	}
	t.cache[server] = append(c, prefix)
	return false
}

// call places one call as core does: only servers that seem to have room.
func (t *trial) call(step, daemon int, p shed.Policy, prefix uint64, room []shed.Candidate, at []int) {
	room, at = room[:0], at[:0]
	for i := range t.seen[daemon] {
		if t.seen[daemon][i].Running < trialCapacity {
			room = append(room, t.seen[daemon][i])
			at = append(at, i)
		}
	}
	if len(room) == 0 {
		t.turned++
		return
	}
	s := at[p.Pick(zero, prefix, room)]
	t.starts++
	if t.lookup(s, prefix) {
		t.hits++
	}
	if t.actual[s] >= trialCapacity {
		t.overran++
	}
	t.actual[s]++
	t.seen[daemon][s].Running++
	t.seen[daemon][s].OwnCalls++
	end := step + trialCall/2 + t.rng.IntN(trialCall)
	t.ends[end] = append(t.ends[end], daemon*trialServers+s)
}

func (t *trial) settle(step, lag int) {
	for _, e := range t.ends[step] {
		daemon, s := e/trialServers, e%trialServers
		t.actual[s]--
		t.seen[daemon][s].OwnCalls--
		t.seen[daemon][s].Running = max(t.seen[daemon][s].Running-1, 0)
	}
	for s := range t.actual {
		report := (step+s)%lag == 0
		for d := range t.seen {
			if report {
				t.seen[d][s].Running = t.actual[s]
				t.seen[d][s].Age = 0
			}
			t.seen[d][s].Age += trialStep
		}
	}
}

// BenchmarkTrial compares the policies by the share of cache hits, of calls
// that came to a server which was full already, and of calls for which no
// server seemed to have room. Run it with -benchtime 1x: it is a trial in
// virtual time, and its nanoseconds mean nothing.
func BenchmarkTrial(b *testing.B) {
	for _, lag := range []int{10, 50, 100} {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			for _, name := range []string{NameAffinity, NameRoundRobin, NameLeastOutstanding, NameTwoChoices} {
				title := fmt.Sprintf("lag=%v/load=%v/%s", time.Duration(lag)*trialStep, load, name)
				b.Run(title, func(b *testing.B) { runTrial(b, name, lag, load) })
			}
		}
	}
}

func runTrial(b *testing.B, name string, lag int, load float64) {
	t, policies := newTrial(b, name)
	zipf := rand.NewZipf(t.rng, 1.1, 8, trialPrefixes-1)
	perStep := load * trialServers * trialCapacity / trialCall
	room := make([]shed.Candidate, 0, trialServers)
	at := make([]int, 0, trialServers)
	due := 0.0
	for step := range trialSteps {
		t.settle(step, lag)
		for due += t.rng.ExpFloat64() * perStep; due >= 1; due-- {
			d := t.rng.IntN(trialDaemons)
			t.call(step, d, policies[d], zipf.Uint64()+1, room, at)
		}
	}
	all := float64(t.starts + t.turned)
	b.ReportMetric(100*float64(t.hits)/all, "hit%")
	b.ReportMetric(100*float64(t.overran)/all, "overran%")
	b.ReportMetric(100*float64(t.turned)/all, "turned%")
}
