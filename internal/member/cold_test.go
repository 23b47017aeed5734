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

// coldZone is a zone of real groups and real slot tables with simulated cold servers that count the
// calls they run.
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

// safeguards lists what is switched off to prove that the oracle detects overload.
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
		cfg.Settle, cfg.MaxCallDuration = time.Second, time.Second
	}
	z.tables[n] = slots.New(cfg)
	z.tables[n].SetServers(z.now, coldServers)
}

func (z *coldZone) isAwake(n *node) bool { return n.up && !z.now.Before(n.frozenUntil) }

// runSecond simulates one second, with as many calls as the tables allow.
func (z *coldZone) runSecond() {
	for range 10 {
		for _, n := range z.nodes {
			if z.isAwake(n) {
				z.sendCalls(n) // a resumed process may act before its first tick
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
			unconfirmed := !z.disabled.noConfirm && !n.Confirmed(z.now)
			z.perform(n, t.SetView(z.now, v.VMs(n.zone), v.Hash(n.zone), unconfirmed))
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
			z.err = fmt.Errorf("%s after the start: %s ran %d concurrent calls:%s", z.now.Sub(start), s.ID, running, who)
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

// applyFault starts one fault, or ends all network faults.
func (z *coldZone) applyFault(rng *rand.Rand) {
	n := z.nodes[rng.IntN(len(z.nodes))]
	kind := rng.IntN(9)
	z.faults = append(z.faults, fmt.Sprintf("%s: %d at %s", z.now.Sub(start), kind, n.self.VM))
	switch kind {
	case 0, 1:
		z.isPartitioned = func(_, _ *node) bool { return false }
	case 2: // a partition into two sides
		side := rng.Uint64()
		z.isPartitioned = func(from, to *node) bool { return side>>z.indexOf(from)&1 != side>>z.indexOf(to)&1 }
	case 3: // one process can't send, or can't receive
		mute := rng.IntN(2) == 0
		z.isPartitioned = func(from, to *node) bool { return mute && from == n || !mute && to == n }
	case 4: // a one-way partition
		side := rng.Uint64()
		z.isPartitioned = func(from, to *node) bool { return side>>z.indexOf(from)&1 < side>>z.indexOf(to)&1 }
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

// seeds is the number of random simulations; larger by hand than in CI.
var seeds = flag.Uint64("seeds", 40, "number of random simulations of cold servers under real membership")

// A cold server fails when it runs more calls than its capacity. Here the views come from the real
// membership, under partitions, one-way partitions, freezes, deaths, restarts and stops, several at
// a time.
func TestColdServersUnderRealMembership(t *testing.T) {
	sent, longest := 0, time.Duration(0)
	for seed := range *seeds {
		z := runColdZone(seed, safeguards{})
		require.NoError(t, z.err, "seed %d: %v", seed, z.faults)
		sent += z.sent
		longest = max(longest, z.heal(t, seed))
	}
	t.Logf("%d calls; all views agree again after %s at the latest", sent, longest)
}

// heal ends all faults and returns the time until every process has all others in its confirmed
// view: no process may stay dead for others permanently.
func (z *coldZone) heal(t *testing.T, seed uint64) time.Duration {
	z.isPartitioned = func(_, _ *node) bool { return false }
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
	require.True(t, ok, "seed %d: views do not agree after all faults have ended: %v", seed, z.faults)
	return took
}

func TestColdOracleCatchesWhatIsLeftOut(t *testing.T) {
	for _, tc := range []struct {
		name     string
		disabled safeguards
	}{
		{"an unconfirmed view is used", safeguards{noConfirm: true}},
		{"a minority continues", safeguards{noMajority: true}},
		{"the wait for gained slots is too short", safeguards{shortWait: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(400) {
				if z := runColdZone(seed, tc.disabled); z.err != nil {
					t.Logf("seed %d: %v", seed, z.err)
					return
				}
			}
			require.Fail(t, "the oracle did not detect the missing safeguard")
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
