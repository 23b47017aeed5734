package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// nextIndex returns the index of the URL for the next call, in round-robin order.
func (c *Client) nextIndex() int {
	n := c.callCount.Add(1) - 1
	return int(n % uint32(len(c.cfg.URLs)))
}

// attemptFunc makes one call at one base URL.
type attemptFunc func(ctx context.Context, base string) (*Answer, error)

// retry makes the call until its result is final or the retries are used up. The
// first attempt goes to the URL with index first, each retry to the one after.
func (c *Client) retry(ctx context.Context, first int, once attemptFunc) (*Answer, error) {
	for try := 0; ; try++ {
		answer, err := once(ctx, c.cfg.URLs[(first+try)%len(c.cfg.URLs)])
		if err == nil || try >= c.cfg.MaxRetries {
			return answer, err
		}
		pause, again := retryPause(err, try)
		if !again || !sleep(ctx, pause) {
			return answer, err
		}
	}
}

// initialBackoff is the pause after the first broken connection; each later one
// doubles it.
const initialBackoff = 100 * time.Millisecond

// retryPause reports whether a call may be retried, and after what pause.
func retryPause(err error, try int) (time.Duration, bool) {
	var broken *NoAnswerError
	if errors.As(err, &broken) {
		return addJitter(initialBackoff << min(try, maxBackoffDoublings)), true
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

// maxBackoffDoublings keeps the pause below a few seconds.
const maxBackoffDoublings = 5

// addJitter randomizes a pause, so that the callers of a lost VM don't all retry at
// the same time.
func addJitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause)
}

// sleep returns false if ctx ends, or would end, before the pause is over.
func sleep(ctx context.Context, pause time.Duration) bool {
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
