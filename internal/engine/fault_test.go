package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	shed "jasmineshed"
	"jasmineshed/internal/engine"
	"jasmineshed/internal/stand"
	"jasmineshed/internal/wire"
)

// bench is an Engine before one server on a network in memory.
type bench struct {
	net    *stand.Net
	engine *engine.Engine
	server *stand.Server
}

const benchURL = "http://server:1"

func newBench(t *testing.T, h http.Handler) *bench {
	t.Helper()
	n := stand.NewNet()
	l, err := n.Listen("server:1")
	require.NoError(t, err)
	return &bench{
		net:    n,
		engine: engine.New(engine.Config{Dial: n.Dial}),
		server: stand.ServeOn(l, h),
	}
}

func (b *bench) close(t *testing.T) {
	t.Helper()
	require.NoError(t, b.engine.Close())
	require.NoError(t, b.server.Close())
}

func ignore(shed.Frame) error { return nil }

// The caller sees the stage tried elsewhere. A server's connection goes silent
// after some tokens: writing to it would still succeed, and no end ever shows.
// Only the missing progress tells, and the connection must not be used again.
func TestSilentConnectionIsBrokenAndNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := stand.NewEngine(stand.EngineConfig{ID: "s1", TokenTime: 50 * time.Millisecond})
		b := newBench(t, eng)
		start := startOf(benchURL, shed.KindGenerate)
		start.IdleTimeout = 2 * time.Second
		began := time.Now()
		end := b.engine.Call(t.Context(), start, shed.Payload{Input: "x", MaxTokens: 40}, func(f shed.Frame) error {
			if f.Sequence == 9 {
				b.net.Blackhole()
			}
			return nil
		})
		require.Equal(t, shed.EndBroken, end.End)
		require.Equal(t, shed.ReasonSilent, end.Reason)
		require.EqualValues(t, 10, end.Tokens)
		require.Equal(t, 2500*time.Millisecond, time.Since(began))

		start.Call.Attempt = 2
		start.Resumes, start.ResumeFrom = shed.Call{Request: "q1", Attempt: 1}, end.Tokens
		var got collect
		end = b.engine.Call(t.Context(), start, shed.Payload{Input: "x", MaxTokens: 40}, got.take)
		require.Equal(t, shed.EndComplete, end.End, end.Reason)
		whole := stand.FullText("x", 40)
		require.Equal(t, strings.TrimPrefix(whole, stand.FullText("x", 10)), got.text())
		require.Empty(t, got.frames[len(got.frames)-1].Result.Text)
		b.close(t)
	})
}

// The caller sees the stage placed again at no risk. The process is paused
// between the decision to send and the sending, here while it dials; when it
// wakes, the time at which the decision was good has passed. Not a byte leaves.
func TestTooLateToSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := stand.NewEngine(stand.EngineConfig{ID: "s1"})
		b := newBench(t, eng)
		late := engine.New(engine.Config{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(500 * time.Millisecond)
			return b.net.Dial(ctx, network, addr)
		}})
		start := startOf(benchURL, shed.KindGenerate)
		start.SendBy = time.Now().Add(300 * time.Millisecond)
		end := late.Call(t.Context(), start, shed.Payload{Input: "x"}, ignore)
		require.Equal(t, shed.EndNotStarted, end.End)
		require.Equal(t, shed.ReasonWoke, end.Reason)
		require.Empty(t, eng.Runs())
		require.NoError(t, late.Close())
		b.close(t)
	})
}

// The caller of a publication sees outcome_unknown. The service runs the call
// and the connection is cut before the answer; net/http repeats requests that
// it takes for idempotent or that fail on a reused connection. Neither may
// happen: the service must have seen the call once.
func TestPlainServiceIsNeverCalledTwice(t *testing.T) {
	svc := stand.NewService(stand.ServiceConfig{})
	url := listen(t, svc)
	e := engine.New(engine.Config{})
	defer func() { require.NoError(t, e.Close()) }()
	for attempt := range uint16(20) {
		start := startOf(url, shed.KindService)
		start.Call.Attempt = attempt + 1
		start.Call.Request = shed.RequestID(rune('a' + attempt))
		fault, want := stand.ServiceOK, shed.EndComplete
		if attempt%2 == 1 {
			fault, want = stand.ServiceAborts, shed.EndBroken
		}
		svc.InjectFaults(fault)
		end := e.Call(t.Context(), start, shed.Payload{Input: "errata"}, ignore)
		require.Equal(t, want, end.End)
	}
	require.Len(t, svc.Runs(), 20)
	require.Empty(t, svc.DuplicateRequests())
}

