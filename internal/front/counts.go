package front

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// counts are the listener's metrics. Tally builds a map for each tagged scope,
// so the scopes are kept by route and status.
type counts struct {
	scope    tally.Scope
	events   tally.Counter
	inFlight tally.Gauge
	mu       sync.Mutex
	routes   map[routeKey]*routeCounts
	answers  map[answerKey]tally.Counter
}

type answerKey struct{ outcome, reason string }

type routeKey struct {
	route string
	code  int
}

type routeCounts struct {
	requests tally.Counter
	took     tally.Histogram
}

// tookBuckets reach from a millisecond to more than a minute.
var tookBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

func newCounts(scope tally.Scope) *counts {
	sub := scope.SubScope("front")
	return &counts{
		scope:    sub,
		events:   sub.Counter("events"),
		inFlight: sub.Gauge("in_flight"),
		routes:   map[routeKey]*routeCounts{},
		answers:  map[answerKey]tally.Counter{},
	}
}

func (c *counts) ended(r *http.Request, w *timedWriter, took time.Duration) {
	rc := c.route(routeKey{route: spanName(r), code: w.code})
	rc.requests.Inc(1)
	rc.took.RecordDuration(took)
	c.events.Inc(w.events)
}

func (c *counts) route(key routeKey) *routeCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	rc := c.routes[key]
	if rc == nil {
		sub := c.scope.Tagged(map[string]string{"route": key.route, "code": strconv.Itoa(key.code)})
		rc = &routeCounts{
			requests: sub.Counter("requests"),
			took:     sub.Histogram("took", tookBuckets),
		}
		c.routes[key] = rc
	}
	return rc
}

// answered counts an answer by its outcome and reason, which are both from
// closed sets.
func (c *counts) answered(outcome, reason string) {
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
