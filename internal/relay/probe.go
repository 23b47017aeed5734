package relay

import (
	"errors"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/engine"
	"jasmineshed/internal/reach"
)

const (
	// probeTimeout bounds a probe of a server, which answers at once.
	probeTimeout = 200 * time.Millisecond
	// probeHeadStart is how long a direct probe is awaited before a peer probes the server too: most
	// servers in doubt are sound and answer by then, so that no peer is needed.
	probeHeadStart = 10 * time.Millisecond
)

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
	if p.Compare {
		if direct, carried, ok := r.probeBothWays(server); ok {
			r.comparePaths(p.Addr, direct, carried)
		}
	} else {
		direct, _ := r.probe(r.sender, server)
		r.recordProbe(p.Addr, direct)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths.table.EndProbe(p.Addr)
	r.checkIsolation()
}

// recordProbe records how far a probe got of a server whose path is lost.
func (r *Relay) recordProbe(addr reach.Addr, level reach.Level) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths.table.ProbedDirectly(time.Now(), addr, level)
}

// probeBothWays probes a server directly and through a peer at the same time. If the peer got further, or
// an answer before this VM, the server is probed directly again: it may have been silent and gone on
// meanwhile. ok is false if the server didn't answer directly and no peer could be asked.
func (r *Relay) probeBothWays(server shed.ServerEntry) (direct, carried reach.Level, ok bool) {
	answer := make(chan reach.Level, 1)
	r.work.Go(func() error {
		level, _ := r.probe(r.sender, server)
		answer <- level
		return nil
	})
	headStart := time.NewTimer(probeHeadStart)
	defer headStart.Stop()
	ended := false
	select {
	case direct = <-answer:
		ended = true
	case <-headStart.C:
	}
	if direct == reach.Answered {
		return direct, reach.Closed, true
	}
	carried, ok = r.probe(r.carriedSender, server)
	if !ended && carried < reach.Answered {
		direct = <-answer
	}
	if carried > direct {
		again, _ := r.probe(r.sender, server)
		direct = max(direct, again)
	}
	return direct, carried, ok || direct == reach.Answered
}

// probe makes a request that no server runs. carrierFound is false if no peer carries it.
func (r *Relay) probe(sender *engine.Sender, server shed.ServerEntry) (level reach.Level, carrierFound bool) {
	ctx, cancel := r.withTimeout(r.base, probeTimeout)
	defer cancel()
	req, err := r.cfg.Dialect.NewProbeRequest(server.Addr)
	if err != nil {
		return reach.Closed, false
	}
	resp, sent, err := sender.Do(req.WithContext(ctx), true, nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	return levelOf(sent, err), !errors.Is(err, errNoCarrier)
}
