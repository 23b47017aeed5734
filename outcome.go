package shed

import "time"

// Outcome is how a request ended. The set is closed.
type Outcome uint8

// The outcomes.
const (
	// OutcomeComplete: every stage ran and the caller received the complete answer.
	OutcomeComplete Outcome = iota + 1
	// OutcomeNotRun: no call of any stage can have reached a backend server.
	OutcomeNotRun
	// OutcomeRefused: abandoned after some stages had run.
	OutcomeRefused
	// OutcomeUnknown: a non-idempotent stage may have run; it was not and will
	// not be retried.
	OutcomeUnknown
	// OutcomeFailed: a stage answered with an error that a retry can't resolve.
	OutcomeFailed
	// OutcomeDeadline: the deadline passed.
	OutcomeDeadline
	// OutcomeCancelled: the caller disconnected or cancelled.
	OutcomeCancelled
)

// Reason is why a request was refused, retried, moved or dropped.
type Reason string

// The reasons, as shown in answers, spans, metrics and explain.
const (
	ReasonNone             Reason = ""
	ReasonUnknownPipeline  Reason = "unknown_pipeline"
	ReasonUnknownWorkspace Reason = "unknown_workspace"
	ReasonNotAllowed       Reason = "pipeline_not_allowed"
	ReasonNoConfig         Reason = "no_configuration"
	ReasonWontMeetDeadline Reason = "deadline_cannot_be_met"
	ReasonQueueFull        Reason = "queue_full"
	ReasonNoServer         Reason = "no_server_open"
	ReasonServerCold       Reason = "servers_cold"
	ReasonServersBusy      Reason = "servers_busy"
	ReasonZoneOut          Reason = "zone_out"
	ReasonServerLeaving    Reason = "server_leaving"
	ReasonServerOrdered    Reason = "server_changes_model_or_role"
	ReasonUnconfirmed      Reason = "configuration_unconfirmed"
	ReasonStopping         Reason = "stopping"
	ReasonPaused           Reason = "woke_after_pause"
	ReasonNeedsTicket      Reason = "needs_ticket"
	ReasonTicketUnknown    Reason = "ticket_unknown"
	ReasonTicketExpired    Reason = "ticket_expired"
	ReasonTicketsFull      Reason = "tickets_full"
	ReasonHomeGone         Reason = "ticket_home_gone"
	ReasonSilent           Reason = "connection_silent"
	ReasonBroken           Reason = "connection_broken"
	ReasonBadReply         Reason = "bad_reply"
	ReasonServerError      Reason = "server_error"
	ReasonOverloaded       Reason = "server_overloaded"
	ReasonRetryBudget      Reason = "retry_budget_spent"
	ReasonAttempts         Reason = "attempts_spent"
	ReasonDeadline         Reason = "deadline_passed"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonStaleAttempt     Reason = "stale_attempt"
	ReasonDuplicate        Reason = "duplicate"
	ReasonTooManyHops      Reason = "too_many_hops"
	ReasonConfigInvalid    Reason = "configuration_invalid"
	ReasonConfigStale      Reason = "configuration_stale"
	ReasonConfigBehind     Reason = "configuration_behind"
)

// CallEnd is how one call ended, as seen by the driver. The set is closed.
type CallEnd uint8

// The ends of a call.
const (
	// EndComplete: the complete result has arrived, in sequence.
	EndComplete CallEnd = iota + 1
	// EndNotStarted: the call can't have reached a backend server: no byte was
	// sent, or the remote side reliably reported so.
	EndNotStarted
	// EndOverloaded: the server refused the call before running it.
	EndOverloaded
	// EndBroken: the connection broke or timed out after bytes were sent; the
	// work may have run.
	EndBroken
	// EndError: the server ran the call and answered with an error.
	EndError
	// EndBadReply: the server's reply was malformed; the work may have run.
	EndBadReply
	// EndCancelled: cancelled by a CancelCall action.
	EndCancelled
)

// MayHaveRun reports whether the work may have run on a backend server.
func (e CallEnd) MayHaveRun() bool {
	return e != EndNotStarted && e != EndOverloaded
}

// StageReport describes the execution and the cost of one stage.
type StageReport struct {
	Stage    StageID
	Server   ServerID
	Zone     ZoneID
	Attempts uint16
	// Ran is false only if no attempt can have reached a backend server.
	Ran    bool
	Took   time.Duration
	Tokens Tokens
	// Useful and Wasted split the cost: Wasted is the cost of cancelled, superseded,
	// late and failed attempts.
	Useful, Wasted Cost
}
