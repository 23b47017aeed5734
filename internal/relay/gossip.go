package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/delta"
	"jasmineshed/internal/follow"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/rank"
	"jasmineshed/internal/roster"

	"github.com/sirupsen/logrus"
)

// maxUpdateBytes bounds the changes in one control message, which has to arrive within a second
// over a low-bandwidth link shared with other messages. Each peer reads larger changes in
// parts, which may take as long as needed.
const maxUpdateBytes = 32 << 10

// forwardChanges sends peers the changes that the store reported after a revision: each peer is
// notified by one of the watchers, and one that misses the message learns of the change from
// the next load report. A watcher may itself have received the same update from another one a
// moment before, but its peers have not. The caller holds mu.
//
// After an outage of the store all VMs read it at once, and each knows of no other that has. If
// each notified all others, copies of the configuration would fill the links, and peers and
// servers would appear dead. In that case the VMs that watch in normal operation forward the
// changes.
func (r *Relay) forwardChanges(after shed.Revision, watchers []shed.VM) {
	to := r.notifiedPeers(watchers)
	if len(to) == 0 {
		return
	}
	msg := shed.StoreUpdate{After: after, AsOf: r.roster.AsOf()}
	client := r.client
	if after.Era() != msg.AsOf.Era() {
		// Peers of an earlier era need everything.
		msg.Unsent = true
		client.SendAll(to, msg)
		return
	}
	changes := r.changes(after, after)
	r.work.Go(func() error {
		msg.Items = r.packChanges(changes)
		if valueBytes(msg.Items) > maxUpdateBytes {
			msg.Items, msg.Unsent = nil, true
		}
		client.SendAll(to, msg)
		return nil
	})
}

// notifiedPeers returns the peers that this VM, as one of the watchers, notifies of changes. The caller holds mu.
func (r *Relay) notifiedPeers(watchers []shed.VM) []shed.VM {
	var to []shed.VM
	for _, vm := range r.alivePeers() {
		if watcher, ok := rank.Owner(string(vm), watchers); ok && watcher == r.mesh.self.VM {
			to = append(to, vm)
		}
	}
	return to
}

// change is an item that a peer lacks, and the version of it that the peer has.
type change struct {
	item, base shed.Item
	// hashed: the peer has the value, so its hash is enough.
	hashed bool
}

// changes returns the items changed after one revision, for a peer that has everything up to
// another, known. The caller holds mu.
func (r *Relay) changes(after, known shed.Revision) []change {
	items := r.roster.ChangesSince(after)
	out := make([]change, len(items))
	for i, item := range items {
		out[i] = change{item: item, base: r.roster.ItemAt(item.Key, known)}
	}
	return out
}

