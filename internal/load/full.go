package load

import (
	"time"

	shed "jasmineshed"
)

// refusalBackoff is how long a server that refused a call gets no calls, unless a newer report
// arrives before.
const refusalBackoff = time.Second

// onOverload handles a call that the server refused because of overload.
//
// If the estimate is half of the server's capacity or more, the server is most likely full with
// calls of other daemons that the last report could not include. Marking it cold for that would
// take away most of its capacity just when it is needed, the other servers would refuse calls
// in turn, and a fleet at half of its load would stay throttled for minutes. So it gets no calls
// until a newer report, which its readers poll for at once. If it has turned cold, the report
// says so; if the report doesn't, and the server refuses again at a low load, that is a symptom
// of a cold server.
func (b *Tracker) onOverload(now time.Time, e *serverState) []shed.Action {
	if e.cold.active || !e.report.Warm || 2*e.estimateRunning() < e.server.Capacity {
		return b.onSymptom(now, nil, e)
	}
	e.refusedAt = now
	if e.readerRank >= 0 {
		e.nextPoll = now
	}
	return nil
}

// expireRefusal clears a refusal that no report has cleared within refusalBackoff, and a rest that is
// over.
func (e *serverState) expireRefusal(now time.Time) {
	if !now.Before(e.restUntil) {
		e.restUntil = time.Time{}
	}
	if !now.Before(e.refusedAt.Add(refusalBackoff)) {
		e.refusedAt = time.Time{}
	}
}
