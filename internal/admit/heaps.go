package admit

import "time"

// itemHeap orders one workspace's requests by Latest, the earliest first.
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

// last returns one of the less urgent half of the requests.
func (h itemHeap) last() *item { return h[len(h)-1] }

// tagHeap orders the flows of a queue by tag, the smallest first.
type tagHeap []*flow

func (h tagHeap) Len() int { return len(h) }

func (h tagHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].workspace < h[j].workspace
}

func (h tagHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].tagIndex = i
	h[j].tagIndex = j
}

func (h *tagHeap) Push(x any) {
	s := x.(*flow)
	s.tagIndex = len(*h)
	*h = append(*h, s)
}

func (h *tagHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return s
}

// backlogHeap orders the flows of a queue by backlog relative to weight, the longest first.
type backlogHeap []*flow

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
	h[i].backlogIndex = i
	h[j].backlogIndex = j
}

func (h *backlogHeap) Push(x any) {
	s := x.(*flow)
	s.backlogIndex = len(*h)
	*h = append(*h, s)
}

func (h *backlogHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	s.backlogIndex = -1
	return s
}

// rateWindow is the period over which events are counted. minElapsedShare is the share of the first
// window that must have passed before its count is scaled up.
const (
	rateWindow      = time.Second
	minElapsedShare = 0.2
)

// rate counts events per second over the current and the previous window.
type rate struct {
	start             time.Time
	current, previous float64
}

func (r *rate) add(now time.Time) {
	r.roll(now)
	r.current++
}

func (r *rate) roll(now time.Time) {
	gap := now.Sub(r.start)
	if gap < rateWindow {
		return
	}
	r.previous = r.current
	if gap >= 2*rateWindow {
		r.previous = 0
	}
	r.current = 0
	r.start = now
}

func (r *rate) perSecond(now time.Time) float64 {
	r.roll(now)
	elapsed := float64(now.Sub(r.start)) / float64(rateWindow)
	if r.previous == 0 {
		return r.current / max(elapsed, minElapsedShare)
	}
	return r.current + r.previous*(1-elapsed)
}
