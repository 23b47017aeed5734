package hedge

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	silent := func(d time.Duration) Wait {
		return Wait{Streaming: true, Begun: true, Silence: d, ServerSilence: d, Target: 400 * ms, Left: 6 * time.Second, Answer: 300 * ms}
	}
	change := func(w Wait, f func(*Wait)) Wait {
		f(&w)
		return w
	}
	cases := map[string]struct {
		wait    Wait
		want    Verdict
		recheck time.Duration
	}{
		"shorter than half of the patience": {silent(700 * ms), Stay, 300 * ms},
		"half of the patience":              {silent(time.Second), Begin, 0},
		"callers of slow routes wait longer": {
			change(silent(time.Second), func(w *Wait) { w.Target = time.Second }), Stay, time.Second},
		"callers of the slowest routes wait as long": {
			change(silent(2*time.Second), func(w *Wait) { w.Target = 5 * time.Second }), Begin, 0},
		"little time is shared by both servers": {
			change(silent(500*ms), func(w *Wait) { w.Left = 500 * ms }), Begin, 0},
		"no time for a second server": {
			change(silent(500*ms), func(w *Wait) { w.Left = 300 * ms }), TooLate, 0},
		"the whole pool is silent": {
			change(silent(1500*ms), func(w *Wait) { w.PoolSilent = true }), Stay, RecheckInterval},
		"not begun, but its server sends to others": {
			change(silent(1500*ms), func(w *Wait) { w.Begun, w.ServerSilence = false, 10*ms }), Stay, 990 * ms},
		"begun, and its server sends to others": {
			change(silent(1500*ms), func(w *Wait) { w.ServerSilence = 10 * ms }), Begin, 0},
		"plain, short":  {Wait{Silence: 100 * ms, ServerSilence: 100 * ms, Left: time.Second, Answer: 50 * ms}, Stay, 300 * ms},
		"plain, silent": {Wait{Silence: 400 * ms, ServerSilence: 400 * ms, Left: time.Second, Answer: 50 * ms}, Begin, 0},
		"plain, its answers take long": {
			Wait{Silence: 700 * ms, ServerSilence: 700 * ms, Left: 2 * time.Second, Answer: 600 * ms}, Stay, 500 * ms},
		"plain, its server answers others": {
			Wait{Silence: 400 * ms, ServerSilence: 0, Left: time.Second, Answer: 50 * ms}, Stay, 400 * ms},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, recheck := c.wait.Decide()
			require.Equal(t, c.want, got)
			require.Equal(t, c.recheck, recheck)
		})
	}
}

// Guards against a second attempt in place of one that ended, which its caller decides on, and against a
// third one beside two.
func TestAttemptsOfARace(t *testing.T) {
	var r Race
	first, ok := r.Start()
	require.True(t, ok)
	second, ok := r.Start()
	require.True(t, ok)
	_, ok = r.Start()
	require.False(t, ok, "a third one beside two")
	require.True(t, r.Deliver(second))
	require.False(t, r.Deliver(first), "the first one lost")
	require.False(t, r.End(first))
	third, ok := r.Start()
	require.True(t, ok, "the second one is silent, too")
	require.True(t, r.Deliver(second))
	require.False(t, r.IsInFlight(third))
	require.True(t, r.End(second))
	_, ok = r.Start()
	require.False(t, ok, "none is in flight")
}

func TestUsualTimes(t *testing.T) {
	u := NewUsual()
	require.Zero(t, u.Time("r"))
	u.Record("r", time.Second)
	require.Equal(t, time.Second, u.Time("r"))
	u.Record("r", 2*time.Second)
	require.Equal(t, 1300*time.Millisecond, u.Time("r"))
	for i := range maxUsualRoutes {
		u.Record(shed.RouteID(strconv.Itoa(i)), time.Second)
	}
	require.LessOrEqual(t, len(u.times), maxUsualRoutes)
}
