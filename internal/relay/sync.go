package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/rank"
	"jasmineshed/internal/roster"

	"github.com/sirupsen/logrus"
)

const (
	// storeRetry is the pause after a failed call to the store; all VMs together
	// stay far below the store's rate with it.
	storeRetry = 250 * time.Millisecond
	// storeRetryOthers is that pause for a VM that knows a configuration and isn't one
	// of those that watch for all: 66 VMs at the short pause made 2,100 calls in the
	// eight seconds in which a store turned all away.
	storeRetryOthers = time.Second
	// peerAsk is how often a VM that doesn't reach the store asks a peer.
	peerAsk = 400 * time.Millisecond
	// watchers is how many VMs watch the store; they tell the others. Each call
	// to the store is paid for, and its rate is shared by all. Three, since one
	// may be turned away by the store and one be restarted at the same time.
	watchers = 3
	// staleAfter is how old the store's last answer may be, to this VM or to one
	// that told it, before this VM reads the store by itself. Changes have to be
	// in force within two seconds.
	staleAfter = 1300 * time.Millisecond
	// idlePoll is how often a VM that doesn't watch looks whether it should.
	idlePoll = 100 * time.Millisecond
	// watchesBy is how old the store's last answer to a VM may be for it to count
	// as one that watches.
	watchesBy = 2 * time.Second
)

// storeWord is what a VM told of what it knows of the store.
type storeWord struct {
	asOf   shed.Revision
	digest uint64
	// contact is when the store last answered it.
	contact time.Time
}

