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
	// sketchFade is the count at which all buckets are halved: the sketch
	// remembers about this many recent samples.
	sketchFade = 64
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
	// fresh counts samples since the quantiles below were worked out.
	fresh int
	// low and high are quantiles; 0 until there is a sample.
	low, high time.Duration
	// last is when the latest sample came, faded when buckets were last halved
	// for age.
	last, faded time.Time
}

func (s *sketch) add(now time.Time, d time.Duration, lowQ, highQ float64) {
	s.age(now)
	s.buckets[bucketOf(d)]++
	s.count++
	s.last = now
	if s.count >= sketchFade {
		s.fade()
	}
	s.fresh++
	if s.high == 0 || s.fresh >= sketchRefresh {
		s.fresh = 0
		s.low = s.quantile(lowQ)
		s.high = s.quantile(highQ)
	}
}

// age halves the buckets once for each half-life gone by.
func (s *sketch) age(now time.Time) {
	if s.count == 0 {
		s.faded = now
		return
	}
	const enough = 24
	lives := int(now.Sub(s.faded) / sketchHalfLife)
	for range min(lives, enough) {
		s.fade()
	}
	if lives > 0 {
		s.faded = now
	}
}

func (s *sketch) fade() {
	s.count = 0
	for i := range s.buckets {
		s.buckets[i] /= 2
		s.count += s.buckets[i]
	}
}

func (s *sketch) quantile(q float64) time.Duration {
	want := float32(q) * s.count
	var seen float32
	for i := range s.buckets {
		seen += s.buckets[i]
		if seen >= want && seen > 0 {
			return timeOf(i)
		}
	}
	return timeOf(sketchBuckets - 1)
}

func bucketOf(d time.Duration) int {
	if d <= sketchLow {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(sketchLow)) / logRatio))
	return min(i, sketchBuckets-1)
}

func timeOf(bucket int) time.Duration {
	return time.Duration(float64(sketchLow) * math.Pow(sketchRatio, float64(bucket)))
}
