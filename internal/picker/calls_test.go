package picker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/roster"
)

// call places a plain request and records that it took as long as its server needs.
func call(p *picker.Picker, now time.Time, from []*roster.Server, took map[shed.ServerID]time.Duration) shed.ServerID {
	c := p.Pick(now, picker.Request{}, from)
	p.RecordPlacement(now, picker.Request{}, c)
	p.RecordEnd(now, c, picker.End{Took: took[c.Server.ID]})
	return c.Server.ID
}

// A server answered slowly once, then its mean call time was never measured again: another
// server was always a little faster, and the first one idled for good.
func TestServerThatWasSlowOnceIsCalledAgain(t *testing.T) {
	for _, slow := range []time.Duration{21 * time.Millisecond, 500 * time.Millisecond} {
		from := servers(2, func(_ int, s *roster.Server) { s.Zone = "a" })
		p := picker.New(picker.Config{Zone: "a"})
		took := map[shed.ServerID]time.Duration{from[0].ID: slow, from[1].ID: 20 * time.Millisecond}
		require.Equal(t, from[0].ID, call(p, start, from, took))
		require.Equal(t, from[1].ID, call(p, start, from, took))
		took[from[0].ID] = 20 * time.Millisecond
		calledAgain := time.Duration(0)
		for at := time.Duration(0); at < 20*time.Second && calledAgain == 0; at += 100 * time.Millisecond {
			if call(p, start.Add(at), from, took) == from[0].ID {
				calledAgain = at
			}
		}
		require.Positive(t, calledAgain)
		require.Less(t, calledAgain, 8*time.Second)
	}
}

// A server of the pool is five times as slow as the others for ten seconds. It must get few of
// the requests meanwhile, though it is measured now and then.
func TestSlowServerGetsFewCalls(t *testing.T) {
	from := servers(3, func(_ int, s *roster.Server) { s.Zone = "a" })
	p := picker.New(picker.Config{Zone: "a"})
	took := map[shed.ServerID]time.Duration{from[0].ID: 150 * time.Millisecond, from[1].ID: 30 * time.Millisecond, from[2].ID: 30 * time.Millisecond}
	calls := 0
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
		if call(p, start.Add(at), from, took) == from[0].ID {
			calls++
		}
	}
	require.Less(t, calls, 10)
}
