package health

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Peers holds the sum of the failure rates of all leaves of an upstream, to compare one leaf
// with the mean of the others. The zero value is for no leaves.
type Peers struct{ rateSum float64 }

// RecordOutcome records one outcome at a leaf and reports whether it ends the leaf's ejection.
// leaves is the number of all leaves. A weight of 0 stands for an outcome that says nothing
// about the leaf.
func (p *Peers) RecordOutcome(leaf *Leaf, leaves int, r plugin.AttemptResult, weight float64, now time.Time) bool {
	if weight == 0 {
		leaf.EndInconclusiveProbe()
		return false
	}
	before := leaf.FailureRate
	peersRate := (p.rateSum - before) / float64(max(1, leaves-1))
	readmitted := leaf.RecordOutcome(r, weight, peersRate, now)
	p.rateSum += leaf.FailureRate - before
	return readmitted
}

// UpdateMean adds a sample with the given weight to an exponential moving average. A mean of 0
// has no samples yet and becomes the sample.
func UpdateMean(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += weight * (sample - *mean)
}
