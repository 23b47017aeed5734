package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/engine"
	"jasmineshed/internal/reach"
)

// probeTimeout bounds a probe of a server, which answers at once.
const probeTimeout = 200 * time.Millisecond

// tickPaths looks for silent requests, cancels those on lost paths, and begins due probes. The
// caller holds mu.
func (r *Relay) tickPaths(now time.Time) {
	r.checkSilence(now)
	r.checkCarriers(now)
	for _, p := range r.paths.table.DueProbes(now, r.probableAddrs(now)) {
		server := r.roster.OpenServerAt(string(p.Addr)).ServerEntry
		r.work.Go(func() error {
			r.probePath(p, server)
			return nil
		})
	}
}

// probableAddrs returns the servers that may be probed: not those that limit their requests or want
// none, if there are others. The caller holds mu.
func (r *Relay) probableAddrs(now time.Time) []reach.Addr {
	if !r.paths.table.NeedsProbes(now) {
		return nil
	}
	all := r.serverAddrs()
	free := slices.DeleteFunc(slices.Clone(all), func(a reach.Addr) bool {
		s := r.roster.OpenServerAt(string(a))
		return s.Cold(now) || r.isLimited(s) || r.access.IsRested(s.Start())
	})
	if len(free) == 0 {
		return all
	}
	return free
}

// probePath finds out whether the path to a server is lost.
func (r *Relay) probePath(p reach.Probe, server shed.ServerEntry) {
	r.stats.pathProbes.Inc(1)
	direct, _ := r.probe(r.sender, server)
	carried, carrierFound := reach.Closed, true
	if p.Compare && direct < reach.Answered {
		carried, carrierFound = r.probe(r.carriedSender, server)
	}
	if p.Compare && carrierFound {
		r.comparePaths(p.Addr, direct, carried)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !p.Compare {
		r.paths.table.ProbedDirectly(time.Now(), p.Addr, direct)
	}
	r.paths.table.EndProbe(p.Addr)
	r.checkIsolation()
}

// probe makes a request that no server runs. carrierFound is false if no peer carries it.
func (r *Relay) probe(sender *engine.Sender, server shed.ServerEntry) (level reach.Level, carrierFound bool) {
	ctx, cancel := context.WithTimeout(r.base, probeTimeout)
	defer cancel()
	req, err := r.cfg.Dialect.NewProbeRequest(server.Addr)
	if err != nil {
		return reach.Closed, false
	}
	resp, sent, err := sender.Do(req.WithContext(ctx), true, time.Time{})
	if err == nil {
		_ = resp.Body.Close()
	}
	return levelOf(sent, err), !errors.Is(err, errNoCarrier)
}
