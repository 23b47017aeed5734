package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	shed "jasmineshed"
)

// message takes in a Probe or ProbeAck.
func (g *Group) message(now time.Time, ev shed.PeerMessage) []shed.Action {
	switch m := ev.Message.(type) {
	case shed.Probe:
		out, ok := g.heard(now, ev.From, m.Self, m.Gossip)
		if !ok {
			return out
		}
		return g.answer(now, out, ev.From.VM, m)
	case shed.ProbeAck:
		return g.ack(now, ev.From, m)
	}
	return nil
}

// heard takes in what a peer says of itself and others; false if it isn't who
// it claims to be.
func (g *Group) heard(now time.Time, from shed.Peer, self shed.Member, gossip []shed.Member) ([]shed.Action, bool) {
	if self.Peer != from || self.Peer.VM == g.self.Peer.VM {
		return []shed.Action{shed.Note{Reason: ReasonForgedIncarnation, Peer: from.VM}}, false
	}
	if r := g.members[from.VM]; r != nil && from.Incarnation < r.Peer.Incarnation {
		// A process that was replaced still sends, or its message is late.
		return []shed.Action{shed.Note{Reason: ReasonStaleIncarnation, Peer: from.VM}}, false
	}
	out := g.merge(now, nil, self)
	r := g.members[from.VM]
	if r == nil {
		return out, false
	}
	r.heard = now
	out = g.revive(out, r, self)
	for _, m := range gossip {
		out = g.merge(now, out, m)
	}
	return out, true
}

// revive takes a process of another zone, or a suspect, back by its own word.
// In this zone the dead deny it by Refute, which their peers have to hear too;
// those of other zones were called dead by this process only.
func (g *Group) revive(out []shed.Action, r *record, self shed.Member) []shed.Action {
	if r.Zone == g.cfg.Zone || r.Status != shed.StatusDead && r.Status != shed.StatusSuspect {
		return out
	}
	r.Status = self.Status
	r.suspectAt = time.Time{}
	g.dirty = true
	return append(out, shed.Note{Reason: ReasonPeerBack, Peer: r.Peer.VM, Zone: r.Zone})
}

func (g *Group) answer(now time.Time, out []shed.Action, to shed.VM, m shed.Probe) []shed.Action {
	if m.Target != "" {
		if len(g.pending) > maxPending {
			return out
		}
		return g.probeFor(now, out, pending{to: m.Target, asker: to, askSequence: m.Sequence})
	}
	return append(out, shed.SendPeer{To: to, Message: shed.ProbeAck{
		Sequence: m.Sequence,
		Self:     g.self,
		Gossip:   g.gossip(to, g.room(to, m.ViewHash)),
		ViewHash: g.currentView().Hash(g.cfg.Zone),
	}})
}

// maxPending bounds what peers can make this process remember.
const maxPending = 256

// room is how much gossip a message may carry: more to a peer of the zone that
// sees another zone than this one does.
func (g *Group) room(to shed.VM, view uint64) int {
	if g.zoneOf(to) == g.cfg.Zone && view != g.currentView().Hash(g.cfg.Zone) {
		return g.cfg.MaxSyncMembers
	}
	return gossipMax
}

func (g *Group) ack(now time.Time, from shed.Peer, m shed.ProbeAck) []shed.Action {
	if m.Target != "" {
		return g.relayedAck(now, from, m)
	}
	out, ok := g.heard(now, from, m.Self, m.Gossip)
	if !ok {
		return out
	}
	at, found := slices.BinarySearchFunc(g.pending, m.Sequence, func(p pending, seq uint64) int {
		return cmp.Compare(p.sequence, seq)
	})
	if !found || g.pending[at].to != from.VM {
		return out
	}
	p := g.pending[at]
	g.pending = slices.Delete(g.pending, at, at+1)
	r := g.members[from.VM]
	r.acked, r.asked = now, p.sent
	if p.asker != "" {
		return append(out, shed.SendPeer{To: p.asker, Message: shed.ProbeAck{
			Sequence: p.askSequence,
			Self:     g.self,
			Target:   from.VM,
			Gossip:   []shed.Member{r.Member},
		}})
	}
	return out
}

// relayedAck: somebody else reached the VM, so it lives.
func (g *Group) relayedAck(now time.Time, from shed.Peer, m shed.ProbeAck) []shed.Action {
	out, ok := g.heard(now, from, m.Self, m.Gossip)
	if !ok {
		return out
	}
	at, found := slices.BinarySearchFunc(g.pending, m.Sequence, func(p pending, seq uint64) int {
		return cmp.Compare(p.sequence, seq)
	})
	if !found || g.pending[at].to != m.Target || !g.pending[at].relayed {
		return out
	}
	g.pending = slices.Delete(g.pending, at, at+1)
	if r := g.members[m.Target]; r != nil {
		r.heard = now
	}
	return out
}

