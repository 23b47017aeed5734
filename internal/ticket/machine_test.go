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

// process is one start of a VM's process; a crashed one receives nothing.
type process struct {
	peer    shed.Peer
	table   *Table
	running []shed.RequestID
	stopped bool
}

// history is what the test oracle knows of a ticket.
type history struct {
	runs    int
	finish  *shed.Finish
	ranAt   *process
	expires time.Time
	// unavailable is set once the ticket's home has crashed or moved it.
	unavailable bool
}

// fleet is a few VMs with one process each, and the moves in flight.
type fleet struct {
	t               *rapid.T
	disabled        safeguards
	now             time.Time
	lastIncarnation shed.Incarnation
	vms             []*process
	moves           []shed.TicketMove
	ids             []shed.RequestID
	histories       map[shed.RequestID]*history
	failures        []string
	lastSerial      byte
}

const fleetSize = 3

func newFleet(t *rapid.T, off safeguards) *fleet {
	f := &fleet{t: t, disabled: off, now: time.Unix(1_700_000_000, 0), histories: map[shed.RequestID]*history{}}
	f.vms = make([]*process, fleetSize)
	for i := range f.vms {
		f.boot(i)
	}
	return f
}

func (f *fleet) failf(format string, args ...any) {
	f.failures = append(f.failures, fmt.Sprintf(format, args...))
}

func (f *fleet) boot(i int) {
	f.lastIncarnation++
	peer := shed.Peer{VM: shed.VM(fmt.Sprintf("10.0.0.%d:7000", i+1)), Incarnation: f.lastIncarnation}
	table := New(Config{Self: peer, MaxEntries: 6, Lifetime: 10 * time.Second, Retention: 5 * time.Second})
	table.disabled = f.disabled
	f.vms[i] = &process{peer: peer, table: table}
}

func (f *fleet) vm(label string) int { return rapid.IntRange(0, fleetSize-1).Draw(f.t, label) }

func (f *fleet) issue(*rapid.T) {
	p := f.vms[f.vm("home")]
	f.lastSerial++
	id := NewID(p.peer, [16]byte{f.lastSerial})
	before := p.table.Len()
	expires, err := p.table.Issue(f.now, id, "w", "publish")
	if err != nil {
		if !p.stopped && before < 6 {
			f.failf("ticket refused although the table isn't full: %v", err)
		}
		return
	}
	f.ids = append(f.ids, id)
	f.histories[id] = &history{expires: expires}
}

// start sends a request with any ticket to any process, as a load balancer would.
func (f *fleet) start(*rapid.T) {
	if len(f.ids) == 0 {
		return
	}
	id := rapid.SampledFrom(f.ids).Draw(f.t, "ticket")
	p := f.vms[f.vm("at")]
	ws := rapid.SampledFrom([]shed.WorkspaceID{"w", "w", "w", "thief"}).Draw(f.t, "workspace")
	f.checkVerdict(p, id, ws, p.table.Start(f.now, id, ws, "publish"))
}

func (f *fleet) checkVerdict(p *process, id shed.RequestID, ws shed.WorkspaceID, v Verdict) {
	tr := f.histories[id]
	if ws != "w" && v.Kind != VerdictMismatch && v.Kind != VerdictUnknown && v.Kind != VerdictMoved {
		f.failf("verdict %d disclosed to another workspace", v.Kind)
	}
	home, err := Home(id)
	if err != nil {
		f.failf("id of an issued ticket refused: %v", err)
	}
	fresh := tr.runs == 0 && !tr.unavailable && f.now.Before(tr.expires)
	if ws == "w" && fresh && p.peer == home && v.Kind != VerdictRun {
		f.failf("valid unused ticket refused: verdict %d", v.Kind)
	}
	switch v.Kind {
	case VerdictRun:
		tr.runs++
		tr.ranAt = p
		p.running = append(p.running, id)
		if tr.runs > 1 {
			f.failf("request ran %d times", tr.runs)
		}
	case VerdictJoin:
		if tr.ranAt != p || tr.finish != nil {
			f.failf("joined a request that isn't running here")
		}
	case VerdictStored:
		if tr.finish == nil || tr.finish.RetryAfter != v.Finish.RetryAfter {
			f.failf("stored answer differs from the first one")
		}
	case VerdictExpired:
		if tr.runs > 0 {
			f.failf("verdict expired, but the request ran")
		}
	}
	if outcome, _ := v.Outcome(); outcome == shed.OutcomeNotRun && tr.runs > 0 {
		f.failf("outcome not_run, but the request ran")
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
		f.histories[id].finish = &answer
	}
	second := shed.Finish{Request: id, Outcome: shed.OutcomeFailed, RetryAfter: -1}
	if p.table.RecordFinish(f.now, id, second) {
		f.failf("a second answer was stored")
	}
}

// crash replaces a process with a new one; its running requests may have had effects.
func (f *fleet) crash(*rapid.T) {
	i := f.vm("victim")
	f.markUnavailable(f.vms[i])
	f.boot(i)
}

func (f *fleet) markUnavailable(p *process) {
	for _, id := range f.ids {
		if home, _ := Home(id); home == p.peer {
			f.histories[id].unavailable = true
		}
	}
}

// stop moves a process's unused tickets; the process runs on until it crashes.
func (f *fleet) stop(*rapid.T) {
	p, successor := f.vms[f.vm("leaver")], f.vms[f.vm("successor")]
	if p.stopped || p == successor {
		return
	}
	p.stopped = true
	f.markUnavailable(p)
	f.moves = append(f.moves, p.table.MoveAll(f.now, successor.peer))
}

// deliver delivers a move, possibly late or repeatedly, to the current process of a VM; a move that
// is never drawn is lost.
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

func (f *fleet) advanceTime(*rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(f.t, "seconds")) * time.Second)
	for _, p := range f.vms {
		p.table.Expire(f.now)
		if p.table.Len() > 6 {
			f.failf("table has %d entries", p.table.Len())
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
			"pass":         f.advanceTime,
			"": func(t *rapid.T) {
				if len(f.failures) > 0 {
					t.Fatalf("%v", f.failures)
				}
			},
		})
	}
}

// Guards against running a non-idempotent request twice. It is retried at any process while
// processes crash, restart, stop and move their tickets by messages that are lost, late, duplicated
// or misdirected. The outcome may be reported as unknown, but only one table may ever start it.
func TestEachTicketRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, machine(safeguards{}))
}

// failureRecorder records the failure of a check that is expected to fail.
type failureRecorder struct {
	testing.TB
	failed bool
}

func (r *failureRecorder) Helper()               {}
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }

// With any one safeguard disabled, some order of crashes, moves and retries runs a request twice,
// and the oracle must detect it.
func TestOracleCatchesEachSafeguardOff(t *testing.T) {
	mutants := map[string]safeguards{
		"start twice":   {startTwice: true},
		"keep moved":    {keepMoved: true},
		"move running":  {moveRunning: true},
		"any successor": {anySuccessor: true},
		"adopt twice":   {adoptTwice: true},
	}
	for name, value := range map[string]string{"rapid.shrinktime": "0s", "rapid.nofailfile": "true"} {
		before := flag.Lookup(name).Value.String()
		require.NoError(t, flag.Set(name, value))
		defer func() { _ = flag.Set(name, before) }()
	}
	for name, off := range mutants {
		t.Run(name, func(t *testing.T) {
			r := &failureRecorder{TB: t}
			rapid.Check(r, machine(off))
			require.True(t, r.failed, "the oracle detected no fault")
		})
	}
}
