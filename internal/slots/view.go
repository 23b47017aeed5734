package slots

import (
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
)

// SetView tells who is alive in the zone, this daemon among them, and the hash
// of that view. unsure means that the view may not be relied on: the process
// woke from a pause, or just started, and peers haven't confirmed the view yet.
// Call it on every Tick; it costs little while nothing changes.
func (t *Table) SetView(now time.Time, vms []shed.VM, hash uint64, unsure bool) []shed.Action {
	if hash != t.hash || !slices.Equal(vms, t.view) {
		t.view = slices.Sorted(slices.Values(vms))
		t.hash = hash
		t.startEpoch(now)
		t.updateMissing(now)
		t.assignAll(now)
	}
	if t.disabled.noPauseCheck {
		unsure = false
	}
	t.setTrusted(now, !unsure && t.hasMajority())
	return t.broadcastRelease(now)
}

// SetKnown tells which VMs of the zone may be alive, whether this daemon sees
// them or not: those of the platform's list and those that were alive lately.
// A VM that left, or that is dead and no longer on the list, is not among them.
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

// hasMajority tells whether the view holds more than half of the known VMs. When
// the zone is split, each part sees the other one dead and would take over its
// slots; servers would get up to twice what they bear. Only one part can have a
// majority, and the other one stops, so the sum holds however long it lasts.
// Of two equal halves the one goes on that has the VM ranked first.
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

// setTrusted records whether the view may be relied on. While it could not be,
// peers may have declared this daemon dead and taken its slots. They start to
// use them after Settle + LongestCall at the soonest, and learn that it is back
// within Settle; so after up to LongestCall the slots are still its own, and
// after longer they count as just gained.
func (t *Table) setTrusted(now time.Time, trusted bool) {
	last := t.trustedAt
	if t.trusted && now.Sub(last) > t.cfg.TickGap && !t.disabled.noPauseCheck {
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
	if now.Sub(last) > t.cfg.LongestCall {
		last = time.Time{}
	}
	t.resetAfterRegain(now, last)
}

// resetAfterRegain starts anew what this daemon can't have known while its view was not
// to be relied on. Slots gained since last were perhaps another one's until a
// moment ago, when its part of the zone lost the majority to this one; so were
// those of the VMs out of view. Releases from before count no more, since peers
// may have gone through other views meanwhile.
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

// isTrusted tells whether slots count now. A process that was paused may handle
// other events before its first Tick; the age of the last one gives it away.
func (t *Table) isTrusted(now time.Time) bool {
	if t.disabled.noPauseCheck {
		return t.trusted
	}
	return t.trusted && now.Sub(t.trustedAt) <= t.cfg.TickGap
}

// Handle takes Tick, SlotRelease, LoadReported and LoadDigest.
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
			// A daemon that saw the server restart tells of it under sequence 0,
			// before the server has counted anything.
			if r.Sequence > 0 {
				t.applyReport(now, id, r)
			}
		}
	}
	return nil
}

func (t *Table) applyReport(now time.Time, id shed.ServerID, r shed.LoadReport) {
	e := t.servers[id]
	// The report may have been on its way for as long as a call may.
	at := now.Add(-r.Age - t.cfg.Flight)
	if e == nil || at.Before(e.reportedAt) {
		return
	}
	e.reportedAt = at
	e.running = r.Running + r.Waiting
	t.freeAbandoned(id, at, e.running)
}

// freeAbandoned gives back the shares of calls that were given up, but for as many as
// the server said it runs: it counts those of them that it still has. They can
// no longer be on their way, since the report was made Flight after their end.
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
