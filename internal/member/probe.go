package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
)

// pending is a probe whose ack is out.
type pending struct {
	sequence uint64
	to       shed.VM
	sent     time.Time
	// relayed: others were asked to probe, too.
	relayed bool
	// asker wants the ack, under its own sequence; "" for one's own probe.
	asker       shed.VM
	askSequence uint64
}

// round probes the successors on the ring, some others of the zone in random
// order, some contacts in other zones, and now and then a VM that is dead or
// was never heard. The ring gives a fixed bound for noticing a death; the random
// ones spread news and join parts that hold each other dead.
func (g *Group) round(now time.Time, out []shed.Action) []shed.Action {
	peers := g.zonePeers()
	ring := g.successors(peers)
	for _, vm := range ring {
		out = g.probe(now, out, vm)
	}
	for _, vm := range g.nextRandom(peers, ring) {
		out = g.probe(now, out, vm)
	}
	far := g.farContacts()
	for range min(roundFar, len(far)) {
		g.farAt = (g.farAt + 1) % len(far)
		out = g.probe(now, out, far[g.farAt])
	}
	return g.tryLost(now, out)
}

// zonePeers are the other processes of the zone that aren't dead, sorted.
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

// successors are the next VMs on the ring of the zone. The ring is ordered by
// hash: by address, the VMs of one rack would watch each other and die together.
func (g *Group) successors(peers []shed.VM) []shed.VM {
	me := ringPlace(g.self.Peer.VM)
	ring := slices.Clone(peers)
	slices.SortFunc(ring, func(a, b shed.VM) int {
		// The distance wraps round, so the next one comes first.
		return cmp.Compare(ringPlace(a)-me, ringPlace(b)-me)
	})
	return ring[:min(ringWatch, len(ring))]
}

func ringPlace(vm shed.VM) uint64 { return xxhash.Sum64String(string(vm)) }

// nextRandom goes through all peers in a random order before it repeats one.
func (g *Group) nextRandom(peers, not []shed.VM) []shed.VM {
	var out []shed.VM
	for range 2 {
		for len(g.shuffled) > 0 && len(out) < roundRandom {
			vm := g.shuffled[0]
			g.shuffled = g.shuffled[1:]
			_, known := slices.BinarySearch(peers, vm)
			if known && !slices.Contains(not, vm) {
				out = append(out, vm)
			}
		}
		if len(out) == roundRandom {
			break
		}
		g.shuffled = slices.Clone(peers)
		g.rng.Shuffle(len(peers), func(i, j int) {
			g.shuffled[i], g.shuffled[j] = g.shuffled[j], g.shuffled[i]
		})
	}
	return out
}

// tryLost probes VMs that don't answer or never did, so that a zone or a part
// that was cut off is found again without anybody's help.
func (g *Group) tryLost(now time.Time, out []shed.Action) []shed.Action {
	never, lost := g.lostVMs()
	for i := range min(roundUnknown, len(never)) {
		out = g.probe(now, out, never[(g.lostAt+i)%len(never)])
	}
	g.lostAt += roundUnknown
	if len(lost) > 0 && !now.Before(g.nextDead) {
		g.nextDead = now.Add(g.cfg.DeadProbeInterval)
		out = g.probe(now, out, lost[g.rng.IntN(len(lost))])
	}
	return out
}

// lostVMs returns the VMs of this zone and the seeds that were never heard, and
// the others to try now and then.
func (g *Group) lostVMs() (never, lost []shed.VM) {
	for _, vm := range g.cfg.Seeds {
		if g.members[vm] == nil && vm != g.self.Peer.VM {
			never = append(never, vm)
		}
	}
	for vm, e := range g.listed {
		if g.members[vm] == nil && e.Zone == g.cfg.Zone {
			never = append(never, vm)
		}
	}
	slices.Sort(never)
	never = slices.Compact(never)
	for _, vm := range g.order {
		if g.members[vm].Status == shed.StatusDead {
			lost = append(lost, vm)
		}
	}
	return never, lost
}

func (g *Group) probe(now time.Time, out []shed.Action, to shed.VM) []shed.Action {
	return g.probeFor(now, out, pending{to: to})
}

