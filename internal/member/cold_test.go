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
	tables    map[*node]*slots.Table
	calls     []*coldCall
	callCount int
	sent      int
	err       error
	faults    []string
	disabled  safeguards
}

// safeguards names what is left out, to see the oracle go red.
type safeguards struct{ noConfirm, noMajority, shortWait bool }

type coldCall struct {
	call              shed.Call
	server            shed.ServerID
	sender            *node
	table             *slots.Table
	arrivesAt, endsAt time.Time
	released          bool
}

var coldServers = []*shed.Server{
	{ID: "s1", Capacity: 9, ColdCapacity: 1}, {ID: "s2", Capacity: 9, ColdCapacity: 2}, {ID: "s3", Capacity: 9, ColdCapacity: 4},
}

func newColdZone(seed uint64, size int, disabled safeguards) *coldZone {
	z := &coldZone{network: newNetwork(seed, size), tables: map[*node]*slots.Table{}, disabled: disabled}
	for _, n := range z.nodes {
		z.addTable(n)
	}
	z.handleOther = func(n *node, ev shed.PeerMessage) []shed.Action { return z.tables[n].Handle(z.now, ev) }
	return z
}

func (z *coldZone) addTable(n *node) {
	cfg := slots.Config{Self: n.self.VM}
	if z.disabled.shortWait {
		cfg.Settle, cfg.LongestCall = time.Second, time.Second
	}
	z.tables[n] = slots.New(cfg)
	z.tables[n].SetServers(z.now, coldServers)
}

func (z *coldZone) isAwake(n *node) bool { return n.up && !z.now.Before(n.frozenUntil) }

// runSecond lets a second pass, under all the load that the tables allow.
func (z *coldZone) runSecond() {
	for range 10 {
		for _, n := range z.nodes {
			if z.isAwake(n) {
				z.sendCalls(n) // a process that wakes may act before its first tick
			}
		}
		z.run(shed.TickEvery)
		z.endCalls()
		for _, n := range z.nodes {
			if !z.isAwake(n) {
				continue
			}
			t := z.tables[n]
			v := n.View()
			if !z.disabled.noMajority {
				t.SetKnown(z.now, n.Known())
			}
			unsure := !z.disabled.noConfirm && !n.Confirmed(z.now)
			z.perform(n, t.SetView(z.now, v.VMs(n.zone), v.Hash(n.zone), unsure))
			z.perform(n, t.Handle(z.now, shed.Tick{Wall: z.now}))
		}
		z.checkCapacity()
	}
}

func (z *coldZone) sendCalls(n *node) {
	for _, s := range coldServers {
		z.callCount++
		call := shed.Call{Request: shed.RequestID(fmt.Sprint(z.callCount))}
		if z.rng.IntN(3) > 0 || !z.tables[n].Take(z.now, s.ID, call).OK() {
			continue
		}
		z.sent++
		from := z.now.Add(time.Duration(z.rng.IntN(1000)) * time.Millisecond)
		to := from.Add(time.Duration(z.rng.IntN(8000)) * time.Millisecond)
		z.calls = append(z.calls, &coldCall{call: call, server: s.ID, sender: n, table: z.tables[n], arrivesAt: from, endsAt: to})
	}
}

func (z *coldZone) endCalls() {
	var live []*coldCall
	for _, c := range z.calls {
		same := z.tables[c.sender] == c.table
		if same && z.isAwake(c.sender) && !c.released && !z.now.Before(c.endsAt) {
			c.released = true
			z.perform(c.sender, c.table.Release(z.now, c.call, shed.EndComplete))
		}
		if z.now.Before(c.endsAt) || same && c.sender.up && !c.released {
			live = append(live, c)
		}
	}
	z.calls = live
}

