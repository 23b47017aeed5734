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
	// stateWaiting: in a queue of the gate.
	stateWaiting
	// stateBackoff: waits for its wake, then is placed again.
	stateBackoff
	// stateRunning: call is live.
	stateRunning
	stateOver
)

// request is one accepted request.
type request struct {
	arrived  shed.RequestArrived
	pipeline *shed.Pipeline
	trail    *trail.Trail
	state    state
	// stage is the index of the stage at work; it only grows.
	stage int
	// call is the live call; void unless running.
	call shed.Call
	// local is the server of the live call if it runs in this zone.
	local *shed.Server
	// offset is how many tokens were here before the live call.
	offset  shed.Tokens
	resumes int
	// asides counts how often it stepped aside in this stage.
	asides int
	// avoid are the servers that failed this stage, at most maxAvoid.
	avoid []shed.ServerID
	// waits is why the last placing found no room.
	waits shed.Reason
	// gone: the caller went away, but the end must become known.
	gone bool
	// wake is when something must be done; index is its place in the heap, -1
	// if it has none.
	wake  time.Time
	index int
}

func (r *request) at() *shed.Stage { return &r.pipeline.Stages[r.stage] }

// cutoff is when the live stage's result is worth nothing any more. For a
// stage that must run at most once that is only the request's own deadline,
// since knowing how it ended is worth something by itself.
func (r *request) cutoff() time.Time {
	if !r.at().Idempotent {
		return r.arrived.Deadline
	}
	return r.arrived.Deadline.Add(-admit.MinDuration(r.pipeline, r.stage+1))
}

// setState moves the request to a state and sets its wake; a zero wake is none.
func (f *Flow) setState(r *request, s state, wake time.Time) {
	r.state = s
	r.wake = wake
	switch {
	case wake.IsZero() && r.index >= 0:
		heap.Remove(&f.wakes, r.index)
	case wake.IsZero():
	case r.index >= 0:
		heap.Fix(&f.wakes, r.index)
	default:
		heap.Push(&f.wakes, r)
	}
}

type wakeHeap []*request

func (h wakeHeap) Len() int { return len(h) }

func (h wakeHeap) Less(i, j int) bool {
	if !h[i].wake.Equal(h[j].wake) {
		return h[i].wake.Before(h[j].wake)
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
