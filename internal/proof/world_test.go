package proof

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/core"
)

// world is a simulated fleet of decision cores with fakes for their environment.
type world struct {
	clock
	journal
	rng     *rand.Rand
	nodes   []*node
	servers []*server
	plat    *platform
	// blocked holds the pairs of labels whose messages are dropped, in one direction.
	blocked map[[2]string]bool
	// noise delays and duplicates control messages at random.
	noise bool
	// steps counts the points at which faults can strike; onStep runs before each.
	steps       int
	onStep      func(step int, n *node)
	configure   func(*core.Config)
	configReads int
	trace       string
}

const (
	// latency is the least network delay of one message; up to as much is added at random.
	latency = time.Millisecond
	// dialTimeout, heartbeatTimeout and heartbeatInterval are those of the drivers.
	dialTimeout       = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	heartbeatInterval = 200 * time.Millisecond
)

func newWorld(seed uint64) *world {
	w := &world{trace: *traceFilter, rng: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]string]bool{}}
	w.now = epoch
	w.plat = &platform{world: w}
	return w
}

// block drops messages from a to b, which are zones, VMs, servers or "platform".
func (w *world) block(a, b string)   { w.blocked[[2]string{a, b}] = true }
func (w *world) unblock(a, b string) { delete(w.blocked, [2]string{a, b}) }

func (w *world) canReach(from, to []string) bool {
	for _, a := range from {
		for _, b := range to {
			if w.blocked[[2]string{a, b}] {
				return false
			}
		}
	}
	return true
}

// networkDelay draws the network delay of one message.
func (w *world) networkDelay() time.Duration {
	return latency + time.Duration(w.rng.Int64N(int64(latency)))
}

// noiseDelay draws the delay that noise adds to a control message.
func (w *world) noiseDelay() time.Duration {
	if !w.noise || w.rng.IntN(4) > 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(1500 * time.Millisecond)))
}

func (w *world) node(vm shed.VM) *node {
	for _, n := range w.nodes {
		if n.vm == vm {
			return n
		}
	}
	return nil
}

func (w *world) server(id shed.ServerID) *server {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// printTrace prints an event or action that contains the text of -about.
func (w *world) printTrace(n *node, label string, x any) {
	if w.trace == "" {
		return
	}
	if line := fmt.Sprintf("%T %+v", x, x); strings.Contains(line, w.trace) {
		fmt.Printf("%12s %s %s %s\n", w.now.Sub(epoch), n.vm, label, line)
	}
}

// step counts a point at which a fault can strike.
func (w *world) step(n *node) {
	w.steps++
	if w.onStep != nil {
		w.onStep(w.steps, n)
	}
}

// platform is a fake of the configuration service and the VM list.
type platform struct {
	world *world
	// values are in the order of their revisions; the last is the newest.
	values []value
	down   bool
	// visibleCount is how many values can be read while stale; 0 means all.
	visibleCount int
	// highestRead is the highest revision that any node has read.
	highestRead shed.Revision
	// hidden holds the changes that cannot be read yet.
	hidden  []change
	watches []watch
	lists   []vmList
}

type value struct {
	index shed.ConfigIndex
	parts map[shed.PartHash][]byte
}

type watch struct {
	after shed.Revision
	done  func()
}

type vmList struct {
	from time.Time
	vms  []shed.VMEntry
}

// vmListLag is the delay of the VM list.
const vmListLag = 2 * time.Second

// startStale makes the platform serve the value before its newest one for a time.
func (p *platform) startStale(d time.Duration) {
	p.visibleCount = max(1, len(p.values)-1)
	p.world.after(d, func() {
		p.visibleCount = 0
		for _, c := range p.hidden {
			p.reveal(c)
		}
		p.hidden = nil
	})
}

// startOutage stops the platform for a time. A change that was published just before and that
// no node has read counts from when it can be read.
func (p *platform) startOutage(d time.Duration) {
	p.down = true
	p.world.after(d, func() {
		p.down = false
		for i := range p.world.changes {
			if c := &p.world.changes[i]; c.rev > p.highestRead {
				c.at = p.world.now
			}
		}
	})
}

func (p *platform) visible() []value {
	if p.visibleCount > 0 {
		return p.values[:p.visibleCount]
	}
	return p.values
}

// publish stores a change. While the platform is stale no node can read the change, so it
// counts from when it can be read.
func (p *platform) publish(v value, c change) {
	p.values = append(p.values, v)
	if p.visibleCount > 0 {
		p.hidden = append(p.hidden, c)
		return
	}
	p.reveal(c)
}

func (p *platform) reveal(c change) {
	c.at = p.world.now
	p.world.changes = append(p.world.changes, c)
	pending := p.watches
	p.watches = nil
	for _, x := range pending {
		x.done()
	}
}

// readConfig answers a ReadConfig of node n.
func (p *platform) readConfig(n *node, a shed.ReadConfig) {
	w := p.world
	w.configReads++
	if p.down || !w.canReach(n.labels(), []string{"platform"}) {
		n.after(a.Wait+2*time.Second, func() { n.handle(shed.ConfigRead{Failed: true}) })
		return
	}
	answered := false
	done := func() {
		if answered {
			return
		}
		answered = true
		if p.down || !w.canReach([]string{"platform"}, n.labels()) {
			n.after(2*time.Second, func() { n.handle(shed.ConfigRead{Failed: true}) })
			return
		}
		got := p.answer(a)
		n.after(w.networkDelay(), func() { n.handle(got) })
	}
	w.after(w.networkDelay(), func() {
		if shown := p.visible(); len(shown) > 0 && shown[len(shown)-1].index.Revision > a.After {
			done()
			return
		}
		p.watches = append(p.watches, watch{after: a.After, done: done})
		w.after(a.Wait, done)
	})
}

func (p *platform) answer(a shed.ReadConfig) shed.ConfigRead {
	shown := p.visible()
	if len(shown) == 0 {
		return shed.ConfigRead{}
	}
	v := shown[len(shown)-1]
	if v.index.Revision <= a.After {
		return shed.ConfigRead{Index: shed.ConfigIndex{Revision: v.index.Revision}}
	}
	p.highestRead = max(p.highestRead, v.index.Revision)
	return shed.ConfigRead{Index: v.index, Parts: v.parts}
}

// listVMs returns the VM list as it was vmListLag ago.
func (p *platform) listVMs() []shed.VMEntry {
	var out []shed.VMEntry
	for _, l := range p.lists {
		if !l.from.After(p.world.now) {
			out = l.vms
		}
	}
	return out
}

func (p *platform) updateVMList() {
	var vms []shed.VMEntry
	for _, n := range p.world.nodes {
		if n.up {
			vms = append(vms, shed.VMEntry{VM: n.vm, Zone: n.zone})
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].VM < vms[j].VM })
	lag := vmListLag
	if len(p.lists) == 0 {
		lag = 0
	}
	p.lists = append(p.lists, vmList{from: p.world.now.Add(lag), vms: vms})
}
