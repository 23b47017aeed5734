package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
)

// plannedFault is one fault at a given time, injected at one process.
type plannedFault struct {
	at    time.Duration
	fault int
	node  int
}

// plan is one random schedule of faults and changes of the rules.
type plan struct {
	seed   uint64
	cold   bool
	faults []plannedFault
	// rules are published separately, each at its own time.
	rules []plannedRules
}

type plannedRules struct {
	at      time.Duration
	out     int
	leaving int
}

func drawPlan(t *rapid.T) plan {
	p := plan{seed: rapid.Uint64Range(1, 1<<20).Draw(t, "seed"), cold: rapid.Bool().Draw(t, "cold")}
	at := rapid.IntRange(6000, 19000)
	for range rapid.IntRange(0, 5).Draw(t, "faults") {
		p.faults = append(p.faults, plannedFault{
			at:    time.Duration(at.Draw(t, "at")) * time.Millisecond,
			fault: rapid.IntRange(0, len(faults)-1).Draw(t, "fault"),
			node:  rapid.IntRange(0, len(zones)*perZone-1).Draw(t, "node"),
		})
	}
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		p.rules = append(p.rules, plannedRules{
			at:      time.Duration(at.Draw(t, "publish at")) * time.Millisecond,
			out:     rapid.IntRange(-1, len(zones)-1).Draw(t, "out"),
			leaving: rapid.IntRange(-1, 11).Draw(t, "leaving"),
		})
	}
	return p
}

func (p plan) run() *world {
	w := newFleetWorld(p.seed)
	s := script{
		requestInterval: 40 * time.Millisecond, ticketInterval: 150 * time.Millisecond,
		from: 6 * time.Second, to: 20 * time.Second, end: 45 * time.Second,
	}
	if p.cold {
		s.actions = coldScript().actions
	}
	for _, x := range p.faults {
		s.actions = append(s.actions, scheduledAction{x.at, func(w *world) {
			if n := w.nodes[x.node]; n.up {
				faults[x.fault].inject(w, n)
			}
		}})
	}
	for _, x := range p.rules {
		s.actions = append(s.actions, scheduledAction{x.at, func(w *world) { w.publish(x.ruleset(w)) }})
	}
	w.runScript(s)
	return w
}

func (x plannedRules) ruleset(w *world) ruleset {
	r := ruleset{out: map[shed.ZoneID]bool{}, leaving: map[shed.ServerID]bool{}}
	if x.out >= 0 {
		r.out[zones[x.out]] = true
	}
	if x.leaving >= 0 {
		r.leaving[w.servers[x.leaving].id] = true
	}
	return r
}

// bounds omits what cannot be bounded: a zone that is partitioned off from all other zones and
// from the platform cannot learn that it was taken out of service, and goes on working.
func (p plan) bounds() bounds {
	b := oneFaultBounds
	// Faults may follow one another, so that one begins as another ends.
	b.newWork = 5 * time.Second
	names := map[string]bool{}
	for _, x := range p.faults {
		names[faults[x.fault].name] = true
		if faults[x.fault].allowsLateAnswers {
			b.answerDelay = 0
		}
	}
	platform := names["zone cut off from platform"] || names["platform down"] || names["platform stale"]
	if names["zone cut off from zones"] && platform {
		b.newWork = 0
	}
	return b
}

// Guards against invariants that break only under some combination or order of faults and rule
// changes: up to five random faults and four random changes, at any time under load. Prints
// the number of steps.
func TestAnyFaultsAnyTime(t *testing.T) {
	steps, worlds := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(t)
		w := p.run()
		steps += w.steps
		worlds++
		require.Empty(t, w.checkInvariants(p.bounds()))
	})
	t.Logf("%d steps in %d worlds", steps, worlds)
}
