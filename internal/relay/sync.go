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
	// storeRetryDelay is the pause after a failed call to the store; with it, all VMs together
	// stay far below the store's rate limit.
	storeRetryDelay = 250 * time.Millisecond
	// nonWatcherRetryDelay is that pause for a VM that has a configuration and isn't a watcher:
	// otherwise a store that rejects every call would get the most calls when it can handle the
	// fewest.
	nonWatcherRetryDelay = time.Second
	// watcherCount is how many VMs watch the store; they notify the others. Each call to the
	// store costs money, and its rate limit is shared by all. Three, since the store may reject
	// one while another is being restarted.
	watcherCount = 3
	// idlePoll is how often a VM that doesn't watch checks whether it should.
	idlePoll = 100 * time.Millisecond
	// watcherTimeout is how old the store's last answer to a VM may be for it to count as a
	// watcher.
	watcherTimeout = 2 * time.Second
)

// followStore keeps the roster up to date: by watching the store if this VM is a watcher or no
// peer's state is recent enough, otherwise by the watchers' updates.
func (r *Relay) followStore(ctx context.Context) error {
	for ctx.Err() == nil {
		call := r.nextCall(time.Now())
		if call == follow.NoCall || call != follow.Watch && r.isApplyingReadings() {
			sleep(ctx, idlePoll)
			continue
		}
		err := r.readStore(ctx, call)
		if err == nil || ctx.Err() != nil {
			continue
		}
		r.storeFailed(err)
		sleep(ctx, r.retryDelay(time.Now()))
	}
	return ctx.Err()
}

// storeFailed records that the store gave no answer, and falls back to peers.
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

// retryDelay returns the pause after a failed call to the store. While it fails for all, no VM
// counts as a watcher; the standing watchers keep the short pause.
func (r *Relay) retryDelay(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roster.Catalog() == nil || !r.roster.IsConfirmed() || slices.Contains(r.standingWatchers(now), r.mesh.self.VM) {
		return storeRetryDelay
	}
	return nonWatcherRetryDelay
}

// nextCall returns the call that this VM should make to the store now.
func (r *Relay) nextCall(now time.Time) follow.StoreCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	return follow.NextCall(now, follow.StoreView{
		AsOf: r.readUpTo(), LastContact: r.roster.LastContact(), LastChange: r.lastChange,
		Watcher: slices.Contains(r.watchers(now), r.mesh.self.VM), Compacted: r.historyCompacted,
	})
}

// watchers returns the VMs that watch the store on behalf of all.
func (r *Relay) watchers(now time.Time) []shed.VM {
	vms := slices.DeleteFunc(r.activeVMs(now), func(vm shed.VM) bool {
		return vm != r.mesh.self.VM && now.Sub(r.mesh.follower.LastContact(vm)) >= watcherTimeout
	})
	return rank.Owners("store", r.highCapacityVMs(vms), watcherCount)
}

// standingWatchers returns the VMs that watch the store when it answers them.
func (r *Relay) standingWatchers(now time.Time) []shed.VM {
	return rank.Owners("store", r.highCapacityVMs(r.activeVMs(now)), watcherCount)
}

// readStore makes one call to the store and applies its answer.
func (r *Relay) readStore(ctx context.Context, call follow.StoreCall) error {
	r.mu.Lock()
	rd := storeReading{from: roster.FromStore, after: r.readUpTo()}
	r.mu.Unlock()
	r.stats.storeCalls.Inc(1)
	var items []shed.Item
	var err error
	switch call {
	case follow.ListReplica:
		rd.from, rd.complete = roster.FromReplica, true
		items, rd.asOf, err = r.cfg.Store.ListReplica(ctx)
	case follow.List:
		rd.complete = true
		items, rd.asOf, err = r.cfg.Store.List(ctx)
	case follow.ReadChanges:
		items, rd.asOf, err = r.cfg.Store.Watch(ctx, rd.after, 0)
	default:
		items, rd.asOf, err = r.cfg.Store.Watch(ctx, rd.after, r.prefs.Load().Relay.Watch)
	}
	if errors.Is(err, shed.ErrCompacted) {
		r.historyCompacted = true
		r.log.WithFields(revisionFields("after", rd.after)).WithError(err).Info("store lacks the changes since; reading all items")
		return nil
	}
	if err != nil {
		return err
	}
	if call == follow.List {
		r.historyCompacted = false
	}
	if len(items) > 0 {
		r.lastChange = time.Now()
	}
	if call == follow.ListReplica || call == follow.ReadChanges {
		r.log.WithFields(revisionFields("after", rd.after)).WithFields(revisionFields("as_of", rd.asOf)).
			WithFields(logrus.Fields{"items": len(items), "whole": rd.complete}).Info("store read at the start")
	}
	rd.entries = r.entriesOf(items)
	if call == follow.Watch {
		r.queueReading(rd)
		return nil
	}
	r.applyReading(rd)
	return nil
}

