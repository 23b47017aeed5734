package drain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/drain"
)

func TestFits(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		request drain.Request
		fits    bool
	}{
		"short answers":               {drain.Request{Wait: 30 * s, Longest: s, Left: 5 * s, Others: true}, true},
		"long answers":                {drain.Request{Wait: 30 * s, Longest: 7 * s, Left: 5 * s, Others: true}, false},
		"long answers, last VM":       {drain.Request{Wait: 30 * s, Longest: 7 * s, Left: 5 * s}, false},
		"caller leaves before":        {drain.Request{Wait: 4 * s, Longest: 7 * s, Left: 5 * s, Others: true}, true},
		"unknown":                     {drain.Request{Wait: 30 * s, Left: 5 * s, Others: true}, false},
		"unknown, caller won't wait":  {drain.Request{Wait: 5 * s, Left: 5 * s, Others: true}, true},
		"unknown, no other VM":        {drain.Request{Wait: 30 * s, Left: 5 * s}, true},
		"time is up, no other VM":     {drain.Request{Wait: 30 * s, Longest: s, Left: -s}, false},
		"time is up, short and alone": {drain.Request{Wait: s, Longest: s, Left: s / 2}, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.fits, c.request.Fits()) })
	}
}

func TestLongestForgetsSlowly(t *testing.T) {
	l := drain.NewLongest()
	const route = shed.RouteID("r")
	require.Zero(t, l.Time(route))
	l.Record(route, 7*time.Second)
	for range 10 {
		l.Record(route, 100*time.Millisecond)
	}
	require.Greater(t, l.Time(route), 5*time.Second)
	for range 1000 {
		l.Record(route, 100*time.Millisecond)
	}
	require.Less(t, l.Time(route), 101*time.Millisecond)
}
