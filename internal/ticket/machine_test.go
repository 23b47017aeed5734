package ticket

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
)

// TestMain fixes rapid's seed and the number of runs unless they are given.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "2", "rapid.checks": "5000", "rapid.steps": "60"}
	flag.Visit(func(given *flag.Flag) { delete(fixed, given.Name) })
	for name, value := range fixed {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// process is one start of a VM's process; a dead one hears nothing.
type process struct {
	peer    shed.Peer
	table   *Table
	running []shed.RequestID
	stopped bool
}

// truth is what the oracle knows of one ticket.
type truth struct {
	runs    int
	finish  *shed.Finish
	at      *process
	expires time.Time
	// elsewhere: its home has died or moved it.
	elsewhere bool
}

// fleet is a few VMs with one process each, and the moves on their way.
type fleet struct {
	t       *rapid.T
	off     safeguards
	now     time.Time
	starts  shed.Incarnation
	vms     []*process
	moves   []shed.TicketMove
	ids     []shed.RequestID
	truths  map[shed.RequestID]*truth
	faults  []string
	serials byte
}

const fleetSize = 3

func newFleet(t *rapid.T, off safeguards) *fleet {
	f := &fleet{t: t, off: off, now: time.Unix(1_700_000_000, 0), truths: map[shed.RequestID]*truth{}}
	f.vms = make([]*process, fleetSize)
	for i := range f.vms {
		f.boot(i)
	}
	return f
}

func (f *fleet) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

func (f *fleet) boot(i int) {
	f.starts++
	peer := shed.Peer{VM: shed.VM(fmt.Sprintf("10.0.0.%d:7000", i+1)), Incarnation: f.starts}
	table := New(Config{Self: peer, MaxEntries: 6, Lifetime: 10 * time.Second, Retention: 5 * time.Second})
	table.off = f.off
	f.vms[i] = &process{peer: peer, table: table}
}

func (f *fleet) vm(label string) int { return rapid.IntRange(0, fleetSize-1).Draw(f.t, label) }

func (f *fleet) issue(*rapid.T) {
	p := f.vms[f.vm("home")]
	f.serials++
	id := NewID(p.peer, [16]byte{f.serials})
	before := p.table.Len()
	expires, err := p.table.Issue(f.now, id, "w", "publish")
	if err != nil {
		if !p.stopped && before < 6 {
			f.fault("refused a ticket with room: %v", err)
		}
		return
	}
	f.ids = append(f.ids, id)
	f.truths[id] = &truth{expires: expires}
}

// start repeats any ticket at any process, as a balancer would.
func (f *fleet) start(*rapid.T) {
	if len(f.ids) == 0 {
		return
	}
	id := rapid.SampledFrom(f.ids).Draw(f.t, "ticket")
	p := f.vms[f.vm("at")]
	ws := rapid.SampledFrom([]shed.WorkspaceID{"w", "w", "w", "thief"}).Draw(f.t, "workspace")
	f.judge(p, id, ws, p.table.Start(f.now, id, ws, "publish"))
}

func (f *fleet) judge(p *process, id shed.RequestID, ws shed.WorkspaceID, v Verdict) {
	tr := f.truths[id]
	if ws != "w" && v.Kind != VerdictMismatch && v.Kind != VerdictUnknown && v.Kind != VerdictMoved {
		f.fault("told a stranger: %d", v.Kind)
	}
	home, err := Home(id)
	if err != nil {
		f.fault("own id refused: %v", err)
	}
	fresh := tr.runs == 0 && !tr.elsewhere && f.now.Before(tr.expires)
	if ws == "w" && fresh && p.peer == home && v.Kind != VerdictRun {
		f.fault("a good ticket was refused: %d", v.Kind)
	}
	switch v.Kind {
	case VerdictRun:
		tr.runs++
		tr.at = p
		p.running = append(p.running, id)
		if tr.runs > 1 {
			f.fault("ran %d times", tr.runs)
		}
	case VerdictJoin:
		if tr.at != p || tr.finish != nil {
			f.fault("joined what does not run here")
		}
	case VerdictStored:
		if tr.finish == nil || tr.finish.RetryAfter != v.Finish.RetryAfter {
			f.fault("another answer than the first")
		}
	case VerdictExpired:
		if tr.runs > 0 {
			f.fault("said to be expired, but ran")
		}
	}
	if outcome, _ := v.Outcome(); outcome == shed.OutcomeNotRun && tr.runs > 0 {
		f.fault("not_run, but ran")
	}
}

func (f *fleet) finish(*rapid.T) {
	p := f.vms[f.vm("at")]
	if len(p.running) == 0 {
		return
	}
	id := p.running[0]
	p.running = p.running[1:]
	answer := shed.Finish{Request: id, Outcome: shed.OutcomeComplete, RetryAfter: time.Duration(len(f.ids))}
	if p.table.RecordFinish(f.now, id, answer) {
		f.truths[id].finish = &answer
	}
	second := shed.Finish{Request: id, Outcome: shed.OutcomeFailed, RetryAfter: -1}
	if p.table.RecordFinish(f.now, id, second) {
		f.fault("a second answer was stored")
	}
}

// crash replaces a process; its running requests may still have run.
func (f *fleet) crash(*rapid.T) {
	i := f.vm("victim")
	f.leave(f.vms[i])
	f.boot(i)
}

func (f *fleet) leave(p *process) {
	for _, id := range f.ids {
		if home, _ := Home(id); home == p.peer {
			f.truths[id].elsewhere = true
		}
	}
}

// stop moves a process's unused tickets; it lives on until it crashes.
func (f *fleet) stop(*rapid.T) {
	p, heir := f.vms[f.vm("leaver")], f.vms[f.vm("heir")]
	if p.stopped || p == heir {
		return
	}
	p.stopped = true
	f.leave(p)
	f.moves = append(f.moves, p.table.MoveAll(f.now, heir.peer))
}

// deliver brings a move, late or again, to whatever runs at a VM now; a move
// that is never drawn is lost.
func (f *fleet) deliver(*rapid.T) {
	if len(f.moves) == 0 {
		return
	}
	move := rapid.SampledFrom(f.moves).Draw(f.t, "move")
	to := slices.IndexFunc(f.vms, func(p *process) bool { return p.peer.VM == move.To.VM })
	if rapid.IntRange(0, 4).Draw(f.t, "astray") == 0 {
		to = f.vm("to")
	}
	f.vms[to].table.Adopt(f.now, move)
}

func (f *fleet) pass(*rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(f.t, "seconds")) * time.Second)
	for _, p := range f.vms {
		p.table.Expire(f.now)
		if p.table.Len() > 6 {
			f.fault("%d entries", p.table.Len())
		}
	}
}