func (z *coldZone) checkCapacity() {
	for _, s := range coldServers {
		running, who := 0, ""
		for _, c := range z.calls {
			if c.server == s.ID && !z.now.Before(c.arrivesAt) && z.now.Before(c.endsAt) {
				running++
				who += fmt.Sprintf(" %s from %s", c.sender.self.VM, c.arrivesAt.Sub(start))
			}
		}
		if running > s.ColdCapacity && z.err == nil {
			z.err = fmt.Errorf("%s after: %s ran %d calls at once:%s", z.now.Sub(start), s.ID, running, who)
		}
		if z.now.Sub(start)%(2*time.Second) != 0 {
			continue
		}
		for _, n := range z.nodes {
			if z.isAwake(n) {
				z.tables[n].Handle(z.now, shed.LoadReported{Server: s.ID, Report: shed.LoadReport{Boot: "x", Running: running}})
			}
		}
	}
}

var start = time.Unix(1_800_000_000, 0)

// applyFault brings about one fault, or mends all cuts.
func (z *coldZone) applyFault(rng *rand.Rand) {
	n := z.nodes[rng.IntN(len(z.nodes))]
	kind := rng.IntN(9)
	z.faults = append(z.faults, fmt.Sprintf("%s: %d at %s", z.now.Sub(start), kind, n.self.VM))
	switch kind {
	case 0, 1:
		z.isCut = func(_, _ *node) bool { return false }
	case 2: // a split in two
		side := rng.Uint64()
		z.isCut = func(from, to *node) bool { return side>>z.indexOf(from)&1 != side>>z.indexOf(to)&1 }
	case 3: // one process is not heard, or hears nothing
		mute := rng.IntN(2) == 0
		z.isCut = func(from, to *node) bool { return mute && from == n || !mute && to == n }
	case 4: // one part is not heard by the other
		side := rng.Uint64()
		z.isCut = func(from, to *node) bool { return side>>z.indexOf(from)&1 < side>>z.indexOf(to)&1 }
	case 5:
		z.freeze(n, time.Duration(rng.IntN(60))*time.Second, rng.IntN(2) == 0)
	case 6:
		n.up = false
	case 7:
		z.start(n)
		z.addTable(n)
	case 8:
		if z.isAwake(n) {
			z.perform(n, n.Handle(z.now, shed.StopRequested{}))
		}
	}
}

func (z *coldZone) indexOf(n *node) int {
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
	sent, longest := 0, time.Duration(0)
	for seed := range *seeds {
		z := runColdZone(seed, safeguards{})
		require.NoError(t, z.err, "seed %d: %v", seed, z.faults)
		sent += z.sent
		longest = max(longest, z.heal(t, seed))
	}
	t.Logf("%d calls; all agree again after %s at the latest", sent, longest)
}

// heal ends all faults and gives the time until everybody sees everybody
// and relies on it: no process may stay dead for others for good.
func (z *coldZone) heal(t *testing.T, seed uint64) time.Duration {
	z.isCut = func(_, _ *node) bool { return false }
	for _, n := range z.nodes {
		m, _ := n.Lookup(n.self.VM)
		if !n.up || m.Status == shed.StatusLeaving {
			z.start(n)
			z.addTable(n)
		}
		n.frozenUntil = z.now
	}
	took, ok := z.until(30*time.Second, func() bool {
		for _, n := range z.nodes {
			if !n.Confirmed(z.now) {
				return false
			}
		}
		return z.agree(zoneA)
	})
	require.True(t, ok, "seed %d does not heal: %v", seed, z.faults)
	return took
}

func TestColdOracleCatchesWhatIsLeftOut(t *testing.T) {
	for _, tc := range []struct {
		name     string
		disabled safeguards
	}{
		{"the view counts though it is not confirmed", safeguards{noConfirm: true}},
		{"a minority goes on", safeguards{noMajority: true}},
		{"gained slots wait too short", safeguards{shortWait: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(400) {
				if z := runColdZone(seed, tc.disabled); z.err != nil {
					t.Logf("seed %d: %v", seed, z.err)
					return
				}
			}
			require.Fail(t, "not caught")
		})
	}
}

func runColdZone(seed uint64, disabled safeguards) *coldZone {
	rng := rand.New(rand.NewPCG(seed, 5))
	z := newColdZone(seed, 2+rng.IntN(5), disabled)
	for range 12 {
		z.applyFault(rng)
		for range 1 + rng.IntN(60) {
			if z.runSecond(); z.err != nil {
				return z
			}
		}
	}
	return z
}
