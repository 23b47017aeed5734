package picker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/roster"
)

var start = time.Unix(1_700_000_000, 0)

func servers(n int, change func(i int, s *roster.Server)) []*roster.Server {
	var out []*roster.Server
	for i := range n {
		s := &roster.Server{ServerEntry: shed.ServerEntry{
			ID: shed.ServerID(fmt.Sprintf("s%02d", i)), Zone: shed.ZoneID(string(rune('a' + i%3))), Slots: 64, StartedMs: 1,
		}}
		if change != nil {
			change(i, s)
		}
		out = append(out, s)
	}
	return out
}

func prompt(shared string, own int) picker.Request {
	return picker.Request{Engine: true, Prompt: []shed.PromptPart{
		{ID: shared, Tokens: 13000}, {ID: fmt.Sprint("own", own), Tokens: 3000},
	}}
}

// Two VMs that have not exchanged reports yet place the first requests with a prefix. They
// must choose the same server, so that the prefix is read once.
func TestPrefixMeetsOnOneServer(t *testing.T) {
	from := servers(12, nil)
	one, two := picker.New(picker.Config{Zone: "a"}), picker.New(picker.Config{Zone: "a"})
	for i := range 40 {
		w := prompt(fmt.Sprint("shared", i), i)
		require.Equal(t, one.Pick(start, w, from).Server.ID, two.Pick(start, w, from).Server.ID)
	}
}

func TestPrefixStaysUnlessItsServerIsCrowded(t *testing.T) {
	from := servers(12, nil)
	p := picker.New(picker.Config{Zone: "a"})
	home := p.Pick(start, prompt("x", 0), from)
	p.RecordPlacement(start, prompt("x", 0), home)
	require.Equal(t, shed.Tokens(16000), home.Missing)
	p.RecordPromptRead(home)
	next := p.Pick(start, prompt("x", 1), from)
	require.Equal(t, home.Server.ID, next.Server.ID)
	require.Equal(t, shed.Tokens(3000), next.Missing)
	// Peers have so many prompts queued there that reading the prefix elsewhere ends sooner.
	p.SetPeerShares("vm2", map[shed.ServerID]shed.ServerShare{home.Server.ID: {Running: 40, Reading: 40000}})
	require.NotEqual(t, home.Server.ID, p.Pick(start, prompt("x", 2), from).Server.ID)
	p.SetPeerShares("vm2", nil)
	require.Equal(t, home.Server.ID, p.Pick(start, prompt("x", 2), from).Server.ID)
}

// A peer placed the prefix and reported it; this VM must choose the same server.
func TestPrefixSeenByAPeer(t *testing.T) {
	from := servers(12, nil)
	p := picker.New(picker.Config{Zone: "a"})
	p.Pick(start, prompt("x", 0), from)
	other := from[7]
	p.RecordPeerPrefix(start, other.ID, picker.PrefixChains(prompt("x", 0).Prompt))
	require.Equal(t, other.ID, p.Pick(start, prompt("x", 1), from).Server.ID)
}

// There is no turn for one server, and another one needs a turn: the first must not be chosen,
// and the choice must say that the second needs one.
func TestServersThatTakeOnlySoMany(t *testing.T) {
	from := servers(3, nil)
	p := picker.New(picker.Config{Zone: "a"})
	waits := map[shed.ServerID]time.Duration{}
	access := map[shed.ServerID]picker.Access{from[0].ID: picker.NoTurn, from[1].ID: picker.ByTurn, from[2].ID: picker.NoTurn}
	w := picker.Request{Access: func(s *roster.Server) (picker.Access, time.Duration) { return access[s.ID], waits[s.ID] }}
	c := p.Pick(start, w, from)
	require.Equal(t, from[1], c.Server)
	require.True(t, c.ByTurn)
	access[from[1].ID] = picker.NoTurn
	c = p.Pick(start, w, from)
	require.Nil(t, c.Server)
	require.True(t, c.NoTurn)
	access[from[2].ID] = picker.Free
	require.False(t, p.Pick(start, w, from).ByTurn)
}

// Guards against requests at servers that want rest, and against a refusal that doesn't say when the
// first rest ends.
func TestRestingServersAreNotChosen(t *testing.T) {
	from := servers(3, nil)
	p := picker.New(picker.Config{Zone: "a"})
	rests := map[shed.ServerID]time.Duration{from[0].ID: 3 * time.Second, from[2].ID: time.Second}
	w := picker.Request{Access: func(s *roster.Server) (picker.Access, time.Duration) {
		if left := rests[s.ID]; left > 0 {
			return picker.Resting, left
		}
		return picker.Free, 0
	}}
	require.Equal(t, from[1], p.Pick(start, w, from).Server)
	rests[from[1].ID] = 2 * time.Second
	c := p.Pick(start, w, from)
	require.Nil(t, c.Server)
	require.Equal(t, time.Second, c.RestingFor)
	require.Zero(t, c.UnreachableFor)
}

