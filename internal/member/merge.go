package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	shed "jasmineshed"
)

// handleMessage processes a Probe or ProbeAck.
func (g *Group) handleMessage(now time.Time, ev shed.PeerMessage) []shed.Action {
	switch m := ev.Message.(type) {
	case shed.Probe:
		out, ok := g.mergeMessage(now, ev.From, m.Self, m.Gossip)
		if !ok {
			return out
		}
		return g.answerProbe(now, out, ev.From.VM, m)
	case shed.ProbeAck:
		return g.handleAck(now, ev.From, m)
	}
	return nil
}

// mergeMessage merges what a peer reports of itself and others. It returns false if the sender
// isn't who it claims to be.
func (g *Group) mergeMessage(now time.Time, from shed.Peer, self shed.Member, gossip []shed.Member) ([]shed.Action, bool) {
	if self.Peer != from || self.Peer.VM == g.self.Peer.VM {
		return []shed.Action{shed.Note{Reason: ReasonForgedIncarnation, Peer: from.VM}}, false
	}
	if r := g.members[from.VM]; r != nil && from.Incarnation < r.Peer.Incarnation {
		// A process that was replaced still sends, or its message was delayed.
		return []shed.Action{shed.Note{Reason: ReasonStaleIncarnation, Peer: from.VM}}, false
	}
	out := g.merge(now, nil, self)
	r := g.members[from.VM]
	if r == nil {
		return out, false
	}
	r.receivedAt = now
	out = g.revive(out, r, self)
	for _, m := range gossip {
		out = g.merge(now, out, m)
	}
	return out, true
}

// revive restores the reported status of a dead or suspect process of another zone when it sends a
// message. Processes of this zone refute their death by Refute, which their peers must receive too;
// those of other zones were declared dead by this process only.
func (g *Group) revive(out []shed.Action, r *record, self shed.Member) []shed.Action {
	if r.Zone == g.cfg.Zone || r.Status != shed.StatusDead && r.Status != shed.StatusSuspect {
		return out
	}
	r.Status = self.Status
	r.suspectAt = time.Time{}
	g.dirty = true
	return append(out, shed.Note{Reason: ReasonPeerBack, Peer: r.Peer.VM, Zone: r.Zone})
}

func (g *Group) answerProbe(now time.Time, out []shed.Action, to shed.VM, m shed.Probe) []shed.Action {
	if m.Target != "" {
		if len(g.pending) > maxPending {
			return out
		}
		return g.sendProbe(now, out, pendingProbe{to: m.Target, requester: to, requesterSequence: m.Sequence})
	}
	return append(out, shed.SendPeer{To: to, Message: shed.ProbeAck{
		Sequence: m.Sequence,
		Self:     g.self,
		Gossip:   g.selectGossip(to, g.gossipLimit(to, m.ViewHash)),
		ViewHash: g.currentView().Hash(g.cfg.Zone),
	}})
}

// maxPending limits the probes that this process keeps pending on behalf of peers.
const maxPending = 256

// gossipLimit returns how many members a message may carry: more to a peer of this zone whose view
// of the zone differs.
func (g *Group) gossipLimit(to shed.VM, view uint64) int {
	if g.zoneOf(to) == g.cfg.Zone && view != g.currentView().Hash(g.cfg.Zone) {
		return g.cfg.MaxSyncMembers
	}
	return maxGossip
}

func (g *Group) handleAck(now time.Time, from shed.Peer, m shed.ProbeAck) []shed.Action {
	if m.Target != "" {
		return g.handleRelayedAck(now, from, m)
	}
	out, ok := g.mergeMessage(now, from, m.Self, m.Gossip)
	if !ok {
		return out
	}
	at, found := slices.BinarySearchFunc(g.pending, m.Sequence, func(p pendingProbe, seq uint64) int {
		return cmp.Compare(p.sequence, seq)
	})
	if !found || g.pending[at].to != from.VM {
		return out
	}
	p := g.pending[at]
	g.pending = slices.Delete(g.pending, at, at+1)
	r := g.members[from.VM]
	r.ackedAt, r.ackedProbeSentAt = now, p.sentAt
	if p.requester != "" {
		return append(out, shed.SendPeer{To: p.requester, Message: shed.ProbeAck{
			Sequence: p.requesterSequence,
			Self:     g.self,
			Target:   from.VM,
			Gossip:   []shed.Member{r.Member},
		}})
	}
	return out
}

