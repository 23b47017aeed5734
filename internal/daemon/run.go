package daemon

import (
	"context"
	"sync"
	"time"

	shed "jasmineshed"

	"go.opentelemetry.io/otel/trace"
)

// run is one request that this daemon accepted.
type run struct {
	id        shed.RequestID
	workspace shed.WorkspaceID
	pipeline  shed.PipelineID
	ticketed  bool
	started   time.Time
	span      trace.Span
	// ctx carries the span to the calls. It ends with the daemon and not with the
	// caller, because the core decides what to do when a caller disconnects.
	ctx context.Context

	// payload is the input of the current stage. Guarded by Daemon.mu.
	payload shed.Payload
	// current is the call whose result counts. Guarded by Daemon.mu.
	current *call
	// replacements are the calls that replace current, which is silent, oldest first. The first
	// becomes the current one if current is cancelled or fails. Guarded by Daemon.mu.
	replacements []*call
	// last is the call that ended most recently, kept for its result and to
	// resume it. Guarded by Daemon.mu.
	last *call

	// mu guards the fields below.
	mu sync.Mutex
	// pending are the updates that no waiter has taken yet. Only the first waiter
	// takes updates; one that joins later gets the final answer only.
	pending []shed.Update
	// waiters is the number of waiting callers. At 0 the request's caller is
	// considered gone.
	waiters   int
	answer    shed.Answer
	keepUntil time.Time
	// wake has a buffer of one; it is filled when updates are pending.
	wake chan struct{}
	// done is closed once answer is final.
	done chan struct{}
}

func newRun(ctx context.Context, id shed.RequestID, req shed.Request, ticketed bool) *run {
	return &run{
		id:        id,
		workspace: req.Workspace,
		pipeline:  req.Pipeline,
		ticketed:  ticketed,
		started:   time.Now(),
		span:      trace.SpanFromContext(ctx),
		ctx:       ctx,
		payload:   req.Payload,
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
}

// push queues an update for the waiting caller.
func (r *run) push(u shed.Update) {
	r.mu.Lock()
	r.pending = append(r.pending, u)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// takeUpdates returns the pending updates and reuses spare for the next ones.
func (r *run) takeUpdates(spare []shed.Update) []shed.Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.pending
	r.pending = spare[:0]
	return out
}

// finish sets the final answer; later calls change nothing and return false.
func (r *run) finish(a shed.Answer, keep time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.done:
		return false
	default:
	}
	r.answer = a
	r.keepUntil = time.Now().Add(keep)
	close(r.done)
	return true
}

func (r *run) isFinished() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *run) isExpired(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isFinished() && now.After(r.keepUntil)
}

func (r *run) addWaiter() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters++
}

// removeWaiter reports whether no waiter is left.
func (r *run) removeWaiter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters--
	return r.waiters == 0
}

// wait delivers updates until the answer is final or the caller's ctx ends.
func (r *run) wait(ctx context.Context, update func(shed.Update)) (shed.Answer, bool) {
	var spare []shed.Update
	deliver := func() {
		if update == nil {
			return
		}
		got := r.takeUpdates(spare)
		for _, u := range got {
			update(u)
		}
		spare = got
	}
	for {
		select {
		case <-r.done:
			deliver()
			return r.answer, true
		case <-ctx.Done():
			return shed.Answer{}, false
		case <-r.wake:
			deliver()
		}
	}
}
