package member_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/slots"
)

// coldZone is a zone of real groups and real slot tables before cold servers
// that count what they run.
type coldZone struct {
	*network
	tables map[*node]*slots.Table
	calls  []*coldCall
	n      int
	used   int
	err    error
	log    []string
	weak   weak
}

// weak names what is left out, to see the oracle go red.
type weak struct{ confirm, known, wait bool }

type coldCall struct {
	call     shed.Call
	server   shed.ServerID
	by       *node
	table    *slots.Table
	from, to time.Time
	told     bool
}

var coldServers = []*shed.Server{
	{ID: "s1", Capacity: 9, ColdCapacity: 1}, {ID: "s2", Capacity: 9, ColdCapacity: 2}, {ID: "s3", Capacity: 9, ColdCapacity: 4},
}

func newColdZone(seed uint64, size int, weak weak) *coldZone {
	z := &coldZone{network: newNetwork(seed, size), tables: map[*node]*slots.Table{}, weak: weak}
	for _, n := range z.nodes {
		z.join(n)
	}
	z.other = func(n *node, ev shed.PeerMessage) []shed.Action { return z.tables[n].Handle(z.now, ev) }
	return z
}

func (z *coldZone) join(n *node) {
	cfg := slots.Config{Self: n.self.VM}
	if z.weak.wait {
		cfg.Settle, cfg.MaxCallDuration = time.Second, time.Second
	}
	z.tables[n] = slots.New(cfg)
	z.tables[n].SetServers(z.now, coldServers)
}

func (z *coldZone) awake(n *node) bool { return n.up && !z.now.Before(n.frozen) }

// second lets a second pass, under all the load that the tables allow.
func (z *coldZone) second() {
	for range 10 {
		for _, n := range z.nodes {
			if z.awake(n) {
				z.load(n) // a process that wakes may act before its first tick
			}
		}
		z.run(shed.TickEvery)
		z.end()
		for _, n := range z.nodes {
			if !z.awake(n) {
				continue
			}
			t := z.tables[n]
			v := n.View()
			if !z.weak.known {
				t.SetKnown(z.now, n.Known())
			}
			unsure := !z.weak.confirm && !n.Confirmed(z.now)
			z.perform(n, t.SetView(z.now, v.VMs(n.zone), v.Hash(n.zone), unsure))
			z.perform(n, t.Handle(z.now, shed.Tick{Wall: z.now}))
		}
		z.count()
	}
}

func (z *coldZone) load(n *node) {
	for _, s := range coldServers {
		z.n++
		call := shed.Call{Request: shed.RequestID(fmt.Sprint(z.n))}
		if z.rng.IntN(3) > 0 || !z.tables[n].Take(z.now, s.ID, call).OK() {
			continue
		}
		z.used++
		from := z.now.Add(time.Duration(z.rng.IntN(1000)) * time.Millisecond)
		to := from.Add(time.Duration(z.rng.IntN(8000)) * time.Millisecond)
		z.calls = append(z.calls, &coldCall{call: call, server: s.ID, by: n, table: z.tables[n], from: from, to: to})
	}
}

func (z *coldZone) end() {
	var live []*coldCall
	for _, c := range z.calls {
		same := z.tables[c.by] == c.table
		if same && z.awake(c.by) && !c.told && !z.now.Before(c.to) {
			c.told = true
			z.perform(c.by, c.table.Release(z.now, c.call, shed.EndComplete))
		}
		if z.now.Before(c.to) || same && c.by.up && !c.told {
			live = append(live, c)
		}
	}
	z.calls = live
}

func (z *coldZone) count() {
	for _, s := range coldServers {
		running, who := 0, ""
		for _, c := range z.calls {
			if c.server == s.ID && !z.now.Before(c.from) && z.now.Before(c.to) {
				running++
				who += fmt.Sprintf(" %s from %s", c.by.self.VM, c.from.Sub(start))
			}
		}
		if running > s.ColdCapacity && z.err == nil {
			z.err = fmt.Errorf("%s after: %s ran %d calls at once:%s", z.now.Sub(start), s.ID, running, who)
		}
		if z.now.Sub(start)%(2*time.Second) != 0 {
			continue
		}
		for _, n := range z.nodes {
			if z.awake(n) {
				z.tables[n].Handle(z.now, shed.LoadReported{Server: s.ID, Report: shed.LoadReport{Boot: "x", Running: running}})
			}
		}
	}
}

