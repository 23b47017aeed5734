package admit

import "time"

// itemHeap orders one workspace's requests by slack.
type itemHeap []*item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if !h[i].Latest.Equal(h[j].Latest) {
		return h[i].Latest.Before(h[j].Latest)
	}
	return h[i].Request < h[j].Request
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}

// last is one of the less urgent half.
func (h itemHeap) last() *item { return h[len(h)-1] }

// turnHeap orders the workspaces of a queue by tag.
type turnHeap []*share

func (h turnHeap) Len() int { return len(h) }

func (h turnHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].workspace < h[j].workspace
}

func (h turnHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].turn = i
	h[j].turn = j
}

func (h *turnHeap) Push(x any) {
	s := x.(*share)
	s.turn = len(*h)
	*h = append(*h, s)
}

func (h *turnHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return s
}

// backlogHeap orders the workspaces of a queue by what waits for their weight,
// the most first.
type backlogHeap []*share

func (h backlogHeap) Len() int { return len(h) }

func (h backlogHeap) Less(i, j int) bool {
	a := float64(len(h[i].items)) / float64(h[i].weight)
	b := float64(len(h[j].items)) / float64(h[j].weight)
	if a != b {
		return a > b
	}
	return h[i].workspace < h[j].workspace
}

func (h backlogHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].backlog = i
	h[j].backlog = j
}

func (h *backlogHeap) Push(x any) {
	s := x.(*share)
	s.backlog = len(*h)
	*h = append(*h, s)
}

func (h *backlogHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	s.backlog = -1
	return s
}

// rateWindow is the period over which a rate is counted, and leastShare the
// part of the first one that must have passed before its count is scaled up.
const (
	rateWindow = time.Second
	leastShare = 0.2
)

// rate counts events per second over the running window and the one before.
type rate struct {
	start     time.Time
	now, last float64
}

func (r *rate) add(now time.Time) {
	r.roll(now)
	r.now++
}

func (r *rate) roll(now time.Time) {
	gap := now.Sub(r.start)
	if gap < rateWindow {
		return
	}
	r.last = r.now
	if gap >= 2*rateWindow {
		r.last = 0
	}
	r.now = 0
	r.start = now
}

func (r *rate) perSecond(now time.Time) float64 {
	r.roll(now)
	share := float64(now.Sub(r.start)) / float64(rateWindow)
	if r.last == 0 {
		return r.now / max(share, leastShare)
	}
	return r.now + r.last*(1-share)
}
