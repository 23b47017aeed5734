package admit

import (
	"math"
	"time"
)

// The buckets of a sketch: bucket i holds times up to sketchLow*sketchRatio^i,
// which reaches past two minutes.
const (
	sketchBuckets = 128
	sketchLow     = time.Millisecond
	sketchRatio   = 1.1
	// sketchDecayCount is the count at which all buckets are halved: the sketch
	// remembers about this many recent samples.
	sketchDecayCount = 64
	// sketchHalfLife is the time after which all buckets are halved too. After
	// a slow spell only few samples come in, and these would need minutes to
	// outweigh the old ones by count alone.
	sketchHalfLife = 5 * time.Second
	// sketchRefresh is after how many samples the quantiles are worked out
	// anew.
	sketchRefresh = 8
)

var logRatio = math.Log(sketchRatio)

// sketch estimates quantiles of a stage's recent times in fixed memory, to
// within a tenth.
type sketch struct {
	buckets [sketchBuckets]float32
	// count is the sum of buckets.
	count float32
	// sinceRefresh counts samples since the quantiles below were worked out.
	sinceRefresh int
	// low and high are quantiles; 0 until there is a sample.
	low, high time.Duration
	// lastSample is when the latest sample came, faded when buckets were last halved
	// for age.
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

// decay halves the buckets once for each half-life gone by.
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
