package client

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// script answers one call after the other and notes them.
type script struct {
	steps []func(*http.Request) (*http.Response, error)
	calls []string
}

func (s *script) RoundTrip(r *http.Request) (*http.Response, error) {
	s.calls = append(s.calls, r.Method+" "+r.URL.String())
	if len(s.calls) > len(s.steps) {
		return nil, errors.New("more calls than the test expects")
	}
	return s.steps[len(s.calls)-1](r)
}

func says(code int, body string) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: code, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func breaks(*http.Request) (*http.Response, error) { return nil, errors.New("connection reset") }

const (
	done    = `{"status":"complete","outcome":"complete","request_id":"r1","payload":{"text":"Wind."}}`
	notRun  = `{"status":"unavailable","outcome":"not_run","reason":"queue_full","retry_after_ms":2000}`
	unknown = `{"status":"outcome_unknown","outcome":"outcome_unknown","reason":"ticket_home_gone"}`
	denied  = `{"status":"forbidden","outcome":"not_run","reason":"pipeline_not_allowed"}`
	ticket  = `{"request_id":"t-1","expires_in_ms":600000}`
)

func newTestClient(t *testing.T, rt http.RoundTripper) *Client {
	c, err := New(Config{URLs: []string{"http://a", "http://b"}, Workspace: "weer", Token: "secret", Transport: rt})
	require.NoError(t, err)
	c.turn.Store(0)
	return c
}

func TestCallsTakeTurns(t *testing.T) {
	s := &script{steps: []func(*http.Request) (*http.Response, error){says(200, done), says(200, done), says(200, done)}}
	c := newTestClient(t, s)
	for range 3 {
		_, err := c.Result(t.Context(), "t-1")
		require.NoError(t, err)
	}
	require.Equal(t, []string{
		"GET http://a/v1/requests/t-1", "GET http://b/v1/requests/t-1", "GET http://a/v1/requests/t-1",
	}, s.calls)
}

func TestRunRepeatsOnlyWhatMayBe(t *testing.T) {
	const a, b = "POST http://a/v1/pipelines/p/requests", "POST http://b/v1/pipelines/p/requests"
	type step = func(*http.Request) (*http.Response, error)
	cases := []struct {
		name  string
		steps []step
		calls []string
		want  error
	}{
		{"complete", []step{says(200, done)}, []string{a}, nil},
		{"not run, then complete", []step{says(503, notRun), says(200, done)}, []string{a, b}, nil},
		{"broken, then complete", []step{breaks, says(200, done)}, []string{a, b}, nil},
		{"half an answer, then complete", []step{says(200, done[:20]), says(200, done)}, []string{a, b}, nil},
		{"no answer at all, then complete", []step{says(200, `null`), says(200, done)}, []string{a, b}, nil},
		{"not allowed", []step{says(403, denied)}, []string{a}, ErrNotRun},
		{"unknown", []step{says(409, unknown)}, []string{a}, ErrUnknown},
		{"failed", []step{says(502, `{"outcome":"failed"}`)}, []string{a}, ErrFailed},
		{"refused", []step{says(503, `{"outcome":"refused","retry_after_ms":5}`)}, []string{a}, ErrRefused},
		{"deadline", []step{says(504, `{"outcome":"deadline_exceeded"}`)}, []string{a}, ErrDeadline},
		{"not run for ever", []step{says(503, notRun), says(503, notRun), says(503, notRun), says(503, notRun)}, []string{a, b, a, b}, ErrNotRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{steps: tc.steps}
				answer, err := newTestClient(t, s).Run(t.Context(), Request{Pipeline: "p", Input: "x"})
				require.Equal(t, tc.calls, s.calls)
				require.ErrorIs(t, err, tc.want)
				require.Equal(t, tc.want == nil, answer != nil)
			})
		})
	}
}

func TestRetryAfterIsHonoured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		s := &script{steps: []func(*http.Request) (*http.Response, error){says(503, notRun), says(200, done)}}
		_, err := newTestClient(t, s).Run(t.Context(), Request{Pipeline: "p"})
		require.NoError(t, err)
		require.Equal(t, 2*time.Second, time.Since(start))
	})
}

// The fleet says to come back in two seconds, but the caller has only one. It
// gets the refusal at once, with the time left to do something else.
func TestNoWaitBeyondTheCallersTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		s := &script{steps: []func(*http.Request) (*http.Response, error){says(503, notRun)}}
		_, err := newTestClient(t, s).Run(ctx, Request{Pipeline: "p"})
		require.ErrorIs(t, err, ErrNotRun)
		require.Equal(t, time.Duration(0), time.Since(start))
	})
}

// The connection breaks after the request was sent, and again on its repeat.
// Each repeat carries the same ticket, so the fleet joins it to the first run.
func TestRunOnceKeepsItsTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{steps: []func(*http.Request) (*http.Response, error){
			says(201, ticket), breaks, breaks, says(200, done),
		}}
		answer, err := newTestClient(t, s).RunOnce(t.Context(), Request{Pipeline: "p", Input: "x"})
		require.NoError(t, err)
		require.Equal(t, "r1", answer.RequestID)
		require.Equal(t, []string{
			"POST http://a/v1/tickets",
			"PUT http://a/v1/requests/t-1", "PUT http://b/v1/requests/t-1", "PUT http://a/v1/requests/t-1",
		}, s.calls)
	})
}

