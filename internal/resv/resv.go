// Package resv keeps the reservations of one pool of pieces: for requests that can't be in time now, times
// from which pieces of the pool are kept for them. It does no I/O and reads no clock.
//
// Load pattern: a burst of two to three times a pool's rate for some seconds. Refused callers retry once,
// without priority over new requests, and most are refused again. So the pool's coordinator spreads refused
// requests over what the pool will produce, and admits new requests only beside them.
package resv

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/accept"
)

const (
	// promisedShare is the share of a pool's rate that is promised; the remainder is for new requests.
	promisedShare = 0.8
	// maxNoShowRaise bounds by how much that share is raised for reservations that aren't taken.
	maxNoShowRaise = 1.0 / 3
	// noShowWindow is the number of latest reservations that the share of no-shows averages over.
	noShowWindow = 100
	// urgentReserve is the part of the promised share that is left to each more urgent rank, for at most
	// maxUrgentRanks of them: a promise is never postponed, so an urgent request gets an early time only
	// if less urgent ones left it free.
	urgentReserve  = 0.2
	maxUrgentRanks = 2
	// earlyBy and lateBy give the time in which a reservation is due.
	earlyBy, lateBy = 100 * time.Millisecond, 400 * time.Millisecond
	// minWait is the earliest time of a new reservation: after earlyBy, so that it isn't due at once.
	minWait = 150 * time.Millisecond
	// maxWaitFraction is the part of the time to their deadline that callers wait at most.
	maxWaitFraction = 3
	// lookAhead is how far ahead promised pieces count as pending.
	lookAhead = time.Second
	// spareShare is the part of the time to its target that a request doesn't need which it may spend
	// waiting for a reservation: targets are measured from the first attempt. Replayed bursts without this
	// bound used the pool less in time than without reservations.
	spareShare = 0.5
	// takenMargin is how much more time a request that took its reservation gets than it needs: with
	// less, the batcher would reject its pieces as late.
	takenMargin = 200 * time.Millisecond
	// allowedQueue is the queue beside which pieces are promised. The pool first works off what is beyond:
	// otherwise a long queue that a failure left behind stays, and all that is promised is late.
	allowedQueue = 500 * time.Millisecond
	// grantRetention is how long the pieces of a granted request count as pending if they don't arrive:
	// by then, the VM's load report counts them as expected.
	grantRetention = 500 * time.Millisecond
	// shortQueue is the longest queueing time with which a request is granted that can't meet its
	// target even with empty queues, as in package accept.
	shortQueue = 700 * time.Millisecond
	// idleQueue is the queue up to which a retry is granted whose target has passed.
	idleQueue = 100 * time.Millisecond
	// refusedRetention is how long a request that got no reservation is remembered. Callers retry after
	// at most 1.5 s.
	refusedRetention = 2 * time.Second
	// MaxReservations bounds the reservations of a pool, at about 100 bytes each.
	MaxReservations = 20_000
)

// Shares tells which workspaces ask for more than their share of the pool.
type Shares interface {
	// OverAt reports whether the workspace asks for more than its share now, for requests of a rank.
	OverAt(now time.Time, ws shed.WorkspaceID, rank int) bool
}

// Config configures a Ledger.
type Config struct {
	// Shares may be nil: all workspaces are then treated alike.
	Shares Shares
}

// Request is a request that can't be in time by the forecast that its VM knows, or whose VM knows none.
type Request struct {
	Fingerprint shed.Fingerprint
	Workspace   shed.WorkspaceID
	// Pieces is the number of pieces that it needs from the pool.
	Pieces int
	// Rank is its priority, 0 is the most urgent; UrgentRanks is the number of more urgent ranks that use
	// the pool.
	Rank, UrgentRanks int
	// ToTarget and ToDeadline are the times left until the target and the deadline of the answer.
	ToTarget, ToDeadline time.Duration
	// Needed is the time to the target that its VM requires, if it queues in the pool for Queue; Least
	// is that time with an empty queue.
	Needed, Queue, Least time.Duration
}

