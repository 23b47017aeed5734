package front

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

// delayedServing returns a Serving that answers after d, or earlier when its context ends.
func delayedServing(d time.Duration) *fakeServing {
	s := servingWith(complete)
	s.serve = func(ctx context.Context, _ shed.Request, _ func(shed.Update)) shed.Answer {
		select {
		case <-time.After(d):
			return shed.Answer{Finish: complete}
		case <-ctx.Done():
			return shed.Answer{Finish: shed.Finish{Outcome: shed.OutcomeCancelled, Reason: shed.ReasonCallerGone}}
		}
	}
	return s
}

func doRequest(t *testing.T, r *testServer, req *http.Request) (*http.Response, string) {
	res, err := r.client.Do(req)
	require.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return res, string(body)
}

// The caller sends its call within the body timeout, and the pipeline then takes ten times as
// long. The timeout is a deadline on the connection that net/http also uses to detect a
// disconnect; if left in place it would look like one and cancel a good request.
func TestLongRequestOutlivesTheBodyTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startServer(t, delayedServing(10*time.Second), func(cfg *Config) { cfg.Limits.BodyTimeout = time.Second })
		res, body := doRequest(t, r, newCall("POST", runPath, `{"input":"x"}`))
		require.Equal(t, 200, res.StatusCode, body)
	})
}

// As above, but without a body whose end could lift the deadline.
func TestLongReadOutlivesTheBodyTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serving := servingWith(complete)
		serving.result = func(shed.Request) shed.Answer {
			time.Sleep(10 * time.Second)
			return shed.Answer{Finish: complete}
		}
		r := startServer(t, serving, func(cfg *Config) { cfg.Limits.BodyTimeout = time.Second })
		res, body := doRequest(t, r, newCall("GET", oncePath, ""))
		require.Equal(t, 200, res.StatusCode, body)
	})
}

// The caller never sends its complete body. It gets an answer after the body timeout on every
// path, so that the connection is not held indefinitely: net/http waits for the rest of a body
// even if a handler has answered without reading it.
func TestBodyThatNeverEnds(t *testing.T) {
	cases := []struct {
		name, line string
		streams    int
		code       int
	}{
		{"run", "POST " + runPath, 1, 400},
		{"refused as one too many", "POST " + runPath, 0, 503},
		{"probe", "GET /readyz", 1, 200},
		{"no such path", "POST /v2", 1, 404},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				serving := servingWith(complete)
				r := startServer(t, serving, func(cfg *Config) { cfg.Limits.Streams = tc.streams })
				start := time.Now()
				code := sendRaw(t, r, tc.line+" HTTP/1.1\r\nHost: front\r\nX-Workspace: weer\r\nContent-Length: 50\r\n\r\n{")
				require.Equal(t, tc.code, code)
				require.Equal(t, 5*time.Second, time.Since(start))
				require.Empty(t, serving.requests)
			})
		})
	}
}

// sendRaw writes text on a new connection and returns the response's status, or 0 if the
// connection is closed without a response.
func sendRaw(t *testing.T, r *testServer, text string) int {
	conn, err := r.listener.dial(t.Context(), "", "")
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode
}

func TestHeaderThatNeverEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startServer(t, servingWith(complete), nil)
		start := time.Now()
		require.Equal(t, 0, sendRaw(t, r, "POST "+runPath+" HTTP/1.1\r\nHost: fr"))
		require.Equal(t, 5*time.Second, time.Since(start))
	})
}

// The caller closes its connection while its request waits. Serving's context must end, so
// that the engine does not work on an abandoned request.
func TestCallerGoesAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serving := delayedServing(time.Hour)
		r := startServer(t, serving, nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := r.client.Do(newCall("POST", runPath, `{"input":"x"}`).WithContext(ctx))
		require.ErrorIs(t, err, context.DeadlineExceeded)
		start := time.Now()
		r.stop()
		require.NoError(t, r.group.Wait())
		require.Less(t, time.Since(start), time.Second)
	})
}

