package front

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	shed "jasmineshed"
	pipehttp "jasmineshed/internal/gen/http/pipelines/server"
	"jasmineshed/internal/ticket"
)

const (
	runPath    = "/v1/pipelines/caption/requests"
	streamPath = "/v1/pipelines/caption/stream"
	oncePath   = "/v1/requests/t-1"
)

func record(f *Front, req *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, req)
	return w
}

func bodyOf(t *testing.T, w *httptest.ResponseRecorder) *pipehttp.RunResponseBody {
	var b pipehttp.RunResponseBody
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &b), w.Body.String())
	return &b
}

func TestStatusOfAnswers(t *testing.T) {
	cases := []struct {
		name       string
		fin        shed.Finish
		code       int
		status     string
		retryAfter string
	}{
		{"complete", shed.Finish{Outcome: shed.OutcomeComplete}, 200, "complete", ""},
		{"unknown pipeline", notRun(shed.ReasonUnknownPipeline, 0), 404, "not_found", ""},
		{"bad token", notRun(shed.ReasonUnknownWorkspace, 0), 401, "unauthenticated", ""},
		{"not allowed", notRun(shed.ReasonNotAllowed, 0), 403, "forbidden", ""},
		{"needs a ticket", notRun(shed.ReasonNeedsTicket, 0), 428, "needs_ticket", ""},
		{"unknown ticket", notRun(shed.ReasonTicketUnknown, 0), 404, "not_found", ""},
		{"expired ticket", notRun(shed.ReasonTicketExpired, 0), 410, "gone", ""},
		{"queue full, no time given", notRun(shed.ReasonQueueFull, 0), 503, "unavailable", "1"},
		{"queue full, part of a second", notRun(shed.ReasonQueueFull, 2300*time.Millisecond), 503, "unavailable", "3"},
		{"refused after work", shed.Finish{Outcome: shed.OutcomeRefused, Reason: shed.ReasonUnknownPipeline}, 503, "unavailable", "1"},
		{"outcome unknown", shed.Finish{Outcome: shed.OutcomeUnknown, Reason: shed.ReasonHomeGone}, 409, "outcome_unknown", ""},
		{"failed", shed.Finish{Outcome: shed.OutcomeFailed, Reason: shed.ReasonServerError}, 502, "failed", ""},
		{"deadline", shed.Finish{Outcome: shed.OutcomeDeadline, Reason: shed.ReasonDeadline}, 504, "deadline_exceeded", ""},
		{"cancelled", shed.Finish{Outcome: shed.OutcomeCancelled, Reason: shed.ReasonCallerGone}, 503, "unavailable", "1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFront(finished(tc.fin), nil)
			for _, call := range []*http.Request{
				newCall("POST", runPath, `{"input":"x"}`),
				newCall("PUT", oncePath, `{"input":"x","pipeline":"caption"}`),
				newCall("GET", oncePath, ""),
			} {
				w := record(f, call)
				require.Equal(t, tc.code, w.Code, call.URL.Path)
				require.Equal(t, tc.retryAfter, w.Header().Get("Retry-After"))
				b := bodyOf(t, w)
				require.Equal(t, tc.status, b.Status)
				require.Equal(t, tc.fin.Outcome.String(), b.Outcome)
				require.Equal(t, tc.retryAfter != "", b.RetryAfterMs != nil)
			}
		})
	}
}

func notRun(reason shed.Reason, after time.Duration) shed.Finish {
	return shed.Finish{Outcome: shed.OutcomeNotRun, Reason: reason, RetryAfter: after}
}

