package load_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

// Several daemons fill one warm server up, each knowing little of the others'
// calls, and it refuses one. It must not be held cold for that, or the fleet
// loses most of its places under load; it gets nothing until a newer report.
func TestAFullServerIsNotCold(t *testing.T) {
	b := warm()
	busy := report("x", 3, 520, true)
	busy.Running = 12
	b.report(busy)
	require.Equal(t, 4, b.FreeCapacity(engine))
	b.pass(100 * time.Millisecond)
	b.call(time.Millisecond, shed.EndOverloaded)
	require.False(t, b.cold())
	require.Zero(t, b.FreeCapacity(engine))
	require.Contains(t, b.Handle(b.now, shed.Tick{Wall: b.now}), shed.PollServer{Server: engine})

	late := report("x", 4, 520, true)
	late.Running, late.Age = 12, 50*time.Millisecond
	b.report(late)
	require.Zero(t, b.FreeCapacity(engine), "the report was made before the refusal")

	b.pass(10 * time.Millisecond)
	fresh := report("x", 5, 530, true)
	fresh.Running = 10
	b.report(fresh)
	require.Equal(t, 6, b.FreeCapacity(engine))
}

func TestFullnessEndsWithoutAReport(t *testing.T) {
	b := warm()
	busy := report("x", 3, 520, true)
	busy.Running = 12
	b.report(busy)
	b.call(time.Millisecond, shed.EndOverloaded)
	b.pass(900 * time.Millisecond)
	require.Zero(t, b.FreeCapacity(engine))
	b.pass(100 * time.Millisecond)
	require.NotZero(t, b.FreeCapacity(engine))
}

// The server turned cold without a word while it was thought to be busy. The
// report that the refusal asks for tells, and it is held cold from then on.
func TestAFullServerThatIsColdAfterAll(t *testing.T) {
	b := warm()
	busy := report("x", 3, 520, true)
	busy.Running = 12
	b.report(busy)
	b.call(time.Millisecond, shed.EndOverloaded)
	b.pass(10 * time.Millisecond)
	b.report(report("x", 4, 521, false))
	require.True(t, b.cold())
}
