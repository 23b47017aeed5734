package relay

import (
	"errors"
	"net/http"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
	"jasmineshed/internal/httpd"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/poison"
	"jasmineshed/internal/quota"
	"jasmineshed/internal/retry"
	"jasmineshed/internal/roster"
)

// receiveRequest reads and admits a request. The body is read completely before anything is
// forwarded: what is forwarded is then always the whole request, and can be resent to a second
// server.
func (r *Relay) receiveRequest(w http.ResponseWriter, req *http.Request) (*job, *refusal) {
	j := &job{began: time.Now(), answerTime: picker.DefaultOverrun, caller: httpd.Entry(req.Context())}
	request, err := r.cfg.Dialect.ParseRequest(req)
	if err != nil {
		r.log.WithError(err).Info("invalid request head")
		return j, &refusal{status: http.StatusBadRequest, reason: reasonBadHead}
	}
	j.request = request
	if refused := r.admit(j); refused != nil {
		return j, refused
	}
	if refused := r.receiveBody(w, req, j); refused != nil {
		return j, refused
	}
	j.fingerprint = poison.Fingerprint(j.workspace, &j.request, j.body.Bytes())
	return j, nil
}

// receiveBody reads the request's body, for as long as the request can still be served. A refused caller may go on
// sending, so its connection can't be used again.
func (r *Relay) receiveBody(w http.ResponseWriter, req *http.Request, j *job) *refusal {
	if req.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	// Writers without deadlines, as in tests, are not bounded.
	_ = control.SetReadDeadline(j.deadline)
	var err error
	j.body, err = j.caller.ReceiveBody(req.Body, quota.Spec{Announced: req.ContentLength, Limit: r.bodyLimit()})
	if err == nil {
		// net/http goes on reading to notice that the caller has left, and would mistake a passed deadline for that.
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, quota.ErrTooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooBig}
	case errors.Is(err, quota.ErrNoRoom), errors.Is(err, quota.ErrGivenUp):
		retryAfter := quota.StallTime + time.Duration(j.request.Fraction()*float64(quota.StallTime))
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonNoRoom, retryAfter: retryAfter}
	case timedOut(err):
		return &refusal{status: http.StatusRequestTimeout, reason: reasonBodyLate}
	}
	return &refusal{status: http.StatusBadRequest, reason: reasonBodyBroken}
}

func (r *Relay) bodyLimit() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.roster.Catalog(); c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return defaultBodyBytes
}

// admit determines the request's route, workspace, pool, target and deadline.
func (r *Relay) admit(j *job) *refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.roster.Catalog()
	if !r.isUsable(j.began) {
		return &refusal{status: http.StatusServiceUnavailable, reason: shed.ReasonNoConfig, retryAfter: accept.MinRetryAfter}
	}
	j.version = c.Version
	j.route = roster.Route(c, j.request.Host, j.request.Target)
	if j.route == nil {
		return r.permanentRefusal(http.StatusNotFound, reasonNoRoute)
	}
	j.rank = j.route.Rank
	if r.roster.NeedsKey() {
		ws, ok := c.APIKeys[j.request.Key]
		if !ok && !j.route.Public {
			return r.permanentRefusal(http.StatusUnauthorized, reasonBadKey)
		}
		j.workspace = ws
		if rank, ok := c.Ranks[ws]; ok {
			j.rank = rank
		}
	}
	j.pool = c.Pools[r.choosePool(j.route)]
	if j.pool == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: shed.ReasonNoServer, retryAfter: accept.MinRetryAfter}
	}
	wait := j.route.Timeout
	if j.request.Budget > 0 && (wait == 0 || j.request.Budget < wait) {
		wait = j.request.Budget
	}
	if wait == 0 {
		wait = defaultTimeout
	}
	j.deadline = j.began.Add(wait)
	j.target = j.began.Add(targetOf(j.route.Target, wait, j.resumes()))
	if refused := r.rejectLate(j); refused != nil {
		return refused
	}
	r.retryBudget(j.pool.ID).Succeeded(j.began)
	return nil
}

// restShare is the part of a caller's time that is left for the events of a resumed stream.
const restShare = 0.25

// targetOf returns the time within which a request should be answered whose caller waits for wait. A caller that
// resumes a stream had its first event long ago: for it the rest counts, which has to come before it gives up.
func targetOf(target, wait time.Duration, resumes bool) time.Duration {
	target = min(target, wait)
	if resumes {
		return max(target, time.Duration((1-restShare)*float64(wait)))
	}
	return target
}

// permanentRefusal refuses a request for good because of the configuration. Callers don't retry
// after that, so a VM that knows of a newer configuration than its own refuses temporarily: the
// newer one may have the route or key. So does a VM whose configuration nobody has confirmed.
// The caller holds mu.
func (r *Relay) permanentRefusal(status int, reason shed.Reason) *refusal {
	if !r.roster.IsConfirmed() || r.mesh.follower.CatalogIsStale(r.roster.AsOf()) {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonStaleConfig, retryAfter: accept.MinRetryAfter}
	}
	return &refusal{status: status, reason: reason}
}

// choosePool picks a pool by the weights of the route's split, round-robin; none if all of them are 0.
func (r *Relay) choosePool(route *shed.Route) shed.PoolID {
	total := 0
	for _, s := range route.Split {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	r.splitCounter++
	// A stride that is coprime to the usual total of 100 interleaves the pools.
	at := int(r.splitCounter * 37 % uint64(total))
	for _, s := range route.Split {
		if at < s.Weight {
			return s.Pool
		}
		at -= s.Weight
	}
	return route.Split[len(route.Split)-1].Pool
}

// retryShare is the part of the fleet's retry budget that is used: VMs that are starting or not
// seen yet have a share too.
const retryShare = 0.6

// retryBudget returns this VM's share of the fleet's retry budget for a pool: over any window,
// all VMs together stay below ratio x requests + slack.
//
// The share is recomputed on each call: a process that starts knows few VMs and would otherwise
// keep a share of the slack that is many times too large, as would all others that started with
// it.
func (r *Relay) retryBudget(pool shed.PoolID) *retry.Budget {
	p := r.prefs.Load().Relay
	slack := retryShare * p.RepeatSlack / float64(r.fleetSize(time.Now()))
	cfg := retry.Config{
		Share: retryShare * p.RepeatRatio,
		Burst: max(slack/2, 1),
		Floor: slack / 2 / p.RepeatWindow.Seconds(),
	}
	b := r.retryBudgets[pool]
	if b == nil {
		b = retry.New(cfg)
		r.retryBudgets[pool] = b
	}
	b.Set(cfg)
	return b
}
