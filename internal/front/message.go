package front

import (
	shed "jasmineshed"
	"jasmineshed/internal/quota"
)

// reasonTooManyInFlight refuses a call beyond this listener's limit of calls in flight.
const reasonTooManyInFlight shed.Reason = "too_many_requests_in_flight"

// reasonBadRequest refuses an invalid call.
const reasonBadRequest shed.Reason = "bad_request"

// reasonNoRoom refuses a call for whose body there is no room; roomRetryAfter is when there may be some again.
const (
	reasonNoRoom   shed.Reason = "no_room"
	roomRetryAfter             = 2 * quota.StallTime
)

// reasonMessages explain each reason to a person, and what to do.
var reasonMessages = map[shed.Reason]string{
	shed.ReasonUnknownPipeline:  "There is no pipeline of this name.",
	shed.ReasonUnknownWorkspace: "The workspace is unknown or the token is not its token.",
	shed.ReasonNotAllowed:       "The rules don't let this workspace run this pipeline.",
	shed.ReasonNoConfig:         "This VM has no configuration yet; try another one.",
	shed.ReasonWontMeetDeadline: "The answer could not be whole before the deadline.",
	shed.ReasonQueueFull:        "Too many requests wait here.",
	shed.ReasonNoServer:         "No backend server may take this stage now.",
	shed.ReasonServerCold:       "The backend servers are in cold start and have no room.",
	shed.ReasonServersBusy:      "Every backend server for this stage is full.",
	shed.ReasonStopping:         "This VM is stopping; try another one.",
	shed.ReasonNeedsTicket:      "The pipeline is not idempotent: POST /v1/tickets, then PUT /v1/requests/{request_id}.",
	shed.ReasonTicketUnknown:    "Nobody knows this ticket; it was not used.",
	shed.ReasonTicketExpired:    "The ticket is too old; get a new one if the request was not run.",
	shed.ReasonTicketsFull:      "No more tickets can be kept now.",
	shed.ReasonHomeGone:         "The VM that issued the ticket is gone; the request may or may not have run.",
	reasonNoRoom:                "There is no room here for a body of this size now; try again, or another VM.",
	reasonTooManyInFlight:       "Too many requests are in flight here.",
}

// outcomeMessages explain an outcome whose reason has no message.
var outcomeMessages = map[shed.Outcome]string{
	shed.OutcomeNotRun:    "The request was not run.",
	shed.OutcomeRefused:   "The request was given up on after some stages had run.",
	shed.OutcomeUnknown:   "The request may or may not have run; it will not be started again.",
	shed.OutcomeFailed:    "A stage failed.",
	shed.OutcomeDeadline:  "The deadline passed.",
	shed.OutcomeCancelled: "The caller went away.",
}

func message(fin *shed.Finish) string {
	if fin.Outcome == shed.OutcomeComplete {
		return ""
	}
	if m := reasonMessages[fin.Reason]; m != "" {
		return m
	}
	return outcomeMessages[fin.Outcome]
}
