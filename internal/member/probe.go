package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
)

// pendingProbe is a probe that is not yet acknowledged.
type pendingProbe struct {
	sequence uint64
	to       shed.VM
	sentAt   time.Time
	// relayed: other peers were asked to probe the VM too.
	relayed bool
	// requester is the peer that gets the ack, under its own sequence number; "" for this
	// process's own probes.
	requester         shed.VM
	requesterSequence uint64
}

// probeRound probes the next VMs on the ring, some others of the zone in random order, some
// contacts in other zones, and now and then a VM that is dead or never answered. The ring bounds
// the time to detect a death; the random probes spread updates and rejoin groups that consider each
// other dead.
func (g *Group) probeRound(now time.Time, out []shed.Action) []shed.Action {
	peers := g.zonePeers()
	ring := g.ringNeighbors(peers)
	for _, vm := range ring {
		out = g.probe(now, out, vm)
	}
	for _, vm := range g.nextRandomPeers(peers, ring) {
		out = g.probe(now, out, vm)
	}
	far := g.remoteContacts()
	for range min(remoteProbes, len(far)) {
		g.remoteIndex = (g.remoteIndex + 1) % len(far)
		out = g.probe(now, out, far[g.remoteIndex])
	}
	return g.probeLost(now, out)
}

// zonePeers returns the other processes of the zone that aren't dead, sorted.
func (g *Group) zonePeers() []shed.VM {
	var out []shed.VM
	for _, vm := range g.order {
		r := g.members[vm]
		if r.Zone == g.cfg.Zone && r.Status != shed.StatusDead {
			out = append(out, vm)
		}
	}
	return out
}

// ringNeighbors returns the next VMs on the ring of the zone. The ring is ordered by hash: in order
// of addresses, the VMs of one rack would monitor each other and die together.
func (g *Group) ringNeighbors(peers []shed.VM) []shed.VM {
	me := ringPosition(g.self.Peer.VM)
	ring := slices.Clone(peers)
	slices.SortFunc(ring, func(a, b shed.VM) int {
		// The distance wraps around, so the next VM comes first.
		return cmp.Compare(ringPosition(a)-me, ringPosition(b)-me)
	})
	return ring[:min(ringProbes, len(ring))]
}

func ringPosition(vm shed.VM) uint64 { return xxhash.Sum64String(string(vm)) }

// nextRandomPeers goes through all peers in random order before it repeats one.
func (g *Group) nextRandomPeers(peers, exclude []shed.VM) []shed.VM {
	var out []shed.VM
	for range 2 {
		for len(g.randomOrder) > 0 && len(out) < randomProbes {
			vm := g.randomOrder[0]
			g.randomOrder = g.randomOrder[1:]
			_, known := slices.BinarySearch(peers, vm)
			if known && !slices.Contains(exclude, vm) {
				out = append(out, vm)
			}
		}
		if len(out) == randomProbes {
			break
		}
		g.randomOrder = slices.Clone(peers)
		g.rng.Shuffle(len(peers), func(i, j int) {
			g.randomOrder[i], g.randomOrder[j] = g.randomOrder[j], g.randomOrder[i]
		})
	}
	return out
}

// probeLost probes VMs that are dead or never answered, so that processes rejoin by themselves
// after a network partition within the zone or of the whole zone.
func (g *Group) probeLost(now time.Time, out []shed.Action) []shed.Action {
	unknown, dead := g.unknownAndDead()
	for i := range min(unknownProbes, len(unknown)) {
		out = g.probe(now, out, unknown[(g.unknownIndex+i)%len(unknown)])
	}
	g.unknownIndex += unknownProbes
	if len(dead) > 0 && !now.Before(g.nextDeadProbe) {
		g.nextDeadProbe = now.Add(g.cfg.DeadProbeInterval)
		out = g.probe(now, out, dead[g.rng.IntN(len(dead))])
	}
	return out
}

// unknownAndDead returns the VMs of this zone and the seeds of which no process is known, and the
// VMs whose process is dead.
func (g *Group) unknownAndDead() (unknown, dead []shed.VM) {
	for _, vm := range g.cfg.Seeds {
		if g.members[vm] == nil && vm != g.self.Peer.VM {
			unknown = append(unknown, vm)
		}
	}
	for vm, e := range g.listed {
		if g.members[vm] == nil && e.Zone == g.cfg.Zone {
			unknown = append(unknown, vm)
		}
	}
	slices.Sort(unknown)
	unknown = slices.Compact(unknown)
	for _, vm := range g.order {
		if g.members[vm].Status == shed.StatusDead {
			dead = append(dead, vm)
		}
	}
	return unknown, dead
}

func (g *Group) probe(now time.Time, out []shed.Action, to shed.VM) []shed.Action {
	return g.sendProbe(now, out, pendingProbe{to: to})
}

