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
	// deadAfter is how long peers take to detect that a VM is dead.
	deadAfter = 2200 * time.Millisecond
)

// node is one VM of a simulated fleet.
type node struct {
	id           shed.VM
	highCapacity bool
	// coordinator: pieces wait at this VM.
	coordinator bool
	side        int
	dead        bool
	fanout      *fanout.Fanout
	// known is the time of the latest load received of each VM.
	known map[shed.VM]time.Time
	// sentMessages and sentBytes count what it sent; maxPerTick is its peak of messages per
	// tick.
	sentMessages, sentBytes, maxPerTick int
	sequence                            uint64
}

// fleet is a simulated fleet, in virtual time.
type fleet struct {
	rnd   *rand.Rand
	now   time.Time
	nodes []*node
	byID  map[shed.VM]*node
	// lossRate is the fraction of messages that are lost.
	lossRate float64
	// believedAlive reports whether by considers of alive and on its side of a partition.
	believedAlive func(by, of *node) bool
}

// newFleet makes n VMs, of which the first highCapacity ones are high-capacity VMs. Pieces wait
// at the first three of these.
func newFleet(n, highCapacity int) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(1, uint64(n))), now: start, byID: map[shed.VM]*node{}}
	f.believedAlive = func(_, of *node) bool { return !of.dead }
	for i := range n {
		id := shed.VM(fmt.Sprintf("vm-%03d", i))
		v := &node{id: id, highCapacity: i < highCapacity, coordinator: i < min(highCapacity, 3), fanout: fanout.New(id), known: map[shed.VM]time.Time{}}
		f.nodes, f.byID[id] = append(f.nodes, v), v
	}
	return f
}

func (f *fleet) view(v *node) fanout.View {
	view := fanout.View{Busy: true, Coordinator: v.coordinator}
	for _, other := range f.nodes {
		if other != v && !f.believedAlive(v, other) {
			continue
		}
		if other != v {
			view.Peers = append(view.Peers, other.id)
		}
		if other.highCapacity {
			view.HighCapacity = append(view.HighCapacity, other.id)
		}
	}
	return view
}

// run advances the simulation: each VM ticks at its own phase.
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
	t := v.fanout.NextRound(f.now, f.view(v))
	if len(t.To)+len(t.ForecastTo) == 0 {
		return
	}
	v.sequence++
	v.maxPerTick = max(v.maxPerTick, len(t.To)+len(t.ForecastTo))
	f.send(v, t.To, v.load(t))
	f.send(v, t.ForecastTo, v.load(fanout.Round{}))
}

func (f *fleet) send(v *node, ids []shed.VM, load shed.RelayLoad) {
	v.sentMessages += len(ids)
	size, err := peers.Size(peerOf(v), load)
	if err != nil {
		panic(err) // The test built a load that can't be encoded.
	}
	v.sentBytes += len(ids) * size
	for _, id := range ids {
		to := f.byID[id]
		if to.dead || to.side != v.side || f.rnd.Float64() < f.lossRate {
			continue
		}
		f.receive(to, v, load)
	}
}

// load is a VM's report: some requests on servers, expected pieces, and, from a coordinator, its
// forecast.
func (v *node) load(t fanout.Round) shed.RelayLoad {
	load := shed.RelayLoad{
		Sequence: v.sequence, ForwardToAll: t.ForwardToAll, Forwarded: t.Forwarded, Placed: t.Placed,
		AsOf: 1 << 20, Digest: 1 << 60, ConfirmedAgo: time.Second, Catalog: 1 << 20,
		Servers:        map[shed.ServerID]shed.ServerShare{"i-0123456789": {Running: 1, Reading: 12000}, "i-1123456789": {Running: 1}},
		ExpectedPieces: map[shed.PoolID]int{"pool-a": 16, "pool-b": 8},
	}
	if v.coordinator {
		load.Waits = []shed.PieceWait{{Pool: "pool-a", Timely: time.Second, Last: time.Second, Slow: 1.5, Rate: 80.5}}
	}
	return load
}

// peerOf is the process of a node.
func peerOf(v *node) shed.Peer { return shed.Peer{VM: v.id, Incarnation: 1 << 60} }

