package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/access"
	"jasmineshed/internal/httpd"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/prefs"
	"jasmineshed/internal/quota"
	"jasmineshed/internal/roster"

	"go.opentelemetry.io/otel/attribute"
)

const (
	// defaultTimeout bounds a request if neither its route nor its caller sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes bounds a body if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// answerSlack is the part of a caller's timeout that is reserved for the answer's way back.
	answerSlack = 30 * time.Millisecond
)

// job is the state of one caller's request.
type job struct {
	request   shed.RequestHead
	route     *shed.Route
	pool      *shed.RelayPool
	workspace shed.WorkspaceID
	rank      int
	version   string
	// body is nil if it is empty.
	body  *quota.Body
	began time.Time
	// caller accounts for the body and the answers.
	caller *quota.Conn
	// target is the soft time limit of the answer, deadline the hard one.
	target, deadline time.Time

	// sends counts the attempts that were sent to a server, mayHaveRun reports whether one of
	// them may have run the request.
	sends      int
	mayHaveRun bool
	avoid      []shed.ServerID
	// inputsReady: the request's pieces are complete and not freed yet; inputs are the results
	// that it needs, zone is where they are held.
	inputsReady bool
	inputs      []shed.ResultRef
	// inputsBorrowed: another attempt frees them.
	inputsBorrowed bool
	// coordinators maps each result to the VM that coordinated it: that VM accounts for the
	// producers' capacity, so it has to know when the result is freed. Guarded by Relay.mu.
	coordinators map[shed.ResultRef]shed.VM
	zone         shed.ZoneID
	largeInputs  bool
	// expected are the pieces of steps that have not begun, by pool, expectedBytes the size of their
	// results. Guarded by Relay.mu.
	expected      map[shed.PoolID]int
	expectedBytes map[shed.PoolID]int64
	// answerTime is the predicted time to the server's first event.
	answerTime time.Duration
	// predicted is the time to the answer as predicted at admission, for the log.
	predicted time.Duration

	// origin is where the request's stream began; nil until its first event, or until it is found
	// out for a stream that the request resumes.
	origin *shed.StreamOrigin

	fingerprint shed.Fingerprint
	// parts are the fingerprints of the prompt's shared parts; use partFingerprints.
	parts []shed.Fingerprint
	// blamed is the fingerprint for which the request was refused, if it was.
	blamed shed.Fingerprint
	// noRetry is why the last failed attempt was the last one.
	noRetry noRetry
	// trial: the request may crash its server, and is sent once as a probe.
	trial bool

	// Fields for the log and the metrics.
	server        shed.ServerID
	serverVersion shed.SoftwareVersion
	// slowness is how long work took on that server when it was chosen, relative to the usual time.
	slowness float64
	carrier  shed.VM
	// sending is that of the last attempt that was sent.
	sending sending
	// permit is the permit that the request holds for a brittle server, if any.
	permit      heldPermit
	firstByte   time.Duration
	prepareTime time.Duration
	events      int
}

// Reasons of refusals and failed attempts, in addition to those of the root package.
const (
	reasonBadHead       shed.Reason = "bad_request_head"
	reasonNoRoute       shed.Reason = "no_route"
	reasonBadKey        shed.Reason = "unknown_key"
	reasonStaleConfig   shed.Reason = "configuration_behind"
	reasonBodyTooBig    shed.Reason = "body_too_big"
	reasonBodyBroken    shed.Reason = "body_broken_off"
	reasonBodyLate      shed.Reason = "body_late"
	reasonNoRoom        shed.Reason = "no_room"
	reasonPiecesLate    shed.Reason = "pieces_would_be_late"
	reasonPiecesNotMade shed.Reason = "pieces_not_made"
	reasonInputsGone    shed.Reason = "inputs_gone"
	reasonUnsealed      shed.Reason = "answer_not_sealed"
	reasonOtherAnswer   shed.Reason = "answer_to_another_request"
	reasonServerFull    shed.Reason = "server_full"
	reasonNotSent       shed.Reason = "not_sent"
	reasonUnreachable   shed.Reason = "servers_unreachable"
	reasonCrashes       shed.Reason = "request_crashes_servers"
	reasonNoTurn        shed.Reason = "servers_limited"
	reasonResting       shed.Reason = "servers_resting"
	reasonServed        shed.Reason = "served"
	// reasonNotNeeded: the first server went on before the second one delivered.
	reasonNotNeeded shed.Reason = "not_needed"
	// Reasons for which a stream can't be resumed: nobody knows at which software version it began,
	// no server of that version is left, or the route no longer leads to the pool where it began.
	reasonUnknownVersion shed.Reason = "stream_version_unknown"
	reasonVersionGone    shed.Reason = "stream_version_gone"
	reasonPoolMoved      shed.Reason = "stream_pool_not_on_route"
)

