package client

import (
	"errors"
	"fmt"
)

// AnswerError is an answer whose outcome is not complete.
type AnswerError struct{ Answer *Answer }

// Error gives outcome, reason and message.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Answer.Outcome, e.Answer.Reason, e.Answer.Message)
}

// Is tells the errors of one outcome apart from the others'.
func (e *AnswerError) Is(target error) bool {
	var o outcomeError
	return errors.As(target, &o) && Outcome(o) == e.Answer.Outcome
}

type outcomeError Outcome

func (e outcomeError) Error() string { return string(e) }

// Errors to compare an AnswerError with, by errors.Is.
var (
	// ErrNotRun: no backend server can have been reached.
	ErrNotRun error = outcomeError(NotRun)
	// ErrRefused: given up on after some stages had run.
	ErrRefused error = outcomeError(Refused)
	// ErrUnknownExample: it may have run, and won't be started again.
	ErrUnknown error = outcomeError(Unknown)
	// ErrFailed: a stage failed.
	ErrFailed error = outcomeError(Failed)
	// ErrDeadline: the deadline passed.
	ErrDeadline error = outcomeError(Deadline)
)

// NoAnswerError means that no answer came: the connection broke or made no sense.
type NoAnswerError struct {
	// Sent is true if the request may have reached the fleet.
	Sent bool
	Err  error
}

// Error tells what broke.
func (e *NoAnswerError) Error() string { return "no answer: " + e.Err.Error() }

// Unwrap gives what broke.
func (e *NoAnswerError) Unwrap() error { return e.Err }
