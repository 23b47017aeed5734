package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/resv"
	"jasmineshed/internal/room"
	"jasmineshed/internal/strain"

	"github.com/uber-go/tally/v4"
)

// stats are the relay's metrics.
type stats struct {
	scope        tally.Scope
	stateChanges tally.Counter
	crashes      tally.Counter
	turnsDenied  tally.Counter
	rests        tally.Counter
	// workTimesShared counts the work times that this VM read and shared with its peers.
	workTimesShared tally.Counter
	// originFailures counts the peers that gave no answer when asked for the origin of a stream.
	originFailures tally.Counter
	// cacheLists counts the lists of cached parts that this VM read from servers.
	cacheLists tally.Counter
	storeEra   tally.Gauge
	// departuresLate counts the departures of servers that this VM learned of when the state that it had of
	// the store was older than lateDeparture.
	departuresLate tally.Counter
	// controlsDropped counts the messages to peers that were dropped because too many were in flight.
	controlsDropped tally.Counter
	// carriedRequests counts the requests that peers carried for this VM, carriedForPeers the
	// connections that this VM opened for peers.
	carriedRequests tally.Counter
	carriedForPeers tally.Counter
	isolated        tally.Gauge
	// processorDelay and linkDelay are how late the VM's own resources make its work, intakeLimit is how many new
	// connections it takes per second, 0 for all.
	processorDelay tally.Gauge
	linkDelay      tally.Gauge
	intakeLimit    tally.Gauge
	pathProbes     tally.Counter
	storeCalls     tally.Counter
	storeFailures  tally.Counter
	// Reservations of the pools that this VM coordinates; reservationsRefused counts the requests that
	// got none.
	reservationsPromised tally.Counter
	reservationsTaken    tally.Counter
	reservationsNotTaken tally.Counter
	reservationsRefused  tally.Counter
	pieceCalls           tally.Counter
	pieces               tally.Counter
	// noCapacity counts pieces that a server refused for lack of result capacity.
	noCapacity tally.Counter
	pieceTime  tally.Histogram
}

// latencyBuckets are the bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 18)

func newStats(scope tally.Scope) stats {
	s := scope.SubScope("relay")
	return stats{
		scope:                s,
		stateChanges:         s.Counter("beliefs_changed"),
		crashes:              s.Counter("crashes_under_requests"),
		turnsDenied:          s.Counter("turns_denied"),
		rests:                s.Counter("server_rests"),
		workTimesShared:      s.Counter("work_times_shared"),
		originFailures:       s.Counter("stream_origin_calls_failed"),
		cacheLists:           s.Counter("cache_lists_read"),
		storeEra:             s.Gauge("store_era"),
		departuresLate:       s.Counter("departures_learned_late"),
		controlsDropped:      s.Counter("messages_to_peers_dropped"),
		carriedRequests:      s.Counter("requests_carried"),
		carriedForPeers:      s.Counter("connections_for_peers"),
		isolated:             s.Gauge("isolated"),
		processorDelay:       s.Gauge("processor_delay_seconds"),
		linkDelay:            s.Gauge("link_delay_seconds"),
		intakeLimit:          s.Gauge("new_connections_limit"),
		pathProbes:           s.Counter("path_probes"),
		storeCalls:           s.Counter("store_calls"),
		storeFailures:        s.Counter("store_failures"),
		reservationsPromised: s.Counter("reservations_promised"),
		reservationsTaken:    s.Counter("reservations_taken"),
		reservationsNotTaken: s.Counter("reservations_not_taken"),
		reservationsRefused:  s.Counter("reservations_refused"),
		pieceCalls:           s.Counter("piece_calls"),
		pieces:               s.Counter("pieces"),
		noCapacity:           s.Counter("pieces_without_capacity"),
		pieceTime:            s.Histogram("piece_call_time", latencyBuckets),
	}
}

// recordRequest counts one request.
func (s stats) recordRequest(j *job, reason shed.Reason, took time.Duration) {
	s.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("requests").Inc(1)
	if j.route == nil || reason != reasonServed {
		return
	}
	kind := "plain"
	if j.route.Streaming {
		kind = "stream"
		s.scope.Histogram("first_event_time", latencyBuckets).RecordDuration(j.firstByte)
	}
	s.scope.Tagged(map[string]string{"kind": kind}).Histogram("request_time", latencyBuckets).RecordDuration(took)
}

func (s stats) recordAttemptFailure(reason shed.Reason) {
	s.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("attempts_failed").Inc(1)
}

// recordSecond counts the decisions on second attempts by why they were denied.
func (s stats) recordSecond(denied noRetry) {
	outcome := "begun"
	if denied != retryPossible {
		outcome = string(denied)
	}
	s.scope.Tagged(map[string]string{"outcome": outcome}).Counter("second_attempts").Inc(1)
}

// recordDial counts a connection attempt to a server by its outcome.
func (s stats) recordDial(err error) {
	outcome := "connected"
	switch {
	case err == nil:
	case errors.Is(err, context.Canceled):
		outcome = "cancelled"
	case errors.Is(err, syscall.ECONNREFUSED):
		outcome = "refused"
	case timedOut(err):
		outcome = "timed_out"
	default:
		outcome = "failed"
	}
	s.scope.Tagged(map[string]string{"outcome": outcome}).Counter("server_dials").Inc(1)
}

// recordReservation counts a decision of this coordinator.
func (s stats) recordReservation(d resv.Decision) {
	switch {
	case d.Taken:
		s.reservationsTaken.Inc(1)
	case d.Promised:
		s.reservationsPromised.Inc(1)
	case !d.Granted && d.Wait == 0:
		s.reservationsRefused.Inc(1)
	}
}

func (s stats) recordPieceCall(pieces int, took time.Duration) {
	s.pieceCalls.Inc(1)
	s.pieces.Inc(int64(pieces))
	s.pieceTime.RecordDuration(took)
}

// recordSpeeds shows the estimated work times of a pool's fastest and slowest engine.
func (s stats) recordSpeeds(pool shed.PoolID, fastest, slowest float64) {
	scope := s.scope.Tagged(map[string]string{"pool": string(pool)})
	scope.Gauge("fastest_server").Update(fastest)
	scope.Gauge("slowest_server").Update(slowest)
}

// recordRoom records the capacity for results of a pool that this VM coordinates, if it can bind.
func (s stats) recordRoom(pool shed.PoolID, f room.Forecast, stay time.Duration) {
	if f.ByteRate == 0 {
		return
	}
	scope := s.scope.Tagged(map[string]string{"pool": string(pool)})
	scope.Gauge("result_free_bytes").Update(float64(f.FreeBytes))
	scope.Gauge("result_stay_seconds").Update(stay.Seconds())
}

// recordStrain records how late the VM's own resources make its work, and its limit of new connections.
func (s stats) recordStrain(l strain.Load, limit float64) {
	s.processorDelay.Update(l.Processor.Seconds())
	s.linkDelay.Update(l.Link.Seconds())
	s.intakeLimit.Update(limit)
}
