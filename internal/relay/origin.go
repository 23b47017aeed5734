package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
	"jasmineshed/internal/origin"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/roster"

	"github.com/sirupsen/logrus"
)

const (
	// originTimeout bounds the calls for the origin of a stream, which take milliseconds.
	originTimeout = 200 * time.Millisecond
	// streamLives is how many timeouts of its route a stream lives at most, over all attempts of
	// its caller.
	streamLives = 2
	// maxVersionLag is how much later than another VM this one may learn of a server of a new
	// version.
	maxVersionLag = 2 * time.Second
)

// candidates returns the servers that may get the request: the pool's open servers, or those of them
// that run the version at which the request's stream began. A stream that can be resumed begins at a server whose version
// is known, if there is one. All choices of a server for a request are made among them. The caller holds mu.
func (r *Relay) candidates(now time.Time, j *job) []*roster.Server {
	servers := r.roster.OpenServers(j.pool.ID)
	if j.origin == nil && (!j.route.Resumable || !r.poison.HasCrashes()) {
		return servers
	}
	var out []*roster.Server
	for _, s := range servers {
		if (j.origin == nil || s.Version == j.origin.Version) && !r.mayHaveRestarted(now, s.Start()) {
			out = append(out, s)
		}
	}
	if j.origin == nil && len(out) == 0 {
		return servers
	}
	return out
}

// mayHaveRestarted reports whether a listed start of a server may have been followed by one of another version under the
// same id: it is known to have crashed, and the store hasn't shown since then that it is still listed. The caller holds mu.
func (r *Relay) mayHaveRestarted(now time.Time, s shed.ServerStart) bool {
	at, crashed := r.poison.CrashedAt(s)
	return crashed && (r.poison.RecentlyCrashed(now, s) || r.roster.LastContact().Before(at.Add(r.roster.EntryLife())))
}

// rejectUnresumable refuses a request whose stream can't be resumed: no server of its version is left.
func (r *Relay) rejectUnresumable(ctx context.Context, j *job) *refusal {
	if j.origin == nil {
		return nil
	}
	r.mu.Lock()
	left := len(r.candidates(time.Now(), j))
	r.mu.Unlock()
	if left > 0 {
		return nil
	}
	return r.refusalFor(ctx, j, outcome{reason: reasonVersionGone})
}

// recordOrigin records that a server is about to bring the caller the first event of an attempt, and
// tells the peers that keep the stream's origin. It has to be called before the event is forwarded.
func (r *Relay) recordOrigin(j *job, s shed.ServerEntry) {
	if j.origin == nil {
		j.origin = &shed.StreamOrigin{Pool: s.Pool, Version: s.Version}
	}
	if !j.route.Resumable {
		return
	}
	msg := shed.StreamBegan{Key: j.streamKey(), Origin: *j.origin}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.origins.Record(time.Now(), msg.Key, msg.Origin)
	r.client.SendAll(origin.Keepers(msg.Key, r.alivePeers()), msg)
}

// streamKey returns the key of the request's stream.
func (j *job) streamKey() shed.StreamKey {
	if j.request.Resumes != "" {
		return origin.Key(j.workspace, j.request.Resumes)
	}
	return origin.Key(j.workspace, j.request.ID)
}

// resumes reports whether the request resumes a stream of another attempt.
func (j *job) resumes() bool {
	return j.route.Streaming && (j.request.LastEventID != "" || j.request.Resumes != "")
}

// findOrigin finds out where the stream began that a request resumes, and refuses the request if that
// can't be told: at a server of another version the stream would be corrupted.
func (r *Relay) findOrigin(ctx context.Context, j *job) *refusal {
	if !j.resumes() {
		return nil
	}
	o, ok := r.lookUpOrigin(ctx, j)
	if !ok {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonUnknownVersion, retryAfter: accept.MinRetryAfter}
	}
	j.origin = &o
	if o.Pool == j.pool.ID {
		return nil
	}
	return r.movePool(j, o.Pool)
}

// movePool moves a request to the pool in which its stream began, if the route still leads there.
func (r *Relay) movePool(j *job, id shed.PoolID) *refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	allowed := slices.ContainsFunc(j.route.Split, func(s shed.RouteShare) bool { return s.Pool == id && s.Weight > 0 })
	pool := r.pool(id)
	if !allowed || pool == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonPoolMoved}
	}
	j.pool = pool
	return nil
}

// lookUpOrigin returns the origin of a resumed stream. If nobody remembers it, the origin is known only
// if no more than one version has served as long as a stream lives, which the store has to confirm, or from the cache of
// the server that wrote it.
func (r *Relay) lookUpOrigin(ctx context.Context, j *job) (shed.StreamOrigin, bool) {
	if j.request.Resumes != "" {
		key := j.streamKey()
		r.mu.Lock()
		o, ok := r.origins.Lookup(key)
		asked, client := origin.Asked(key, r.alivePeers()), r.client
		r.mu.Unlock()
		if !ok {
			o, ok = r.askOrigin(ctx, client, asked, key)
		}
		if ok {
			return o, true
		}
	}
	life := streamLives * j.route.Timeout
	if life == 0 {
		life = streamLives * defaultTimeout
	}
	r.mu.Lock()
	version, ok := r.roster.OnlyVersion(time.Now(), j.pool.ID, life+maxVersionLag)
	r.mu.Unlock()
	r.log.WithFields(logrus.Fields{
		"request": j.request.ID, "resumes": j.request.Resumes, "only_version": version, "known": ok,
	}).Info("origin of a stream is not remembered")
	ok = ok && r.confirmOnlyVersion(ctx, j, version)
	if !ok {
		version, ok = r.findWriter(ctx, j)
	}
	return shed.StreamOrigin{Pool: j.pool.ID, Version: version}, ok
}

// askOrigin asks peers for the origin of a stream and returns the first answer of one that knows it.
func (r *Relay) askOrigin(
	ctx context.Context, client *peers.Client, vms []shed.VM, key shed.StreamKey,
) (shed.StreamOrigin, bool) {
	ctx, cancel := r.withTimeout(ctx, originTimeout)
	defer cancel()
	replies := make(chan peers.OriginReply, len(vms))
	for _, vm := range vms {
		r.work.Go(func() error {
			reply, err := client.StreamOrigin(ctx, vm, peers.OriginCall{Key: key})
			if err != nil {
				r.stats.originFailures.Inc(1)
			}
			replies <- reply
			return nil
		})
	}
	for range vms {
		if reply := <-replies; reply.Known {
			return reply.Origin, true
		}
	}
	return shed.StreamOrigin{}, false
}

// StreamOrigin implements peers.RelayHandler.
func (r *Relay) StreamOrigin(call peers.OriginCall) peers.OriginReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.origins.Lookup(call.Key)
	return peers.OriginReply{Known: ok, Origin: o}
}
