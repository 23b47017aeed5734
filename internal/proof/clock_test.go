package proof

import (
	"time"

	"jasmineshed/internal/vclock"
)

// epoch is the start time of every world.
var epoch = time.Date(2026, 11, 1, 12, 0, 0, 0, time.UTC)

// clock runs events in virtual time.
type clock struct {
	now   time.Time
	queue vclock.Queue
}

func (c *clock) after(d time.Duration, do func()) {
	c.queue.Add(c.now.Add(d), do)
}

func (c *clock) runUntil(end time.Time) {
	for at, do := range c.queue.Until(end) {
		c.now = at
		do()
	}
	c.now = end
}
