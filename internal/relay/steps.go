package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
	"jasmineshed/internal/prefs"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// heavyBytes is the size from which results are kept within a zone.
	heavyBytes = 500_000
)

// prepare has all pieces of the request made, and sets its inputs.
func (r *Relay) prepare(ctx context.Context, j *job) *refusal {
	p := planOf(j)
	if len(p.steps) == 0 {
		return nil
	}
	ask, away := r.plan(j, p)
	if away > 0 {
		return r.unreachable(ctx, j, away)
	}
	if j.sends == 0 {
		if no := r.admitSteps(j, ask); no != nil {
			return no
		}
	}
	r.comes(j, p)
	defer r.comesNot(j)
	err := r.makeAll(ctx, j, p)
	var end stepError
	if errors.As(err, &end) && end.end == shed.PieceInputsGone && time.Now().Before(j.aim) {
		// A server left or died with the results; there is time to make them anew.
		err = r.makeAll(ctx, j, p)
	}
	if err == nil {
		return nil
	}
	return r.stepRefusal(ctx, j, err)
}

// makeAll has the pieces of all steps made, each step as soon as those that it
// needs are done.
func (r *Relay) makeAll(ctx context.Context, j *job, p plan) error {
	made := make([][]shed.ResultRef, len(p.steps))
	done := make([]chan struct{}, len(p.steps))
	for i := range done {
		done[i] = make(chan struct{})
	}
	uses := newUses(p)
	awaits := r.awaits(p)
	g, ctx := errgroup.WithContext(ctx)
	for i := range p.steps {
		g.Go(func() error {
			for _, at := range awaits[i] {
				select {
				case <-done[at]:
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			var err error
			made[i], err = r.step(ctx, j, p, i, made)
			if err != nil {
				return err
			}
			close(done[i])
			r.free(j, uses.over(p, i, made))
			return nil
		})
	}
	err := g.Wait()
	r.sortResults(j, p, made, err != nil)
	return err
}

// awaits are the steps that are to be done before each step begins.
func (r *Relay) awaits(p plan) [][]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.chain(time.Now(), p)
	out := make([][]int, len(c))
	late := r.prefs.Load().Relay.Has(prefs.LateStart)
	for i := range c {
		out[i] = c[i].After
		if with := c.StartWith(i); late && with >= 0 {
			out[i] = c[with].After
		}
	}
	return out
}

// uses counts the steps that still need the results of each step.
type uses struct {
	mu   sync.Mutex
	left []int
}

func newUses(p plan) *uses {
	u := &uses{left: make([]int, len(p.steps))}
	for _, s := range p.steps {
		for _, before := range s.DependsOn {
			if at := p.at(before); at >= 0 {
				u.left[at]++
			}
		}
	}
	return u
}

// over returns the results that nobody needs any more now that a step is done,
// and takes them out of made. Servers have room for few results: kept until all
// steps were done, they held up the steps of other requests.
func (u *uses) over(p plan, done int, made [][]shed.ResultRef) []shed.ResultRef {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []shed.ResultRef
	for _, before := range p.steps[done].DependsOn {
		at := p.at(before)
		if at < 0 {
			continue
		}
		if u.left[at]--; u.left[at] == 0 {
			out = append(out, made[at]...)
			made[at] = nil
		}
	}
	return out
}

// admitSteps refuses at once what would be late.
func (r *Relay) admitSteps(j *job, ask accept.Request) *refusal {
	now := time.Now()
	ask.ToTarget, ask.ToDeadline = j.aim.Sub(now), j.deadline.Sub(now)
	r.mu.Lock()
	v := r.accept.Decide(ask)
	r.mu.Unlock()
	j.foreseen = ask.Timely + ask.Answer
	if v.Admitted {
		return nil
	}
	r.log.WithFields(logrus.Fields{
		"request": j.ask.ID, "route": ask.Route, "needs_ms": v.NeededTime.Milliseconds(), "least_ms": ask.MinTime.Milliseconds(),
		"timely_ms": ask.Timely.Milliseconds(), "last_ms": ask.Last.Milliseconds(), "answer_ms": ask.Answer.Milliseconds(),
		"urgent_ranks": ask.UrgentRanks, "to_aim_ms": ask.ToTarget.Milliseconds(), "to_end_ms": ask.ToDeadline.Milliseconds(),
		"after_ms": v.RetryAfter.Milliseconds(),
	}).Info("pieces would be late")
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonPiecesLate, after: v.RetryAfter}
}

// sortResults keeps the results that the request itself needs, and gives the
// others up.
func (r *Relay) sortResults(j *job, p plan, made [][]shed.ResultRef, all bool) {
	var give []shed.ResultRef
	for i, refs := range made {
		if all || !p.last(i) {
			give = append(give, refs...)
		} else {
			j.inputs = append(j.inputs, refs...)
		}
	}
	r.free(j, give)
	r.lieIn(j, p, made)
}

