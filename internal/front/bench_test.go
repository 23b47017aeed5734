package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	shed "jasmineshed"
)

const tokensPerStream = 256

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func tokenSource(tokens int) *fakeServing {
	s := finished(complete)
	s.serve = func(_ context.Context, _ shed.Request, update func(shed.Update)) shed.Answer {
		for range tokens {
			update(shed.Update{Stage: "draft", Text: " token"})
		}
		return shed.Answer{Finish: complete}
	}
	return s
}

// BenchmarkTokens takes the cost of one streamed token in the front alone: the
// writer drops what it gets.
func BenchmarkTokens(b *testing.B) {
	f := newTestFront(tokenSource(tokensPerStream), nil)
	b.ReportAllocs()
	for b.Loop() {
		f.handler.ServeHTTP(dropWriter{http.Header{}}, newCall("POST", streamPath, `{"input":"x"}`))
	}
	b.ReportMetric(float64(b.N)*tokensPerStream/b.Elapsed().Seconds(), "tokens/s")
}

// dropWriter keeps nothing, as httptest.ResponseRecorder would.
type dropWriter struct{ header http.Header }

func (w dropWriter) Header() http.Header         { return w.header }
func (w dropWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w dropWriter) WriteHeader(int)             {}
func (w dropWriter) Flush()                      {}

// BenchmarkStreams takes whole streams over loopback TCP, with net/http and the
// kernel's part. The reader is a plain loop in the same process, and its work
// is in the figure too.
func BenchmarkStreams(b *testing.B) {
	addr := loopback(b, tokenSource(tokensPerStream))
	var tokens atomic.Int64
	cpu := cpuTime()
	b.RunParallel(func(pb *testing.PB) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		r := bufio.NewReaderSize(conn, 64<<10)
		for pb.Next() {
			if err := newCall("POST", streamPath, `{"input":"x"}`).Write(conn); err != nil {
				panic(err)
			}
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				panic(err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
			tokens.Add(tokensPerStream)
		}
	})
	b.ReportMetric(float64(tokens.Load())/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(tokens.Load())/(cpuTime()-cpu).Seconds(), "tokens/cpu-s")
}

func loopback(tb testing.TB, s shed.Serving) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	f := newTestFront(s, func(cfg *Config) {
		cfg.Listener = l
		cfg.DrainTimeout = time.Second
	})
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return f.Serve(ctx) })
	tb.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return l.Addr().String()
}

// BenchmarkOpenStreams takes the memory that one open stream holds, the
// caller's socket included, since it is in the same process.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 2000
	var hold chan struct{}
	s := finished(complete)
	s.serve = func(_ context.Context, _ shed.Request, update func(shed.Update)) shed.Answer {
		update(shed.Update{Stage: "draft", Text: " token"})
		<-hold
		return shed.Answer{Finish: complete}
	}
	addr := loopback(b, s)
	var heap, stack float64
	// Only the first round tells: later ones use what it left behind, so this
	// is run with -benchtime 1x.
	for b.Loop() {
		hold = make(chan struct{})
		before := inUse()
		conns := make([]net.Conn, 0, streams)
		for range streams {
			conn, err := net.Dial("tcp", addr)
			require.NoError(b, err)
			require.NoError(b, newCall("POST", streamPath, `{"input":"x"}`).Write(conn))
			readUntil(b, conn, " token")
			conns = append(conns, conn)
		}
		after := inUse()
		heap = float64(after.HeapInuse-before.HeapInuse) / streams
		stack = float64(after.StackInuse-before.StackInuse) / streams
		close(hold)
		for _, conn := range conns {
			readUntil(b, conn, "0\r\n\r\n")
			require.NoError(b, conn.Close())
		}
	}
	b.ReportMetric(heap, "heap-B/stream")
	b.ReportMetric(stack, "stack-B/stream")
}

func readUntil(b *testing.B, conn net.Conn, end string) {
	buf := make([]byte, 1024)
	text := ""
	for !strings.Contains(text, end) {
		n, err := conn.Read(buf)
		require.NoError(b, err)
		text += string(buf[:n])
	}
}

func inUse() runtime.MemStats {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m
}
