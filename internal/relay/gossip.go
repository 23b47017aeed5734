package relay

import (
	"context"
	"errors"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/delta"
	"jasmineshed/internal/follow"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/rank"
	"jasmineshed/internal/roster"

	"github.com/sirupsen/logrus"
)

// newsMost is how many bytes of changes go in a control message, which has to pass
// within a second over a small link that has other messages, too. What is larger is
// read by each peer in parts, so that it may take as long as it needs.
const maxUpdateBytes = 32 << 10

// forwardChanges tells peers what the store said has changed after a revision: each one is told
// by one of the tellers. Who misses it learns of it by the next load message. A teller
// may have heard the same from another one a moment before; its peers have not. The
// caller holds mu.
//
// After an outage of the store all VMs read it at once, and each knows of no other
// that has. Were each to tell all others, links would be full with copies of the
// configuration, and peers and servers would seem dead. So the tellers are then those
// that watch when all is well.
func (r *Relay) forwardChanges(after shed.Revision, watchers []shed.VM) {
	var to []shed.VM
	for _, vm := range r.alivePeers() {
		if watcher, ok := rank.Owner(string(vm), watchers); ok && watcher == r.mesh.self.VM {
			to = append(to, vm)
		}
	}
	if len(to) == 0 {
		return
	}
	msg := shed.StoreNews{After: after, AsOf: r.roster.AsOf()}
	changes, client := r.changes(after, after), r.client
	r.work.Go(func() error {
		msg.Items = r.packChanges(changes)
		if valueBytes(msg.Items) > maxUpdateBytes {
			msg.Items, msg.Unsent = nil, true
		}
		client.SendAll(to, msg)
		return nil
	})
}

// change is an item that a peer lacks, and the one of the same key that it has.
type change struct{ item, base shed.Item }

// changes are what has changed after a revision, for a peer that knows all up to
// another. The caller holds mu.
func (r *Relay) changes(after, known shed.Revision) []change {
	items := r.roster.Since(after)
	out := make([]change, len(items))
	for i, item := range items {
		out[i] = change{item: item, base: r.roster.ItemAt(item.Key, known)}
	}
	return out
}

// packChanges packs changes for peers. The caller doesn't hold mu: a large value takes long.
func (r *Relay) packChanges(changes []change) []shed.ItemChange {
	out := make([]shed.ItemChange, len(changes))
	for i, c := range changes {
		out[i] = r.packer.Pack(c.item, c.base)
	}
	return out
}

func valueBytes(items []shed.ItemChange) int {
	total := 0
	for _, item := range items {
		total += len(item.Value)
	}
	return total
}

// Items implements peers.RelayHandler.
func (r *Relay) Items(call peers.ItemsCall) peers.ItemsReply {
	r.mu.Lock()
	asOf, changes := r.roster.AsOf(), r.changes(call.After, call.Known)
	r.mu.Unlock()
	return peers.ItemsReply{AsOf: asOf, Items: r.packChanges(changes)}
}

// unpackChanges unpacks what a peer sent. What is held here already is left without a value.
func (r *Relay) unpackChanges(changes []shed.ItemChange) ([]shed.Item, error) {
	items := make([]shed.Item, len(changes))
	for i, c := range changes {
		r.mu.Lock()
		held := r.roster.Item(c.Key)
		r.mu.Unlock()
		if c.Packed && held.Revision >= c.Revision {
			items[i] = shed.Item{Key: c.Key, Revision: c.Revision}
			continue
		}
		var err error
		if items[i], err = delta.Restore(c, held); err != nil {
			return nil, err
		}
	}
	return items, nil
}

// storeUpdate is what a peer passed on.
type storeUpdate struct {
	from shed.VM
	shed.StoreNews
}

// newsWaiting bounds the news that wait to be taken in; what is behind it is read from
// the peer in one piece.
const maxQueuedUpdates = 32