// Load is the coordinator's own forecast for the pool.
type Load struct {
	// Rate is how many pieces the pool produces per second; 0 if it has no servers.
	Rate float64
	// Queue is how long the request's pieces would queue, without regard to reservations.
	Queue time.Duration
}

// Decision is the answer to a request: it is admitted, or Wait is the time until its reservation. If Wait is
// 0, it has none.
type Decision struct {
	Granted bool
	// Taken: it was granted because its reservation was due.
	Taken bool
	// ToTarget is the time left until the target of a request that took its reservation, measured from
	// its first attempt, or at least the time that it needs.
	ToTarget time.Duration
	// Promised: the reservation is a new one.
	Promised bool
	Wait     time.Duration
}

// Ledger holds the reservations of one pool. It is not safe for concurrent use.
type Ledger struct {
	cfg     Config
	entries map[shed.Fingerprint]entry
	slots   slots
	grants  grants
	refused refused
	// noShows is the moving share of reservations that weren't taken.
	noShows float64
	// lastBelow is the latest time promised to a workspace that was not above its share.
	lastBelow time.Time
}

// entry is a promised reservation.
type entry struct {
	due time.Time
	// target is the target as measured from the attempt that got the reservation.
	target time.Time
	pieces int
	rank   int
}

// New returns a Ledger without reservations.
func New(cfg Config) *Ledger {
	return &Ledger{
		cfg: cfg, entries: map[shed.Fingerprint]entry{}, slots: slots{at: map[int64]*slot{}},
		grants: grants{pieces: map[shed.Fingerprint]int{}}, refused: refused{targets: map[shed.Fingerprint]time.Time{}},
	}
}

// Reserve admits a request, or promises it a reservation if there is one that it can use.
func (l *Ledger) Reserve(now time.Time, load Load, a Request) Decision {
	over := l.cfg.Shares != nil && l.cfg.Shares.OverAt(now, a.Workspace, a.Rank)
	if e, ok := l.entries[a.Fingerprint]; ok {
		switch wait := e.due.Sub(now); {
		case wait <= earlyBy && wait >= -lateBy:
			l.take(a.Fingerprint, e)
			l.grants.add(now, a.Fingerprint, a.Pieces)
			return Decision{Granted: true, Taken: true, ToTarget: max(e.target.Sub(now), a.Least+takenMargin)}
		case wait > a.ToDeadline/maxWaitFraction:
			// An equal request with less time left.
			return Decision{}
		case wait > 0:
			// A caller that comes too early keeps its time.
			return Decision{Wait: wait}
		}
	}
	if l.refused.isLate(now, a) && load.Queue+l.Ahead(now, load.Rate, a.Rank) > idleQueue {
		return Decision{}
	}
	othersWait := l.lastBelow.After(now)
	if l.isInTime(now, load, a) && (!over || !othersWait) {
		l.grants.add(now, a.Fingerprint, a.Pieces)
		return Decision{Granted: true}
	}
	wait := l.promise(now, load, a, over)
	if wait == 0 {
		l.refused.add(now, a)
	}
	return Decision{Promised: wait > 0, Wait: wait}
}

// isInTime reports whether the request is in time if it is admitted now.
func (l *Ledger) isInTime(now time.Time, load Load, a Request) bool {
	if load.Rate <= 0 {
		return false
	}
	queue := load.Queue + l.Ahead(now, load.Rate, a.Rank)
	needed := a.needed(queue)
	if a.Least > a.ToTarget {
		return queue <= shortQueue && needed <= a.ToDeadline
	}
	return needed <= a.ToTarget
}

// needed is the time to the target that the request requires if it queues in the pool for some time. As at its
// VM, that includes the growth of queues and the reserve for more urgent ranks.
func (a *Request) needed(queue time.Duration) time.Duration {
	factor := accept.QueueGrowth
	if a.Queue > 0 {
		factor = max(float64(a.Needed-a.Least)/float64(a.Queue), factor)
	}
	return a.Least + shed.Scale(queue, factor)
}