func (g *Group) sendProbe(now time.Time, out []shed.Action, p pendingProbe) []shed.Action {
	g.sequence++
	p.sequence, p.sentAt = g.sequence, now
	g.pending = append(g.pending, p)
	return append(out, shed.SendPeer{To: p.to, Message: shed.Probe{
		Sequence: p.sequence,
		Self:     g.self,
		Gossip:   g.selectGossip(p.to, maxGossip),
		ViewHash: g.currentView().Hash(g.cfg.Zone),
	}})
}

// expireProbes asks other peers to probe VMs that didn't answer, suspects those that didn't answer
// these probes either, and declares suspects dead that didn't refute it.
func (g *Group) expireProbes(now time.Time) []shed.Action {
	var out []shed.Action
	probes := g.pending
	g.pending = nil
	for _, p := range probes {
		age := now.Sub(p.sentAt)
		switch {
		case age < g.cfg.AckTimeout+g.allowance:
		case !p.relayed && p.requester == "":
			p.relayed = true
			out = g.requestRelayProbes(out, p)
		case age < 2*(g.cfg.AckTimeout+g.allowance):
		default:
			out = g.handleTimeout(now, out, p)
			continue
		}
		g.pending = append(g.pending, p)
	}
	return g.expireMembers(now, out)
}

func (g *Group) requestRelayProbes(out []shed.Action, p pendingProbe) []shed.Action {
	r := g.members[p.to]
	if r == nil || r.Zone != g.cfg.Zone || r.Status == shed.StatusDead {
		return out
	}
	peers := g.zonePeers()
	g.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	sent := 0
	for _, vm := range peers {
		if vm == p.to || sent == relayProbes {
			continue
		}
		sent++
		out = append(out, shed.SendPeer{To: vm, Message: shed.Probe{
			Sequence: p.sequence,
			Self:     g.self,
			Target:   p.to,
			ViewHash: g.currentView().Hash(g.cfg.Zone),
		}})
	}
	return out
}

// handleTimeout suspects the VM unless a message from it has arrived since the probe was sent: then
// it is alive, and only the path to it is broken.
func (g *Group) handleTimeout(now time.Time, out []shed.Action, p pendingProbe) []shed.Action {
	r := g.members[p.to]
	if r == nil {
		g.unresponsive[p.to] = now
		g.dirty = true
		return out
	}
	if p.requester != "" || !r.receivedAt.Before(p.sentAt) {
		return out
	}
	return g.markSuspect(now, out, r)
}

func (g *Group) markSuspect(now time.Time, out []shed.Action, r *record) []shed.Action {
	if r.Status == shed.StatusDead || !r.suspectAt.IsZero() {
		return out
	}
	r.suspectAt = now
	if r.Status == shed.StatusAlive {
		r.Status = shed.StatusSuspect
		g.queueUpdate(r.Member)
	}
	return append(out, shed.Note{Reason: ReasonPeerSuspect, Peer: r.Peer.VM, Zone: r.Zone})
}

func (g *Group) expireMembers(now time.Time, out []shed.Action) []shed.Action {
	expired := []shed.VM{}
	for _, vm := range g.order {
		r := g.members[vm]
		switch {
		case r.Status == shed.StatusDead:
			// A VM that is still listed may be alive, with only its outgoing messages lost. It
			// stops using its slots as long as it gets reports that it is dead.
			if _, listed := g.listed[vm]; !listed && now.Sub(r.deadAt) > g.cfg.DeadRetention {
				expired = append(expired, vm)
			}
		case !r.suspectAt.IsZero() && now.Sub(r.suspectAt) >= g.cfg.SuspectTimeout+g.allowance:
			g.markDead(now, r)
			g.queueUpdate(r.Member)
			out = append(out, shed.Note{Reason: ReasonPeerDead, Peer: vm, Zone: r.Zone})
		}
	}
	for _, vm := range expired {
		g.removeMember(vm)
	}
	return out
}

func (g *Group) markDead(now time.Time, r *record) {
	r.Status = shed.StatusDead
	r.deadAt = now
	r.suspectAt = time.Time{}
	g.dirty = true
}

func (g *Group) removeMember(vm shed.VM) {
	delete(g.members, vm)
	at, ok := slices.BinarySearch(g.order, vm)
	if ok {
		g.order = slices.Delete(g.order, at, at+1)
	}
	g.dirty = true
}

// handlePeerLost probes the peer after a link to it failed. The failure is only a hint, since just
// this one link may be affected; probes by other peers decide.
func (g *Group) handlePeerLost(now time.Time, vm shed.VM) []shed.Action {
	r := g.members[vm]
	if r == nil || r.Status == shed.StatusDead {
		return nil
	}
	for i := range g.pending {
		if g.pending[i].to == vm && g.pending[i].requester == "" {
			return nil
		}
	}
	return g.probe(now, nil, vm)
}
