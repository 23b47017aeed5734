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
const newsMost = 32 << 10

// passOn tells peers what the store said has changed after a revision: each one is told
// by one of the tellers. Who misses it learns of it by the next load message. A teller
// may have heard the same from another one a moment before; its peers have not. The
// caller holds mu.
//
// After an outage of the store all VMs read it at once, and each knows of no other
// that has. Were each to tell all others, links would be full with copies of the
// configuration, and peers and servers would seem dead. So the tellers are then those
// that watch when all is well.
func (r *Relay) passOn(after shed.Revision, by []shed.VM) {
	var to []shed.VM
	for _, vm := range r.alive() {
		if teller, ok := rank.Owner(string(vm), by); ok && teller == r.mesh.self.VM {
			to = append(to, vm)
		}
	}
	if len(to) == 0 {
		return
	}
	msg := shed.StoreUpdate{After: after, AsOf: r.roster.AsOf()}
	changes, client := r.changes(after, after), r.client
	r.work.Go(func() error {
		msg.Items = r.pack(changes)
		if valueBytes(msg.Items) > newsMost {
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
	items := r.roster.ChangesSince(after)
	out := make([]change, len(items))
	for i, item := range items {
		out[i] = change{item: item, base: r.roster.ItemAt(item.Key, known)}
	}
	return out
}

// pack packs changes for peers. The caller doesn't hold mu: a large value takes long.
func (r *Relay) pack(changes []change) []shed.ItemChange {
	out := make([]shed.ItemChange, len(changes))
	for i, c := range changes {
		out[i] = r.packer.Pack(c.item, c.base)
	}
	return out
}

func valueBytes(items []shed.ItemChange) int {
	all := 0
	for _, item := range items {
		all += len(item.Value)
	}
	return all
}

// Items implements peers.RelayHandler.
func (r *Relay) Items(call peers.ItemsCall) peers.ItemsReply {
	r.mu.Lock()
	asOf, changes := r.roster.AsOf(), r.changes(call.After, call.Known)
	r.mu.Unlock()
	return peers.ItemsReply{AsOf: asOf, Items: r.pack(changes)}
}

// restore unpacks what a peer sent. What is held here already is left without a value.
func (r *Relay) restore(changes []shed.ItemChange) ([]shed.Item, error) {
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

// news is what a peer passed on.
type news struct {
	from shed.VM
	shed.StoreUpdate
}

// newsWaiting bounds the news that wait to be taken in; what is behind it is read from
// the peer in one piece.
const newsWaiting = 32

// heardNews takes in what a peer passes on, one after the other: changes often come in
// quick succession, and the second can't be applied before the first. The caller holds
// mu.
func (r *Relay) heardNews(now time.Time, from shed.VM, m shed.StoreUpdate) {
	if m.AsOf <= r.roster.AsOf() {
		return
	}
	if m.Unsent || len(r.mesh.news) >= newsWaiting {
		r.follow(now, follow.UpdateMissed{From: from, AsOf: m.AsOf})
		return
	}
	r.mesh.news = append(r.mesh.news, news{from: from, StoreUpdate: m})
	if len(r.mesh.news) > 1 {
		return
	}
	r.work.Go(func() error {
		for r.takeNews() {
		}
		return nil
	})
}

// takeNews takes in the first news that waits; false if there is no more.
func (r *Relay) takeNews() bool {
	r.mu.Lock()
	m, known := r.mesh.news[0], r.roster.AsOf()
	r.mu.Unlock()
	missed := m.After > known
	if !missed && m.AsOf > known {
		items, err := r.restore(m.Items)
		missed = err != nil
		if !missed {
			r.learn(reading{from: roster.FromPeer, items: items, after: m.After, asOf: m.AsOf})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if missed {
		r.follow(time.Now(), follow.UpdateMissed{From: m.from, AsOf: m.AsOf})
	}
	r.mesh.news = r.mesh.news[1:]
	return len(r.mesh.news) > 0
}

// heardStore compares what a peer knows of the store with what this VM knows.
// The caller holds mu.
func (r *Relay) heardStore(now time.Time, from shed.VM, m shed.RelayLoad) {
	member, _ := r.group.Lookup(from)
	r.follow(now, follow.PeerReported{From: from, State: follow.PeerState{
		AsOf: m.AsOf, Digest: m.Digest, Catalog: m.Catalog, LastContact: now.Add(-m.ConfirmedAgo), Power: member.Power,
	}})
}

// follow performs what is decided about an event. The caller holds mu.
func (r *Relay) follow(now time.Time, ev follow.Event) {
	own := follow.LocalState{
		AsOf: r.roster.AsOf(), Digest: r.roster.Digest(), LastContact: r.roster.LastContact(), Applying: r.mesh.taking,
	}
	for _, act := range r.mesh.follow.Handle(now, own, ev) {
		switch a := act.(type) {
		case follow.Confirm:
			r.roster.Confirm(a.At)
		case follow.Pull:
			client := r.client
			r.work.Go(func() error {
				r.pull(r.base, client, a)
				return nil
			})
		}
	}
}

// pull reads from a peer what it knows more, and tells that it has ended.
func (r *Relay) pull(ctx context.Context, client *peers.Client, p follow.Pull) {
	began, before := time.Now(), client.BytesReceived()
	items, asOf, err := r.readPeer(ctx, client, p)
	// What came tells a peer that sent too little from one that did not answer.
	log := r.log.WithFields(logrus.Fields{
		"peer": p.From, "after": p.After, "wanted": p.Reported, "as_of": asOf, "items": len(items),
		"took_ms": time.Since(began).Milliseconds(), "received_bytes": client.BytesReceived() - before,
	})
	if err != nil {
		log.WithError(err).Info("items of the store not read from a peer")
	} else {
		log.Info("items of the store read from a peer")
		r.learn(reading{from: roster.FromPeer, items: items, after: p.After, asOf: asOf, whole: p.After == 0})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follow(time.Now(), follow.PullEnded{Pull: p.ID, Failed: err != nil})
}

func (r *Relay) readPeer(ctx context.Context, client *peers.Client, p follow.Pull) ([]shed.Item, shed.Revision, error) {
	call := peers.ItemsCall{After: p.After, Known: p.Known}
	for {
		reply, err := client.Items(ctx, p.From, call)
		if err != nil {
			return nil, 0, err
		}
		items, err := r.restore(reply.Items)
		if errors.Is(err, delta.ErrUnpack) && call.Known > 0 {
			// What is held here has changed meanwhile, or isn't what the peer took it
			// for. Whole values need no base.
			call.Known = 0
			continue
		}
		return items, reply.AsOf, err
	}
}