// lieIn sets the zone where the request's heavy inputs lie.
func (r *Relay) lieIn(j *job, p plan, made [][]shed.ResultRef) {
	for i, s := range p.steps {
		if s.ResultBytes < heavyBytes || !p.last(i) {
			continue
		}
		if zone := r.zoneOf(s.Pool, made[i]); zone != "" {
			j.zone = zone
		}
	}
}

func (r *Relay) stepRefusal(ctx context.Context, j *job, err error) *refusal {
	no := &refusal{status: http.StatusServiceUnavailable, reason: reasonPiecesNone, after: accept.MinRetryAfter}
	var end stepError
	if errors.As(err, &end) && end.end == shed.PieceLate {
		no.reason = reasonPiecesLate
	}
	if ctx.Err() != nil && !time.Now().Before(j.deadline) {
		no.reason, no.after = shed.ReasonDeadline, 0
	}
	return no
}

// stepError says that a step has no result.
type stepError struct{ end shed.PieceEnd }

// Error implements error.
func (e stepError) Error() string { return "pieces not made" }

// step has the pieces of one step made.
func (r *Relay) step(ctx context.Context, j *job, p plan, at int, made [][]shed.ResultRef) ([]shed.ResultRef, error) {
	s := p.steps[at]
	r.arrives(j, s.Pool, p.pieces[at])
	pieces := make([]shed.Piece, p.pieces[at])
	now := time.Now()
	after := r.timeAfter(j, p, at)
	near := r.nearZone(j, p, at, made)
	var inputs []shed.ResultRef
	for _, before := range s.DependsOn {
		if i := p.at(before); i >= 0 {
			inputs = append(inputs, made[i]...)
		}
	}
	for n := range pieces {
		pieces[n] = shed.Piece{
			Request: j.ask.ID, Step: s.Index, Number: n, Inputs: inputs, Bytes: s.ResultBytes,
			Budget: j.deadline.Sub(now) - after, Target: r.aimOf(j, now) - after,
			PreferredZone: near, SameZone: p.fetched(at) >= heavyBytes,
			Origin: shed.RequestRef{Request: j.fingerprint, Workspace: j.workspace},
		}
		if len(inputs) == 0 {
			pieces[n].Key = j.ask.PieceKey
		}
	}
	refs := make([]shed.ResultRef, len(pieces))
	end := shed.PieceComplete
	for n, res := range r.askAll(ctx, j, s.Pool, pieces) {
		refs[n] = res.Ref
		if res.End != shed.PieceComplete {
			end = res.End
		}
	}
	if end != shed.PieceComplete {
		return r.unmade(j, refs, end)
	}
	return refs, ctx.Err()
}

// aimOf is the time in which the request should be answered. One that broke off
// and is sent again goes before all others: its caller has a part of the answer
// and gives up soon.
func (r *Relay) aimOf(j *job, now time.Time) time.Duration {
	if j.sends > 0 {
		return max(j.aim.Sub(now), againAim)
	}
	return j.aim.Sub(now)
}

// againAim is the aim of a request that is sent again.
const againAim = 800 * time.Millisecond

// nearZone is where the pieces of a step are best made: where their inputs lie,
// if these are large, or where the server is that fetches large results; empty
// if it doesn't matter.
func (r *Relay) nearZone(j *job, p plan, at int, made [][]shed.ResultRef) shed.ZoneID {
	s := p.steps[at]
	if p.last(at) && s.ResultBytes >= heavyBytes {
		return j.zone
	}
	for _, before := range s.DependsOn {
		i := p.at(before)
		if i >= 0 && p.fetched(i) >= heavyBytes {
			return r.zoneOf(p.steps[i].Pool, made[i])
		}
	}
	return ""
}

// zoneOf is the zone where most of a pool's results lie; empty if none is known.
func (r *Relay) zoneOf(pool shed.PoolID, refs []shed.ResultRef) shed.ZoneID {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := map[shed.ZoneID]int{}
	most := shed.ZoneID("")
	for _, ref := range refs {
		addr := r.cfg.Dialect.Producer(ref)
		for _, server := range r.roster.OpenServers(pool) {
			if server.Addr != addr {
				continue
			}
			count[server.Zone]++
			if count[server.Zone] > count[most] {
				most = server.Zone
			}
		}
	}
	return most
}

// unmade gives up what was made of a step that failed.
func (r *Relay) unmade(j *job, refs []shed.ResultRef, end shed.PieceEnd) ([]shed.ResultRef, error) {
	r.free(j, slices.DeleteFunc(refs, func(ref shed.ResultRef) bool { return ref == "" }))
	return nil, stepError{end}
}

// mostReading bounds the time foreseen for reading a prompt: a request with a very
// long one must not have all its steps due at once.
const mostReading = 600 * time.Millisecond
