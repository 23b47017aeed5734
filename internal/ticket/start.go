package ticket

import (
	"container/heap"
	"time"

	shed "jasmineshed"
)

// VerdictKind tells the answers of Start apart. The set is closed.
type VerdictKind uint8

// The answers of Start.
const (
	// VerdictRun: run it now. It is given at most once for a ticket, by any
	// table of the fleet.
	VerdictRun VerdictKind = iota + 1
	// VerdictJoin: it runs here already; its answer is this caller's too.
	VerdictJoin
	// VerdictStored: it ended here; Verdict.Finish is the answer.
	VerdictStored
	// VerdictExpired: it was not used in time, never ran and never will here.
	VerdictExpired
	// VerdictMoved: the unused ticket went to Verdict.Heir.
	VerdictMoved
	// VerdictUnknown: not in the table. It may have run and been forgotten.
	VerdictUnknown
	// VerdictMismatch: the ticket is for another workspace or pipeline; nothing
	// about it may be told.
	VerdictMismatch
)

// Verdict is the answer of Start.
type Verdict struct {
	Kind      VerdictKind
	Finish    shed.Finish
	Successor shed.Peer
}

// Outcome is what a caller is told when the verdict ends its call.
func (v Verdict) Outcome() (shed.Outcome, shed.Reason) {
	switch v.Kind {
	case VerdictExpired:
		return shed.OutcomeNotRun, shed.ReasonTicketExpired
	case VerdictMismatch:
		return shed.OutcomeUnknown, shed.ReasonTicketUnknown
	case VerdictStored:
		return v.Finish.Outcome, v.Finish.Reason
	}
	return shed.OutcomeUnknown, shed.ReasonTicketUnknown
}

// Start decides what a request with this ticket does. After VerdictRun the
// caller must run the request and tell its end to Finished.
func (t *Table) Start(now time.Time, id shed.RequestID, ws shed.WorkspaceID, p shed.PipelineID) Verdict {
	t.Expire(now)
	e := t.entries[id]
	if e == nil {
		return t.missing()
	}
	if e.workspace != ws || e.pipeline != p {
		return Verdict{Kind: VerdictMismatch}
	}
	switch e.state {
	case stateRunning:
		if t.off.startTwice {
			return Verdict{Kind: VerdictRun}
		}
		return Verdict{Kind: VerdictJoin}
	case stateEnded:
		return Verdict{Kind: VerdictStored, Finish: e.finish}
	}
	if !now.Before(e.expires) {
		return Verdict{Kind: VerdictExpired}
	}
	e.state = stateRunning
	heap.Remove(&t.expiry, e.index)
	return Verdict{Kind: VerdictRun}
}

func (t *Table) missing() Verdict {
	if t.closed {
		return Verdict{Kind: VerdictMoved, Successor: t.heir}
	}
	return Verdict{Kind: VerdictUnknown}
}

// Lookup tells what Start would, but starts nothing: an unused ticket gives
// VerdictUnknown.
func (t *Table) Lookup(now time.Time, id shed.RequestID, ws shed.WorkspaceID) Verdict {
	t.Expire(now)
	e := t.entries[id]
	if e == nil {
		return t.missing()
	}
	if e.workspace != ws {
		return Verdict{Kind: VerdictMismatch}
	}
	switch e.state {
	case stateRunning:
		return Verdict{Kind: VerdictJoin}
	case stateEnded:
		return Verdict{Kind: VerdictStored, Finish: e.finish}
	}
	return Verdict{Kind: VerdictUnknown}
}

// RecordFinish stores the answer of a running ticket for Config.Keep; a second one
// is ignored and gives false. Whoever keeps the payload must keep it for as
// long at least, from the same moment or later, or a repeat would be told to
// join what is no longer there.
func (t *Table) RecordFinish(now time.Time, id shed.RequestID, finish shed.Finish) bool {
	e := t.entries[id]
	if e == nil || e.state != stateRunning {
		return false
	}
	e.state = stateEnded
	e.finish = finish
	e.forget = now.Add(t.cfg.Retention)
	heap.Push(&t.expiry, e)
	return true
}
