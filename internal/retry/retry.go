// Package retry implements the retry budget. Retries and hedges take tokens from one
// bucket that successes refill, so that in a broad failure, when nothing succeeds, the
// extra load dies out instead of multiplying.
package retry

import "time"

// Defaults for a zero Config.
const (
	DefaultShare = 0.1
	DefaultFloor = 2.0
	DefaultBurst = 20.0
)

// Config configures a Budget. Zero values mean the defaults.
type Config struct {
	// Share is the number of tokens per success: with 0.1, one call in ten can be retried.
	Share float64
	// Floor is the number of tokens per second, so that retries work with little traffic.
	Floor float64
	// Burst is the capacity of the bucket.
	Burst float64
}

// Budget is a token bucket that reads no clock. It is not safe for concurrent use.
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

// Set changes the configuration; tokens beyond the new burst are lost.
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

// Succeeded adds the tokens for one success.
func (b *Budget) Succeeded(now time.Time) {
	b.refill(now)
	b.add(b.cfg.Share)
}

// Take takes a token for one retry or hedge; false means that the budget is spent.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return puts back a token that was taken for a retry or hedge that was not sent.
func (b *Budget) Return(now time.Time) {
	b.refill(now)
	b.add(1)
}

// Remaining is the number of retries that the budget allows now.
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
