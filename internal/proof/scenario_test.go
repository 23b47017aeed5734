package proof

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"
	"strings"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rules"
)

// The small fleet of the proofs: three zones with two VMs each.
var (
	zones  = []shed.ZoneID{"a", "b", "c"}
	asked  = "; proof"
	stages = map[shed.PipelineID][]shed.StageID{
		"caption": {"embed", "write"},
		"warning": {"embed", "write", "publish"},
	}
)

const (
	perZone  = 2
	deadline = 6 * time.Second
)

// ruleset is what the operators' rules say at one time.
type ruleset struct {
	out     map[shed.ZoneID]bool
	leaving map[shed.ServerID]bool
}

// text of the rules file.
func (r ruleset) text(servers []*server) []byte {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+" "+asked+"\n", args...) }
	b.WriteString("[zones]\n")
	for _, z := range zones {
		line("%s = region north, out %s", z, yes(r.out[z]))
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
			s.id, strings.SplitN(string(s.id), "-", 2)[0], s.zone, 21000+i, s.capacity, s.bears, yes(r.leaving[s.id]))
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

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// fleetWorld is a world with the small fleet in it, started and warm.
func fleetWorld(seed uint64) *world {
	w := newWorld(seed)
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

func (w *world) addServer(z shed.ZoneID, pool string, n, capacity, bears int, takes time.Duration) {
	for i := range n {
		s := &server{
			world: w, id: shed.ServerID(fmt.Sprintf("%s-%s-%d", pool, z, i+1)), zone: z,
			capacity: capacity, bears: bears, takes: takes,
			running: map[shed.Call]*serving{}, done: 1000, doneCold: 1000,
		}
		w.servers = append(w.servers, s)
	}
}

// publish is an operator's change of the rules.
func (w *world) publish(r ruleset) {
	if w.plat.down {
		// The operator's tool tries again until the platform takes it.
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

// balancer picks a VM that says it is ready, as the platform's would.
func (w *world) balancer(not shed.VM) *node {
	var ready []*node
	for _, n := range w.nodes {
		if n.up && n.ready && n.vm != not {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[w.rng.IntN(len(ready))]
}

// request sends an idempotent request by the balancer.
func (w *world) request(i int) {
	n := w.balancer("")
	if n == nil {
		return
	}
	w.send(n, shed.RequestID(fmt.Sprintf("r%d", i)), "caption", false, 0)
}

// warn sends a request that must run at most once, and repeats it by another
// VM before the first one can have ended.
func (w *world) warn(i int) {
	n := w.balancer("")
	if n == nil || n.frozen {
		return
	}
	var random [16]byte
	copy(random[:], fmt.Sprintf("%016d", i))
	t, refused := n.core.Issue(w.now, "w", "warning", random)
	if refused != nil {
		return
	}
	w.after(3*time.Millisecond, func() { w.repeat(t.ID, 3) })
	w.after(time.Duration(20+w.rng.IntN(200))*time.Millisecond, func() { w.repeat(t.ID, 0) })
}

// repeat sends a ticketed request by the balancer.
func (w *world) repeat(id shed.RequestID, more int) {
	if n := w.balancer(""); n != nil {
		w.send(n, id, "warning", true, more)
	}
}

func (w *world) send(n *node, id shed.RequestID, p shed.PipelineID, ticketed bool, more int) {
	a := &ask{request: id, pipeline: p, input: "in", vm: n.vm, at: w.now}
	w.asked = append(w.asked, a)
	ev := shed.RequestArrived{
		Request: id, Ticketed: ticketed, Workspace: "w", Pipeline: p,
		Deadline: w.now.Add(deadline), Prefix: uint64(len(w.asked)), InputTokens: 4,
	}
	reply := func(ans answer) {
		w.after(w.travel(), func() {
			if ans.outcome == 0 {
				a.broken = true
				if more > 0 {
					w.after(100*time.Millisecond, func() { w.repeat(id, more-1) })
				}
				return
			}
			ans.at = w.now
			a.answers = append(a.answers, ans)
		})
	}
	life := n.life
	w.after(w.travel(), func() {
		if !n.up || n.life != life {
			reply(answer{})
			return
		}
		n.takeIn(life, reply, func() { n.arrive(ev, a.input, reply) })
	})
}

// script is one story: what operators and callers do, from start on.
type script struct {
	// load is the time between two requests, and warnings between two tickets.
	load, warnings time.Duration
	from, to       time.Duration
	acts           []act
	end            time.Duration
}

// act is one thing that operators, or fate, do.
type act struct {
	at time.Duration
	do func(w *world)
}

// story has a zone taken out and brought back, a server leaving, a server that
// turns cold, a planned stop and the VM's return, under load all the time.
func story() script {
	return script{
		load: 50 * time.Millisecond, warnings: 170 * time.Millisecond,
		from: 6 * time.Second, to: 20 * time.Second, end: 30 * time.Second,
		acts: []act{
			{7 * time.Second, func(w *world) { w.publish(ruleset{out: map[shed.ZoneID]bool{"b": true}}) }},
			{11500 * time.Millisecond, func(w *world) { w.publish(ruleset{}) }},
			{12 * time.Second, func(w *world) { w.server("gen-c-1").restart() }},
			{13 * time.Second, func(w *world) {
				w.publish(ruleset{leaving: map[shed.ServerID]bool{"gen-a-1": true}})
			}},
			{14 * time.Second, func(w *world) { w.nodes[1].stopPlanned() }},
			{17 * time.Second, func(w *world) { w.restart(w.nodes[1]) }},
			{18 * time.Second, func(w *world) { w.server("enc-b-1").restart() }},
		},
	}
}

// coldStory has servers that turn cold one after the other, while a VM is
// replaced in each zone in turn: slots change hands all the time.
func coldStory() script {
	s := script{
		load: 25 * time.Millisecond, warnings: 400 * time.Millisecond,
		from: 6 * time.Second, to: 24 * time.Second, end: 40 * time.Second,
	}
	for i := range 36 {
		at := 6*time.Second + time.Duration(i)*500*time.Millisecond
		s.acts = append(s.acts, act{at, func(w *world) { w.servers[i*5%len(w.servers)].restart() }})
	}
	for i := range 4 {
		at := 8*time.Second + time.Duration(i)*4*time.Second
		s.acts = append(s.acts,
			act{at, func(w *world) { w.nodes[i*2%len(w.nodes)].kill() }},
			act{at + 1500*time.Millisecond, func(w *world) { w.restart(w.nodes[i*2%len(w.nodes)]) }})
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

// play runs the script to its end.
func (w *world) play(s script) {
	for _, a := range s.acts {
		w.after(a.at, func() { a.do(w) })
	}
	i := 0
	for at := s.from; at < s.to; at += s.load {
		k := i
		w.after(at, func() { w.request(k) })
		i++
	}
	for at := s.from; at < s.to; at += s.warnings {
		k := i
		w.after(at, func() { w.warn(k) })
		i++
	}
	w.runUntil(epoch.Add(s.end))
}

// expected is the one whole answer to a request.
func expected(id shed.RequestID, p shed.PipelineID, in string) string {
	for _, st := range stages[p] {
		in = resultOf(id, st, in)
	}
	return in
}

// tally counts the answers by outcome.
func (j *journal) tally() map[string]int {
	out := map[string]int{}
	for _, a := range j.asked {
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
