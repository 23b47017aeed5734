package daemon

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/admit"
	"jasmineshed/internal/cost"
	"jasmineshed/internal/flow"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/retry"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// flowDecider decides with a real flow, which has no other knowledge of the servers.
type flowDecider struct {
	script
	flow *flow.Flow
	// ended gets each call whose end the flow has handled.
	ended chan shed.Call
}

func (f *flowDecider) Handle(now time.Time, ev shed.Event) []shed.Action {
	acts := f.flow.Handle(now, ev)
	for more := f.flow.StartNext(now); len(more) > 0; more = f.flow.StartNext(now) {
		acts = append(acts, more...)
	}
	if e, ok := ev.(shed.CallEnded); ok {
		f.ended <- e.Call
	}
	return acts
}

// placements places the n-th call of a stage at its n-th element.
type placements []shed.Placement

func (p placements) Place(_ time.Time, req shed.PlaceRequest) shed.Placement {
	if n := int(req.Call.Attempt); n <= len(p) {
		return p[n-1]
	}
	return shed.Placement{Kind: shed.PlaceWait, Reason: shed.ReasonServersBusy}
}

func at(id shed.ServerID) shed.Placement {
	return shed.Placement{Kind: shed.PlaceLocal, Server: &shed.Server{ID: id, Pool: "p", Capacity: 4}}
}

// fakeServer runs a call and returns how it ended.
type fakeServer func(ctx context.Context, call shed.Call, sink func(shed.Frame) error) shed.CallEnd

// fakeBackend has a fakeServer for each server.
type fakeBackend struct {
	servers map[shed.ServerID]fakeServer
	// started gets each call that is sent.
	started chan shed.Call
}

var errNotFaked = errors.New("not faked")

func (b *fakeBackend) Call(ctx context.Context, a shed.StartCall, _ shed.Payload, sink func(shed.Frame) error) shed.CallEnded {
	b.started <- a.Call
	return shed.CallEnded{End: b.servers[a.Server](ctx, a.Call, sink), Reason: shed.ReasonBroken}
}

func (*fakeBackend) Load(context.Context, string) (shed.LoadReport, error) {
	return shed.LoadReport{}, errNotFaked
}

func (*fakeBackend) Order(context.Context, shed.SendOrder) (shed.OrderEnded, error) {
	return shed.OrderEnded{}, errNotFaked
}

// endsAs ends each call at once.
func endsAs(end shed.CallEnd) fakeServer {
	return func(context.Context, shed.Call, func(shed.Frame) error) shed.CallEnd { return end }
}

// silentAfter streams the first text, is silent until goOn is closed, and then streams the rest.
func silentAfter(first string, goOn <-chan struct{}, rest string) fakeServer {
	return func(ctx context.Context, call shed.Call, sink func(shed.Frame) error) shed.CallEnd {
		last := shed.Frame{Call: call, Text: rest, Tokens: 1, Last: true, Result: &shed.Payload{}}
		var err error
		if first != "" {
			err = sink(shed.Frame{Call: call, Text: first, Tokens: 1})
			last.Sequence = 1
		}
		err = errors.Join(err, sink(shed.Frame{Call: call, Silent: flow.DefaultIdleTimeout}))
		select {
		case <-goOn:
		case <-ctx.Done():
			return shed.EndBroken
		}
		if errors.Join(err, sink(last)) != nil {
			return shed.EndBroken
		}
		return shed.EndComplete
	}
}

// newSilenceDaemon returns a daemon with one generate stage. Its retry budget suffices for all
// placements but the first, and for no further call.
func newSilenceDaemon(t *testing.T, servers map[shed.ServerID]fakeServer, places placements) (*Daemon, *flowDecider, *fakeBackend) {
	f := &flowDecider{ended: make(chan shed.Call, 16), flow: flow.New(flow.Config{
		Placer: places,
		Budget: retry.New(retry.Config{Share: 1e-9, Floor: 1e-9, Burst: float64(len(places) - 1)}),
		Admit:  admit.New(admit.Config{}),
		Ledger: cost.New(cost.Config{}),
	})}
	b := &fakeBackend{servers: servers, started: make(chan shed.Call, 16)}
	d := newScriptedDaemon(t, &f.script)
	d.cfg.Core, d.cfg.Backend = f, b
	rules := d.rules.Load()
	rules.Workspaces["w"].Share = 1
	rules.Pipelines["p"].Stages = []shed.Stage{{
		ID: "write", Kind: shed.KindGenerate, Pool: "p", MinDuration: time.Millisecond, Idempotent: true,
	}}
	f.flow.SetRules(rules)
	return d, f, b
}

// beginStream serves a request. The function that it returns waits for its end, requires that the caller
// has the text whole, and returns how often it was reset.
func beginStream(t *testing.T, d *Daemon) func(want string) (resets int) {
	var answer shed.Answer
	var text string
	var resets int
	var g errgroup.Group
	g.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		answer = d.Serve(ctx, shed.Request{Workspace: "w", Token: "secret", Pipeline: "p"}, func(u shed.Update) {
			if u.Reset {
				text, resets = "", resets+1
			}
			text += u.Text
		})
		return nil
	})
	return func(want string) int {
		require.NoError(t, g.Wait())
		require.Equal(t, shed.OutcomeComplete, answer.Outcome, answer.Reason)
		require.Equal(t, want, answer.Payload.Text)
		require.Equal(t, want, text)
		return resets
	}
}

