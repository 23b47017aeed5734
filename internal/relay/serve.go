package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/retry"
	"jasmineshed/internal/roster"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
)

const (
	// defaultTimeout bounds a request whose route and caller name no time.
	defaultTimeout = 30 * time.Second
	// defaultBody bounds a body if the configuration doesn't, in bytes.
	defaultBody = 4 << 20
	// comeBack is when a caller may come back after a refusal that says nothing
	// of the load; short, since callers wait for a third of their time at most.
	comeBack = 300 * time.Millisecond
	// answerSlack is kept of a caller's time for the answer's way back.
	answerSlack = 30 * time.Millisecond
)

// job is one caller's request on its way through the relay.
type job struct {
	ask       shed.Ask
	route     *shed.Route
	pool      *shed.RelayPool
	workspace shed.WorkspaceID
	rank      int
	version   string
	body      []byte
	began     time.Time
	// aim is when the answer should, deadline when it must be there.
	aim, deadline time.Time

	// sends counts the servers that the request was sent to, mayHaveRun tells
	// whether one of them may have run it.
	sends      int
	mayHaveRun bool
	avoid      []shed.ServerID
	// ready: the request's pieces are made, and not given up yet; inputs are
	// the results that it needs, zone is where they lie.
	ready  bool
	inputs []shed.ResultRef
	// gatherers tells through which VM each result was made: it counts the room
	// at the makers, so it has to hear when the result is given up. Guarded by
	// Relay.mu.
	gatherers map[shed.ResultRef]shed.VM
	zone      shed.ZoneID
	heavy     bool

	// what the log tells of it
	server    shed.ServerID
	firstByte time.Duration
	prepared  time.Duration
	events    int
}

// refusal is a final answer of the relay's own.
type refusal struct {
	status int
	reason shed.Reason
	// after is when the caller may come back; 0 if it should not.
	after time.Duration
}

// Reasons of the relay's own answers, beside those of the root package.
const (
	reasonBadHead     shed.Reason = "bad_request_head"
	reasonNoRoute     shed.Reason = "no_route"
	reasonBadKey      shed.Reason = "unknown_key"
	reasonBodyTooBig  shed.Reason = "body_too_big"
	reasonBodyBroken  shed.Reason = "body_broken_off"
	reasonPiecesLate  shed.Reason = "pieces_would_be_late"
	reasonPiecesNone  shed.Reason = "pieces_not_made"
	reasonInputsGone  shed.Reason = "inputs_gone"
	reasonUnsealed    shed.Reason = "answer_not_sealed"
	reasonOtherAnswer shed.Reason = "answer_to_another_request"
	reasonServerFull  shed.Reason = "server_full"
	reasonNotSent     shed.Reason = "not_sent"
	reasonServed      shed.Reason = "served"
)

// serve answers one caller.
func (r *Relay) serve(w http.ResponseWriter, req *http.Request) {
	r.open.Add(1)
	defer r.open.Add(-1)
	ctx, span := r.tracer.Start(req.Context(), "relay")
	defer span.End()
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	j, no := r.take(req)
	if no == nil {
		span.SetAttributes(attribute.String("request", string(j.ask.ID)))
		no = r.run(ctx, w, j)
	}
	r.finish(ctx, w, j, no)
}

// take reads a request and finds out what it is. Its body is read whole before
// anything is sent on: what is passed on is then always the whole request, and
// can be sent to a second server.
func (r *Relay) take(req *http.Request) (*job, *refusal) {
	j := &job{began: time.Now()}
	ask, err := r.cfg.Dialect.Ask(req)
	if err != nil {
		r.log.WithError(err).Info("request head refused")
		return j, &refusal{status: http.StatusBadRequest, reason: reasonBadHead}
	}
	j.ask = ask
	if no := r.admit(j); no != nil {
		return j, no
	}
	limit := r.bodyLimit()
	if req.ContentLength > limit {
		return j, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooBig}
	}
	j.body, err = io.ReadAll(io.LimitReader(req.Body, limit+1))
	if err != nil {
		return j, &refusal{status: http.StatusBadRequest, reason: reasonBodyBroken}
	}
	if int64(len(j.body)) > limit {
		return j, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooBig}
	}
	return j, nil
}

func (r *Relay) bodyLimit() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.roster.Catalog(); c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return defaultBody
}

