package proof

import (
	"time"

	shed "jasmineshed"
)

// fault is one thing that goes wrong, at one step, around one process.
type fault struct {
	name string
	do   func(w *world, n *node)
	// late: callers of a paused process may wait past their deadline, since
	// nothing answers in its place.
	late bool
}

// faults are all that the brief names.
var faults = []fault{
	{name: "kill", do: func(w *world, n *node) {
		n.kill()
		w.after(2*time.Second, func() { w.restart(n) })
	}},
	{name: "kill and quick return", do: func(w *world, n *node) {
		n.kill()
		w.after(50*time.Millisecond, func() { w.restart(n) })
	}},
	{name: "kill for good", do: func(_ *world, n *node) { n.kill() }},
	{name: "short freeze", late: true, do: func(_ *world, n *node) { n.freeze(1500*time.Millisecond, false) }},
	{name: "long freeze", late: true, do: func(_ *world, n *node) { n.freeze(9*time.Second, false) }},
	{name: "suspend", late: true, do: func(_ *world, n *node) { n.freeze(5*time.Second, true) }},
	{name: "cut off", do: func(w *world, n *node) { w.isolate(n, 4*time.Second, true, true) }},
	{name: "cut off outwards", do: func(w *world, n *node) { w.isolate(n, 4*time.Second, true, false) }},
	{name: "cut off inwards", do: func(w *world, n *node) { w.isolate(n, 4*time.Second, false, true) }},
	{name: "zone cut off from zones", do: func(w *world, n *node) {
		for _, z := range zones {
			if z != n.zone {
				w.between(string(n.zone), string(z), 6*time.Second)
			}
		}
	}},
	{name: "zone cut off from platform", do: func(w *world, n *node) {
		w.between(string(n.zone), "platform", 8*time.Second)
	}},
	{name: "platform down", do: func(w *world, _ *node) {
		w.plat.beDown(5 * time.Second)
	}},
	{name: "platform stale", do: func(w *world, _ *node) {
		w.plat.beStale(3 * time.Second)
	}},
	{name: "server cold", do: func(w *world, n *node) { w.drafter(n).restart() }},
	{name: "server down", do: func(w *world, n *node) {
		s := w.drafter(n)
		s.down = true
		w.after(3*time.Second, func() { s.down = false; s.restart() })
	}},
	{name: "server slow", do: func(w *world, n *node) {
		s := w.drafter(n)
		s.takes *= 8
		w.after(4*time.Second, func() { s.takes /= 8 })
	}},
	{name: "server silent to one", do: func(w *world, n *node) {
		w.between(string(n.vm), string(w.drafter(n).id), 4*time.Second)
	}},
	{name: "late, doubled and reordered", do: func(w *world, _ *node) {
		w.noise = true
		w.after(6*time.Second, func() { w.noise = false })
	}},
	{name: "planned stop", do: func(w *world, n *node) {
		if n.stop == nil {
			n.stopPlanned()
			w.after(6*time.Second, func() { w.restart(n) })
		}
	}},
}

// drafter is a busy server of the node's zone.
func (w *world) drafter(n *node) *server {
	return w.server(shed.ServerID("gen-" + string(n.zone) + "-1"))
}

// isolate cuts one VM off from all others and the platform.
func (w *world) isolate(n *node, d time.Duration, out, in bool) {
	others := []string{"platform"}
	for _, x := range w.nodes {
		if x != n {
			others = append(others, string(x.vm))
		}
	}
	for _, x := range others {
		if out {
			w.cut(string(n.vm), x)
		}
		if in {
			w.cut(x, string(n.vm))
		}
	}
	w.after(d, func() {
		for _, x := range others {
			w.heal(string(n.vm), x)
			w.heal(x, string(n.vm))
		}
	})
}

func (w *world) between(a, b string, d time.Duration) {
	w.cut(a, b)
	w.cut(b, a)
	w.after(d, func() {
		w.heal(a, b)
		w.heal(b, a)
	})
}