// The caller of an idempotent stage sees a retry that the daemon counted. The
// server closes the kept connection at the moment when the next call is sent
// on it. net/http would send such a request again by itself if it could rewind
// the body; the server must see each call once.
func TestReusedConnectionIsNotRepeated(t *testing.T) {
	var seen atomic.Int32
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error { return serveOnceThenClose(l, &seen) })
	e := engine.New(engine.Config{})
	start := startOf("http://"+l.Addr().String(), shed.KindEncode)
	end := e.Call(t.Context(), start, shed.Payload{Input: "x"}, ignore)
	require.Equal(t, shed.EndComplete, end.End, end.Reason)
	end = e.Call(t.Context(), start, shed.Payload{Input: "x"}, ignore)
	require.Equal(t, shed.EndBroken, end.End)
	require.NoError(t, l.Close())
	require.ErrorIs(t, group.Wait(), net.ErrClosed)
	require.EqualValues(t, 2, seen.Load())
	require.NoError(t, e.Close())
}

// serveOnceThenClose answers the first request of each connection, and reads
// the second one and closes.
func serveOnceThenClose(l net.Listener, seen *atomic.Int32) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		br := bufio.NewReader(c)
		for i := range 2 {
			req, err := http.ReadRequest(br)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, req.Body)
			seen.Add(1)
			if i == 0 {
				body := `{"data":[{"embedding":[1]}]}`
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n"+body)
			}
		}
		_ = c.Close()
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		status     int
		notRun     bool
		want       shed.CallEnd
		after      time.Duration
	}{
		{"busy", true, 503, true, shed.EndOverloaded, 7 * time.Second},
		{"busy without saying not run", true, 503, false, shed.EndOverloaded, 7 * time.Second},
		{"once, busy", false, 503, true, shed.EndOverloaded, 7 * time.Second},
		{"once, a gateway gave up", false, 503, false, shed.EndError, 0},
		{"once, too many", false, 429, false, shed.EndError, 0},
		{"bad request", false, 400, true, shed.EndNotStarted, 0},
		{"failed", true, 500, false, shed.EndError, 0},
		{"redirect", true, 307, false, shed.EndBadReply, 0},
		{"no content", true, 204, false, shed.EndBadReply, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := listen(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "7")
				w.Header().Set("Location", "/v1/call")
				if c.notRun {
					w.Header().Set(wire.HeaderNotRun, wire.NotRunTrue)
				}
				w.WriteHeader(c.status)
			}))
			e := engine.New(engine.Config{})
			defer func() { require.NoError(t, e.Close()) }()
			start := startOf(url, shed.KindEncode)
			start.Stage.Idempotent = c.idempotent
			end := e.Call(t.Context(), start, shed.Payload{Input: "x"}, ignore)
			require.Equal(t, c.want, end.End)
			require.Equal(t, c.after, end.RetryAfter)
		})
	}
}

// The caller goes away in the middle of a generation. The engine has to stop at
// once and not run on to the end, since its work would be wasted.
func TestCancelStopsTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := stand.NewEngine(stand.EngineConfig{ID: "s1", TokenTime: 50 * time.Millisecond})
		var told atomic.Int32
		b := newBench(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete && r.URL.Path == wire.PathStreams+"q1/0/1" {
				told.Add(1)
			}
			eng.ServeHTTP(w, r)
		}))
		ctx, cancel := context.WithCancel(t.Context())
		end := b.engine.Call(ctx, startOf(benchURL, shed.KindGenerate), shed.Payload{Input: "x"}, func(f shed.Frame) error {
			if f.Sequence == 4 {
				cancel()
			}
			return nil
		})
		require.Equal(t, shed.EndCancelled, end.End)
		require.Equal(t, shed.ReasonCallerGone, end.Reason)
		require.NoError(t, b.engine.Close())
		synctest.Wait()
		require.Zero(t, eng.Running())
		require.EqualValues(t, 1, told.Load())
		b.close(t)
	})
}

