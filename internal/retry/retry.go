// Package retry holds the retry budget. Retries and hedges are paid from one
// token bucket that recent successes fill, so that in a broad failure, when
// nothing succeeds, the extra load dies out instead of multiplying.
package retry

import "time"

// Defaults for a zero Config.
const (
	DefaultShare = 0.1
	DefaultFloor = 2.0
	DefaultBurst = 20.0
)

// Config sets up a Budget. Zero values take the defaults.
type Config struct {
	// Share is what each success adds: 0.1 lets one call in ten be repeated.
	Share float64
	// Floor is added each second, so that low traffic can retry at all.
	Floor float64
	// Burst is the most that can be saved up.
	Burst float64
}

// Budget is a token bucket in virtual time. It is not safe for concurrent use.
type Budget struct {
	cfg Config
	// tokens is never below 0 nor above cfg.Burst.
	tokens float64
	// last is when Floor was last added; it never goes backwards.
	last time.Time
}

// New returns a full budget.
func New(cfg Config) *Budget {
	cfg = withDefaults(cfg)
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// Set changes the budget; what is saved up beyond the new burst is gone.
func (b *Budget) Set(cfg Config) {
	b.cfg = withDefaults(cfg)
	b.tokens = min(b.tokens, b.cfg.Burst)
}

func withDefaults(cfg Config) Config {
	if cfg.Share == 0 {
		cfg.Share = DefaultShare
	}
	if cfg.Floor == 0 {
		cfg.Floor = DefaultFloor
	}
	if cfg.Burst == 0 {
		cfg.Burst = DefaultBurst
	}
	return cfg
}

// Succeeded adds the share of one success.
func (b *Budget) Succeeded(now time.Time) {
	b.refill(now)
	b.add(b.cfg.Share)
}

// Take pays for one retry or hedge; false means that the budget is spent.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Remaining is how many retries the budget can pay for now.
func (b *Budget) Remaining(now time.Time) int {
	b.refill(now)
	return int(b.tokens)
}

func (b *Budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
		return
	}
	gap := now.Sub(b.last)
	if gap <= 0 {
		return
	}
	b.last = now
	b.add(gap.Seconds() * b.cfg.Floor)
}

func (b *Budget) add(n float64) {
	b.tokens = min(b.tokens+n, b.cfg.Burst)
}