func (f *fleet) receive(to, from *node, load shed.RelayLoad) {
	at := f.now.Add(latency)
	to.known[from.id] = f.now
	if load.ForwardToAll {
		to.fanout.Forward(at, peerOf(from), load)
	}
	for _, c := range load.Forwarded {
		if reported := f.now.Add(-c.Age); reported.After(to.known[c.From.VM]) {
			to.known[c.From.VM] = reported
		}
	}
}

// ages samples for a second how old the known loads of the VMs that match are.
func (f *fleet) ages(match func(*node) bool) (median, p99 time.Duration) {
	var samples []time.Duration
	for range 20 {
		f.run(50 * time.Millisecond)
		for _, v := range f.nodes {
			for _, of := range f.nodes {
				if v != of && !v.dead && !of.dead && v.side == of.side && match(of) {
					samples = append(samples, f.now.Sub(v.known[of.id]))
				}
			}
		}
	}
	slices.Sort(samples)
	return samples[len(samples)/2], samples[len(samples)*99/100]
}

func isCoordinator(v *node) bool { return v.coordinator }
func isOther(v *node) bool       { return !v.coordinator }

// Records how old known loads are and what reports cost, by fleet size, while all VMs are busy.
// Fleets are as users have them: in large ones one VM in 13 is a high-capacity VM. The cost does
// not include placed prompts.
func TestAgesAndMessages(t *testing.T) {
	var out bytes.Buffer
	for _, c := range []struct {
		vms, highCapacity int
		lossRate          float64
	}{{9, 9, 0}, {24, 2, 0}, {78, 6, 0}, {195, 15, 0}, {195, 15, 0.05}, {195, 195, 0}, {670, 52, 0}} {
		f := newFleet(c.vms, c.highCapacity)
		f.lossRate = c.lossRate
		f.run(3 * time.Second)
		forecast, forecast99 := f.ages(isCoordinator)
		other, other99 := f.ages(isOther)
		totalMessages, maxPerTick, maxMessages, totalBytes, maxBytes := 0, 0, 0, 0, 0
		for _, v := range f.nodes {
			totalMessages, maxPerTick, maxMessages = totalMessages+v.sentMessages, max(maxPerTick, v.maxPerTick), max(maxMessages, v.sentMessages)
			totalBytes, maxBytes = totalBytes+v.sentBytes, max(maxBytes, v.sentBytes)
		}
		seconds := int(f.now.Sub(start) / time.Second)
		fmt.Fprintf(&out, "%3d VMs, %3d strong, %2.0f%% lost: forecast %4d ms, p99 %4d; other load %4d ms, p99 %4d; "+
			"messages a second %5d, of one VM at most %4d, in one tick %3d; KB a second of a VM on average %3d, at most %4d\n",
			c.vms, c.highCapacity, c.lossRate*100, forecast.Milliseconds(), forecast99.Milliseconds(), other.Milliseconds(), other99.Milliseconds(),
			totalMessages/seconds, maxMessages/seconds, maxPerTick, totalBytes/c.vms/seconds/1000, maxBytes/seconds/1000)
	}
	goldie.New(t).Assert(t, "ages", out.Bytes())
}

// All VMs of a large fleet know the same server limits. A hub that forwarded them with each load
// would send them once per VM.
func TestLimitsAreNotForwarded(t *testing.T) {
	var vms []shed.VM
	for i := range 40 {
		vms = append(vms, shed.VM(fmt.Sprintf("vm-%03d", i)))
	}
	hub := fanout.New(vms[0])
	load := shed.RelayLoad{Sequence: 1, Limits: []shed.ServerLimit{{Start: shed.ServerStart{Server: "s"}, Rate: 1}}}
	hub.Forward(start, shed.Peer{VM: vms[1], Incarnation: 1}, load)
	round := hub.NextRound(start, fanout.View{Peers: vms[1:], HighCapacity: vms[:1], Busy: true})
	require.Len(t, round.Forwarded, 1)
	require.Empty(t, round.Forwarded[0].Load.Limits)
}

