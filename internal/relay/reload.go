package relay

import (
	"context"
	"reflect"
	"slices"
	"time"

	"jasmineshed/internal/prefs"
)

// followSettings looks at the settings file now and then.
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

// ReloadSettings reads the settings again. What can change in a process that
// runs is put in force: the seeds and the shares of what the fleet may use up.
// Settings with a fault change nothing.
func (r *Relay) ReloadSettings(asked bool) {
	if r.cfg.Reload == nil {
		return
	}
	p, err := r.cfg.Reload()
	if err != nil {
		r.log.WithError(err).Warn("settings not reloaded; the last good ones stay in force")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.prefs.Load()
	if reflect.DeepEqual(old, p) {
		if asked {
			r.log.Info("settings reloaded; nothing has changed")
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

// setPrefs puts settings in force. The caller holds mu.
func (r *Relay) setPrefs(p *prefs.Prefs, seeds bool) {
	r.prefs.Store(p)
	r.group.SetPower(p.Relay.Power)
	if seeds {
		r.group.SetSeeds(seedVMs(p))
	}
}
