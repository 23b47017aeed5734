package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/peers"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// heavyBytes is the size from which results are kept within a zone.
	heavyBytes = 500_000
	// otherZone is what it costs if a step can't be made in the request's zone.
	otherZone = 20 * time.Millisecond
	// sendShare is the part of a request's time that its steps may not use: the
	// server needs it for the request itself.
	sendShare = 0.1
)

// plan is what a request's steps come to.
type plan struct {
	steps []shed.RouteStep
	// pieces is how many pieces each of steps has, at least one.
	pieces []int
}

// planOf leaves out steps that the request has no pieces of.
func planOf(j *job) plan {
	var p plan
	for _, s := range j.route.Steps {
		n := 0
		if s.Index < len(j.ask.Pieces) {
			n = j.ask.Pieces[s.Index]
		}
		if n > 0 {
			p.steps, p.pieces = append(p.steps, s), append(p.pieces, n)
		}
	}
	return p
}

// at finds the step with this index; -1 if the request omits it.
func (p plan) at(index int) int {
	return slices.IndexFunc(p.steps, func(s shed.RouteStep) bool { return s.Index == index })
}

// last tells whether no other step needs the results of this one.
func (p plan) last(at int) bool {
	return !slices.ContainsFunc(p.steps, func(s shed.RouteStep) bool {
		return slices.Contains(s.After, p.steps[at].Index)
	})
}

// prepare has all pieces of the request made, and sets its inputs.
func (r *Relay) prepare(ctx context.Context, j *job) *refusal {
	p := planOf(j)
	if len(p.steps) == 0 {
		return nil
	}
	wait := r.chooseZone(j, p)
	left := time.Until(j.deadline)
	if wait > left-time.Duration(sendShare*float64(left)) {
		r.log.WithFields(logrus.Fields{
			"request": j.ask.ID, "wait_ms": wait.Milliseconds(), "left_ms": left.Milliseconds(), "zone": j.zone,
		}).Info("pieces would be late")
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonPiecesLate, after: comeBack}
	}
	made := make([][]shed.ResultRef, len(p.steps))
	done := make([]chan struct{}, len(p.steps))
	for i := range done {
		done[i] = make(chan struct{})
	}
	g, ctx := errgroup.WithContext(ctx)
	for i := range p.steps {
		g.Go(func() error {
			for _, before := range p.steps[i].After {
				if at := p.at(before); at >= 0 {
					select {
					case <-done[at]:
					case <-ctx.Done():
						return ctx.Err()
					}
				}
			}
			var err error
			made[i], err = r.step(ctx, j, p, i, made)
			if err == nil {
				close(done[i])
			}
			return err
		})
	}
	err := g.Wait()
	r.sortResults(j, p, made, err != nil)
	if err == nil {
		return nil
	}
	return r.stepRefusal(ctx, j, err)
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
}

