package room_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/room"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	limits = shed.BatchLimits{
		MaxPieces: 12, CallTime: 150 * time.Millisecond, PieceTime: 11 * time.Millisecond,
		ResultCapacity: 67_000_000, LargestResult: 3_000_000, ResultRetention: 4 * time.Second,
	}
)

const call = 282 * time.Millisecond

// A pool whose servers hold the results of two full calls or whose results have no size must be
// served as without the model.
func TestCanBind(t *testing.T) {
	for _, c := range []struct {
		name              string
		capacity, largest int64
		want              bool
	}{
		{"less than two full calls", 67_000_000, 3_000_000, true},
		{"two full calls", 80_000_000, 3_000_000, false},
		{"no limit", 0, 3_000_000, false},
		{"results without size", 67_000_000, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := limits
			l.ResultCapacity, l.LargestResult = c.capacity, c.largest
			require.Equal(t, c.want, room.CanBind(l))
		})
	}
}

// What a server reports to be in use beyond the known results must count, decreasing, until the
// retention time is over; what is known must not count twice.
func TestSurvey(t *testing.T) {
	for _, c := range []struct {
		name                string
		before, during      int64
		other, free         int64
		answered            bool
		unknown, afterwards int64
	}{
		{"unknown results", 0, 0, 0, 37_000_000, true, 30_000_000, 15_000_000},
		{"known results", 9_000_000, 0, 0, 37_000_000, true, 21_000_000, 10_500_000},
		{"released during the survey", 9_000_000, -9_000_000, 0, 37_000_000, true, 21_000_000, 10_500_000},
		{"call during the survey", 0, 36_000_000, 0, 37_000_000, true, 0, 0},
		{"results of another VM", 0, 0, 30_000_000, 37_000_000, true, 0, 0},
		{"more free than the capacity", 0, 0, 0, 90_000_000, true, 0, 0},
		{"no answer", 0, 0, 0, 0, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s room.Server
			require.True(t, s.NeedsSurvey())
			s.Reserve(c.before)
			s.SetOther(start, "vm2", c.other, limits.ResultRetention)
			s.BeginSurvey(start)
			require.False(t, s.NeedsSurvey())
			require.True(t, s.AwaitsSurvey(start.Add(room.SurveyWait-1)))
			require.False(t, s.AwaitsSurvey(start.Add(room.SurveyWait)))
			s.Reserve(c.during)
			if c.answered {
				s.RecordSurvey(start, limits, c.free)
			} else {
				s.EndSurvey()
			}
			require.False(t, s.AwaitsSurvey(start))
			s.RecordSurvey(start, limits, 0)
			require.Equal(t, c.unknown, s.Unknown(start), "an answer counts once")
			require.Equal(t, c.afterwards, s.Unknown(start.Add(2*time.Second)))
			require.Zero(t, s.Unknown(start.Add(5*time.Second)))
			require.Equal(t, c.before+c.during, s.Used(start.Add(5*time.Second)))
		})
	}
}

// Results of calls without an answer count fully until they expire.
func TestUnaccounted(t *testing.T) {
	var s room.Server
	s.AddUnaccounted(start, 3_000_000, time.Second)
	require.Equal(t, room.Usable(limits)-3_000_000, s.Free(start.Add(time.Second), limits))
	require.False(t, s.CanHold(start, limits, 60_000_000))
	require.True(t, s.CanHold(start.Add(1001*time.Millisecond), limits, 60_000_000))
}

// Nineteen servers hold 20 results each for 0.73 s, so they make 520 results a second. Small results
// must not be predicted to wait behind large ones.
func TestWait(t *testing.T) {
	const stay = 448 * time.Millisecond
	var full, idle room.Forecast
	for range 19 {
		var s room.Server
		idle.Add(start, &s, limits, call, stay, false)
		s.Reserve(60_000_000)
		full.Add(start, &s, limits, call, stay, true)
	}
	full.PendingBytes = 780_000_000
	require.InDelta(t, 520*3e6, full.ByteRate, 0.03*520*3e6)
	for _, c := range []struct {
		name             string
		f                room.Forecast
		result, expected int64
		want             time.Duration
	}{
		{"idle", idle, 3_000_000, 0, 0},
		{"full", full, 3_000_000, 0, 475 * time.Millisecond},
		{"pieces still to come", full, 3_000_000, 780_000_000, 960 * time.Millisecond},
		{"later", full.After(300 * time.Millisecond), 3_000_000, 0, 175 * time.Millisecond},
		{"small result", full, 8000, 780_000_000, 0},
		{"no result", full, 0, 0, 0},
		{"unknown", room.Forecast{PendingBytes: 1 << 40}, 3_000_000, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.InDelta(t, c.want.Seconds(), c.f.Wait(limits, 1, c.result, c.expected).Seconds(), 0.02)
		})
	}
	l := limits
	l.LargestResult = 0
	require.Zero(t, full.Wait(l, 1, 3_000_000, 0), "disabled on this VM")
}

// While servers still hold results of VMs that are gone, their capacity counts as throughput only as
// it is released.
func TestForecastWithUnknownResults(t *testing.T) {
	var s room.Server
	s.BeginSurvey(start)
	s.RecordSurvey(start, limits, 37_000_000)
	var f room.Forecast
	f.Add(start, &s, limits, call, time.Second-call, false)
	require.InDelta(t, 61.64e6-30e6+30e6/4, f.ByteRate, 1e4)
	require.Equal(t, int64(31_640_000), f.FreeBytes)
	f = room.Forecast{}
	f.Add(start, &s, limits, call, time.Second-call, true)
	require.Equal(t, int64(31_640_000-31_640_000*0.282/2), f.FreeBytes, "less what is released during a call")
}

// The mean must follow a change within some hundred results.
func TestStay(t *testing.T) {
	var s room.Stay
	require.Zero(t, s.Mean())
	s.Add(100 * time.Millisecond)
	s.Add(300 * time.Millisecond)
	require.Equal(t, 200*time.Millisecond, s.Mean())
	for range 400 {
		s.Add(time.Second)
	}
	require.InDelta(t, 1, s.Mean().Seconds(), 0.03)
}

// Unknown results that another VM turns out to hold, or that are freed, must not count twice.
func TestReleaseUnknown(t *testing.T) {
	var s room.Server
	s.BeginSurvey(start)
	s.RecordSurvey(start, limits, 37_000_000)
	s.SetOther(start, "vm2", 20_000_000, limits.ResultRetention)
	require.Equal(t, int64(30_000_000), s.Used(start))
	s.SetOther(start, "vm2", 25_000_000, limits.ResultRetention)
	require.Equal(t, int64(35_000_000), s.Used(start), "a later report is of new results")
	s.ReleaseUnknown(start, 50_000_000)
	require.Equal(t, int64(25_000_000), s.Used(start))
}
