package proof

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"
	"strings"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/core"
	"jasmineshed/internal/rules"
)

// The small fleet of the tests: three zones with two VMs each.
var (
	zones       = []shed.ZoneID{"a", "b", "c"}
	requestedBy = "; proof"
	stages      = map[shed.PipelineID][]shed.StageID{
		"caption": {"embed", "write"},
		"warning": {"embed", "write", "publish"},
	}
)

const (
	perZone  = 2
	deadline = 6 * time.Second
)

// ruleset is the part of the operators' rules that changes during a script.
type ruleset struct {
	out     map[shed.ZoneID]bool
	leaving map[shed.ServerID]bool
}

// text returns the rules file.
func (r ruleset) text(servers []*server) []byte {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+" "+requestedBy+"\n", args...) }
	b.WriteString("[zones]\n")
	for _, z := range zones {
		line("%s = region north, out %s", z, yesNo(r.out[z]))
	}
	b.WriteString("[suppliers]\n")
	line("noord = leaving no")
	b.WriteString("[pools]\n")
	line("enc = kind encode, unit 1")
	line("gen = kind rerank, unit 1")
	line("pub = kind service, unit 1")
	b.WriteString("[servers]\n")
	for i, s := range servers {
		line("%s = pool %s, zone %s, supplier noord, url http://127.0.0.1:%d, capacity %d, cold_bears %d, leaving %s",
			s.id, strings.SplitN(string(s.id), "-", 2)[0], s.zone, 21000+i, s.capacity, s.coldCapacity, yesNo(r.leaving[s.id]))
	}
	b.WriteString("[pipelines]\n")
	line("caption = deadline 6s, stages embed write")
	line("warning = deadline 6s, stages embed write publish")
	b.WriteString("[stages]\n")
	for _, p := range []string{"caption", "warning"} {
		line("%s/embed = kind encode, pool enc, minimum 1ms", p)
		line("%s/write = kind rerank, pool gen, minimum 1ms", p)
	}
	line("warning/publish = kind service, pool pub, minimum 1ms, idempotent no")
	b.WriteString("[workspaces]\n")
	sum := sha256.Sum256([]byte("demo-w"))
	line("w = share 1, token_sha256 %s", hex.EncodeToString(sum[:]))
	b.WriteString("[limits]\n")
	line("weight_loads = 3")
	return []byte(b.String())
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// newFleetWorld returns a world with the small fleet, started and warm.
func newFleetWorld(seed uint64) *world { return newConfiguredWorld(seed, nil) }

// newConfiguredWorld returns the same with changed daemons.
func newConfiguredWorld(seed uint64, configure func(*core.Config)) *world {
	w := newWorld(seed)
	w.configure = configure
	for _, z := range zones {
		w.addServer(z, "enc", 1, 12, 2, 20*time.Millisecond)
		w.addServer(z, "gen", 2, 10, 2, 80*time.Millisecond)
		w.addServer(z, "pub", 1, 8, 2, 20*time.Millisecond)
	}
	w.publish(ruleset{})
	var seeds []shed.VM
	for i, z := range zones {
		for j := range perZone {
			vm := shed.VM(fmt.Sprintf("127.0.%d.%d:7401", i+1, j+1))
			w.nodes = append(w.nodes, &node{w: w, vm: vm, zone: z})
			seeds = append(seeds, vm)
		}
	}
	for _, n := range w.nodes {
		n.start(seeds)
	}
	return w
}

func (w *world) addServer(z shed.ZoneID, pool string, n, capacity, coldCapacity int, duration time.Duration) {
	for i := range n {
		s := &server{
			world: w, id: shed.ServerID(fmt.Sprintf("%s-%s-%d", pool, z, i+1)), zone: z,
			capacity: capacity, coldCapacity: coldCapacity, duration: duration,
			running: map[shed.Call]*runningCall{}, completed: 1000, completedCold: 1000,
		}
		w.servers = append(w.servers, s)
	}
}

// publish publishes an operator's change of the rules.
func (w *world) publish(r ruleset) {
	if w.plat.down {
		// The operator's tool retries until the platform accepts it.
		w.after(100*time.Millisecond, func() { w.publish(r) })
		return
	}
	index, parts := rules.Pack(r.text(w.servers))
	rev := shed.Revision(len(w.plat.values) + 1)
	parsed, err := rules.ParseIndex(rev, index)
	if err != nil {
		panic(err)
	}
	w.plat.publish(value{index: parsed, parts: parts}, change{rev: rev, out: r.out, leaving: r.leaving})
}

