package admit

import (
	"container/heap"
	"slices"
	"time"

	shed "jasmineshed"
)

// QueueKey names one queue: requests that wait for the same servers.
type QueueKey string

// KeyOf is the queue of a stage: its pool, and its zones if it is bound to some.
func KeyOf(s *shed.Stage) QueueKey {
	if len(s.Zones) == 0 {
		return QueueKey(s.Pool)
	}
	key := QueueKey(s.Pool)
	for _, z := range s.Zones {
		key += "|" + QueueKey(z)
	}
	return key
}

// Waiting is one request that waits for a server.
type Waiting struct {
	Request   shed.RequestID
	Workspace shed.WorkspaceID
	// Share of the workspace; 1 or more.
	Share int
	// Latest is the last moment at which a start still meets the deadline.
	Latest time.Time
}

// item is a waiting request in its workspace's heap.
type item struct {
	Waiting
	key   QueueKey
	flow  *flow
	index int
}

// flow is one workspace's part of a queue.
type flow struct {
	workspace shed.WorkspaceID
	// weight is 1 or more and changes only while the share is empty.
	weight int
	// tag is the queue's virtual time at which the workspace's next turn is
	// due; it grows by 1/weight per turn.
	tag float64
	// items by Latest. An empty share stays until its tag has passed, so a
	// workspace can't gain turns by leaving the queue and coming back.
	items itemHeap
	// tagIndex and backlog are the share's places in the queue's two heaps; backlog
	// is -1 while the share is empty.
	tagIndex, backlogIndex int
}

// queue is fair by start-time fair queueing: the workspace with the smallest
// tag is next, and within it the request with the least slack.
type queue struct {
	flows map[shed.WorkspaceID]*flow
	byTag tagHeap
	// byBacklog holds the shares that aren't empty, longest for its weight first.
	byBacklog backlogHeap
	// virtualTime is the greatest tag served; it never goes backwards.
	virtualTime float64
	// length counts the requests, active the weights of the shares that aren't
	// empty.
	length       int
	activeWeight int
	drainRate    rate
	// lastProgress is when the queue last moved: drained, or ceased to be empty.
	lastProgress time.Time
}

// Push lets a request wait. If the queue is full, one request of the
// workspace with the longest backlog for its share must go: it is returned, and
// may be the new one itself.
func (g *Gate) Push(now time.Time, key QueueKey, w Waiting) (evicted shed.RequestID, ok bool) {
	if g.items[w.Request] != nil {
		return "", true
	}
	q := g.queue(key)
	if q.length == 0 {
		q.lastProgress = now
	}
	it := &item{Waiting: w, key: key}
	q.push(it)
	g.items[w.Request] = it
	if q.length <= g.cfg.MostQueued {
		return "", true
	}
	victim := q.byBacklog[0].items.last()
	g.Drop(victim.Request)
	return victim.Request, false
}

// PopReady offers the next request of the queue to start; it leaves the queue
// if start returns true. It returns false if the queue is empty or start did.
func (g *Gate) PopReady(now time.Time, key QueueKey, start func(shed.RequestID) bool) bool {
	q := g.queues[key]
	if q == nil {
		return false
	}
	s := q.next()
	if s == nil {
		return false
	}
	it := s.items[0]
	if !start(it.Request) {
		return false
	}
	// start may have dropped it already.
	if g.items[it.Request] != it {
		return true
	}
	q.virtualTime = max(q.virtualTime, s.tag)
	s.tag += 1 / float64(s.weight)
	heap.Fix(&q.byTag, s.tagIndex)
	g.remove(it)
	q.drainRate.add(now)
	q.lastProgress = now
	return true
}

// Drop takes a request out of its queue; false if it doesn't wait.
func (g *Gate) Drop(id shed.RequestID) bool {
	it := g.items[id]
	if it == nil {
		return false
	}
	g.remove(it)
	return true
}

