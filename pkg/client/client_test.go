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

// script is a transport that answers each call with the next step and records it.
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

func respondWith(code int, body string) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: code, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func failConnection(*http.Request) (*http.Response, error) {
	return nil, errors.New("connection reset")
}

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
	c.callCount.Store(0)
	return c
}

func TestCallsTakeTurns(t *testing.T) {
	s := &script{steps: []func(*http.Request) (*http.Response, error){respondWith(200, done), respondWith(200, done), respondWith(200, done)}}
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
		{"complete", []step{respondWith(200, done)}, []string{a}, nil},
		{"not run, then complete", []step{respondWith(503, notRun), respondWith(200, done)}, []string{a, b}, nil},
		{"broken, then complete", []step{failConnection, respondWith(200, done)}, []string{a, b}, nil},
		{"half an answer, then complete", []step{respondWith(200, done[:20]), respondWith(200, done)}, []string{a, b}, nil},
		{"no answer at all, then complete", []step{respondWith(200, `null`), respondWith(200, done)}, []string{a, b}, nil},
		{"not allowed", []step{respondWith(403, denied)}, []string{a}, ErrNotRun},
		{"unknown", []step{respondWith(409, unknown)}, []string{a}, ErrUnknown},
		{"failed", []step{respondWith(502, `{"outcome":"failed"}`)}, []string{a}, ErrFailed},
		{"refused", []step{respondWith(503, `{"outcome":"refused","retry_after_ms":5}`)}, []string{a}, ErrRefused},
		{"deadline", []step{respondWith(504, `{"outcome":"deadline_exceeded"}`)}, []string{a}, ErrDeadline},
		{"not run for ever", []step{respondWith(503, notRun), respondWith(503, notRun), respondWith(503, notRun), respondWith(503, notRun)}, []string{a, b, a, b}, ErrNotRun},
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
		s := &script{steps: []func(*http.Request) (*http.Response, error){respondWith(503, notRun), respondWith(200, done)}}
		_, err := newTestClient(t, s).Run(t.Context(), Request{Pipeline: "p"})
		require.NoError(t, err)
		require.Equal(t, 2*time.Second, time.Since(start))
	})
}

// The fleet asks for a retry after 2 s, but the caller has only 1 s left. It gets
// the refusal at once and can use the remaining time for something else.
func TestNoWaitBeyondTheCallersTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		s := &script{steps: []func(*http.Request) (*http.Response, error){respondWith(503, notRun)}}
		_, err := newTestClient(t, s).Run(ctx, Request{Pipeline: "p"})
		require.ErrorIs(t, err, ErrNotRun)
		require.Equal(t, time.Duration(0), time.Since(start))
	})
}

// The connection breaks after the request was sent, and again on its retry. Every
// retry must use the same ticket, so that the fleet joins it to the first run.
func TestRunOnceKeepsItsTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{steps: []func(*http.Request) (*http.Response, error){
			respondWith(201, ticket), failConnection, failConnection, respondWith(200, done),
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
	s := &script{steps: []func(*http.Request) (*http.Response, error){respondWith(201, ticket), respondWith(409, unknown)}}
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
		respondWith(200, events+"event: answer\ndata: "+done+"\n\n"),
	}}
	var got []string
	answer, err := newTestClient(t, s).Stream(t.Context(), Request{Pipeline: "p"}, Events{
		Text:  func(stage, text string) { got = append(got, stage+" text "+text) },
		Reset: func(stage string) { got = append(got, stage+" reset") },
		Stage: func(st StageReport) { got = append(got, st.Stage+" done") },
	})
	require.NoError(t, err)
	require.Equal(t, "Wind.", answer.Payload.Text)
	require.Equal(t, []string{"d text Storm", "d reset", "d text Wind.", "d done"}, got)
}

// The stream ends after some text, without an answer. The caller must get an error:
// text alone is never a complete answer, and the request isn't retried because its
// text has already been delivered.
func TestStreamWithoutItsAnswer(t *testing.T) {
	s := &script{steps: []func(*http.Request) (*http.Response, error){respondWith(200, events)}}
	_, err := newTestClient(t, s).Stream(t.Context(), Request{Pipeline: "p"}, Events{})
	var broken *NoAnswerError
	require.ErrorAs(t, err, &broken)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Len(t, s.calls, 1)
}

// silentBody is a response body that sends nothing until the call's context ends.
type silentBody struct{ ctx context.Context }

func (b silentBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b silentBody) Close() error { return nil }

// A device between caller and fleet has lost the connection's state, so the stream
// receives nothing and never ends. After the idle timeout the client must close it
// and retry.
func TestSilentStreamIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		s := &script{steps: []func(*http.Request) (*http.Response, error){
			func(r *http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: 200, Body: silentBody{r.Context()}}, nil
			},
			respondWith(200, "event: answer\ndata: "+done+"\n\n"),
		}}
		_, err := newTestClient(t, s).Stream(t.Context(), Request{Pipeline: "p"}, Events{})
		require.NoError(t, err)
		require.Len(t, s.calls, 2)
		require.GreaterOrEqual(t, time.Since(start), DefaultIdleTimeout)
	})
}

// The server reads a call on a kept-alive connection and closes it without an
// answer. net/http would retry such a call by itself if it could rewind its body;
// the server must see the call only once.
func TestTransportRetriesNothing(t *testing.T) {
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
	req, _, err := c.request(t.Context(), httpCall{method: "PUT", url: "http://a", body: requestBody{Input: "x"}})
	require.NoError(t, err)
	require.Nil(t, req.GetBody)
	require.Empty(t, req.Header.Get("Idempotency-Key"))
	require.Equal(t, int64(len(`{"input":"x"}`)), req.ContentLength)
}

// A stream of arbitrary bytes must end successfully only with an answer event.
func FuzzStream(f *testing.F) {
	f.Add(events)
	f.Add("event: answer\ndata: " + done + "\n\n")
	f.Add("event: answer\ndata: {\"outcome\":7}\n\n")
	f.Add("data: {}\n\nevent: text\n\nevent: answer\r\ndata: null\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		delivered := false
		s := stream{delivered: &delivered, resetTimer: func() {}}
		answer, err := s.read(strings.NewReader(text))
		if err != nil {
			return
		}
		require.Contains(t, text, "event: answer")
		if answer, err = checkOutcome(answer); err == nil {
			require.Equal(t, Complete, answer.Outcome)
		}
	})
}