// storeReading is an answer of the store or a peer: the changes after a revision, or all items
// if complete.
type storeReading struct {
	from roster.Source
	// entries are parsed, but for configurations.
	entries     []roster.Entry
	after, asOf shed.Revision
	complete    bool
}

// applyReading applies an answer of the store or a peer. What takes servers out of use is applied before all
// that takes long, and doesn't wait for another reading.
func (r *Relay) applyReading(rd storeReading) {
	r.applyAhead(rd)
	r.applyAll(rd)
}

// applyAll applies all of an answer of the store or a peer, and forwards changes from the store.
// Readings are applied one at a time: the same configuration often arrives from two sources,
// and the second is then already known.
func (r *Relay) applyAll(rd storeReading) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.setApplying(true)
	defer r.setApplying(false)
	l := roster.Update{Source: rd.from, AsOf: rd.asOf, Complete: rd.complete, Items: rd.withoutSuperseded()}
	for i, e := range l.Items {
		if r.cfg.Store.IsCatalogKey(e.Key) {
			l.Items[i] = r.parseItem(e.Item)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	watchers := r.forwarders(now)
	knowledgeAge := r.knowledgeAge(now)
	r.logUpdate(r.roster.Apply(now, l), knowledgeAge)
	r.stats.storeEra.Update(float64(r.roster.Era()))
	r.picker.RetainServers(r.roster.HasServer)
	r.speeds.Retain(r.roster.HasServer)
	r.accept.Prune(r.roster.HasRoute)
	r.limits.Prune(now, r.roster.HasServer)
	r.turnBook.Prune(now)
	r.access.Prune(now)
	if rd.from == roster.FromStore && len(l.Items) > 0 && rd.after > 0 && slices.Contains(watchers, r.mesh.self.VM) {
		r.forwardChanges(rd.after, watchers)
	}
}

// forwarders returns the VMs that forward changes of the store to the others. The caller holds mu.
func (r *Relay) forwarders(now time.Time) []shed.VM {
	if now.Sub(r.roster.LastContact()) > follow.StaleAfter {
		return r.standingWatchers(now)
	}
	return r.watchers(now)
}

func (r *Relay) setApplying(taking bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mesh.applying = taking
}

// parseItem parses an item, unless it is already held here: a configuration arrives from
// several sources, and parsing it takes a low-capacity VM a good part of a second.
func (r *Relay) parseItem(item shed.Item) roster.Entry {
	e := roster.Entry{Item: item}
	if item.Deleted || r.hasItem(item) {
		return e
	}
	record, err := r.cfg.Store.ParseRecord(item)
	if err != nil {
		r.log.WithField("key", item.Key).WithError(err).Warn("invalid item of the store ignored")
		return e
	}
	e.Record = record
	return e
}

// hasItem reports whether this VM holds the item or a newer version of it.
func (r *Relay) hasItem(item shed.Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.HasItem(item.Key, item.Revision)
}

// knowledgeAge returns how old this VM's state of the store is at most; -1 ms if nobody has confirmed it.
// The caller holds mu.
func (r *Relay) knowledgeAge(now time.Time) time.Duration {
	at := r.roster.LastContact()
	if at.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(at)
}

// lateDeparture is how old this VM's state of the store may be when it learns that a server leaves.
const lateDeparture = time.Second

// logUpdate logs the changes by an update. knowledgeAge is how old the state of the store was before: the
// update was acknowledged to its writer no earlier. The caller holds mu.
func (r *Relay) logUpdate(changes []roster.Change, knowledgeAge time.Duration) {
	late := knowledgeAge > lateDeparture
	for _, c := range changes {
		if late && (c.Reason == roster.ServerLeaving || c.Reason == roster.ServerGone) {
			r.stats.departuresLate.Inc(1)
			r.log.WithFields(logrus.Fields{"server": c.Server, "knowledge_ms": knowledgeAge.Milliseconds()}).
				Warn("departure of a server learned late")
		}
	}
	r.logRosterChanges(changes)
}

// logRosterChanges logs changes of the roster's view. The caller holds mu.
func (r *Relay) logRosterChanges(changes []roster.Change) {
	for _, c := range changes {
		r.stats.stateChanges.Inc(1)
		fields := revisionFields("revision", c.Revision)
		fields["reason"] = c.Reason
		if c.Key != "" {
			fields["key"] = c.Key
		}
		if c.Server != "" {
			fields["server"] = c.Server
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

// revisionFields returns the log fields of a revision: its number under the name, and its era.
func revisionFields(name string, rev shed.Revision) logrus.Fields {
	return logrus.Fields{name: rev.Number(), name + "_era": rev.Era()}
}
