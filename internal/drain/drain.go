// Package drain decides which requests a VM that stops still takes.
package drain

import (
	"time"

	shed "jasmineshed"
)

const (
	// decay is the part by which a shorter answer lowers the longest time of its route.
	decay = 1.0 / 64
	// maxRoutes bounds the routes of which the longest time is known; configurations replace routes.
	maxRoutes = 4096
)

// Longest tracks how long the longest answers of each route take, streams too. It is not safe for concurrent use.
type Longest struct {
	times map[shed.RouteID]time.Duration
}

// NewLongest returns a Longest that knows no route.
func NewLongest() *Longest { return &Longest{times: map[shed.RouteID]time.Duration{}} }

// Record records how long an answer took.
func (l *Longest) Record(route shed.RouteID, took time.Duration) {
	old, ok := l.times[route]
	if !ok && len(l.times) >= maxRoutes {
		clear(l.times)
	}
	l.times[route] = max(took, old-shed.Scale(old-took, decay))
}

// Time returns how long the longest answers of a route take; 0 if unknown.
func (l *Longest) Time(route shed.RouteID) time.Duration { return l.times[route] }

// Request is a request that comes while the VM stops.
type Request struct {
	// Wait is how long its caller waits, Longest how long the longest answers of its route take; 0 if unknown.
	Wait, Longest time.Duration
	// Left is the time until requests are cut off.
	Left time.Duration
	// Others: other VMs take requests.
	Others bool
}

// Fits reports whether the request is taken. One that may be cut off isn't: it may not be allowed to run again. If nobody
// else takes it, a request of unknown length is better tried.
func (r Request) Fits() bool {
	if r.Longest == 0 && !r.Others {
		return true
	}
	if r.Longest == 0 {
		return r.Wait <= r.Left
	}
	return min(r.Wait, r.Longest) <= r.Left
}