func machine(off safeguards) func(*rapid.T) {
	return func(t *rapid.T) {
		f := newFleet(t, off)
		t.Repeat(map[string]func(*rapid.T){
			"issue":        f.issue,
			"start":        f.start,
			"start_more":   f.start,
			"finish":       f.finish,
			"crash":        f.crash,
			"stop":         f.stop,
			"deliver":      f.deliver,
			"deliver_more": f.deliver,
			"pass":         f.pass,
			"": func(t *rapid.T) {
				if len(f.faults) > 0 {
					t.Fatalf("%v", f.faults)
				}
			},
		})
	}
}

// A publication is repeated at any process while processes crash, restart,
// stop and hand their tickets over by messages that are lost, late, doubled or
// go astray. The caller may hear that the outcome is unknown, but the
// publication runs once at the most, since only one table ever may start it.
func TestEachTicketRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, machine(safeguards{}))
}

// recorder takes the failure of a check that is meant to fail.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }

// With any one safeguard off, some order of crashes, moves and repeats runs a
// publication twice, and the oracle must see it.
func TestOracleCatchesEachSafeguardOff(t *testing.T) {
	mutants := map[string]safeguards{
		"start twice":  {startTwice: true},
		"keep moved":   {keepMoved: true},
		"move running": {moveRunning: true},
		"any heir":     {anyHeir: true},
		"adopt twice":  {adoptTwice: true},
	}
	for name, value := range map[string]string{"rapid.shrinktime": "0s", "rapid.nofailfile": "true"} {
		before := flag.Lookup(name).Value.String()
		require.NoError(t, flag.Set(name, value))
		defer func() { _ = flag.Set(name, before) }()
	}
	for name, off := range mutants {
		t.Run(name, func(t *testing.T) {
			r := &recorder{TB: t}
			rapid.Check(r, machine(off))
			require.True(t, r.failed, "the oracle saw nothing")
		})
	}
}
