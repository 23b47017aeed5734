package relay

import (
	"context"
	"time"

	shed "jasmineshed"
)

const (
	// checkTimeout bounds a check of the store, which answers it at once.
	checkTimeout = 200 * time.Millisecond
	// checkPause is the least time between two checks.
	checkPause = 50 * time.Millisecond
)

// storeCheck is a read of what the store has changed since the roster's state. The fields are written before done is
// closed.
type storeCheck struct {
	done    chan struct{}
	began   time.Time
	changed []shed.ServerEntry
	err     error
}

// confirmOnlyVersion reports whether no server of another version had joined the pool when the request came. The roster
// can't tell: this VM may have been cut off or have stood still, and an answer of the store that it reads now may be older.
func (r *Relay) confirmOnlyVersion(ctx context.Context, j *job, version shed.SoftwareVersion) bool {
	changed, err := r.checkStore(ctx, j.began)
	if err != nil {
		r.log.WithError(err).WithField("request", j.request.ID).Info("only version of a pool is not confirmed")
		return false
	}
	for _, s := range changed {
		if s.Pool == j.pool.ID && s.Version != version {
			return false
		}
	}
	return true
}

// checkStore returns the servers' entries that the store has written since the roster's state, by a read that began after
// since. Requests share reads.
func (r *Relay) checkStore(ctx context.Context, since time.Time) ([]shed.ServerEntry, error) {
	for {
		c := r.currentCheck(since)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-c.done:
		}
		if !c.began.Before(since) {
			return c.changed, c.err
		}
	}
}

// currentCheck returns the check in flight, or the last one if it began after since, or begins one.
func (r *Relay) currentCheck(since time.Time) *storeCheck {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.check; c != nil {
		select {
		case <-c.done:
			if !c.began.Before(since) {
				return c
			}
		default:
			return c
		}
	}
	last, c := r.check, &storeCheck{done: make(chan struct{})}
	r.check = c
	r.work.Go(func() error {
		defer close(c.done)
		if last != nil {
			sleep(r.base, time.Until(last.began.Add(checkPause)))
		}
		c.began = time.Now()
		c.changed, c.err = r.readChangedServers()
		return nil
	})
	return c
}

// readChangedServers reads the servers' entries that the store has written since the roster's state.
func (r *Relay) readChangedServers() ([]shed.ServerEntry, error) {
	ctx, cancel := r.withTimeout(r.base, checkTimeout)
	defer cancel()
	r.mu.Lock()
	after := r.roster.AsOf()
	r.mu.Unlock()
	r.stats.storeCalls.Inc(1)
	items, _, err := r.cfg.Store.Watch(ctx, after, 0)
	if err != nil {
		return nil, err
	}
	var out []shed.ServerEntry
	for _, e := range r.entriesOf(items) {
		if s, ok := e.Record.(shed.ServerEntry); ok {
			out = append(out, s)
		}
	}
	return out, nil
}
