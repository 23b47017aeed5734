package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// next is the index of the URL whose turn it is.
func (c *Client) next() int {
	n := c.turn.Add(1) - 1
	return int(n % uint32(len(c.cfg.URLs)))
}

// caller makes one call at one base URL.
type caller func(ctx context.Context, base string) (*Answer, error)

// repeat makes the call until it has an answer that is worth keeping, at one
// URL after the other from the one with index first.
func (c *Client) repeat(ctx context.Context, first int, once caller) (*Answer, error) {
	for try := 0; ; try++ {
		answer, err := once(ctx, c.cfg.URLs[(first+try)%len(c.cfg.URLs)])
		if err == nil || try >= c.cfg.MaxRetries {
			return answer, err
		}
		pause, again := worthRepeating(err, try)
		if !again || !wait(ctx, pause) {
			return answer, err
		}
	}
}

// brokenPause is the pause after the first broken connection; each later one
// doubles it.
const brokenPause = 100 * time.Millisecond

// worthRepeating tells whether a call may be made again, and after what pause.
func worthRepeating(err error, try int) (time.Duration, bool) {
	var broken *NoAnswerError
	if errors.As(err, &broken) {
		return spread(brokenPause << min(try, maxDoublings)), true
	}
	var refused *AnswerError
	if !errors.As(err, &refused) {
		return 0, false
	}
	a := refused.Answer
	if a.Outcome != NotRun || a.RetryAfterMs <= 0 {
		return 0, false
	}
	return time.Duration(a.RetryAfterMs) * time.Millisecond, true
}

// maxDoublings keeps the pause below a few seconds.
const maxDoublings = 5

// spread keeps callers that lost the same VM from coming back all at once.
func spread(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause)
}

// wait is false if ctx ends, or would end, before the pause is over.
func wait(ctx context.Context, pause time.Duration) bool {
	if end, ok := ctx.Deadline(); ok && time.Until(end) <= pause {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
