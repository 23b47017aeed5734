package speed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/speed"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	engine = shed.ServerStart{Server: "s", StartedMs: 1}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// received is a report of one sample, received at a time in milliseconds.
type received struct{ at, age, percent int }

// Guards against raised readings, repeated reports and old samples that change the estimate.
func TestEstimate(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []received
		now     int
		want    float64
	}{
		{"no sample", nil, 0, 1},
		{"one sample", []received{{0, 0, 160}}, 0, 1.6},
		{"lower one of two", []received{{0, 0, 400}, {700, 0, 160}}, 700, 1.6},
		{"two raised of five", []received{{0, 0, 60}, {700, 0, 60}, {1400, 0, 60}, {2100, 0, 150}, {2800, 0, 150}}, 2800, 0.6},
		{"three raised of five", []received{{0, 0, 60}, {700, 0, 60}, {1400, 0, 150}, {2100, 0, 150}, {2800, 0, 150}}, 2800, 1.5},
		{"only the last five", []received{{0, 0, 60}, {700, 0, 60}, {1400, 0, 60}, {2100, 0, 60}, {2800, 0, 60}, {3500, 0, 100}, {4200, 0, 100}, {4900, 0, 100}}, 4900, 1},
		{"closer than 100 ms", []received{{0, 0, 60}, {700, 0, 60}, {1400, 0, 150}, {1450, 0, 151}, {1499, 0, 152}}, 1499, 0.6},
		{"received again, later", []received{{0, 0, 60}, {700, 0, 60}, {1400, 0, 150}, {1800, 400, 150}, {2000, 600, 150}}, 2000, 0.6},
		{"received again, delayed by 300 ms", []received{{0, 0, 60}, {700, 0, 60}, {1400, 0, 150}, {1700, 0, 150}, {1850, 0, 150}}, 1850, 0.6},
		{"older one received last", []received{{2100, 0, 100}, {2800, 0, 60}, {2800, 1500, 160}}, 2800, 1},
		{"older than all five", []received{{0, 0, 60}, {700, 0, 60}, {1400, 0, 60}, {2100, 0, 100}, {2800, 0, 100}, {2900, 4000, 100}}, 2900, 0.6},
		{"older than 30 s", []received{{0, 0, 160}}, 30_001, 1},
		{"old on arrival", []received{{0, 30_001, 160}}, 0, 1},
		{"some older than 30 s", []received{{0, 0, 160}, {20_000, 0, 100}}, 31_000, 1},
		{"no positive number", []received{{0, 0, 0}, {700, 0, -5}}, 700, 1},
		{"implausibly low", []received{{0, 0, 1}}, 0, 0.2},
		{"implausibly high", []received{{0, 0, 100_000}}, 0, 10},
	} {
		tb := speed.New()
		for _, x := range c.reports {
			tb.Receive(at(x.at), []shed.WorkTime{{Start: engine, Percent: x.percent, Age: time.Duration(x.age) * time.Millisecond}})
		}
		require.InDelta(t, c.want, tb.Slowness(at(c.now), engine), 1e-9, c.name)
	}
}

// Guards against an estimate that outlives the server's process or its entry.
func TestRestartedServer(t *testing.T) {
	tb := speed.New()
	tb.Receive(at(0), []shed.WorkTime{{Start: engine, Percent: 160}})
	next := shed.ServerStart{Server: "s", StartedMs: 2}
	require.InDelta(t, 1, tb.Slowness(at(0), next), 1e-9)
	tb.Receive(at(200), []shed.WorkTime{{Start: next, Percent: 60}})
	require.InDelta(t, 0.6, tb.Slowness(at(200), next), 1e-9)
	require.InDelta(t, 1, tb.Slowness(at(200), engine), 1e-9)
	tb.Retain(func(shed.ServerID) bool { return false })
	require.InDelta(t, 1, tb.Slowness(at(200), next), 1e-9)
}

// Guards against reports of readings that tell peers nothing, and against readings that vary of which
// peers only hear the raised ones.
func TestWhatIsShared(t *testing.T) {
	tb := speed.New()
	for _, c := range []struct {
		name        string
		at, percent int
		want        bool
	}{
		{"differs from the usual time", 0, 160, true},
		{"near the estimate", 2000, 150, false},
		{"within 100 ms", 2050, 400, false},
		{"raised", 4000, 400, true},
		{"after a raised one", 6000, 160, true},
		{"raised one still counts", 8000, 160, true},
		{"so it does", 10_000, 159, true},
		{"its last time", 11_000, 159, true},
		{"raised one no longer counts", 13_000, 161, false},
		{"10 s since the last", 21_000, 160, true},
	} {
		share, _ := tb.Read(at(c.at), 1, shed.WorkTime{Start: engine, Percent: c.percent})
		require.Equal(t, c.want, share, c.name)
	}
	tb.Receive(at(25_000), []shed.WorkTime{{Start: engine, Percent: 160}})
	share, _ := tb.Read(at(33_000), 1, shed.WorkTime{Start: engine, Percent: 160})
	require.False(t, share, "a peer shared one less than 10 s ago")
}

// Guards against reports that grow with the fleet: 84 VMs share at most 50 samples a second.
func TestSharedSamplesAreBounded(t *testing.T) {
	for _, fleet := range []int{1, 84, 670} {
		tb, shared := speed.New(), 0
		for i := range 60_000 {
			server := shed.ServerStart{Server: shed.ServerID(rune('a' + i%20))}
			if share, _ := tb.Read(at(i), fleet, shed.WorkTime{Start: server, Percent: 100 + 150*(i/20%2)}); share {
				shared++
			}
		}
		require.LessOrEqual(t, shared*fleet, 50*60+max(fleet, 50), fleet)
		require.GreaterOrEqual(t, shared*fleet, 40*60, fleet)
	}
}

// Guards against log lines for each small change of an estimate, and none for a large one.
func TestChangesToLog(t *testing.T) {
	tb := speed.New()
	require.Equal(t, []speed.Change{{Start: engine, Before: 1, After: 1.6}}, tb.Receive(at(0), []shed.WorkTime{{Start: engine, Percent: 160}}))
	require.Empty(t, tb.Receive(at(1000), []shed.WorkTime{{Start: engine, Percent: 120}, {Start: engine, Percent: 120, Age: 2 * time.Second}}))
	require.Equal(t, []speed.Change{{Start: engine, Before: 1.6, After: 0.6}},
		tb.Receive(at(3000), []shed.WorkTime{{Start: engine, Percent: 60, Age: time.Second}, {Start: engine, Percent: 60}, {Start: engine, Percent: 60, Age: 500 * time.Millisecond}}))
}
