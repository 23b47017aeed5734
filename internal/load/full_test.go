package load_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

// Several daemons fill one warm server, each with little knowledge of the others' calls, and it
// refuses one. It must not count as cold for that, or the fleet loses most of its capacity under
// load; it gets no calls until a newer report.
func TestAFullServerIsNotCold(t *testing.T) {
	b := newWarmFixture()
	busy := newReport("x", 3, 520, true)
	busy.Running = 12
	b.receiveReport(busy)
	require.Equal(t, 4, b.FreeCapacity(engine))
	b.advance(100 * time.Millisecond)
	b.runCall(time.Millisecond, shed.EndOverloaded)
	require.False(t, b.isCold())
	require.Zero(t, b.FreeCapacity(engine))
	require.Contains(t, b.Handle(b.now, shed.Tick{Wall: b.now}), shed.PollServer{Server: engine})

	late := newReport("x", 4, 520, true)
	late.Running, late.Age = 12, 50*time.Millisecond
	b.receiveReport(late)
	require.Zero(t, b.FreeCapacity(engine), "the report was made before the refusal")

	b.advance(10 * time.Millisecond)
	fresh := newReport("x", 5, 530, true)
	fresh.Running = 10
	b.receiveReport(fresh)
	require.Equal(t, 6, b.FreeCapacity(engine))
}

func TestFullnessEndsWithoutAReport(t *testing.T) {
	b := newWarmFixture()
	busy := newReport("x", 3, 520, true)
	busy.Running = 12
	b.receiveReport(busy)
	b.runCall(time.Millisecond, shed.EndOverloaded)
	b.advance(900 * time.Millisecond)
	require.Zero(t, b.FreeCapacity(engine))
	b.advance(100 * time.Millisecond)
	require.NotZero(t, b.FreeCapacity(engine))
}

// The server turned cold unnoticed while it was believed to be busy. The report that is polled
// after the refusal shows it, and the server counts as cold from then on.
func TestAFullServerThatIsColdAfterAll(t *testing.T) {
	b := newWarmFixture()
	busy := newReport("x", 3, 520, true)
	busy.Running = 12
	b.receiveReport(busy)
	b.runCall(time.Millisecond, shed.EndOverloaded)
	b.advance(10 * time.Millisecond)
	b.receiveReport(newReport("x", 4, 521, false))
	require.True(t, b.isCold())
}

// Guards against calls to a server that asked for rest: a newer report shows free capacity, but the
// server wants no calls. Another start of it has asked for none.
func TestServerThatAsksForRest(t *testing.T) {
	b := newWarmFixture()
	b.runCallToEnd(time.Millisecond, shed.CallEnded{End: shed.EndOverloaded, RetryAfter: 3 * time.Second})
	b.runCallToEnd(time.Millisecond, shed.CallEnded{End: shed.EndOverloaded, RetryAfter: time.Second})
	b.advance(10 * time.Millisecond)
	b.receiveReport(newReport("x", 5, 530, true))
	require.Zero(t, b.FreeCapacity(engine))
	b.advance(2900 * time.Millisecond)
	require.Zero(t, b.FreeCapacity(engine), "the later end of two rests counts")
	b.advance(200 * time.Millisecond)
	require.NotZero(t, b.FreeCapacity(engine))
	b.runCallToEnd(time.Millisecond, shed.CallEnded{End: shed.EndOverloaded, RetryAfter: 3 * time.Second})
	b.receiveReport(newReport("y", 1, 0, true))
	require.NotZero(t, b.FreeCapacity(engine))
}