// maxWait is how long the request can wait for its reservation. One that can be in time must be so with it.
func (a *Request) maxWait() time.Duration {
	wait := min(a.ToDeadline/maxWaitFraction, a.ToDeadline-a.Least)
	if spare := a.ToTarget - a.Least; spare > 0 {
		wait = min(wait, shed.Scale(spare, spareShare))
	}
	return wait
}

// promise promises the earliest free reservation and returns the time until then; 0 if there is none that
// the request can use.
func (l *Ledger) promise(now time.Time, load Load, a Request, over bool) time.Duration {
	if load.Rate <= 0 || len(l.entries) >= MaxReservations {
		return 0
	}
	share := promisedShare * (1 + min(l.noShows, maxNoShowRaise))
	share *= 1 - urgentReserve*float64(min(a.UrgentRanks, maxUrgentRanks))
	from := now.Add(max(minWait, load.Queue-allowedQueue))
	if over {
		from = shed.Later(from, l.lastBelow)
	}
	due, last, ok := l.slots.find(from, now.Add(a.maxWait()), float64(a.Pieces), share*load.Rate)
	if !ok {
		return 0
	}
	l.slots.use(from, last, float64(a.Pieces), share*load.Rate)
	l.entries[a.Fingerprint] = entry{due: due, target: now.Add(a.ToTarget), pieces: a.Pieces, rank: a.Rank}
	l.slots.add(due, a.Fingerprint, a.Rank, a.Pieces)
	if !over {
		l.lastBelow = shed.Later(l.lastBelow, due)
	}
	return due.Sub(now)
}

// Ahead returns by how much the reservations of the next second and granted requests whose pieces haven't
// arrived lengthen the queue for a request of a rank.
func (l *Ledger) Ahead(now time.Time, rate float64, rank int) time.Duration {
	if rate <= 0 {
		return 0
	}
	pieces := l.slots.promised(now.Add(-lateBy), now.Add(lookAhead), rank) + l.grants.pending(now)
	return time.Duration(float64(pieces) / rate * float64(time.Second))
}

// Arrived records that pieces of a request were queued: a grant no longer counts in addition to them, and a
// reservation is taken even if the VM admitted the request without asking. It reports the latter, and whether
// the ledger knew the request.
func (l *Ledger) Arrived(f shed.Fingerprint) (known, taken bool) {
	_, known = l.grants.pieces[f]
	l.grants.remove(f)
	e, taken := l.entries[f]
	if taken {
		l.take(f, e)
	}
	return known || taken, taken
}

// Expire drops reservations that weren't taken, and returns their number.
func (l *Ledger) Expire(now time.Time) int {
	n := 0
	for _, f := range l.slots.popBefore(now.Add(-lateBy)) {
		if e, ok := l.entries[f]; ok && e.due.Before(now.Add(-lateBy)) {
			delete(l.entries, f)
			l.count(1)
			n++
		}
	}
	l.grants.pending(now)
	l.refused.expire(now)
	return n
}

// take removes a reservation that is used.
func (l *Ledger) take(f shed.Fingerprint, e entry) {
	delete(l.entries, f)
	l.slots.remove(e.due, e.rank, e.pieces)
	l.count(0)
}

// count adds one reservation to the share of no-shows.
func (l *Ledger) count(missed float64) { l.noShows += (missed - l.noShows) / noShowWindow }

// Summary describes the ledger to operators.
type Summary struct {
	Reservations int `json:"reservations"`
	// NextSecond is the number of pieces promised for the next second.
	NextSecond int     `json:"pieces_next_s"`
	NoShows    float64 `json:"no_show_share"`
}

// Summary returns the current state.
func (l *Ledger) Summary(now time.Time) Summary {
	return Summary{
		Reservations: len(l.entries), NextSecond: l.slots.promised(now.Add(-lateBy), now.Add(lookAhead), anyRank), NoShows: l.noShows,
	}
}
