package oper

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	shed "jasmineshed"
	"jasmineshed/internal/prefs"
)

type fixedStatus struct{ status any }

func (b fixedStatus) Status() any { return b.status }

func (b fixedStatus) Explain(id shed.RequestID) (any, bool) {
	return []string{"arrived"}, id == "r1"
}

func newTestOper(status any, profile bool, l net.Listener) *Oper {
	log := logrus.New()
	log.SetOutput(io.Discard)
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "requests 1\n")
	})
	return New(Config{
		Listener:  l,
		Status:    fixedStatus{status},
		Explainer: fixedStatus{},
		Metrics:   metrics,
		Limits:    prefs.Defaults().Limits,
		Profile:   profile,
		Log:       log,
	})
}

func TestPaths(t *testing.T) {
	plain := newTestOper(map[string]int{"revision": 7}, false, nil)
	profiled := newTestOper(nil, true, nil)
	unfit := newTestOper(func() {}, false, nil)
	cases := []struct {
		name string
		oper *Oper
		path string
		code int
		body string
	}{
		{"health", plain, "/healthz", 200, `"status": "live"`},
		{"status", plain, "/status", 200, `"revision": 7`},
		{"status that JSON can't take", unfit, "/status", 500, ""},
		{"metrics", plain, "/metrics", 200, "requests 1"},
		{"explain", plain, "/explain/r1", 200, `"arrived"`},
		{"explain what is forgotten", plain, "/explain/r2", 404, "remembers nothing"},
		{"explain an odd id", plain, "/explain/a%20b", 400, "not the id"},
		{"no profile unless set", plain, "/debug/pprof/", 404, ""},
		{"profile", profiled, "/debug/pprof/", 200, "goroutine"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			tc.oper.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, tc.path, nil))
			require.Equal(t, tc.code, w.Code)
			require.Contains(t, w.Body.String(), tc.body)
		})
	}
}

func TestServeEndsWithItsContext(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	o := newTestOper(nil, false, l)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return o.Serve(ctx) })
	res, err := http.Get("http://" + l.Addr().String() + "/healthz")
	require.NoError(t, err)
	require.Equal(t, 200, res.StatusCode)
	require.NoError(t, res.Body.Close())
	cancel()
	require.NoError(t, g.Wait())
}