// waitForAttempt waits until calls has the attempt and the step that sent or ended it is performed.
func waitForAttempt(t *testing.T, d *Daemon, calls <-chan shed.Call, attempt uint16) {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case c := <-calls:
			if c.Attempt == attempt {
				d.mu.Lock()
				defer d.mu.Unlock()
				return
			}
		case <-timeout:
			require.FailNow(t, "no such attempt")
		}
	}
}

// Guards against a request that loses the one of its three silent calls whose server goes on: the
// oldest must not be given up before a replacement is accepted, and the caller gets the text of one
// call only.
func TestOneOfThreeSilentCallsAnswers(t *testing.T) {
	cases := map[string]struct {
		goesOn int
		text   string
		resets int
	}{
		"oldest": {0, "ab", 0},
		"middle": {1, "cd", 1},
		"newest": {2, "ef", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			goOn := []chan struct{}{make(chan struct{}), make(chan struct{}), make(chan struct{})}
			d, _, b := newSilenceDaemon(t, map[shed.ServerID]fakeServer{
				"s1": silentAfter("a", goOn[0], "b"),
				"s2": silentAfter("", goOn[1], "cd"),
				"s3": silentAfter("", goOn[2], "ef"),
			}, placements{at("s1"), at("s2"), at("s3")})
			await := beginStream(t, d)
			waitForAttempt(t, d, b.started, 3)
			close(goOn[c.goesOn])
			require.Equal(t, c.resets, await(c.text))
			require.NoError(t, d.work.Wait())
			require.Empty(t, d.calls)
		})
	}
}

// refusingPeer refuses all forwarded calls.
type refusingPeer struct{ *Daemon }

func (refusingPeer) Stage(_ context.Context, in peers.StageCall, _ func(shed.Frame) error) shed.CallEnded {
	return shed.CallEnded{Call: in.Request.Call, End: shed.EndNotStarted, Reason: shed.ReasonServersBusy}
}

// brokenPeer accepts forwarded calls and then ends them as broken.
type brokenPeer struct{ *Daemon }

func (brokenPeer) Stage(_ context.Context, in peers.StageCall, _ func(shed.Frame) error) shed.CallEnded {
	return shed.CallEnded{Call: in.Request.Call, End: shed.EndBroken, Reason: shed.ReasonBroken}
}

// startPeer runs a peer on loopback until the test ends.
func startPeer(t *testing.T, h peers.Handler) shed.VM {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		_ = peers.NewServer(peers.ServerConfig{Listener: lis, Handler: h}).Serve(ctx)
		return nil
	})
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	return shed.VM(lis.Addr().String())
}

// closingPeer accepts connections and closes them at once, as a peer does that is killed.
func closingPeer(t *testing.T) shed.VM {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := lis.Accept()
			if err != nil {
				return nil //nolint:nilerr // The listener was closed at the end of the test.
			}
			_ = c.Close()
		}
	})
	t.Cleanup(func() {
		require.NoError(t, lis.Close())
		require.NoError(t, g.Wait())
	})
	return shed.VM(lis.Addr().String())
}

// goneVM is an address on which nobody listens.
func goneVM(t *testing.T) shed.VM {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, lis.Close())
	return shed.VM(lis.Addr().String())
}

// Guards against a silent stream that is lost, reset or delivered twice when its replacement fails:
// the server that was silent goes on, and the caller must get the whole of its text.
func TestSilentCallOutlivesItsReplacement(t *testing.T) {
	peer := func(vm shed.VM) shed.Placement { return shed.Placement{Kind: shed.PlacePeer, Peer: vm} }
	cases := map[string]struct {
		server fakeServer
		place  func(t *testing.T) shed.Placement
	}{
		"server refuses":                     {server: endsAs(shed.EndOverloaded)},
		"server errs":                        {server: endsAs(shed.EndError)},
		"connection to the server breaks":    {server: endsAs(shed.EndBroken)},
		"not sent in time":                   {server: endsAs(shed.EndNotStarted)},
		"server ends without a last frame":   {server: endsAs(shed.EndComplete)},
		"peer refuses":                       {place: func(t *testing.T) shed.Placement { return peer(startPeer(t, refusingPeer{})) }},
		"peer's connection to server breaks": {place: func(t *testing.T) shed.Placement { return peer(startPeer(t, brokenPeer{})) }},
		"peer closes the connection":         {place: func(t *testing.T) shed.Placement { return peer(closingPeer(t)) }},
		"peer is gone":                       {place: func(t *testing.T) shed.Placement { return peer(goneVM(t)) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			goOn := make(chan struct{})
			second := at("s2")
			if c.place != nil {
				second = c.place(t)
			}
			d, f, _ := newSilenceDaemon(t, map[shed.ServerID]fakeServer{
				"s1": silentAfter("a", goOn, "b"), "s2": c.server,
			}, placements{at("s1"), second})
			d.cfg.Peers = peers.NewClient(peers.ClientConfig{})
			await := beginStream(t, d)
			waitForAttempt(t, d, f.ended, 2)
			close(goOn)
			require.Zero(t, await("ab"))
			require.NoError(t, d.work.Wait())
			require.Empty(t, d.calls)
			require.NoError(t, d.cfg.Peers.Close())
		})
	}
}
