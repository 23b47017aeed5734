package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

// strategy is one way to divide the capacity of a cold server; docs/design/cold.md compares them by
// the results of BenchmarkRivals.
type strategy uint8

const (
	staticSplit strategy = iota // each listed VM has a fixed share, dead or alive
	naiveLeader                 // the VM ranked first by view admits all calls, without a wait
	safeLeader                  // the same, but the leader is the VM that may use one slot
	slotTable
)

// simulation is a zone that calls a cold server with a capacity of four, with a fault after 1 s.
type simulation struct {
	strategy  strategy
	now       time.Time
	vms       []shed.VM
	tables    []*Table
	partition []int
	awakeAt   []time.Time // when each VM runs again after a freeze
	calls     []activeCall
	completed int
	peak      int
	sent      int
}

type activeCall struct {
	sender int
	call   shed.Call
	endsAt time.Time
}

var simulationStart = time.Unix(1000, 0)

const (
	coldCapacity = 4
	callTime     = time.Second
	warmAfter    = 40 // completions
	maxRunTime   = 10 * time.Minute
)

func newSimulation(r strategy, n int) *simulation {
	c := &simulation{strategy: r, now: simulationStart, partition: make([]int, n), awakeAt: make([]time.Time, n)}
	capacity := coldCapacity
	if r == safeLeader {
		capacity = 1
	}
	for i := range n {
		c.vms = append(c.vms, shed.VM(fmt.Sprintf("10.0.0.%d:1", i)))
		t := New(Config{Self: c.vms[i], MaxCallDuration: 2 * callTime, MaxReleaseZone: -1})
		t.SetServers(c.now, []*shed.Server{{ID: "s1", ColdCapacity: capacity, Capacity: 9}})
		c.tables = append(c.tables, t)
	}
	// All VMs have been up for a minute when the server turns cold.
	for range 600 {
		c.updateViews()
		c.now = c.now.Add(step)
	}
	return c
}

// hasInView reports whether VM i sees VM j as alive; faults are detected after six seconds.
func (c *simulation) hasInView(i, j int, age time.Duration) bool {
	return i == j || age < 6*time.Second || c.partition[i] == c.partition[j] && !c.now.Before(c.awakeAt[j])
}

func (c *simulation) view(i int) []shed.VM {
	var out []shed.VM
	for j := range c.vms {
		if c.hasInView(i, j, c.now.Sub(simulationStart)-61*time.Second) {
			out = append(out, c.vms[j])
		}
	}
	return out
}

func (c *simulation) updateViews() {
	for i, t := range c.tables {
		if !c.now.Before(c.awakeAt[i]) {
			v := c.view(i)
			t.SetKnown(c.now, c.vms)
			t.SetView(c.now, v, uint64(len(v)), false)
		}
	}
}

// selectSender returns the VM that sends a call received by VM i, or -1.
func (c *simulation) selectSender(i int) int {
	switch c.strategy {
	case staticSplit:
		for s := range coldCapacity {
			owner, _ := rank.Owner(slotKey("s1", s), c.vms)
			if j := c.indexOf(owner); c.canReach(i, j) && c.activeCalls(j) < c.ownedSlots(j) {
				return j
			}
		}
	case naiveLeader:
		owner, _ := rank.Owner(slotKey("s1", 0), c.view(i))
		if j := c.indexOf(owner); c.canReach(i, j) && c.activeCalls(j) < coldCapacity {
			return j
		}
	case safeLeader:
		for j, t := range c.tables {
			if c.canReach(i, j) && t.MayUseSlot(c.now, "s1", 0) && c.activeCalls(j) < coldCapacity {
				return j
			}
		}
	case slotTable:
		for j, t := range c.tables {
			if c.canReach(i, j) && t.Take(c.now, "s1", shed.Call{Request: shed.RequestID(fmt.Sprint(c.sent))}).OK() {
				return j
			}
		}
	}
	return -1
}

func (c *simulation) indexOf(vm shed.VM) int {
	for i := range c.vms {
		if c.vms[i] == vm {
			return i
		}
	}
	return -1
}

func (c *simulation) canReach(i, j int) bool {
	return c.partition[i] == c.partition[j] && !c.now.Before(c.awakeAt[i]) && !c.now.Before(c.awakeAt[j])
}

func (c *simulation) activeCalls(j int) (n int) {
	for _, f := range c.calls {
		if f.sender == j {
			n++
		}
	}
	return n
}

func (c *simulation) ownedSlots(j int) (n int) {
	for s := range coldCapacity {
		if owner, _ := rank.Owner(slotKey("s1", s), c.vms); owner == c.vms[j] {
			n++
		}
	}
	return n
}

// run returns the time until the server has completed warmAfter calls.
func (c *simulation) run(fault func(c *simulation)) time.Duration {
	rng := rand.New(rand.NewPCG(1, 1))
	from := c.now
	for c.completed < warmAfter && c.now.Sub(from) < maxRunTime {
		c.now = c.now.Add(step)
		if c.now.Sub(from) == time.Second {
			fault(c)
		}
		c.updateViews()
		c.finishCalls()
		for range 2 * coldCapacity {
			c.sent++
			if j := c.selectSender(rng.IntN(len(c.vms))); j >= 0 {
				c.calls = append(c.calls, activeCall{j, shed.Call{Request: shed.RequestID(fmt.Sprint(c.sent))}, c.now.Add(callTime)})
			}
		}
		c.peak = max(c.peak, len(c.calls))
	}
	return c.now.Sub(from)
}

func (c *simulation) finishCalls() {
	var live []activeCall
	for _, f := range c.calls {
		if c.now.Before(f.endsAt) {
			live = append(live, f)
			continue
		}
		c.completed++
		if !c.now.Before(c.awakeAt[f.sender]) {
			c.tables[f.sender].Release(c.now, f.call, shed.EndComplete)
		}
	}
	c.calls = live
}

// BenchmarkRivals reports the highest number of concurrent calls, of which the server can handle
// four, and the time until it has completed forty.
func BenchmarkRivals(b *testing.B) {
	leader, _ := rank.Owner(slotKey("s1", 0), newSimulation(naiveLeader, 7).vms)
	for _, fault := range []struct {
		name string
		do   func(c *simulation, k int)
	}{
		{"none", func(_ *simulation, _ int) {}},
		{"leader_dies", func(c *simulation, k int) { c.awakeAt[k] = c.now.Add(time.Hour) }},
		{"leader_freezes_20s", func(c *simulation, k int) { c.awakeAt[k] = c.now.Add(20 * time.Second) }},
		{"leader_partitioned", func(c *simulation, k int) { c.partition[k] = 1 }},
	} {
		for r, name := range []string{"static_split", "naive_leader", "safe_leader", "slots"} {
			b.Run(fault.name+"/"+name, func(b *testing.B) {
				for b.Loop() {
					c := newSimulation(strategy(r), 7)
					elapsed := c.run(func(c *simulation) { fault.do(c, c.indexOf(leader)) })
					b.ReportMetric(float64(c.peak), "peak")
					b.ReportMetric(elapsed.Seconds(), "s_to_warm")
				}
			})
		}
	}
}