func (g *Group) probeFor(now time.Time, out []shed.Action, p pending) []shed.Action {
	g.sequence++
	p.sequence, p.sent = g.sequence, now
	g.pending = append(g.pending, p)
	return append(out, shed.SendPeer{To: p.to, Message: shed.Probe{
		Sequence: p.sequence,
		Self:     g.self,
		Gossip:   g.gossip(p.to, gossipMax),
		ViewHash: g.currentView().Hash(g.cfg.Zone),
	}})
}

// expire asks others to probe those that didn't answer, suspects those that
// didn't answer them either, and gives up suspects that didn't deny it.
func (g *Group) expire(now time.Time) []shed.Action {
	var out []shed.Action
	waiting := g.pending
	g.pending = nil
	for _, p := range waiting {
		age := now.Sub(p.sent)
		switch {
		case age < g.cfg.AckTimeout:
		case !p.relayed && p.asker == "":
			p.relayed = true
			out = g.askRelays(out, p)
		case age < 2*g.cfg.AckTimeout:
		default:
			out = g.unanswered(now, out, p)
			continue
		}
		g.pending = append(g.pending, p)
	}
	return g.bury(now, out)
}

func (g *Group) askRelays(out []shed.Action, p pending) []shed.Action {
	r := g.members[p.to]
	if r == nil || r.Zone != g.cfg.Zone || r.Status == shed.StatusDead {
		return out
	}
	peers := g.zonePeers()
	g.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	asked := 0
	for _, vm := range peers {
		if vm == p.to || asked == relays {
			continue
		}
		asked++
		out = append(out, shed.SendPeer{To: vm, Message: shed.Probe{
			Sequence: p.sequence,
			Self:     g.self,
			Target:   p.to,
			ViewHash: g.currentView().Hash(g.cfg.Zone),
		}})
	}
	return out
}

// unanswered suspects the VM, unless it was heard since the probe left: then it
// lives, and only the way there is cut.
func (g *Group) unanswered(now time.Time, out []shed.Action, p pending) []shed.Action {
	r := g.members[p.to]
	if r == nil {
		g.mute[p.to] = now
		g.dirty = true
		return out
	}
	if p.asker != "" || !r.heard.Before(p.sent) {
		return out
	}
	return g.suspect(now, out, r)
}

func (g *Group) suspect(now time.Time, out []shed.Action, r *record) []shed.Action {
	if r.Status == shed.StatusDead || !r.suspectAt.IsZero() {
		return out
	}
	r.suspectAt = now
	if r.Status == shed.StatusAlive {
		r.Status = shed.StatusSuspect
		g.spread(r.Member)
	}
	return append(out, shed.Note{Reason: ReasonPeerSuspect, Peer: r.Peer.VM, Zone: r.Zone})
}

func (g *Group) bury(now time.Time, out []shed.Action) []shed.Action {
	forget := []shed.VM{}
	for _, vm := range g.order {
		r := g.members[vm]
		switch {
		case r.Status == shed.StatusDead:
			// One that the platform still lists may live behind a one-way cut:
			// as long as it is told that it is dead, it keeps still.
			if _, listed := g.listed[vm]; !listed && now.Sub(r.deadAt) > g.cfg.DeadRetention {
				forget = append(forget, vm)
			}
		case !r.suspectAt.IsZero() && now.Sub(r.suspectAt) >= g.cfg.SuspectTimeout:
			g.setDead(now, r)
			g.spread(r.Member)
			out = append(out, shed.Note{Reason: ReasonPeerDead, Peer: vm, Zone: r.Zone})
		}
	}
	for _, vm := range forget {
		g.forget(vm)
	}
	return out
}

func (g *Group) setDead(now time.Time, r *record) {
	r.Status = shed.StatusDead
	r.deadAt = now
	r.suspectAt = time.Time{}
	g.dirty = true
}

func (g *Group) forget(vm shed.VM) {
	delete(g.members, vm)
	at, ok := slices.BinarySearch(g.order, vm)
	if ok {
		g.order = slices.Delete(g.order, at, at+1)
	}
	g.dirty = true
}

// peerLost: the link gave no answer. That is a hint only, since just this one
// link may be silent; a probe by others decides.
func (g *Group) peerLost(now time.Time, vm shed.VM) []shed.Action {
	r := g.members[vm]
	if r == nil || r.Status == shed.StatusDead {
		return nil
	}
	for i := range g.pending {
		if g.pending[i].to == vm && g.pending[i].asker == "" {
			return nil
		}
	}
	return g.probe(now, nil, vm)
}
