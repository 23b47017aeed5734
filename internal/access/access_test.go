package access_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
	"jasmineshed/internal/access"
)

var start = time.Unix(1_700_000_000, 0)

var server = shed.ServerStart{Server: "s", StartedMs: 1}

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func TestDeniedServersAreLeftAlone(t *testing.T) {
	a := access.New()
	require.True(t, a.HasTurn(start, server))
	a.Denied(start, server, time.Hour)
	require.False(t, a.HasTurn(start.Add(900*time.Millisecond), server))
	require.True(t, a.HasTurn(start.Add(time.Second), server), "a limit may have ended")
	a.Denied(start, server, 0)
	require.False(t, a.HasTurn(start.Add(time.Millisecond), server))
}

// Guards against a rest that is cut short by a shorter one whose answer was sent earlier, and
// against a rest that the next start of the server inherits.
func TestLatestEndOfRestCounts(t *testing.T) {
	a := access.New()
	a.Rest(at(0), server, 3*time.Second)
	a.Rest(at(0.5), server, time.Second)
	require.Equal(t, 2*time.Second, a.RestLeft(at(1), server))
	require.False(t, a.Reserve(at(2.9), server))
	require.True(t, a.Reserve(at(2.9), shed.ServerStart{Server: "s", StartedMs: 2}))
}

// Guards against all held back requests that reach a server in the moment at which its rest ends,
// and against a server that stays closed because its first request was lost.
func TestFirstRequestAfterARestGoesAlone(t *testing.T) {
	a := access.New()
	a.Rest(at(0), server, 3*time.Second)
	require.True(t, a.Reserve(at(3), server))
	require.False(t, a.Reserve(at(3.1), server))
	a.Accepted(server, at(1))
	require.False(t, a.Reserve(at(3.1), server), "the answer to an earlier request says nothing about the first one")
	require.True(t, a.Reserve(at(3.3), server), "the first request has no answer")
	a.Accepted(server, at(3))
	require.False(t, a.IsRested(server))
	require.True(t, a.Reserve(at(3.3), server))

	a.Rest(at(4), server, time.Second)
	require.True(t, a.Reserve(at(5), server))
	a.Rest(at(5.01), server, time.Second)
	require.False(t, a.Reserve(at(5.5), server), "turned away again")
}

func TestOldRestsAreForgotten(t *testing.T) {
	a := access.New()
	a.Rest(at(0), server, 3*time.Second)
	a.Prune(at(12))
	require.True(t, a.IsRested(server))
	a.Prune(at(14))
	require.False(t, a.IsRested(server))
}

// Random refusals, answers that overtake each other, and lost answers: within half a second to the
// end of each rest no request is sent.
func TestNothingIsSentWithinARest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := access.New()
		now := start
		var restUntil time.Time
		var sentAt []time.Time
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				rest := time.Duration(rapid.IntRange(1, 10_000).Draw(rt, "rest")) * time.Millisecond
				a.Rest(now, server, rest)
				restUntil = shed.Later(restUntil, now.Add(rest))
			case 1:
				if len(sentAt) > 0 {
					a.Accepted(server, rapid.SampledFrom(sentAt).Draw(rt, "sent"))
				}
			case 2:
				a.Prune(now)
			default:
				left := a.RestLeft(now, server)
				sent := a.Reserve(now, server)
				require.Equal(rt, left == 0, sent)
				require.False(rt, sent && now.Before(restUntil))
				if sent {
					sentAt = append(sentAt, now)
				}
			}
		}
		require.True(rt, a.Reserve(now.Add(time.Minute), server), "no rest lasts for good")
	})
}

// Guards against requests that wait for the end of a rest until they are late, and callers who are
// refused although the rest is nearly over.
func TestWaitOrReturn(t *testing.T) {
	w := access.Wait{RestLeft: 400 * time.Millisecond, ToTarget: time.Second, Answer: 100 * time.Millisecond}
	wait, retryAfter := w.Decide()
	require.Equal(t, 400*time.Millisecond, wait)
	require.Zero(t, retryAfter)
	w.Rank = 3
	less, _ := w.Decide()
	require.Greater(t, less, wait, "the less urgent one goes later")
	w.RestLeft = 3 * time.Second
	wait, retryAfter = w.Decide()
	require.Zero(t, wait)
	require.Equal(t, 3*time.Second, retryAfter)
	w.Fraction = 0.5
	_, retryAfter = w.Decide()
	require.Equal(t, 4500*time.Millisecond, retryAfter)
}