// pickReadyNode picks a random VM that reports ready, as the platform's balancer does.
func (w *world) pickReadyNode(exclude shed.VM) *node {
	var ready []*node
	for _, n := range w.nodes {
		if n.up && n.ready && n.vm != exclude {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[w.rng.IntN(len(ready))]
}

// sendIdempotent sends an idempotent request through the balancer.
func (w *world) sendIdempotent(i int) {
	n := w.pickReadyNode("")
	if n == nil {
		return
	}
	w.send(n, shed.RequestID(fmt.Sprintf("r%d", i)), "caption", false, 0)
}

// sendNonIdempotent sends a request that must run at most once, and retries it through another
// VM before the first one can have ended.
func (w *world) sendNonIdempotent(i int) {
	n := w.pickReadyNode("")
	if n == nil || n.frozen {
		return
	}
	var random [16]byte
	copy(random[:], fmt.Sprintf("%016d", i))
	t, refused := n.core.Issue(w.now, "w", "warning", random)
	if refused != nil {
		return
	}
	w.after(3*time.Millisecond, func() { w.sendTicketed(t.ID, 3) })
	w.after(time.Duration(20+w.rng.IntN(200))*time.Millisecond, func() { w.sendTicketed(t.ID, 0) })
}

// sendTicketed sends a ticketed request through the balancer.
func (w *world) sendTicketed(id shed.RequestID, retries int) {
	if n := w.pickReadyNode(""); n != nil {
		w.send(n, id, "warning", true, retries)
	}
}

func (w *world) send(n *node, id shed.RequestID, p shed.PipelineID, ticketed bool, retries int) {
	a := &callerRequest{request: id, pipeline: p, input: "in", vm: n.vm, at: w.now}
	w.callerRequests = append(w.callerRequests, a)
	ev := shed.RequestArrived{
		Request: id, Ticketed: ticketed, Workspace: "w", Pipeline: p,
		Deadline: w.now.Add(deadline), Prefix: uint64(len(w.callerRequests)), InputTokens: 4,
	}
	reply := func(ans answer) {
		w.after(w.networkDelay(), func() {
			if ans.outcome == 0 {
				a.broken = true
				if retries > 0 {
					w.after(100*time.Millisecond, func() { w.sendTicketed(id, retries-1) })
				}
				return
			}
			ans.at = w.now
			a.answers = append(a.answers, ans)
		})
	}
	generation := n.generation
	w.after(w.networkDelay(), func() {
		if !n.up || n.generation != generation {
			reply(answer{})
			return
		}
		n.receive(generation, reply, func() { n.handleRequest(ev, a.input, reply) })
	})
}

// script is the schedule of one world: what operators and callers do after its start.
type script struct {
	// requestInterval is the time between two requests, ticketInterval between two tickets.
	requestInterval, ticketInterval time.Duration
	from, to                        time.Duration
	actions                         []scheduledAction
	end                             time.Duration
}

// scheduledAction is one action of operators, or one event such as a server restart.
type scheduledAction struct {
	at time.Duration
	do func(w *world)
}

// defaultScript takes a zone out of service and back, sets a server leaving, restarts two servers
// cold, and stops and restarts a VM, all under load.
func defaultScript() script {
	return script{
		requestInterval: 50 * time.Millisecond, ticketInterval: 170 * time.Millisecond,
		from: 6 * time.Second, to: 20 * time.Second, end: 30 * time.Second,
		actions: []scheduledAction{
			{7 * time.Second, func(w *world) { w.publish(ruleset{out: map[shed.ZoneID]bool{"b": true}}) }},
			{11500 * time.Millisecond, func(w *world) { w.publish(ruleset{}) }},
			{12 * time.Second, func(w *world) { w.server("gen-c-1").restart() }},
			{13 * time.Second, func(w *world) {
				w.publish(ruleset{leaving: map[shed.ServerID]bool{"gen-a-1": true}})
			}},
			{14 * time.Second, func(w *world) { w.nodes[1].stopGracefully() }},
			{17 * time.Second, func(w *world) { w.restart(w.nodes[1]) }},
			{18 * time.Second, func(w *world) { w.server("enc-b-1").restart() }},
		},
	}
}

// coldScript turns servers cold one after the other, while a VM is replaced in each zone in turn,
// so that slots move between daemons all the time.
func coldScript() script {
	s := script{
		requestInterval: 25 * time.Millisecond, ticketInterval: 400 * time.Millisecond,
		from: 6 * time.Second, to: 24 * time.Second, end: 40 * time.Second,
	}
	for i := range 36 {
		at := 6*time.Second + time.Duration(i)*500*time.Millisecond
		s.actions = append(s.actions, scheduledAction{at, func(w *world) { w.servers[i*5%len(w.servers)].restart() }})
	}
	for i := range 4 {
		at := 8*time.Second + time.Duration(i)*4*time.Second
		s.actions = append(s.actions,
			scheduledAction{at, func(w *world) { w.nodes[i*2%len(w.nodes)].kill() }},
			scheduledAction{at + 1500*time.Millisecond, func(w *world) { w.restart(w.nodes[i*2%len(w.nodes)]) }})
	}
	return s
}

// restart starts a new process on the VM, if none runs there.
func (w *world) restart(n *node) {
	if n.up {
		return
	}
	var seeds []shed.VM
	for _, other := range w.nodes {
		if other != n {
			seeds = append(seeds, other.vm)
		}
	}
	n.start(seeds)
}

// runScript runs the script to its end.
func (w *world) runScript(s script) {
	for _, a := range s.actions {
		w.after(a.at, func() { a.do(w) })
	}
	i := 0
	for at := s.from; at < s.to; at += s.requestInterval {
		k := i
		w.after(at, func() { w.sendIdempotent(k) })
		i++
	}
	for at := s.from; at < s.to; at += s.ticketInterval {
		k := i
		w.after(at, func() { w.sendNonIdempotent(k) })
		i++
	}
	w.runUntil(epoch.Add(s.end))
}

// expectedResult returns the only complete answer to a request.
func expectedResult(id shed.RequestID, p shed.PipelineID, in string) string {
	for _, st := range stages[p] {
		in = stageResult(id, st, in)
	}
	return in
}

// countOutcomes counts the answers by outcome.
func (j *journal) countOutcomes() map[string]int {
	out := map[string]int{}
	for _, a := range j.callerRequests {
		switch {
		case a.broken:
			out["broken"]++
		case len(a.answers) == 0:
			out["none"]++
		default:
			out[a.answers[0].outcome.String()+" "+string(a.answers[0].reason)]++
		}
	}
	return out
}

func sortedKeys(m map[string]int) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
