package hedge

import (
	"time"

	shed "jasmineshed"
)

const (
	// usualWeight is the weight of the newest answer in the usual time of a route.
	usualWeight = 0.3
	// maxUsualRoutes bounds the routes of which the usual time is known; configurations replace routes.
	maxUsualRoutes = 4096
)

// Usual tracks how long answers that are no streams take on each route. It is not safe for concurrent use.
type Usual struct {
	times map[shed.RouteID]time.Duration
}

// NewUsual returns a Usual that knows no route.
func NewUsual() *Usual { return &Usual{times: map[shed.RouteID]time.Duration{}} }

// Record records how long an answer took.
func (u *Usual) Record(route shed.RouteID, took time.Duration) {
	old, ok := u.times[route]
	if !ok {
		old = took
		if len(u.times) >= maxUsualRoutes {
			clear(u.times)
		}
	}
	u.times[route] = old + shed.Scale(took-old, usualWeight)
}

// Time returns how long answers of a route usually take; 0 if unknown.
func (u *Usual) Time(route shed.RouteID) time.Duration { return u.times[route] }
