package fanout_test

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
	"jasmineshed/internal/fanout"
	"jasmineshed/internal/peers"
)

var start = time.Unix(1_700_000_000, 0)

const (
	tick    = 100 * time.Millisecond
	latency = 2 * time.Millisecond
	// deadAfter is how long peers take to see that a VM is dead.
	deadAfter = 2200 * time.Millisecond
)

// node is one VM of a simulated fleet.
type node struct {
	id     shed.VM
	strong bool
	// gathers: pieces wait at it.
	gathers bool
	side    int
	dead    bool
	fan     *fanout.Fanout
	// knows is when the latest of what it knows of each VM was so.
	knows map[shed.VM]time.Time
	// sent counts its messages and bytes the bytes of these; most is the most messages
	// that it sent in a tick.
	sent, bytes, most int
	sequence          uint64
}

// fleet is a simulated fleet, in virtual time.
type fleet struct {
	rnd   *rand.Rand
	now   time.Time
	nodes []*node
	byID  map[shed.VM]*node
	// loss is the share of messages that don't arrive.
	loss float64
	// seen is what VMs believe of who is alive and on their side.
	seen func(by, of *node) bool
}

// newFleet makes n VMs, of which some are strong, that start within 0.3 s of each other.
// Pieces wait at the first three strong ones.
func newFleet(n, strong int) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(1, uint64(n))), now: start, byID: map[shed.VM]*node{}}
	f.seen = func(_, of *node) bool { return !of.dead }
	for i := range n {
		id := shed.VM(fmt.Sprintf("vm-%03d", i))
		v := &node{id: id, strong: i < strong, gathers: i < min(strong, 3), fan: fanout.New(id), knows: map[shed.VM]time.Time{}}
		f.nodes, f.byID[id] = append(f.nodes, v), v
	}
	return f
}

func (f *fleet) view(v *node) fanout.View {
	view := fanout.View{Busy: true, Coordinator: v.gathers}
	for _, other := range f.nodes {
		if other != v && !f.seen(v, other) {
			continue
		}
		if other != v {
			view.Peers = append(view.Peers, other.id)
		}
		if other.strong {
			view.HighCapacity = append(view.HighCapacity, other.id)
		}
	}
	return view
}

// run plays a time: each VM ticks at its own phase.
func (f *fleet) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for i, v := range f.nodes {
			if !v.dead && int(f.now.Sub(start)/step)%int(tick/step) == i%int(tick/step) {
				f.tick(v)
			}
		}
	}
}

func (f *fleet) tick(v *node) {
	t := v.fan.NextRound(f.now, f.view(v))
	if len(t.To) == 0 {
		return
	}
	v.sequence++
	v.sent, v.most = v.sent+len(t.To), max(v.most, len(t.To))
	load := v.load(t)
	size, err := peers.Size(peerOf(v), load)
	if err != nil {
		panic(err) // The test made a load that has no encoding.
	}
	v.bytes += len(t.To) * size
	for _, id := range t.To {
		to := f.byID[id]
		if to.dead || to.side != v.side || f.rnd.Float64() < f.loss {
			continue
		}
		f.hear(to, v, load)
	}
}

// load is what a VM tells: some requests on servers, pieces that will come, and at those
// that gather what they foresee.
func (v *node) load(t fanout.Round) shed.RelayLoad {
	load := shed.RelayLoad{
		Sequence: v.sequence, ForwardToAll: t.ForwardToAll, Forwarded: t.Forwarded, Placed: t.Placed,
		AsOf: 1 << 20, Digest: 1 << 60, ConfirmedAgo: time.Second, Catalog: 1 << 20,
		Servers:        map[shed.ServerID]shed.ServerShare{"i-0123456789": {Running: 1, Reading: 12000}, "i-1123456789": {Running: 1}},
		ExpectedPieces: map[shed.PoolID]int{"pool-a": 16, "pool-b": 8},
	}
	if v.gathers {
		load.Waits = []shed.PieceWait{{Pool: "pool-a", Timely: time.Second, Last: time.Second, Slow: 1.5, Rate: 80.5}}
	}
	return load
}

// peerOf is the process of a node.
func peerOf(v *node) shed.Peer { return shed.Peer{VM: v.id, Incarnation: 1 << 60} }

func (f *fleet) hear(to, from *node, load shed.RelayLoad) {
	at := f.now.Add(latency)
	to.knows[from.id] = f.now
	if load.ForwardToAll {
		to.fan.Forward(at, peerOf(from), load)
	}
	for _, c := range load.Forwarded {
		if told := f.now.Add(-c.Age); told.After(to.knows[c.From.VM]) {
			to.knows[c.From.VM] = told
		}
	}
}

// ages samples how old what VMs know of those that has picks is, for a second.
func (f *fleet) ages(has func(*node) bool) (median, p99 time.Duration) {
	var all []time.Duration
	for range 20 {
		f.run(50 * time.Millisecond)
		for _, v := range f.nodes {
			for _, of := range f.nodes {
				if v != of && !v.dead && !of.dead && v.side == of.side && has(of) {
					all = append(all, f.now.Sub(v.knows[of.id]))
				}
			}
		}
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*99/100]
}

func gathers(v *node) bool { return v.gathers }
func others(v *node) bool  { return !v.gathers }