// handleRelayedAck processes an ack of a probe sent by a peer on this process's behalf: the VM is
// alive.
func (g *Group) handleRelayedAck(now time.Time, from shed.Peer, m shed.ProbeAck) []shed.Action {
	out, ok := g.mergeMessage(now, from, m.Self, m.Gossip)
	if !ok {
		return out
	}
	at, found := slices.BinarySearchFunc(g.pending, m.Sequence, func(p pendingProbe, seq uint64) int {
		return cmp.Compare(p.sequence, seq)
	})
	if !found || g.pending[at].to != m.Target || !g.pending[at].relayed {
		return out
	}
	g.pending = slices.Delete(g.pending, at, at+1)
	if r := g.members[m.Target]; r != nil {
		r.receivedAt = now
	}
	return out
}

// merge applies a report about a member.
func (g *Group) merge(now time.Time, out []shed.Action, m shed.Member) []shed.Action {
	if m.Peer.VM == g.self.Peer.VM {
		return g.handleReportOnSelf(now, out, m)
	}
	if !g.isPlausible(now, m) {
		return append(out, shed.Note{Reason: ReasonForgedIncarnation, Peer: m.Peer.VM})
	}
	g.recordSuccessor(now, m)
	r := g.members[m.Peer.VM]
	if r == nil {
		if m.Zone != g.cfg.Zone && m.Status == shed.StatusDead {
			return out
		}
		r = g.addMember(m.Peer.VM)
	} else if !isNewer(m, r.Member) {
		return out
	}
	return g.replaceRecord(now, out, r, m)
}

// replaceRecord replaces the record of a VM with a newer report.
func (g *Group) replaceRecord(now time.Time, out []shed.Action, r *record, m shed.Member) []shed.Action {
	if m.Peer == r.Peer && m.Successor == (shed.Peer{}) {
		m.Successor = r.Successor
	}
	if m.Peer != r.Peer {
		*r = record{}
	}
	if r.Status == shed.StatusDead && m.Status != shed.StatusDead {
		out = append(out, shed.Note{Reason: ReasonPeerBack, Peer: m.Peer.VM, Zone: m.Zone})
	}
	if r.upSince.IsZero() || r.Status == shed.StatusDead {
		r.upSince = now
	}
	r.Member = m
	r.suspectAt = time.Time{}
	switch m.Status {
	case shed.StatusSuspect:
		r.suspectAt = now
	case shed.StatusDead:
		r.deadAt = now
	}
	g.dirty = true
	if m.Zone == g.cfg.Zone {
		g.queueUpdate(m)
	}
	return out
}

// isPlausible rejects reports that no correct process can send. An incarnation far in the future
// would lock out the VM's true process for good.
func (g *Group) isPlausible(now time.Time, m shed.Member) bool {
	ahead := shed.Incarnation(now.Add(g.cfg.MaxClockAhead).UnixNano())
	return m.Peer.VM != "" && m.Zone != "" &&
		m.Peer.Incarnation != 0 && m.Peer.Incarnation <= ahead &&
		m.Status >= shed.StatusAlive && m.Status <= shed.StatusDead
}

// isNewer orders reports about one VM: by incarnation, then by refutation count, then by status.
func isNewer(a, b shed.Member) bool {
	if a.Peer.Incarnation != b.Peer.Incarnation {
		return a.Peer.Incarnation > b.Peer.Incarnation
	}
	if a.Refute != b.Refute {
		return a.Refute > b.Refute
	}
	if a.Status != b.Status {
		return a.Status > b.Status
	}
	return a.Successor != b.Successor && b.Successor == (shed.Peer{})
}

// handleReportOnSelf refutes this process's own death with a higher Refute. Until peers have
// received that, they may act as if this process were gone, so the view is unconfirmed.
func (g *Group) handleReportOnSelf(now time.Time, out []shed.Action, m shed.Member) []shed.Action {
	switch {
	case m.Peer.Incarnation > g.self.Peer.Incarnation:
		g.overruled = true
		return append(out, shed.Note{Reason: ReasonOverruled, Peer: m.Peer.VM})
	case m.Peer.Incarnation < g.self.Peer.Incarnation:
		g.recordSuccessor(now, m)
		return out
	case m.Status != shed.StatusSuspect && m.Status != shed.StatusDead:
		return out
	}
	g.self.Refute = max(g.self.Refute, m.Refute+1)
	g.noteReportedDead(now)
	return out
}

// recordSuccessor remembers which process got the tickets of one that left, also after a later
// process has started on its VM.
func (g *Group) recordSuccessor(now time.Time, m shed.Member) {
	if m.Successor == (shed.Peer{}) {
		return
	}
	if _, known := g.departures[m.Peer]; known {
		return
	}
	g.departures[m.Peer] = departure{successor: m.Successor, at: now}
	g.departureOrder = append(g.departureOrder, m.Peer)
	for len(g.departureOrder) > 0 && (len(g.departureOrder) > maxDepartures || now.Sub(g.departures[g.departureOrder[0]].at) > g.cfg.DeadRetention) {
		delete(g.departures, g.departureOrder[0])
		g.departureOrder = g.departureOrder[1:]
	}
	g.queueUpdate(m)
}

// queueUpdate queues m to be gossiped first, in place of older updates of the same process.
func (g *Group) queueUpdate(m shed.Member) {
	g.updates = slices.DeleteFunc(g.updates, func(n update) bool { return n.Peer == m.Peer })
	times := spreadFactor * (1 + bits.Len(uint(len(g.order))))
	g.updates = append(g.updates, update{Member: m, sendsLeft: times})
}

// selectGossip picks up to n members to send: first the receiver's own record if its status is
// worse than alive, then the least sent updates, then other members in rotation.
func (g *Group) selectGossip(to shed.VM, n int) []shed.Member {
	var out []shed.Member
	if r := g.members[to]; r != nil && r.Zone == g.cfg.Zone && r.Status != shed.StatusAlive {
		out = append(out, r.Member)
	}
	sameZone := g.zoneOf(to) == g.cfg.Zone || g.zoneOf(to) == ""
	for i := len(g.updates) - 1; i >= 0 && len(out) < n; i-- {
		m := &g.updates[i]
		if !sameZone && m.Successor == (shed.Peer{}) {
			continue
		}
		m.sendsLeft--
		out = append(out, m.Member)
	}
	g.updates = slices.DeleteFunc(g.updates, func(n update) bool { return n.sendsLeft <= 0 })
	slices.SortStableFunc(g.updates, func(a, b update) int { return cmp.Compare(a.sendsLeft, b.sendsLeft) })
	if sameZone {
		out = g.addSyncMembers(out, n)
	}
	return out
}

// addSyncMembers adds members of the zone in rotation, to repair views that missed an update: one
// while the views agree, as many as fit for a peer whose view differs.
func (g *Group) addSyncMembers(out []shed.Member, n int) []shed.Member {
	fill := 1
	if n > maxGossip {
		fill = n
	}
	for range min(fill, len(g.order)) {
		if len(out) >= n {
			break
		}
		g.syncIndex = (g.syncIndex + 1) % len(g.order)
		if r := g.members[g.order[g.syncIndex]]; r.Zone == g.cfg.Zone {
			out = append(out, r.Member)
		}
	}
	return out
}