func TestBadCallsAreRefusedBeforeAnyUse(t *testing.T) {
	const good = `{"input":"x"}`
	long := strings.Repeat("a", 65)
	cases := []struct {
		name         string
		method, path string
		body         string
		header       [2]string
		code         int
	}{
		{"no body", "POST", runPath, "", [2]string{}, 400},
		{"no JSON", "POST", runPath, "{", [2]string{}, 400},
		{"wrong type", "POST", runPath, `{"input":7}`, [2]string{}, 400},
		{"null", "POST", runPath, `null`, [2]string{}, 400},
		{"array", "POST", runPath, `[]`, [2]string{}, 400},
		{"unknown key", "POST", runPath, `{"input":"x","max_token":4}`, [2]string{}, 400},
		{"two values", "POST", runPath, good + good, [2]string{}, 400},
		{"no UTF-8", "POST", runPath, "{\"input\":\"\xff\"}", [2]string{}, 400},
		{"budget of nothing", "POST", runPath, `{"input":"x","budget_ms":0}`, [2]string{}, 400},
		{"tokens below nothing", "POST", runPath, `{"input":"x","max_tokens":-1}`, [2]string{}, 400},
		{"too large", "POST", runPath, `{"input":"` + strings.Repeat("x", 2<<20) + `"}`, [2]string{}, 413},
		{"no JSON type", "POST", runPath, good, [2]string{"Content-Type", "text/xml"}, 415},
		{"odd pipeline", "POST", "/v1/pipelines/a%20b/requests", good, [2]string{}, 400},
		{"path in pipeline", "POST", "/v1/pipelines/..%2fx/stream", good, [2]string{}, 400},
		{"long pipeline", "POST", "/v1/pipelines/" + long + "/requests", good, [2]string{}, 400},
		{"odd workspace", "POST", runPath, good, [2]string{"X-Workspace", "a/b"}, 400},
		{"no workspace", "POST", runPath, good, [2]string{"X-Workspace", ""}, 400},
		{"odd ticket", "PUT", "/v1/requests/a%00b", `{"input":"x","pipeline":"p"}`, [2]string{}, 400},
		{"odd ticket to read", "GET", "/v1/requests/%e2%82%ac", "", [2]string{}, 400},
		{"odd pipeline in body", "POST", "/v1/tickets", `{"pipeline":"a b"}`, [2]string{}, 400},
		{"no such path", "GET", "/v2", "", [2]string{}, 404},
		{"no such method", "DELETE", oncePath, "", [2]string{}, 405},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			serving := finished(complete)
			req := newCall(tc.method, tc.path, tc.body)
			if tc.header[0] != "" {
				req.Header.Set(tc.header[0], tc.header[1])
			}
			w := record(newTestFront(serving, nil), req)
			require.Equal(t, tc.code, w.Code, w.Body.String())
			require.Equal(t, jsonType, w.Header().Get("Content-Type"))
			b := bodyOf(t, w)
			require.Equal(t, "not_run", b.Outcome)
			require.NotEmpty(t, *b.Message)
			require.NotContains(t, w.Body.String(), "secret")
			require.Empty(t, serving.seen)
		})
	}
}

func TestRequestReachesServingWhole(t *testing.T) {
	serving := finished(complete)
	f := newTestFront(serving, nil)
	body := `{"input":"storm","max_tokens":40,"budget_ms":1500,"pipeline":"warn"}`
	w := record(f, newCall("PUT", oncePath, body))
	require.Equal(t, 200, w.Code, w.Body.String())
	require.Equal(t, []shed.Request{{
		ID:        "t-1",
		Workspace: "weer",
		Token:     "secret",
		Pipeline:  "warn",
		Payload:   shed.Payload{Input: "storm", MaxTokens: 40},
		Budget:    1500 * time.Millisecond,
	}}, serving.seen)
}

var drafted = shed.Answer{
	Finish: shed.Finish{
		Request: "r1",
		Outcome: shed.OutcomeComplete,
		Rule:    shed.Origin{Line: 12, RequestedBy: "board, May"},
		Stages: []shed.StageReport{{
			Stage: "draft", Server: "gen-1", Zone: "nl-west-a", Attempts: 2, Ran: true,
			Took: 81500 * time.Microsecond, Tokens: 3, Useful: 20, Wasted: 7,
		}},
	},
	Payload: shed.Payload{
		Input:    "not for the answer",
		Text:     "Wind\nsoon.",
		Passages: []shed.Passage{{ID: "p1", Text: "wind", Score: 0.5}},
	},
	Trace: "0af7651916cd43dd8448eb211c80319c",
}

func TestWholeAnswer(t *testing.T) {
	serving := finished(complete)
	serving.serve = func(context.Context, shed.Request, func(shed.Update)) shed.Answer { return drafted }
	w := record(newTestFront(serving, nil), newCall("POST", runPath, `{"input":"x"}`))
	goldie.New(t).Assert(t, "answer", w.Body.Bytes())
}

func TestStreamOfEvents(t *testing.T) {
	serving := finished(complete)
	serving.serve = func(_ context.Context, _ shed.Request, update func(shed.Update)) shed.Answer {
		update(shed.Update{Stage: "draft", Text: "Storm"})
		update(shed.Update{Stage: "draft", Reset: true})
		update(shed.Update{Stage: "draft", Text: "Wind\n\nevent: text\n"})
		update(shed.Update{Stage: "draft", Done: &drafted.Stages[0]})
		return drafted
	}
	w := record(newTestFront(serving, nil), newCall("POST", streamPath, `{"input":"x"}`))
	require.Equal(t, "text/event-stream", w.Header().Get("Content-Type"))
	goldie.New(t).Assert(t, "stream", w.Body.Bytes())
}