// The table of how old loads are and what they cost, by the size of the fleet, while all
// VMs are busy. Fleets are those of the users: one VM in 13 is strong in large ones.
// Prompts that were placed come on top.
func TestAgesAndMessages(t *testing.T) {
	var out bytes.Buffer
	for _, c := range []struct {
		vms, strong int
		loss        float64
	}{{9, 9, 0}, {24, 2, 0}, {78, 6, 0}, {195, 15, 0}, {195, 15, 0.05}, {195, 195, 0}, {670, 52, 0}} {
		f := newFleet(c.vms, c.strong)
		f.loss = c.loss
		f.run(3 * time.Second)
		fg, fg99 := f.ages(gathers)
		fo, fo99 := f.ages(others)
		sent, most, busiest, allBytes, mostBytes := 0, 0, 0, 0, 0
		for _, v := range f.nodes {
			sent, most, busiest = sent+v.sent, max(most, v.most), max(busiest, v.sent)
			allBytes, mostBytes = allBytes+v.bytes, max(mostBytes, v.bytes)
		}
		seconds := int(f.now.Sub(start) / time.Second)
		fmt.Fprintf(&out, "%3d VMs, %3d strong, %2.0f%% lost: forecast %4d ms, p99 %4d; other load %4d ms, p99 %4d; "+
			"messages a second %5d, of one VM at most %4d, in one tick %3d; KB a second of a VM on average %3d, at most %4d\n",
			c.vms, c.strong, c.loss*100, fg.Milliseconds(), fg99.Milliseconds(), fo.Milliseconds(), fo99.Milliseconds(),
			sent/seconds, busiest/seconds, most, allBytes/c.vms/seconds/1000, mostBytes/seconds/1000)
	}
	goldie.New(t).Assert(t, "ages", out.Bytes())
}

// Each VM of a large fleet knows the same limits of servers. A hub that passed them on with
// each load that it carries would tell them as often as there are VMs.
func TestLimitsAreNotCarried(t *testing.T) {
	var vms []shed.VM
	for i := range 40 {
		vms = append(vms, shed.VM(fmt.Sprintf("vm-%03d", i)))
	}
	hub := fanout.New(vms[0])
	load := shed.RelayLoad{Sequence: 1, Limits: []shed.ServerLimit{{Start: shed.ServerStart{Server: "s"}, Rate: 1}}}
	hub.Forward(start, shed.Peer{VM: vms[1], Incarnation: 1}, load)
	turn := hub.NextRound(start, fanout.View{Peers: vms[1:], HighCapacity: vms[:1], Busy: true})
	require.Len(t, turn.Forwarded, 1)
	require.Empty(t, turn.Forwarded[0].Load.Limits)
}

// A hub dies. The VMs that it passed on must be known to all again soon after it is seen
// to be dead: their shares of servers would be taken for what they were.
func TestMembersOfADeadHubAreHeardAgain(t *testing.T) {
	f := newFleet(195, 15)
	f.run(3 * time.Second)
	died := f.now
	for _, v := range f.nodes[3:8] {
		v.dead = true
	}
	f.seen = func(_, of *node) bool { return !of.dead || f.now.Sub(died) < deadAfter }
	f.run(deadAfter + 1500*time.Millisecond)
	_, p99 := f.ages(others)
	require.Less(t, p99, 2*time.Second)
}

// A zone is cut off from the others. Each side must go on with hubs of its own, also one
// that has no strong VM.
func TestEachSideOfACutHasHubs(t *testing.T) {
	f := newFleet(195, 15)
	for i, v := range f.nodes {
		if i >= 150 {
			v.side = 1
		}
	}
	f.seen = func(by, of *node) bool { return by.side == of.side }
	f.run(3 * time.Second)
	_, p99 := f.ages(others)
	require.Less(t, p99, 1500*time.Millisecond)
}

// A VM that was paused for a minute tells in turn as before: a message to each peer at
// once would hold up the requests that wait there.
func TestPausedVMOwesNothing(t *testing.T) {
	f := newFleet(195, 15)
	v := f.nodes[0]
	v.gathers = false
	for range 10 {
		f.tick(v)
		f.now = f.now.Add(tick)
	}
	require.LessOrEqual(t, v.most, 24)
	f.now = f.now.Add(time.Minute)
	f.tick(v)
	require.LessOrEqual(t, v.most, 2*24)
}

// Prompts that were placed reach each peer once or twice, whoever passes them on.
func TestPlacedPromptsReachAll(t *testing.T) {
	f := newFleet(195, 15)
	hub, member := f.nodes[0], f.nodes[100]
	heard := map[shed.VM]int{}
	f.run(time.Second)
	member.fan.RecordPlacement(f.now, shed.PromptPlaced{Server: "i-1"})
	for f.now = f.now.Add(tick); len(heard) == 0; f.now = f.now.Add(tick) {
		if t := member.fan.NextRound(f.now, f.view(member)); len(t.Placed) > 0 {
			hub.fan.Forward(f.now, shed.Peer{VM: member.id}, shed.RelayLoad{Placed: t.Placed})
			heard[hub.id] = 1
		}
	}
	for range 20 {
		f.now = f.now.Add(tick)
		if t := hub.fan.NextRound(f.now, f.view(hub)); len(t.Placed) > 0 {
			for _, vm := range t.To {
				heard[vm]++
			}
		}
	}
	require.Len(t, heard, 195)
	for vm, n := range heard {
		require.LessOrEqual(t, n, 2, vm)
	}
}

// Nobody else is known, or one alone is strong.
func TestFewPeers(t *testing.T) {
	require.Empty(t, fanout.New("a").NextRound(start, fanout.View{HighCapacity: []shed.VM{"a"}, Busy: true}).To)
	f := newFleet(60, 1)
	f.run(3 * time.Second)
	_, p99 := f.ages(others)
	require.Less(t, p99, 2*time.Second)
	for _, v := range f.nodes {
		require.LessOrEqual(t, v.most, 60)
	}
}
