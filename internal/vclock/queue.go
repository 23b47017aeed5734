// Package vclock schedules the events of simulations in virtual time, for tests.
package vclock

import (
	"container/heap"
	"iter"
	"time"
)

// Queue is a priority queue of pending events. The zero Queue is empty.
type Queue struct {
	events events
	order  int
}

// event is a scheduled call. Events at the same time run in the order in which they were
// added.
type event struct {
	at    time.Time
	order int
	do    func()
}

// Add schedules an event.
func (q *Queue) Add(at time.Time, do func()) {
	q.order++
	heap.Push(&q.events, event{at: at, order: q.order, do: do})
}

// Until removes and yields the events up to and including end, in order, with those that are
// added meanwhile.
func (q *Queue) Until(end time.Time) iter.Seq2[time.Time, func()] {
	return func(yield func(time.Time, func()) bool) {
		for len(q.events) > 0 && !q.events[0].at.After(end) {
			ev := heap.Pop(&q.events).(event)
			if !yield(ev.at, ev.do) {
				return
			}
		}
	}
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Clock is a virtual clock with scheduled events.
type Clock struct {
	// Now never goes back.
	Now   time.Time
	queue Queue
}

// After schedules an event.
func (c *Clock) After(d time.Duration, do func()) { c.queue.Add(c.Now.Add(d), do) }

// Every schedules a periodic event that runs for the first time after first.
func (c *Clock) Every(first, period time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		c.After(period, again)
	}
	c.After(first, again)
}

// Run advances the clock by d and runs all events that are due.
func (c *Clock) Run(d time.Duration) {
	end := c.Now.Add(d)
	for at, do := range c.queue.Until(end) {
		c.Now = at
		do()
	}
	c.Now = end
}
