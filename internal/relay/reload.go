package relay

import (
	"context"
	"reflect"
	"slices"
	"time"

	"jasmineshed/internal/prefs"
)

// followSettings polls the settings file for changes.
func (r *Relay) followSettings(ctx context.Context) error {
	t := time.NewTicker(r.prefs.Load().Relay.Reload)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			r.ReloadSettings(false)
		}
	}
}

// ReloadSettings rereads the settings and applies what can change in a running process: the
// seeds and the shares of fleet-wide budgets. Invalid settings change nothing.
func (r *Relay) ReloadSettings(asked bool) {
	if r.cfg.Reload == nil {
		return
	}
	p, err := r.cfg.Reload()
	if err != nil {
		r.log.WithError(err).Warn("settings not reloaded; the current ones stay in force")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.prefs.Load()
	if reflect.DeepEqual(old, p) {
		if asked {
			r.log.Info("settings reloaded; no changes")
		}
		return
	}
	next := *old
	next.Relay, next.Node.Seeds = p.Relay, p.Node.Seeds
	next.Relay.Ready = old.Relay.Ready
	seeds := !slices.Equal(old.Node.Seeds, p.Node.Seeds)
	r.setPrefs(&next, seeds)
	r.log.WithField("seeds_changed", seeds).Info("settings reloaded")
}

// setPrefs applies settings. The caller holds mu.
func (r *Relay) setPrefs(p *prefs.Prefs, seeds bool) {
	r.prefs.Store(p)
	r.group.SetPower(p.Relay.Power)
	if seeds {
		r.group.SetSeeds(seedVMs(p))
	}
}
