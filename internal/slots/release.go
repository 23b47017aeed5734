package slots

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// earlyUsable returns how many of mine slots may be used before their wait is over.
//
// After a restart of the whole zone every slot is newly gained, and the full
// wait would leave every cold server unused for its length. It can be cut short
// when nobody who might still use the slots is left: every peer of the view has
// said that under this very view it uses only its own slots, and every other
// VM that may be alive has said so too or was out of the view for Settle. What
// may then still run are calls of processes that are gone. The server's report,
// made after that, counts them; they only get fewer, so the slots beyond that
// count are free.
func (t *Table) earlyUsable(now time.Time, e *entry, owned int) int {
	since, ok := t.ownersOnlySince(now)
	if !ok {
		return 0
	}
	if t.disabled.noReport {
		return owned
	}
	if e.reportedAt.Before(since.Add(t.cfg.Flight)) {
		return 0
	}
	return max(0, owned-e.running)
}

// ownersOnlySince returns a time since which only the owners by this view can have
// started calls, or false if others still can.
func (t *Table) ownersOnlySince(now time.Time) (time.Time, bool) {
	since := t.changedAt
	for _, vm := range t.view {
		if vm == t.cfg.Self || t.disabled.noRelease {
			continue
		}
		at, ok := t.releasedAt[vm]
		if !ok {
			return time.Time{}, false
		}
		since = shed.Later(since, at)
	}
	for _, vm := range t.known {
		if _, seen := slices.BinarySearch(t.view, vm); seen || vm == t.cfg.Self {
			continue
		}
		since = shed.Later(since, t.inactiveSince(vm))
	}
	return since, !now.Before(since)
}

// inactiveSince returns when a VM outside the view has surely stopped using slots.
func (t *Table) inactiveSince(vm shed.VM) time.Time {
	if at, ok := t.releasedAt[vm]; ok {
		return at
	}
	return t.missingSince[vm].Add(t.cfg.Settle)
}

// handleRelease takes in a peer's SlotRelease. It counts only if it answers the
// present turn, so it was sent after this daemon's last change of view: a late
// one from an earlier, equal view could hide calls started in between.
func (t *Table) handleRelease(now time.Time, from shed.VM, m shed.SlotRelease) []shed.Action {
	if m.ViewHash == t.hash && (m.SeenEpoch == t.epoch || t.disabled.noEpoch) {
		if _, ok := t.releasedAt[from]; !ok {
			t.releasedAt[from] = now
		}
	}
	if t.peerEpochs[from] == m.Epoch {
		return nil
	}
	t.peerEpochs[from] = m.Epoch
	if m.ViewHash != t.hash || !t.canRelease(now) {
		return nil
	}
	return []shed.Action{t.releaseMessage(from)}
}

// broadcastRelease sends a SlotRelease to the zone once this daemon uses only slots that
// the present view gives it. It is sent again until the full wait would be over
// anyway, since it may be lost; in a large zone not at all, where a change
// moves few slots and the messages would cost more than the wait.
func (t *Table) broadcastRelease(now time.Time) []shed.Action {
	if now.Sub(t.lastBroadcast) < t.cfg.ReleaseEvery || !t.canRelease(now) {
		return nil
	}
	t.lastBroadcast = now
	var out []shed.Action
	for _, vm := range t.view {
		if vm != t.cfg.Self {
			out = append(out, t.releaseMessage(vm))
		}
	}
	return out
}

func (t *Table) releaseMessage(vm shed.VM) shed.Action {
	return shed.SendPeer{To: vm, Message: shed.SlotRelease{
		ViewHash:  t.hash,
		Epoch:     t.epoch,
		SeenEpoch: t.peerEpochs[vm],
	}}
}

// canRelease tells whether a SlotRelease would be true and of use.
func (t *Table) canRelease(now time.Time) bool {
	if !t.isTrusted(now) || len(t.view) > t.cfg.ReleaseUpTo {
		return false
	}
	return now.Sub(t.changedAt) <= t.gainWait() && t.callsFitOwned()
}

// callsFitOwned tells whether the calls that were granted slots fit into the slots
// that the present view gives.
func (t *Table) callsFitOwned() bool {
	granted := map[shed.ServerID]int{}
	for _, h := range t.calls {
		if h.granted {
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
