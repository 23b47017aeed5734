package load

import (
	"time"

	shed "jasmineshed"
)

// fullFor is how long a server that refused a call gets nothing, unless a newer
// report comes before.
const fullFor = time.Second

// overloaded takes in that the server refused a call for overload.
//
// One that was thought to run half of what it carries, or more, is most likely
// full with calls of other daemons that the last report could not count. Were
// it held cold for that, it would lose most of its places just when they are
// needed, the other servers would refuse in turn, and a fleet at half of its
// load would hold itself down for minutes. So it gets nothing until a newer
// report, which its readers ask for at once. If it has turned cold, the report
// says so; if it says nothing and refuses again with little to do, that is the
// symptom.
func (b *Tracker) overloaded(now time.Time, e *entry) []shed.Action {
	if e.cold.on || !e.report.Warm || 2*e.running() < e.server.Capacity {
		return b.symptom(now, nil, e)
	}
	e.full = now
	if e.rank >= 0 {
		e.nextPoll = now
	}
	return nil
}

// reopen ends a fullness that no report ended.
func (e *entry) reopen(now time.Time) {
	if !now.Before(e.full.Add(fullFor)) {
		e.full = time.Time{}
	}
}
