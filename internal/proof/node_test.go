package proof

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/core"
	"jasmineshed/internal/rules"
)

// node is one VM with the process that runs on it, if any. It takes the place of the drivers and
// performs the core's actions in the world.
type node struct {
	w    *world
	vm   shed.VM
	zone shed.ZoneID
	// generation changes with each start and kill; events scheduled by an earlier process are
	// dropped.
	generation int
	up         bool
	self       shed.Peer
	started    time.Time
	core       *core.Core
	ready      bool
	rev        shed.Revision
	stop       *plannedStop

	// frozen is set while the process is paused; its events wait in deferred until it resumes.
	frozen   bool
	deferred []func()
	// onDeath breaks the connections of callers whose requests the process has not accepted yet
	// when it dies.
	onDeath []func()
	// suspended is the time that the monotonic clock did not count.
	suspended time.Duration

	requests  map[shed.RequestID]*activeRequest
	calls     map[shed.Call]*outgoingCall
	forwarded map[shed.Call]*forwardedCall
}

// activeRequest is one request accepted by the process.
type activeRequest struct {
	arrival shed.RequestArrived
	payload string
	results map[shed.Call]string
	waiters []func(answer)
	final   *answer
}

// outgoingCall is one call in flight from this process.
type outgoingCall struct {
	ended bool
	// cancel notifies the remote side.
	cancel func()
	// replace ends the silent call that another one replaces.
	replace func()
}

// forwardedCall is one call that this process runs for a peer.
type forwardedCall struct {
	payload string
	// sendResult answers the peer, at most once.
	sendResult func(shed.CallEnded, string)
	// sendProgress reports progress to the peer.
	sendProgress func(shed.CallProgress)
	// sendSilence reports silence to the peer.
	sendSilence func(shed.CallSilent)
	ended       bool
}

func (n *node) labels() []string { return []string{string(n.zone), string(n.vm)} }

// after runs do on this process after d. It is deferred while the process is frozen and dropped
// if the process has ended by then.
func (n *node) after(d time.Duration, do func()) {
	generation := n.generation
	n.w.after(d, func() { n.runIfAlive(generation, do) })
}

func (n *node) runIfAlive(generation int, do func()) {
	switch {
	case !n.up || n.generation != generation:
	case n.frozen:
		n.deferred = append(n.deferred, func() { n.runIfAlive(generation, do) })
	default:
		do()
	}
}

// start runs a new process on the VM.
func (n *node) start(seeds []shed.VM) {
	n.generation++
	n.up, n.frozen, n.ready, n.stop, n.suspended = true, false, false, nil, 0
	n.started = n.w.now
	n.self = shed.Peer{VM: n.vm, Incarnation: shed.Incarnation(n.w.now.UnixNano())}
	n.requests = map[shed.RequestID]*activeRequest{}
	n.calls = map[shed.Call]*outgoingCall{}
	n.forwarded = map[shed.Call]*forwardedCall{}
	cfg := core.Config{
		Self: n.self, Zone: n.zone, Seeds: seeds, Compile: rules.Compile,
		Seed:   uint64(n.generation)*7919 + uint64(len(n.vm))*31 + uint64(n.vm[len(n.vm)-1]),
		Notice: time.Second, MaxDrain: 20 * time.Second,
	}
	if n.w.configure != nil {
		n.w.configure(&cfg)
	}
	c, err := core.New(cfg)
	if err != nil {
		panic(err)
	}
	n.core = c
	n.w.plat.updateVMList()
	n.tick()
}

func (n *node) tick() {
	n.handle(shed.Tick{Wall: n.w.now, Mono: n.w.now.Sub(n.started) - n.suspended})
	n.after(shed.TickEvery, n.tick)
}

// kill ends the process at once and breaks its connections.
func (n *node) kill() {
	if !n.up {
		return
	}
	n.up, n.ready = false, false
	if n.stop != nil && n.stop.ended.IsZero() {
		n.stop.killed = true
	}
	n.generation++
	for _, c := range sortedCalls(n.calls) {
		n.calls[c].end()
	}
	for _, c := range sortedCalls(n.forwarded) {
		n.forwarded[c].finish(shed.CallEnded{Call: c, End: shed.EndBroken, Reason: shed.ReasonBroken}, "")
	}
	for _, id := range sortedRequests(n.requests) {
		r := n.requests[id]
		if r.final == nil {
			r.notify(answer{})
		}
	}
	for _, notify := range n.onDeath {
		notify()
	}
	n.onDeath, n.deferred = nil, nil
	n.w.plat.updateVMList()
}