func TestUnknownOutcomeIsFinal(t *testing.T) {
	s := &script{steps: []func(*http.Request) (*http.Response, error){says(201, ticket), says(409, unknown)}}
	_, err := newTestClient(t, s).RunOnce(t.Context(), Request{Pipeline: "p"})
	require.ErrorIs(t, err, ErrUnknown)
	var refused *AnswerError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, "ticket_home_gone", refused.Answer.Reason)
}

const events = "event: text\ndata: {\"stage\":\"d\",\"text\":\"Storm\"}\n\n" +
	"event: reset\ndata: {\"stage\":\"d\"}\n\n" +
	"event: text\ndata: {\"stage\":\"d\",\"text\":\"Wind.\"}\n\n" +
	"event: later_kind\ndata: 7\n\n" +
	"event: beat\ndata: {}\n\n" +
	"event: stage\ndata: {\"stage\":\"d\",\"took_ms\":3.5}\n\n"

func TestStreamTellsItsEvents(t *testing.T) {
	s := &script{steps: []func(*http.Request) (*http.Response, error){
		says(200, events+"event: answer\ndata: "+done+"\n\n"),
	}}
	var told []string
	answer, err := newTestClient(t, s).Stream(t.Context(), Request{Pipeline: "p"}, Events{
		Text:  func(stage, text string) { told = append(told, stage+" text "+text) },
		Reset: func(stage string) { told = append(told, stage+" reset") },
		Stage: func(st StageReport) { told = append(told, st.Stage+" done") },
	})
	require.NoError(t, err)
	require.Equal(t, "Wind.", answer.Payload.Text)
	require.Equal(t, []string{"d text Storm", "d reset", "d text Wind.", "d done"}, told)
}

// The stream ends after some text, without its answer. The caller is told that
// it is broken: text alone is never taken for a whole answer, and the request
// isn't made again, since its text has already been shown.
func TestStreamWithoutItsAnswer(t *testing.T) {
	s := &script{steps: []func(*http.Request) (*http.Response, error){says(200, events)}}
	_, err := newTestClient(t, s).Stream(t.Context(), Request{Pipeline: "p"}, Events{})
	var broken *NoAnswerError
	require.ErrorAs(t, err, &broken)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Len(t, s.calls, 1)
}

// silentBody says nothing until the call's context ends.
type silentBody struct{ ctx context.Context }

func (b silentBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b silentBody) Close() error { return nil }

// Something between caller and fleet has lost track of the connection, so the
// stream says nothing and never ends. After the longest silence the client
// gives it up and asks again on a new connection.
func TestSilentStreamIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		s := &script{steps: []func(*http.Request) (*http.Response, error){
			func(r *http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: 200, Body: silentBody{r.Context()}}, nil
			},
			says(200, "event: answer\ndata: "+done+"\n\n"),
		}}
		_, err := newTestClient(t, s).Stream(t.Context(), Request{Pipeline: "p"}, Events{})
		require.NoError(t, err)
		require.Len(t, s.calls, 2)
		require.GreaterOrEqual(t, time.Since(start), DefaultIdleTimeout)
	})
}

// The far side reads a call on a kept connection and closes it without an
// answer. net/http by itself would send such a call again if it could rewind
// its body; the far side must see it once.
func TestTransportRepeatsNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	seen := 0
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		seen++
		if seen > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, done)
	})}
	var g errgroup.Group
	g.Go(func() error { return server.Serve(l) })
	c, err := New(Config{URLs: []string{"http://" + l.Addr().String()}, MaxRetries: -1})
	require.NoError(t, err)
	_, err = c.Run(t.Context(), Request{Pipeline: "p"})
	require.NoError(t, err)
	_, err = c.Run(t.Context(), Request{Pipeline: "p"})
	var broken *NoAnswerError
	require.ErrorAs(t, err, &broken)
	require.True(t, broken.Sent)
	require.NoError(t, server.Close())
	require.ErrorIs(t, g.Wait(), http.ErrServerClosed)
	require.Equal(t, 2, seen)
}

func TestNoBodyCanBeRewound(t *testing.T) {
	c := newTestClient(t, nil)
	req, _, err := c.request(t.Context(), call{method: "PUT", url: "http://a", body: workBody{Input: "x"}})
	require.NoError(t, err)
	require.Nil(t, req.GetBody)
	require.Empty(t, req.Header.Get("Idempotency-Key"))
	require.Equal(t, int64(len(`{"input":"x"}`)), req.ContentLength)
}

// Whatever a fleet, or what stands between, sends as a stream: only an event
// with an answer ends it well.
func FuzzStream(f *testing.F) {
	f.Add(events)
	f.Add("event: answer\ndata: " + done + "\n\n")
	f.Add("event: answer\ndata: {\"outcome\":7}\n\n")
	f.Add("data: {}\n\nevent: text\n\nevent: answer\r\ndata: null\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		told := false
		s := stream{told: &told, heard: func() {}}
		answer, err := s.read(strings.NewReader(text))
		if err != nil {
			return
		}
		require.Contains(t, text, "event: answer")
		if answer, err = checked(answer); err == nil {
			require.Equal(t, Complete, answer.Outcome)
		}
	})
}
