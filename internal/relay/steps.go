package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// heavyBytes is the size from which results are kept within a zone.
	heavyBytes = 500_000
	// growth is by how much a forecast is exceeded when load rises: queues grow
	// while the request is on its way.
	growth = 1.15
	// lateWait is the longest wait in queues with which a request is let in that
	// can't be in time for its aim.
	lateWait = 700 * time.Millisecond
	// mostBack is the longest that a caller is told to stay away; callers wait
	// a third of their time at the most.
	mostBack = 1500 * time.Millisecond
)

// prepare has all pieces of the request made, and sets its inputs.
func (r *Relay) prepare(ctx context.Context, j *job) *refusal {
	p := planOf(j)
	if len(p.steps) == 0 {
		return nil
	}
	forecast, least := r.plan(j, p)
	if j.sends == 0 {
		if no := r.admitSteps(j, forecast, least); no != nil {
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
	for i := range c {
		out[i] = c[i].After
		if with := c.Begin(i); with >= 0 {
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
		for _, before := range s.After {
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
	for _, before := range p.steps[done].After {
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

// admitSteps refuses at once what would be late, unless the servers will have
// time for it before its deadline: what is let in beyond what can be served
// makes all of it late, and most of that work is done in vain. A caller that is
// refused is told when what is waiting now will be done.
func (r *Relay) admitSteps(j *job, f batch.Forecast, least time.Duration) *refusal {
	now := time.Now()
	toAim, toEnd := j.aim.Sub(now), j.deadline.Sub(now)
	j.foreseen = f.Timely
	foreseen := time.Duration(growth*float64(f.Timely)) + j.answerTime
	if foreseen <= toAim || f.Last <= least+lateWait && f.Last+j.answerTime <= toEnd {
		return nil
	}
	after := min(max(foreseen-toAim, comeBack), mostBack)
	r.log.WithFields(logrus.Fields{
		"request": j.ask.ID, "timely_ms": f.Timely.Milliseconds(), "last_ms": f.Last.Milliseconds(),
		"to_aim_ms": toAim.Milliseconds(), "to_end_ms": toEnd.Milliseconds(), "after_ms": after.Milliseconds(),
	}).Info("pieces would be late")
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonPiecesLate, after: after}
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
	no := &refusal{status: http.StatusServiceUnavailable, reason: reasonPiecesNone, after: comeBack}
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
	for _, before := range s.After {
		if i := p.at(before); i >= 0 {
			inputs = append(inputs, made[i]...)
		}
	}
	for n := range pieces {
		pieces[n] = shed.Piece{
			Request: j.ask.ID, Step: s.Index, Number: n, Inputs: inputs, Bytes: s.ResultBytes,
			Left: j.deadline.Sub(now) - after, Aim: r.aimOf(j, now) - after,
			Near: near, Together: p.fetched(at) >= heavyBytes,
		}
		if len(inputs) == 0 {
			pieces[n].Key = j.ask.PieceKey
		}
	}
	refs := make([]shed.ResultRef, len(pieces))
	end := shed.PieceMade
	for n, res := range r.askAll(ctx, j, s.Pool, pieces) {
		refs[n] = res.Ref
		if res.End != shed.PieceMade {
			end = res.End
		}
	}
	if end != shed.PieceMade {
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
	for _, before := range s.After {
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
		addr := r.cfg.Dialect.Maker(ref)
		for _, server := range r.roster.Open(pool) {
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
