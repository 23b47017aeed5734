package chain

import (
	"time"

	"jasmineshed/internal/batch"
)

// QueueTime returns how long the pieces of a step would queue in its pool.
func (c Chain) QueueTime(at int) time.Duration {
	return max(c[at].forecastEnd(batch.Forecast{}).Timely-c[at].minTime(), 0)
}