// serve handles one caller's request.
func (r *Relay) serve(w http.ResponseWriter, req *http.Request) {
	r.open.Add(1)
	defer r.open.Add(-1)
	ctx, span := r.tracer.Start(req.Context(), "relay")
	defer span.End()
	w = httpd.NewTimedWriter(w, r.cfg.Prefs.Limits.WriteTimeout)
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	j, refused := r.receiveRequest(w, req)
	defer func() { j.body.Release() }()
	if refused == nil {
		span.SetAttributes(attribute.String("request", string(j.request.ID)))
		refused = r.run(ctx, w, j)
	}
	r.finish(ctx, w, j, refused)
}

// run processes the request. A refusal is its final answer if nothing was written.
func (r *Relay) run(ctx context.Context, w http.ResponseWriter, j *job) *refusal {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	defer context.AfterFunc(r.requests, cancel)()
	defer r.releaseInputs(j)
	out := &output{w: w, control: http.NewResponseController(w)}
	defer out.release()
	if refused := r.findOrigin(ctx, j); refused != nil {
		return refused
	}
	for {
		if refused := r.rejectUnresumable(ctx, j); refused != nil {
			return r.finalRefusal(out, refused)
		}
		if refused := r.rejectSuspect(j); refused != nil {
			return r.finalRefusal(out, refused)
		}
		if refused := r.rejectUnreachable(ctx, j); refused != nil {
			return r.finalRefusal(out, refused)
		}
		if len(j.route.Steps) > 0 && !j.inputsReady {
			if refused := r.prepare(ctx, j); refused != nil {
				return r.finalRefusal(out, r.adjustRefusal(j, refused))
			}
			j.inputsReady, j.prepareTime = true, time.Since(j.began)
		}
		choice, refused := r.choose(ctx, j)
		if refused != nil {
			return r.finalRefusal(out, refused)
		}
		v := r.pursue(ctx, out, j, choice)
		if v.done {
			return nil
		}
		if ctx.Err() != nil || !r.canRetry(j, v) {
			return r.finalRefusal(out, r.refusalAfter(ctx, j, v))
		}
	}
}

// noRetry is why a request isn't sent to another server after a failed attempt. The set is closed.
type noRetry string

const (
	// retryPossible means that nothing rules a retry out.
	retryPossible noRetry = ""
	// noSendsLeft means that the request has been sent to as many servers as its route allows.
	noSendsLeft noRetry = "sends_used"
	// runsOnce means that the request may have run and must not run again.
	runsOnce noRetry = "runs_once"
	// noServersLeft means that too many servers have been tried.
	noServersLeft noRetry = "servers_tried"
	// noOtherServer means that no other server takes the request now.
	noOtherServer noRetry = "no_other_server"
	// maybeCrashes means that the request may crash its server, so it isn't sent to a second one.
	maybeCrashes noRetry = "may_crash"
	// noRoomForAnswer means that the answer was lost because there is no room for it, as for another one.
	noRoomForAnswer noRetry = "no_room"
	// noBudget means that the retry budget of the pool is spent.
	noBudget noRetry = "retry_budget"
)

// canRetry reports whether the request may be sent to another server after v.
func (r *Relay) canRetry(j *job, v outcome) bool {
	j.noRetry = r.findNoRetry(j, v)
	return j.noRetry == retryPossible
}

