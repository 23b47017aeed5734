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
	// MaxCallDuration is the longest time that a call can run on a server after
	// its arrival there, by any rules; see RaiseMaxCallDuration. Deadlines that travel
	// with the call enforce it.
	MaxCallDuration time.Duration
	// MaxSendDelay is the longest time from a decision to the call's arrival.
	MaxSendDelay time.Duration
	// MaxTickGap is the longest time without a Tick for which slots still count.
	MaxTickGap time.Duration
	// ReleaseInterval is how often releases are sent again, since they may be
	// lost; MaxReleaseZone is the largest zone in which they are sent at all.
	ReleaseInterval time.Duration
	MaxReleaseZone  int
}

// Defaults for what a Config leaves at 0.
const (
	DefaultSettle          = 18 * time.Second
	DefaultMaxCallDuration = 8 * time.Second
	DefaultMaxSendDelay    = 2 * time.Second
	DefaultMaxTickGap      = time.Second
	DefaultReleaseInterval = 2 * time.Second
	DefaultMaxReleaseZone  = 12
)

// Table is one daemon's share of the slots of its zone's servers.
type Table struct {
	cfg Config
	// off removes safeguards; only tests set it.
	off safeguards

	view []shed.VM // sorted
	hash uint64
	// known are the zone's VMs that may be alive, seen or not.
	known []shed.VM
	// lost is when a known VM was last seen to be out of the view.
	lost map[shed.VM]time.Time
	// released is when a VM said, in answer to turn, that under hash it is clean.
	released map[shed.VM]time.Time
	// turn is new after each change of the view.
	turn uint64
	// heard is the last turn of each peer, to be answered.
	heard map[shed.VM]uint64

	servers map[shed.ServerID]*entry
	order   []shed.ServerID // sorted keys of servers
	calls   map[shed.Call]*hold

	// trusted: the view is confirmed and holds a majority of the known VMs.
	trusted   bool
	trustedAt time.Time
	changed   time.Time
	// longest is MaxCallDuration, or more if the rules allow more.
	longest time.Duration
	toldAt  time.Time
}

// safeguards names what tests may switch off to see the oracle go red.
type safeguards struct {
	noWait, noMajority, noWake, forgetBroken bool
	noRelease, noTurn, noReport, noRegain    bool
}

// entry is one server's slots.
type entry struct {
	server *shed.Server
	slots  []slot
	// inFlight counts this daemon's calls on the server, with those started
	// while it was warm.
	inFlight int
	// next rotates over the peers to ask.
	next int
	// running is how many calls the server said it had, and reportAt when.
	running  int
	reportAt time.Time
}

// slot is one share of a server.
type slot struct {
	owner shed.VM
	// since is when this daemon gained it; void if owner is another.
	since time.Time
}

// hold is one call that occupies a share.
type hold struct {
	server shed.ServerID
	// cold: it was granted a slot, so it counts for releases.
	cold bool
	// until is when the server has surely ended it; zero while its end is
	// still to come.
	until   time.Time
	started time.Time
	// ended is when this daemon gave it up; zero while it hasn't.
	ended time.Time
}

// GrantKind tells the kinds of Grant apart. The set is closed.
type GrantKind uint8

// The answers to Take.
const (
	// GrantNone: nobody is known who may send the call now.
	GrantNone GrantKind = iota + 1
	// GrantOK: the call occupies a slot until Release.
	GrantOK
	// GrantAskPeer: this daemon has no free slot, but Peer has one by the view.
	GrantAskPeer
)

// Grant is the answer to Take.
type Grant struct {
	Kind GrantKind
	Peer shed.VM
	// UsableAt is when one of this daemon's slots can first be used; zero if it
	// has none or doesn't trust its view.
	UsableAt time.Time
}

// OK tells whether the call may be sent from here.
func (g Grant) OK() bool { return g.Kind == GrantOK }

// New returns a table that knows nobody: it waits before it uses any slot.
func New(cfg Config) *Table {
	orDefault(&cfg.Settle, DefaultSettle)
	orDefault(&cfg.MaxCallDuration, DefaultMaxCallDuration)
	orDefault(&cfg.MaxSendDelay, DefaultMaxSendDelay)
	orDefault(&cfg.MaxTickGap, DefaultMaxTickGap)
	orDefault(&cfg.ReleaseInterval, DefaultReleaseInterval)
	if cfg.MaxReleaseZone == 0 {
		cfg.MaxReleaseZone = DefaultMaxReleaseZone
	}
	return &Table{
		cfg:      cfg,
		longest:  cfg.MaxCallDuration,
		lost:     map[shed.VM]time.Time{},
		released: map[shed.VM]time.Time{},
		heard:    map[shed.VM]uint64{},
		servers:  map[shed.ServerID]*entry{},
		calls:    map[shed.Call]*hold{},
	}
}

func orDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// wait is how long a gained slot stays unused.
func (t *Table) wait() time.Duration { return t.cfg.Settle + t.longest }

// RaiseMaxCallDuration tells the longest deadline in the rules in force, if that is more
// than MaxCallDuration. It never gets shorter again, since calls under older rules
// may still run. Rules reach all daemons well within Settle, and a slot's wait
// is worked out when it is to be used, so nobody goes by too short a time.
func (t *Table) RaiseMaxCallDuration(d time.Duration) { t.longest = max(t.longest, d) }

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
		*s = slot{owner: owner, since: now}
	}
}

func slotKey(id shed.ServerID, i int) string { return fmt.Sprintf("%s#%d", id, i) }

// Take asks to send the call to a server that is cold. GrantOK occupies a slot
// until Release.
func (t *Table) Take(now time.Time, server shed.ServerID, call shed.Call) Grant {
	e := t.servers[server]
	if e == nil || !t.trust(now) {
		return Grant{Kind: GrantNone}
	}
	if _, twice := t.calls[call]; twice {
		return Grant{Kind: GrantNone}
	}
	if t.FreeSlots(now, server) > 0 {
		t.hold(now, server, call, true)
		return Grant{Kind: GrantOK}
	}
	grant := Grant{Kind: GrantNone, UsableAt: t.ripe(e)}
	if peer, ok := t.other(e); ok {
		grant.Kind = GrantAskPeer
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
	t.hold(now, server, call, false)
}

func (t *Table) hold(now time.Time, server shed.ServerID, call shed.Call, cold bool) {
	t.servers[server].inFlight++
	t.calls[call] = &hold{server: server, cold: cold, started: now}
}

// FreeSlots returns how many more calls this daemon may send to the cold server.
func (t *Table) FreeSlots(now time.Time, server shed.ServerID) int {
	e := t.servers[server]
	if e == nil || !t.trust(now) {
		return 0
	}
	return max(0, t.usable(now, e)-e.inFlight)
}

// MayUseSlot tells whether slot i of the server is this daemon's to use. One daemon
// at the most holds it at a time, so it also serves to choose who does a thing
// that only one may do.
func (t *Table) MayUseSlot(now time.Time, server shed.ServerID, i int) bool {
	e := t.servers[server]
	if e == nil || i >= len(e.slots) || !t.trust(now) {
		return false
	}
	return t.ripened(now, e.slots[i])
}

// ripened tells whether the slot is this daemon's and its wait is over.
func (t *Table) ripened(now time.Time, s slot) bool {
	if s.owner != t.cfg.Self {
		return false
	}
	return t.off.noWait || !now.Before(s.since.Add(t.wait()))
}

// usable counts the slots that are this daemon's and that nobody else can
// still use.
func (t *Table) usable(now time.Time, e *entry) int {
	mine, old := 0, 0
	for _, s := range e.slots {
		if s.owner != t.cfg.Self {
			continue
		}
		mine++
		if t.ripened(now, s) {
			old++
		}
	}
	if old == mine {
		return old
	}
	return max(old, t.early(now, e, mine))
}

// ripe returns when the first of this daemon's slots can be used.
func (t *Table) ripe(e *entry) time.Time {
	var first time.Time
	for _, s := range e.slots {
		if s.owner != t.cfg.Self {
			continue
		}
		at := s.since.Add(t.wait())
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// other returns a peer that owns one of the slots; in turn, so that no owner
// gets all the work.
func (t *Table) other(e *entry) (shed.VM, bool) {
	for range e.slots {
		e.next = (e.next + 1) % len(e.slots)
		owner := e.slots[e.next].owner
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
	if h == nil || !h.until.IsZero() {
		return nil
	}
	if stillRuns(end) && !t.off.forgetBroken {
		h.ended = now
		h.until = h.started.Add(t.cfg.MaxSendDelay + t.longest)
		return nil
	}
	t.drop(call, h)
	return t.tell(now)
}

// stillRuns: the server has not told the call's end. It may not know yet that
// the connection broke, and the next call could overtake a cancel.
func stillRuns(end shed.CallEnd) bool {
	return end == shed.EndBroken || end == shed.EndBadReply || end == shed.EndCancelled
}

func (t *Table) drop(call shed.Call, h *hold) {
	delete(t.calls, call)
	if e := t.servers[h.server]; e != nil {
		e.inFlight--
	}
}

// PeerWithSlot returns a peer that may send a call to the cold server, by the view that
// this daemon trusts now.
func (t *Table) PeerWithSlot(now time.Time, server shed.ServerID) (shed.VM, bool) {
	e := t.servers[server]
	if e == nil || !t.trust(now) {
		return "", false
	}
	return t.other(e)
}
