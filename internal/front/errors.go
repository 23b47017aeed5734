package front

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	shed "jasmineshed"
	pipehttp "jasmineshed/internal/gen/http/pipelines/server"
	"jasmineshed/internal/gen/pipelines"
)

// errorResponse is the JSON body of every response other than 2xx.
type errorResponse struct {
	body *pipehttp.RunResponseBody
	code int
}

// StatusCode is used for errors for which the design names no status.
func (f errorResponse) StatusCode() int { return f.code }

// MarshalJSON omits the code, which is in the status line.
func (f errorResponse) MarshalJSON() ([]byte, error) { return json.Marshal(f.body) }

// formatError converts goa's request errors to the same body as all other refusals.
func formatError(ctx context.Context, err error) goahttp.Statuser {
	var answer *pipelines.Answer
	if errors.As(err, &answer) {
		return newErrorResponse(answer, http.StatusInternalServerError)
	}
	var bad *goa.ServiceError
	if !errors.As(err, &bad) {
		return newErrorResponse(newRejection(statusFailed, "internal error"), http.StatusInternalServerError)
	}
	switch bad.Name {
	case errorBodyTooLarge:
		return newErrorResponse(newRejection(statusTooLarge, bad.Message), http.StatusRequestEntityTooLarge)
	case errorNoRoom:
		fin := shed.Finish{Outcome: shed.OutcomeNotRun, Reason: reasonNoRoom, RetryAfter: roomRetryAfter}
		return newErrorResponse(newAnswerHead(ctx, &fin), http.StatusServiceUnavailable)
	case goa.UnsupportedMediaType:
		return newErrorResponse(newRejection(statusBadRequest, bad.Message), http.StatusUnsupportedMediaType)
	}
	return newErrorResponse(newRejection(statusBadRequest, bad.Message), http.StatusBadRequest)
}

func newErrorResponse(a *pipelines.Answer, code int) errorResponse {
	return errorResponse{body: pipehttp.NewRunResponseBody(a), code: code}
}

// newRejection returns the answer to a call that was rejected before anything ran.
func newRejection(status, message string) *pipelines.Answer {
	return &pipelines.Answer{
		Status:  status,
		Outcome: shed.OutcomeNotRun.String(),
		Reason:  optionalString(string(reasonBadRequest)),
		Message: optionalString(message),
	}
}
