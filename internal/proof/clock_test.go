package proof

import (
	"container/heap"
	"time"
)

// epoch is when every world begins.
var epoch = time.Date(2026, 11, 1, 12, 0, 0, 0, time.UTC)

// event is something that happens at a time; among equals the one that was
// scheduled first comes first.
type event struct {
	at    time.Time
	order int
	do    func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// clock runs events in virtual time.
type clock struct {
	now   time.Time
	order int
	queue queue
}

func (c *clock) after(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.queue, event{at: c.now.Add(d), order: c.order, do: do})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}
