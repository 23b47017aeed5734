package proof

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/core"
	"jasmineshed/internal/rules"
)

// node is one VM with the process that runs on it, if any. It stands for the
// drivers: it performs the core's actions in the world.
type node struct {
	w    *world
	vm   shed.VM
	zone shed.ZoneID
	// life counts the processes; what an ended one had scheduled is dropped.
	life    int
	up      bool
	self    shed.Peer
	started time.Time
	core    *core.Core
	ready   bool
	rev     shed.Revision
	stop    *plannedStop

	// frozen keeps what comes in for when the process wakes up.
	frozen bool
	held   []func()
	// lost tells callers whose requests the process never took in, if it dies.
	lost []func()
	// slept is what the monotonic clock did not count.
	slept time.Duration

	runs   map[shed.RequestID]*run
	calls  map[shed.Call]*calling
	guests map[shed.Call]*guest
}

// run is one request accepted by the process.
type run struct {
	ask     shed.RequestArrived
	payload string
	results map[shed.Call]string
	waiters []func(answer)
	final   *answer
}

// calling is one call under way from this process.
type calling struct {
	over bool
	// cancel tells the far side.
	cancel func()
}

// guest is one call that this process runs for a peer.
type guest struct {
	payload string
	// end answers the peer; at most once.
	end func(shed.CallEnded, string)
	// told passes progress on.
	told func(shed.CallProgress)
	over bool
}

func (n *node) labels() []string { return []string{string(n.zone), string(n.vm)} }

// at runs do on this process after d; held while it is frozen, dropped if the
// process has ended by then.
func (n *node) at(d time.Duration, do func()) {
	life := n.life
	n.w.after(d, func() { n.now(life, do) })
}

func (n *node) now(life int, do func()) {
	switch {
	case !n.up || n.life != life:
	case n.frozen:
		n.held = append(n.held, func() { n.now(life, do) })
	default:
		do()
	}
}

// start runs a new process on the VM.
func (n *node) start(seeds []shed.VM) {
	n.life++
	n.up, n.frozen, n.ready, n.stop, n.slept = true, false, false, nil, 0
	n.started = n.w.now
	n.self = shed.Peer{VM: n.vm, Incarnation: shed.Incarnation(n.w.now.UnixNano())}
	n.runs = map[shed.RequestID]*run{}
	n.calls = map[shed.Call]*calling{}
	n.guests = map[shed.Call]*guest{}
	cfg := core.Config{
		Self: n.self, Zone: n.zone, Seeds: seeds, Compile: rules.Compile,
		Seed:   uint64(n.life)*7919 + uint64(len(n.vm))*31 + uint64(n.vm[len(n.vm)-1]),
		Notice: time.Second, MaxDrain: 20 * time.Second,
	}
	if n.w.tune != nil {
		n.w.tune(&cfg)
	}
	c, err := core.New(cfg)
	if err != nil {
		panic(err)
	}
	n.core = c
	n.w.plat.relist()
	n.tick()
}

func (n *node) tick() {
	n.handle(shed.Tick{Wall: n.w.now, Mono: n.w.now.Sub(n.started) - n.slept})
	n.at(shed.TickEvery, n.tick)
}

// kill ends the process at once; its connections break.
func (n *node) kill() {
	if !n.up {
		return
	}
	n.up, n.ready = false, false
	if n.stop != nil && n.stop.ended.IsZero() {
		n.stop.killed = true
	}
	n.life++
	for _, c := range sortedCalls(n.calls) {
		n.calls[c].end()
	}
	for _, c := range sortedCalls(n.guests) {
		n.guests[c].answer(shed.CallEnded{Call: c, End: shed.EndBroken, Reason: shed.ReasonBroken}, "")
	}
	for _, id := range sortedRuns(n.runs) {
		r := n.runs[id]
		if r.final == nil {
			r.tell(answer{})
		}
	}
	for _, tell := range n.lost {
		tell()
	}
	n.lost, n.held = nil, nil
	n.w.plat.relist()
}

// freeze pauses the process; with suspend its monotonic clock stands still.
func (n *node) freeze(d time.Duration, suspend bool) {
	if !n.up || n.frozen {
		return
	}
	n.frozen = true
	life := n.life
	n.w.after(d, func() {
		if n.life != life || !n.up {
			return
		}
		n.frozen = false
		if suspend {
			n.slept += d
		}
		held := n.held
		n.held = nil
		for _, do := range held {
			do()
		}
	})
}

// handle takes an event to the core and performs what comes back.
func (n *node) handle(ev shed.Event) {
	if interesting(ev) {
		n.w.step(n)
	}
	life := n.life
	n.now(life, func() {
		n.w.show(n, "event", ev)
		for _, act := range n.core.Handle(n.w.now, ev) {
			n.perform(act, life)
		}
	})
}

