package slots

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// early returns how many of mine slots may be used before their wait is over.
//
// After a restart of the whole zone every slot is newly gained, and the full
// wait would leave every cold server unused for its length. It can be cut short
// when nobody who might still use the slots is left: every peer of the view has
// said that under this very view it uses only its own slots, and every other
// VM that may be alive has said so too or was out of the view for Settle. What
// may then still run are calls of processes that are gone. The server's report,
// made after that, counts them; they only get fewer, so the slots beyond that
// count are free.
func (t *Table) early(now time.Time, e *entry, mine int) int {
	since, ok := t.clearSince(now)
	if !ok {
		return 0
	}
	if t.off.noReport {
		return mine
	}
	if e.reportAt.Before(since.Add(t.cfg.MaxSendDelay)) {
		return 0
	}
	return max(0, mine-e.running)
}

// clearSince returns a time since which only the owners by this view can have
// started calls, or false if others still can.
func (t *Table) clearSince(now time.Time) (time.Time, bool) {
	since := t.changed
	for _, vm := range t.view {
		if vm == t.cfg.Self || t.off.noRelease {
			continue
		}
		at, ok := t.released[vm]
		if !ok {
			return time.Time{}, false
		}
		since = shed.Later(since, at)
	}
	for _, vm := range t.known {
		if _, seen := slices.BinarySearch(t.view, vm); seen || vm == t.cfg.Self {
			continue
		}
		since = shed.Later(since, t.goneSince(vm))
	}
	return since, !now.Before(since)
}

// goneSince returns when a VM outside the view has surely stopped using slots.
func (t *Table) goneSince(vm shed.VM) time.Time {
	if at, ok := t.released[vm]; ok {
		return at
	}
	return t.lost[vm].Add(t.cfg.Settle)
}

// release takes in a peer's SlotRelease. It counts only if it answers the
// present turn, so it was sent after this daemon's last change of view: a late
// one from an earlier, equal view could hide calls started in between.
func (t *Table) release(now time.Time, from shed.VM, m shed.SlotRelease) []shed.Action {
	if m.ViewHash == t.hash && (m.SeenEpoch == t.turn || t.off.noTurn) {
		if _, ok := t.released[from]; !ok {
			t.released[from] = now
		}
	}
	if t.heard[from] == m.Epoch {
		return nil
	}
	t.heard[from] = m.Epoch
	if m.ViewHash != t.hash || !t.mayTell(now) {
		return nil
	}
	return []shed.Action{t.releaseTo(from)}
}

// tell sends a SlotRelease to the zone once this daemon uses only slots that
// the present view gives it. It is sent again until the full wait would be over
// anyway, since it may be lost; in a large zone not at all, where a change
// moves few slots and the messages would cost more than the wait.
func (t *Table) tell(now time.Time) []shed.Action {
	if now.Sub(t.toldAt) < t.cfg.ReleaseInterval || !t.mayTell(now) {
		return nil
	}
	t.toldAt = now
	var out []shed.Action
	for _, vm := range t.view {
		if vm != t.cfg.Self {
			out = append(out, t.releaseTo(vm))
		}
	}
	return out
}

func (t *Table) releaseTo(vm shed.VM) shed.Action {
	return shed.SendPeer{To: vm, Message: shed.SlotRelease{
		ViewHash:  t.hash,
		Epoch:     t.turn,
		SeenEpoch: t.heard[vm],
	}}
}

// mayTell tells whether a SlotRelease would be true and of use.
func (t *Table) mayTell(now time.Time) bool {
	if !t.trust(now) || len(t.view) > t.cfg.MaxReleaseZone {
		return false
	}
	return now.Sub(t.changed) <= t.wait() && t.clean()
}

// clean tells whether the calls that were granted slots fit into the slots
// that the present view gives.
func (t *Table) clean() bool {
	granted := map[shed.ServerID]int{}
	for _, h := range t.calls {
		if h.cold {
			granted[h.server]++
		}
	}
	for id, n := range granted {
		if n > t.owned(t.servers[id]) {
			return false
		}
	}
	return true
}

func (t *Table) owned(e *entry) int {
	n := 0
	if e == nil {
		return 0
	}
	for _, s := range e.slots {
		if s.owner == t.cfg.Self {
			n++
		}
	}
	return n
}
