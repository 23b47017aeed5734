package admit

import (
	"container/heap"
	"slices"
	"time"

	shed "jasmineshed"
)

// QueueKey identifies a queue of requests that wait for the same servers.
type QueueKey string

// StageQueue returns the queue of a stage: its pool, and its zones if it is bound to any.
func StageQueue(s *shed.Stage) QueueKey {
	if len(s.Zones) == 0 {
		return QueueKey(s.Pool)
	}
	key := QueueKey(s.Pool)
	for _, z := range s.Zones {
		key += "|" + QueueKey(z)
	}
	return key
}

// Waiting is a request that waits for a server.
type Waiting struct {
	Request   shed.RequestID
	Workspace shed.WorkspaceID
	// Share is the weight of the workspace; 1 or more.
	Share int
	// Latest is the latest start that still meets the deadline.
	Latest time.Time
}

// item is a queued request in its workspace's heap.
type item struct {
	Waiting
	key   QueueKey
	flow  *flow
	index int
}

// flow is one workspace's part of a queue.
type flow struct {
	workspace shed.WorkspaceID
	// weight is 1 or more and changes only while the flow is empty.
	weight int
	// tag is the virtual time at which the workspace's next request is due; it grows by 1/weight
	// per started request.
	tag float64
	// items is ordered by Latest. An empty flow is kept until its tag has passed, so a workspace
	// can't gain starts by leaving the queue and coming back.
	items itemHeap
	// tagIndex and backlogIndex are the positions in the queue's two heaps; backlogIndex is -1
	// while the flow is empty.
	tagIndex, backlogIndex int
}

// queue implements start-time fair queueing: the workspace with the smallest tag is next, and
// within it the request with the least slack.
type queue struct {
	flows map[shed.WorkspaceID]*flow
	byTag tagHeap
	// byBacklog holds the flows that aren't empty.
	byBacklog backlogHeap
	// virtualTime is the greatest tag served; it never decreases.
	virtualTime float64
	// length is the number of requests, activeWeight the sum of the weights of the flows that
	// aren't empty.
	length       int
	activeWeight int
	drainRate    rate
	// lastProgress is when a request was last started, or the queue last became non-empty.
	lastProgress time.Time
}

// Push queues a request. If the queue is full, one request of the workspace with the longest
// backlog relative to its share is evicted and returned; it may be the new one.
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
	if q.length <= g.cfg.MaxQueued {
		return "", true
	}
	victim := q.byBacklog[0].items.last()
	g.Remove(victim.Request)
	return victim.Request, false
}

// PopReady passes the next request of the queue to start and removes it if start returns true. It
// returns false if the queue is empty or start returned false.
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
	// start may have dropped the request already.
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

// Remove removes a request from its queue. It returns false if the request isn't queued.
func (g *Gate) Remove(id shed.RequestID) bool {
	it := g.items[id]
	if it == nil {
		return false
	}
	g.remove(it)
	return true
}

// AppendQueues appends the sorted keys of the queues that aren't empty.
func (g *Gate) AppendQueues(to []QueueKey) []QueueKey {
	for _, key := range g.queueKeys {
		if g.queues[key].length > 0 {
			to = append(to, key)
		}
	}
	return to
}

// Len returns the number of requests in the queue.
func (g *Gate) Len(key QueueKey) int {
	if q := g.queues[key]; q != nil {
		return q.length
	}
	return 0
}

// Queued returns the number of requests in all queues.
func (g *Gate) Queued() int { return len(g.items) }

// PredictWait predicts how long a request that is queued now would wait. Under fair queueing a
// workspace waits for its own backlog, and for others only according to their shares. If the whole
// queue counted, one greedy workspace would get the requests of all others rejected.
func (g *Gate) PredictWait(now time.Time, key QueueKey, w Waiting) time.Duration {
	q := g.queues[key]
	if q == nil || q.length == 0 {
		return 0
	}
	turns := q.servedBefore(w)
	perSecond := q.drainRate.perSecond(now)
	if perSecond == 0 {
		// No request was started recently: assume at best one start per time without progress.
		return time.Duration(turns * float64(now.Sub(q.lastProgress)))
	}
	return time.Duration(turns / perSecond * float64(time.Second))
}

// servedBefore estimates how many requests would be started up to and including the new one.
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

// next returns the flow to serve next, or nil. It removes empty flows whose tag has passed.
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
