package slots

import (
	"fmt"
	"math/rand/v2"
	"time"

	shed "jasmineshed"
)

// Bounds of the simulation; the tables get Settle and MaxCallDuration from them.
const (
	detectBound = 2 * time.Second
	maxFlight   = 300 * time.Millisecond
	longestCall = 2 * time.Second
	step        = 100 * time.Millisecond
)

var serverIDs = []shed.ServerID{"s1", "s2"}

// simulatedZone is a zone in which the views of the processes follow the true state with random
// delays, and which counts the calls that the servers run.
type simulatedZone struct {
	now       time.Time
	rng       *rand.Rand
	off       safeguards
	procs     []*proc
	capacity  map[shed.ServerID]int
	calls     []*serverCall
	messages  []message
	callCount int
	peak      map[shed.ServerID]int
	sent      int
}

type proc struct {
	vm               shed.VM
	table            *Table
	boot             uint64
	partition        int // processes of one partition reach one another
	up               bool
	leaving          bool
	frozenUntil      time.Time
	unconfirmedUntil time.Time // the view is unconfirmed until then
	inView           map[shed.VM]bool
	leavingBoot      map[shed.VM]uint64 // boot that was reported as leaving
	exitedAt         time.Time
	viewChangeAt     map[shed.VM]time.Time // when the view follows the true state
}

type serverCall struct {
	call      shed.Call
	server    shed.ServerID
	sender    *proc
	boot      uint64
	arrivesAt time.Time // arrival at the server
	endsAt    time.Time // end at the server
	breaksAt  time.Time // when the connection breaks; zero if never
	released  bool
}

type message struct {
	to        shed.VM
	deliverAt time.Time
	partition int
	ev        shed.Event
}

func newSimulatedZone(seed uint64, procs, capacity int, off safeguards) *simulatedZone {
	w := &simulatedZone{
		now:      time.Unix(1000, 0),
		rng:      rand.New(rand.NewPCG(seed, 7)),
		off:      off,
		capacity: map[shed.ServerID]int{"s1": capacity, "s2": 1},
		peak:     map[shed.ServerID]int{},
	}
	for i := range procs {
		p := &proc{vm: shed.VM(fmt.Sprintf("10.0.0.%d:1", i+1))}
		w.procs = append(w.procs, p)
		w.start(p)
	}
	return w
}

func (w *simulatedZone) start(p *proc) {
	if p.up {
		return
	}
	p.boot++
	p.up, p.leaving, p.frozenUntil = true, false, time.Time{}
	p.unconfirmedUntil = w.now.Add(w.randomUpTo(time.Second))
	p.inView, p.leavingBoot, p.viewChangeAt = map[shed.VM]bool{p.vm: true}, map[shed.VM]uint64{}, map[shed.VM]time.Time{}
	p.table = New(Config{
		Self:            p.vm,
		Settle:          2*detectBound + maxFlight,
		MaxCallDuration: longestCall,
		MaxSendDelay:    maxFlight,
		MaxTickGap:      3 * step,
	})
	p.table.disabled = w.off
	known := []*shed.Server{}
	for _, id := range serverIDs {
		known = append(known, &shed.Server{ID: id, ColdCapacity: w.capacity[id], Capacity: 9})
	}
	p.table.SetServers(w.now, known)
}

func (w *simulatedZone) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d) + 1))
}

func (w *simulatedZone) isRunning(p *proc) bool { return p.up && !w.now.Before(p.frozenUntil) }

// isReachable reports whether p would see q now if its view had no delay.
func (w *simulatedZone) isReachable(p, q *proc) bool {
	return p == q && !p.leaving || p != q && w.isRunning(q) && !q.leaving && p.partition == q.partition
}

// advance simulates one step.
func (w *simulatedZone) advance() {
	w.now = w.now.Add(step)
	w.endCalls()
	w.deliver()
	for _, p := range w.procs {
		if !w.isRunning(p) {
			continue
		}
		if w.rng.IntN(2) == 0 {
			w.sendCalls(p) // after a pause, calls may be sent before the first tick
		}
		w.updateView(p)
		w.perform(p, p.table.Handle(w.now, shed.Tick{Wall: w.now}))
		w.sendCalls(p)
	}
	w.countRunning()
}

// updateView lets p's view of each peer follow the true state, each with its own delay.
func (w *simulatedZone) updateView(p *proc) {
	hash := uint64(14695981039346656037)
	var view, known []shed.VM
	for _, q := range w.procs {
		switch at, late := p.viewChangeAt[q.vm]; {
		case w.isReachable(p, q) == p.inView[q.vm]:
			delete(p.viewChangeAt, q.vm)
		case p != q && !late:
			p.viewChangeAt[q.vm] = w.now.Add(w.randomUpTo(detectBound - 2*step))
		case !w.now.Before(at) || w.now.Before(p.unconfirmedUntil):
			p.inView[q.vm] = !p.inView[q.vm]
			if w.isRunning(q) && q.leaving && p.partition == q.partition {
				p.leavingBoot[q.vm] = q.boot
			}
			delete(p.viewChangeAt, q.vm)
		}
		if p.inView[q.vm] {
			view = append(view, q.vm)
			hash = (hash ^ (q.boot + uint64(q.vm[7])<<8)) * 1099511628211
		}
		if p.inView[q.vm] || !w.knowsLeaving(p, q) {
			known = append(known, q.vm)
		}
	}
	p.table.SetKnown(w.now, known)
	w.perform(p, p.table.SetView(w.now, view, hash, w.now.Before(p.unconfirmedUntil)))
}

