package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	shed "jasmineshed"
)

// The simulation has one zone of the size that the system is designed for, calls that take one
// second on average, and caches that hold a few of the prefixes.
const (
	simDaemons   = 52
	simServers   = 192
	simCapacity  = 8
	simStep      = 10 * time.Millisecond
	simSteps     = 2000
	simCallSteps = 100 // steps
	simPrefixes  = 4000
	simCacheSize = 40
)

// simulation runs daemons, each with its own policy and its own delayed view of the servers, that
// share all servers.
type simulation struct {
	rng        *rand.Rand
	running    []int
	views      [][]shed.Candidate
	ends       [][]int // per step: daemon*simServers+server
	cache      [][]uint64
	started    int
	hits       int
	overloaded int
	refused    int
}

func newSimulation(b *testing.B, name string) (*simulation, []shed.Policy) {
	t := &simulation{
		rng:     rand.New(rand.NewPCG(1, 2)),
		running: make([]int, simServers),
		ends:    make([][]int, simSteps+simCallSteps*2),
		cache:   make([][]uint64, simServers),
	}
	policies := make([]shed.Policy, simDaemons)
	servers := candidates(simServers, simCapacity)
	for d := range policies {
		p, err := NewPolicy(name, uint64(d))
		if err != nil {
			b.Fatal(err)
		}
		policies[d] = p
		t.views = append(t.views, append([]shed.Candidate(nil), servers...))
	}
	return t, policies
}

// lookup reports whether the server's cache holds the prefix, and makes it the most recently used.
func (t *simulation) lookup(server int, prefix uint64) bool {
	c := t.cache[server]
	for i, p := range c {
		if p == prefix {
			copy(c[i:], c[i+1:])
			c[len(c)-1] = prefix
			return true
		}
	}
	if len(c) >= simCacheSize {
		c = c[1:]
	}
	t.cache[server] = append(c, prefix)
	return false
}

// call places one call as core does: only on servers that appear to have free capacity.
func (t *simulation) call(step, daemon int, p shed.Policy, prefix uint64, eligible []shed.Candidate, indexes []int) {
	eligible, indexes = eligible[:0], indexes[:0]
	for i := range t.views[daemon] {
		if t.views[daemon][i].Running < simCapacity {
			eligible = append(eligible, t.views[daemon][i])
			indexes = append(indexes, i)
		}
	}
	if len(eligible) == 0 {
		t.refused++
		return
	}
	s := indexes[p.Pick(zero, prefix, eligible)]
	t.started++
	if t.lookup(s, prefix) {
		t.hits++
	}
	if t.running[s] >= simCapacity {
		t.overloaded++
	}
	t.running[s]++
	t.views[daemon][s].Running++
	t.views[daemon][s].OwnCalls++
	end := step + simCallSteps/2 + t.rng.IntN(simCallSteps)
	t.ends[end] = append(t.ends[end], daemon*simServers+s)
}

func (t *simulation) advance(step, lag int) {
	for _, e := range t.ends[step] {
		daemon, s := e/simServers, e%simServers
		t.running[s]--
		t.views[daemon][s].OwnCalls--
		t.views[daemon][s].Running = max(t.views[daemon][s].Running-1, 0)
	}
	for s := range t.running {
		report := (step+s)%lag == 0
		for d := range t.views {
			if report {
				t.views[d][s].Running = t.running[s]
				t.views[d][s].Age = 0
			}
			t.views[d][s].Age += simStep
		}
	}
}

// BenchmarkTrial compares the policies by the shares of cache hits, of calls placed on a server
// that was already full, and of calls for which no server appeared to have free capacity. Run it
// with -benchtime 1x: it simulates virtual time, so its nanoseconds are meaningless.
func BenchmarkTrial(b *testing.B) {
	for _, lag := range []int{10, 50, 100} {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			for _, name := range []string{NameAffinity, NameRoundRobin, NameLeastOutstanding, NameTwoChoices} {
				title := fmt.Sprintf("lag=%v/load=%v/%s", time.Duration(lag)*simStep, load, name)
				b.Run(title, func(b *testing.B) { runSimulation(b, name, lag, load) })
			}
		}
	}
}

func runSimulation(b *testing.B, name string, lag int, load float64) {
	t, policies := newSimulation(b, name)
	zipf := rand.NewZipf(t.rng, 1.1, 8, simPrefixes-1)
	perStep := load * simServers * simCapacity / simCallSteps
	eligible := make([]shed.Candidate, 0, simServers)
	indexes := make([]int, 0, simServers)
	dueCalls := 0.0
	for step := range simSteps {
		t.advance(step, lag)
		for dueCalls += t.rng.ExpFloat64() * perStep; dueCalls >= 1; dueCalls-- {
			d := t.rng.IntN(simDaemons)
			t.call(step, d, policies[d], zipf.Uint64()+1, eligible, indexes)
		}
	}
	calls := float64(t.started + t.refused)
	b.ReportMetric(100*float64(t.hits)/calls, "hit%")
	b.ReportMetric(100*float64(t.overloaded)/calls, "overran%")
	b.ReportMetric(100*float64(t.refused)/calls, "turned%")
}
