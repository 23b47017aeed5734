package slots

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

// SetView sets the live VMs of the zone, this daemon among them, and the hash of that view.
// unconfirmed means that the view can't be trusted: the process has just started or resumed after a
// pause, and peers haven't confirmed the view yet. Call it on every Tick; it is cheap while nothing
// changes.
func (t *Table) SetView(now time.Time, vms []shed.VM, hash uint64, unconfirmed bool) []shed.Action {
	if hash != t.hash || !slices.Equal(vms, t.view) {
		t.view = slices.Sorted(slices.Values(vms))
		t.hash = hash
		t.startEpoch(now)
		t.updateMissing(now)
		t.assignAll(now)
	}
	if t.disabled.noPauseCheck {
		unconfirmed = false
	}
	t.setTrusted(now, !unconfirmed && t.hasMajority())
	return t.broadcastRelease(now)
}

// SetKnown sets the VMs of the zone that may be alive, whether this daemon sees them or not: those
// of the platform's list and those that were alive recently. A VM that left, or that is dead and no
// longer listed, is not among them.
func (t *Table) SetKnown(now time.Time, vms []shed.VM) {
	t.known = slices.Sorted(slices.Values(vms))
	t.updateMissing(now)
}

func (t *Table) updateMissing(now time.Time) {
	for _, vm := range t.known {
		_, seen := slices.BinarySearch(t.view, vm)
		if seen {
			delete(t.missingSince, vm)
			continue
		}
		if _, ok := t.missingSince[vm]; !ok {
			t.missingSince[vm] = now
		}
	}
}

func (t *Table) assignAll(now time.Time) {
	for _, id := range t.order {
		t.assign(now, t.servers[id])
	}
}

// hasMajority reports whether the view holds more than half of the known VMs. In a network
// partition each side sees the other one as dead and would take over its slots; servers would get
// up to twice their capacity. Only one side can have a majority, and the other one stops, so the
// limit holds however long the partition lasts. Of two equal halves, the one with the VM ranked
// first continues.
func (t *Table) hasMajority() bool {
	if t.disabled.noMajority {
		return true
	}
	all := append(slices.Clone(t.known), t.view...)
	slices.Sort(all)
	all = slices.Compact(all)
	switch doubled := 2 * len(t.view); {
	case doubled > len(all):
		return true
	case doubled < len(all):
		return false
	}
	first, _ := rank.Owner("tie", all)
	return slices.Contains(t.view, first)
}

// setTrusted records whether the view can be trusted. While it couldn't, peers may have declared
// this daemon dead and taken its slots. They start to use them after Settle + MaxCallDuration at
// the earliest, and learn within Settle that it is back. So the slots remain its own after an
// outage of up to MaxCallDuration; after a longer one they count as just gained.
func (t *Table) setTrusted(now time.Time, trusted bool) {
	last := t.trustedAt
	if t.trusted && now.Sub(last) > t.cfg.MaxTickGap && !t.disabled.noPauseCheck {
		t.trusted = false
	}
	regained := trusted && !t.trusted
	t.trusted = trusted
	if !trusted {
		return
	}
	t.trustedAt = now
	if !regained || t.disabled.noPauseCheck || t.disabled.noReset {
		return
	}
	if now.Sub(last) > t.cfg.MaxCallDuration {
		last = time.Time{}
	}
	t.resetAfterRegain(now, last)
}

// resetAfterRegain discards what may have changed while the view wasn't trusted. Slots gained since
// last may have been in use by another daemon until just now, when its side of the partition lost
// the majority to this one; so may those of the VMs out of view. Earlier releases no longer count,
// since peers may have had other views meanwhile.
func (t *Table) resetAfterRegain(now, last time.Time) {
	t.startEpoch(now)
	for vm := range t.missingSince {
		t.missingSince[vm] = now
	}
	for _, id := range t.order {
		e := t.servers[id]
		for i := range e.slots {
			if e.slots[i].ownedSince.After(last) {
				e.slots[i].ownedSince = now
			}
		}
	}
}

func (t *Table) startEpoch(now time.Time) {
	t.changedAt = now
	t.epoch = uint64(now.UnixNano())
	t.lastBroadcast = time.Time{}
	clear(t.releasedAt)
}

// isTrusted reports whether slots may be used now. A process that was paused may handle other
// events before its first Tick, so the age of the last Tick is checked too.
func (t *Table) isTrusted(now time.Time) bool {
	if t.disabled.noPauseCheck {
		return t.trusted
	}
	return t.trusted && now.Sub(t.trustedAt) <= t.cfg.MaxTickGap
}

// Handle processes Tick, SlotRelease, LoadReported and LoadDigest.
func (t *Table) Handle(now time.Time, ev shed.Event) []shed.Action {
	switch ev := ev.(type) {
	case shed.Tick:
		return t.handleTick(now)
	case shed.LoadReported:
		t.applyReport(now, ev.Server, ev.Report)
	case shed.PeerMessage:
		return t.handleMessage(now, ev)
	}
	return nil
}

func (t *Table) handleMessage(now time.Time, ev shed.PeerMessage) []shed.Action {
	switch m := ev.Message.(type) {
	case shed.SlotRelease:
		return t.handleRelease(now, ev.From.VM, m)
	case shed.LoadDigest:
		for id, r := range m.Reports {
			// A daemon that saw the server restart reports this with sequence 0, before the server
			// has counted anything.
			if r.Sequence > 0 {
				t.applyReport(now, id, r)
			}
		}
	}
	return nil
}

func (t *Table) applyReport(now time.Time, id shed.ServerID, r shed.LoadReport) {
	e := t.servers[id]
	// The report may have been in transit for as long as a call can be.
	at := now.Add(-r.Age - t.cfg.MaxSendDelay)
	if e == nil || at.Before(e.reportedAt) {
		return
	}
	e.reportedAt = at
	e.running = r.Running + r.Waiting
	t.freeAbandoned(id, at, e.running)
}

// freeAbandoned frees the slots of abandoned calls, except for as many as the server reports
// running: that number includes those of them that still run. None can still be in transit, since
// the report was made MaxSendDelay after they were abandoned.
func (t *Table) freeAbandoned(id shed.ServerID, at time.Time, running int) {
	var abandoned []shed.Call
	for call, h := range t.calls {
		if h.server == id && !h.abandonedAt.IsZero() && !at.Before(h.abandonedAt) {
			abandoned = append(abandoned, call)
		}
	}
	if len(abandoned) <= running {
		return
	}
	slices.SortFunc(abandoned, func(a, b shed.Call) int {
		return t.calls[a].occupiedUntil.Compare(t.calls[b].occupiedUntil)
	})
	for _, call := range abandoned[:len(abandoned)-running] {
		t.removeCall(call, t.calls[call])
	}
}

func (t *Table) handleTick(now time.Time) []shed.Action {
	for call, h := range t.calls {
		if !h.occupiedUntil.IsZero() && !now.Before(h.occupiedUntil) {
			t.removeCall(call, h)
		}
	}
	return t.broadcastRelease(now)
}
