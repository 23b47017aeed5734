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

// fixture is an Engine with one server on an in-memory network.
type fixture struct {
	net    *stand.Net
	engine *engine.Engine
	server *stand.Server
}

const serverURL = "http://server:1"

func newFixture(t *testing.T, h http.Handler) *fixture {
	t.Helper()
	n := stand.NewNet()
	l, err := n.Listen("server:1")
	require.NoError(t, err)
	return &fixture{
		net:    n,
		engine: engine.New(engine.Config{Dial: n.Dial}),
		server: stand.ServeOn(l, h),
	}
}

func (b *fixture) close(t *testing.T) {
	t.Helper()
	require.NoError(t, b.engine.Close())
	require.NoError(t, b.server.Close())
}

func ignoreFrame(shed.Frame) error { return nil }

// A server's connection is blackholed after some tokens: writes to it still succeed, and it
// never ends. Only the missing progress shows the failure. The call must end as broken, so
// that the stage is retried elsewhere, and the connection must not be reused.
func TestSilentConnectionIsBrokenAndNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := stand.NewEngine(stand.EngineConfig{ID: "s1", TokenTime: 50 * time.Millisecond})
		b := newFixture(t, eng)
		start := newStartCall(serverURL, shed.KindGenerate)
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
		var got frameCollector
		end = b.engine.Call(t.Context(), start, shed.Payload{Input: "x", MaxTokens: 40}, got.add)
		require.Equal(t, shed.EndComplete, end.End, end.Reason)
		full := stand.FullText("x", 40)
		require.Equal(t, strings.TrimPrefix(full, stand.FullText("x", 10)), got.text())
		require.Empty(t, got.frames[len(got.frames)-1].Result.Text)
		b.close(t)
	})
}

// The process is paused between the decision to send and the sending, here while it dials, and
// resumes after the send deadline. Not a byte may be sent, so that the stage can safely be
// placed again.
func TestTooLateToSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := stand.NewEngine(stand.EngineConfig{ID: "s1"})
		b := newFixture(t, eng)
		late := engine.New(engine.Config{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(500 * time.Millisecond)
			return b.net.Dial(ctx, network, addr)
		}})
		start := newStartCall(serverURL, shed.KindGenerate)
		start.SendBy = time.Now().Add(300 * time.Millisecond)
		end := late.Call(t.Context(), start, shed.Payload{Input: "x"}, ignoreFrame)
		require.Equal(t, shed.EndNotStarted, end.End)
		require.Equal(t, shed.ReasonPaused, end.Reason)
		require.Empty(t, eng.Runs())
		require.NoError(t, late.Close())
		b.close(t)
	})
}

// A plain service runs the call and the connection breaks before the answer, so that the
// caller gets outcome_unknown. net/http retries requests that it considers idempotent or that
// fail on a reused connection. The service must see each call once.
func TestPlainServiceIsNeverCalledTwice(t *testing.T) {
	svc := stand.NewService(stand.ServiceConfig{})
	url := serve(t, svc)
	e := engine.New(engine.Config{})
	defer func() { require.NoError(t, e.Close()) }()
	for attempt := range uint16(20) {
		start := newStartCall(url, shed.KindService)
		start.Call.Attempt = attempt + 1
		start.Call.Request = shed.RequestID(rune('a' + attempt))
		fault, want := stand.ServiceOK, shed.EndComplete
		if attempt%2 == 1 {
			fault, want = stand.ServiceAborts, shed.EndBroken
		}
		svc.InjectFaults(fault)
		end := e.Call(t.Context(), start, shed.Payload{Input: "errata"}, ignoreFrame)
		require.Equal(t, want, end.End)
	}
	require.Len(t, svc.Runs(), 20)
	require.Empty(t, svc.DuplicateRequests())
}