// perform does one action, or none if the process was stopped before it.
func (n *node) perform(act shed.Action, life int) {
	if notable(act) {
		n.w.step(n)
	}
	n.now(life, func() {
		n.w.show(n, "action", act)
		switch a := act.(type) {
		case shed.StartCall:
			n.startCall(a)
		case shed.ForwardStage:
			n.handStage(a)
		case shed.ForwardRequest:
			n.handRequest(a, 1)
		case shed.CancelCall:
			n.cancelCall(a.Call)
		case shed.RefuseStage:
			n.refuseStage(a)
		case shed.StageDone:
			n.stageDone(a.Call)
		case shed.Finish:
			n.finish(a)
		default:
			n.performOwn(act)
		}
	})
}

func (n *node) performOwn(act shed.Action) {
	w := n.w
	switch a := act.(type) {
	case shed.SendPeer:
		n.send(a)
	case shed.ReadConfig:
		w.plat.readConfig(n, a)
	case shed.ReadVMs:
		if w.plat.down || !w.reach(n.labels(), []string{"platform"}) {
			n.at(2*time.Second, func() { n.handle(shed.VMsRead{Failed: true}) })
			return
		}
		n.at(2*w.travel(), func() { n.handle(shed.VMsRead{VMs: w.plat.listed()}) })
	case shed.PollServer:
		n.poll(w.server(a.Server))
	case shed.RulesInForce:
		n.rev = a.Rules.Revision
		n.noteRevision()
	case shed.SetReady:
		n.ready = a.SetReady
		n.noteRevision()
	case shed.Exit:
		n.exit()
	}
}

// noteRevision records what is in force. A process that is not ready serves
// nobody, so what it holds is not in force yet.
func (n *node) noteRevision() {
	if n.ready {
		n.w.inForce = append(n.w.inForce, inForce{
			vm: n.vm, inc: n.self.Incarnation, rev: n.rev, at: n.w.now, zone: n.zone,
		})
	}
}

func (n *node) poll(s *server) {
	if s.down || !n.w.reach(n.labels(), s.labels()) {
		n.at(time.Second, func() { n.handle(shed.ServerSilent{Server: s.id}) })
		return
	}
	report := s.report()
	n.at(2*n.w.travel(), func() { n.handle(shed.LoadReported{Server: s.id, Report: report}) })
}

// send carries a control message; it may be lost, late or doubled.
func (n *node) send(a shed.SendPeer) {
	to := n.w.node(a.To)
	if to == nil || !n.w.reach(n.labels(), to.labels()) {
		return
	}
	from := n.self
	deliver := func() { to.handle(shed.PeerMessage{From: from, Message: a.Message}) }
	times := 1
	if n.w.noise && n.w.rng.IntN(8) == 0 {
		times = 2
	}
	for range times {
		if to.up {
			to.at(n.w.travel()+n.w.lag(), deliver)
		}
	}
}

// exit is the end of a planned stop. What still waits is cut off.
func (n *node) exit() {
	if n.stop != nil {
		n.stop.ended = n.w.now
		for _, r := range n.runs {
			if r.final == nil {
				n.stop.cut += len(r.waiters)
			}
		}
	}
	n.kill()
}

// stopPlanned is what an operator does before replacing a VM.
func (n *node) stopPlanned() {
	if !n.up {
		return
	}
	if n.stop != nil {
		n.handle(shed.StopRequested{})
		return
	}
	n.stop = &plannedStop{vm: n.vm, inc: n.self.Incarnation, asked: n.w.now}
	n.w.stops = append(n.w.stops, *n.stop)
	i := len(n.w.stops) - 1
	n.handle(shed.StopRequested{})
	// The journal's copy is brought up to date when the process ends.
	stop := n.stop
	var watch func()
	watch = func() {
		n.w.stops[i] = *stop
		if stop.ended.IsZero() && !stop.killed {
			n.w.after(100*time.Millisecond, watch)
		}
	}
	watch()
}

// interesting events are the steps of requests, configurations, tickets and
// stops; the steady beat of ticks and probes is not.
func interesting(ev shed.Event) bool {
	switch e := ev.(type) {
	case shed.Tick, shed.LoadReported, shed.VMsRead:
		return false
	case shed.PeerMessage:
		switch e.Message.(type) {
		case shed.Probe, shed.ProbeAck, shed.LoadDigest, shed.ConfigDigest:
			return false
		}
	}
	return true
}

func notable(act shed.Action) bool {
	switch a := act.(type) {
	case shed.PollServer, shed.ReadVMs, shed.Note:
		return false
	case shed.SendPeer:
		switch a.Message.(type) {
		case shed.Probe, shed.ProbeAck, shed.LoadDigest, shed.ConfigDigest:
			return false
		}
	}
	return true
}
