package proof

import (
	"time"

	shed "jasmineshed"
)

// fault is one kind of failure, injected at one step at or near one process.
type fault struct {
	name   string
	inject func(w *world, n *node)
	// allowsLateAnswers is set for faults that pause a process: its callers may wait past
	// their deadline, since no other process answers for it.
	allowsLateAnswers bool
}

// faults holds all kinds of faults that the daemons must survive. Random plans draw by index,
// so the order must not change.
var faults = []fault{
	{name: "kill", inject: func(w *world, n *node) {
		n.kill()
		w.after(2*time.Second, func() { w.restart(n) })
	}},
	{name: "kill and quick return", inject: func(w *world, n *node) {
		n.kill()
		w.after(50*time.Millisecond, func() { w.restart(n) })
	}},
	{name: "kill for good", inject: func(_ *world, n *node) { n.kill() }},
	{name: "short freeze", allowsLateAnswers: true, inject: func(_ *world, n *node) { n.freeze(1500*time.Millisecond, false) }},
	{name: "long freeze", allowsLateAnswers: true, inject: func(_ *world, n *node) { n.freeze(9*time.Second, false) }},
	{name: "suspend", allowsLateAnswers: true, inject: func(_ *world, n *node) { n.freeze(5*time.Second, true) }},
	{name: "cut off", inject: func(w *world, n *node) { w.isolate(n, 4*time.Second, true, true) }},
	{name: "cut off outwards", inject: func(w *world, n *node) { w.isolate(n, 4*time.Second, true, false) }},
	{name: "cut off inwards", inject: func(w *world, n *node) { w.isolate(n, 4*time.Second, false, true) }},
	{name: "zone cut off from zones", inject: func(w *world, n *node) {
		for _, z := range zones {
			if z != n.zone {
				w.partition(string(n.zone), string(z), 6*time.Second)
			}
		}
	}},
	{name: "zone cut off from platform", inject: func(w *world, n *node) {
		w.partition(string(n.zone), "platform", 8*time.Second)
	}},
	{name: "platform down", inject: func(w *world, _ *node) {
		w.plat.startOutage(5 * time.Second)
	}},
	{name: "platform stale", inject: func(w *world, _ *node) {
		w.plat.startStale(3 * time.Second)
	}},
	{name: "server cold", inject: func(w *world, n *node) { w.genServer(n).restart() }},
	{name: "server down", inject: func(w *world, n *node) {
		s := w.genServer(n)
		s.down = true
		w.after(3*time.Second, func() { s.down = false; s.restart() })
	}},
	{name: "server slow", inject: func(w *world, n *node) {
		s := w.genServer(n)
		s.duration *= 8
		w.after(4*time.Second, func() { s.duration /= 8 })
	}},
	{name: "server silent to one", inject: func(w *world, n *node) {
		w.partition(string(n.vm), string(w.genServer(n).id), 4*time.Second)
	}},
	{name: "late, doubled and reordered", inject: func(w *world, _ *node) {
		w.noise = true
		w.after(6*time.Second, func() { w.noise = false })
	}},
	{name: "planned stop", inject: func(w *world, n *node) {
		if n.stop == nil {
			n.stopGracefully()
			w.after(6*time.Second, func() { w.restart(n) })
		}
	}},
	{name: "server pauses", inject: func(w *world, n *node) { w.genServer(n).pause(3 * time.Second) }},
}

// genServer returns a server under load in the node's zone.
func (w *world) genServer(n *node) *server {
	return w.server(shed.ServerID("gen-" + string(n.zone) + "-1"))
}

// isolate partitions one VM off from all others and from the platform, in the given directions.
func (w *world) isolate(n *node, d time.Duration, out, in bool) {
	others := []string{"platform"}
	for _, x := range w.nodes {
		if x != n {
			others = append(others, string(x.vm))
		}
	}
	for _, x := range others {
		if out {
			w.block(string(n.vm), x)
		}
		if in {
			w.block(x, string(n.vm))
		}
	}
	w.after(d, func() {
		for _, x := range others {
			w.unblock(string(n.vm), x)
			w.unblock(x, string(n.vm))
		}
	})
}

func (w *world) partition(a, b string, d time.Duration) {
	w.block(a, b)
	w.block(b, a)
	w.after(d, func() {
		w.unblock(a, b)
		w.unblock(b, a)
	})
}
