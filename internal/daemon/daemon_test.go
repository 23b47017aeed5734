package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"testing"
	"time"

	shed "jasmineshed"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// script is a Decider that answers each RequestArrived with the next list of actions.
type script struct {
	arrived chan struct{}
	acts    [][]shed.Action
	// home is the home of each ticket; zero is this process.
	home shed.Home
}

func (s *script) Handle(_ time.Time, ev shed.Event) []shed.Action {
	if _, ok := ev.(shed.RequestArrived); !ok {
		return nil
	}
	acts := s.acts[0]
	s.acts = s.acts[1:]
	s.arrived <- struct{}{}
	return acts
}

func (s *script) Issue(time.Time, shed.WorkspaceID, shed.PipelineID, [16]byte) (shed.Ticket, *shed.Finish) {
	return shed.Ticket{}, nil
}
func (s *script) Locate(shed.RequestID) shed.Home {
	if s.home == (shed.Home{}) {
		return shed.Home{Self: true}
	}
	return s.home
}
func (s *script) Lookup(time.Time, shed.RequestID, shed.WorkspaceID) (shed.Finish, bool) {
	return shed.Finish{}, false
}
func (s *script) Status(time.Time) any { return nil }

func newScriptedDaemon(t *testing.T, s *script) *Daemon {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := New(Config{Core: s, Log: log})
	sum := sha256.Sum256([]byte("secret"))
	d.rules.Store(&shed.Rules{
		Workspaces: map[shed.WorkspaceID]*shed.Workspace{"w": {ID: "w", TokenHash: hex.EncodeToString(sum[:])}},
		Pipelines:  map[shed.PipelineID]*shed.Pipeline{"p": {ID: "p", Deadline: time.Minute}},
	})
	return d
}

func ticketed(id shed.RequestID) shed.Request {
	return shed.Request{ID: id, Workspace: "w", Token: "secret", Pipeline: "p"}
}

// A caller retries request one. The step that joins the retry to the first call
// also refuses a queued request two and ends request one. Each answer must go to
// its own request: two's caller gets the refusal, and the retry gets the same
// answer as the first call.
func TestRetryGetsNobodyElsesAnswer(t *testing.T) {
	s := &script{arrived: make(chan struct{}, 3), acts: [][]shed.Action{nil, nil, {
		shed.JoinRequest{Request: "one"},
		shed.Finish{Request: "two", Outcome: shed.OutcomeNotRun, Reason: shed.ReasonServersBusy},
		shed.Finish{Request: "one", Outcome: shed.OutcomeComplete},
	}}}
	d := newScriptedDaemon(t, s)
	var answers [3]shed.Answer
	var g errgroup.Group
	for i, id := range []shed.RequestID{"one", "two", "one"} {
		g.Go(func() error {
			answers[i] = d.Serve(context.Background(), ticketed(id), nil)
			return nil
		})
		<-s.arrived
	}
	require.NoError(t, g.Wait())
	require.Equal(t, shed.OutcomeComplete, answers[0].Outcome)
	require.Equal(t, shed.OutcomeNotRun, answers[1].Outcome)
	require.Equal(t, shed.RequestID("two"), answers[1].Request)
	require.Equal(t, shed.OutcomeComplete, answers[2].Outcome)
	require.Equal(t, shed.RequestID("one"), answers[2].Request)
}

// The core refuses a retry of a request that still runs. The first call's run must
// go on, and the retry's answer must not claim that nothing ran.
func TestRefusedRetryLeavesTheFirstAlone(t *testing.T) {
	s := &script{arrived: make(chan struct{}, 2), acts: [][]shed.Action{nil, {
		shed.Finish{Request: "one", Outcome: shed.OutcomeUnknown, Reason: shed.ReasonTicketUnknown},
	}}}
	d := newScriptedDaemon(t, s)
	var first shed.Answer
	var g errgroup.Group
	g.Go(func() error {
		first = d.Serve(context.Background(), ticketed("one"), nil)
		return nil
	})
	<-s.arrived
	retry := d.Serve(context.Background(), ticketed("one"), nil)
	require.Equal(t, shed.OutcomeUnknown, retry.Outcome)
	d.mu.Lock()
	d.perform([]shed.Action{shed.Finish{Request: "one", Outcome: shed.OutcomeComplete}})
	d.mu.Unlock()
	require.NoError(t, g.Wait())
	require.Equal(t, shed.OutcomeComplete, first.Outcome)
}

// A wrong token, an unknown workspace and an unknown pipeline are refused before
// the request reaches the core.
func TestStrangersAreRefused(t *testing.T) {
	d := newScriptedDaemon(t, &script{})
	for name, c := range map[string]struct {
		req  shed.Request
		want shed.Reason
	}{
		"wrong token":       {shed.Request{Workspace: "w", Token: "x", Pipeline: "p"}, shed.ReasonUnknownWorkspace},
		"unknown workspace": {shed.Request{Workspace: "v", Token: "secret", Pipeline: "p"}, shed.ReasonUnknownWorkspace},
		"unknown pipeline":  {shed.Request{Workspace: "w", Token: "secret", Pipeline: "q"}, shed.ReasonUnknownPipeline},
	} {
		t.Run(name, func(t *testing.T) {
			got := d.Serve(context.Background(), c.req, nil)
			require.Equal(t, shed.OutcomeNotRun, got.Outcome)
			require.Equal(t, c.want, got.Reason)
		})
	}
}
