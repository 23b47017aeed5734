package client

import (
	"context"
	"errors"
	"time"
)

// repeat makes the call until it has an answer that is worth keeping, at one
// URL after the other.
func (c *Client) repeat(ctx context.Context, once func(ctx context.Context, base string) (*Answer, error)) (*Answer, error) {
	for try := 0; ; try++ {
		answer, err := once(ctx, c.cfg.URLs[try%len(c.cfg.URLs)])
		if err == nil || try >= c.cfg.Repeats {
			return answer, err
		}
		pause, again := worthRepeating(err)
		if !again || !wait(ctx, pause) {
			return answer, err
		}
	}
}

// brokenPause is the pause after a broken connection.
const brokenPause = 100 * time.Millisecond

// worthRepeating tells whether a call may be made again, and after what pause.
func worthRepeating(err error) (time.Duration, bool) {
	var broken *BrokenError
	if errors.As(err, &broken) {
		return brokenPause, true
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
