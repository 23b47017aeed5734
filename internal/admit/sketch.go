package admit

import (
	"math"
	"time"
)

// Bucket i of a sketch holds times up to sketchLow*sketchRatio^i, which reaches beyond two minutes.
const (
	sketchBuckets = 128
	sketchLow     = time.Millisecond
	sketchRatio   = 1.1
	// sketchDecayCount is the count at which all buckets are halved: the sketch covers about this
	// many recent samples.
	sketchDecayCount = 64
	// sketchHalfLife is the time after which all buckets are halved as well. After a slow period
	// there are few new samples, which by count alone would need minutes to outweigh the old ones.
	sketchHalfLife = 5 * time.Second
	// sketchRefresh is the number of samples after which the quantiles are recomputed.
	sketchRefresh = 8
)

var logRatio = math.Log(sketchRatio)

// sketch estimates quantiles of a stage's recent times in fixed memory, to within 10%.
type sketch struct {
	buckets [sketchBuckets]float32
	// count is the sum of the buckets.
	count float32
	// sinceRefresh counts samples since low and high were computed.
	sinceRefresh int
	// low and high are the quantiles; 0 until there is a sample.
	low, high time.Duration
	// lastSample is the time of the latest sample, lastHalved when the buckets were last halved
	// because of their age.
	lastSample, lastHalved time.Time
}

func (s *sketch) add(now time.Time, d time.Duration, lowQ, highQ float64) {
	s.decay(now)
	s.buckets[bucketOf(d)]++
	s.count++
	s.lastSample = now
	if s.count >= sketchDecayCount {
		s.halve()
	}
	s.sinceRefresh++
	if s.high == 0 || s.sinceRefresh >= sketchRefresh {
		s.sinceRefresh = 0
		s.low = s.quantile(lowQ)
		s.high = s.quantile(highQ)
	}
}

// decay halves the buckets once for each elapsed half-life.
func (s *sketch) decay(now time.Time) {
	if s.count == 0 {
		s.lastHalved = now
		return
	}
	const maxHalvings = 24
	halfLives := int(now.Sub(s.lastHalved) / sketchHalfLife)
	for range min(halfLives, maxHalvings) {
		s.halve()
	}
	if halfLives > 0 {
		s.lastHalved = now
	}
}

func (s *sketch) halve() {
	s.count = 0
	for i := range s.buckets {
		s.buckets[i] /= 2
		s.count += s.buckets[i]
	}
}

func (s *sketch) quantile(q float64) time.Duration {
	target := float32(q) * s.count
	var sum float32
	for i := range s.buckets {
		sum += s.buckets[i]
		if sum >= target && sum > 0 {
			return bucketTime(i)
		}
	}
	return bucketTime(sketchBuckets - 1)
}

func bucketOf(d time.Duration) int {
	if d <= sketchLow {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(sketchLow)) / logRatio))
	return min(i, sketchBuckets-1)
}

func bucketTime(bucket int) time.Duration {
	return time.Duration(float64(sketchLow) * math.Pow(sketchRatio, float64(bucket)))
}
