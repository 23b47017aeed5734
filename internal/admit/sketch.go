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
	sketchFade = 256
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
	// last is when the latest sample came.
	last time.Time
}

func (s *sketch) add(now time.Time, d time.Duration, lowQ, highQ float64) {
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
