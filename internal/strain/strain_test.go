package strain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/strain"
)

var start = time.Unix(1_700_000_000, 0)

const usual = 2 * time.Millisecond

// meter returns a Meter that knows the usual time of an exchange.
func meter() *strain.Meter {
	m := strain.New()
	m.Exchanged(start.Add(-5*time.Second), "a", usual)
	return m
}

// exchange records an exchange with each of n hosts.
func exchange(m *strain.Meter, n int, took time.Duration) {
	for i := range n {
		m.Exchanged(start, fmt.Sprint("host", i), took)
	}
}

// Guards against servers or peers that are blamed for a full link of this VM, and against a link that is blamed
// for them.
func TestLink(t *testing.T) {
	for name, c := range map[string]struct {
		record func(m *strain.Meter)
		want   time.Duration
	}{
		"nothing heard":       {func(*strain.Meter) {}, 0},
		"all hosts slow":      {func(m *strain.Meter) { exchange(m, 3, 150*time.Millisecond) }, 148 * time.Millisecond},
		"two slow hosts":      {func(m *strain.Meter) { exchange(m, 2, 150*time.Millisecond) }, 0},
		"one host is fast":    {func(m *strain.Meter) { exchange(m, 9, time.Second); m.Exchanged(start, "fast", usual) }, 0},
		"one exchange each":   {func(m *strain.Meter) { exchange(m, 5, usual); exchange(m, 5, time.Second) }, 0},
		"hosts that are down": {func(m *strain.Meter) { unanswered(m, 9) }, 0},
		"a full link on which nothing is answered": {func(m *strain.Meter) {
			exchange(m, 3, 150*time.Millisecond)
			m.Load(start)
			unanswered(m, 3)
		}, 148 * time.Millisecond},
	} {
		m := meter()
		c.record(m)
		require.Equal(t, c.want, m.Load(start).Link, name)
		require.Zero(t, m.Load(start.Add(time.Second)).Link, name)
	}
}

func unanswered(m *strain.Meter, n int) {
	for i := range n {
		m.Unanswered(start, fmt.Sprint("down", i), 200*time.Millisecond)
	}
}

// Guards against a pause or a single long task that counts as a processor which is too slow for its load.
func TestProcessor(t *testing.T) {
	m := strain.New()
	for range 8 {
		m.Probed(time.Millisecond)
	}
	require.False(t, m.Load(start).Strained())
	m.Probed(2 * time.Second)
	require.False(t, m.Load(start).Strained())
	for range 5 {
		m.Probed(30 * time.Millisecond)
	}
	require.Equal(t, 30*time.Millisecond, m.Load(start).Processor)
	require.True(t, m.Load(start).Strained())
}

// Guards against verdicts of a strained VM on others before they can have answered, and against ones that
// never come.
func TestAllowance(t *testing.T) {
	m := meter()
	require.Zero(t, m.Load(start).Allowance())
	exchange(m, 3, 102*time.Millisecond)
	require.Equal(t, 300*time.Millisecond, m.Load(start).Allowance())
	for range 8 {
		m.Probed(time.Minute)
	}
	require.Equal(t, time.Second, m.Load(start).Allowance())
}
