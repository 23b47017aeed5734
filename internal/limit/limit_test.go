package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
	"jasmineshed/internal/limit"
)

var (
	start = time.Unix(1_700_000_000, 0)
	one   = shed.ServerStart{Server: "s1", StartedMs: 1}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestLastAnswerCounts(t *testing.T) {
	tb := limit.New()
	require.Empty(t, tb.Answered(at(0), one, 0, false), "no limit, as before")
	require.Equal(t, []limit.Change{{Start: one, Rate: 2}}, tb.Answered(at(1), one, 2, false))
	require.Empty(t, tb.Answered(at(2), one, 2, false))
	require.Equal(t, []limit.Change{{Start: one, Rate: 3}}, tb.Answered(at(3), one, 3, false))
	require.Equal(t, shed.Rate(3), tb.Rate(one))
	require.Zero(t, tb.Rate(shed.ServerStart{Server: "s1", StartedMs: 2}), "a new start has named none")
	require.Equal(t, []limit.Change{{Start: one}}, tb.Answered(at(4), one, 0, false))
	require.Zero(t, tb.Rate(one))
}

// A delayed report of a peer must not restore a limit that has ended since.
func TestOldUpdatesDontRestoreALimit(t *testing.T) {
	tb := limit.New()
	tb.Answered(at(0), one, 2, false)
	tb.Answered(at(100), one, 0, false)
	require.Empty(t, tb.Receive(at(200), []shed.ServerLimit{{Start: one, Rate: 2, Age: 150 * time.Millisecond}}))
	require.Zero(t, tb.Rate(one))
	require.NotEmpty(t, tb.Receive(at(300), []shed.ServerLimit{{Start: one, Rate: 5, Age: 10 * time.Millisecond}}))
	require.Equal(t, shed.Rate(5), tb.Rate(one))
}

func TestServersThatAreGoneAreForgotten(t *testing.T) {
	tb := limit.New()
	tb.Answered(at(0), one, 2, false)
	tb.Prune(at(1), func(shed.ServerID) bool { return true })
	require.NotZero(t, tb.Rate(one))
	tb.Prune(at(2), func(shed.ServerID) bool { return false })
	require.Zero(t, tb.Rate(one))
}

// VMs that receive the same reports, in any order and more than once, end up with the same
// limits.
func TestUpdatesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var reports []shed.ServerLimit
		for i := range rapid.IntRange(1, 10).Draw(rt, "news") {
			rate := shed.Rate(rapid.IntRange(0, 3).Draw(rt, "rate"))
			reports = append(reports, shed.ServerLimit{
				Start: shed.ServerStart{Server: shed.ServerID(fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "server")))},
				Rate:  rate, Lifted: rate == 0, Age: time.Duration(i) * time.Second,
			})
		}
		a, b := limit.New(), limit.New()
		a.Receive(at(0), reports)
		for _, l := range append(rapid.Permutation(reports).Draw(rt, "order"), reports...) {
			b.Receive(at(0), []shed.ServerLimit{l})
		}
		require.Equal(rt, a.All(at(0)), b.All(at(0)))
	})
}
