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

// waitFor gives a Serving that waits, or ends early with its context.
func waitFor(d time.Duration) *fakeServing {
	s := finished(complete)
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

func get(t *testing.T, r *running, req *http.Request) (*http.Response, string) {
	res, err := r.client.Do(req)
	require.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return res, string(body)
}

// The caller sends its call within the body's time limit, and the pipeline then
// takes ten times as long. The limit is a deadline on the connection that
// net/http also watches for the caller's going away; left in place it would
// look like a caller that has gone, and a good request would be cancelled.
func TestLongRequestOutlivesTheBodyTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := run(t, waitFor(10*time.Second), func(cfg *Config) { cfg.Limits.BodyTimeout = time.Second })
		res, body := get(t, r, newCall("POST", runPath, `{"input":"x"}`))
		require.Equal(t, 200, res.StatusCode, body)
	})
}

// As above, but with a call that has no body which could lift the deadline.
func TestLongReadOutlivesTheBodyTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serving := finished(complete)
		serving.result = func(shed.Request) shed.Answer {
			time.Sleep(10 * time.Second)
			return shed.Answer{Finish: complete}
		}
		r := run(t, serving, func(cfg *Config) { cfg.Limits.BodyTimeout = time.Second })
		res, body := get(t, r, newCall("GET", oncePath, ""))
		require.Equal(t, 200, res.StatusCode, body)
	})
}

// The caller opens a call and never sends its whole body. It gets an answer
// after the body's time limit on every path, so that the connection is not held
// for good: net/http waits for the rest of a body also where a handler has
// answered without reading it.
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
				serving := finished(complete)
				r := run(t, serving, func(cfg *Config) { cfg.Limits.Streams = tc.streams })
				start := time.Now()
				code := raw(t, r, tc.line+" HTTP/1.1\r\nHost: front\r\nX-Workspace: weer\r\nContent-Length: 50\r\n\r\n{")
				require.Equal(t, tc.code, code)
				require.Equal(t, 5*time.Second, time.Since(start))
				require.Empty(t, serving.seen)
			})
		})
	}
}

// raw writes text on a new connection and gives the status that comes back, or
// 0 if the connection is closed without one.
func raw(t *testing.T, r *running, text string) int {
	conn, err := r.pipes.dial(t.Context(), "", "")
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
		r := run(t, finished(complete), nil)
		start := time.Now()
		require.Equal(t, 0, raw(t, r, "POST "+runPath+" HTTP/1.1\r\nHost: fr"))
		require.Equal(t, 5*time.Second, time.Since(start))
	})
}

// The caller closes its connection while its request waits. Serving's context
// ends, so that the engine behind is not kept busy for nobody.
func TestCallerGoesAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serving := waitFor(time.Hour)
		r := run(t, serving, nil)
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

// The caller reads the first events of its stream and then nothing more, while
// its connection stays open. The blocked write fails after its time limit and
// ends the request's context; else the request would hang for good.
func TestCallerStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serving := finished(complete)
		var gone time.Time
		serving.serve = func(ctx context.Context, _ shed.Request, update func(shed.Update)) shed.Answer {
			for ctx.Err() == nil {
				update(shed.Update{Stage: "draft", Text: "more "})
			}
			gone = time.Now()
			return shed.Answer{Finish: shed.Finish{Outcome: shed.OutcomeCancelled, Reason: shed.ReasonCallerGone}}
		}
		r := run(t, serving, nil)
		res, err := r.client.Do(newCall("POST", streamPath, `{"input":"x"}`))
		require.NoError(t, err)
		start := time.Now()
		time.Sleep(time.Minute)
		synctest.Wait()
		require.LessOrEqual(t, gone.Sub(start), 10*time.Second)
		require.False(t, gone.IsZero())
		require.NoError(t, res.Body.Close())
	})
}

// Nothing comes out of the pipeline for three and a half seconds. The caller
// gets a beat each second, by which it tells a slow answer from a dead
// connection.
func TestSilentStreamBeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := run(t, waitFor(3500*time.Millisecond), nil)
		res, body := get(t, r, newCall("POST", streamPath, `{"input":"x"}`))
		require.Equal(t, 200, res.StatusCode)
		require.Equal(t, 3, strings.Count(body, "event: beat\ndata: {}\n\n"))
		require.Contains(t, body, "event: answer\n")
	})
}

// The daemon is told to stop while a request is in flight. The caller still
// gets its whole answer, a new connection is refused, and Serve then returns.
func TestStopCutsOffNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := run(t, waitFor(5*time.Second), nil)
		time.AfterFunc(time.Second, r.stop)
		res, body := get(t, r, newCall("POST", runPath, `{"input":"x"}`))
		require.Equal(t, 200, res.StatusCode)
		require.Contains(t, body, `"outcome":"complete"`)
		require.NoError(t, r.group.Wait())
		_, err := r.client.Do(newCall("POST", runPath, `{"input":"x"}`))
		require.Error(t, err)
	})
}

// A request lasts longer than the drain may. It is cut off then, and its
// context ends, so that a stop can't take for ever.
func TestDrainIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := run(t, waitFor(time.Hour), func(cfg *Config) { cfg.DrainTimeout = 3 * time.Second })
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
		r := run(t, finished(complete), nil)
		req := newCall("POST", runPath, `{"input":"x"}`)
		req.Header.Set("X-Large", strings.Repeat("x", 64<<10))
		res, _ := get(t, r, req)
		require.Equal(t, 431, res.StatusCode)
	})
}

// Connections beyond the limit wait until one is closed; none is dropped.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := run(t, waitFor(time.Second), func(cfg *Config) {
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