// Hubs die. Loads of the VMs that they forwarded must reach all peers again soon after the hubs
// are detected dead, or peers go on with outdated shares of servers.
func TestMembersOfADeadHubReportAgain(t *testing.T) {
	f := newFleet(195, 15)
	f.run(3 * time.Second)
	diedAt := f.now
	for _, v := range f.nodes[3:8] {
		v.dead = true
	}
	f.believedAlive = func(_, of *node) bool { return !of.dead || f.now.Sub(diedAt) < deadAfter }
	f.run(deadAfter + 1500*time.Millisecond)
	_, p99 := f.ages(isOther)
	require.Less(t, p99, 2*time.Second)
}

// A partition separates a zone from the others. Each side must go on with its own hubs, even one
// without a high-capacity VM.
func TestEachSideOfAPartitionHasHubs(t *testing.T) {
	f := newFleet(195, 15)
	for i, v := range f.nodes {
		if i >= 150 {
			v.side = 1
		}
	}
	f.believedAlive = func(by, of *node) bool { return by.side == of.side }
	f.run(3 * time.Second)
	_, p99 := f.ages(isOther)
	require.Less(t, p99, 1500*time.Millisecond)
}

// A VM that was paused for a minute must not make up for missed reports: a message to each peer
// at once would delay the requests that wait there.
func TestPausedVMOwesNothing(t *testing.T) {
	f := newFleet(195, 15)
	v := f.nodes[0]
	v.coordinator = false
	for range 10 {
		f.tick(v)
		f.now = f.now.Add(tick)
	}
	require.LessOrEqual(t, v.maxPerTick, 24)
	f.now = f.now.Add(time.Minute)
	f.tick(v)
	require.LessOrEqual(t, v.maxPerTick, 2*24)
}

// A placed prompt and a work time that a hub forwards reach each peer once or twice, and the age of the
// work time leads to the time at which it was read.
func TestPlacedPromptsReachAll(t *testing.T) {
	f := newFleet(195, 15)
	hub, member := f.nodes[0], f.nodes[100]
	received, workTimes := map[shed.VM]int{}, map[shed.VM]int{}
	f.run(time.Second)
	readAt := f.now.Add(-time.Second)
	member.fanout.RecordPlacement(f.now, shed.PromptPlaced{Server: "i-1"})
	member.fanout.RecordWorkTime(f.now, shed.WorkTime{Start: shed.ServerStart{Server: "i-1"}, Percent: 160, Age: time.Second})
	for f.now = f.now.Add(tick); len(received) == 0; f.now = f.now.Add(tick) {
		if t := member.fanout.NextRound(f.now, f.view(member)); len(t.Placed) > 0 {
			hub.fanout.Forward(f.now, shed.Peer{VM: member.id}, shed.RelayLoad{Placed: t.Placed, WorkTimes: t.WorkTimes})
			// The same work time again, as in the next report.
			hub.fanout.Forward(f.now, shed.Peer{VM: member.id}, shed.RelayLoad{WorkTimes: t.WorkTimes})
			received[hub.id], workTimes[hub.id] = 1, 1
		}
	}
	for range 20 {
		f.now = f.now.Add(tick)
		round := hub.fanout.NextRound(f.now, f.view(hub))
		for _, vm := range round.To {
			received[vm] += len(round.Placed)
			workTimes[vm] += len(round.WorkTimes)
		}
		for _, w := range round.WorkTimes {
			require.Equal(t, readAt, f.now.Add(-w.Age))
		}
		for _, load := range round.Forwarded {
			require.Empty(t, load.Load.WorkTimes)
		}
	}
	require.Len(t, received, 195)
	for _, n := range f.nodes {
		require.Contains(t, []int{1, 2}, received[n.id], n.id)
		require.Contains(t, []int{1, 2}, workTimes[n.id], n.id)
	}
}

// Edge cases: a VM without peers, and a fleet with a single high-capacity VM.
func TestFewPeers(t *testing.T) {
	require.Empty(t, fanout.New("a").NextRound(start, fanout.View{HighCapacity: []shed.VM{"a"}, Busy: true}).To)
	f := newFleet(60, 1)
	f.run(3 * time.Second)
	_, p99 := f.ages(isOther)
	require.Less(t, p99, 2*time.Second)
	for _, v := range f.nodes {
		require.LessOrEqual(t, v.maxPerTick, 60)
	}
}
