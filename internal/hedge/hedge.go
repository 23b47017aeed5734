// Package hedge decides when a request that waits for a silent server is also sent to a second one, and
// which of the two serves its caller. It does no I/O and reads no clock.
//
// Load pattern: sound servers, single ones or all of a pool, send nothing for a second or two and then go
// on; others are dead and don't say so. A request can't tell the two apart in time. So it keeps its
// server, and only one for which the retry budget and another server were secured before is sent again;
// it leaves the first server once the second one has delivered.
package hedge

import "time"

const (
	// minStreamPatience is how long the callers of streams wait for an event at least; they wait
	// targetsPatience times the target of their route if that is longer.
	minStreamPatience = 2 * time.Second
	targetsPatience   = 4
	// plainSilence is how long the server of a request without a stream is silent to all requests before
	// a second attempt, plainAnswers how many times the predicted time of its answer if that is longer.
	plainSilence = 400 * time.Millisecond
	plainAnswers = 2
)

// RecheckInterval is when a request is looked at again for which a second attempt has no use now, couldn't be
// secured or has failed.
const RecheckInterval = 100 * time.Millisecond

// Wait describes a request that waits for its server.
type Wait struct {
	Streaming bool
	// Begun is set if the server has sent a part of its answer.
	Begun bool
	// Silence is how long the server has sent nothing for this request, ServerSilence for any request of
	// this VM; at most Silence.
	Silence, ServerSilence time.Duration
	// PoolSilent is set if no server of the pool that has requests of this VM sends anything.
	PoolSilent bool
	// Target is the soft time limit of the route, Left the time to the deadline.
	Target, Left time.Duration
	// Answer is the predicted time until a second server delivers.
	Answer time.Duration
}

// Verdict is a decision on a second attempt. The set is closed.
type Verdict uint8

const (
	// Stay means that a second attempt has no use now, but may have some later.
	Stay Verdict = iota
	// Begin means that a second attempt is worth its load.
	Begin
	// TooLate means that a second attempt can't deliver before the deadline any more.
	TooLate
)

// Decide returns whether a second attempt is worth its load, and for Stay when to ask again.
func (w Wait) Decide() (Verdict, time.Duration) {
	switch after := w.after(); {
	case w.Left <= w.Answer:
		return TooLate, 0
	case w.Silence < after:
		return Stay, after - w.Silence
	case !w.Begun && w.ServerSilence < after:
		// The server works: what is late is queued there, and would be queued elsewhere.
		return Stay, after - w.ServerSilence
	case w.PoolSilent:
		return Stay, RecheckInterval
	}
	return Begin, 0
}

// after returns how long the server has to be silent until a second attempt: half of what the caller's
// patience or the deadline allows, so that the rest is left for the second server. Longer than any caller
// is sure to wait, a sound server is hardly silent.
func (w Wait) after() time.Duration {
	if !w.Streaming {
		return max(plainSilence, plainAnswers*w.Answer)
	}
	patience := max(minStreamPatience, targetsPatience*w.Target)
	return min(min(patience, w.Left+w.Silence)/2, minStreamPatience)
}

// FirstCheck returns after what time a request is looked at first: no second attempt begins earlier.
func FirstCheck(streaming bool) time.Duration {
	if streaming {
		return minStreamPatience / 2
	}
	return plainSilence
}
