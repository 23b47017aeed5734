package admit

import (
	"container/heap"
	"slices"
	"time"

	shed "jasmineshed"
)

// QueueKey names one queue: requests that wait for the same servers.
type QueueKey string

// StageQueue is the queue of a stage: its pool, and its zones if it is bound to some.
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
	flow  *share
	index int
}

// share is one workspace's part of a queue.
type share struct {
	workspace shed.WorkspaceID
	// weight is 1 or more and changes only while the share is empty.
	weight int
	// tag is the queue's virtual time at which the workspace's next turn is
	// due; it grows by 1/weight per turn.
	tag float64
	// items by Latest. An empty share stays until its tag has passed, so a
	// workspace can't gain turns by leaving the queue and coming back.
	items itemHeap
	// turn and backlog are the share's places in the queue's two heaps; backlog
	// is -1 while the share is empty.
	turn, backlog int
}

// queue is fair by start-time fair queueing: the workspace with the smallest
// tag is next, and within it the request with the least slack.
type queue struct {
	shares map[shed.WorkspaceID]*share
	turns  turnHeap
	// backlogs holds the shares that aren't empty, longest for its weight first.
	backlogs backlogHeap
	// virtual is the greatest tag served; it never goes backwards.
	virtual float64
	// length counts the requests, active the weights of the shares that aren't
	// empty.
	length int
	active int
	drain  rate
	// since is when the queue last moved: drained, or ceased to be empty.
	since time.Time
}

// Push lets a request wait. If the queue is full, one request of the
// workspace with the longest backlog for its share must go: it is returned, and
// may be the new one itself.
func (g *Gate) Push(now time.Time, key QueueKey, w Waiting) (evicted shed.RequestID, ok bool) {
	if g.where[w.Request] != nil {
		return "", true
	}
	q := g.queue(key)
	if q.length == 0 {
		q.since = now
	}
	it := &item{Waiting: w, key: key}
	q.push(it)
	g.where[w.Request] = it
	if q.length <= g.cfg.MaxQueued {
		return "", true
	}
	victim := q.backlogs[0].items.last()
	g.Remove(victim.Request)
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
	if g.where[it.Request] != it {
		return true
	}
	q.virtual = max(q.virtual, s.tag)
	s.tag += 1 / float64(s.weight)
	heap.Fix(&q.turns, s.turn)
	g.remove(it)
	q.drain.add(now)
	q.since = now
	return true
}

// Remove takes a request out of its queue; false if it doesn't wait.
func (g *Gate) Remove(id shed.RequestID) bool {
	it := g.where[id]
	if it == nil {
		return false
	}
	g.remove(it)
	return true
}

// AppendQueues appends the keys of the queues that aren't empty, sorted.
func (g *Gate) AppendQueues(to []QueueKey) []QueueKey {
	for _, key := range g.names {
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
func (g *Gate) Queued() int { return len(g.where) }

// PredictWait predicts how long a request that comes now would wait in the queue. By
// fair turns a workspace waits for its own backlog, and for the others only as
// far as their shares go: counting the whole queue, one greedy workspace would
// have everybody else refused at the door.
func (g *Gate) PredictWait(now time.Time, key QueueKey, w Waiting) time.Duration {
	q := g.queues[key]
	if q == nil || q.length == 0 {
		return 0
	}
	turns := q.turnsBefore(w)
	perSecond := q.drain.perSecond(now)
	if perSecond == 0 {
		// Nothing has moved for a while: at best one goes each such while.
		return time.Duration(turns * float64(now.Sub(q.since)))
	}
	return time.Duration(turns / perSecond * float64(time.Second))
}

// turnsBefore is after about how many turns the request would have its own.
func (q *queue) turnsBefore(w Waiting) float64 {
	weight := float64(max(w.Share, 1))
	own, active := 0, float64(q.active)
	if s := q.shares[w.Workspace]; s != nil && len(s.items) > 0 {
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
	q = &queue{shares: map[shed.WorkspaceID]*share{}}
	g.queues[key] = q
	at, _ := slices.BinarySearch(g.names, key)
	g.names = slices.Insert(g.names, at, key)
	return q
}

// forgetQueues lets empty queues go.
func (g *Gate) forgetQueues() {
	g.names = slices.DeleteFunc(g.names, func(key QueueKey) bool {
		if g.queues[key].length > 0 {
			return false
		}
		delete(g.queues, key)
		return true
	})
}

func (g *Gate) remove(it *item) {
	delete(g.where, it.Request)
	g.queues[it.key].remove(it)
}

func (q *queue) push(it *item) {
	s := q.shares[it.Workspace]
	if s == nil {
		s = &share{workspace: it.Workspace, tag: q.virtual, backlog: -1}
		q.shares[it.Workspace] = s
		heap.Push(&q.turns, s)
	}
	if len(s.items) == 0 {
		s.weight = max(it.Share, 1)
		s.tag = max(s.tag, q.virtual)
		heap.Fix(&q.turns, s.turn)
		q.active += s.weight
	}
	it.flow = s
	heap.Push(&s.items, it)
	q.length++
	if s.backlog < 0 {
		heap.Push(&q.backlogs, s)
		return
	}
	heap.Fix(&q.backlogs, s.backlog)
}

func (q *queue) remove(it *item) {
	s := it.flow
	heap.Remove(&s.items, it.index)
	q.length--
	if len(s.items) == 0 {
		heap.Remove(&q.backlogs, s.backlog)
		q.active -= s.weight
		return
	}
	heap.Fix(&q.backlogs, s.backlog)
}

// next is the share whose turn it is, or nil. Empty shares whose tag has come
// up are forgotten on the way.
func (q *queue) next() *share {
	for len(q.turns) > 0 {
		s := q.turns[0]
		if len(s.items) > 0 {
			return s
		}
		q.virtual = max(q.virtual, s.tag)
		heap.Pop(&q.turns)
		delete(q.shares, s.workspace)
	}
	return nil
}