// The caller stops reading its stream but keeps the connection open. The blocked write must
// fail after its timeout and end the request's context; otherwise the request would hang
// indefinitely.
func TestCallerStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serving := servingWith(complete)
		var cancelledAt time.Time
		serving.serve = func(ctx context.Context, _ shed.Request, update func(shed.Update)) shed.Answer {
			for ctx.Err() == nil {
				update(shed.Update{Stage: "draft", Text: "more "})
			}
			cancelledAt = time.Now()
			return shed.Answer{Finish: shed.Finish{Outcome: shed.OutcomeCancelled, Reason: shed.ReasonCallerGone}}
		}
		r := startServer(t, serving, nil)
		res, err := r.client.Do(newCall("POST", streamPath, `{"input":"x"}`))
		require.NoError(t, err)
		start := time.Now()
		time.Sleep(time.Minute)
		synctest.Wait()
		require.LessOrEqual(t, cancelledAt.Sub(start), 10*time.Second)
		require.False(t, cancelledAt.IsZero())
		require.NoError(t, res.Body.Close())
	})
}

// The pipeline produces nothing for 3.5 seconds. The caller gets a heartbeat each second,
// which distinguishes a slow answer from a dead connection.
func TestSilentStreamBeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startServer(t, delayedServing(3500*time.Millisecond), nil)
		res, body := doRequest(t, r, newCall("POST", streamPath, `{"input":"x"}`))
		require.Equal(t, 200, res.StatusCode)
		require.Equal(t, 3, strings.Count(body, "event: beat\ndata: {}\n\n"))
		require.Contains(t, body, "event: answer\n")
	})
}

// The daemon is told to stop while a request is in flight. The caller still gets its complete
// answer, a new connection is refused, and Serve then returns.
func TestStopCutsOffNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startServer(t, delayedServing(5*time.Second), nil)
		time.AfterFunc(time.Second, r.stop)
		res, body := doRequest(t, r, newCall("POST", runPath, `{"input":"x"}`))
		require.Equal(t, 200, res.StatusCode)
		require.Contains(t, body, `"outcome":"complete"`)
		require.NoError(t, r.group.Wait())
		_, err := r.client.Do(newCall("POST", runPath, `{"input":"x"}`))
		require.Error(t, err)
	})
}

// A request takes longer than the drain timeout. It is then aborted and its context ends, so
// that a stop always terminates.
func TestDrainIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startServer(t, delayedServing(time.Hour), func(cfg *Config) { cfg.DrainTimeout = 3 * time.Second })
		start := time.Now()
		time.AfterFunc(time.Second, r.stop)
		_, err := r.client.Do(newCall("POST", runPath, `{"input":"x"}`))
		require.Error(t, err)
		require.NoError(t, r.group.Wait())
		require.Equal(t, 4*time.Second, time.Since(start))
	})
}

func TestHeaderLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startServer(t, servingWith(complete), nil)
		req := newCall("POST", runPath, `{"input":"x"}`)
		req.Header.Set("X-Large", strings.Repeat("x", 64<<10))
		res, _ := doRequest(t, r, req)
		require.Equal(t, 431, res.StatusCode)
	})
}

// Connections beyond the limit wait until one is closed; none is dropped.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startServer(t, delayedServing(time.Second), func(cfg *Config) {
			cfg.Limits.Connections = 1
			cfg.Limits.IdleTimeout = time.Second
		})
		start := time.Now()
		done := make(chan int, 2)
		for range 2 {
			r.group.Go(func() error {
				res, err := r.client.Do(newCall("POST", runPath, `{"input":"x"}`))
				if err != nil {
					return err
				}
				done <- res.StatusCode
				return res.Body.Close()
			})
		}
		require.Equal(t, 200, <-done)
		require.Equal(t, time.Second, time.Since(start))
		require.Equal(t, 200, <-done)
	})
}
