package flow

import (
	"container/heap"
	"time"

	"jasmineshed/internal/admit"
	"jasmineshed/internal/flow/trail"

	shed "jasmineshed"
)

type state uint8

const (
	stateNew state = iota
	// stateWaiting: in a queue of the admission gate.
	stateWaiting
	// stateBackoff: waits for its wake time, then is placed again.
	stateBackoff
	// stateRunning: call is in flight.
	stateRunning
	stateFinished
)

// request is one accepted request.
type request struct {
	arrived  shed.RequestArrived
	pipeline *shed.Pipeline
	trail    *trail.Trail
	state    state
	// stage is the index of the current stage; it only grows.
	stage int
	// call is the call in flight; void unless running.
	call shed.Call
	// silence is the last report of silence, valid until silentUntil and until progress is
	// reported.
	silence     shed.CallSilent
	silentUntil time.Time
	// kept are the silent calls that stay in flight beside call, oldest first. Each was replaced by
	// the next one, and the last of them by call, none of which has been accepted yet.
	kept []keptCall
	// localServer is the server of the call in flight if it runs in this zone.
	localServer *shed.Server
	// tokensBefore is how many tokens had arrived before the call in flight.
	tokensBefore shed.Tokens
	resumes      int
	// queueSkips counts how often it skipped the queue in this stage.
	queueSkips int
	// avoid are the servers that failed this stage, at most maxAvoid.
	avoid []shed.ServerID
	// waitReason is why the last placement found no free server.
	waitReason shed.Reason
	// callerGone: the caller is gone, but the end must become known.
	callerGone bool
	// wakeAt is when the request needs attention; index is its place in the heap, -1 if it
	// has none.
	wakeAt time.Time
	index  int
}

func (r *request) currentStage() *shed.Stage { return &r.pipeline.Stages[r.stage] }

// cutoff is when the result of the current stage becomes useless. For a stage that must run
// at most once it is the request's own deadline, since knowing its outcome is useful in itself.
func (r *request) cutoff() time.Time {
	if !r.currentStage().Idempotent {
		return r.arrived.Deadline
	}
	return r.arrived.Deadline.Add(-admit.MinDuration(r.pipeline, r.stage+1))
}

// setState moves the request to a state and sets its wake time; zero is none.
func (f *Flow) setState(r *request, s state, wake time.Time) {
	r.state = s
	r.wakeAt = wake
	switch {
	case wake.IsZero() && r.index >= 0:
		heap.Remove(&f.byWakeTime, r.index)
	case wake.IsZero():
	case r.index >= 0:
		heap.Fix(&f.byWakeTime, r.index)
	default:
		heap.Push(&f.byWakeTime, r)
	}
}

type wakeHeap []*request

func (h wakeHeap) Len() int { return len(h) }

func (h wakeHeap) Less(i, j int) bool {
	if !h[i].wakeAt.Equal(h[j].wakeAt) {
		return h[i].wakeAt.Before(h[j].wakeAt)
	}
	return h[i].arrived.Request < h[j].arrived.Request
}

func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *wakeHeap) Push(x any) {
	r := x.(*request)
	r.index = len(*h)
	*h = append(*h, r)
}

func (h *wakeHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.index = -1
	return r
}
