package client

import (
	"errors"
	"fmt"
)

// AnswerError is an answer whose outcome is not complete.
type AnswerError struct{ Answer *Answer }

// Error returns outcome, reason and message.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Answer.Outcome, e.Answer.Reason, e.Answer.Message)
}

// Is reports whether target is the error value for the answer's outcome.
func (e *AnswerError) Is(target error) bool {
	var o outcomeError
	return errors.As(target, &o) && Outcome(o) == e.Answer.Outcome
}

type outcomeError Outcome

func (e outcomeError) Error() string { return string(e) }

// Errors to compare an AnswerError with, by errors.Is.
var (
	// ErrNotRun: the request can't have reached a backend server.
	ErrNotRun error = outcomeError(NotRun)
	// ErrRefused: the request was given up after some stages had run.
	ErrRefused error = outcomeError(Refused)
	// ErrUnknown: the request may have run, and won't be started again.
	ErrUnknown error = outcomeError(Unknown)
	// ErrFailed: a stage failed.
	ErrFailed error = outcomeError(Failed)
	// ErrDeadline: the deadline passed.
	ErrDeadline error = outcomeError(Deadline)
)

// NoAnswerError means that no valid answer was received: the connection broke, or the
// response is malformed.
type NoAnswerError struct {
	// Sent is true if the request may have reached the fleet.
	Sent bool
	Err  error
}

// Error describes the failure.
func (e *NoAnswerError) Error() string { return "no answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }
