package slots

import (
	"fmt"
	"math/rand/v2"
	"time"

	shed "jasmineshed"
)

// The world's own bounds, which the tables are told as Settle and MaxCallDuration.
const (
	detect  = 2 * time.Second
	flight  = 300 * time.Millisecond
	longest = 2 * time.Second
	step    = 100 * time.Millisecond
)

var servers = []shed.ServerID{"s1", "s2"}

// world is a zone in which the views of the processes follow the truth late
// and out of step, and the servers count what they run.
type world struct {
	now   time.Time
	rng   *rand.Rand
	off   safeguards
	procs []*proc
	bears map[shed.ServerID]int
	calls []*running
	mail  []mail
	calln int
	peak  map[shed.ServerID]int
	used  int
}

type proc struct {
	vm     shed.VM
	table  *Table
	boot   uint64
	part   int // processes of one part reach one another
	up     bool
	left   bool
	frozen time.Time // until when
	unsure time.Time // until when the view is unconfirmed
	sees   map[shed.VM]bool
	gone   map[shed.VM]uint64 // boot that was heard to be leaving
	exit   time.Time
	flips  map[shed.VM]time.Time // when the view follows the truth
}

type running struct {
	call   shed.Call
	server shed.ServerID
	by     *proc
	boot   uint64
	from   time.Time // arrival at the server
	to     time.Time // end at the server
	broken time.Time // when the connection breaks; zero: never
	told   bool
}

type mail struct {
	to   shed.VM
	at   time.Time
	part int
	ev   shed.Event
}

func newWorld(seed uint64, procs, bears int, off safeguards) *world {
	w := &world{
		now:   time.Unix(1000, 0),
		rng:   rand.New(rand.NewPCG(seed, 7)),
		off:   off,
		bears: map[shed.ServerID]int{"s1": bears, "s2": 1},
		peak:  map[shed.ServerID]int{},
	}
	for i := range procs {
		p := &proc{vm: shed.VM(fmt.Sprintf("10.0.0.%d:1", i+1))}
		w.procs = append(w.procs, p)
		w.start(p)
	}
	return w
}

func (w *world) start(p *proc) {
	if p.up {
		return
	}
	p.boot++
	p.up, p.left, p.frozen = true, false, time.Time{}
	p.unsure = w.now.Add(w.upTo(time.Second))
	p.sees, p.gone, p.flips = map[shed.VM]bool{p.vm: true}, map[shed.VM]uint64{}, map[shed.VM]time.Time{}
	p.table = New(Config{
		Self:            p.vm,
		Settle:          2*detect + flight,
		MaxCallDuration: longest,
		MaxSendDelay:    flight,
		MaxTickGap:      3 * step,
	})
	p.table.off = w.off
	known := []*shed.Server{}
	for _, id := range servers {
		known = append(known, &shed.Server{ID: id, ColdCapacity: w.bears[id], Capacity: 9})
	}
	p.table.SetServers(w.now, known)
}

func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d) + 1))
}

func (w *world) runs(p *proc) bool { return p.up && !w.now.Before(p.frozen) }

// truth tells whether p could see q now, if it were not late.
func (w *world) truth(p, q *proc) bool {
	return p == q && !p.left || p != q && w.runs(q) && !q.left && p.part == q.part
}

// advance lets one step pass.
func (w *world) advance() {
	w.now = w.now.Add(step)
	w.endCalls()
	w.deliver()
	for _, p := range w.procs {
		if !w.runs(p) {
			continue
		}
		if w.rng.IntN(2) == 0 {
			w.load(p) // after a pause this comes before the first tick
		}
		w.look(p)
		w.act(p, p.table.Handle(w.now, shed.Tick{Wall: w.now}))
		w.load(p)
	}
	w.count()
}

// look lets the view of p follow the truth, each peer by itself and late.
func (w *world) look(p *proc) {
	hash := uint64(14695981039346656037)
	var view, known []shed.VM
	for _, q := range w.procs {
		switch at, late := p.flips[q.vm]; {
		case w.truth(p, q) == p.sees[q.vm]:
			delete(p.flips, q.vm)
		case p != q && !late:
			p.flips[q.vm] = w.now.Add(w.upTo(detect - 2*step))
		case !w.now.Before(at) || w.now.Before(p.unsure):
			p.sees[q.vm] = !p.sees[q.vm]
			if w.runs(q) && q.left && p.part == q.part {
				p.gone[q.vm] = q.boot
			}
			delete(p.flips, q.vm)
		}
		if p.sees[q.vm] {
			view = append(view, q.vm)
			hash = (hash ^ (q.boot + uint64(q.vm[7])<<8)) * 1099511628211
		}
		if p.sees[q.vm] || !w.leaving(p, q) {
			known = append(known, q.vm)
		}
	}
	p.table.SetKnown(w.now, known)
	w.act(p, p.table.SetView(w.now, view, hash, w.now.Before(p.unsure)))
}