// The server closes a kept connection at the moment when the next call is sent on it. net/http
// would resend an idempotent request by itself, without the daemon counting a retry, if it
// could rewind the body; the server must see each call once.
func TestReusedConnectionIsNotRetried(t *testing.T) {
	var seen atomic.Int32
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error { return serveOnceThenClose(l, &seen) })
	e := engine.New(engine.Config{})
	start := newStartCall("http://"+l.Addr().String(), shed.KindEncode)
	end := e.Call(t.Context(), start, shed.Payload{Input: "x"}, ignoreFrame)
	require.Equal(t, shed.EndComplete, end.End, end.Reason)
	end = e.Call(t.Context(), start, shed.Payload{Input: "x"}, ignoreFrame)
	require.Equal(t, shed.EndBroken, end.End)
	require.NoError(t, l.Close())
	require.ErrorIs(t, group.Wait(), net.ErrClosed)
	require.EqualValues(t, 2, seen.Load())
	require.NoError(t, e.Close())
}

// serveOnceThenClose answers the first request of each connection, then reads the second one
// and closes the connection.
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
			url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "7")
				w.Header().Set("Location", "/v1/call")
				if c.notRun {
					w.Header().Set(wire.HeaderNotRun, wire.NotRunTrue)
				}
				w.WriteHeader(c.status)
			}))
			e := engine.New(engine.Config{})
			defer func() { require.NoError(t, e.Close()) }()
			start := newStartCall(url, shed.KindEncode)
			start.Stage.Idempotent = c.idempotent
			end := e.Call(t.Context(), start, shed.Payload{Input: "x"}, ignoreFrame)
			require.Equal(t, c.want, end.End)
			require.Equal(t, c.after, end.RetryAfter)
		})
	}
}

// The caller disconnects in the middle of a generation. The engine must stop at once instead
// of wasting work until the end.
func TestCancelStopsTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := stand.NewEngine(stand.EngineConfig{ID: "s1", TokenTime: 50 * time.Millisecond})
		var cancels atomic.Int32
		b := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete && r.URL.Path == wire.PathStreams+"q1/0/1" {
				cancels.Add(1)
			}
			eng.ServeHTTP(w, r)
		}))
		ctx, cancel := context.WithCancel(t.Context())
		end := b.engine.Call(ctx, newStartCall(serverURL, shed.KindGenerate), shed.Payload{Input: "x"}, func(f shed.Frame) error {
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
		require.EqualValues(t, 1, cancels.Load())
		b.close(t)
	})
}

// A daemon that can't connect reports the call as not started.
func TestNobodyListens(t *testing.T) {
	e := engine.New(engine.Config{Dial: stand.NewNet().Dial})
	end := e.Call(t.Context(), newStartCall(serverURL, shed.KindService), shed.Payload{}, ignoreFrame)
	require.Equal(t, shed.EndNotStarted, end.End)
	require.NoError(t, e.Close())
}

func TestSinkErrorBreaksTheCall(t *testing.T) {
	url := serve(t, stand.NewEngine(stand.EngineConfig{ID: "s1"}))
	e := engine.New(engine.Config{})
	end := e.Call(t.Context(), newStartCall(url, shed.KindGenerate), shed.Payload{Input: "x"}, func(shed.Frame) error {
		return errors.New("no room")
	})
	require.Equal(t, shed.EndBroken, end.End)
	require.NoError(t, e.Close())
}

func TestControl(t *testing.T) {
	eng := stand.NewEngine(stand.EngineConfig{
		ID: "s1", ChecksFence: true, OrderToken: "sesame", WarmAfter: 3, Model: "m@1",
	})
	url := serve(t, eng)
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

	foreign := engine.New(engine.Config{})
	_, err = foreign.Order(t.Context(), order)
	require.ErrorIs(t, err, engine.ErrRefused)
	require.NoError(t, foreign.Close())
}

