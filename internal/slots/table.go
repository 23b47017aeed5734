// Package slots shares out what a cold backend server bears among the daemons
// of its zone, with no message on the path of a request.
//
// A server that bears n calls at once has n slots. Slot i belongs to the daemon
// that a rendezvous hash ranks first among those alive. Each daemon works this
// out from its own view; as views change out of step, a daemon that gains a
// slot waits until the loser can't use it any more. docs/design/cold.md has the
// argument why the sum over all daemons never passes n.
package slots

import (
	"fmt"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

// Config sets up a Table.
type Config struct {
	Self shed.VM
	// Settle is the longest time for which a daemon may still start calls on a
	// view that this one has given up: twice the time in which a death, a cut
	// or its end is noticed, plus Flight. Twice, since a cut that ends before
	// one side has noticed it is noticed as ended by the other side as late.
	Settle time.Duration
	// LongestCall is the longest time that a call can run on a server after
	// its arrival there, by any rules; see SetLongest. Deadlines that travel
	// with the call enforce it.
	LongestCall time.Duration
	// Flight is the longest time from a decision to the call's arrival.
	Flight time.Duration
	// TickGap is the longest time without a Tick for which slots still count.
	TickGap time.Duration
	// ReleaseEvery is how often releases are sent again, since they may be
	// lost; ReleaseUpTo is the largest zone in which they are sent at all.
	ReleaseEvery time.Duration
	ReleaseUpTo  int
}

// Defaults for what a Config leaves at 0.
const (
	DefaultSettle       = 18 * time.Second
	DefaultLongestCall  = 8 * time.Second
	DefaultFlight       = 2 * time.Second
	DefaultTickGap      = time.Second
	DefaultReleaseEvery = 2 * time.Second
	DefaultReleaseUpTo  = 12
)

// Table is one daemon's share of the slots of its zone's servers.
type Table struct {
	cfg Config
	// disabled removes safeguards; only tests set it.
	disabled safeguards

	view []shed.VM // sorted
	hash uint64
	// known are the zone's VMs that may be alive, seen or not.
	known []shed.VM
	// missingSince is when a known VM was last seen to be out of the view.
	missingSince map[shed.VM]time.Time
	// releasedAt is when a VM said, in answer to turn, that under hash it is clean.
	releasedAt map[shed.VM]time.Time
	// epoch is new after each change of the view.
	epoch uint64
	// peerEpochs is the last turn of each peer, to be answered.
	peerEpochs map[shed.VM]uint64

	servers map[shed.ServerID]*entry
	order   []shed.ServerID // sorted keys of servers
	calls   map[shed.Call]*heldCall

	// trusted: the view is confirmed and holds a majority of the known VMs.
	trusted   bool
	trustedAt time.Time
	changedAt time.Time
	// longestCall is LongestCall, or more if the rules allow more.
	longestCall   time.Duration
	lastBroadcast time.Time
}

// safeguards names what tests may switch off to see the oracle go red.
type safeguards struct {
	noWait, noMajority, noPauseCheck, freeBroken bool
	noRelease, noEpoch, noReport, noReset        bool
}

// entry is one server's slots.
type entry struct {
	server *shed.Server
	slots  []slot
	// inFlight counts this daemon's calls on the server, with those started
	// while it was warm.
	inFlight int
	// nextSlot rotates over the peers to ask.
	nextSlot int
	// running is how many calls the server said it had, and reportAt when.
	running    int
	reportedAt time.Time
}

// slot is one share of a server.
type slot struct {
	owner shed.VM
	// ownedSince is when this daemon gained it; void if owner is another.
	ownedSince time.Time
}

// heldCall is one call that occupies a share.
type heldCall struct {
	server shed.ServerID
	// granted: it was granted a slot, so it counts for releases.
	granted bool
	// occupiedUntil is when the server has surely ended it; zero while its end is
	// still to come.
	occupiedUntil time.Time
	started       time.Time
	// abandonedAt is when this daemon gave it up; zero while it hasn't.
	abandonedAt time.Time
}

// Answer tells the kinds of Grant apart. The set is closed.
type Answer uint8

// The answers to Take.
const (
	// GrantNone: nobody is known who may send the call now.
	GrantNone Answer = iota + 1
	// GrantOK: the call occupies a slot until Release.
	GrantOK
	// GrantAsk: this daemon has no free slot, but Peer has one by the view.
	GrantAsk
)

// Grant is the answer to Take.
type Grant struct {
	Answer Answer
	Peer   shed.VM
	// Ripe is when one of this daemon's slots can first be used; zero if it
	// has none or doesn't trust its view.
	Ripe time.Time
}

// OK tells whether the call may be sent from here.
func (g Grant) OK() bool { return g.Answer == GrantOK }

// New returns a table that knows nobody: it waits before it uses any slot.
func New(cfg Config) *Table {
	orDefault(&cfg.Settle, DefaultSettle)
	orDefault(&cfg.LongestCall, DefaultLongestCall)
	orDefault(&cfg.Flight, DefaultFlight)
	orDefault(&cfg.TickGap, DefaultTickGap)
	orDefault(&cfg.ReleaseEvery, DefaultReleaseEvery)
	if cfg.ReleaseUpTo == 0 {
		cfg.ReleaseUpTo = DefaultReleaseUpTo
	}
	return &Table{
		cfg:          cfg,
		longestCall:  cfg.LongestCall,
		missingSince: map[shed.VM]time.Time{},
		releasedAt:   map[shed.VM]time.Time{},
		peerEpochs:   map[shed.VM]uint64{},
		servers:      map[shed.ServerID]*entry{},
		calls:        map[shed.Call]*heldCall{},
	}
}

func orDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// gainWait is how long a gained slot stays unused.
func (t *Table) gainWait() time.Duration { return t.cfg.Settle + t.longestCall }

// SetLongest tells the longest deadline in the rules in force, if that is more
// than LongestCall. It never gets shorter again, since calls under older rules
// may still run. Rules reach all daemons well within Settle, and a slot's wait
// is worked out when it is to be used, so nobody goes by too short a time.
func (t *Table) SetLongest(d time.Duration) { t.longestCall = max(t.longestCall, d) }

// SetServers tells which servers of this zone the rules name.
func (t *Table) SetServers(now time.Time, servers []*shed.Server) []shed.Action {
	keep := make(map[shed.ServerID]bool, len(servers))
	for _, s := range servers {
		keep[s.ID] = true
		e := t.servers[s.ID]
		if e == nil {
			e = &entry{}
			t.servers[s.ID] = e
		}
		e.server = s
		t.resize(e)
		t.assign(now, e)
	}
	for id := range t.servers {
		if !keep[id] && t.servers[id].inFlight == 0 {
			delete(t.servers, id)
		}
	}
	t.order = t.order[:0]
	for id := range t.servers {
		t.order = append(t.order, id)
	}
	slices.Sort(t.order)
	return nil
}

func (t *Table) resize(e *entry) {
	n := e.server.ColdCapacity
	if n < len(e.slots) {
		e.slots = e.slots[:n]
	}
	for len(e.slots) < n {
		e.slots = append(e.slots, slot{})
	}
}

// assign works out who owns the server's slots. A slot that this daemon held
// already keeps its age.
func (t *Table) assign(now time.Time, e *entry) {
	for i := range e.slots {
		s := &e.slots[i]
		owner, _ := rank.Owner(slotKey(e.server.ID, i), t.view)
		if owner == s.owner {
			continue
		}
		*s = slot{owner: owner, ownedSince: now}
	}
}

func slotKey(id shed.ServerID, i int) string { return fmt.Sprintf("%s#%d", id, i) }

// Take asks to send the call to a server that is cold. GrantOK occupies a slot
// until Release.
func (t *Table) Take(now time.Time, server shed.ServerID, call shed.Call) Grant {
	e := t.servers[server]
	if e == nil || !t.isTrusted(now) {
		return Grant{Answer: GrantNone}
	}
	if _, exists := t.calls[call]; exists {
		return Grant{Answer: GrantNone}
	}
	if t.Free(now, server) > 0 {
		t.addCall(now, server, call, true)
		return Grant{Answer: GrantOK}
	}
	grant := Grant{Answer: GrantNone, Ripe: t.firstUsableAt(e)}
	if peer, ok := t.nextOwner(e); ok {
		grant.Answer = GrantAsk
		grant.Peer = peer
	}
	return grant
}

// Occupy counts a call that was sent while the server was warm: should it turn
// cold, the call takes up part of this daemon's share.
func (t *Table) Occupy(now time.Time, server shed.ServerID, call shed.Call) {
	if t.servers[server] == nil || t.calls[call] != nil {
		return
	}
	t.addCall(now, server, call, false)
}

func (t *Table) addCall(now time.Time, server shed.ServerID, call shed.Call, cold bool) {
	t.servers[server].inFlight++
	t.calls[call] = &heldCall{server: server, granted: cold, started: now}
}

// Free returns how many more calls this daemon may send to the cold server.
func (t *Table) Free(now time.Time, server shed.ServerID) int {
	e := t.servers[server]
	if e == nil || !t.isTrusted(now) {
		return 0
	}
	return max(0, t.usableSlots(now, e)-e.inFlight)
}

// Holds tells whether slot i of the server is this daemon's to use. One daemon
// at the most holds it at a time, so it also serves to choose who does a thing
// that only one may do.
func (t *Table) Holds(now time.Time, server shed.ServerID, i int) bool {
	e := t.servers[server]
	if e == nil || i >= len(e.slots) || !t.isTrusted(now) {
		return false
	}
	return t.isUsable(now, e.slots[i])
}

// isUsable tells whether the slot is this daemon's and its wait is over.
func (t *Table) isUsable(now time.Time, s slot) bool {
	if s.owner != t.cfg.Self {
		return false
	}
	return t.disabled.noWait || !now.Before(s.ownedSince.Add(t.gainWait()))
}

// usableSlots counts the slots that are this daemon's and that nobody else can
// still use.
func (t *Table) usableSlots(now time.Time, e *entry) int {
	owned, ripe := 0, 0
	for _, s := range e.slots {
		if s.owner != t.cfg.Self {
			continue
		}
		owned++
		if t.isUsable(now, s) {
			ripe++
		}
	}
	if ripe == owned {
		return ripe
	}
	return max(ripe, t.earlyUsable(now, e, owned))
}

// firstUsableAt returns when the first of this daemon's slots can be used.
func (t *Table) firstUsableAt(e *entry) time.Time {
	var first time.Time
	for _, s := range e.slots {
		if s.owner != t.cfg.Self {
			continue
		}
		at := s.ownedSince.Add(t.gainWait())
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// nextOwner returns a peer that owns one of the slots; in turn, so that no owner
// gets all the work.
func (t *Table) nextOwner(e *entry) (shed.VM, bool) {
	for range e.slots {
		e.nextSlot = (e.nextSlot + 1) % len(e.slots)
		owner := e.slots[e.nextSlot].owner
		if owner != "" && owner != t.cfg.Self {
			return owner, true
		}
	}
	return "", false
}

// Release tells that the call has ended. After an end that leaves open whether
// the server still runs it, its share stays taken for as long as that can last.
func (t *Table) Release(now time.Time, call shed.Call, end shed.CallEnd) []shed.Action {
	h := t.calls[call]
	if h == nil || !h.occupiedUntil.IsZero() {
		return nil
	}
	if mayStillRun(end) && !t.disabled.freeBroken {
		h.abandonedAt = now
		h.occupiedUntil = h.started.Add(t.cfg.Flight + t.longestCall)
		return nil
	}
	t.removeCall(call, h)
	return t.broadcastRelease(now)
}

// mayStillRun: the server has not told the call's end. It may not know yet that
// the connection broke, and the next call could overtake a cancel.
func mayStillRun(end shed.CallEnd) bool {
	return end == shed.EndBroken || end == shed.EndBadReply || end == shed.EndCancelled
}

func (t *Table) removeCall(call shed.Call, h *heldCall) {
	delete(t.calls, call)
	if e := t.servers[h.server]; e != nil {
		e.inFlight--
	}
}

// Ask returns a peer that may send a call to the cold server, by the view that
// this daemon trusts now.
func (t *Table) Ask(now time.Time, server shed.ServerID) (shed.VM, bool) {
	e := t.servers[server]
	if e == nil || !t.isTrusted(now) {
		return "", false
	}
	return t.nextOwner(e)
}
