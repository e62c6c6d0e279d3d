package repetition

import (
	"math"
	"time"
)

// The sketch counts latencies in geometric buckets: bucket i holds those up to
// sketchFloor * sketchGrowth^i, so a quantile is off by at most a factor of
// sketchGrowth.
const (
	sketchFloor   = 50 * time.Microsecond
	sketchGrowth  = 1.08
	sketchBuckets = 192 // the last one is above two minutes
	// maxSketchWeight is the total weight, in observations, at which all counts
	// are halved. The sketch reflects about this many recent observations.
	maxSketchWeight = 2048
	// minSketchWeight is the total weight below which Quantile returns 0.
	minSketchWeight = 20
)

var logSketchGrowth = math.Log(sketchGrowth)

// LatencySketch is a decaying quantile sketch of fixed size. The zero value is an
// empty sketch.
type LatencySketch struct {
	counts [sketchBuckets]float32
	total  float32 // sum of counts
}

// Observe adds one latency.
func (l *LatencySketch) Observe(d time.Duration) {
	l.counts[bucketIndex(d)]++
	l.total++
	if l.total >= maxSketchWeight {
		l.halve()
	}
}

// CapWeight scales the observations so far down to a total weight of at most
// maxWeight, so that as many new ones outweigh them.
func (l *LatencySketch) CapWeight(maxWeight int) {
	if l.total > float32(maxWeight) {
		l.scale(float32(maxWeight) / l.total)
	}
}

// HalveWeight halves the total weight of the observations so far, but not to less
// than minWeight.
func (l *LatencySketch) HalveWeight(minWeight int) { l.CapWeight(max(minWeight, int(l.total/2))) }

func (l *LatencySketch) halve() { l.scale(0.5) }

// scale multiplies all counts by factor.
func (l *LatencySketch) scale(factor float32) {
	l.total = 0
	for i := range l.counts {
		l.counts[i] *= factor
		l.total += l.counts[i]
	}
}

// Quantile returns the upper bound of the bucket that holds quantile q in
// (0, 1), or 0 while the total weight is below minSketchWeight.
func (l *LatencySketch) Quantile(q float64) time.Duration {
	if l.total < minSketchWeight {
		return 0
	}
	rank := float32(q) * l.total
	var cumulative float32
	for i, n := range l.counts {
		cumulative += n
		if cumulative >= rank && n > 0 {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(sketchBuckets - 1)
}

func bucketIndex(d time.Duration) int {
	if d <= sketchFloor {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(sketchFloor)) / logSketchGrowth))
	return min(i, sketchBuckets-1)
}

func bucketUpperBound(bucket int) time.Duration {
	return time.Duration(float64(sketchFloor) * math.Pow(sketchGrowth, float64(bucket)))
}