func (r *Relay) stepRefusal(ctx context.Context, j *job, err error) *refusal {
	no := &refusal{status: http.StatusServiceUnavailable, reason: reasonPiecesNone, after: comeBack}
	if end, ok := err.(stepError); ok && end.end == shed.PieceLate { //nolint:errorlint // made here
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
	pieces := make([]shed.Piece, p.pieces[at])
	now := time.Now()
	var inputs []shed.ResultRef
	for _, before := range s.After {
		if i := p.at(before); i >= 0 {
			inputs = append(inputs, made[i]...)
		}
	}
	for n := range pieces {
		pieces[n] = shed.Piece{
			Request: j.ask.ID, Step: s.Index, Number: n, Inputs: inputs, Bytes: s.ResultBytes,
			Left: j.deadline.Sub(now), Aim: r.stepAim(j, p, at).Sub(now),
		}
		if len(inputs) == 0 {
			pieces[n].Key = j.ask.PieceKey
		}
	}
	refs := make([]shed.ResultRef, len(pieces))
	open := make([]int, len(pieces))
	for i := range open {
		open[i] = i
	}
	var tried []shed.ZoneID
	for {
		zone := r.stepZone(j, s, tried)
		if zone == "" {
			return r.unmade(j, refs, shed.PieceFailed)
		}
		tried = append(tried, zone)
		asked := make([]shed.Piece, len(open))
		for i, n := range open {
			asked[i] = pieces[n]
		}
		results := r.askPieces(ctx, batch.Group{Pool: s.Pool, Zone: zone}, asked)
		var again []int
		for i, n := range open {
			switch results[i].End {
			case shed.PieceMade:
				refs[n] = results[i].Ref
			case shed.PieceLate, shed.PieceInputsGone:
				return r.unmade(j, refs, results[i].End)
			default:
				again = append(again, n)
			}
		}
		if len(again) == 0 {
			return refs, nil
		}
		if ctx.Err() != nil {
			_, _ = r.unmade(j, refs, shed.PieceFailed)
			return nil, ctx.Err()
		}
		open = again
	}
}

// unmade gives up what was made of a step that failed.
func (r *Relay) unmade(j *job, refs []shed.ResultRef, end shed.PieceEnd) ([]shed.ResultRef, error) {
	r.free(j, slices.DeleteFunc(refs, func(ref shed.ResultRef) bool { return ref == "" }))
	return nil, stepError{end}
}

// stepAim is when the step should be done: the request's aim, less what follows
// takes at least. So an earlier step of a long chain goes before a last one.
func (r *Relay) stepAim(j *job, p plan, at int) time.Time {
	aim := j.aim.Add(-serverTime)
	next := p.steps[at].Index
	for i := at + 1; i < len(p.steps); i++ {
		if slices.Contains(p.steps[i].After, next) {
			r.mu.Lock()
			pool := r.pool(p.steps[i].Pool)
			r.mu.Unlock()
			if pool != nil && pool.Batch != nil {
				aim = aim.Add(-pool.Batch.CallTime - time.Duration(p.pieces[i])*pool.Batch.PieceTime)
			}
			next = p.steps[i].Index
		}
	}
	return aim
}

// serverTime is about what a server takes from the request to its first event.
const serverTime = 100 * time.Millisecond

// askPieces has pieces made by the servers of a group, through the VM that
// gathers them. If that VM doesn't answer, this one gathers by itself.
func (r *Relay) askPieces(ctx context.Context, g batch.Group, pieces []shed.Piece) []shed.PieceResult {
	for range 2 {
		r.mu.Lock()
		vm, client := r.gatherer(time.Now(), g), r.client
		r.mu.Unlock()
		if vm == r.mesh.self.VM {
			return r.gather(ctx, g, pieces)
		}
		results, err := client.Pieces(ctx, vm, peers.PieceCall{Pool: g.Pool, Zone: g.Zone, Pieces: pieces})
		if err == nil {
			return results
		}
		if ctx.Err() != nil {
			return failed(len(pieces))
		}
		r.log.WithFields(logrus.Fields{"peer": vm, "pool": g.Pool, "zone": g.Zone, "error": err.Error()}).
			Info("peer that gathers pieces gives no answer")
		r.mu.Lock()
		r.mesh.shunned[vm] = time.Now().Add(shunPeer)
		r.mu.Unlock()
	}
	return r.gather(ctx, g, pieces)
}

// chooseZone chooses where the request's pieces are made, together with where
// the server is that will need them, and predicts how long the pieces take.
func (r *Relay) chooseZone(j *job, p plan) time.Duration {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range p.steps {
		j.heavy = j.heavy || p.last(i) && s.ResultBytes >= heavyBytes
	}
	servers := r.roster.Open(j.pool.ID)
	best, bestWait := time.Duration(-1), time.Duration(0)
	for _, zone := range r.zones(p) {
		wait := r.pathWait(now, p, zone)
		want := r.want(j)
		want.Zone, want.ZoneCost = zone, 0
		if j.heavy {
			want.ZoneCost = zoneCost
		}
		choice := r.picker.Pick(now, want, servers)
		cost := wait + choice.Cost
		if best < 0 || cost < best {
			best, bestWait, j.zone = cost, wait, zone
		}
	}
	return bestWait
}

// zones are those with servers for the plan's first step, sorted; its own first
// among equals.
func (r *Relay) zones(p plan) []shed.ZoneID {
	var out []shed.ZoneID
	for _, s := range p.steps {
		for _, server := range r.roster.Open(s.Pool) {
			out = append(out, server.Zone)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// pathWait predicts how long the plan's steps take in a zone, along the longest
// path.
func (r *Relay) pathWait(now time.Time, p plan, zone shed.ZoneID) time.Duration {
	ends := make([]time.Duration, len(p.steps))
	var longest time.Duration
	for i, s := range p.steps {
		var start time.Duration
		for _, before := range s.After {
			if at := p.at(before); at >= 0 {
				start = max(start, ends[at])
			}
		}
		ends[i] = start + r.stepWait(now, s.Pool, zone, p.pieces[i], start)
		longest = max(longest, ends[i])
	}
	return longest
}

// stepWait predicts how long pieces of a pool take in a zone from start on, or
// in the best other one if the zone has no server.
func (r *Relay) stepWait(now time.Time, id shed.PoolID, zone shed.ZoneID, pieces int, start time.Duration) time.Duration {
	pool := r.pool(id)
	if pool == nil || pool.Batch == nil {
		return batch.NoServers
	}
	least := batch.NoServers
	for _, s := range r.roster.Open(id) {
		wait := r.groupWait(now, batch.Group{Pool: id, Zone: s.Zone}, pool.Batch, pieces, start)
		if s.Zone != zone {
			wait += otherZone
			if least != batch.NoServers {
				continue
			}
		} else {
			return wait
		}
		least = min(least, wait)
	}
	return least
}

// groupWait predicts how long pieces of a group take: by this VM's own queue, or
// by what its gatherer told, less what has passed since.
func (r *Relay) groupWait(now time.Time, g batch.Group, l *shed.BatchLimits, pieces int, start time.Duration) time.Duration {
	least := l.CallTime + time.Duration(pieces)*l.PieceTime
	if r.gatherer(now, g) == r.mesh.self.VM {
		return max(r.batcher.Wait(now, g, *l, pieces)-start, least)
	}
	w, ok := r.mesh.waits[g]
	if !ok {
		return least
	}
	return max(w.wait+time.Duration(pieces)*l.PieceTime-now.Sub(w.at)-start, least)
}

// stepZone is where a step is made: in the request's zone, or the least busy
// other one that wasn't tried; empty if there is none.
func (r *Relay) stepZone(j *job, s shed.RouteStep, tried []shed.ZoneID) shed.ZoneID {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	pool := r.pool(s.Pool)
	if pool == nil || pool.Batch == nil {
		return ""
	}
	var best shed.ZoneID
	var least time.Duration
	for _, server := range r.roster.Open(s.Pool) {
		if slices.Contains(tried, server.Zone) {
			continue
		}
		if server.Zone == j.zone {
			return j.zone
		}
		wait := r.groupWait(now, batch.Group{Pool: s.Pool, Zone: server.Zone}, pool.Batch, 1, 0)
		if best == "" || wait < least {
			best, least = server.Zone, wait
		}
	}
	return best
}

// giveUp gives the request's inputs up: its server has fetched them, or it
// ended.
func (r *Relay) giveUp(j *job) {
	refs := j.inputs
	j.inputs = nil
	r.free(j, refs)
}

// free gives results up, through the VM that had them made: it counts the room
// at their makers.
func (r *Relay) free(j *job, refs []shed.ResultRef) {
	if len(refs) == 0 {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	own := make(map[shed.VM][]shed.ResultRef)
	for _, ref := range refs {
		vm := r.gathererOf(now, j, ref)
		own[vm] = append(own[vm], ref)
	}
	for vm, refs := range own {
		if vm == r.mesh.self.VM {
			r.perform(r.batcher.Handle(now, batch.Freed{Refs: refs}))
			continue
		}
		r.client.Send(vm, shed.ResultsFreed{Refs: refs})
	}
}

// gathererOf is the VM that gathers for the server that holds the result.
func (r *Relay) gathererOf(now time.Time, j *job, ref shed.ResultRef) shed.VM {
	addr := r.cfg.Dialect.Maker(ref)
	for _, s := range j.route.Steps {
		for _, server := range r.roster.Open(s.Pool) {
			if server.Addr == addr {
				return r.gatherer(now, batch.Group{Pool: s.Pool, Zone: server.Zone})
			}
		}
	}
	return r.mesh.self.VM
}