// A server fails requests though its health check passes. It must get less work for a while,
// and be tried again later.
func TestFailingServerIsAvoided(t *testing.T) {
	from := servers(2, func(_ int, s *roster.Server) { s.Zone, s.Slots = "a", 6 })
	p := picker.New(picker.Config{Zone: "a"})
	first := p.Pick(start, picker.Request{}, from)
	p.RecordPlacement(start, picker.Request{}, first)
	p.RecordEnd(start, first, picker.End{Failed: true})
	require.NotEqual(t, first.Server.ID, p.Pick(start, picker.Request{}, from).Server.ID)
	require.Equal(t, first.Server.ID, p.Pick(start.Add(time.Minute), picker.Request{}, from).Server.ID)
}

func TestAvoided(t *testing.T) {
	from := servers(2, nil)
	p := picker.New(picker.Config{Zone: "a"})
	w := picker.Request{Avoid: []shed.ServerID{"s00"}}
	require.Equal(t, shed.ServerID("s01"), p.Pick(start, w, from).Server.ID)
	w.Avoid = append(w.Avoid, "s01")
	require.Nil(t, p.Pick(start, w, from).Server)
}

// A server restarts under the same id: its earlier prefixes must not count as cached.
func TestNewStartKnowsNothing(t *testing.T) {
	from := servers(1, nil)
	p := picker.New(picker.Config{Zone: "a"})
	c := p.Pick(start, prompt("x", 0), from)
	p.RecordPlacement(start, prompt("x", 0), c)
	require.Equal(t, shed.Tokens(3000), p.Pick(start, prompt("x", 1), from).Missing)
	from[0].StartedMs = 2
	require.Equal(t, shed.Tokens(16000), p.Pick(start, prompt("x", 1), from).Missing)
}

// Large inputs are held in zone b: a server there must be chosen unless reading the prompt
// again costs more.
func TestInputsPullTheirZone(t *testing.T) {
	from := servers(3, nil)
	p := picker.New(picker.Config{Zone: "a"})
	w := picker.Request{Engine: true, Zone: "b", ZoneCost: 100 * time.Millisecond}
	require.Equal(t, shed.ZoneID("b"), p.Pick(start, w, from).Server.Zone)
	w.Prompt = prompt("x", 0).Prompt
	p.RecordPeerPrefix(start, "s02", picker.PrefixChains(w.Prompt))
	require.Equal(t, shed.ServerID("s02"), p.Pick(start, w, from).Server.ID)
}

// Peers report their shares in any order, drop servers from them, and die. Only the latest
// reports of live peers must count.
func TestPeerSharesAddUp(t *testing.T) {
	from := servers(2, nil)
	p := picker.New(picker.Config{Zone: "a"})
	w := picker.Request{Engine: true}
	p.Pick(start, w, from)
	busy := map[shed.ServerID]shed.ServerShare{"s00": {Running: 50, Reading: 9000}}
	for range 3 {
		p.SetPeerShares("vm2", busy)
		p.SetPeerShares("vm3", busy)
	}
	require.Equal(t, shed.ServerID("s01"), p.Pick(start, w, from).Server.ID)
	p.SetPeerShares("vm2", nil)
	require.Equal(t, shed.ServerID("s01"), p.Pick(start, w, from).Server.ID)
	p.RemovePeer("vm3")
	require.Equal(t, shed.ServerID("s00"), p.Pick(start, w, from).Server.ID)
	p.RemovePeer("vm3")
	require.Equal(t, shed.ServerID("s00"), p.Pick(start, w, from).Server.ID)
}

// BenchmarkPick chooses among 140 engines with 65 peers' shares known.
//
//	go test ./internal/picker -run xxx -bench Pick
func BenchmarkPick(b *testing.B) {
	from := servers(140, nil)
	p := picker.New(picker.Config{Zone: "a"})
	w := fetching("x", 0)
	p.Pick(start, w, from)
	for vm := range 65 {
		shares := map[shed.ServerID]shed.ServerShare{}
		for _, s := range from {
			shares[s.ID] = shed.ServerShare{Running: 1, Reading: 100}
		}
		p.SetPeerShares(shed.VM(fmt.Sprint("vm", vm)), shares)
	}
	for b.Loop() {
		p.Pick(start, w, from)
	}
}

