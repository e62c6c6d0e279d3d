package repetition

import (
	"math"
	"time"
)

// The sketch counts in geometric buckets: bucket i holds latencies up to
// sketchFloor * sketchGrowth^i, so a quantile is off by at most one growth step.
const (
	sketchFloor   = 50 * time.Microsecond
	sketchGrowth  = 1.08
	sketchBuckets = 192 // reaches past two minutes
	// sketchWindow is the weight at which all counts are halved: the sketch
	// remembers about this many recent observations.
	sketchWindow = 2048
	// sketchLeast is the weight below which no quantile is given.
	sketchLeast = 20
)

var logGrowth = math.Log(sketchGrowth)

// LatencySketch is a decaying quantile sketch of fixed size. The zero value is ready.
type LatencySketch struct {
	counts [sketchBuckets]float32
	total  float32
}

// Observe adds one latency.
func (l *LatencySketch) Observe(d time.Duration) {
	l.counts[bucketOf(d)]++
	l.total++
	if l.total >= sketchWindow {
		l.halve()
	}
}

// CapWeight bounds the weight of what was seen so far by the given number of
// observations, so that as many new ones outweigh it.
func (l *LatencySketch) CapWeight(most int) {
	if l.total > float32(most) {
		l.scale(float32(most) / l.total)
	}
}

// HalveWeight halves the weight of what was seen so far, down to the given number of
// observations.
func (l *LatencySketch) HalveWeight(least int) { l.CapWeight(max(least, int(l.total/2))) }

// halve ages what has been seen.
func (l *LatencySketch) halve() { l.scale(0.5) }

// scale multiplies all weights.
func (l *LatencySketch) scale(by float32) {
	l.total = 0
	for i := range l.counts {
		l.counts[i] *= by
		l.total += l.counts[i]
	}
}

// Quantile returns the upper bound of the bucket that holds quantile q in
// (0, 1), or 0 while fewer than sketchLeast observations are held.
func (l *LatencySketch) Quantile(q float64) time.Duration {
	if l.total < sketchLeast {
		return 0
	}
	want := float32(q) * l.total
	var seen float32
	for i, n := range l.counts {
		seen += n
		if seen >= want && n > 0 {
			return upperBound(i)
		}
	}
	return upperBound(sketchBuckets - 1)
}

func bucketOf(d time.Duration) int {
	if d <= sketchFloor {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(sketchFloor)) / logGrowth))
	return min(i, sketchBuckets-1)
}

func upperBound(bucket int) time.Duration {
	return time.Duration(float64(sketchFloor) * math.Pow(sketchGrowth, float64(bucket)))
}