// freeze pauses the process. With suspend its monotonic clock stops too.
func (n *node) freeze(d time.Duration, suspend bool) {
	if !n.up || n.frozen {
		return
	}
	n.frozen = true
	generation := n.generation
	n.w.after(d, func() {
		if n.generation != generation || !n.up {
			return
		}
		n.frozen = false
		if suspend {
			n.suspended += d
		}
		deferred := n.deferred
		n.deferred = nil
		for _, do := range deferred {
			do()
		}
	})
}

// handle passes an event to the core and performs the actions that it returns.
func (n *node) handle(ev shed.Event) {
	if isEventStep(ev) {
		n.w.step(n)
	}
	generation := n.generation
	n.runIfAlive(generation, func() {
		n.w.printTrace(n, "event", ev)
		for _, act := range n.core.Handle(n.w.now, ev) {
			n.perform(act, generation)
		}
	})
}

// perform performs one action, unless the process has ended by then.
func (n *node) perform(act shed.Action, generation int) {
	if isActionStep(act) {
		n.w.step(n)
	}
	n.runIfAlive(generation, func() {
		n.w.printTrace(n, "action", act)
		switch a := act.(type) {
		case shed.StartCall:
			n.startCall(a)
		case shed.ForwardStage:
			n.forwardStage(a)
		case shed.ForwardRequest:
			n.forwardRequest(a, 1, true)
		case shed.CancelCall:
			n.cancelCall(a.Call, a.Reason)
		case shed.RefuseStage:
			n.refuseStage(a)
		case shed.StageDone:
			n.stageDone(a.Call)
		case shed.Finish:
			n.finish(a)
		default:
			n.performLocal(act)
		}
	})
}

func (n *node) performLocal(act shed.Action) {
	w := n.w
	switch a := act.(type) {
	case shed.SendPeer:
		n.send(a)
	case shed.ReadConfig:
		w.plat.readConfig(n, a)
	case shed.ReadVMs:
		if w.plat.down || !w.canReach(n.labels(), []string{"platform"}) {
			n.after(2*time.Second, func() { n.handle(shed.VMsRead{Failed: true}) })
			return
		}
		n.after(2*w.networkDelay(), func() { n.handle(shed.VMsRead{VMs: w.plat.listVMs()}) })
	case shed.PollServer:
		n.poll(w.server(a.Server))
	case shed.RulesInForce:
		n.rev = a.Rules.Revision
		n.recordRevision()
	case shed.SetReady:
		n.ready = a.Ready
		n.recordRevision()
	case shed.Exit:
		n.exit()
	}
}

// recordRevision records the revision in force. A process that is not ready serves no callers,
// so its revision is not in force yet.
func (n *node) recordRevision() {
	if n.ready {
		n.w.activations = append(n.w.activations, activation{
			vm: n.vm, inc: n.self.Incarnation, rev: n.rev, at: n.w.now, zone: n.zone,
		})
	}
}

func (n *node) poll(s *server) {
	if s.down || s.isPaused() || !n.w.canReach(n.labels(), s.labels()) {
		n.after(time.Second, func() { n.handle(shed.ServerSilent{Server: s.id}) })
		return
	}
	report := s.report()
	n.after(2*n.w.networkDelay(), func() { n.handle(shed.LoadReported{Server: s.id, Report: report}) })
}

// send delivers a control message, which may be lost, late or duplicated.
func (n *node) send(a shed.SendPeer) {
	to := n.w.node(a.To)
	if to == nil || !n.w.canReach(n.labels(), to.labels()) {
		return
	}
	from := n.self
	deliver := func() { to.handle(shed.PeerMessage{From: from, Message: a.Message}) }
	copies := 1
	if n.w.noise && n.w.rng.IntN(8) == 0 {
		copies = 2
	}
	for range copies {
		if to.up {
			to.after(n.w.networkDelay()+n.w.noiseDelay(), deliver)
		}
	}
}

// exit ends a planned stop. Callers that still wait lose their connection and are counted.
func (n *node) exit() {
	if n.stop != nil {
		n.stop.ended = n.w.now
		for _, r := range n.requests {
			if r.final == nil {
				n.stop.abortedCallers += len(r.waiters)
			}
		}
	}
	n.kill()
}

// stopGracefully requests a planned stop, as an operator does before replacing a VM.
func (n *node) stopGracefully() {
	if !n.up {
		return
	}
	if n.stop != nil {
		n.handle(shed.StopRequested{})
		return
	}
	n.stop = &plannedStop{vm: n.vm, inc: n.self.Incarnation, requested: n.w.now}
	n.w.stops = append(n.w.stops, *n.stop)
	i := len(n.w.stops) - 1
	n.handle(shed.StopRequested{})
	// Updates the journal's copy until the process has ended.
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

// isEventStep reports whether an event counts as a step: events of requests, configurations,
// tickets and stops do, periodic ticks, probes and load reports do not.
func isEventStep(ev shed.Event) bool {
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

func isActionStep(act shed.Action) bool {
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