// A zone is partitioned off. Each request sent to a server there waits for a connection in
// vain, and a prefix that was read there draws requests to one such server after the other.
// After two of them the zone must be avoided, and be tried again a few seconds later.
func TestZoneThatCannotBeReached(t *testing.T) {
	from := servers(12, nil)
	p := picker.New(picker.Config{Zone: "a"})
	for _, s := range from {
		if s.Zone == "b" {
			p.Pick(start, prompt("x", 0), from)
			p.RecordPeerPrefix(start, s.ID, picker.PrefixChains(prompt("x", 0).Prompt))
			p.RecordPeerPrefix(start, s.ID, picker.PrefixChains(prompt("y", 0).Prompt))
		}
	}
	now := start
	unreached := 0
	for i := range 20 {
		w := prompt("x", i)
		c := p.Pick(now, w, from)
		p.RecordPlacement(now, w, c)
		p.RecordPromptRead(c)
		if c.Server.Zone != "b" {
			now = now.Add(20 * time.Millisecond)
			p.RecordEnd(now, c, picker.End{})
			continue
		}
		unreached++
		now = now.Add(200 * time.Millisecond)
		p.RecordEnd(now, c, picker.End{Failed: true, Unreached: true})
	}
	require.LessOrEqual(t, unreached, 2)
	now = now.Add(6 * time.Second)
	require.EqualValues(t, "b", p.Pick(now, prompt("y", 99), from).Server.Zone)
}

// Servers of a loaded pool answer 0.2 s later than their prompts alone explain. Steps were
// scheduled too late by that much, and answers just missed their target.
func TestFirstEventsAreForeseenAsTheyCame(t *testing.T) {
	p := picker.New(picker.Config{Zone: "a"})
	require.Equal(t, picker.DefaultOverrun, p.Overrun())
	c := picker.Choice{Time: 100 * time.Millisecond}
	for range 100 {
		p.RecordFirstEvent(c, 300*time.Millisecond)
	}
	require.InDelta(t, 0.2, p.Overrun().Seconds(), 0.01)
	p.RecordFirstEvent(c, 20*time.Second)
	require.Less(t, p.Overrun(), 300*time.Millisecond, "one unhealthy server")
}

// The only open server of a pool is partitioned off. Each caller retried its connection until
// its deadline. After two consecutive failures the server must count as unreachable and
// callers must be rejected at once; after the backoff one tries again.
func TestOnlyServerBeyondAPartition(t *testing.T) {
	from := servers(1, nil)
	p := picker.New(picker.Config{Zone: "a"})
	failToConnect := func(now time.Time) {
		c := p.Pick(now, picker.Request{}, from)
		require.NotNil(t, c.Server)
		p.RecordPlacement(now, picker.Request{}, c)
		p.RecordEnd(now, c, picker.End{Failed: true, Unreached: true})
	}
	failToConnect(start)
	failToConnect(start.Add(200 * time.Millisecond))
	now := start.Add(210 * time.Millisecond)
	c := p.Pick(now, picker.Request{}, from)
	require.Nil(t, c.Server)
	require.Positive(t, c.UnreachableFor)
	require.LessOrEqual(t, c.UnreachableFor, time.Second)
	require.False(t, c.NoTurn)
	now = now.Add(c.UnreachableFor)
	failToConnect(now)
	c = p.Pick(now, picker.Request{}, from)
	require.Greater(t, c.UnreachableFor, 500*time.Millisecond, "the backoff grows with each failure")
	now = now.Add(c.UnreachableFor)
	c = p.Pick(now, picker.Request{}, from)
	p.RecordPlacement(now, picker.Request{}, c)
	p.RecordEnd(now, c, picker.End{Took: time.Millisecond})
	require.NotNil(t, p.Pick(now, picker.Request{}, from).Server, "the server is reachable again")
	failToConnect(now)
	require.NotNil(t, p.Pick(now, picker.Request{}, from).Server, "one lost packet does not make a server unreachable")
}

// A request that may crash its server must go where the fewest requests run, even if another
// server has cached its prompt: the other requests there would be broken off too.
func TestSuspectRunsWhereFewestAre(t *testing.T) {
	from := servers(2, nil)
	p := picker.New(picker.Config{Zone: "a"})
	w := prompt("shared", 1)
	first := p.Pick(start, w, from)
	p.RecordPlacement(start, w, first)
	require.Equal(t, first.Server, p.Pick(start, w, from).Server)
	w.Isolate = true
	require.NotEqual(t, first.Server, p.Pick(start, w, from).Server)
}
