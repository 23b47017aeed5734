package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/answer"

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

// newAssembly starts the result of a call, continuing the one that it resumes.
// If text will be produced again, the caller gets a reset.
func (r *run) newAssembly(id, resumes shed.Call, from shed.Tokens) *answer.Assembly {
	fresh := answer.New(answer.Config{Call: id})
	// The text of a silent call is void only once its replacement becomes the current call.
	if r.current != nil || r.last == nil || r.last.assembly == nil || r.last.id.Stage != id.Stage {
		return fresh
	}
	if from > 0 && r.last.id == resumes {
		if parts, err := r.last.assembly.Resume(id, from); err == nil {
			return parts
		}
	}
	r.resetText(r.last)
	return fresh
}

// resetText tells the caller that the text of the call is void, if there is any.
func (r *run) resetText(c *call) {
	if c.assembly.Text() != "" {
		r.push(shed.Update{Stage: c.stage, Reset: true})
	}
}

// promote makes the first replacement of the silent call c, which is cancelled or has failed, the
// current call. The caller holds Daemon.mu.
func (r *run) promote(c *call) {
	r.current = nil
	if len(r.replacements) > 0 {
		r.current = r.replacements[0]
		r.replacements = slices.Delete(r.replacements, 0, 1)
		r.resetText(c)
	}
}

// completeReplacement makes c the current call if it is a replacement of the silent one. The caller
// holds Daemon.mu.
func (r *run) completeReplacement(c *call) {
	if !slices.Contains(r.replacements, c) {
		return
	}
	silent := r.current
	silent.replace()
	r.dropReplacement(c)
	r.current = c
	r.resetText(silent)
}

// dropReplacement removes c from the replacements, if it is among them. The caller holds Daemon.mu.
func (r *run) dropReplacement(c *call) {
	r.replacements = slices.DeleteFunc(r.replacements, func(x *call) bool { return x == c })
}