// findNoRetry returns why the request can't be sent to another server after v. If it can, the retry is
// taken from the budget.
func (r *Relay) findNoRetry(j *job, v outcome) noRetry {
	switch {
	case v.sent && j.sends >= j.route.MaxSends:
		return noSendsLeft
	case v.mayHaveRun && !j.route.Repeatable && !j.route.Resumable:
		return runsOnce
	case len(j.avoid) > maxServersTried:
		return noServersLeft
	case v.reason == reasonNoRoom:
		return noRoomForAnswer
	case !v.sent:
		return retryPossible
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.retryBudget(j.pool.ID).Take(time.Now()) {
		return noBudget
	}
	return retryPossible
}

// maxServersTried bounds the servers tried, including those that could not be reached.
const maxServersTried = 6

// maxTurnWait is how long a request waits for a turn if no server accepts it without one.
const maxTurnWait = 400 * time.Millisecond

// choose chooses the server for the next attempt.
func (r *Relay) choose(ctx context.Context, j *job) (picker.Choice, *refusal) {
	var maxWait time.Duration
	var denied map[shed.ServerID]bool
	for {
		choice, refused := r.pick(j, denied, maxWait)
		switch {
		case refused != nil:
			return choice, refused
		case choice.Server == nil && choice.UnreachableFor > 0:
			return choice, r.refuseUnreachable(ctx, j, choice.UnreachableFor)
		case choice.Server == nil && choice.RestingFor > 0:
			if refused := r.awaitRest(ctx, j, choice.RestingFor); refused != nil {
				return choice, refused
			}
		case choice.Server == nil && choice.NoTurn && maxWait == 0:
			maxWait = max(min(maxTurnWait, time.Until(j.deadline)/2), time.Millisecond)
			denied = nil
		case choice.Server == nil:
			reason := shed.ReasonNoServer
			if choice.NoTurn {
				reason = reasonNoTurn
			}
			return choice, r.refusalFor(ctx, j, outcome{reason: reason})
		case !choice.ByTurn:
			return choice, nil
		case !r.takePlace(ctx, j, choice.Server, maxWait):
			if denied == nil {
				denied = map[shed.ServerID]bool{}
			}
			denied[choice.Server.ID] = true
		case r.place(j, choice):
			return choice, nil
		default:
			r.returnPermit(j, false)
		}
	}
}

// takePlace requests what sending to the server needs, a turn or a permit, and waits for it.
func (r *Relay) takePlace(ctx context.Context, j *job, s *roster.Server, maxWait time.Duration) bool {
	r.mu.Lock()
	brittle := r.isBrittle(s, r.isPoolBrittle(j.pool.ID))
	r.mu.Unlock()
	if !r.takeTurn(ctx, j.pool, s, maxWait) {
		return false
	}
	if !brittle {
		return true
	}
	var ok bool
	j.permit, ok = r.takePermit(ctx, j, s, maxWait)
	return ok
}

// pick picks a server, and places the request there unless it needs a turn first.
func (r *Relay) pick(j *job, denied map[shed.ServerID]bool, maxWait time.Duration) (picker.Choice, *refusal) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	isolate, refused := r.checkSuspect(now, j)
	if refused != nil {
		return picker.Choice{}, refused
	}
	want := r.wantFor(j)
	want.Isolate, want.Access = isolate, r.serverAccess(now, j.pool, denied, maxWait)
	want.Avoid = slices.Concat(want.Avoid, r.poolServersAt(r.paths.silent, j.pool.ID))
	servers := r.candidates(now, j)
	choice := r.picker.Pick(now, want, servers)
	if choice.Server == nil && len(want.Avoid) > 0 && !choice.NoTurn {
		// A server that failed is better than none.
		want.Avoid = nil
		choice = r.picker.Pick(now, want, servers)
	}
	if choice.Server != nil && !choice.ByTurn {
		r.recordPlacement(now, j, want, choice)
	}
	return choice, nil
}

// place places a request that was granted a turn, if the server still accepts new work.
func (r *Relay) place(j *job, choice picker.Choice) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.candidates(time.Now(), j), choice.Server) {
		return false
	}
	r.recordPlacement(time.Now(), j, r.wantFor(j), choice)
	return true
}

// awaitRest waits until the first server's rest ends if the request can then still be answered in
// time, else it refuses the request.
func (r *Relay) awaitRest(ctx context.Context, j *job, left time.Duration) *refusal {
	wait, retryAfter := access.Wait{
		RestLeft: left, ToTarget: r.timeToTarget(j, time.Now()), Answer: j.answerTime, Rank: j.rank, Fraction: j.request.Fraction(),
	}.Decide()
	if retryAfter == 0 {
		sleep(ctx, wait)
		if ctx.Err() == nil {
			return nil
		}
	}
	refused := r.refusalFor(ctx, j, outcome{reason: reasonResting})
	if refused.retryAfter > 0 {
		refused.retryAfter = max(refused.retryAfter, retryAfter)
	}
	return refused
}

// refuseUnreachable refuses a request for which no server can be reached; the caller may retry
// after retryAfter.
func (r *Relay) refuseUnreachable(ctx context.Context, j *job, retryAfter time.Duration) *refusal {
	refused := r.refusalFor(ctx, j, outcome{reason: reasonUnreachable})
	if refused.retryAfter > 0 {
		refused.retryAfter = max(refused.retryAfter, retryAfter)
	}
	return refused
}

// crossZoneCost is the routing cost of fetching a large result from another zone: far less than
// reading a large shared prefix again.
const crossZoneCost = 25 * time.Millisecond

func (r *Relay) wantFor(j *job) picker.Request {
	w := picker.Request{
		Prompt: j.request.Prompt, Input: j.request.InputTokens, Engine: j.pool.Engine != nil, Avoid: j.avoid,
	}
	if j.pool.Engine != nil && r.prefs.Load().Relay.Enabled(prefs.KVFetch) {
		w.FetchRate = j.pool.Engine.FetchRate
	}
	r.weighSpeed(j.pool, &w)
	r.limitCopies(j.pool, &w)
	if j.largeInputs {
		w.Zone, w.ZoneCost = j.zone, time.Duration(max(len(j.inputs), 1))*crossZoneCost
	}
	return w
}

// recordPlacement records that the request goes to the chosen server. The caller holds mu.
func (r *Relay) recordPlacement(now time.Time, j *job, want picker.Request, c picker.Choice) {
	if r.picker.RecordPlacement(now, want, c) {
		r.mesh.fanout.RecordPlacement(now, shed.PromptPlaced{Server: c.Server.ID, Chain: picker.PrefixChains(j.request.Prompt)})
	}
}
