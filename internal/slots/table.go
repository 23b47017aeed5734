// Package slots divides the capacity of cold backend servers among the daemons of their zone,
// without a message on the path of a request.
//
// A server that can handle n calls at once while it is cold has n slots. Slot i belongs to the live
// daemon that rendezvous hashing ranks first. Each daemon computes this from its own view of the
// zone. Views change at different times, so a daemon that gains a slot waits until the previous
// owner can't use it any more. docs/design/cold.md explains why all daemons together never have
// more than n calls on the server.
package slots

import (
	"fmt"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

// Config configures a Table.
type Config struct {
	Self shed.VM
	// Settle is the longest time for which a daemon may still start calls on a view that this one
	// has replaced: twice the time to detect a death, a network partition or its end, plus
	// MaxSendDelay. Twice, because a partition may end before one side has detected it; the other
	// side then detects its end just as late.
	Settle time.Duration
	// MaxCallDuration is the longest time that a call can run on a server after it arrived there,
	// under any rules; see RaiseMaxCallDuration. It is enforced by the deadlines sent with the
	// calls.
	MaxCallDuration time.Duration
	// MaxSendDelay is the longest time from the decision to send a call to its arrival.
	MaxSendDelay time.Duration
	// MaxTickGap is the longest time without a Tick for which slots may still be used.
	MaxTickGap time.Duration
	// ReleaseInterval is the interval at which releases are repeated, since they may be lost;
	// MaxReleaseZone is the size of the largest zone in which they are sent at all.
	ReleaseInterval time.Duration
	MaxReleaseZone  int
}

// Defaults of the Config fields that are 0.
const (
	DefaultSettle          = 18 * time.Second
	DefaultMaxCallDuration = 8 * time.Second
	DefaultMaxSendDelay    = 2 * time.Second
	DefaultMaxTickGap      = time.Second
	DefaultReleaseInterval = 2 * time.Second
	DefaultMaxReleaseZone  = 12
)

// Table holds one daemon's share of the slots of its zone's servers. It is not safe for concurrent
// use.
type Table struct {
	cfg Config
	// disabled switches off safeguards; only tests set it.
	disabled safeguards

	view []shed.VM // sorted
	hash uint64
	// known holds the zone's VMs that may be alive, whether in view or not.
	known []shed.VM
	// missingSince is when a known VM was found missing from the view, or when trust in the view
	// was last regained, if that is later.
	missingSince map[shed.VM]time.Time
	// releasedAt is when a VM reported, in answer to epoch, that under hash it uses only its own
	// slots.
	releasedAt map[shed.VM]time.Time
	// epoch changes with each change of the view.
	epoch uint64
	// peerEpochs is the last epoch received from each peer; releases to it return it.
	peerEpochs map[shed.VM]uint64

	servers map[shed.ServerID]*entry
	order   []shed.ServerID // sorted keys of servers
	calls   map[shed.Call]*heldCall

	// trusted: the view is confirmed and holds a majority of the known VMs.
	trusted   bool
	trustedAt time.Time
	changedAt time.Time
	// maxCallDuration is Config.MaxCallDuration, or more if the rules allow longer calls.
	maxCallDuration time.Duration
	lastBroadcast   time.Time
}

// safeguards lists the checks that tests switch off to prove that their oracle detects the
// resulting overload.
type safeguards struct {
	noWait, noMajority, noPauseCheck, freeBroken bool
	noRelease, noEpoch, noReport, noReset        bool
}

// entry holds the slots of one server.
type entry struct {
	server *shed.Server
	slots  []slot
	// inFlight counts this daemon's calls on the server, including those started while it was warm.
	inFlight int
	// nextSlot rotates over the slots whose owners are asked.
	nextSlot int
	// running is the number of calls in the server's last load report, and reportedAt the earliest
	// time at which that was made.
	running    int
	reportedAt time.Time
}

// slot is one unit of a cold server's capacity.
type slot struct {
	owner shed.VM
	// ownedSince is when this daemon gained the slot; meaningless if another VM owns it.
	ownedSince time.Time
}

// heldCall is a call that occupies a slot.
type heldCall struct {
	server shed.ServerID
	// granted: the call was granted a slot, so it is checked before a SlotRelease is sent.
	granted bool
	// occupiedUntil is when the server must have ended an abandoned call; zero until the call is
	// abandoned.
	occupiedUntil time.Time
	started       time.Time
	// abandonedAt is when this daemon lost or cancelled the call; zero until then.
	abandonedAt time.Time
}

// GrantKind is the kind of a Grant. The set is closed.
type GrantKind uint8

// The kinds of Grant that Take returns.
const (
	// GrantNone: no VM is known that may send the call now.
	GrantNone GrantKind = iota + 1
	// GrantOK: the call occupies a slot until Release.
	GrantOK
	// GrantAskPeer: this daemon has no free slot, but by its view Peer owns one.
	GrantAskPeer
)

// Grant is the result of Take.
type Grant struct {
	Kind GrantKind
	Peer shed.VM
	// UsableAt is when the first of this daemon's slots can be used; zero if it owns none or doesn't
	// trust its view.
	UsableAt time.Time
}

// OK reports whether the call may be sent from here.
func (g Grant) OK() bool { return g.Kind == GrantOK }

// New returns a table with an empty view, so it waits before it uses any slot.
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
		cfg:             cfg,
		maxCallDuration: cfg.MaxCallDuration,
		missingSince:    map[shed.VM]time.Time{},
		releasedAt:      map[shed.VM]time.Time{},
		peerEpochs:      map[shed.VM]uint64{},
		servers:         map[shed.ServerID]*entry{},
		calls:           map[shed.Call]*heldCall{},
	}
}

func orDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// gainWait is how long a gained slot stays unused.
func (t *Table) gainWait() time.Duration { return t.cfg.Settle + t.maxCallDuration }

// RaiseMaxCallDuration raises the longest call time to the longest deadline in the current rules,
// if that is more than MaxCallDuration. It is never lowered again, since calls under older rules
// may still run. Rules reach all daemons well within Settle, and the wait of a slot is computed
// when the slot is to be used, so no daemon uses too short a wait.
func (t *Table) RaiseMaxCallDuration(d time.Duration) { t.maxCallDuration = max(t.maxCallDuration, d) }

// SetServers replaces the servers of this zone that the rules list.
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

// assign computes the owners of the server's slots. A slot that this daemon already owned keeps its
// ownedSince.
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

// Take requests a slot for a call to a cold server. With GrantOK the call occupies a slot until
// Release.
func (t *Table) Take(now time.Time, server shed.ServerID, call shed.Call) Grant {
	e := t.servers[server]
	if e == nil || !t.isTrusted(now) {
		return Grant{Kind: GrantNone}
	}
	if _, exists := t.calls[call]; exists {
		return Grant{Kind: GrantNone}
	}
	if t.FreeSlots(now, server) > 0 {
		t.addCall(now, server, call, true)
		return Grant{Kind: GrantOK}
	}
	grant := Grant{Kind: GrantNone, UsableAt: t.firstUsableAt(e)}
	if peer, ok := t.nextOwner(e); ok {
		grant.Kind = GrantAskPeer
		grant.Peer = peer
	}
	return grant
}

// Occupy counts a call that was sent while the server was warm: if the server turns cold, the call
// takes up one of this daemon's slots.
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

// FreeSlots returns how many more calls this daemon may send to the cold server.
func (t *Table) FreeSlots(now time.Time, server shed.ServerID) int {
	e := t.servers[server]
	if e == nil || !t.isTrusted(now) {
		return 0
	}
	return max(0, t.usableSlots(now, e)-e.inFlight)
}

// MayUseSlot reports whether this daemon may use slot i of the server. At most one daemon may at
// any time, so it also serves to elect the daemon for a task that only one may do.
func (t *Table) MayUseSlot(now time.Time, server shed.ServerID, i int) bool {
	e := t.servers[server]
	if e == nil || i >= len(e.slots) || !t.isTrusted(now) {
		return false
	}
	return t.isUsable(now, e.slots[i])
}

// isUsable reports whether this daemon owns the slot and its wait is over.
func (t *Table) isUsable(now time.Time, s slot) bool {
	if s.owner != t.cfg.Self {
		return false
	}
	return t.disabled.noWait || !now.Before(s.ownedSince.Add(t.gainWait()))
}

// usableSlots counts the slots that this daemon owns and no other daemon can still use.
func (t *Table) usableSlots(now time.Time, e *entry) int {
	owned, usable := 0, 0
	for _, s := range e.slots {
		if s.owner != t.cfg.Self {
			continue
		}
		owned++
		if t.isUsable(now, s) {
			usable++
		}
	}
	if usable == owned {
		return usable
	}
	return max(usable, t.earlyUsable(now, e, owned))
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

// nextOwner returns a peer that owns one of the slots. It rotates over the slots, so that no single
// owner gets all the work.
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

// Release records that the call has ended. If the server may still run it, its slot stays occupied
// for as long as that can last.
func (t *Table) Release(now time.Time, call shed.Call, end shed.CallEnd) []shed.Action {
	h := t.calls[call]
	if h == nil || !h.occupiedUntil.IsZero() {
		return nil
	}
	if mayStillRun(end) && !t.disabled.freeBroken {
		h.abandonedAt = now
		h.occupiedUntil = h.started.Add(t.cfg.MaxSendDelay + t.maxCallDuration)
		return nil
	}
	t.removeCall(call, h)
	return t.broadcastRelease(now)
}

// mayStillRun reports whether the server didn't confirm the end of the call. It may not have
// noticed yet that the connection broke, and the next call could overtake a cancellation.
func mayStillRun(end shed.CallEnd) bool {
	return end == shed.EndBroken || end == shed.EndBadReply || end == shed.EndCancelled
}

func (t *Table) removeCall(call shed.Call, h *heldCall) {
	delete(t.calls, call)
	if e := t.servers[h.server]; e != nil {
		e.inFlight--
	}
}

// PeerWithSlot returns a peer that may send a call to the cold server, if this daemon trusts its
// view.
func (t *Table) PeerWithSlot(now time.Time, server shed.ServerID) (shed.VM, bool) {
	e := t.servers[server]
	if e == nil || !t.isTrusted(now) {
		return "", false
	}
	return t.nextOwner(e)
}
