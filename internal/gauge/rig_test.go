package gauge

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/rules"
	"jasmineshed/internal/stand"
)

func TestRulesOfScenariosAreAccepted(t *testing.T) {
	s, err := ParseScenario([]byte(tiny))
	require.NoError(t, err)
	text := s.RulesText()
	_, faults := rules.Parse(text, 1)
	require.Empty(t, faults)
}

// A small real fleet, once through: the answers are right part for part, and
// the events of a scenario can be made to happen.
func TestRigPlaysAScenario(t *testing.T) {
	s := Scenario{
		Name: "rig", Seed: 3, Duration: 2 * time.Second, Rate: 20, Policy: "affinity", Tokens: 8,
		Fleet: FleetSize{
			Zones: 2, Daemons: 1, Drafters: 2, OtherServers: 1, Capacity: 8, ColdCapacity: 2, WarmAfter: 5,
			TokenTime: time.Millisecond, CallTime: time.Millisecond,
		},
		Pipelines:  []Share{{"caption", 1}, {"publish", 1}, {"lookup", 1}, {"rewrite", 1}},
		Workspaces: []Share{{"noord", 1}},
		Events: []Event{
			{Name: "out", At: 300 * time.Millisecond, Kind: EventZoneClosed, Target: "nl-west-b"},
			{Name: "back", At: 600 * time.Millisecond, Kind: EventZoneReopened, Target: "nl-west-b"},
			{Name: "leave", At: 700 * time.Millisecond, Kind: EventSupplierLeaving, Target: supplierOther},
			{Name: "cut", At: 800 * time.Millisecond, Kind: EventZonePartitioned, Target: "nl-west-b"},
			{Name: "heal", At: 900 * time.Millisecond, Kind: EventZoneHealed, Target: "nl-west-b"},
			{Name: "down", At: time.Second, Kind: EventPlatformDown},
			{Name: "up", At: 1100 * time.Millisecond, Kind: EventPlatformUp},
			{Name: "slow", At: 1200 * time.Millisecond, Kind: EventServerSlow, Target: "gen-a-1"},
			{Name: "well", At: 1300 * time.Millisecond, Kind: EventServerNormal, Target: "gen-a-1"},
			{Name: "cold", At: 1400 * time.Millisecond, Kind: EventServerCold, Target: "gen-a-1"},
		},
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	rig, err := NewRig(ctx, s, io.Discard)
	require.NoError(t, err)
	defer rig.Close()
	result, err := RunScenario(ctx, s, rig, io.Discard)
	require.NoError(t, err)
	report := result.Report(rig.Rules())
	require.Len(t, result.Events, len(s.Events))
	require.Zero(t, report.Windows[0].Counts[Wrong])
	require.NotZero(t, report.Windows[0].Counts[Attained])
	require.Zero(t, report.Safety.DuplicateRequests)
	require.ErrorIs(t, rig.ApplyEvent(ctx, Event{Kind: EventZoneClosed, Target: "nowhere"}), errEvent)
	require.ErrorIs(t, rig.ApplyEvent(ctx, Event{Kind: EventServerCold, Target: "nothing"}), errEvent)
}

// A zone is cut off: what is open goes silent in both directions, new links
// can't be opened, and links within a zone go on.
func TestCutter(t *testing.T) {
	h := stand.NewPlatform(stand.PlatformConfig{})
	server, err := stand.Listen("127.0.0.1:0", h)
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	vm := shed.VM(server.Addr())
	c := newCutter()
	c.place(vm, "b")
	far, err := c.peer("a")(t.Context(), vm)
	require.NoError(t, err)
	near, err := c.peer("b")(t.Context(), vm)
	require.NoError(t, err)
	c.set("b", true)
	const question = "GET /v1/vms HTTP/1.1\r\nHost: x\r\n\r\n"
	require.Error(t, exchange(far, question))
	require.NoError(t, exchange(near, question))
	_, err = c.peer("a")(t.Context(), vm)
	require.ErrorIs(t, err, errCut)
	_, err = c.platform("b")(t.Context(), "tcp", server.Addr())
	require.ErrorIs(t, err, errCut)
	c.set("b", false)
	again, err := c.peer("a")(t.Context(), vm)
	require.NoError(t, err)
	require.NoError(t, exchange(again, question))
	for _, conn := range []net.Conn{far, near, again} {
		require.NoError(t, conn.Close())
	}
}

func exchange(c net.Conn, question string) error {
	_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := c.Write([]byte(question)); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}
