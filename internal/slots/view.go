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
		t.newTurn(now)
		t.noteLost(now)
		t.assignAll(now)
	}
	if t.off.noWake {
		unsure = false
	}
	t.setTrust(now, !unsure && t.majority())
	return t.tell(now)
}

// SetKnown tells which VMs of the zone may be alive, whether this daemon sees
// them or not: those of the platform's list and those that were alive lately.
// A VM that left, or that is dead and no longer on the list, is not among them.
func (t *Table) SetKnown(now time.Time, vms []shed.VM) {
	t.known = slices.Sorted(slices.Values(vms))
	t.noteLost(now)
}

func (t *Table) noteLost(now time.Time) {
	for _, vm := range t.known {
		_, seen := slices.BinarySearch(t.view, vm)
		if seen {
			delete(t.lost, vm)
			continue
		}
		if _, ok := t.lost[vm]; !ok {
			t.lost[vm] = now
		}
	}
}

func (t *Table) assignAll(now time.Time) {
	for _, id := range t.order {
		t.assign(now, t.servers[id])
	}
}

// majority tells whether the view holds more than half of the known VMs. When
// the zone is split, each part sees the other one dead and would take over its
// slots; servers would get up to twice what they bear. Only one part can have a
// majority, and the other one stops, so the sum holds however long it lasts.
// Of two equal halves the one goes on that has the VM ranked first.
func (t *Table) majority() bool {
	if t.off.noMajority {
		return true
	}
	all := append(slices.Clone(t.known), t.view...)
	slices.Sort(all)
	all = slices.Compact(all)
	switch have := 2 * len(t.view); {
	case have > len(all):
		return true
	case have < len(all):
		return false
	}
	first, _ := rank.Owner("tie", all)
	return slices.Contains(t.view, first)
}

// setTrust records whether the view may be relied on. While it could not be,
// peers may have declared this daemon dead and taken its slots. They start to
// use them after Settle + MaxCallDuration at the soonest, and learn that it is back
// within Settle; so after up to MaxCallDuration the slots are still its own, and
// after longer they count as just gained.
func (t *Table) setTrust(now time.Time, trusted bool) {
	last := t.trustedAt
	if t.trusted && now.Sub(last) > t.cfg.MaxTickGap && !t.off.noWake {
		t.trusted = false
	}
	regained := trusted && !t.trusted
	t.trusted = trusted
	if !trusted {
		return
	}
	t.trustedAt = now
	if !regained || t.off.noWake || t.off.noRegain {
		return
	}
	if now.Sub(last) > t.cfg.MaxCallDuration {
		last = time.Time{}
	}
	t.regain(now, last)
}

// regain starts anew what this daemon can't have known while its view was not
// to be relied on. Slots gained since last were perhaps another one's until a
// moment ago, when its part of the zone lost the majority to this one; so were
// those of the VMs out of view. Releases from before count no more, since peers
// may have gone through other views meanwhile.
func (t *Table) regain(now, last time.Time) {
	t.newTurn(now)
	for vm := range t.lost {
		t.lost[vm] = now
	}
	for _, id := range t.order {
		e := t.servers[id]
		for i := range e.slots {
			if e.slots[i].since.After(last) {
				e.slots[i].since = now
			}
		}
	}
}

func (t *Table) newTurn(now time.Time) {
	t.changed = now
	t.turn = uint64(now.UnixNano())
	t.toldAt = time.Time{}
	clear(t.released)
}

// trust tells whether slots count now. A process that was paused may handle
// other events before its first Tick; the age of the last one gives it away.
func (t *Table) trust(now time.Time) bool {
	if t.off.noWake {
		return t.trusted
	}
	return t.trusted && now.Sub(t.trustedAt) <= t.cfg.MaxTickGap
}

// Handle takes Tick, SlotRelease, LoadReported and LoadDigest.
func (t *Table) Handle(now time.Time, ev shed.Event) []shed.Action {
	switch ev := ev.(type) {
	case shed.Tick:
		return t.tick(now)
	case shed.LoadReported:
		t.report(now, ev.Server, ev.Report)
	case shed.PeerMessage:
		return t.message(now, ev)
	}
	return nil
}

func (t *Table) message(now time.Time, ev shed.PeerMessage) []shed.Action {
	switch m := ev.Message.(type) {
	case shed.SlotRelease:
		return t.release(now, ev.From.VM, m)
	case shed.LoadDigest:
		for id, r := range m.Reports {
			// A daemon that saw the server restart tells of it under sequence 0,
			// before the server has counted anything.
			if r.Sequence > 0 {
				t.report(now, id, r)
			}
		}
	}
	return nil
}

func (t *Table) report(now time.Time, id shed.ServerID, r shed.LoadReport) {
	e := t.servers[id]
	// The report may have been on its way for as long as a call may.
	at := now.Add(-r.Age - t.cfg.MaxSendDelay)
	if e == nil || at.Before(e.reportAt) {
		return
	}
	e.reportAt = at
	e.running = r.Running + r.Waiting
	t.forgive(id, at, e.running)
}

// forgive gives back the shares of calls that were given up, but for as many as
// the server said it runs: it counts those of them that it still has. They can
// no longer be on their way, since the report was made Flight after their end.
func (t *Table) forgive(id shed.ServerID, at time.Time, running int) {
	var open []shed.Call
	for call, h := range t.calls {
		if h.server == id && !h.ended.IsZero() && !at.Before(h.ended) {
			open = append(open, call)
		}
	}
	if len(open) <= running {
		return
	}
	slices.SortFunc(open, func(a, b shed.Call) int {
		return t.calls[a].until.Compare(t.calls[b].until)
	})
	for _, call := range open[:len(open)-running] {
		t.drop(call, t.calls[call])
	}
}

func (t *Table) tick(now time.Time) []shed.Action {
	for call, h := range t.calls {
		if !h.until.IsZero() && !now.Before(h.until) {
			t.drop(call, h)
		}
	}
	return t.tell(now)
}