// packChanges encodes changes for peers. The caller must not hold mu: a large value takes long.
func (r *Relay) packChanges(changes []change) []shed.ItemChange {
	out := make([]shed.ItemChange, len(changes))
	for i, c := range changes {
		if c.hashed {
			out[i] = delta.Hashed(c.item)
			continue
		}
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
	if call.KnowsHashes && call.Known > 0 && call.Known.Era() < asOf.Era() {
		// A peer of an earlier era reads everything, most of which it has.
		for i := range changes {
			changes[i].hashed = r.roster.IsCarried(changes[i].item.Key)
		}
	}
	r.mu.Unlock()
	return peers.ItemsReply{AsOf: asOf, Items: r.packChanges(changes)}
}

// unpackChanges decodes changes from a peer that follow on the items in earlier, which are not applied yet. Items
// already held here are left without a value.
func (r *Relay) unpackChanges(changes []shed.ItemChange, earlier []shed.Item) ([]shed.Item, error) {
	items := make([]shed.Item, len(changes))
	for i, c := range changes {
		r.mu.Lock()
		held, known := r.roster.Item(c.Key), r.roster.HasItem(c.Key, c.Revision)
		r.mu.Unlock()
		for _, item := range earlier {
			if item.Key == c.Key && len(item.Value) > 0 {
				held = item
			}
		}
		if c.Packed && known {
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

// storeUpdate is an update of the store that a peer forwarded.
type storeUpdate struct {
	from shed.VM
	shed.StoreUpdate
}

// maxQueuedUpdates bounds the queue of updates; what does not fit is read from the peer in one
// pull.
const maxQueuedUpdates = 32

// receiveUpdate queues an update from a peer. Updates are applied one at a time: changes often
// arrive in quick succession, and the second can't be applied before the first. The caller
// holds mu.
func (r *Relay) receiveUpdate(now time.Time, from shed.VM, m shed.StoreUpdate) {
	if m.AsOf <= r.roster.AsOf() {
		return
	}
	if m.Unsent || len(r.mesh.updates) >= maxQueuedUpdates {
		r.handleFollowEvent(now, follow.UpdateMissed{From: from, AsOf: m.AsOf})
		return
	}
	r.mesh.updates = append(r.mesh.updates, storeUpdate{from: from, StoreUpdate: m})
	if len(r.mesh.updates) > 1 {
		// What it takes out of use doesn't wait for those before.
		r.work.Go(func() error {
			r.applyAhead(storeReading{from: roster.FromPeer, entries: r.entriesOf(plainItems(m.Items))})
			return nil
		})
		return
	}
	r.work.Go(func() error {
		for r.applyUpdates() {
		}
		return nil
	})
}

// applyUpdates applies the queued updates as one; it returns false once the queue is empty.
func (r *Relay) applyUpdates() bool {
	r.mu.Lock()
	queued, known := slices.Clone(r.mesh.updates), r.roster.AsOf()
	r.mu.Unlock()
	items, asOf, missed := r.mergeUpdates(known, queued)
	if asOf > known {
		r.applyReading(storeReading{from: roster.FromPeer, entries: r.entriesOf(items), after: known, asOf: asOf})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range missed {
		r.handleFollowEvent(time.Now(), follow.UpdateMissed{From: m.from, AsOf: m.AsOf})
	}
	r.mesh.updates = r.mesh.updates[len(queued):]
	return len(r.mesh.updates) > 0
}

// mergeUpdates joins the items of the updates that follow on the revision known and on each other, and returns the
// revision that they are as of, and the updates that can't be applied.
func (r *Relay) mergeUpdates(
	known shed.Revision, updates []storeUpdate,
) (items []shed.Item, asOf shed.Revision, missed []storeUpdate) {
	asOf = known
	for _, m := range updates {
		if m.After > asOf || m.AsOf.Era() != known.Era() {
			missed = append(missed, m)
			continue
		}
		if m.AsOf <= asOf {
			continue
		}
		next, err := r.unpackChanges(m.Items, items)
		if err != nil {
			missed = append(missed, m)
			continue
		}
		items, asOf = append(items, next...), m.AsOf
	}
	return items, asOf, missed
}

// maxPeerUptime is longer than any VM runs: a peer that the store never answered reports a longer time since.
const maxPeerUptime = 10 * 365 * 24 * time.Hour

// receiveStoreState compares a peer's state of the store with this VM's. The caller holds mu.
func (r *Relay) receiveStoreState(now time.Time, from shed.VM, m shed.RelayLoad) {
	member, _ := r.group.Lookup(from)
	var answeredAt time.Time
	if m.ConfirmedAgo < maxPeerUptime {
		answeredAt = now.Add(-max(m.ConfirmedAgo, 0))
		r.roster.StoreAnswered(answeredAt)
	}
	r.handleFollowEvent(now, follow.PeerReported{From: from, State: follow.PeerState{
		AsOf: m.AsOf, Digest: m.Digest, Catalog: m.Catalog, LastContact: answeredAt, Power: member.Power,
	}})
}

// handleFollowEvent performs the follower's actions for an event. The caller holds mu.
func (r *Relay) handleFollowEvent(now time.Time, ev follow.Event) {
	own := follow.LocalState{
		AsOf: r.roster.AsOf(), Digest: r.roster.Digest(), LastContact: r.roster.LastContact(), Applying: r.mesh.applying,
	}
	for _, act := range r.mesh.follower.Handle(now, own, ev) {
		switch a := act.(type) {
		case follow.Confirm:
			r.roster.Confirm(a.At)
		case follow.Pull:
			client := r.client
			r.work.Go(func() error {
				r.pullFromPeer(r.base, client, a)
				return nil
			})
		}
	}
}

// pullFromPeer reads the items that this VM lacks from a peer, and reports the end of the pull
// to the follower.
func (r *Relay) pullFromPeer(ctx context.Context, client *peers.Client, p follow.Pull) {
	began, before := time.Now(), client.BytesReceived()
	items, asOf, err := r.readPeer(ctx, client, &p)
	// received_bytes distinguishes a peer that sent too little from one that did not answer.
	log := r.log.WithFields(revisionFields("after", p.After)).WithFields(revisionFields("as_of", asOf)).WithFields(logrus.Fields{
		"peer": p.From, "wanted": p.Reported.Number(), "items": len(items),
		"took_ms": time.Since(began).Milliseconds(), "received_bytes": client.BytesReceived() - before,
	})
	if err != nil {
		log.WithError(err).Info("items of the store not read from a peer")
	} else {
		log.Info("items of the store read from a peer")
		r.applyReading(storeReading{from: roster.FromPeer, entries: r.entriesOf(items), after: p.After, asOf: asOf, complete: p.After == 0})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handleFollowEvent(time.Now(), follow.PullEnded{Pull: p.ID, Failed: err != nil})
}

// readPeer reads what a pull asks for. If the peer has entered another era of the store meanwhile,
// it reads everything, and changes the pull accordingly: changes don't tell what that era lacks.
func (r *Relay) readPeer(ctx context.Context, client *peers.Client, p *follow.Pull) ([]shed.Item, shed.Revision, error) {
	call := peers.ItemsCall{After: p.After, Known: p.Known, KnowsHashes: true}
	for {
		reply, err := client.Items(ctx, p.From, call)
		if err != nil {
			return nil, 0, err
		}
		if call.After > 0 && reply.AsOf.Era() != call.After.Era() {
			call.After, p.After = 0, 0
			continue
		}
		items, err := r.unpackChanges(reply.Items, nil)
		if errors.Is(err, delta.ErrUnpack) && call.Known > 0 {
			// The item held here has changed meanwhile or isn't the base that the peer assumed.
			// Full values need no base.
			call.Known = 0
			continue
		}
		return items, reply.AsOf, err
	}
}