func TestStreamRefusedBeforeItsFirstEvent(t *testing.T) {
	f := newTestFront(finished(notRun(shed.ReasonQueueFull, 0)), nil)
	w := record(f, newCall("POST", streamPath, `{"input":"x"}`))
	require.Equal(t, 503, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	require.Equal(t, "queue_full", *bodyOf(t, w).Reason)
}

func TestStreamFailedAfterItsFirstEvent(t *testing.T) {
	serving := finished(complete)
	serving.serve = func(_ context.Context, _ shed.Request, update func(shed.Update)) shed.Answer {
		update(shed.Update{Stage: "draft", Text: "Sto"})
		return shed.Answer{Finish: shed.Finish{Outcome: shed.OutcomeDeadline, Reason: shed.ReasonDeadline}}
	}
	w := record(newTestFront(serving, nil), newCall("POST", streamPath, `{"input":"x"}`))
	require.Equal(t, 200, w.Code)
	last := w.Body.String()[strings.LastIndex(w.Body.String(), "event: "):]
	require.True(t, strings.HasPrefix(last, "event: answer\ndata: {\"status\":\"deadline_exceeded\""), last)
}

func TestTickets(t *testing.T) {
	serving := finished(complete)
	serving.issue = func(shed.Request) (shed.Ticket, *shed.Finish) {
		return shed.Ticket{ID: "t-9", Expires: time.Now().Add(time.Hour)}, nil
	}
	w := record(newTestFront(serving, nil), newCall("POST", "/v1/tickets", `{"pipeline":"warn"}`))
	require.Equal(t, 201, w.Code)
	require.Contains(t, w.Body.String(), `"request_id":"t-9"`)

	full := newTestFront(finished(notRun(shed.ReasonTicketsFull, 0)), nil)
	w = record(full, newCall("POST", "/v1/tickets", `{"pipeline":"warn"}`))
	require.Equal(t, 503, w.Code)
	require.Equal(t, "tickets_full", *bodyOf(t, w).Reason)
}

// A ticket's id holds the address of its home. The longest must pass the check
// of ids, or a VM with a long address could give out tickets but run none.
func TestLongestTicketIsTaken(t *testing.T) {
	home := shed.Peer{VM: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535", Incarnation: 1<<64 - 1}
	id := string(ticket.NewID(home, [16]byte{255}))
	f := newTestFront(finished(complete), nil)
	w := record(f, newCall("PUT", "/v1/requests/"+id, `{"input":"x","pipeline":"warn"}`))
	require.Equal(t, 200, w.Code, w.Body.String())
	require.Equal(t, 200, record(f, newCall("GET", "/v1/requests/"+id, "")).Code)
}

func TestReadiness(t *testing.T) {
	serving := finished(complete)
	f := newTestFront(serving, nil)
	require.Equal(t, 200, record(f, newCall("GET", "/readyz", "")).Code)

	serving.ready = false
	w := record(f, newCall("GET", "/readyz", ""))
	require.Equal(t, 503, w.Code)
	require.Equal(t, "close", w.Header().Get("Connection"))
	require.Equal(t, 200, record(f, newCall("GET", "/healthz", "")).Code)
	// It still serves while the balancer notices.
	require.Equal(t, 200, record(f, newCall("POST", runPath, `{"input":"x"}`)).Code)
}

func TestTooManyInFlight(t *testing.T) {
	serving := finished(complete)
	f := newTestFront(serving, func(cfg *Config) { cfg.Limits.Streams = 1 })
	var second *httptest.ResponseRecorder
	serving.serve = func(context.Context, shed.Request, func(shed.Update)) shed.Answer {
		second = record(f, newCall("POST", runPath, `{"input":"x"}`))
		return shed.Answer{Finish: complete}
	}
	require.Equal(t, 200, record(f, newCall("POST", runPath, `{"input":"x"}`)).Code)
	require.Equal(t, 503, second.Code)
	require.Equal(t, "1", second.Header().Get("Retry-After"))
	require.Equal(t, string(reasonStreams), *bodyOf(t, second).Reason)
	require.Len(t, serving.seen, 1)
}

func TestSpanContinuesTheCallersTrace(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
	f := newTestFront(finished(complete), func(cfg *Config) { cfg.Tracer = provider })
	req := newCall("POST", runPath, `{"input":"x"}`)
	req.Header.Set("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	w := record(f, req)
	require.Len(t, spans.Ended(), 1)
	span := spans.Ended()[0]
	require.Equal(t, "POST /v1/pipelines/{pipeline}/requests", span.Name())
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c", span.SpanContext().TraceID().String())
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c", *bodyOf(t, w).TraceID)
}

func TestRefusalsAreCountedAndOnTheSpan(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	scope := tally.NewTestScope("", nil)
	fin := notRun(shed.ReasonNotAllowed, 0)
	fin.Rule = shed.Origin{Line: 12}
	f := newTestFront(finished(fin), func(cfg *Config) {
		cfg.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
		cfg.Scope = scope
	})
	record(f, newCall("POST", runPath, `{"input":"x"}`))
	counters := scope.Snapshot().Counters()
	require.Contains(t, counters, "front.answers+outcome=not_run,reason=pipeline_not_allowed")
	require.Contains(t, counters, "front.requests+code=403,route=POST /v1/pipelines/{pipeline}/requests")
	require.Equal(t, 0.0, scope.Snapshot().Gauges()["front.in_flight+"].Value())
	require.Contains(t, spans.Ended()[0].Attributes(), attribute.String("reason", "pipeline_not_allowed"))
	require.Contains(t, spans.Ended()[0].Attributes(), attribute.Int("rule.line", 12))
}
