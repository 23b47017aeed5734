package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

// rival is one way to share what a cold server bears; docs/design/cold.md
// weighs them by the figures of BenchmarkRivals.
type rival uint8

const (
	staticSplit rival = iota // each VM of the list has its share, dead or alive
	naiveKeeper              // the first by view counts for all, at once
	safeKeeper               // the same, but the keeper is chosen as a slot
	slotTable
)

// contest is a cold server that bears four before a zone, under a fault at 1 s.
type contest struct {
	rival  rival
	now    time.Time
	vms    []shed.VM
	tables []*Table
	part   []int
	awake  []time.Time // when each is awake again
	calls  []flightOf
	done   int
	peak   int
	n      int
}

type flightOf struct {
	by  int
	id  shed.Call
	end time.Time
}

var contestStart = time.Unix(1000, 0)

const (
	contestBears = 4
	contestCall  = time.Second
	contestWarm  = 40 // completions
	never        = 10 * time.Minute
)

func newContest(r rival, n int) *contest {
	c := &contest{rival: r, now: contestStart, part: make([]int, n), awake: make([]time.Time, n)}
	bears := contestBears
	if r == safeKeeper {
		bears = 1
	}
	for i := range n {
		c.vms = append(c.vms, shed.VM(fmt.Sprintf("10.0.0.%d:1", i)))
		t := New(Config{Self: c.vms[i], MaxCallDuration: 2 * contestCall, MaxReleaseZone: -1})
		t.SetServers(c.now, []*shed.Server{{ID: "s1", ColdCapacity: bears, Capacity: 9}})
		c.tables = append(c.tables, t)
	}
	// All have long been up when the server turns cold.
	for range 600 {
		c.look()
		c.now = c.now.Add(step)
	}
	return c
}

// sees: with whom i reckons; it learns of the fault after six seconds.
func (c *contest) sees(i, j int, age time.Duration) bool {
	return i == j || age < 6*time.Second || c.part[i] == c.part[j] && !c.now.Before(c.awake[j])
}

func (c *contest) view(i int) []shed.VM {
	var out []shed.VM
	for j := range c.vms {
		if c.sees(i, j, c.now.Sub(contestStart)-61*time.Second) {
			out = append(out, c.vms[j])
		}
	}
	return out
}

func (c *contest) look() {
	for i, t := range c.tables {
		if !c.now.Before(c.awake[i]) {
			v := c.view(i)
			t.SetKnown(c.now, c.vms)
			t.SetView(c.now, v, uint64(len(v)), false)
		}
	}
}

// sender returns who sends a call that came to i, or -1.
func (c *contest) sender(i int) int {
	switch c.rival {
	case staticSplit:
		for s := range contestBears {
			owner, _ := rank.Owner(slotKey("s1", s), c.vms)
			if j := c.find(owner); c.reaches(i, j) && c.own(j) < c.share(j) {
				return j
			}
		}
	case naiveKeeper:
		owner, _ := rank.Owner(slotKey("s1", 0), c.view(i))
		if j := c.find(owner); c.reaches(i, j) && c.own(j) < contestBears {
			return j
		}
	case safeKeeper:
		for j, t := range c.tables {
			if c.reaches(i, j) && t.MayUseSlot(c.now, "s1", 0) && c.own(j) < contestBears {
				return j
			}
		}
	case slotTable:
		for j, t := range c.tables {
			if c.reaches(i, j) && t.Take(c.now, "s1", shed.Call{Request: shed.RequestID(fmt.Sprint(c.n))}).OK() {
				return j
			}
		}
	}
	return -1
}

func (c *contest) find(vm shed.VM) int {
	for i := range c.vms {
		if c.vms[i] == vm {
			return i
		}
	}
	return -1
}

func (c *contest) reaches(i, j int) bool {
	return c.part[i] == c.part[j] && !c.now.Before(c.awake[i]) && !c.now.Before(c.awake[j])
}

func (c *contest) own(j int) (n int) {
	for _, f := range c.calls {
		if f.by == j {
			n++
		}
	}
	return n
}

func (c *contest) share(j int) (n int) {
	for s := range contestBears {
		if owner, _ := rank.Owner(slotKey("s1", s), c.vms); owner == c.vms[j] {
			n++
		}
	}
	return n
}

// run gives the time until the server is warm.
func (c *contest) run(fault func(c *contest)) time.Duration {
	rng := rand.New(rand.NewPCG(1, 1))
	from := c.now
	for c.done < contestWarm && c.now.Sub(from) < never {
		c.now = c.now.Add(step)
		if c.now.Sub(from) == time.Second {
			fault(c)
		}
		c.look()
		c.finish()
		for range 2 * contestBears {
			c.n++
			if j := c.sender(rng.IntN(len(c.vms))); j >= 0 {
				c.calls = append(c.calls, flightOf{j, shed.Call{Request: shed.RequestID(fmt.Sprint(c.n))}, c.now.Add(contestCall)})
			}
		}
		c.peak = max(c.peak, len(c.calls))
	}
	return c.now.Sub(from)
}

func (c *contest) finish() {
	var live []flightOf
	for _, f := range c.calls {
		if c.now.Before(f.end) {
			live = append(live, f)
			continue
		}
		c.done++
		if !c.now.Before(c.awake[f.by]) {
			c.tables[f.by].Release(c.now, f.id, shed.EndComplete)
		}
	}
	c.calls = live
}

// BenchmarkRivals gives the highest number of calls at once, of which the
// server bears four, and the time until it has completed forty.
func BenchmarkRivals(b *testing.B) {
	keeper, _ := rank.Owner(slotKey("s1", 0), newContest(naiveKeeper, 7).vms)
	for _, fault := range []struct {
		name string
		do   func(c *contest, k int)
	}{
		{"none", func(_ *contest, _ int) {}},
		{"keeper_dies", func(c *contest, k int) { c.awake[k] = c.now.Add(time.Hour) }},
		{"keeper_freezes_20s", func(c *contest, k int) { c.awake[k] = c.now.Add(20 * time.Second) }},
		{"keeper_cut_off", func(c *contest, k int) { c.part[k] = 1 }},
	} {
		for r, name := range []string{"static_split", "naive_keeper", "safe_keeper", "slots"} {
			b.Run(fault.name+"/"+name, func(b *testing.B) {
				for b.Loop() {
					c := newContest(rival(r), 7)
					took := c.run(func(c *contest) { fault.do(c, c.find(keeper)) })
					b.ReportMetric(float64(c.peak), "peak")
					b.ReportMetric(took.Seconds(), "s_to_warm")
				}
			})
		}
	}
}