// leaving tells whether p knows that the process on q is leaving; that it has
// gone, so that a new one may be there, p notices late.
func (w *world) leaving(p, q *proc) bool {
	if p.gone[q.vm] != q.boot || !q.up {
		return p.gone[q.vm] != 0 && w.now.Before(q.exit.Add(detect))
	}
	return true
}

// kill ends the process; its calls run on at the servers.
func (w *world) kill(p *proc) {
	if p.up {
		p.up, p.exit = false, w.now
	}
}

func (w *world) act(p *proc, actions []shed.Action) {
	for _, a := range actions {
		send, ok := a.(shed.SendPeer)
		for range w.rng.IntN(3) { // lost, once or doubled
			if ok {
				ev := shed.PeerMessage{From: shed.Peer{VM: p.vm}, Message: send.Message}
				w.mail = append(w.mail, mail{send.To, w.now.Add(w.upTo(2 * time.Second)), p.part, ev})
			}
		}
	}
}

func (w *world) deliver() {
	var later []mail
	for _, m := range w.mail {
		for _, p := range w.procs {
			switch {
			case p.vm != m.to || !p.up:
			case w.now.Before(m.at) || !w.runs(p):
				later = append(later, m)
			case p.part == m.part || m.part < 0:
				w.act(p, p.table.Handle(w.now, m.ev))
			}
		}
	}
	w.mail = later
}

// load sends as much as the table allows.
func (w *world) load(p *proc) {
	for _, server := range servers {
		w.calln++
		call := shed.Call{Request: shed.RequestID(fmt.Sprint(w.calln))}
		if w.rng.IntN(2) == 0 || !p.table.Take(w.now, server, call).OK() {
			continue
		}
		w.used++
		from := w.now.Add(w.upTo(flight))
		r := &running{call: call, server: server, by: p, boot: p.boot, from: from, to: from.Add(w.upTo(longest))}
		if w.rng.IntN(4) == 0 {
			r.broken = w.now.Add(w.upTo(longest))
		}
		w.calls = append(w.calls, r)
	}
}

func (w *world) endCalls() {
	var live []*running
	for _, r := range w.calls {
		known := w.runs(r.by) && r.by.boot == r.boot && !r.told
		switch {
		case known && !r.broken.IsZero() && !w.now.Before(r.broken):
			r.told = true
			end := []shed.CallEnd{shed.EndBroken, shed.EndCancelled}[w.rng.IntN(2)]
			w.act(r.by, r.by.table.Release(w.now, r.call, end))
		case known && !w.now.Before(r.to):
			r.told = true
			w.act(r.by, r.by.table.Release(w.now, r.call, shed.EndComplete))
		}
		if w.now.Before(r.to) || !r.told && r.by.up && r.by.boot == r.boot {
			live = append(live, r)
		}
	}
	w.calls = live
}

// count is the oracle's eye: what each server runs at once.
func (w *world) count() {
	n := map[shed.ServerID]int{}
	for _, r := range w.calls {
		if !w.now.Before(r.from) && w.now.Before(r.to) {
			n[r.server]++
		}
	}
	for _, id := range servers {
		w.peak[id] = max(w.peak[id], n[id])
		if w.now.UnixMilli()%500 != 0 {
			continue
		}
		for _, p := range w.procs {
			report := shed.LoadReport{Boot: "b", Running: n[id]}
			w.mail = append(w.mail, mail{p.vm, w.now.Add(step), -1, shed.LoadReported{Server: id, Report: report}})
		}
	}
}

// overshoot names a server that ran more calls than it bears.
func (w *world) overshoot() error {
	for _, id := range servers {
		if w.peak[id] > w.bears[id] {
			return fmt.Errorf("%s ran %d calls at once and bears %d", id, w.peak[id], w.bears[id])
		}
	}
	return nil
}

// fault brings about one fault or mends one.
func (w *world) fault(kind, who, n int) {
	p := w.procs[who%len(w.procs)]
	switch kind {
	case 0: // a split, or its mending
		p.part = n % 2
	case 1: // a part of several
		for i, q := range w.procs {
			q.part = n >> i & 1
		}
	case 2:
		for _, q := range w.procs {
			q.part = 0
		}
	case 3:
		p.frozen = w.now.Add(time.Duration(n%80) * step)
		p.unsure = p.frozen.Add(w.upTo(time.Second))
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
		p.left = true
	}
}
