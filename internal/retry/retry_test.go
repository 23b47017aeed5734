package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var zero = time.Unix(1_700_000_000, 0)

func spend(b *Budget, now time.Time) int {
	n := 0
	for b.Take(now) {
		n++
	}
	return n
}

func TestBudget(t *testing.T) {
	cfg := Config{Share: 0.1, Floor: 1, Burst: 10}
	cases := map[string]struct {
		do   func(*Budget) time.Time
		want int
	}{
		"starts full": {func(*Budget) time.Time { return zero }, 10},
		"a share of successes": {func(b *Budget) time.Time {
			spend(b, zero)
			for range 55 {
				b.Succeeded(zero)
			}
			return zero
		}, 5},
		"floor": {func(b *Budget) time.Time {
			spend(b, zero)
			return zero.Add(3 * time.Second)
		}, 3},
		"never above burst": {func(b *Budget) time.Time {
			spend(b, zero)
			return zero.Add(time.Hour)
		}, 10},
		"time going back adds nothing": {func(b *Budget) time.Time {
			spend(b, zero)
			return zero.Add(-time.Hour)
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := New(cfg)
			now := c.do(b)
			require.Equal(t, c.want, b.Remaining(now))
			require.Equal(t, c.want, spend(b, now))
		})
	}
}

// A VM that starts knows few others, so its share of the fleet's repeats is large.
// Once it knows the fleet, what it has saved up beyond its true share is gone.
func TestShareShrinks(t *testing.T) {
	now := time.Unix(0, 0)
	b := New(Config{Share: 0.1, Floor: 1, Burst: 20})
	b.Set(Config{Share: 0.1, Floor: 1, Burst: 2})
	require.True(t, b.Take(now))
	require.True(t, b.Take(now))
	require.False(t, b.Take(now))
	b.Set(Config{Share: 0.1, Floor: 1, Burst: 20})
	require.False(t, b.Take(now), "a larger share isn't filled at once")
}
