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

// fault is the JSON body of every answer that is not a 2xx.
type fault struct {
	body *pipehttp.RunResponseBody
	code int
}

// StatusCode is used where the design names no status for the error.
func (f fault) StatusCode() int { return f.code }

// MarshalJSON leaves the code to the status line.
func (f fault) MarshalJSON() ([]byte, error) { return json.Marshal(f.body) }

// format turns what goa says of a bad call into the one body that callers have
// to know.
func format(_ context.Context, err error) goahttp.Statuser {
	var answer *pipelines.Answer
	if errors.As(err, &answer) {
		return newFault(answer, http.StatusInternalServerError)
	}
	var bad *goa.ServiceError
	if !errors.As(err, &bad) {
		return newFault(badCall(statusFailed, "internal error"), http.StatusInternalServerError)
	}
	switch bad.Name {
	case errorTooLarge:
		return newFault(badCall(statusTooLarge, bad.Message), http.StatusRequestEntityTooLarge)
	case goa.UnsupportedMediaType:
		return newFault(badCall(statusBadRequest, bad.Message), http.StatusUnsupportedMediaType)
	}
	return newFault(badCall(statusBadRequest, bad.Message), http.StatusBadRequest)
}

func newFault(a *pipelines.Answer, code int) fault {
	return fault{body: pipehttp.NewRunResponseBody(a), code: code}
}

// badCall refuses a call before anything was run.
func badCall(status, message string) *pipelines.Answer {
	return &pipelines.Answer{
		Status:  status,
		Outcome: shed.OutcomeNotRun.String(),
		Reason:  text(string(reasonBadRequest)),
		Message: text(message),
	}
}