// merge takes in what somebody tells of a member.
func (g *Group) merge(now time.Time, out []shed.Action, m shed.Member) []shed.Action {
	if m.Peer.VM == g.self.Peer.VM {
		return g.aboutSelf(now, out, m)
	}
	if !g.plausible(now, m) {
		return append(out, shed.Note{Reason: ReasonForgedIncarnation, Peer: m.Peer.VM})
	}
	g.learnHeir(now, m)
	r := g.members[m.Peer.VM]
	if r == nil {
		if m.Zone != g.cfg.Zone && m.Status == shed.StatusDead {
			return out
		}
		r = g.add(m.Peer.VM)
	} else if !newer(m, r.Member) {
		return out
	}
	return g.take(now, out, r, m)
}

// take replaces what is known of a VM by newer word.
func (g *Group) take(now time.Time, out []shed.Action, r *record, m shed.Member) []shed.Action {
	if m.Peer == r.Peer && m.Successor == (shed.Peer{}) {
		m.Successor = r.Successor
	}
	if m.Peer != r.Peer {
		*r = record{}
	}
	if r.Status == shed.StatusDead && m.Status != shed.StatusDead {
		out = append(out, shed.Note{Reason: ReasonPeerBack, Peer: m.Peer.VM, Zone: m.Zone})
	}
	if r.since.IsZero() || r.Status == shed.StatusDead {
		r.since = now
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
		g.spread(m)
	}
	return out
}

// plausible refuses what no process can rightly say. An incarnation far in the
// future would lock the VM's true process out for good.
func (g *Group) plausible(now time.Time, m shed.Member) bool {
	ahead := shed.Incarnation(now.Add(g.cfg.MaxClockAhead).UnixNano())
	return m.Peer.VM != "" && m.Zone != "" &&
		m.Peer.Incarnation != 0 && m.Peer.Incarnation <= ahead &&
		m.Status >= shed.StatusAlive && m.Status <= shed.StatusDead
}

// newer orders word of one VM: by incarnation, then by refutation, then by
// status.
func newer(a, b shed.Member) bool {
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

// aboutSelf denies the own death with a higher Refute. Until peers have heard
// that, they may act as if this process were gone, so the view is in doubt.
func (g *Group) aboutSelf(now time.Time, out []shed.Action, m shed.Member) []shed.Action {
	switch {
	case m.Peer.Incarnation > g.self.Peer.Incarnation:
		g.overruled = true
		return append(out, shed.Note{Reason: ReasonOverruled, Peer: m.Peer.VM})
	case m.Peer.Incarnation < g.self.Peer.Incarnation:
		g.learnHeir(now, m)
		return out
	case m.Status != shed.StatusSuspect && m.Status != shed.StatusDead:
		return out
	}
	g.self.Refute = max(g.self.Refute, m.Refute+1)
	g.toldDead(now)
	return out
}

// learnHeir remembers where the tickets of a process went, also after a later
// process has taken its VM.
func (g *Group) learnHeir(now time.Time, m shed.Member) {
	if m.Successor == (shed.Peer{}) {
		return
	}
	if _, known := g.heirs[m.Peer]; known {
		return
	}
	g.heirs[m.Peer] = left{heir: m.Successor, at: now}
	g.heirOrder = append(g.heirOrder, m.Peer)
	for len(g.heirOrder) > 0 && (len(g.heirOrder) > heirsMax || now.Sub(g.heirs[g.heirOrder[0]].at) > g.cfg.DeadRetention) {
		delete(g.heirs, g.heirOrder[0])
		g.heirOrder = g.heirOrder[1:]
	}
	g.spread(m)
}

// spread puts m on top of what is to be told; older word of the same process
// falls out.
func (g *Group) spread(m shed.Member) {
	g.news = slices.DeleteFunc(g.news, func(n news) bool { return n.Peer == m.Peer })
	times := spreadFactor * (1 + bits.Len(uint(len(g.order))))
	g.news = append(g.news, news{Member: m, left: times})
}

// gossip picks up to n members to tell: what the receiver is held for, if that
// is worse than alive, then the news told least often, then others in turn.
func (g *Group) gossip(to shed.VM, n int) []shed.Member {
	var out []shed.Member
	if r := g.members[to]; r != nil && r.Zone == g.cfg.Zone && r.Status != shed.StatusAlive {
		out = append(out, r.Member)
	}
	near := g.zoneOf(to) == g.cfg.Zone || g.zoneOf(to) == ""
	for i := len(g.news) - 1; i >= 0 && len(out) < n; i-- {
		m := &g.news[i]
		if !near && m.Successor == (shed.Peer{}) {
			continue
		}
		m.left--
		out = append(out, m.Member)
	}
	g.news = slices.DeleteFunc(g.news, func(n news) bool { return n.left <= 0 })
	slices.SortStableFunc(g.news, func(a, b news) int { return cmp.Compare(a.left, b.left) })
	if near {
		out = g.syncSome(out, n)
	}
	return out
}

// syncSome fills a message up with members of the zone in turn, so that what
// news missed is mended: one in the normal case, all that fits to a peer whose
// view differs.
func (g *Group) syncSome(out []shed.Member, n int) []shed.Member {
	fill := 1
	if n > gossipMax {
		fill = n
	}
	for range min(fill, len(g.order)) {
		if len(out) >= n {
			break
		}
		g.syncAt = (g.syncAt + 1) % len(g.order)
		if r := g.members[g.order[g.syncAt]]; r.Zone == g.cfg.Zone {
			out = append(out, r.Member)
		}
	}
	return out
}
