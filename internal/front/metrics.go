package front

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the listener's metrics. Tally builds a map for each tagged scope, so the scopes
// are cached by route and status.
type metrics struct {
	scope    tally.Scope
	events   tally.Counter
	inFlight tally.Gauge
	mu       sync.Mutex
	routes   map[routeKey]*routeMetrics
	answers  map[answerKey]tally.Counter
}

type answerKey struct{ outcome, reason string }

type routeKey struct {
	route string
	code  int
}

type routeMetrics struct {
	requests tally.Counter
	duration tally.Histogram
}

// durationBuckets range from a millisecond to more than a minute.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

func newMetrics(scope tally.Scope) *metrics {
	sub := scope.SubScope("front")
	return &metrics{
		scope:    sub,
		events:   sub.Counter("events"),
		inFlight: sub.Gauge("in_flight"),
		routes:   map[routeKey]*routeMetrics{},
		answers:  map[answerKey]tally.Counter{},
	}
}

func (c *metrics) recordCall(r *http.Request, w *timedWriter, took time.Duration) {
	rc := c.route(routeKey{route: spanName(r), code: w.code})
	rc.requests.Inc(1)
	rc.duration.RecordDuration(took)
	c.events.Inc(w.events)
}

func (c *metrics) route(key routeKey) *routeMetrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	rc := c.routes[key]
	if rc == nil {
		sub := c.scope.Tagged(map[string]string{"route": key.route, "code": strconv.Itoa(key.code)})
		rc = &routeMetrics{
			requests: sub.Counter("requests"),
			duration: sub.Histogram("took", durationBuckets),
		}
		c.routes[key] = rc
	}
	return rc
}

// countAnswer counts an answer by its outcome and reason, both from closed sets.
func (c *metrics) countAnswer(outcome, reason string) {
	key := answerKey{outcome: outcome, reason: reason}
	c.mu.Lock()
	defer c.mu.Unlock()
	counter := c.answers[key]
	if counter == nil {
		tags := map[string]string{"outcome": outcome, "reason": reason}
		counter = c.scope.Tagged(tags).Counter("answers")
		c.answers[key] = counter
	}
	counter.Inc(1)
}