// Queues appends the keys of the queues that aren't empty, sorted.
func (g *Gate) Queues(to []QueueKey) []QueueKey {
	for _, key := range g.queueKeys {
		if g.queues[key].length > 0 {
			to = append(to, key)
		}
	}
	return to
}

// Len is how many requests wait in the queue.
func (g *Gate) Len(key QueueKey) int {
	if q := g.queues[key]; q != nil {
		return q.length
	}
	return 0
}

// Queued is how many requests wait in all.
func (g *Gate) Queued() int { return len(g.items) }

// Wait predicts how long a request that comes now would wait in the queue. By
// fair turns a workspace waits for its own backlog, and for the others only as
// far as their shares go: counting the whole queue, one greedy workspace would
// have everybody else refused at the door.
func (g *Gate) Wait(now time.Time, key QueueKey, w Waiting) time.Duration {
	q := g.queues[key]
	if q == nil || q.length == 0 {
		return 0
	}
	turns := q.servedBefore(w)
	perSecond := q.drainRate.perSecond(now)
	if perSecond == 0 {
		// Nothing has moved for a while: at best one goes each such while.
		return time.Duration(turns * float64(now.Sub(q.lastProgress)))
	}
	return time.Duration(turns / perSecond * float64(time.Second))
}

// servedBefore is after about how many turns the request would have its own.
func (q *queue) servedBefore(w Waiting) float64 {
	weight := float64(max(w.Share, 1))
	own, active := 0, float64(q.activeWeight)
	if s := q.flows[w.Workspace]; s != nil && len(s.items) > 0 {
		own = len(s.items)
	} else {
		active += weight
	}
	return min(float64(own+1)*active/weight, float64(q.length+1))
}

func (g *Gate) queue(key QueueKey) *queue {
	q := g.queues[key]
	if q != nil {
		return q
	}
	q = &queue{flows: map[shed.WorkspaceID]*flow{}}
	g.queues[key] = q
	at, _ := slices.BinarySearch(g.queueKeys, key)
	g.queueKeys = slices.Insert(g.queueKeys, at, key)
	return q
}

// removeEmptyQueues lets empty queues go.
func (g *Gate) removeEmptyQueues() {
	g.queueKeys = slices.DeleteFunc(g.queueKeys, func(key QueueKey) bool {
		if g.queues[key].length > 0 {
			return false
		}
		delete(g.queues, key)
		return true
	})
}

func (g *Gate) remove(it *item) {
	delete(g.items, it.Request)
	g.queues[it.key].remove(it)
}

func (q *queue) push(it *item) {
	s := q.flows[it.Workspace]
	if s == nil {
		s = &flow{workspace: it.Workspace, tag: q.virtualTime, backlogIndex: -1}
		q.flows[it.Workspace] = s
		heap.Push(&q.byTag, s)
	}
	if len(s.items) == 0 {
		s.weight = max(it.Share, 1)
		s.tag = max(s.tag, q.virtualTime)
		heap.Fix(&q.byTag, s.tagIndex)
		q.activeWeight += s.weight
	}
	it.flow = s
	heap.Push(&s.items, it)
	q.length++
	if s.backlogIndex < 0 {
		heap.Push(&q.byBacklog, s)
		return
	}
	heap.Fix(&q.byBacklog, s.backlogIndex)
}

func (q *queue) remove(it *item) {
	s := it.flow
	heap.Remove(&s.items, it.index)
	q.length--
	if len(s.items) == 0 {
		heap.Remove(&q.byBacklog, s.backlogIndex)
		q.activeWeight -= s.weight
		return
	}
	heap.Fix(&q.byBacklog, s.backlogIndex)
}

// next is the share whose turn it is, or nil. Empty shares whose tag has come
// up are forgotten on the way.
func (q *queue) next() *flow {
	for len(q.byTag) > 0 {
		s := q.byTag[0]
		if len(s.items) > 0 {
			return s
		}
		q.virtualTime = max(q.virtualTime, s.tag)
		heap.Pop(&q.byTag)
		delete(q.flows, s.workspace)
	}
	return nil
}