// admit finds the request's route, workspace and time.
func (r *Relay) admit(j *job) *refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.roster.Catalog()
	if c == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: shed.ReasonNoConfig, after: comeBack}
	}
	j.version = c.Version
	j.route = roster.Route(c, j.ask.Host, j.ask.Target)
	if j.route == nil {
		return &refusal{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	j.rank = j.route.Rank
	if len(c.Keys) > 0 {
		ws, ok := c.Keys[j.ask.Key]
		if !ok && !j.route.Public {
			return &refusal{status: http.StatusUnauthorized, reason: reasonBadKey}
		}
		j.workspace = ws
		if rank, ok := c.Ranks[ws]; ok {
			j.rank = rank
		}
	}
	j.pool = c.Pools[r.share(j.route)]
	if j.pool == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: shed.ReasonNoServer, after: comeBack}
	}
	wait := j.route.Timeout
	if j.ask.Wait > 0 && (wait == 0 || j.ask.Wait < wait) {
		wait = j.ask.Wait
	}
	if wait == 0 {
		wait = defaultTimeout
	}
	j.deadline = j.began.Add(wait)
	j.aim = j.began.Add(min(j.route.Target, wait))
	r.budget(j.pool.ID).Succeeded(j.began)
	return nil
}

// share picks a pool by the weights of the route's split, in turn.
func (r *Relay) share(route *shed.Route) shed.PoolID {
	total := 0
	for _, s := range route.Split {
		total += s.Weight
	}
	if total == 0 {
		return route.Split[0].Pool
	}
	r.turn++
	// A stride that is coprime to the usual total of 100 spreads the turns.
	at := int(r.turn * 37 % uint64(total))
	for _, s := range route.Split {
		if at < s.Weight {
			return s.Pool
		}
		at -= s.Weight
	}
	return route.Split[len(route.Split)-1].Pool
}

// repeatShare is the part of the fleet's budget of repeats that is used: VMs
// that start or are not seen yet have a share too.
const repeatShare = 0.6

// budget is this VM's share of the fleet's budget of repeats to a pool: over
// any window, all VMs together stay below ratio x requests + slack.
func (r *Relay) budget(pool shed.PoolID) *retry.Budget {
	b := r.repeats[pool]
	if b == nil {
		p := r.prefs.Load().Relay
		slack := repeatShare * p.RepeatSlack / float64(r.fleetSize())
		b = retry.New(retry.Config{
			Share: repeatShare * p.RepeatRatio,
			Burst: max(slack/2, 1),
			Floor: slack / 2 / p.RepeatSpan.Seconds(),
		})
		r.repeats[pool] = b
	}
	return b
}

// run serves the request; a refusal is its final answer if nothing was written.
func (r *Relay) run(ctx context.Context, w http.ResponseWriter, j *job) *refusal {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	defer r.giveUp(j)
	out := &output{w: w, control: http.NewResponseController(w)}
	for {
		if len(j.route.Steps) > 0 && !j.ready {
			if no := r.prepare(ctx, j); no != nil {
				return r.given(out, r.known(j, no))
			}
			j.ready, j.prepared = true, time.Since(j.began)
		}
		choice, want, no := r.choose(ctx, j)
		if no != nil {
			return r.given(out, no)
		}
		v := r.attempt(ctx, out, j, choice, want)
		if v.done {
			return nil
		}
		if ctx.Err() != nil || !r.mayRepeat(j, v) {
			return r.given(out, r.verdict(ctx, j, v))
		}
	}
}

// given returns the refusal, unless a part of the answer has already left: that
// can only be broken off, so that it doesn't look whole.
func (r *Relay) given(out *output, no *refusal) *refusal {
	if out.started {
		return &refusal{reason: no.reason}
	}
	return no
}

// known corrects a refusal before the request was sent: it may have been sent
// before.
func (r *Relay) known(j *job, no *refusal) *refusal {
	if j.mayHaveRun && no.status == http.StatusServiceUnavailable {
		return &refusal{status: http.StatusBadGateway, reason: no.reason}
	}
	return no
}

// verdict is the final answer after the last attempt v.
func (r *Relay) verdict(ctx context.Context, j *job, v outcome) *refusal {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case !j.mayHaveRun && late:
		return &refusal{status: http.StatusServiceUnavailable, reason: shed.ReasonDeadline}
	case !j.mayHaveRun:
		return &refusal{status: http.StatusServiceUnavailable, reason: v.reason, after: comeBack}
	case late:
		return &refusal{status: http.StatusGatewayTimeout, reason: shed.ReasonDeadline}
	}
	return &refusal{status: http.StatusBadGateway, reason: v.reason}
}

