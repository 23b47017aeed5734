package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	shed "jasmineshed"
	"jasmineshed/internal/member"
)

// network connects groups in memory under virtual time.
type network struct {
	now   time.Time
	rng   *rand.Rand
	nodes []*node
	byVM  map[shed.VM]*node
	queue queue
	// isPartitioned reports whether messages from one node to another are lost.
	isPartitioned func(from, to *node) bool
	list          []shed.VMEntry
	bytes         int
	countBytes    bool // whether to count the bytes that the first zone sends
	notes         map[shed.Reason]int
	// cfg is the configuration of each group except its identity. If it is set, only the seeds are
	// known at first, as on a platform without a list.
	cfg *member.Config
	// handleOther receives all messages too, for components other than membership; nil if there are
	// none.
	handleOther func(n *node, ev shed.PeerMessage) []shed.Action
}

type node struct {
	*member.Group
	self shed.Peer
	zone shed.ZoneID
	up   bool
	// The node is frozen until frozenUntil. clockStopped is how long its monotonic clock stands
	// still meanwhile, clockOffset how far it lags behind after earlier freezes.
	frozenUntil  time.Time
	clockStopped time.Duration
	clockOffset  time.Duration
}

type delivery struct {
	at   time.Time
	n    int
	from shed.Peer
	to   shed.VM
	msg  shed.Message
}

type queue []delivery

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newNetwork starts zones of the given sizes. The platform's list has all VMs.
func newNetwork(seed uint64, sizes ...int) *network {
	w := &network{
		now:           time.Unix(1_800_000_000, 0),
		rng:           rand.New(rand.NewPCG(seed, 3)),
		byVM:          map[shed.VM]*node{},
		isPartitioned: func(_, _ *node) bool { return false },
		notes:         map[shed.Reason]int{},
	}
	for z, size := range sizes {
		zone := shed.ZoneID(fmt.Sprintf("nl-west-%c", 'a'+z))
		for i := range size {
			vm := shed.VM(fmt.Sprintf("10.%d.%d.%d:7400", z, i/200, i%200))
			w.list = append(w.list, shed.VMEntry{VM: vm, Zone: zone})
			n := &node{zone: zone, self: shed.Peer{VM: vm}}
			w.nodes = append(w.nodes, n)
			w.byVM[vm] = n
			w.start(n)
		}
	}
	return w
}

func (w *network) start(n *node) {
	n.up, n.frozenUntil = true, time.Time{}
	n.self.Incarnation = shed.Incarnation(w.now.UnixNano() + int64(w.rng.IntN(1e6)))
	cfg := member.Config{Seeds: []shed.VM{w.list[0].VM}}
	if w.cfg != nil {
		cfg = *w.cfg
	}
	cfg.Self, cfg.Zone, cfg.Seed = n.self, n.zone, w.rng.Uint64()
	n.Group = member.New(cfg)
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		next := w.now.Add(shed.TickEvery)
		for len(w.queue) > 0 && w.queue[0].at.Before(next) {
			l := heap.Pop(&w.queue).(delivery)
			w.now = l.at
			to := w.byVM[l.to]
			from := w.byVM[l.from.VM]
			if to != nil && to.up && !w.isPartitioned(from, to) {
				w.handle(to, shed.PeerMessage{From: l.from, Message: l.msg})
			}
		}
		w.now = next
		for _, n := range w.nodes {
			if !n.up {
				continue
			}
			w.handle(n, shed.Tick{Wall: w.now, Mono: time.Duration(w.now.UnixNano()) - n.clockOffset})
		}
	}
}

func (w *network) handle(n *node, ev shed.Event) {
	if w.now.Before(n.frozenUntil) {
		return // messages are lost meanwhile, the hardest case
	}
	n.clockOffset, n.clockStopped = n.clockOffset+n.clockStopped, 0
	if m, ok := ev.(shed.PeerMessage); ok && w.handleOther != nil {
		w.perform(n, w.handleOther(n, m))
	}
	w.perform(n, n.Handle(w.now, ev))
}

func (w *network) perform(n *node, actions []shed.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case shed.SendPeer:
			w.send(n, a)
		case shed.ReadVMs:
			if w.cfg != nil {
				continue
			}
			w.perform(n, n.Handle(w.now, shed.VMsRead{VMs: w.list}))
		case shed.Note:
			w.notes[a.Reason]++
		}
	}
}

func (w *network) send(n *node, a shed.SendPeer) {
	if w.countBytes && n.zone == zoneA {
		b, err := cbor.Marshal(a.Message)
		if err != nil {
			panic(err)
		}
		w.bytes += len(b)
	}
	delay := time.Millisecond + time.Duration(w.rng.Int64N(int64(9*time.Millisecond)))
	heap.Push(&w.queue, delivery{at: w.now.Add(delay), n: w.rng.Int(), from: n.self, to: a.To, msg: a.Message})
}

// agree reports whether all running nodes of z see exactly these nodes.
func (w *network) agree(z shed.ZoneID) bool {
	var hash uint64
	running := 0
	for _, n := range w.nodes {
		if n.zone == z && n.up {
			running++
		}
	}
	for _, n := range w.nodes {
		if n.zone != z || !n.up {
			continue
		}
		v := n.View()
		if len(v.Zone(z)) != running || hash != 0 && v.Hash(z) != hash {
			return false
		}
		hash = v.Hash(z)
	}
	return true
}

// until runs until ok returns true and returns the time that took, or false after limit.
func (w *network) until(limit time.Duration, ok func() bool) (time.Duration, bool) {
	from := w.now
	for !ok() {
		if w.now.Sub(from) > limit {
			return limit, false
		}
		w.run(shed.TickEvery)
	}
	return w.now.Sub(from), true
}

// freeze pauses the node; with suspend its monotonic clock stands still too.
func (w *network) freeze(n *node, d time.Duration, suspend bool) {
	n.frozenUntil = w.now.Add(d)
	if suspend {
		n.clockStopped = d
	}
}
