package ticket

import (
	"container/heap"
	"time"

	shed "jasmineshed"
)

// VerdictKind is the kind of a Verdict. The set is closed.
type VerdictKind uint8

// The kinds of verdicts.
const (
	// VerdictRun: run the request now. It is returned at most once per ticket over all tables of
	// the fleet.
	VerdictRun VerdictKind = iota + 1
	// VerdictJoin: the request runs here already; this caller gets the same answer.
	VerdictJoin
	// VerdictStored: the request ended here; Verdict.Finish is the answer.
	VerdictStored
	// VerdictExpired: the ticket was not used in time; its request never ran here and never will.
	VerdictExpired
	// VerdictMoved: the table is closed; its unused tickets were moved to Verdict.Successor.
	VerdictMoved
	// VerdictUnknown: the ticket is not in the table. It may have run and been removed.
	VerdictUnknown
	// VerdictMismatch: the ticket belongs to another workspace or pipeline; nothing about it may be
	// disclosed.
	VerdictMismatch
)

// Verdict is the result of Start and Lookup.
type Verdict struct {
	Kind      VerdictKind
	Finish    shed.Finish
	Successor shed.Peer
}

// Outcome returns what to report to a caller whose call ends with the verdict.
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

// Start decides what to do with a request that has this ticket. After VerdictRun the caller must
// run the request and report its end to RecordFinish.
func (t *Table) Start(now time.Time, id shed.RequestID, ws shed.WorkspaceID, p shed.PipelineID) Verdict {
	t.Expire(now)
	e := t.entries[id]
	if e == nil {
		return t.missingVerdict()
	}
	if e.workspace != ws || e.pipeline != p {
		return Verdict{Kind: VerdictMismatch}
	}
	switch e.state {
	case stateRunning:
		if t.disabled.startTwice {
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

func (t *Table) missingVerdict() Verdict {
	if t.closed {
		return Verdict{Kind: VerdictMoved, Successor: t.successor}
	}
	return Verdict{Kind: VerdictUnknown}
}

// Lookup returns the same verdict as Start, but starts nothing: it returns VerdictUnknown for an
// unused ticket.
func (t *Table) Lookup(now time.Time, id shed.RequestID, ws shed.WorkspaceID) Verdict {
	t.Expire(now)
	e := t.entries[id]
	if e == nil {
		return t.missingVerdict()
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

// RecordFinish stores the answer of a running ticket for Config.Retention. It ignores a second
// answer and returns false. The payload must be kept elsewhere for at least as long, starting at
// the same time or later, or else a repeated request would join one whose payload is gone.
func (t *Table) RecordFinish(now time.Time, id shed.RequestID, finish shed.Finish) bool {
	e := t.entries[id]
	if e == nil || e.state != stateRunning {
		return false
	}
	e.state = stateEnded
	e.finish = finish
	e.removeAt = now.Add(t.cfg.Retention)
	heap.Push(&t.expiry, e)
	return true
}
