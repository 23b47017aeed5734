package daemon

import (
	"sync"
	"time"

	shed "jasmineshed"

	"github.com/uber-go/tally/v4"
)

// stats are the daemon's metrics. Tagged counters are cached, since creating one
// for each event would cost more than handling the event.
type stats struct {
	scope tally.Scope

	arrivedRequests tally.Counter
	liveRequests    tally.Gauge
	liveCalls       tally.Gauge
	requestDuration tally.Histogram
	firstToken      tally.Histogram
	tokens          tally.Counter
	droppedFrames   tally.Counter

	mu     *sync.Mutex
	tagged map[statKey]tally.Counter
}

// statKey identifies one tagged counter.
type statKey struct{ name, tag, value string }

func newStats(scope tally.Scope) stats {
	times := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.6, 24)
	return stats{
		scope:           scope,
		arrivedRequests: scope.Counter("requests_arrived"),
		liveRequests:    scope.Gauge("requests_live"),
		liveCalls:       scope.Gauge("calls_live"),
		requestDuration: scope.Histogram("request_seconds", times),
		firstToken:      scope.Histogram("first_token_seconds", times),
		tokens:          scope.Counter("tokens_received"),
		droppedFrames:   scope.Counter("frames_dropped"),
		mu:              &sync.Mutex{},
		tagged:          make(map[statKey]tally.Counter),
	}
}

func (s *stats) inc(name, tag, value string, by int) {
	key := statKey{name, tag, value}
	s.mu.Lock()
	c := s.tagged[key]
	if c == nil {
		c = s.scope.Tagged(map[string]string{tag: value}).Counter(name)
		s.tagged[key] = c
	}
	s.mu.Unlock()
	c.Inc(int64(by))
}

func (s *stats) countDecision(r shed.Reason, count int) {
	s.inc("decisions", "reason", string(r), count)
}
func (s *stats) countFinished(o shed.Outcome) { s.inc("requests_finished", "outcome", o.String(), 1) }
func (s *stats) countCallEnd(e shed.CallEnd)  { s.inc("calls_ended", "end", e.String(), 1) }
