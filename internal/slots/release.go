package slots

import (
	"slices"
	"time"

	shed "jasmineshed"
)

// earlyUsable returns how many of the owned slots may be used before their wait is over.
//
// After a restart of the whole zone every slot is newly gained, and the full wait would leave every
// cold server unused for that long. The wait can be cut short when no VM can still use the slots
// under another view: every peer of the view has reported that under this same view it uses only
// its own slots, and every other VM that may be alive has reported that too or has been out of the
// view for Settle. Then only calls of processes that are gone may still run. A load report of the
// server made after that counts them; their number only falls, so the slots beyond that count are
// free.
func (t *Table) earlyUsable(now time.Time, e *entry, owned int) int {
	since, ok := t.ownersOnlySince(now)
	if !ok {
		return 0
	}
	if t.disabled.noReport {
		return owned
	}
	if e.reportedAt.Before(since.Add(t.cfg.MaxSendDelay)) {
		return 0
	}
	return max(0, owned-e.running)
}

// ownersOnlySince returns a time since which only the owners by this view can have started calls,
// or false if other VMs still can.
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

// inactiveSince returns the time since which a VM outside the view can't have used slots.
func (t *Table) inactiveSince(vm shed.VM) time.Time {
	if at, ok := t.releasedAt[vm]; ok {
		return at
	}
	return t.missingSince[vm].Add(t.cfg.Settle)
}

// handleRelease processes a peer's SlotRelease. It counts only if it answers the current epoch, so
// it was sent after this daemon's last change of view: a late one from an earlier, equal view could
// hide calls started in between.
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

// broadcastRelease sends a SlotRelease to the zone once this daemon uses only slots that it owns by
// the current view. It is repeated until the full wait would be over anyway, since messages may be
// lost. It isn't sent in a large zone, where a change of view moves few slots and the messages
// would cost more than the wait.
func (t *Table) broadcastRelease(now time.Time) []shed.Action {
	if now.Sub(t.lastBroadcast) < t.cfg.ReleaseInterval || !t.canRelease(now) {
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

// canRelease reports whether a SlotRelease would be true and still useful.
func (t *Table) canRelease(now time.Time) bool {
	if !t.isTrusted(now) || len(t.view) > t.cfg.MaxReleaseZone {
		return false
	}
	return now.Sub(t.changedAt) <= t.gainWait() && t.callsFitOwned()
}

// callsFitOwned reports whether the calls that were granted slots fit into the slots that this
// daemon owns by the current view.
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