// followStore keeps the roster up to date: by watching the store, if this is
// one of the VMs that do, or nobody's word of it is new enough; else by what
// those VMs tell.
func (r *Relay) followStore(ctx context.Context) error {
	var lastAsk time.Time
	for ctx.Err() == nil {
		if !r.watches(time.Now()) {
			wait(ctx, idlePoll)
			continue
		}
		err := r.readStore(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		r.mu.Lock()
		r.tellChanges(r.roster.StoreFailed(time.Now()))
		r.mu.Unlock()
		r.stats.storeFailures.Inc(1)
		if time.Since(lastAsk) >= peerAsk {
			lastAsk = time.Now()
			r.askPeer(ctx, err)
		}
		wait(ctx, r.retryPause(time.Now()))
	}
	return ctx.Err()
}

// retryPause is the pause after a failed call to the store. As long as it fails for
// all, nobody counts as watching; the same VMs as ever ask often then.
func (r *Relay) retryPause(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roster.Catalog() == nil || slices.Contains(r.standing(now), r.mesh.self.VM) {
		return storeRetry
	}
	return storeRetryOthers
}

// watches tells whether this VM reads the store now.
func (r *Relay) watches(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roster.Catalog() == nil || now.Sub(r.roster.Contact()) > staleAfter {
		return true
	}
	return slices.Contains(r.watchers(now), r.mesh.self.VM)
}

// watchers are the VMs that watch the store for all.
func (r *Relay) watchers(now time.Time) []shed.VM {
	vms := slices.DeleteFunc(r.present(now), func(vm shed.VM) bool {
		return vm != r.mesh.self.VM && now.Sub(r.mesh.store[vm].contact) >= watchesBy
	})
	return rank.Owners("store", r.strong(vms), watchers)
}

// standing are the VMs that watch the store as long as it answers them.
func (r *Relay) standing(now time.Time) []shed.VM {
	return rank.Owners("store", r.strong(r.present(now)), watchers)
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

// learn takes in what the store or a peer said, and passes on what is new.
func (r *Relay) learn(from roster.Source, items []shed.Item, asOf shed.Revision, whole bool) {
	l := roster.Learned{Source: from, AsOf: asOf, Whole: whole}
	for _, item := range items {
		if r.cfg.Store.Owns(item.Key) {
			l.Items = append(l.Items, r.read(item))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now, before := time.Now(), r.roster.AsOf()
	tellers := r.watchers(now)
	if now.Sub(r.roster.Contact()) > staleAfter {
		tellers = r.standing(now)
	}
	r.tellChanges(r.roster.Learn(now, l))
	r.picker.Keep(r.roster.Listed)
	r.accept.Keep(r.roster.HasRoute)
	if from == roster.FromStore && len(l.Items) > 0 && before > 0 && slices.Contains(tellers, r.mesh.self.VM) {
		r.passOn(before, tellers)
	}
}

func (r *Relay) read(item shed.Item) roster.Entry {
	e := roster.Entry{Item: item}
	if item.Gone {
		return e
	}
	fact, err := r.cfg.Store.Read(item)
	if err != nil {
		r.log.WithField("key", item.Key).WithError(err).Warn("item of the store is not used")
		return e
	}
	e.Fact = fact
	return e
}

// passOn tells peers what has changed since before: each one is told by one of the
// tellers. Who misses it learns of it by the next load message. The caller holds mu.
//
// After an outage of the store all VMs read it at once, and each knows of no other
// that has. Each told all others then: 78 VMs sent 6,000 copies of a configuration,
// their links were full for two seconds, and peers and servers seemed dead. So the
// tellers are then those that watch when all is well.
func (r *Relay) passOn(before shed.Revision, by []shed.VM) {
	news := shed.StoreNews{After: before, AsOf: r.roster.AsOf(), Items: r.roster.Since(before)}
	for _, vm := range r.alive() {
		if teller, ok := rank.Owner(string(vm), by); ok && teller == r.mesh.self.VM {
			r.client.Send(vm, news)
		}
	}
}

// heardNews takes in what a peer passes on. The caller holds mu.
func (r *Relay) heardNews(m shed.StoreNews) {
	if m.AsOf <= r.roster.AsOf() || m.After > r.roster.AsOf() {
		return
	}
	r.work.Go(func() error {
		r.learn(roster.FromPeer, m.Items, m.AsOf, false)
		return nil
	})
}

// heardStore compares what a peer knows of the store with what this VM knows.
// The caller holds mu.
func (r *Relay) heardStore(now time.Time, from shed.VM, m shed.RelayLoad) {
	word := storeWord{asOf: m.AsOf, digest: m.Digest, contact: now.Add(-m.Confirmed)}
	r.mesh.store[from] = word
	own := r.roster.AsOf()
	switch {
	case word.asOf < own || word.contact.Before(r.roster.Contact()):
	case word.asOf == own && word.digest == r.roster.Digest():
		r.roster.Confirmed(word.contact)
	case !r.mesh.pulling:
		r.mesh.pulling = true
		r.work.Go(func() error {
			defer r.pulled()
			r.pull(r.base, from, own, word)
			return nil
		})
	}
}

func (r *Relay) pulled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mesh.pulling = false
}

// pull reads from a peer what it knows more: what has changed since, or all of
// it if a deletion was missed.
func (r *Relay) pull(ctx context.Context, vm shed.VM, own shed.Revision, word storeWord) {
	after := own
	if word.asOf == own {
		after = 0
	}
	r.mu.Lock()
	client := r.client
	r.mu.Unlock()
	began, before := time.Now(), client.Received()
	reply, err := client.Items(ctx, vm, peers.ItemsCall{After: after})
	// What came tells a transfer that was too long from a peer that did not answer.
	log := r.log.WithFields(logrus.Fields{
		"peer": vm, "after": after, "wanted": word.asOf,
		"took_ms": time.Since(began).Milliseconds(), "received_bytes": client.Received() - before,
	})
	if err != nil {
		log.WithError(err).Info("items of the store not read from a peer")
		return
	}
	log.WithField("items", len(reply.Items)).Info("items of the store read from a peer")
	r.learn(roster.FromPeer, reply.Items, reply.AsOf, after == 0)
}

// askPeer reads all from the peer that knows most of the store, since the store
// gives no answer and nothing is known.
func (r *Relay) askPeer(ctx context.Context, why error) {
	r.mu.Lock()
	own := r.roster.AsOf()
	best := shed.VM("")
	var word storeWord
	for _, vm := range r.alive() {
		if w := r.mesh.store[vm]; best == "" || w.asOf > word.asOf {
			best, word = vm, w
		}
	}
	r.mu.Unlock()
	if best == "" || own > 0 && word.asOf <= own {
		return
	}
	r.log.WithFields(logrus.Fields{"peer": best, "as_of": word.asOf, "store_error": why.Error()}).
		Info("store gives no answer; reading from a peer")
	r.pull(ctx, best, own, word)
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