// knowsLeaving reports whether p knows that the process on q is leaving. That this process has
// gone, so that a new one may run there, p detects late.
func (w *simulatedZone) knowsLeaving(p, q *proc) bool {
	if p.leavingBoot[q.vm] != q.boot || !q.up {
		return p.leavingBoot[q.vm] != 0 && w.now.Before(q.exitedAt.Add(detectBound))
	}
	return true
}

// kill ends the process; its calls continue on the servers.
func (w *simulatedZone) kill(p *proc) {
	if p.up {
		p.up, p.exitedAt = false, w.now
	}
}

func (w *simulatedZone) perform(p *proc, actions []shed.Action) {
	for _, a := range actions {
		send, ok := a.(shed.SendPeer)
		for range w.rng.IntN(3) { // lost, delivered once, or duplicated
			if ok {
				ev := shed.PeerMessage{From: shed.Peer{VM: p.vm}, Message: send.Message}
				w.messages = append(w.messages, message{send.To, w.now.Add(w.randomUpTo(2 * time.Second)), p.partition, ev})
			}
		}
	}
}

func (w *simulatedZone) deliver() {
	var later []message
	for _, m := range w.messages {
		for _, p := range w.procs {
			switch {
			case p.vm != m.to || !p.up:
			case w.now.Before(m.deliverAt) || !w.isRunning(p):
				later = append(later, m)
			case p.partition == m.partition || m.partition < 0:
				w.perform(p, p.table.Handle(w.now, m.ev))
			}
		}
	}
	w.messages = later
}

// sendCalls sends as many calls as the table allows.
func (w *simulatedZone) sendCalls(p *proc) {
	for _, server := range serverIDs {
		w.callCount++
		call := shed.Call{Request: shed.RequestID(fmt.Sprint(w.callCount))}
		if w.rng.IntN(2) == 0 || !p.table.Take(w.now, server, call).OK() {
			continue
		}
		w.sent++
		from := w.now.Add(w.randomUpTo(maxFlight))
		r := &serverCall{call: call, server: server, sender: p, boot: p.boot, arrivesAt: from, endsAt: from.Add(w.randomUpTo(longestCall))}
		if w.rng.IntN(4) == 0 {
			r.breaksAt = w.now.Add(w.randomUpTo(longestCall))
		}
		w.calls = append(w.calls, r)
	}
}

func (w *simulatedZone) endCalls() {
	var live []*serverCall
	for _, r := range w.calls {
		known := w.isRunning(r.sender) && r.sender.boot == r.boot && !r.released
		switch {
		case known && !r.breaksAt.IsZero() && !w.now.Before(r.breaksAt):
			r.released = true
			end := []shed.CallEnd{shed.EndBroken, shed.EndCancelled}[w.rng.IntN(2)]
			w.perform(r.sender, r.sender.table.Release(w.now, r.call, end))
		case known && !w.now.Before(r.endsAt):
			r.released = true
			w.perform(r.sender, r.sender.table.Release(w.now, r.call, shed.EndComplete))
		}
		if w.now.Before(r.endsAt) || !r.released && r.sender.up && r.sender.boot == r.boot {
			live = append(live, r)
		}
	}
	w.calls = live
}

// countRunning records for the oracle how many calls each server runs at once.
func (w *simulatedZone) countRunning() {
	n := map[shed.ServerID]int{}
	for _, r := range w.calls {
		if !w.now.Before(r.arrivesAt) && w.now.Before(r.endsAt) {
			n[r.server]++
		}
	}
	for _, id := range serverIDs {
		w.peak[id] = max(w.peak[id], n[id])
		if w.now.UnixMilli()%500 != 0 {
			continue
		}
		for _, p := range w.procs {
			report := shed.LoadReport{Boot: "b", Running: n[id]}
			w.messages = append(w.messages, message{p.vm, w.now.Add(step), -1, shed.LoadReported{Server: id, Report: report}})
		}
	}
}

// checkCapacity returns an error for a server that ran more calls than its capacity.
func (w *simulatedZone) checkCapacity() error {
	for _, id := range serverIDs {
		if w.peak[id] > w.capacity[id] {
			return fmt.Errorf("%s ran %d concurrent calls, capacity is %d", id, w.peak[id], w.capacity[id])
		}
	}
	return nil
}

// applyFault starts or ends one fault.
func (w *simulatedZone) applyFault(kind, who, n int) {
	p := w.procs[who%len(w.procs)]
	switch kind {
	case 0: // one process is partitioned off, or rejoins
		p.partition = n % 2
	case 1: // a partition of several processes
		for i, q := range w.procs {
			q.partition = n >> i & 1
		}
	case 2:
		for _, q := range w.procs {
			q.partition = 0
		}
	case 3:
		p.frozenUntil = w.now.Add(time.Duration(n%80) * step)
		p.unconfirmedUntil = p.frozenUntil.Add(w.randomUpTo(time.Second))
	case 4:
		w.kill(p)
	case 5:
		w.start(p)
	case 6: // the whole zone restarts
		for _, q := range w.procs {
			w.kill(q)
			w.start(q)
		}
	case 7:
		p.leaving = true
	}
}