var start = time.Unix(1_800_000_000, 0)

// fault brings about one fault, or mends all cuts.
func (z *coldZone) fault(rng *rand.Rand) {
	n := z.nodes[rng.IntN(len(z.nodes))]
	kind := rng.IntN(9)
	z.log = append(z.log, fmt.Sprintf("%s: %d at %s", z.now.Sub(start), kind, n.self.VM))
	switch kind {
	case 0, 1:
		z.cut = func(_, _ *node) bool { return false }
	case 2: // a split in two
		side := rng.Uint64()
		z.cut = func(from, to *node) bool { return side>>z.index(from)&1 != side>>z.index(to)&1 }
	case 3: // one process is not heard, or hears nothing
		mute := rng.IntN(2) == 0
		z.cut = func(from, to *node) bool { return mute && from == n || !mute && to == n }
	case 4: // one part is not heard by the other
		side := rng.Uint64()
		z.cut = func(from, to *node) bool { return side>>z.index(from)&1 < side>>z.index(to)&1 }
	case 5:
		z.freeze(n, time.Duration(rng.IntN(60))*time.Second, rng.IntN(2) == 0)
	case 6:
		n.up = false
	case 7:
		z.start(n)
		z.join(n)
	case 8:
		if z.awake(n) {
			z.perform(n, n.Handle(z.now, shed.StopRequested{}))
		}
	}
}

func (z *coldZone) index(n *node) int {
	for i, x := range z.nodes {
		if x == n {
			return i
		}
	}
	return -1
}

// seeds is how many random worlds are run; more by hand than in CI.
var seeds = flag.Uint64("seeds", 40, "random worlds of cold servers under real membership")

// A cold server falls over when it runs more than it bears. Here the views come
// from the real membership, under splits, one-way cuts, freezes, deaths,
// restarts and stops, several at a time.
func TestColdServersUnderRealMembership(t *testing.T) {
	used, worst := 0, time.Duration(0)
	for seed := range *seeds {
		z := runCold(seed, weak{})
		require.NoError(t, z.err, "seed %d: %v", seed, z.log)
		used += z.used
		worst = max(worst, z.recover(t, seed))
	}
	t.Logf("%d calls; all agree again after %s at the latest", used, worst)
}

// recover ends all faults and gives the time until everybody sees everybody
// and relies on it: no process may stay dead for others for good.
func (z *coldZone) recover(t *testing.T, seed uint64) time.Duration {
	z.cut = func(_, _ *node) bool { return false }
	for _, n := range z.nodes {
		m, _ := n.Lookup(n.self.VM)
		if !n.up || m.Status == shed.StatusLeaving {
			z.start(n)
			z.join(n)
		}
		n.frozen = z.now
	}
	took, ok := z.until(30*time.Second, func() bool {
		for _, n := range z.nodes {
			if !n.Confirmed(z.now) {
				return false
			}
		}
		return z.agree(zoneA)
	})
	require.True(t, ok, "seed %d does not heal: %v", seed, z.log)
	return took
}

func TestColdOracleCatchesWhatIsLeftOut(t *testing.T) {
	for _, tc := range []struct {
		name string
		weak weak
	}{
		{"the view counts though it is not confirmed", weak{confirm: true}},
		{"a minority goes on", weak{known: true}},
		{"gained slots wait too short", weak{wait: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(400) {
				if z := runCold(seed, tc.weak); z.err != nil {
					t.Logf("seed %d: %v", seed, z.err)
					return
				}
			}
			require.Fail(t, "not caught")
		})
	}
}

func runCold(seed uint64, weak weak) *coldZone {
	rng := rand.New(rand.NewPCG(seed, 5))
	z := newColdZone(seed, 2+rng.IntN(5), weak)
	for range 12 {
		z.fault(rng)
		for range 1 + rng.IntN(60) {
			if z.second(); z.err != nil {
				return z
			}
		}
	}
	return z
}
