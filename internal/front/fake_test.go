package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	shed "jasmineshed"
	"jasmineshed/internal/prefs"
)

// fakeServing answers as the test says and counts what reached it.
type fakeServing struct {
	serve  func(ctx context.Context, req shed.Request, update func(shed.Update)) shed.Answer
	issue  func(req shed.Request) (shed.Ticket, *shed.Finish)
	result func(req shed.Request) shed.Answer
	ready  bool
	mu     sync.Mutex
	seen   []shed.Request
}

func (f *fakeServing) note(req shed.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = append(f.seen, req)
}

func (f *fakeServing) Serve(ctx context.Context, req shed.Request, update func(shed.Update)) shed.Answer {
	f.note(req)
	return f.serve(ctx, req, update)
}

func (f *fakeServing) Issue(_ context.Context, req shed.Request) (shed.Ticket, *shed.Finish) {
	f.note(req)
	return f.issue(req)
}

func (f *fakeServing) Result(_ context.Context, req shed.Request) shed.Answer {
	f.note(req)
	return f.result(req)
}

func (f *fakeServing) Ready() bool { return f.ready }

func finished(fin shed.Finish) *fakeServing {
	return &fakeServing{
		ready:  true,
		serve:  func(context.Context, shed.Request, func(shed.Update)) shed.Answer { return shed.Answer{Finish: fin} },
		issue:  func(shed.Request) (shed.Ticket, *shed.Finish) { return shed.Ticket{}, &fin },
		result: func(shed.Request) shed.Answer { return shed.Answer{Finish: fin} },
	}
}

var complete = shed.Finish{Request: "r1", Outcome: shed.OutcomeComplete}

func quiet() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func newTestFront(s shed.Serving, change func(*Config)) *Front {
	cfg := Config{
		Serving:      s,
		Limits:       prefs.Defaults().Limits,
		DrainTimeout: time.Minute,
		Log:          quiet(),
	}
	if change != nil {
		change(&cfg)
	}
	return New(cfg)
}

// pipes is a listener in memory, so that a synctest bubble can hold both ends.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipes() *pipes {
	return &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// running is a Front that serves over pipes.
type running struct {
	pipes  *pipes
	client *http.Client
	stop   context.CancelFunc
	group  errgroup.Group
}

func run(t *testing.T, s shed.Serving, change func(*Config)) *running {
	r := &running{pipes: newPipes()}
	f := newTestFront(s, func(cfg *Config) {
		cfg.Listener = r.pipes
		if change != nil {
			change(cfg)
		}
	})
	transport := &http.Transport{DialContext: r.pipes.dial}
	r.client = &http.Client{Transport: transport}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.group.Go(func() error { return f.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		transport.CloseIdleConnections()
		require.NoError(t, r.group.Wait())
	})
	return r
}

func newCall(method, path, body string) *http.Request {
	req, err := http.NewRequest(method, "http://front"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("X-Workspace", "weer")
	req.Header.Set("Authorization", "Bearer secret")
	return req
}
