package relay

import (
	"context"
	"math"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/chain"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/prefs"
	"jasmineshed/internal/resv"
	"jasmineshed/internal/share"

	"github.com/sirupsen/logrus"
)

// bottleneck is the pool that a request waits longest for.
type bottleneck struct {
	pool shed.PoolID
	// pieces is how many pieces the request needs from the pool, queue how long they would queue there.
	pieces int
	queue  time.Duration
	// resultBytes is the size of the largest result of these pieces.
	resultBytes int64
}

// findBottleneck returns the bottleneck of a plan.
func findBottleneck(p plan, c chain.Chain) bottleneck {
	at := c.Bottleneck()
	b := bottleneck{pool: p.steps[at].Pool, queue: c.QueueTime(at)}
	for i, s := range p.steps {
		if s.Pool == b.pool {
			b.pieces += p.pieces[i]
			b.resultBytes = max(b.resultBytes, s.ResultBytes)
		}
	}
	return b
}

// reservations are those of a pool that this VM coordinates, with what its workspaces ask for.
type reservations struct {
	*resv.Ledger
	shares *share.Table
}

// verdict is an admission decision with what it was based on.
type verdict struct {
	accept.Verdict
	coordinator shed.VM
	outcome     resv.Outcome
}

// decideSteps decides whether a request is admitted. If its own forecast is against it, or if there is no
// recent one, the pool's coordinator is asked.
func (r *Relay) decideSteps(ctx context.Context, j *job, p plan, request accept.Request, b bottleneck) verdict {
	r.mu.Lock()
	v := verdict{Verdict: r.accept.Decide(request), outcome: resv.OutcomeLocal}
	way := resv.WayNone
	if enabled := r.prefs.Load().Relay.Reservations; enabled || !v.Admitted {
		v.coordinator, way = r.wayToAsk(b.pool, enabled, v.Admitted)
	}
	client := r.client
	r.mu.Unlock()
	if way == resv.WayNone {
		return v
	}
	call := peers.ReserveCall{
		Pool: b.pool, Request: j.requestRef(), Pieces: b.pieces, Rank: max(j.rank, 0),
		ToTarget: request.ToTarget, ToDeadline: max(request.ToDeadline, 1), Needed: v.NeededTime, Queue: b.queue, Least: request.LeastTime(b.queue),
		ResultBytes: b.resultBytes,
	}
	if way == resv.WayProbe {
		call.Pieces = 0
		r.work.Go(func() error {
			r.requestReservation(r.base, client, v.coordinator, call)
			return nil
		})
		return v
	}
	asked := time.Now()
	answer := r.requestReservation(ctx, client, v.coordinator, call)
	r.log.WithFields(logrus.Fields{
		"request": j.request.ID, "fingerprint": j.fingerprint, "pool": b.pool, "coordinator": v.coordinator, "granted": answer.Granted,
		"wait_ms": answer.Wait.Milliseconds(), "reason": answer.Outcome(), "took_ms": time.Since(asked).Milliseconds(),
	}).Info("reservation")
	return r.decideByAnswer(j, p, v, answer)
}

// wayToAsk returns the coordinator of a pool, and whether and how it is called for a request that is admitted
// by this VM's own forecast or not. The caller holds mu.
func (r *Relay) wayToAsk(pool shed.PoolID, enabled, admitted bool) (shed.VM, resv.Way) {
	now := time.Now()
	vm, ok := r.coordinator(now, pool)
	if !ok || !enabled || admitted && r.isForecastFresh(now, pool, vm) {
		return vm, resv.WayNone
	}
	return vm, r.asker.Decide(now, vm)
}

// decideByAnswer decides on a request by the answer to a call for a reservation.
func (r *Relay) decideByAnswer(j *job, p plan, v verdict, answer resv.Answer) verdict {
	own := v.Verdict
	if !answer.Answered && !own.Admitted {
		own = r.decideAlone(j, p)
	}
	v.Verdict, v.outcome = resv.Combine(own, answer)
	if answer.ToTarget > 0 {
		j.target = time.Now().Add(min(answer.ToTarget, time.Until(j.deadline)))
	}
	if v.outcome == resv.OutcomeGranted && !own.Admitted {
		r.mu.Lock()
		r.accept.Granted(j.route.ID)
		r.mu.Unlock()
	}
	return v
}

