// Package fanout decides which peers a VM sends its load report to, how often, and which
// reports of other VMs it forwards. It does no I/O.
//
// Load pattern: hundreds of VMs, most of them small. If each reported to every other one, the
// messages would use more CPU than requests do, and would have to be so rare that a forecast
// is older than a burst of requests is long.
//
// In a small fleet each VM reports to all others. In a larger one only a few high-capacity VMs
// do, the hubs; every other VM reports to one hub often, which forwards the load with its own.
// Each tick reports to some peers, in round-robin order: a message to all at once delays the
// requests of a small VM.
package fanout

import (
	"cmp"
	"math"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

const (
	// maxDirect is the largest fleet in which each VM reports to all others.
	maxDirect = 24
	// minHubs and usualMaxHubs bound the hubs of a larger fleet. There are up to usualMaxHubs
	// high-capacity ones, or up to the square root of the fleet size if that is more: then
	// a hub forwards about as many loads as there are hubs.
	minHubs, usualMaxHubs = 3, 16
	// roundInterval is the minimum time between two messages to one peer.
	roundInterval = 100 * time.Millisecond
	// Peers per round for a VM of a small fleet, a hub, and a coordinator, at which pieces
	// wait. Admission on all VMs depends on a coordinator's forecast, so it reports its own load
	// directly, and more often than a hub reports those of others.
	directPerRound, hubPerRound, coordinatorPerRound = 12, 24, 60
	// hubInterval is how often a VM reports to its hub.
	hubInterval = 300 * time.Millisecond
	// idleInterval is how often an idle VM reports its load.
	idleInterval = 300 * time.Millisecond
	// maxPlaced bounds the placed prompts that are queued for reporting.
	maxPlaced = 4096
	// maxWorkTimes bounds the queued work times: at 50 a second in the fleet, what 20 s bring.
	maxWorkTimes = 1000
)

// View is a VM's view of its fleet and itself.
type View struct {
	// Peers are the other live VMs, sorted.
	Peers []shed.VM
	// HighCapacity are the high-capacity VMs of the fleet, which do work for others. They may
	// include this VM.
	HighCapacity []shed.VM
	// Busy: there is load to report. Coordinator: pieces wait here.
	Busy, Coordinator bool
}

// Round is what a VM reports in one round, and to which peers.
type Round struct {
	To []shed.VM
	// ForecastTo are further peers, which get this VM's own load only.
	ForecastTo []shed.VM
	// ForwardToAll: the receiver, a hub, forwards the report to all.
	ForwardToAll bool
	// Forwarded are the loads of other VMs that this VM forwards.
	Forwarded []shed.ForwardedLoad
	// Placed are the prompts placed since the last report to the VMs in To.
	Placed []shed.PromptPlaced
	// WorkTimes are the work times read since then.
	WorkTimes []shed.WorkTime
}

// forwardedLoad is another VM's load to forward.
type forwardedLoad struct {
	from       shed.Peer
	load       shed.RelayLoad
	receivedAt time.Time
}

type placedPrompt struct {
	shed.PromptPlaced
	placedAt time.Time
}

// queuedWorkTime is a work time to report. It was read at readAt and is reported since queuedAt.
type queuedWorkTime struct {
	shed.WorkTime
	readAt, queuedAt time.Time
}

// Fanout is one VM's state. It is not safe for concurrent use.
type Fanout struct {
	self shed.VM
	// lastPeer is the peer reported to last; the round robin continues after it. passes counts
	// the passes over all peers.
	lastPeer shed.VM
	passes   int
	// lastRound is when NextRound was last called; credit is the number of peers due since
	// then, including a fraction.
	lastRound time.Time
	credit    float64
	// lastBusy is when there was last load to report.
	lastBusy  time.Time
	forwarded map[shed.VM]forwardedLoad
	placed    []placedPrompt
	workTimes []queuedWorkTime
}

// New returns the state of a VM that has sent no report.
func New(self shed.VM) *Fanout {
	return &Fanout{self: self, lastPeer: self, forwarded: map[shed.VM]forwardedLoad{}}
}

// RecordPlacement queues a placed prompt for reporting.
func (f *Fanout) RecordPlacement(now time.Time, p shed.PromptPlaced) {
	if len(f.placed) < maxPlaced {
		f.placed = append(f.placed, placedPrompt{p, now})
	}
}

// RecordWorkTime queues a work time for reporting, unless it is queued already: a hub receives most of
// them twice.
func (f *Fanout) RecordWorkTime(now time.Time, w shed.WorkTime) {
	next := queuedWorkTime{WorkTime: w, readAt: now.Add(-max(w.Age, 0)), queuedAt: now}
	if len(f.workTimes) < maxWorkTimes && !slices.ContainsFunc(f.workTimes, next.repeats) {
		f.workTimes = append(f.workTimes, next)
	}
}

// repeats reports whether both are the same work time, whose age depends on the delay of the report.
func (w queuedWorkTime) repeats(other queuedWorkTime) bool {
	return w.Start == other.Start && w.Percent == other.Percent && w.readAt.Sub(other.readAt).Abs() < roundInterval
}

// Forward queues a peer's load that this VM is to forward.
func (f *Fanout) Forward(now time.Time, from shed.Peer, load shed.RelayLoad) {
	for _, p := range load.Placed {
		f.RecordPlacement(now, p)
	}
	for _, w := range load.WorkTimes {
		f.RecordWorkTime(now, w)
	}
	load.Placed, load.WorkTimes, load.Forwarded, load.ForwardToAll = nil, nil, nil, false
	// The VM's state of the store is of use to its hub only.
	load.AsOf, load.Digest, load.ConfirmedAgo, load.Catalog = 0, 0, 0, 0
	// So are its server limits: the hub merges them and reports its own.
	load.Limits = nil
	f.forwarded[from.VM] = forwardedLoad{from: from, load: load, receivedAt: now}
}

// NextRound returns the report to send now; it is called at each tick.
func (f *Fanout) NextRound(now time.Time, v View) Round {
	busy := v.Busy || len(f.forwarded) > 0
	if busy {
		f.lastBusy = now
	}
	hubs := f.hubs(v)
	to, interval, fullEvery := v.Peers, period(len(v.Peers), peersPerRound(len(v.Peers))), 1
	viaHub := len(hubs) > 0 && !v.Coordinator && !slices.Contains(hubs, f.self)
	if viaHub {
		hub, _ := rank.Owner("hub "+string(f.self), hubs)
		to, interval = []shed.VM{hub}, hubInterval
	} else if v.Coordinator && len(hubs) > 0 {
		forecastInterval := period(len(v.Peers), coordinatorPerRound)
		interval, fullEvery = forecastInterval, max(int(interval/forecastInterval), 1)
	}
	// Peers still get one report that the VM is now idle, before the rate drops.
	if !busy && now.Sub(f.lastBusy) > interval+roundInterval {
		interval = max(interval, idleInterval)
	}
	f.dropSent(now.Add(-time.Duration(fullEvery)*interval - 2*roundInterval))
	round := Round{ForwardToAll: viaHub}
	round.To, round.ForecastTo = f.nextPeers(now, to, interval, fullEvery)
	if len(round.To) == 0 {
		return round
	}
	for _, p := range f.placed {
		round.Placed = append(round.Placed, p.PromptPlaced)
	}
	for _, w := range f.workTimes {
		w.Age = now.Sub(w.readAt)
		round.WorkTimes = append(round.WorkTimes, w.WorkTime)
	}
	if !viaHub {
		round.Forwarded = f.forwardedLoads(now)
	}
	return round
}

// dropSent drops what has been reported to all peers.
func (f *Fanout) dropSent(before time.Time) {
	f.placed = slices.DeleteFunc(f.placed, func(p placedPrompt) bool { return p.placedAt.Before(before) })
	f.workTimes = slices.DeleteFunc(f.workTimes, func(w queuedWorkTime) bool { return w.queuedAt.Before(before) })
	for vm, load := range f.forwarded {
		if load.receivedAt.Before(before) {
			delete(f.forwarded, vm)
		}
	}
}

// forwardedLoads returns the loads to forward, sorted by VM.
func (f *Fanout) forwardedLoads(now time.Time) []shed.ForwardedLoad {
	var out []shed.ForwardedLoad
	for _, h := range f.forwarded {
		out = append(out, shed.ForwardedLoad{From: h.from, Age: now.Sub(h.receivedAt), Load: h.load})
	}
	slices.SortFunc(out, func(a, b shed.ForwardedLoad) int { return cmp.Compare(a.From.VM, b.From.VM) })
	return out
}

// nextPeers returns the VMs that are next in the round robin, if each is due once per interval.
// Each gets the full report once in fullEvery passes, different VMs in different passes.
func (f *Fanout) nextPeers(now time.Time, to []shed.VM, interval time.Duration, fullEvery int) (full, forecast []shed.VM) {
	elapsed := roundInterval
	if !f.lastRound.IsZero() {
		// A VM that was paused or is slow doesn't make up for missed rounds.
		elapsed = min(max(now.Sub(f.lastRound), 0), 2*roundInterval)
	}
	f.lastRound = now
	n := len(to)
	f.credit = min(f.credit+float64(n)*elapsed.Seconds()/interval.Seconds(), float64(n))
	k := int(f.credit)
	f.credit -= float64(k)
	if k == 0 {
		return nil, nil
	}
	first, found := slices.BinarySearch(to, f.lastPeer)
	if found {
		first++
	}
	for i := range k {
		at := (first + i) % n
		if at == 0 {
			f.passes++
		}
		if (f.passes+at)%fullEvery == 0 {
			full = append(full, to[at])
		} else {
			forecast = append(forecast, to[at])
		}
		f.lastPeer = to[at]
	}
	return full, forecast
}

// hubs returns the VMs that report to all others; none in a small fleet, where each one does.
func (f *Fanout) hubs(v View) []shed.VM {
	n := len(v.Peers) + 1
	if n <= maxDirect {
		return nil
	}
	out := rank.Owners("load", v.HighCapacity, max(usualMaxHubs, int(math.Ceil(math.Sqrt(float64(n))))))
	if len(out) < minHubs {
		others := slices.DeleteFunc(slices.Concat(v.Peers, []shed.VM{f.self}), func(vm shed.VM) bool {
			return slices.Contains(out, vm)
		})
		out = slices.Concat(out, rank.Owners("load", others, minHubs-len(out)))
	}
	return out
}

// peersPerRound is how many peers per round a VM reports to if it reports to all of them.
func peersPerRound(peers int) int {
	if peers < maxDirect {
		return directPerRound
	}
	return hubPerRound
}

// period is the time in which each of so many peers gets one report.
func period(peers, perRound int) time.Duration {
	return roundInterval * time.Duration(1+peers/perRound)
}

// MaxSilence is the maximum time between two load reports of a live VM at a peer, directly or
// through a hub, in a fleet with so many peers.
func MaxSilence(peers int) time.Duration {
	silence := max(idleInterval, period(peers, peersPerRound(peers)))
	if peers >= maxDirect {
		silence += hubInterval
	}
	return silence
}
