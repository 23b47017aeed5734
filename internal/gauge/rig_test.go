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
	s, err := ParseScenario([]byte(tinyScenario))
	require.NoError(t, err)
	text := s.RulesText()
	_, faults := rules.Parse(text, 1)
	require.Empty(t, faults)
}

// Runs a scenario with an event of every kind but a rolling restart against a small real
// fleet. No answer may be wrong, and no request may run twice at a plain service.
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
	require.ErrorIs(t, rig.ApplyEvent(ctx, Event{Kind: EventZoneClosed, Target: "nowhere"}), errUnknownTarget)
	require.ErrorIs(t, rig.ApplyEvent(ctx, Event{Kind: EventServerCold, Target: "nothing"}), errUnknownTarget)
}

// During a partition of a zone its open connections to others drop all traffic, new ones
// can't be opened, and connections within the zone work.
func TestCutter(t *testing.T) {
	h := stand.NewPlatform(stand.PlatformConfig{})
	server, err := stand.Listen("127.0.0.1:0", h)
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	vm := shed.VM(server.Addr())
	c := newPartitioner()
	c.setZone(vm, "b")
	crossZone, err := c.dialPeerFrom("a")(t.Context(), vm)
	require.NoError(t, err)
	sameZone, err := c.dialPeerFrom("b")(t.Context(), vm)
	require.NoError(t, err)
	c.setPartitioned("b", true)
	const request = "GET /v1/vms HTTP/1.1\r\nHost: x\r\n\r\n"
	require.Error(t, roundTrip(crossZone, request))
	require.NoError(t, roundTrip(sameZone, request))
	_, err = c.dialPeerFrom("a")(t.Context(), vm)
	require.ErrorIs(t, err, errPartitioned)
	_, err = c.dialPlatformFrom("b")(t.Context(), "tcp", server.Addr())
	require.ErrorIs(t, err, errPartitioned)
	c.setPartitioned("b", false)
	again, err := c.dialPeerFrom("a")(t.Context(), vm)
	require.NoError(t, err)
	require.NoError(t, roundTrip(again, request))
	for _, conn := range []net.Conn{crossZone, sameZone, again} {
		require.NoError(t, conn.Close())
	}
}

func roundTrip(c net.Conn, request string) error {
	_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := c.Write([]byte(request)); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}