// receiveUpdate takes in what a peer passes on, one after the other: changes often come in
// quick succession, and the second can't be applied before the first. The caller holds
// mu.
func (r *Relay) receiveUpdate(now time.Time, from shed.VM, m shed.StoreNews) {
	if m.AsOf <= r.roster.AsOf() {
		return
	}
	if m.Unsent || len(r.mesh.updates) >= maxQueuedUpdates {
		r.handleFollowEvent(now, follow.Missed{From: from, AsOf: m.AsOf})
		return
	}
	r.mesh.updates = append(r.mesh.updates, storeUpdate{from: from, StoreNews: m})
	if len(r.mesh.updates) > 1 {
		return
	}
	r.work.Go(func() error {
		for r.applyNextUpdate() {
		}
		return nil
	})
}

// applyNextUpdate takes in the first news that waits; false if there is no more.
func (r *Relay) applyNextUpdate() bool {
	r.mu.Lock()
	m, known := r.mesh.updates[0], r.roster.AsOf()
	r.mu.Unlock()
	missed := m.After > known
	if !missed && m.AsOf > known {
		items, err := r.unpackChanges(m.Items)
		missed = err != nil
		if !missed {
			r.applyReading(storeReading{from: roster.FromPeer, items: items, after: m.After, asOf: m.AsOf})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if missed {
		r.handleFollowEvent(time.Now(), follow.Missed{From: m.from, AsOf: m.AsOf})
	}
	r.mesh.updates = r.mesh.updates[1:]
	return len(r.mesh.updates) > 0
}

// receiveStoreState compares what a peer knows of the store with what this VM knows.
// The caller holds mu.
func (r *Relay) receiveStoreState(now time.Time, from shed.VM, m shed.RelayLoad) {
	member, _ := r.group.Lookup(from)
	r.handleFollowEvent(now, follow.Heard{From: from, Word: follow.Word{
		AsOf: m.AsOf, Digest: m.Digest, Catalog: m.Catalog, Contact: now.Add(-m.Confirmed), Power: member.Power,
	}})
}

// handleFollowEvent performs what is decided about an event. The caller holds mu.
func (r *Relay) handleFollowEvent(now time.Time, ev follow.Event) {
	own := follow.Own{
		AsOf: r.roster.AsOf(), Digest: r.roster.Digest(), Contact: r.roster.Contact(), Taking: r.mesh.applying,
	}
	for _, act := range r.mesh.follower.Handle(now, own, ev) {
		switch a := act.(type) {
		case follow.Confirm:
			r.roster.Confirmed(a.At)
		case follow.Pull:
			client := r.client
			r.work.Go(func() error {
				r.pullFromPeer(r.base, client, a)
				return nil
			})
		}
	}
}

// pullFromPeer reads from a peer what it knows more, and tells that it has ended.
func (r *Relay) pullFromPeer(ctx context.Context, client *peers.Client, p follow.Pull) {
	began, before := time.Now(), client.Received()
	items, asOf, err := r.readPeer(ctx, client, p)
	// What came tells a peer that sent too little from one that did not answer.
	log := r.log.WithFields(logrus.Fields{
		"peer": p.From, "after": p.After, "wanted": p.Wanted, "as_of": asOf, "items": len(items),
		"took_ms": time.Since(began).Milliseconds(), "received_bytes": client.Received() - before,
	})
	if err != nil {
		log.WithError(err).Info("items of the store not read from a peer")
	} else {
		log.Info("items of the store read from a peer")
		r.applyReading(storeReading{from: roster.FromPeer, items: items, after: p.After, asOf: asOf, whole: p.After == 0})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handleFollowEvent(time.Now(), follow.Ended{Pull: p.ID, Failed: err != nil})
}

func (r *Relay) readPeer(ctx context.Context, client *peers.Client, p follow.Pull) ([]shed.Item, shed.Revision, error) {
	call := peers.ItemsCall{After: p.After, Known: p.Known}
	for {
		reply, err := client.Items(ctx, p.From, call)
		if err != nil {
			return nil, 0, err
		}
		items, err := r.unpackChanges(reply.Items)
		if errors.Is(err, delta.ErrPacked) && call.Known > 0 {
			// What is held here has changed meanwhile, or isn't what the peer took it
			// for. Whole values need no base.
			call.Known = 0
			continue
		}
		return items, reply.AsOf, err
	}
}
