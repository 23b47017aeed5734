package relay

import (
	"context"
	"errors"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/roster"

	"github.com/sirupsen/logrus"
)

const (
	// storeRetry is the pause after a failed call to the store; all VMs together
	// stay far below the store's rate with it.
	storeRetry = 250 * time.Millisecond
	// peerAsk is how often a VM that doesn't reach the store asks a peer.
	peerAsk = 400 * time.Millisecond
)

// followStore keeps the roster up to date by watching the store; while the
// store gives no answer, by asking a peer.
func (r *Relay) followStore(ctx context.Context) error {
	var lastAsk time.Time
	for ctx.Err() == nil {
		err := r.readStore(ctx)
		if err == nil {
			continue
		}
		if ctx.Err() != nil {
			break
		}
		r.mu.Lock()
		r.tellChanges(r.roster.StoreFailed(time.Now()))
		r.mu.Unlock()
		r.stats.storeFailures.Inc(1)
		if !errors.Is(err, shed.ErrHistoryGone) && time.Since(lastAsk) >= peerAsk {
			lastAsk = time.Now()
			r.askPeer(ctx, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(storeRetry):
		}
	}
	return ctx.Err()
}

// readStore makes one call to the store: a list if nothing is known or the
// history is gone, else a watch.
func (r *Relay) readStore(ctx context.Context) error {
	r.mu.Lock()
	after := r.roster.AsOf()
	r.mu.Unlock()
	r.stats.storeCalls.Inc(1)
	if after == 0 || r.relist {
		items, asOf, err := r.cfg.Store.List(ctx)
		if err != nil {
			return err
		}
		r.relist = false
		r.learn(roster.FromStore, items, asOf, true)
		return nil
	}
	items, asOf, err := r.cfg.Store.Watch(ctx, after, r.prefs.Load().Relay.Watch)
	if errors.Is(err, shed.ErrHistoryGone) {
		r.relist = true
		r.log.WithField("after", after).Info("store has no history since then; reading all of it")
		return nil
	}
	if err != nil {
		return err
	}
	r.learn(roster.FromStore, items, asOf, false)
	return nil
}

func (r *Relay) learn(from roster.Source, items []shed.Item, asOf shed.Revision, whole bool) {
	l := roster.Learned{Source: from, AsOf: asOf, Whole: whole}
	for _, item := range items {
		if !r.cfg.Store.Owns(item.Key) {
			continue
		}
		e := roster.Entry{Item: item}
		if !item.Gone {
			fact, err := r.cfg.Store.Read(item)
			if err != nil {
				r.log.WithField("key", item.Key).WithError(err).Warn("item of the store is not used")
			} else {
				e.Fact = fact
			}
		}
		l.Items = append(l.Items, e)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tellChanges(r.roster.Learn(time.Now(), l))
	r.picker.Keep(r.roster.MaySend)
}

// askPeer asks the peer that knows most of the store.
func (r *Relay) askPeer(ctx context.Context, why error) {
	r.mu.Lock()
	after, client := r.roster.AsOf(), r.client
	vm, asOf := shed.VM(""), shed.Revision(0)
	for _, peer := range r.alive() {
		if known := r.mesh.asOf[peer]; vm == "" || known > asOf {
			vm, asOf = peer, known
		}
	}
	r.mu.Unlock()
	if vm == "" || asOf <= after && after > 0 {
		return
	}
	reply, err := client.Items(ctx, vm, peers.ItemsCall{After: after})
	if err != nil || len(reply.Items) == 0 {
		return
	}
	r.log.WithFields(logrus.Fields{"peer": vm, "as_of": reply.AsOf, "store_error": why.Error()}).
		Info("store gives no answer; items taken from a peer")
	r.learn(roster.FromPeer, reply.Items, reply.AsOf, true)
}

// tellChanges logs what the roster believes anew. The caller holds mu.
func (r *Relay) tellChanges(changes []roster.Change) {
	for _, c := range changes {
		r.stats.beliefs.Inc(1)
		fields := logrus.Fields{"reason": c.What, "revision": c.Revision}
		if c.Key != "" {
			fields["key"] = c.Key
		}
		if c.Zone != "" {
			fields["zone"] = c.Zone
		}
		if c.Version != "" {
			fields["version"] = c.Version
		}
		r.log.WithFields(fields).Info("belief")
	}
}
