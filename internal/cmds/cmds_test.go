package cmds

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	shed "jasmineshed"
	"jasmineshed/internal/front"
	"jasmineshed/internal/prefs"
)

// fleet answers as the test says.
type fleet struct {
	updates []shed.Update
	answer  shed.Answer
	seen    shed.Request
}

func (f *fleet) Serve(_ context.Context, req shed.Request, update func(shed.Update)) shed.Answer {
	f.seen = req
	for _, u := range f.updates {
		if update != nil {
			update(u)
		}
	}
	return f.answer
}

func (f *fleet) Issue(context.Context, shed.Request) (shed.Ticket, *shed.Finish) {
	return shed.Ticket{ID: "t-1", Expires: time.Now().Add(time.Hour)}, nil
}

func (f *fleet) Result(context.Context, shed.Request) shed.Answer { return f.answer }

func (f *fleet) Ready() bool { return true }

// start serves the fleet at a loopback address and gives its URL.
func (f *fleet) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := front.New(front.Config{
		Listener:     l,
		Serving:      f,
		Limits:       prefs.Defaults().Limits,
		DrainTimeout: time.Second,
		Log:          log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return server.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	return "http://" + l.Addr().String()
}

// execute runs one command line and gives what it printed.
func execute(in string, terminal bool, args ...string) (out, errs string, err error) {
	var o, e bytes.Buffer
	d := &Deps{
		Out:      &o,
		Err:      &e,
		In:       strings.NewReader(in),
		Terminal: terminal,
		Now:      func() time.Time { return time.Unix(0, 0) },
		Version:  "1.2.3",
	}
	root := NewRoot(d)
	root.SetArgs(args)
	err = root.ExecuteContext(context.Background())
	return o.String(), e.String(), err
}

var draft = shed.StageReport{
	Stage: "draft", Server: "gen-1", Zone: "nl-west-a", Attempts: 2, Ran: true,
	Took: 81500 * time.Microsecond, Tokens: 3, Useful: 20, Wasted: 7,
}

func drafted() *fleet {
	return &fleet{
		updates: []shed.Update{
			{Stage: "draft", Text: "Storm"},
			{Stage: "draft", Reset: true},
			{Stage: "draft", Text: "Wind "},
			{Stage: "draft", Text: "soon."},
			{Stage: "draft", Done: &draft},
		},
		answer: shed.Answer{
			Finish:  shed.Finish{Request: "r1", Outcome: shed.OutcomeComplete, Stages: []shed.StageReport{draft}},
			Payload: shed.Payload{Text: "Wind soon."},
			Trace:   "0af7651916cd43dd8448eb211c80319c",
		},
	}
}

func TestRequest(t *testing.T) {
	t.Setenv(tokenVariable, "secret")
	cases := []struct {
		name     string
		terminal bool
		args     []string
	}{
		{"request_terminal", true, nil},
		{"request_pipe", false, nil},
		{"request_quiet", true, []string{"--quiet"}},
		{"request_once", true, []string{"--once"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := drafted()
			args := append([]string{"request", "caption", "--workspace", "weer", "--url", f.start(t)}, tc.args...)
			out, errs, err := execute("storm at sea\n", tc.terminal, args...)
			require.NoError(t, err, errs)
			goldie.New(t).Assert(t, tc.name, []byte("== out\n"+out+"== err\n"+errs))
			require.Equal(t, "storm at sea", f.seen.Payload.Input)
			require.Equal(t, "secret", f.seen.Token)
		})
	}
}

func TestRefusedRequest(t *testing.T) {
	f := &fleet{answer: shed.Answer{Finish: shed.Finish{
		Request: "r1",
		Outcome: shed.OutcomeNotRun,
		Reason:  shed.ReasonNotAllowed,
		Rule:    shed.Origin{Line: 12, RequestedBy: "the board, May"},
	}}}
	_, errs, err := execute("", true, "request", "caption", "x", "--workspace", "weer", "--url", f.start(t))
	require.EqualError(t, err, "not_run (pipeline_not_allowed): The rules don't let this workspace run this pipeline.")
	require.Contains(t, errs, "rule on line 12, asked for by the board, May")
}

func TestSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.ini")
	require.NoError(t, os.WriteFile(path, []byte("[node]\nzone = nl-west-a\n"), 0o600))
	out, _, err := execute("", false, "settings", "show", "--settings", path)
	require.NoError(t, err)
	require.Contains(t, out, "zone = nl-west-a\n")

	out, _, err = execute("", false, "settings", "check", path)
	require.NoError(t, err)
	require.Equal(t, "settings are right\n", out)

	require.NoError(t, os.WriteFile(path, []byte("[node]\nzone = a b\nx = 1\n"), 0o600))
	_, _, err = execute("", false, "settings", "check", path)
	require.ErrorContains(t, err, "[node] zone:")
	require.ErrorContains(t, err, "[node] x: unknown key")

	out, _, err = execute("", false, "settings", "docs")
	require.NoError(t, err)
	require.Contains(t, out, "# Settings of a daemon")
}

func TestStatusAndExplain(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.EscapedPath() == "/explain/a%2Fb" {
			w.WriteHeader(http.StatusBadRequest)
		}
		_, _ = io.WriteString(w, r.URL.Path+"\n")
	}))
	defer server.Close()
	out, _, err := execute("", false, "status", "--operators", server.URL)
	require.NoError(t, err)
	require.Equal(t, "/status\n", out)
	out, _, err = execute("", false, "explain", "r1", "--operators", server.URL)
	require.NoError(t, err)
	require.Equal(t, "/explain/r1\n", out)
	_, _, err = execute("", false, "explain", "a/b", "--operators", server.URL)
	require.EqualError(t, err, "the daemon says 400 Bad Request")
}

func TestVersion(t *testing.T) {
	out, _, err := execute("", false, "version")
	require.NoError(t, err)
	require.Equal(t, "jasmineshed 1.2.3\n", out)
}