// decideAlone decides on a request again after its coordinator gave no answer: by forecasts without the
// reservations there, which are out of reach.
func (r *Relay) decideAlone(j *job, p plan) accept.Verdict {
	request, _, _ := r.estimate(j, p)
	now := time.Now()
	request.ToTarget, request.ToDeadline = j.target.Sub(now), j.deadline.Sub(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accept.Decide(request)
}

// isForecastFresh reports whether this VM knows how busy a pool is: by a recent forecast, or because its
// coordinator reported lately, which names only pools in use. The caller holds mu.
func (r *Relay) isForecastFresh(now time.Time, pool shed.PoolID, coordinator shed.VM) bool {
	if coordinator == r.mesh.self.VM && now.Sub(r.mesh.startedAt) > resv.MaxForecastAge {
		return true
	}
	return now.Sub(r.mesh.forecasts[pool].at) < resv.MaxForecastAge || now.Sub(r.mesh.lastLoad[coordinator]) < resv.MaxForecastAge
}

// requestReservation asks a coordinator to admit a request or to promise it a reservation.
func (r *Relay) requestReservation(ctx context.Context, client *peers.Client, vm shed.VM, call peers.ReserveCall) resv.Answer {
	var reply peers.ReserveReply
	var err error
	if vm == r.mesh.self.VM {
		reply = r.Reserve(call)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, resv.Timeout)
		reply, err = client.Reserve(callCtx, vm, call)
		cancel()
		if ctx.Err() != nil {
			// The caller has gone, which says nothing about the coordinator.
			return resv.Answer{}
		}
	}
	answered := err == nil && !reply.Moved
	if err != nil {
		r.log.WithFields(logrus.Fields{"peer": vm, "pool": call.Pool, "error": err.Error()}).Info("peer that keeps reservations gives no answer")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asker.Record(time.Now(), vm, answered)
	if !answered {
		return resv.Answer{}
	}
	return resv.Answer{Answered: true, Granted: reply.Granted, Wait: reply.Wait, ToTarget: reply.ToTarget}
}

// Reserve implements peers.RelayHandler.
func (r *Relay) Reserve(call peers.ReserveCall) peers.ReserveReply {
	if r.stopping.Load() || r.isReplaced() || !r.prefs.Load().Relay.Reservations {
		return peers.ReserveReply{Moved: true}
	}
	if call.Pieces == 0 {
		return peers.ReserveReply{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	pool := r.pool(call.Pool)
	if vm, ok := r.coordinator(now, call.Pool); !ok || vm != r.mesh.self.VM || !pool.RunsPieces() {
		return peers.ReserveReply{Moved: true}
	}
	load := r.poolLoad(now, pool, call)
	if load.Rate <= 0 {
		// This VM reaches no server of the pool, the one that asks may.
		return peers.ReserveReply{Moved: true}
	}
	l := r.reservations(call.Pool)
	l.shares.SetRate(load.Rate)
	l.shares.Observe(now, call.Request.Workspace, call.Rank, call.Pieces)
	got := l.Reserve(now, load, resv.Request{
		Fingerprint: call.Request.Request, Workspace: call.Request.Workspace, Pieces: call.Pieces,
		Rank: call.Rank, UrgentRanks: r.ranksBefore(call.Rank, call.Pool),
		ToTarget: call.ToTarget, ToDeadline: call.ToDeadline, Needed: call.Needed, Queue: call.Queue, Least: call.Least,
	})
	r.stats.recordReservation(got)
	return peers.ReserveReply{Granted: got.Granted, Wait: got.Wait, ToTarget: got.ToTarget}
}

// reservations returns the reservations of a pool. The caller holds mu.
func (r *Relay) reservations(pool shed.PoolID) reservations {
	l, ok := r.ledgers[pool]
	if !ok {
		shares := share.New()
		l = reservations{Ledger: resv.New(resv.Config{Shares: shares}), shares: shares}
		r.ledgers[pool] = l
	}
	return l
}

// poolLoad forecasts how long the pieces of a call would queue in a pool that this VM coordinates. The caller
// holds mu.
func (r *Relay) poolLoad(now time.Time, pool *shed.RelayPool, call peers.ReserveCall) resv.Load {
	limits := r.batchLimits(pool)
	f := r.batcher.PredictWait(now, pool.ID, limits)
	c := chain.Chain{{
		Pieces: call.Pieces, Limits: limits, Servers: len(r.roster.OpenServers(pool.ID)), Forecast: f,
		ExpectedPieces: r.expectedPieces(pool.ID), ResultBytes: call.ResultBytes, ExpectedBytes: r.expectedResultBytes(pool.ID),
	}}
	return resv.Load{Rate: f.Room.LimitRate(f.Rate, limits, call.ResultBytes), Queue: c.QueueTime(0)}
}

// ranksBefore returns how many more urgent ranks use a pool, by the ranks of the routes. The caller holds mu.
func (r *Relay) ranksBefore(rank int, pool shed.PoolID) int {
	if r.roster.Catalog() == nil || !r.prefs.Load().Relay.Enabled(prefs.UrgentReserve) {
		return 0
	}
	_, ranks := r.moreUrgentRoutes(&shed.Route{Rank: rank}, pool)
	return ranks
}

// promised returns by how much the reservations of a pool that this VM coordinates lengthen its queue. VMs that
// don't know of them would admit new requests in place of those that were promised pieces. The caller holds mu.
func (r *Relay) promised(now time.Time, pool shed.PoolID, rate float64) time.Duration {
	if l, ok := r.ledgers[pool]; ok {
		return l.Ahead(now, rate, math.MaxInt)
	}
	return 0
}

// peerPromised returns the same for a pool that a peer coordinates, unless this VM decides without it. The
// caller holds mu.
func (r *Relay) peerPromised(w peerForecast) time.Duration {
	if r.prefs.Load().Relay.Reservations && r.asker.Answers(w.from) {
		return w.promised
	}
	return 0
}

// addWait returns a forecast with a longer queue.
func addWait(f batch.Forecast, wait time.Duration) batch.Forecast {
	f.Timely, f.Last = f.Timely+wait, f.Last+wait
	return f
}

// recordArrival records that pieces of a request arrived at this coordinator. The caller holds mu.
func (r *Relay) recordArrival(pool shed.PoolID, pieces []shed.Piece) {
	l, ok := r.ledgers[pool]
	if !ok || len(pieces) == 0 {
		return
	}
	known, taken := l.Arrived(pieces[0].Origin.Request)
	if taken {
		r.stats.reservationsTaken.Inc(1)
	}
	if ref := pieces[0].Origin; !known {
		l.shares.Observe(time.Now(), ref.Workspace, ref.Rank, len(pieces))
	}
}

// tickReservations drops reservations that weren't taken, and the ledgers of pools that are no longer in the
// configuration. The caller holds mu.
func (r *Relay) tickReservations(now time.Time) {
	enabled := r.prefs.Load().Relay.Reservations
	for id, l := range r.ledgers {
		r.stats.reservationsNotTaken.Inc(int64(l.Expire(now)))
		if !enabled || !r.pool(id).RunsPieces() {
			delete(r.ledgers, id)
		}
	}
}

// reservationSummaries describes the reservations that this VM promised, by pool. The caller holds mu.
func (r *Relay) reservationSummaries(now time.Time) map[shed.PoolID]resv.Summary {
	out := make(map[shed.PoolID]resv.Summary, len(r.ledgers))
	for id, l := range r.ledgers {
		out[id] = l.Summary(now)
	}
	return out
}
