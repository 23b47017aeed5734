package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/follow"
	"jasmineshed/internal/rank"
	"jasmineshed/internal/roster"

	"github.com/sirupsen/logrus"
)

const (
	// storeRetryDelay is the pause after a failed call to the store; all VMs together
	// stay far below the store's rate with it.
	storeRetryDelay = 250 * time.Millisecond
	// nonWatcherRetryDelay is that pause for a VM that knows a configuration and isn't one
	// of those that watch for all: a store that turns all away would else get most calls
	// when it bears fewest.
	nonWatcherRetryDelay = time.Second
	// watcherCount is how many VMs watch the store; they tell the others. Each call
	// to the store is paid for, and its rate is shared by all. Three, since one
	// may be turned away by the store and one be restarted at the same time.
	watcherCount = 3
	// idlePoll is how often a VM that doesn't watch looks whether it should.
	idlePoll = 100 * time.Millisecond
	// watcherTimeout is how old the store's last answer to a VM may be for it to count
	// as one that watches.
	watcherTimeout = 2 * time.Second
)

// followStore keeps the roster up to date: by watching the store, if this is
// one of the VMs that do, or nobody's word of it is new enough; else by what
// those VMs tell.
func (r *Relay) followStore(ctx context.Context) error {
	for ctx.Err() == nil {
		call := r.nextCall(time.Now())
		if call == follow.NoCall {
			sleep(ctx, idlePoll)
			continue
		}
		err := r.readStore(ctx, call)
		if err == nil || ctx.Err() != nil {
			continue
		}
		r.storeFailed(err)
		sleep(ctx, r.retryPause(time.Now()))
	}
	return ctx.Err()
}

// storeFailed notes that the store gave no answer, and turns to peers.
func (r *Relay) storeFailed(cause error) {
	r.stats.storeFailures.Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if changes := r.roster.StoreFailed(now); len(changes) > 0 {
		r.log.WithError(cause).Info("store gives no answer")
		r.logRosterChanges(changes)
	}
	r.handleFollowEvent(now, follow.StoreFailed{Peers: r.alivePeers()})
}

// retryPause is the pause after a failed call to the store. As long as it fails for
// all, nobody counts as watching; the same VMs as ever ask often then.
func (r *Relay) retryPause(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roster.Catalog() == nil || !r.roster.Sure() || slices.Contains(r.standingWatchers(now), r.mesh.self.VM) {
		return storeRetryDelay
	}
	return nonWatcherRetryDelay
}

// nextCall is what this VM asks of the store now.
func (r *Relay) nextCall(now time.Time) follow.StoreCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	return follow.NextCall(now, follow.StoreView{
		AsOf: r.roster.AsOf(), Contact: r.roster.Contact(),
		Watcher: slices.Contains(r.watchers(now), r.mesh.self.VM), Forgotten: r.historyCompacted,
	})
}

// watchers are the VMs that watch the store for all.
func (r *Relay) watchers(now time.Time) []shed.VM {
	vms := slices.DeleteFunc(r.activeVMs(now), func(vm shed.VM) bool {
		return vm != r.mesh.self.VM && now.Sub(r.mesh.follower.Contact(vm)) >= watcherTimeout
	})
	return rank.Owners("store", r.highCapacityVMs(vms), watcherCount)
}

// standingWatchers are the VMs that watch the store as long as it answers them.
func (r *Relay) standingWatchers(now time.Time) []shed.VM {
	return rank.Owners("store", r.highCapacityVMs(r.activeVMs(now)), watcherCount)
}

// readStore makes one call to the store and takes in what it says.
func (r *Relay) readStore(ctx context.Context, call follow.StoreCall) error {
	r.mu.Lock()
	rd := storeReading{from: roster.FromStore, after: r.roster.AsOf()}
	r.mu.Unlock()
	r.stats.storeCalls.Inc(1)
	var err error
	switch call {
	case follow.ListCopy:
		rd.from, rd.whole = roster.FromCopy, true
		rd.items, rd.asOf, err = r.cfg.Store.ListCopy(ctx)
	case follow.List:
		rd.whole = true
		rd.items, rd.asOf, err = r.cfg.Store.List(ctx)
	case follow.Changes:
		rd.items, rd.asOf, err = r.cfg.Store.Watch(ctx, rd.after, 0)
	default:
		rd.items, rd.asOf, err = r.cfg.Store.Watch(ctx, rd.after, r.prefs.Load().Relay.Watch)
	}
	if errors.Is(err, shed.ErrHistoryGone) {
		r.historyCompacted = true
		r.log.WithField("after", rd.after).Info("store has no history since then; reading all of it")
		return nil
	}
	if err != nil {
		return err
	}
	if call == follow.List {
		r.historyCompacted = false
	}
	if call == follow.ListCopy || call == follow.Changes {
		r.log.WithFields(logrus.Fields{"after": rd.after, "as_of": rd.asOf, "items": len(rd.items), "whole": rd.whole}).
			Info("store read at the start")
	}
	r.applyReading(rd)
	return nil
}

// storeReading is what the store or a peer said: changes after a revision, or all items if
// whole.
type storeReading struct {
	from        roster.Source
	items       []shed.Item
	after, asOf shed.Revision
	whole       bool
}

// applyReading takes in what the store or a peer said, and passes on what the store did. One
// thing is taken in at a time: the same configuration often comes from two sides, and
// the second finds it known.
func (r *Relay) applyReading(rd storeReading) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.setApplying(true)
	defer r.setApplying(false)
	l := roster.Learned{Source: rd.from, AsOf: rd.asOf, Whole: rd.whole}
	for _, item := range rd.items {
		if r.cfg.Store.Owns(item.Key) {
			l.Items = append(l.Items, r.parseItem(item))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	watchers := r.watchers(now)
	if now.Sub(r.roster.Contact()) > follow.StaleAfter {
		watchers = r.standingWatchers(now)
	}
	r.logRosterChanges(r.roster.Learn(now, l))
	r.picker.Keep(r.roster.Listed)
	r.accept.Keep(r.roster.HasRoute)
	r.limits.Keep(now, r.roster.Listed)
	r.turnBook.Keep(now)
	r.deniedTurns.Keep(now)
	if rd.from == roster.FromStore && len(l.Items) > 0 && rd.after > 0 && slices.Contains(watchers, r.mesh.self.VM) {
		r.forwardChanges(rd.after, watchers)
	}
}

func (r *Relay) setApplying(taking bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mesh.applying = taking
}

// parseItem finds out what an item says, unless it is known here: a configuration comes
// from several sides, and each reading takes a small VM a good part of a second.
func (r *Relay) parseItem(item shed.Item) roster.Entry {
	e := roster.Entry{Item: item}
	if item.Gone || r.hasItem(item) {
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

// hasItem tells whether this VM holds the item, or a newer one of its key.
func (r *Relay) hasItem(item shed.Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.Item(item.Key).Revision >= item.Revision
}

// logRosterChanges logs what the roster believes anew. The caller holds mu.
func (r *Relay) logRosterChanges(changes []roster.Change) {
	for _, c := range changes {
		r.stats.stateChanges.Inc(1)
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