// A daemon that can't connect says not_run, and it is true.
func TestNobodyListens(t *testing.T) {
	e := engine.New(engine.Config{Dial: stand.NewNet().Dial})
	end := e.Call(t.Context(), startOf(benchURL, shed.KindService), shed.Payload{}, ignore)
	require.Equal(t, shed.EndNotStarted, end.End)
	require.NoError(t, e.Close())
}

func TestSinkErrorBreaksTheCall(t *testing.T) {
	url := listen(t, stand.NewEngine(stand.EngineConfig{ID: "s1"}))
	e := engine.New(engine.Config{})
	end := e.Call(t.Context(), startOf(url, shed.KindGenerate), shed.Payload{Input: "x"}, func(shed.Frame) error {
		return errors.New("no room")
	})
	require.Equal(t, shed.EndBroken, end.End)
	require.NoError(t, e.Close())
}

func TestControl(t *testing.T) {
	eng := stand.NewEngine(stand.EngineConfig{
		ID: "s1", ChecksFence: true, OrderToken: "sesame", WarmAfter: 3, Model: "m@1",
	})
	url := listen(t, eng)
	e := engine.New(engine.Config{OrderToken: "sesame"})
	defer func() { require.NoError(t, e.Close()) }()
	order := shed.SendOrder{Server: "s1", URL: url, Fence: 5, Model: "m", Version: "2", Role: "decode"}
	ended, err := e.Order(t.Context(), order)
	require.NoError(t, err)
	require.True(t, ended.Done)
	order.Fence = 4
	ended, err = e.Order(t.Context(), order)
	require.NoError(t, err)
	require.True(t, ended.StaleFence)
	report, err := e.Load(t.Context(), url)
	require.NoError(t, err)
	require.Equal(t, shed.LoadReport{Boot: "s1-0", Sequence: 1, Fence: 5, Model: "m@2", Role: "decode"}, report)

	stranger := engine.New(engine.Config{})
	_, err = stranger.Order(t.Context(), order)
	require.ErrorIs(t, err, engine.ErrRefused)
	require.NoError(t, stranger.Close())
}

// The caller's deadline passes in the middle of a generation. The call ends at
// that moment, and so does the work at the engine.
func TestDeadlinePasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := stand.NewEngine(stand.EngineConfig{ID: "s1", TokenTime: 50 * time.Millisecond})
		b := newBench(t, eng)
		start := startOf(benchURL, shed.KindGenerate)
		began := time.Now()
		start.Deadline = began.Add(time.Second)
		end := b.engine.Call(t.Context(), start, shed.Payload{Input: "x"}, ignore)
		require.Equal(t, shed.EndCancelled, end.End)
		require.Equal(t, shed.ReasonDeadline, end.Reason)
		require.Equal(t, time.Second, time.Since(began))
		synctest.Wait()
		require.Zero(t, eng.Running())
		b.close(t)
	})
}

// A call over TLS: the handshake's bytes don't count as the call's, and a
// connection that breaks after the request counts as one that may have run.
func TestOverTLS(t *testing.T) {
	eng := stand.NewEngine(stand.EngineConfig{ID: "s1"})
	var cut atomic.Bool
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			panic(http.ErrAbortHandler)
		}
		eng.ServeHTTP(w, r)
	}))
	defer s.Close()
	e := engine.New(engine.Config{TLS: s.Client().Transport.(*http.Transport).TLSClientConfig})
	defer func() { require.NoError(t, e.Close()) }()
	start := startOf(s.URL, shed.KindEncode)
	end := e.Call(t.Context(), start, shed.Payload{Input: "x"}, ignore)
	require.Equal(t, shed.EndComplete, end.End, end.Reason)
	start.SendBy = time.Now().Add(-time.Second)
	end = e.Call(t.Context(), start, shed.Payload{Input: "x"}, ignore)
	require.Equal(t, shed.EndNotStarted, end.End)
	start.SendBy = time.Time{}
	cut.Store(true)
	end = e.Call(t.Context(), start, shed.Payload{Input: "x"}, ignore)
	require.Equal(t, shed.EndBroken, end.End)
}