// mayRepeat tells whether the request may be sent to another server after v.
func (r *Relay) mayRepeat(j *job, v outcome) bool {
	if v.sent && j.sends >= j.route.MostSends {
		return false
	}
	if v.mayHaveRun && !j.route.Repeatable && !j.route.Resumable {
		return false
	}
	if len(j.avoid) > maxTries {
		return false
	}
	if !v.sent {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(j.pool.ID).Take(time.Now())
}

// maxTries bounds the servers tried, also those that could not be reached.
const maxTries = 6

// coldWait is how long a request waits for a cold server's next share when all
// servers are cold, and coldPoll how often it looks.
const (
	coldWait = 400 * time.Millisecond
	coldPoll = 50 * time.Millisecond
)

// choose picks the server for the next attempt.
func (r *Relay) choose(ctx context.Context, j *job) (picker.Choice, picker.Want, *refusal) {
	began := time.Now()
	for {
		now := time.Now()
		r.mu.Lock()
		want := r.want(j)
		servers := r.roster.Open(j.pool.ID)
		choice := r.picker.Pick(now, want, servers)
		if choice.Server == nil && len(j.avoid) > 0 && !choice.Cold {
			// Those that failed are better than none.
			want.Avoid = nil
			choice = r.picker.Pick(now, want, servers)
		}
		if choice.Server != nil {
			r.picker.Placed(now, want, choice)
			r.notePlaced(j, choice)
		}
		r.mu.Unlock()
		if choice.Server != nil {
			return choice, want, nil
		}
		if !choice.Cold || now.Sub(began) > coldWait || now.Add(coldPoll).After(j.deadline) {
			reason := shed.ReasonNoServer
			if choice.Cold {
				reason = shed.ReasonServerCold
			}
			return choice, want, r.verdict(ctx, j, outcome{reason: reason})
		}
		wait(ctx, coldPoll)
	}
}

// zoneCost is what it costs in the choice to fetch a heavy result from another
// zone: users price 3 MB between zones about as high as a tenth of reading a
// large shared prefix again, which takes a quarter of a second.
const zoneCost = 25 * time.Millisecond

func (r *Relay) want(j *job) picker.Want {
	w := picker.Want{
		Prompt: j.ask.Prompt, Input: j.ask.Input, Engine: j.pool.Engine != nil, Avoid: j.avoid,
	}
	if j.heavy {
		w.Zone, w.ZoneCost = j.zone, time.Duration(max(len(j.inputs), 1))*zoneCost
	}
	if j.pool.ColdRate > 0 {
		w.ColdRate = j.pool.ColdRate / float64(r.fleetSize())
	}
	return w
}

func (r *Relay) notePlaced(j *job, c picker.Choice) {
	if j.pool.Engine == nil {
		return
	}
	if chain := picker.Chains(j.ask.Prompt); len(chain) > 0 {
		r.mesh.placed = append(r.mesh.placed, shed.PromptPlaced{Server: c.Server.ID, Chain: chain})
	}
}

// finish writes the refusal, if there is one, and the request's line in the log.
func (r *Relay) finish(ctx context.Context, w http.ResponseWriter, j *job, no *refusal) {
	took := time.Since(j.began)
	fields := logrus.Fields{
		"request": j.ask.ID, "took_ms": took.Milliseconds(), "sends": j.sends, "version": j.version,
	}
	if j.route != nil {
		fields["route"], fields["pool"] = j.route.ID, j.route.Split[0].Pool
	}
	if j.server != "" {
		fields["server"] = j.server
	}
	if len(j.ask.Pieces) > 0 {
		fields["pieces"], fields["prepared_ms"], fields["zone"] = j.ask.Pieces, j.prepared.Milliseconds(), j.zone
	}
	if j.route != nil && j.route.Streaming {
		fields["first_ms"], fields["events"] = j.firstByte.Milliseconds(), j.events
	}
	if no == nil {
		r.stats.ended(j, reasonServed, took)
		r.log.WithFields(fields).Info("served")
		return
	}
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		no.reason = shed.ReasonCallerGone
	}
	fields["status"], fields["reason"], fields["may_have_run"] = no.status, no.reason, j.mayHaveRun
	r.stats.ended(j, no.reason, took)
	r.log.WithFields(fields).Info("not served")
	if no.status == 0 {
		// The caller must see that the answer was broken off.
		panic(http.ErrAbortHandler)
	}
	writeRefusal(w, no)
}

func writeRefusal(w http.ResponseWriter, no *refusal) {
	h := w.Header()
	if no.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(no.after.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(no.reason) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(no.status)
	_, _ = io.WriteString(w, body)
}