// The caller's deadline passes in the middle of a generation. The call ends at that moment,
// and so does the engine's work.
func TestDeadlinePasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := stand.NewEngine(stand.EngineConfig{ID: "s1", TokenTime: 50 * time.Millisecond})
		b := newFixture(t, eng)
		start := newStartCall(serverURL, shed.KindGenerate)
		began := time.Now()
		start.Deadline = began.Add(time.Second)
		end := b.engine.Call(t.Context(), start, shed.Payload{Input: "x"}, ignoreFrame)
		require.Equal(t, shed.EndCancelled, end.End)
		require.Equal(t, shed.ReasonDeadline, end.Reason)
		require.Equal(t, time.Second, time.Since(began))
		synctest.Wait()
		require.Zero(t, eng.Running())
		b.close(t)
	})
}

// Over TLS, the handshake's bytes don't count as the call's, and a connection that breaks
// after the request counts as one that may have run.
func TestOverTLS(t *testing.T) {
	eng := stand.NewEngine(stand.EngineConfig{ID: "s1"})
	var abort atomic.Bool
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if abort.Load() {
			panic(http.ErrAbortHandler)
		}
		eng.ServeHTTP(w, r)
	}))
	defer s.Close()
	e := engine.New(engine.Config{TLS: s.Client().Transport.(*http.Transport).TLSClientConfig})
	defer func() { require.NoError(t, e.Close()) }()
	start := newStartCall(s.URL, shed.KindEncode)
	end := e.Call(t.Context(), start, shed.Payload{Input: "x"}, ignoreFrame)
	require.Equal(t, shed.EndComplete, end.End, end.Reason)
	start.SendBy = time.Now().Add(-time.Second)
	end = e.Call(t.Context(), start, shed.Payload{Input: "x"}, ignoreFrame)
	require.Equal(t, shed.EndNotStarted, end.End)
	start.SendBy = time.Time{}
	abort.Store(true)
	end = e.Call(t.Context(), start, shed.Payload{Input: "x"}, ignoreFrame)
	require.Equal(t, shed.EndBroken, end.End)
}

// Guards against a silent call that is cancelled although its server goes on: with ReportSilence the
// engine only reports the silence, after the idle timeout and then every shed.SilenceEvery, and the
// call completes.
func TestSilenceIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, stand.NewEngine(stand.EngineConfig{ID: "s1", CallTime: 3200 * time.Millisecond}))
		start := newStartCall(serverURL, shed.KindEncode)
		start.IdleTimeout, start.ReportSilence = 2*time.Second, true
		var silences []time.Duration
		var got frameCollector
		end := b.engine.Call(t.Context(), start, shed.Payload{Input: "x"}, func(f shed.Frame) error {
			if f.Silent > 0 {
				silences = append(silences, f.Silent)
				return nil
			}
			return got.add(f)
		})
		require.Equal(t, shed.EndComplete, end.End, end.Reason)
		require.Equal(t, stand.Vector("x"), got.frames[len(got.frames)-1].Result.Vector)
		require.Equal(t, []time.Duration{2 * time.Second, 2500 * time.Millisecond, 3 * time.Second}, silences)
		b.close(t)
	})
}

// Guards against a replaced call that counts as cancelled: its work may still run, so it must end as
// broken, and at once.
func TestReplacedCallEndsAsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := stand.NewEngine(stand.EngineConfig{ID: "s1", TokenTime: 50 * time.Millisecond})
		b := newFixture(t, eng)
		start := newStartCall(serverURL, shed.KindGenerate)
		start.IdleTimeout, start.ReportSilence = 2*time.Second, true
		ctx, cancel := context.WithCancelCause(t.Context())
		began := time.Now()
		end := b.engine.Call(ctx, start, shed.Payload{Input: "x", MaxTokens: 40}, func(f shed.Frame) error {
			if f.Sequence == 9 {
				b.net.Blackhole()
			}
			if f.Silent > 0 {
				cancel(shed.ErrReplaced)
			}
			return nil
		})
		require.Equal(t, shed.EndBroken, end.End)
		require.Equal(t, shed.ReasonSilent, end.Reason)
		require.EqualValues(t, 10, end.Tokens)
		require.Equal(t, 2500*time.Millisecond, time.Since(began))
		b.close(t)
	})
}
